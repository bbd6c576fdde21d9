//! What the headers of a message say of the length of its body.
//!
//! A proxy reads a body from one connection and frames it anew on another, so the length headers of
//! a received message do not hold for the relayed one. [`body_length`] reads them from the received
//! message, and [`set_length_headers`] states the length of the body that is written.

use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, StatusCode};

/// The length of a message body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The number of bytes.
    Known(u64),
    /// The length is known only at the end of the body, which is chunked or ends with the
    /// connection.
    Unknown,
}

/// A message that is relayed, as far as it determines which length its headers state.
#[derive(Clone, Copy, Debug)]
pub enum RelayedMessage<'a> {
    /// A request.
    Request {
        /// The method.
        method: &'a Method,
    },
    /// A response.
    Response {
        /// The status.
        status: StatusCode,
        /// Whether the response is to a HEAD request.
        is_to_head: bool,
        /// The length that the headers of the received response state.
        received_length: BodyLength,
    },
}

/// Returns the length of a response body as the headers state it (RFC 9112, 6.3). Chunks override a
/// `Content-Length`. Returns `None` if the headers contradict each other or are malformed.
pub fn body_length(headers: &HeaderMap) -> Option<BodyLength> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => {}
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            return Some(BodyLength::Unknown)
        }
        _ => return None,
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(BodyLength::Unknown),
        (Some(length), None) => parse_length(length).map(BodyLength::Known),
        _ => None,
    }
}

/// Parses a `Content-Length`, which consists of digits alone. The standard parser would also accept a
/// sign.
fn parse_length(value: &HeaderValue) -> Option<u64> {
    let digits = value.to_str().ok()?;
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

/// Replaces the length headers of a received message by those of the relayed one, whose body is
/// written with the length `body`.
///
/// A body of unknown length is chunked. For an HTTP/1.0 client hyper omits the header and ends the
/// connection with the body. For a request the header is needed with every method: without it, hyper
/// drops the body of a GET or HEAD.
pub fn set_length_headers(headers: &mut HeaderMap, message: RelayedMessage<'_>, body: BodyLength) {
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::TRANSFER_ENCODING);
    match stated_length(message, body) {
        None => {}
        Some(BodyLength::Known(bytes)) => {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(bytes));
        }
        Some(BodyLength::Unknown) => {
            let chunked = HeaderValue::from_static("chunked");
            headers.insert(header::TRANSFER_ENCODING, chunked);
        }
    }
}

/// Returns the length that the headers of a relayed message state, if they state one.
fn stated_length(message: RelayedMessage<'_>, body: BodyLength) -> Option<BodyLength> {
    match message {
        RelayedMessage::Request { method } if body == BodyLength::Known(0) => {
            Some(body).filter(|_| anticipates_body(method))
        }
        // RFC 9110, 8.6: a 204 has no Content-Length.
        RelayedMessage::Response {
            status: StatusCode::NO_CONTENT,
            ..
        } => None,
        // There is no body. The length is that of the response to a GET (RFC 9110, 8.6).
        RelayedMessage::Response {
            status,
            is_to_head,
            received_length,
        } if is_to_head || status == StatusCode::NOT_MODIFIED => {
            Some(received_length).filter(|length| *length != BodyLength::Unknown)
        }
        RelayedMessage::Request { .. } | RelayedMessage::Response { .. } => Some(body),
    }
}

/// Returns whether an empty request of this method states its length (RFC 9110, 8.6). Servers may
/// reject a POST without a length.
fn anticipates_body(method: &Method) -> bool {
    !matches!(
        *method,
        Method::GET
            | Method::HEAD
            | Method::DELETE
            | Method::CONNECT
            | Method::OPTIONS
            | Method::TRACE
    )
}
