//! The responses of the gateway: relay responses of endpoints, and responses of its own.

use super::Gateway;
use crate::net::bodies::BodyError;
use crate::net::client::{
    plain_response, rejection, ClientConnection, ClientResponse, RequestError,
};
use crate::net::driver::FinalResponse;
use crate::net::installation::ActiveInstallation;
use crate::net::stream::{written_length, ClientResponseBody, ResponseBody};
use crate::net::upstream::EndpointResponse;
use bytes::Bytes;
use dewrun_agent::Reservation;
use dewrun_forwarding::{
    append_proxy_status, append_via, remove_hop_by_hop_headers, set_length_headers, RelayedMessage,
};
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Instant;

const MS_PER_S: f64 = 1_000.0;

/// A forwarded request, with what its response depends on beside the final response.
pub(super) struct ForwardedRequest<'a> {
    pub(super) installation: &'a ActiveInstallation,
    pub(super) connection: &'a ClientConnection,
    pub(super) is_head: bool,
    pub(super) deadline: Instant,
    /// Whether the client broke off while it sent the body.
    pub(super) is_upload_interrupted: bool,
    /// The request's share of budgets, held until its response has ended.
    pub(super) reservation: Option<Reservation>,
}

impl Gateway {
    /// Returns the client's response to a request that was forwarded.
    pub(super) fn final_response(
        &self,
        forwarded: ForwardedRequest<'_>,
        final_response: FinalResponse,
    ) -> Result<ClientResponse, RequestError> {
        let has_expired = Instant::now() >= forwarded.deadline;
        Ok(match final_response {
            FinalResponse::Served(response) => relay(forwarded, response),
            FinalResponse::LastErrorResponse(response) => {
                let status = response.status.as_u16();
                let name = forwarded.installation.name();
                let mut response = relay(forwarded, response);
                let parameter = format!("received-status={status}");
                append_proxy_status(response.headers_mut(), name, &parameter);
                response
            }
            _ if forwarded.is_upload_interrupted => {
                return Err(BodyError::Interrupted.request_error())
            }
            FinalResponse::Rejected(after_ms) => self.rejection_response(after_ms),
            FinalResponse::Failed | FinalResponse::FaultyRequest(_) if has_expired => self
                .with_proxy_error(
                    plain_response(StatusCode::GATEWAY_TIMEOUT, "failed: no answer in time"),
                    "http_response_timeout",
                ),
            FinalResponse::Failed | FinalResponse::FaultyRequest(_) => self.with_proxy_error(
                plain_response(StatusCode::BAD_GATEWAY, "failed"),
                "connection_terminated",
            ),
        })
    }

    /// Adds a Proxy-Status header with an error type (RFC 9209), which marks a response as this
    /// proxy's own.
    pub(super) fn with_proxy_error(
        &self,
        mut response: ClientResponse,
        error: &str,
    ) -> ClientResponse {
        let name = self.installation().name().to_string();
        append_proxy_status(response.headers_mut(), &name, &format!("error={error}"));
        response
    }

    /// Returns the response to a request that is rejected without being forwarded.
    pub(super) fn rejection_response(&self, after_ms: f64) -> ClientResponse {
        let mut response = self.with_proxy_error(rejection(0.0), "destination_unavailable");
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, retry_after_seconds(after_ms));
        response
    }
}

/// Returns the value of `Retry-After`, which is in whole seconds (RFC 9110, 10.2.3).
pub(super) fn retry_after_seconds(after_ms: f64) -> HeaderValue {
    HeaderValue::from((after_ms / MS_PER_S).ceil().max(1.0) as u64)
}

/// Returns an endpoint's response as it is relayed to the client.
fn relay(forwarded: ForwardedRequest<'_>, endpoint_response: EndpointResponse) -> ClientResponse {
    let status = endpoint_response.status;
    let mut headers = endpoint_response.headers;
    let body = match endpoint_response.body {
        _ if forwarded.is_head => ClientResponseBody::from(Full::new(Bytes::new())),
        ResponseBody::Buffered(body) => {
            let bytes = Full::new(body.bytes.clone());
            forwarded.connection.hold_response_memory(body);
            ClientResponseBody::Buffered(bytes)
        }
        ResponseBody::Streamed(body_stream) => {
            ClientResponseBody::Streamed(body_stream, Box::new(forwarded.reservation))
        }
    };
    remove_hop_by_hop_headers(&mut headers);
    append_via(
        &mut headers,
        hyper::Version::HTTP_11,
        forwarded.installation.name(),
    );
    let message = RelayedMessage::Response {
        status,
        is_to_head: forwarded.is_head,
        received_length: endpoint_response.stated_length,
    };
    set_length_headers(&mut headers, message, written_length(&body));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
