//! Handles requests in the platform's form: `/up`, the head, the body, and the response.

use super::head::{ValidHead, REQUEST_ID};
use crate::net::bodies::{BodyError, BodyLimits};
use crate::net::client::{
    plain_response, rejection, ClientConnection, ClientResponse, DrainState, RequestError,
    RequestHandler, OVERLOAD_RETRY_AFTER_MS,
};
use crate::net::driver::{Driver, FinalResponse, RequestGuard};
use crate::net::headers::single_header;
use crate::net::io::{GuardedIo, TrackedSocket};
use crate::net::limits::{Limits, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_READ_AHEAD_BYTES};
use crate::net::stream::{ClientResponseBody, ResponseBody, UploadProgress};
use crate::net::upstream::{ClientRequest, EndpointResponse, RequestBody, Upstream};
use dewrun_admin::{Disposition, EndpointCounts, Metrics, RequestMetric};
use dewrun_balancer::{Class, Settings, Tenant};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use rustc_hash::FxHashSet;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// How long `/up` waits for discovery before it makes do with the known list, or with none at all.
const UP_KNOWN: Duration = Duration::from_millis(1_000);
const UP_ANYWAY: Duration = Duration::from_millis(4_000);
/// The longest deadline that a shutdown waits for.
const MAX_SHUTDOWN_DEADLINE_MS: f64 = 3_000.0;
/// Time beyond the longest deadline until what is still open is failed, so that it has an answer
/// before the process could be killed.
const SHUTDOWN_MARGIN_MS: f64 = 400.0;

/// How bodies are taken in. Clients may send as slowly as 16 KiB a second. A body that is kept can
/// be sent again, and the time of its attempt does not depend on its client's connection.
const BODY_LIMITS: BodyLimits = BodyLimits {
    max_buffered_bytes: MAX_BUFFERED_BODY_BYTES as u64,
    max_buffered_with_headroom_bytes: 1 << 20,
    max_bytes: MAX_BODY_BYTES,
    idle_timeout: Duration::from_millis(1_500),
    buffering_timeout: Duration::from_secs(20),
    min_bytes_per_s: 16 << 10,
};
/// Longest time for a body that is passed on as it comes.
const UPLOAD_TIME: Duration = Duration::from_secs(20);

const GET_WITH_BODY: RequestError = RequestError::bad_request("a GET has no body");

/// Handles the requests of the platform's clients.
pub struct PlatformHandler {
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    pub(super) classes: Vec<Class>,
    pub(super) tenants: Vec<Tenant>,
    /// The ids of the requests that are open here.
    open_ids: Rc<RefCell<FxHashSet<String>>>,
    limits: Rc<Limits>,
    started: Instant,
    knows_some: bool,
    drain: Rc<DrainState>,
    metrics: Rc<Metrics>,
}

impl RequestHandler for PlatformHandler {
    type Io = GuardedIo;

    fn io(&self, socket: Rc<TrackedSocket>) -> GuardedIo {
        GuardedIo::new(socket, MAX_READ_AHEAD_BYTES)
    }

    async fn handle(
        self: &Rc<Self>,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, RequestError> {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/up" {
            // Anybody may ask this, so it proves nothing of the connection.
            return Ok(self.up());
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
    /// A handler for a deployment's clients.
    pub fn new(
        driver: Rc<Driver>,
        upstream: Rc<Upstream>,
        limits: Rc<Limits>,
        settings: &Settings,
        knows_some: bool,
        drain: Rc<DrainState>,
        metrics: Rc<Metrics>,
    ) -> Rc<PlatformHandler> {
        Rc::new(PlatformHandler {
            driver,
            upstream,
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            open_ids: Rc::default(),
            limits,
            started: Instant::now(),
            knows_some,
            drain,
            metrics,
        })
    }

    /// How long the orderly end may take.
    pub fn stop_time(&self) -> Duration {
        let longest = self
            .classes
            .iter()
            .map(|c| c.deadline_ms)
            .fold(0.0, f64::max)
            .min(MAX_SHUTDOWN_DEADLINE_MS);
        Duration::from_secs_f64((longest + SHUTDOWN_MARGIN_MS) / 1000.0)
    }

    /// Whether new clients are wanted.
    fn up(&self) -> ClientResponse {
        if self.drain.is_draining() {
            return plain_response(StatusCode::SERVICE_UNAVAILABLE, "leaving service");
        }
        self.health()
    }

    /// What this process reports.
    pub fn metrics(&self) -> String {
        let (listed, ejected) = self.driver.members();
        self.metrics.to_text(EndpointCounts {
            listed,
            ejected,
            list_age: self.driver.list_age(),
        })
    }

    /// Whether this process can serve.
    pub fn health(&self) -> ClientResponse {
        let waited = self.started.elapsed();
        let ready =
            self.driver.is_listed() || waited >= if self.knows_some { UP_KNOWN } else { UP_ANYWAY };
        match ready {
            true => plain_response(StatusCode::OK, "ok"),
            false => plain_response(StatusCode::SERVICE_UNAVAILABLE, "no backend list yet"),
        }
    }

    /// Serves a request: read its head, take its body in, forward it, and respond.
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
        let _open = OpenId::new(&self.open_ids, id)
            .ok_or(RequestError::new(StatusCode::CONFLICT, "the id is in use"))?;
        connection.begin_body();
        let body = match BODY_LIMITS.read_body(&self.limits.bytes, body).await {
            Ok(body) => body,
            Err(BodyError::InsufficientMemory) => return Ok(rejection(OVERLOAD_RETRY_AFTER_MS)),
            Err(unfit) => return Err(unfit.request_error()),
        };
        if head.method == Method::GET && !is_empty(&body) {
            return Err(GET_WITH_BODY);
        }
        connection.begin_request();
        let mut request_metric = self.metrics.start_request(attributes.class);
        let upload = body.upload();
        // The time runs from the request's last byte. That was the last thing read, or is still to
        // come.
        attributes.deadline = match upload {
            None => connection.socket.last_read() + timeout,
            Some(_) => Instant::now() + UPLOAD_TIME + timeout,
        };
        let deadline = attributes.deadline;
        let client_request = ClientRequest {
            method: head.method,
            path,
            headers: head.headers,
            body,
            response_timeout: Some(timeout),
        };
        let Some((guard, answer)) = self.driver.request(attributes, client_request) else {
            request_metric.set_disposition(Disposition::Declined);
            return Ok(rejection(OVERLOAD_RETRY_AFTER_MS));
        };
        let answer = await_answer(&guard, answer, upload.as_deref(), deadline, timeout).await;
        let is_upload_cut = upload.is_some_and(|upload| upload.is_interrupted());
        final_response(connection, request_metric, answer, is_upload_cut)
    }
}

fn is_empty(body: &RequestBody) -> bool {
    matches!(body, RequestBody::Buffered(body) if body.bytes.is_empty())
}

/// Waits for the final answer. A request whose body is still on its way has its deadline from the
/// end of that body on.
async fn await_answer(
    guard: &RequestGuard,
    mut answer: oneshot::Receiver<FinalResponse>,
    upload: Option<&UploadProgress>,
    deadline: Instant,
    timeout: Duration,
) -> FinalResponse {
    let Some(upload) = upload else {
        return guard.await_response(answer, deadline).await;
    };
    let deadline = tokio::select! {
        biased;
        early = &mut answer => return early.unwrap_or(FinalResponse::Failed),
        ended_at = upload.ended() => ended_at + timeout,
        () = sleep_until(deadline.into()) => deadline,
    };
    guard.await_response(answer, deadline).await
}

/// The response to a request that was forwarded.
fn final_response(
    connection: &ClientConnection,
    mut request_metric: RequestMetric,
    answer: FinalResponse,
    is_upload_cut: bool,
) -> Result<ClientResponse, RequestError> {
    match answer {
        FinalResponse::Served(answer) => Ok(served_response(connection, request_metric, answer)),
        FinalResponse::Rejected(after_ms) => {
            request_metric.set_disposition(Disposition::Declined);
            Ok(rejection(after_ms))
        }
        _ if is_upload_cut => Err(BodyError::Interrupted.request_error()),
        FinalResponse::FaultyRequest(status) => {
            Err(RequestError::new(status, "a backend found fault with it"))
        }
        FinalResponse::Failed | FinalResponse::LastErrorResponse(_) => {
            Ok(plain_response(StatusCode::BAD_GATEWAY, "failed"))
        }
    }
}

/// An endpoint's response as it goes to the client.
fn served_response(
    connection: &ClientConnection,
    mut request_metric: RequestMetric,
    answer: EndpointResponse,
) -> ClientResponse {
    let body = match answer.body {
        ResponseBody::Buffered(body) => {
            request_metric.set_disposition(Disposition::Succeeded);
            let bytes = Full::new(body.bytes.clone());
            connection.hold_response_memory(body);
            ClientResponseBody::from(bytes)
        }
        ResponseBody::Streamed(body_stream) => {
            let streamed = StreamedResponse {
                is_complete: body_stream.completion_flag(),
                request_metric,
            };
            ClientResponseBody::Streamed(body_stream, Box::new(streamed))
        }
    };
    let mut response = Response::new(body);
    if let Some(content_type) = answer.headers.get(CONTENT_TYPE) {
        response
            .headers_mut()
            .insert(CONTENT_TYPE, content_type.clone());
    }
    response
}

/// Held while a response is streamed: the request succeeded if its client's connection took all of
/// it.
struct StreamedResponse {
    is_complete: Rc<Cell<bool>>,
    request_metric: RequestMetric,
}

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        if self.is_complete.get() {
            self.request_metric.set_disposition(Disposition::Succeeded);
        }
    }
}

/// Keeps the id of an open request; no second request may have it meanwhile.
struct OpenId {
    ids: Rc<RefCell<FxHashSet<String>>>,
    id: String,
}

impl OpenId {
    fn new(ids: &Rc<RefCell<FxHashSet<String>>>, id: &str) -> Option<OpenId> {
        let fresh = ids.borrow_mut().insert(id.to_string());
        fresh.then(|| OpenId {
            ids: ids.clone(),
            id: id.to_string(),
        })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}
