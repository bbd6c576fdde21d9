//! Handling of requests in the platform's format: `/up`, and forwarded requests.

use super::head::{ValidHead, REQUEST_ID};
use super::request_ids::{RequestIdGuard, RequestIds};
use crate::net::bodies::{BodyError, BodyLimits};
use crate::net::client::{
    plain_response, rejection, ClientConnection, ClientResponse, DrainState, RequestError,
    RequestHandler, OVERLOAD_RETRY_AFTER_MS,
};
use crate::net::driver::{Driver, FinalResponse, RequestGuard};
use crate::net::headers::single_header;
use crate::net::io::{ClientIo, TrackedSocket};
use crate::net::limits::{Limits, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_READ_AHEAD_BYTES};
use crate::net::stream::{written_length, ClientResponseBody, ResponseBody};
use crate::net::upload::UploadProgress;
use crate::net::upstream::{ClientRequest, EndpointResponse, RequestBody, Upstream};
use dewrun_admin::{Disposition, EndpointCounts, Metrics, RequestMetric};
use dewrun_balancer::{Class, EffectClass, Settings, Tenant};
use dewrun_forwarding::{set_length_headers, RelayedMessage};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// How long `/up` waits for a list from discovery before it reports readiness with the known list,
/// or without a list.
const READY_TIMEOUT_WITH_KNOWN_LIST: Duration = Duration::from_millis(1_000);
const READY_TIMEOUT_WITHOUT_LIST: Duration = Duration::from_millis(4_000);
/// The longest deadline that a shutdown waits for.
const MAX_SHUTDOWN_DEADLINE_MS: f64 = 3_000.0;
/// The time beyond the longest deadline until requests in progress are failed, so that they get a
/// response before the process could be killed.
const SHUTDOWN_MARGIN_MS: f64 = 400.0;

/// The limits of request bodies. Clients may send as slowly as 16 KiB a second. A buffered body can
/// be sent again in a retry, and the duration of an attempt does not depend on the client's
/// connection.
const BODY_LIMITS: BodyLimits = BodyLimits {
    max_buffered_bytes: MAX_BUFFERED_BODY_BYTES as u64,
    max_buffered_with_headroom_bytes: 1 << 20,
    max_bytes: MAX_BODY_BYTES,
    idle_timeout: Duration::from_millis(1_500),
    buffering_timeout: Duration::from_secs(20),
    min_bytes_per_s: 16 << 10,
};
/// The maximum duration of a streamed upload.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(20);

const GET_WITH_BODY: RequestError = RequestError::bad_request("a GET has no body");

/// Handles the requests of the platform's clients.
pub struct PlatformHandler {
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    pub(super) classes: Vec<Class>,
    pub(super) tenants: Vec<Tenant>,
    request_ids: Rc<RequestIds>,
    limits: Rc<Limits>,
    started: Instant,
    has_known_endpoints: bool,
    drain: Rc<DrainState>,
    metrics: Rc<Metrics>,
}

impl RequestHandler for PlatformHandler {
    type Io = ClientIo;

    fn io(&self, socket: Rc<TrackedSocket>) -> ClientIo {
        ClientIo::new(socket, MAX_READ_AHEAD_BYTES)
    }

    async fn handle(
        self: &Rc<Self>,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, RequestError> {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/up" {
            // Health checks do not count as requests of the connection, as any client may send
            // them.
            return Ok(self.up_response());
        }
        self.serve(connection, head, body).await
    }

    fn evict_idle_upstream(&self) -> bool {
        self.upstream.close_oldest_idle()
    }

    fn reap_idle_upstream(&self) {
        self.upstream.close_expired_idle();
    }

    fn close_all(&self) {
        self.driver.close_all();
    }
}

impl PlatformHandler {
    /// Creates a handler for the clients of a deployment.
    pub fn new(
        driver: Rc<Driver>,
        upstream: Rc<Upstream>,
        limits: Rc<Limits>,
        settings: &Settings,
        has_known_endpoints: bool,
        drain: Rc<DrainState>,
        metrics: Rc<Metrics>,
    ) -> Rc<PlatformHandler> {
        Rc::new(PlatformHandler {
            driver,
            upstream,
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            request_ids: Rc::default(),
            limits,
            started: Instant::now(),
            has_known_endpoints,
            drain,
            metrics,
        })
    }

    /// Returns the ids of the requests of this process.
    pub fn request_ids(&self) -> Rc<RequestIds> {
        self.request_ids.clone()
    }

    /// Returns the maximum duration of a graceful shutdown.
    pub fn shutdown_timeout(&self) -> Duration {
        let longest = self
            .classes
            .iter()
            .map(|c| c.deadline_ms)
            .fold(0.0, f64::max)
            .min(MAX_SHUTDOWN_DEADLINE_MS);
        Duration::from_secs_f64((longest + SHUTDOWN_MARGIN_MS) / 1000.0)
    }

    /// Responds to `/up`: 200 if new clients may connect.
    fn up_response(&self) -> ClientResponse {
        if self.drain.is_draining() {
            return plain_response(StatusCode::SERVICE_UNAVAILABLE, "leaving service");
        }
        self.health_response()
    }

    /// Returns the metrics of this process in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let (listed, ejected) = self.driver.members();
        self.metrics.to_text(EndpointCounts {
            listed,
            ejected,
            list_age: self.driver.list_age(),
        })
    }

    /// Responds to a health check: 200 if this process can serve.
    pub fn health_response(&self) -> ClientResponse {
        let waited = self.started.elapsed();
        let ready = self.driver.is_listed()
            || waited
                >= if self.has_known_endpoints {
                    READY_TIMEOUT_WITH_KNOWN_LIST
                } else {
                    READY_TIMEOUT_WITHOUT_LIST
                };
        match ready {
            true => plain_response(StatusCode::OK, "ok"),
            false => plain_response(StatusCode::SERVICE_UNAVAILABLE, "no backend list yet"),
        }
    }

    /// Serves a request: reads its head, receives its body, forwards it, and returns the response.
    async fn serve(
        &self,
        connection: &ClientConnection,
        head: Parts,
        body: Incoming,
    ) -> Result<ClientResponse, RequestError> {
        let ValidHead {
            mut attributes,
            timeout,
            path,
        } = self.read_head(connection, &head)?;
        if head.method == Method::GET && body.size_hint().lower() > 0 {
            return Err(GET_WITH_BODY);
        }
        let id = single_header(&head.headers, REQUEST_ID).unwrap_or_default();
        let mut id_guard = self.request_ids.begin(id)?;
        connection.begin_body();
        let body = match BODY_LIMITS
            .read_body(&self.limits.bytes, &connection.socket, body)
            .await
        {
            Ok(body) => body,
            Err(BodyError::InsufficientMemory) => return Ok(rejection(OVERLOAD_RETRY_AFTER_MS)),
            Err(error) => return Err(error.request_error()),
        };
        if head.method == Method::GET && !is_empty(&body) {
            return Err(GET_WITH_BODY);
        }
        if self.classes[usize::from(attributes.class)].effect != EffectClass::Idempotent {
            id_guard.claim()?;
        }
        connection.begin_request();
        let mut request_metric = self.metrics.start_request(attributes.class);
        let upload = body.upload();
        connection.set_upload(upload.clone());
        // The timeout starts at the request's last byte, which was the last byte read, or is yet to
        // arrive on a streamed upload.
        attributes.deadline = match upload {
            None => connection.socket.last_read() + timeout,
            Some(_) => Instant::now() + UPLOAD_TIMEOUT + timeout,
        };
        let deadline = attributes.deadline;
        let client_request = ClientRequest {
            method: head.method,
            path,
            headers: head.headers,
            body,
            response_timeout: Some(timeout),
        };
        let Some((guard, response)) = self.driver.request(attributes, client_request) else {
            request_metric.set_disposition(Disposition::Declined);
            id_guard.answered();
            return Ok(rejection(OVERLOAD_RETRY_AFTER_MS));
        };
        let response =
            await_final_response(&guard, response, upload.as_deref(), deadline, timeout).await;
        let is_upload_interrupted = upload.is_some_and(|upload| upload.is_interrupted());
        let served = match response {
            FinalResponse::Served(served) => served,
            unserved => {
                id_guard.answered();
                return unserved_response(request_metric, &unserved, is_upload_interrupted);
            }
        };
        let ongoing = OngoingResponse {
            request_metric,
            id_guard,
        };
        Ok(served_response(connection, ongoing, served))
    }
}

fn is_empty(body: &RequestBody) -> bool {
    matches!(body, RequestBody::Buffered(body) if body.bytes.is_empty())
}

/// Waits for the final response. The timeout of a request with a streamed body starts when its
/// client may have written the end of that body.
async fn await_final_response(
    guard: &RequestGuard,
    mut response: oneshot::Receiver<FinalResponse>,
    upload: Option<&UploadProgress>,
    deadline: Instant,
    timeout: Duration,
) -> FinalResponse {
    let Some(upload) = upload else {
        return guard.await_response(response, deadline).await;
    };
    let deadline = tokio::select! {
        biased;
        early = &mut response => return early.unwrap_or(FinalResponse::Failed),
        ended_at = upload.ended() => ended_at + timeout,
        () = upload.overdue(timeout) => Instant::now(),
        () = sleep_until(deadline.into()) => deadline,
    };
    guard.await_response(response, deadline).await
}

/// Returns the client's response to a request that was not served.
fn unserved_response(
    mut request_metric: RequestMetric,
    response: &FinalResponse,
    is_upload_interrupted: bool,
) -> Result<ClientResponse, RequestError> {
    match response {
        FinalResponse::Rejected(after_ms) => {
            request_metric.set_disposition(Disposition::Declined);
            Ok(rejection(*after_ms))
        }
        _ if is_upload_interrupted => Err(BodyError::Interrupted.request_error()),
        FinalResponse::FaultyRequest(status) => {
            Err(RequestError::new(*status, "a backend found fault with it"))
        }
        _ => Ok(plain_response(StatusCode::BAD_GATEWAY, "failed")),
    }
}

/// What is open of a request until its client has the complete response.
struct OngoingResponse {
    request_metric: RequestMetric,
    id_guard: RequestIdGuard,
}

impl OngoingResponse {
    fn complete(&mut self) {
        self.request_metric.set_disposition(Disposition::Succeeded);
        self.id_guard.answered();
    }
}

/// Returns an endpoint's response as it is relayed to the client.
fn served_response(
    connection: &ClientConnection,
    mut ongoing: OngoingResponse,
    endpoint_response: EndpointResponse,
) -> ClientResponse {
    let body = match endpoint_response.body {
        ResponseBody::Buffered(body) => {
            ongoing
                .request_metric
                .set_disposition(Disposition::Succeeded);
            if !connection.socket.is_closed_by_peer() {
                ongoing.id_guard.answered();
            }
            let bytes = Full::new(body.bytes.clone());
            connection.hold_response_memory(body);
            ClientResponseBody::from(bytes)
        }
        ResponseBody::Streamed(body_stream) => {
            let guard = StreamedResponseGuard {
                is_complete: body_stream.completion_flag(),
                ongoing,
            };
            ClientResponseBody::Streamed(body_stream, Box::new(guard))
        }
    };
    let length = written_length(&body);
    let mut response = Response::new(body);
    let message = RelayedMessage::Response {
        status: response.status(),
        is_to_head: false,
        received_length: endpoint_response.stated_length,
    };
    let headers = response.headers_mut();
    if let Some(content_type) = endpoint_response.headers.get(CONTENT_TYPE) {
        headers.insert(CONTENT_TYPE, content_type.clone());
    }
    set_length_headers(headers, message, length);
    response
}

/// Exists while a response is streamed. The request succeeded if the complete response was written
/// to the client's connection.
struct StreamedResponseGuard {
    is_complete: Rc<Cell<bool>>,
    ongoing: OngoingResponse,
}

impl Drop for StreamedResponseGuard {
    fn drop(&mut self) {
        if self.is_complete.get() {
            self.ongoing.complete();
        }
    }
}
