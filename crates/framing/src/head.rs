//! Checks of complete request heads and trailers.

use crate::body::BodyFraming;
use crate::error::FramingError;
use crate::length_headers::LengthHeaders;

/// Returns the end of a head or of trailers, which is the offset after the first empty line.
/// Earlier calls have searched the first `searched` bytes.
///
/// A malformed byte is an error even before the end is found: a lenient reader would end the head at
/// two bare line ends.
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
    let length = end.unwrap_or(bytes.len());
    if length > max_bytes {
        return Err(FramingError::TooLarge);
    }
    match first_malformed_byte(&bytes[..length], searched.saturating_sub(1)) {
        Some(error) => Err(error),
        None => Ok(end),
    }
}

/// Returns the error of the first byte from an offset on that no head may contain: an LF without a
/// preceding CR, a CR without a following LF, or another control byte.
fn first_malformed_byte(bytes: &[u8], from: usize) -> Option<FramingError> {
    (from..bytes.len()).find_map(|at| match bytes[at] {
        b'\n' if at > 0 && bytes[at - 1] == b'\r' => None,
        b'\r' if bytes.get(at + 1).is_none_or(|next| *next == b'\n') => None,
        b'\n' | b'\r' => Some(FramingError::LineEnd),
        byte => is_control(byte).then_some(FramingError::Header),
    })
}

/// Returns the lines of a head or of trailers that [`find_head_end`] has found, without the empty
/// line at the end.
pub(crate) fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let text = &bytes[..bytes.len() - 2];
    text.split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        .filter(|line| !line.is_empty())
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
        if !is_token(name) {
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
    for line in lines(trailers) {
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
    let mut lines = lines(head);
    let request_line = lines.next().ok_or(FramingError::RequestLine)?;
    let version = check_request_line(request_line)?;
    let mut framing_headers = FramingHeaders::default();
    for line in lines {
        framing_headers.add(&Header::parse(line)?, version)?;
    }
    framing_headers.body_framing(version)
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
    lengths: LengthHeaders,
    hosts: usize,
}

impl FramingHeaders {
    fn add(&mut self, header: &Header, version: HttpVersion) -> Result<(), FramingError> {
        if header.is_named("host") {
            self.hosts += 1;
        }
        self.lengths.add(header, version)
    }

    fn body_framing(&self, version: HttpVersion) -> Result<BodyFraming, FramingError> {
        if self.hosts > 1 || (self.hosts == 0 && version == HttpVersion::Http11) {
            return Err(FramingError::Host);
        }
        match (self.lengths.content_length, self.lengths.is_chunked) {
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
