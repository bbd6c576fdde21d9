//! Checks of complete request heads and trailers.

use crate::body::BodyFraming;
use crate::error::FramingError;

/// Returns the end of a head or of trailers, which is the offset after the first empty line.
/// Earlier calls have searched the first `searched` bytes.
///
/// A bare line end is an error even before the end is found, because a lenient reader would end the
/// head at two bare line ends.
pub(crate) fn find_head_end(
    bytes: &[u8],
    searched: usize,
    max_bytes: usize,
) -> Result<Option<usize>, FramingError> {
    let from = searched.saturating_sub(3);
    let end = bytes[from..]
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|at| from + at + 4);
    if end.unwrap_or(bytes.len()) > max_bytes {
        return Err(FramingError::TooLarge);
    }
    match end {
        None if has_bare_line_end(bytes, searched.saturating_sub(1)) => Err(FramingError::LineEnd),
        end => Ok(end),
    }
}

/// Returns whether the bytes from an offset on contain an LF without a preceding CR or a CR without
/// a following LF.
fn has_bare_line_end(bytes: &[u8], from: usize) -> bool {
    (from..bytes.len()).any(|at| match bytes[at] {
        b'\n' => at == 0 || bytes[at - 1] != b'\r',
        b'\r' => bytes.get(at + 1).is_some_and(|next| *next != b'\n'),
        _ => false,
    })
}

/// Returns the lines of a head or of trailers, without the empty line at the end.
pub(crate) fn lines(bytes: &[u8]) -> Result<impl Iterator<Item = &[u8]>, FramingError> {
    if has_bare_line_end(bytes, 0) {
        return Err(FramingError::LineEnd);
    }
    let text = &bytes[..bytes.len() - 2];
    Ok(text
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        .filter(|line| !line.is_empty()))
}

/// Returns whether a byte is a control byte that header values and chunk extensions must not
/// contain.
pub(crate) fn is_control(byte: u8) -> bool {
    byte.is_ascii_control() && byte != b'\t'
}

/// Returns whether the bytes are a token (RFC 9110, 5.6.2).
fn is_token(bytes: &[u8]) -> bool {
    !bytes.is_empty()
        && bytes
            .iter()
            .all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte))
}

/// A header line, split at its colon.
pub(crate) struct Header<'a> {
    name: &'a [u8],
    pub(crate) value: &'a [u8],
}

impl<'a> Header<'a> {
    pub(crate) fn parse(line: &'a [u8]) -> Result<Header<'a>, FramingError> {
        let colon = line
            .iter()
            .position(|byte| *byte == b':')
            .ok_or(FramingError::Header)?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        // This also rejects a space before the colon and the leading space of a folded line,
        // because white space is not allowed in a token.
        if !is_token(name) || value.iter().copied().any(is_control) {
            return Err(FramingError::Header);
        }
        Ok(Header {
            name,
            value: value.trim_ascii(),
        })
    }

    pub(crate) fn is_named(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// Checks complete trailers, including the empty line at their end.
pub(crate) fn check_trailers(trailers: &[u8]) -> Result<(), FramingError> {
    for line in lines(trailers)? {
        let header = Header::parse(line)?;
        // RFC 9110, 6.5.1: a length or a host after the body would contradict the head.
        if ["content-length", "transfer-encoding", "host"]
            .iter()
            .any(|name| header.is_named(name))
        {
            return Err(FramingError::Length);
        }
    }
    Ok(())
}

/// Checks a complete head, including the empty line at its end, and returns the framing of the
/// body.
pub(crate) fn check_request_head(head: &[u8]) -> Result<BodyFraming, FramingError> {
    let mut lines = lines(head)?;
    let request_line = lines.next().ok_or(FramingError::RequestLine)?;
    let is_http_1_0 = check_request_line(request_line)? == HttpVersion::Http10;
    let mut framing_headers = FramingHeaders::default();
    for line in lines {
        framing_headers.add(&Header::parse(line)?, is_http_1_0)?;
    }
    framing_headers.body_framing(is_http_1_0)
}

/// The version of a message.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum HttpVersion {
    Http10,
    Http11,
}

/// Checks that a line consists of method, target and version, separated by single spaces.
fn check_request_line(line: &[u8]) -> Result<HttpVersion, FramingError> {
    let mut words = line.split(|byte| *byte == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(FramingError::RequestLine);
    };
    let is_valid_target = !target.is_empty() && target.iter().all(u8::is_ascii_graphic);
    if !is_token(method) || !is_valid_target {
        return Err(FramingError::RequestLine);
    }
    match version {
        b"HTTP/1.0" => Ok(HttpVersion::Http10),
        b"HTTP/1.1" => Ok(HttpVersion::Http11),
        _ => Err(FramingError::RequestLine),
    }
}

/// The headers of a head that determine the end and the host of the request.
#[derive(Default)]
struct FramingHeaders {
    content_length: Option<u64>,
    is_chunked: bool,
    hosts: usize,
}

impl FramingHeaders {
    fn add(&mut self, header: &Header, is_http_1_0: bool) -> Result<(), FramingError> {
        if header.is_named("content-length") {
            let length = parse_content_length(header.value)?;
            if self.content_length.replace(length).is_some() {
                return Err(FramingError::Length);
            }
        } else if header.is_named("transfer-encoding") {
            if self.is_chunked || is_http_1_0 || !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(FramingError::Length);
            }
            self.is_chunked = true;
        } else if header.is_named("host") {
            self.hosts += 1;
        }
        Ok(())
    }

    fn body_framing(&self, is_http_1_0: bool) -> Result<BodyFraming, FramingError> {
        if self.hosts > 1 || (self.hosts == 0 && !is_http_1_0) {
            return Err(FramingError::Host);
        }
        match (self.content_length, self.is_chunked) {
            (Some(_), true) => Err(FramingError::Length),
            (None, true) => Ok(BodyFraming::Chunked),
            (None | Some(0), false) => Ok(BodyFraming::None),
            (Some(length), false) => Ok(BodyFraming::Length(length)),
        }
    }
}

/// Parses a length that consists of decimal digits only. The standard parser would also accept a
/// sign.
pub(crate) fn parse_content_length(value: &[u8]) -> Result<u64, FramingError> {
    if !value.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::Length);
    }
    std::str::from_utf8(value)
        .ok()
        .and_then(|digits| digits.parse().ok())
        .ok_or(FramingError::Length)
}
