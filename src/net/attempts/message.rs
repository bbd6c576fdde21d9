//! The form of a request to an endpoint, and what the head of its response says.

use crate::net::stream::OutboundBody;
use crate::net::upstream::{
    ClientRequest, RequestBody, UpstreamProtocol, NOT_STARTED_HEADER, REQUEST_TIMEOUT_HEADER,
};
use dewrun_balancer::Outcome;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use std::net::SocketAddr;
use std::time::Instant;

/// Hop-by-hop headers, and those that are written anew.
pub(super) const REPLACED_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// How a response says how long it is (RFC 9112, 6.3).
pub(super) enum Length {
    Known(u64),
    /// By chunks, or by the end of its connection.
    Open,
}

/// The length of a response; `None` if its headers contradict each other.
pub(super) fn length(headers: &HeaderMap) -> Option<Length> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => {}
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            return Some(Length::Open)
        }
        _ => return None,
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(Length::Open),
        (Some(length), None) => length.to_str().ok()?.parse().ok().map(Length::Known),
        _ => None,
    }
}

/// The outcome of an attempt, by the head of its response.
pub(super) fn outcome(
    protocol: UpstreamProtocol,
    status: StatusCode,
    headers: &HeaderMap,
) -> Outcome {
    let is_not_started = headers
        .get(NOT_STARTED_HEADER)
        .is_some_and(|value| value == "1");
    match (status, protocol) {
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) if is_not_started => {
            Outcome::Full
        }
        (status, UpstreamProtocol::Http) if status.is_server_error() => Outcome::Error,
        (_, UpstreamProtocol::Http) | (StatusCode::OK, _) => Outcome::Ok,
        (StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS, _) => Outcome::Error,
        // The request's own fault: no word on the backend's health, and no claim that it never ran.
        (status, _) if status.is_client_error() => Outcome::Cancelled,
        _ => Outcome::Error,
    }
}

/// The request as it goes to an endpoint, which may take `left_ms`; `None` if its body has gone out
/// already.
pub(super) fn outbound_request(
    protocol: UpstreamProtocol,
    client_request: &ClientRequest,
    address: SocketAddr,
    left_ms: u64,
) -> Option<Request<OutboundBody>> {
    let body = match &client_request.body {
        RequestBody::Buffered(body) => OutboundBody::Buffered(Full::new(body.bytes.clone())),
        RequestBody::Streamed(body, _) => OutboundBody::Streamed(body.take()?),
    };
    let mut request = Request::new(body);
    *request.method_mut() = client_request.method.clone();
    *request.uri_mut() = Uri::from(client_request.path.clone());
    let mut headers = client_request.headers.clone();
    if protocol == UpstreamProtocol::Platform {
        REPLACED_HEADERS
            .iter()
            .for_each(|name| drop(headers.remove(name)));
        headers.remove("keep-alive");
    }
    // The length is told anew, by what the body knows of itself.
    headers.remove(header::CONTENT_LENGTH);
    headers.insert(REQUEST_TIMEOUT_HEADER, HeaderValue::from(left_ms));
    if !headers.contains_key(header::HOST) {
        headers.insert(
            header::HOST,
            HeaderValue::from_str(&address.to_string()).ok()?,
        );
    }
    *request.headers_mut() = headers;
    Some(request)
}

/// The whole milliseconds until an instant, at least 1; `None` if it has passed. A short remainder is
/// no reason to give up.
pub(super) fn left_ms(until: Instant) -> Option<u64> {
    let left = until.saturating_duration_since(Instant::now());
    (!left.is_zero()).then(|| (left.as_millis() as u64).max(1))
}
