//! Requests to endpoints, and the interpretation of response heads.

use crate::net::stream::{written_length, OutboundBody};
use crate::net::upstream::{
    is_not_started, ClientRequest, RequestBody, UpstreamProtocol, REQUEST_TIMEOUT_HEADER,
};
use dewrun_balancer::Outcome;
use dewrun_forwarding::{set_length_headers, RelayedMessage};
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use std::net::SocketAddr;
use std::time::Instant;

/// Hop-by-hop headers that a client of the platform may send.
const REPLACED_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
];

/// Returns the outcome of an attempt according to its response head.
pub(super) fn outcome(
    protocol: UpstreamProtocol,
    status: StatusCode,
    headers: &HeaderMap,
) -> Outcome {
    match (status, protocol) {
        _ if is_not_started(status, headers) => Outcome::Full,
        (status, UpstreamProtocol::Http) if status.is_server_error() => Outcome::Error,
        (_, UpstreamProtocol::Http) | (StatusCode::OK, _) => Outcome::Ok,
        (StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS, _) => Outcome::Error,
        // The request is faulty: this says nothing about the endpoint's health, and does not imply
        // that the request was not executed.
        (status, _) if status.is_client_error() => Outcome::Cancelled,
        _ => Outcome::Error,
    }
}

/// Builds the request to an endpoint, which has `remaining_ms` to respond. Returns `None` if a streamed
/// body was sent already.
pub(super) fn outbound_request(
    protocol: UpstreamProtocol,
    client_request: &ClientRequest,
    address: SocketAddr,
    remaining_ms: u64,
) -> Option<Request<OutboundBody>> {
    let body = match &client_request.body {
        RequestBody::Buffered(body) => OutboundBody::Buffered(Full::new(body.bytes.clone())),
        RequestBody::Streamed(body, _) => OutboundBody::Streamed(body.take()?),
    };
    let length = written_length(&body);
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
    let message = RelayedMessage::Request {
        method: &client_request.method,
    };
    set_length_headers(&mut headers, message, length);
    headers.insert(REQUEST_TIMEOUT_HEADER, HeaderValue::from(remaining_ms));
    if !headers.contains_key(header::HOST) {
        headers.insert(
            header::HOST,
            HeaderValue::from_str(&address.to_string()).ok()?,
        );
    }
    *request.headers_mut() = headers;
    Some(request)
}

/// Returns the whole milliseconds until an instant, at least 1, or `None` if it has passed. An
/// instant less than 1 ms ahead has not passed.
pub(super) fn remaining_ms(until: Instant) -> Option<u64> {
    let remaining = until.saturating_duration_since(Instant::now());
    (!remaining.is_zero()).then(|| (remaining.as_millis() as u64).max(1))
}
