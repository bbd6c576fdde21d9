//! Responses of this process's own.

use super::ClientResponse;
use crate::net::stream::ClientResponseBody;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Retry-After, in milliseconds, for a client whose request finds no capacity in this process.
pub const OVERLOAD_RETRY_AFTER_MS: f64 = 500.0;

/// The same for a connection that is closed before its request is read: nothing of it has run.
pub(super) const OVERLOAD_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n\
    Content-Length: 7\r\n\r\nrefused";

/// A short text response.
pub fn plain_response(status: StatusCode, text: &'static str) -> ClientResponse {
    let body = Full::new(Bytes::from_static(text.as_bytes()));
    let mut response = Response::new(ClientResponseBody::from(body));
    *response.status_mut() = status;
    response
}

/// 503: the request was not forwarded, and trying again is harmless. Names a Retry-After in
/// decimal seconds if it is above 0.
pub fn rejection(retry_after_ms: f64) -> ClientResponse {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if retry_after_ms > 0.0 {
        let seconds = format!("{:.3}", retry_after_ms / 1000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
