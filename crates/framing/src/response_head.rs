//! Checks of complete response heads.

use crate::body::BodyFraming;
use crate::error::FramingError;
use crate::head::{is_control, lines, parse_content_length, Header, HttpVersion};

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
    let mut lines = lines(head)?;
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
        _ => ResponseKind::Final(lengths.body_framing()),
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
    let reason = words.next().unwrap_or_default();
    if reason.iter().copied().any(is_control) {
        return Err(FramingError::StatusLine);
    }
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

/// The headers of a head that determine the end of a response.
#[derive(Default)]
struct LengthHeaders {
    content_length: Option<u64>,
    is_chunked: bool,
}

impl LengthHeaders {
    fn add(&mut self, header: &Header, version: HttpVersion) -> Result<(), FramingError> {
        if header.is_named("content-length") {
            let length = parse_content_length(header.value)?;
            if self.content_length.replace(length).is_some() {
                return Err(FramingError::Length);
            }
        } else if header.is_named("transfer-encoding") {
            let is_valid = !self.is_chunked && version == HttpVersion::Http11;
            if !is_valid || !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(FramingError::Length);
            }
            self.is_chunked = true;
        }
        Ok(())
    }

    /// Returns the framing of the body. Chunks override a `Content-Length` (RFC 9112, 6.3).
    fn body_framing(&self) -> BodyFraming {
        match (self.is_chunked, self.content_length) {
            (true, _) => BodyFraming::Chunked,
            (false, Some(0)) => BodyFraming::None,
            (false, Some(length)) => BodyFraming::Length(length),
            (false, None) => BodyFraming::UntilClose,
        }
    }
}
