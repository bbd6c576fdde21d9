//! A strict guard over the framing of HTTP/1.1 requests (RFC 9112). Pure: bytes in, bytes out.
//!
//! Where two readers of one connection disagree on where a request ends, what one takes for a body
//! the other takes for a request: request smuggling. A parser that forgives, or that hides what it
//! has read (of `Content-Length` beside `Transfer-Encoding`, say), can't tell such a request from a
//! good one. The [`Guard`] stands before the parser and sees every byte first. It holds a head back
//! until it is whole, checks it, and then follows the body to where the next head begins. From the
//! first [`Fault`] on it lets nothing more through; what came before is whole.
//!
//! It refuses what RFC 9112 lets a server refuse and what readers are known to disagree on:
//!
//! | in a request | RFC 9112 |
//! | --- | --- |
//! | a line that ends in a bare LF, or a CR that no LF follows | 2.2 |
//! | white space before the first header, a folded line | 2.2, 5.2 |
//! | white space between a header's name and its colon, a name that is no token, a control byte in a value | 5.1 |
//! | `Content-Length` and `Transfer-Encoding` together | 6.1 |
//! | `Transfer-Encoding` that is not exactly `chunked`, or stands twice, or in HTTP/1.0 | 6.1, 6.3 |
//! | `Content-Length` that is not digits, or stands twice with whatever value | 6.3 |
//! | a chunk size that is not one to sixteen hexadecimal digits, or a chunk without its CRLF | 7.1 |
//! | `Host` twice, or missing in HTTP/1.1 | 3.2 |
//! | a request line that is not method, target and version with one space between | 3 |
//! | a head, or the trailers, beyond a stated size | 5.4 (a limit of its own) |
//!
//! Memory: one head at the most, and only while it comes in pieces.

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A line ends in a bare LF, or a CR stands alone.
    LineEnd,
    /// The request line is not `METHOD target HTTP/1.x`.
    RequestLine,
    /// A header line is folded, has no colon, a name that is no token, or a control byte in its
    /// value.
    Header,
    /// The length is told twice, in two ways, or in a way that is not understood.
    Length,
    /// `Host` stands twice, or is missing in HTTP/1.1.
    Host,
    /// A chunk is malformed.
    Chunk,
    /// The head, or the trailers, are too large.
    TooLarge,
}

impl Fault {
    /// What to tell the caller.
    pub fn text(self) -> &'static str {
        match self {
            Fault::LineEnd => "a line does not end in CRLF",
            Fault::RequestLine => "the request line is malformed",
            Fault::Header => "a header is malformed",
            Fault::Length => {
                "the length is not told by exactly one of Content-Length and Transfer-Encoding: chunked"
            }
            Fault::Host => "there must be exactly one Host",
            Fault::Chunk => "a chunk is malformed",
            Fault::TooLarge => "the head is too large",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Head,
    Body(u64),
    /// Digits of a chunk's size so far, and the size.
    Size(u8, u64),
    /// What may stand behind the size, up to the end of its line; with the size, and whether its
    /// CR has come.
    Extension(u64, bool, usize),
    Data(u64),
    /// The CRLF behind a chunk's data; whether its CR has come.
    DataEnd(bool),
    Trailers,
    Refused(Fault),
}

/// Follows the requests of one connection. See the crate's text.
pub struct Guard {
    part: Part,
    held: Vec<u8>,
    head_most: usize,
}

impl Guard {
    /// A guard for a fresh connection, for heads (and trailers) up to a size.
    pub fn new(head_most: usize) -> Guard {
        Guard {
            part: Part::Head,
            held: Vec::new(),
            head_most,
        }
    }

    /// The fault from which on nothing goes through.
    pub fn fault(&self) -> Option<Fault> {
        match self.part {
            Part::Refused(fault) => Some(fault),
            _ => None,
        }
    }

    /// Takes bytes as they were read, and appends to `out` what may go on to the parser.
    pub fn feed(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
        while !bytes.is_empty() && self.fault().is_none() {
            match self.step(bytes, out) {
                Ok(used) => bytes = &bytes[used..],
                Err(fault) => {
                    self.held = Vec::new();
                    self.part = Part::Refused(fault);
                }
            }
        }
    }

    /// Takes some of the bytes, at least one, and tells how many.
    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Fault> {
        match self.part {
            Part::Head => self.head(bytes, out),
            Part::Trailers => self.trailers(bytes, out),
            Part::Body(left) => {
                let used = pass(bytes, left, out);
                let left = left - used as u64;
                self.part = if left == 0 {
                    Part::Head
                } else {
                    Part::Body(left)
                };
                Ok(used)
            }
            Part::Data(left) => {
                let used = pass(bytes, left, out);
                let left = left - used as u64;
                self.part = if left == 0 {
                    Part::DataEnd(false)
                } else {
                    Part::Data(left)
                };
                Ok(used)
            }
            Part::Size(..) | Part::Extension(..) | Part::DataEnd(_) => {
                self.part = chunk_byte(self.part, bytes[0])?;
                out.push(bytes[0]);
                Ok(1)
            }
            Part::Refused(fault) => Err(fault),
        }
    }

    fn head(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Fault> {
        let already = self.held.len();
        // What was held and what has come; copied together only where a head comes in pieces.
        let whole: &[u8] = if already == 0 {
            bytes
        } else {
            self.held.extend_from_slice(bytes);
            &self.held
        };
        // An empty line ahead of a request is passed over by parsers (RFC 9112, 2.2), and so here.
        if whole.starts_with(b"\r\n") {
            self.held.clear();
            return Ok(2 - already);
        }
        let Some(end) = head_end(whole, already, self.head_most)? else {
            if already == 0 {
                self.held = bytes.to_vec();
            }
            return Ok(bytes.len());
        };
        let body = check_head(&whole[..end])?;
        out.extend_from_slice(&whole[..end]);
        self.held = Vec::new();
        self.part = body;
        Ok(end - already)
    }

    fn trailers(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Fault> {
        // Held back like a head, but with no line before them they end in one CRLF.
        let already = self.held.len();
        self.held.extend_from_slice(bytes);
        let end = match self.held.starts_with(b"\r\n") {
            true => Some(2),
            false => head_end(&self.held, already, self.head_most)?,
        };
        let Some(end) = end else {
            return Ok(bytes.len());
        };
        for line in lines(&self.held[..end])? {
            let (name, _) = header(line)?;
            // A length behind the body would be one told twice (RFC 9110, 6.5.1).
            if is(name, "content-length") || is(name, "transfer-encoding") || is(name, "host") {
                return Err(Fault::Length);
            }
        }
        out.extend_from_slice(&self.held[..end]);
        self.held = Vec::new();
        self.part = Part::Head;
        Ok(end - already)
    }
}

/// Passes on as many bytes as are left of a body.
fn pass(bytes: &[u8], left: u64, out: &mut Vec<u8>) -> usize {
    let used = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
    out.extend_from_slice(&bytes[..used]);
    used
}

/// The longest text behind a chunk's size that is put up with.
const EXTENSION_MOST: usize = 256;

fn chunk_byte(part: Part, byte: u8) -> Result<Part, Fault> {
    match (part, byte) {
        (Part::Size(digits, size), byte) => match char::from(byte).to_digit(16) {
            Some(digit) if digits < 16 => Ok(Part::Size(digits + 1, size * 16 + u64::from(digit))),
            None if digits > 0 && byte == b'\r' => Ok(Part::Extension(size, true, 0)),
            None if digits > 0 && byte == b';' => Ok(Part::Extension(size, false, 0)),
            _ => Err(Fault::Chunk),
        },
        (Part::Extension(size, true, _), b'\n') => Ok(if size == 0 {
            Part::Trailers
        } else {
            Part::Data(size)
        }),
        (Part::Extension(size, false, length), b'\r') => Ok(Part::Extension(size, true, length)),
        (Part::Extension(size, false, length), byte)
            if !is_control(byte) && length < EXTENSION_MOST =>
        {
            Ok(Part::Extension(size, false, length + 1))
        }
        (Part::DataEnd(false), b'\r') => Ok(Part::DataEnd(true)),
        (Part::DataEnd(true), b'\n') => Ok(Part::Size(0, 0)),
        _ => Err(Fault::Chunk),
    }
}

fn is_control(byte: u8) -> bool {
    byte.is_ascii_control() && byte != b'\t'
}

/// Finds the end of a head of which `already` bytes were looked at before. A bare line end is told
/// at once, not at the end: two of them would end the head for a lenient reader.
fn head_end(bytes: &[u8], already: usize, most: usize) -> Result<Option<usize>, Fault> {
    let from = already.saturating_sub(3);
    let end = bytes[from..]
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| from + at + 4);
    if end.unwrap_or(bytes.len()) > most {
        return Err(Fault::TooLarge);
    }
    match end {
        None if has_bare_line_end(bytes, already.saturating_sub(1)) => Err(Fault::LineEnd),
        end => Ok(end),
    }
}

/// Whether, from a place on, an LF stands without its CR, or a CR that something else than an LF
/// follows.
fn has_bare_line_end(bytes: &[u8], from: usize) -> bool {
    (from..bytes.len()).any(|at| match bytes[at] {
        b'\n' => at == 0 || bytes[at - 1] != b'\r',
        b'\r' => bytes.get(at + 1).is_some_and(|next| *next != b'\n'),
        _ => false,
    })
}

/// The lines of a head or of trailers, without the empty one at the end.
fn lines(bytes: &[u8]) -> Result<impl Iterator<Item = &[u8]>, Fault> {
    if has_bare_line_end(bytes, 0) {
        return Err(Fault::LineEnd);
    }
    let text = &bytes[..bytes.len() - 2];
    Ok(text
        .split(|b| *b == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        .filter(|l| !l.is_empty()))
}

/// Whether a byte may stand in a token (RFC 9110, 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn header(line: &[u8]) -> Result<(&[u8], &[u8]), Fault> {
    let colon = line.iter().position(|b| *b == b':').ok_or(Fault::Header)?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    // A space before the colon, and one that begins a folded line, are no token either.
    if name.is_empty()
        || !name.iter().copied().all(is_token)
        || value.iter().copied().any(is_control)
    {
        return Err(Fault::Header);
    }
    Ok((name, value.trim_ascii()))
}

fn is(name: &[u8], lower: &str) -> bool {
    name.eq_ignore_ascii_case(lower.as_bytes())
}

/// Checks a whole head, and tells what follows it.
fn check_head(head: &[u8]) -> Result<Part, Fault> {
    let mut lines = lines(head)?;
    let first = lines.next().ok_or(Fault::RequestLine)?;
    let mut words = first.split(|b| *b == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(Fault::RequestLine);
    };
    let of_old = version == b"HTTP/1.0";
    let known = of_old || version == b"HTTP/1.1";
    let target_fits = !target.is_empty() && target.iter().all(|b| b.is_ascii_graphic());
    if method.is_empty() || !method.iter().copied().all(is_token) || !target_fits || !known {
        return Err(Fault::RequestLine);
    }
    let (mut length, mut chunked, mut hosts) = (None, false, 0);
    for line in lines {
        let (name, value) = header(line)?;
        if is(name, "content-length") {
            let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).ok().filter(|_| digits);
            let told = text
                .and_then(|text| text.parse::<u64>().ok())
                .ok_or(Fault::Length)?;
            if length.replace(told).is_some() {
                return Err(Fault::Length);
            }
        } else if is(name, "transfer-encoding") {
            if chunked || of_old || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Fault::Length);
            }
            chunked = true;
        } else if is(name, "host") {
            hosts += 1;
        }
    }
    if hosts > 1 || (hosts == 0 && !of_old) {
        return Err(Fault::Host);
    }
    match (length, chunked) {
        (Some(_), true) => Err(Fault::Length),
        (None, true) => Ok(Part::Size(0, 0)),
        (None | Some(0), false) => Ok(Part::Head),
        (Some(length), false) => Ok(Part::Body(length)),
    }
}
