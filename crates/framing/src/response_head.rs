//! Checks of complete response heads.

use crate::body::BodyFraming;
use crate::error::FramingError;
use crate::head::{lines, Header, HttpVersion};
use crate::length_headers::LengthHeaders;

/// The status by which an endpoint switches to a protocol that the client has asked for. This proxy
/// asks for none.
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// What follows a response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseKind {
    /// The head of another response to the same request follows (RFC 9110, 15.2).
    Interim,
    /// The body of the final response follows.
    Final(BodyFraming),
}

/// Checks a complete head, including the empty line at its end. `is_to_head` says whether the
/// request was a HEAD.
pub(crate) fn check_response_head(
    head: &[u8],
    is_to_head: bool,
) -> Result<ResponseKind, FramingError> {
    let mut lines = lines(head);
    let status_line = lines.next().ok_or(FramingError::StatusLine)?;
    let (version, status) = parse_status_line(status_line)?;
    let mut lengths = LengthHeaders::default();
    for line in lines {
        lengths.add(&Header::parse(line)?, version)?;
    }
    Ok(match status {
        SWITCHING_PROTOCOLS => return Err(FramingError::StatusLine),
        100..=199 => ResponseKind::Interim,
        NO_CONTENT | NOT_MODIFIED => ResponseKind::Final(BodyFraming::None),
        _ if is_to_head => ResponseKind::Final(BodyFraming::None),
        _ => ResponseKind::Final(body_framing(&lengths)),
    })
}

/// Parses a line that consists of version, status and an optional reason.
fn parse_status_line(line: &[u8]) -> Result<(HttpVersion, u16), FramingError> {
    let mut words = line.splitn(3, |byte| *byte == b' ');
    let version = match words.next() {
        Some(b"HTTP/1.0") => HttpVersion::Http10,
        Some(b"HTTP/1.1") => HttpVersion::Http11,
        _ => return Err(FramingError::StatusLine),
    };
    let status = words.next().and_then(parse_status);
    status
        .map(|status| (version, status))
        .ok_or(FramingError::StatusLine)
}

/// Parses a status of three digits, of which the first is not 0.
fn parse_status(digits: &[u8]) -> Option<u16> {
    let is_status = digits.len() == 3 && digits.iter().all(u8::is_ascii_digit) && digits[0] != b'0';
    let text = std::str::from_utf8(digits).ok().filter(|_| is_status)?;
    text.parse().ok()
}

/// Returns the framing of the body. Chunks override a `Content-Length` (RFC 9112, 6.3).
fn body_framing(lengths: &LengthHeaders) -> BodyFraming {
    match (lengths.is_chunked, lengths.content_length) {
        (true, _) => BodyFraming::Chunked,
        (false, Some(0)) => BodyFraming::None,
        (false, Some(length)) => BodyFraming::Length(length),
        (false, None) => BodyFraming::UntilClose,
    }
}
