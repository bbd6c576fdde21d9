//! Responses of this process's own.

use super::ClientResponse;
use crate::net::stream::ClientResponseBody;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The Retry-After delay, in milliseconds, for a client whose request finds no capacity in this
/// process.
pub const OVERLOAD_RETRY_AFTER_MS: f64 = 500.0;

/// The response on a connection that is closed before its request is read. Its Retry-After is in
/// whole seconds.
pub(super) const OVERLOAD_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n\
    Content-Length: 7\r\n\r\nrefused";

/// Creates a response with a short text body.
pub fn plain_response(status: StatusCode, text: &'static str) -> ClientResponse {
    let body = Full::new(Bytes::from_static(text.as_bytes()));
    let mut response = Response::new(ClientResponseBody::from(body));
    *response.status_mut() = status;
    response
}

/// Creates a 503 response to a request that was not forwarded, so that a retry is safe. It has a
/// Retry-After header in decimal seconds if the delay is above 0.
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
