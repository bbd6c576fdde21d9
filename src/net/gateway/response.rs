//! The responses of the gateway: an endpoint's, passed on, and its own.

use super::Gateway;
use crate::net::bodies::BodyError;
use crate::net::client::{
    plain_response, rejection, ClientConnection, ClientResponse, RequestError,
};
use crate::net::driver::FinalResponse;
use crate::net::installation::Installed;
use crate::net::stream::{ClientResponseBody, ResponseBody};
use crate::net::upstream::EndpointResponse;
use bytes::Bytes;
use dewrun_agent::Reservation;
use dewrun_forwarding::{append_proxy_status, append_via, remove_hop_by_hop_headers};
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Instant;

const MS_PER_S: f64 = 1_000.0;

/// What the response to a forwarded request depends on, beside the final answer.
pub(super) struct Forwarded<'a> {
    pub(super) installed: &'a Installed,
    pub(super) connection: &'a ClientConnection,
    pub(super) is_head: bool,
    pub(super) deadline: Instant,
    /// Whether the client broke off in the body.
    pub(super) is_upload_cut: bool,
    /// What the request has taken of budgets, until its response has ended.
    pub(super) reservation: Option<Reservation>,
}

impl Gateway {
    /// The response to a request that was forwarded.
    pub(super) fn final_response(
        &self,
        forwarded: Forwarded<'_>,
        answer: FinalResponse,
    ) -> Result<ClientResponse, RequestError> {
        let has_expired = Instant::now() >= forwarded.deadline;
        Ok(match answer {
            FinalResponse::Served(answer) => relayed(forwarded, answer),
            FinalResponse::LastErrorResponse(answer) => {
                let status = answer.status.as_u16();
                let name = forwarded.installed.name();
                let mut response = relayed(forwarded, answer);
                let parameter = format!("received-status={status}");
                append_proxy_status(response.headers_mut(), name, &parameter);
                response
            }
            _ if forwarded.is_upload_cut => return Err(BodyError::Interrupted.request_error()),
            FinalResponse::Rejected(after_ms) => self.rejected(after_ms),
            FinalResponse::Failed | FinalResponse::FaultyRequest(_) if has_expired => self.own(
                plain_response(StatusCode::GATEWAY_TIMEOUT, "failed: no answer in time"),
                "http_response_timeout",
            ),
            FinalResponse::Failed | FinalResponse::FaultyRequest(_) => self.own(
                plain_response(StatusCode::BAD_GATEWAY, "failed"),
                "connection_terminated",
            ),
        })
    }

    /// A response of this proxy's own, which says so (RFC 9209).
    pub(super) fn own(&self, mut response: ClientResponse, error: &str) -> ClientResponse {
        let name = self.installed().name().to_string();
        append_proxy_status(response.headers_mut(), &name, &format!("error={error}"));
        response
    }

    /// The response to a request of which nothing has run.
    pub(super) fn rejected(&self, after_ms: f64) -> ClientResponse {
        let mut response = self.own(rejection(0.0), "destination_unavailable");
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, whole_seconds(after_ms));
        response
    }
}

/// The value of `Retry-After`, which is in whole seconds (RFC 9110, 10.2.3).
pub(super) fn whole_seconds(after_ms: f64) -> HeaderValue {
    HeaderValue::from((after_ms / MS_PER_S).ceil().max(1.0) as u64)
}

/// An endpoint's response as it goes to the client.
fn relayed(forwarded: Forwarded<'_>, answer: EndpointResponse) -> ClientResponse {
    let body = match answer.body {
        ResponseBody::Buffered(body) => {
            let bytes = Full::new(body.bytes.clone());
            forwarded.connection.hold_response_memory(body);
            ClientResponseBody::Buffered(bytes)
        }
        ResponseBody::Streamed(body_stream) => {
            ClientResponseBody::Streamed(body_stream, Box::new(forwarded.reservation))
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let headers = response.headers_mut();
    remove_hop_by_hop_headers(headers);
    append_via(headers, hyper::Version::HTTP_11, forwarded.installed.name());
    if forwarded.is_head {
        // The length is that of the answer to a GET; there is no body to tell another.
        *response.body_mut() = ClientResponseBody::Buffered(Full::new(Bytes::new()));
    }
    response
}
