//! Handles requests in the platform's form: `/up`, the head, the body, and the response.

use crate::net::bodies::{BodyError, Intake};
use crate::net::client::{
    plain_response, rejection, ClientConnection, ClientResponse, DrainState, RequestError,
    RequestHandler, OVERLOAD_RETRY_AFTER_MS,
};
use crate::net::discovery::stable_hash;
use crate::net::driver::{Asked, Driver, Final};
use crate::net::headers::single_header;
use crate::net::io::{GuardedIo, Wire};
use crate::net::limits::{Limits, BODY_MOST, MESSAGE_MOST, READ_AHEAD};
use crate::net::stream::{AnswerBody, ReplyBody};
use crate::net::upstream::{InBody, Inbound, Upstream, TIMEOUT_HEADER};
use dewrun_admin::{Disposition, EndpointCounts, Metrics, RequestMetric};
use dewrun_balancer::{Class, EffectClass, Settings, Tenant};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use rustc_hash::FxHashSet;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// How long `/up` waits for discovery before it makes do with the known list, or with none at all.
const UP_KNOWN: Duration = Duration::from_millis(1_000);
const UP_ANYWAY: Duration = Duration::from_millis(4_000);
/// What is open after SIGTERM is failed before it could be killed unanswered: that is no sooner
/// than the longest deadline, 3 s at most, and 0.7 s more.
const STOP_DEADLINE_MOST: f64 = 3_000.0;
const STOP_MORE: f64 = 400.0;

/// How bodies are taken in. Clients may send as slowly as 64 kB a second; what is kept can go
/// again, and its time out at a backend does not hang on its connection.
const INTAKE: Intake = Intake {
    kept: BODY_MOST as u64,
    ample: 1 << 20,
    most: MESSAGE_MOST,
    idle: Duration::from_millis(1_500),
    time: Duration::from_secs(20),
    slowest: 16 << 10,
};
/// Longest time for a body that is passed on as it comes.
const UPLOAD_TIME: Duration = Duration::from_secs(20);

const REQUEST_ID: &str = "request-id";

/// Handles the requests of the platform's clients.
pub struct PlatformHandler {
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
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

    fn io(&self, wire: Rc<Wire>) -> GuardedIo {
        GuardedIo::new(wire, READ_AHEAD)
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
        let (mut asked, timeout_ms) = self.read_head(connection, &head)?;
        let path = head
            .uri
            .path_and_query()
            .ok_or(RequestError::bad_request("no path"))?
            .clone();
        if head.method == Method::GET && body.size_hint().lower() > 0 {
            return Err(RequestError::bad_request("a GET has no body"));
        }
        let id = single_header(&head.headers, REQUEST_ID).unwrap_or_default();
        let _open = OpenId::new(&self.open_ids, id)
            .ok_or(RequestError::new(StatusCode::CONFLICT, "the id is in use"))?;
        connection.begin_body();
        let body = match INTAKE.take(&self.limits.bytes, body).await {
            Ok(body) => body,
            Err(BodyError::NoRoom) => return Ok(rejection(OVERLOAD_RETRY_AFTER_MS)),
            Err(unfit) => return Err(unfit.request_error()),
        };
        if head.method == Method::GET
            && !matches!(&body, InBody::Kept(body) if body.bytes.is_empty())
        {
            return Err(RequestError::bad_request("a GET has no body"));
        }
        connection.begin_request();
        let mut request_metric = self.metrics.start_request(asked.class);
        let patience = Duration::from_millis(timeout_ms.into());
        let upload = body.upload();
        // The time runs from the request's last byte. That was the last thing read, or is still to
        // come.
        asked.deadline = match upload {
            None => connection.wire.last_read() + patience,
            Some(_) => Instant::now() + UPLOAD_TIME + patience,
        };
        let mut deadline = asked.deadline;
        let inbound = Inbound {
            method: head.method,
            path,
            headers: head.headers,
            body,
            patience: Some(patience),
        };
        let Some((guard, mut answer)) = self.driver.request(asked, inbound) else {
            request_metric.set_disposition(Disposition::Declined);
            return Ok(rejection(OVERLOAD_RETRY_AFTER_MS));
        };
        let early = match &upload {
            None => None,
            Some(upload) => tokio::select! {
                biased;
                early = &mut answer => Some(early.unwrap_or(Final::Failed)),
                at = upload.ended() => {
                    deadline = at + patience;
                    None
                }
                () = sleep_until(deadline.into()) => None,
            },
        };
        let last = match early {
            Some(early) => early,
            None => guard.await_response(answer, deadline).await,
        };
        Ok(match last {
            Final::Served(answer) => {
                let body = match answer.body {
                    AnswerBody::Whole(body) => {
                        request_metric.set_disposition(Disposition::Succeeded);
                        let bytes = Full::new(body.bytes.clone());
                        connection.hold_response_memory(body);
                        ReplyBody::from(bytes)
                    }
                    AnswerBody::Passing(passing) => {
                        let passed = Passed {
                            whole: passing.whole(),
                            request_metric,
                        };
                        ReplyBody::Passing(passing, Box::new(passed))
                    }
                };
                let mut reply = Response::new(body);
                if let Some(kind) = answer.headers.get(CONTENT_TYPE) {
                    reply.headers_mut().insert(CONTENT_TYPE, kind.clone());
                }
                reply
            }
            Final::Rejected(after_ms) => {
                request_metric.set_disposition(Disposition::Declined);
                rejection(after_ms)
            }
            _ if upload.is_some_and(|upload| upload.is_cut()) => {
                return Err(BodyError::Cut.request_error())
            }
            Final::FaultyRequest(status) => {
                return Err(RequestError::new(status, "a backend found fault with it"))
            }
            Final::Failed | Final::LastWord(_) => plain_response(StatusCode::BAD_GATEWAY, "failed"),
        })
    }

    fn evict_idle_upstream(&self) -> bool {
        self.upstream.shed()
    }

    fn reap_idle_upstream(&self) {
        self.upstream.reap();
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
            .min(STOP_DEADLINE_MOST);
        Duration::from_secs_f64((longest + STOP_MORE) / 1000.0)
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
        self.metrics.to_text(EndpointCounts { listed, ejected })
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

    /// Checks all that comes before the body.
    fn read_head(
        &self,
        connection: &ClientConnection,
        head: &Parts,
    ) -> Result<(Asked, u32), RequestError> {
        let bad = RequestError::bad_request;
        let id = single_header(&head.headers, REQUEST_ID).ok_or(bad("no single Request-Id"))?;
        if id.is_empty() || id.len() > 128 || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(bad("malformed Request-Id"));
        }
        let name =
            single_header(&head.headers, "request-class").ok_or(bad("no single Request-Class"))?;
        let class = self
            .classes
            .iter()
            .position(|c| c.name == name)
            .ok_or(bad("unknown class"))?;
        let tenant = match self.tenants.is_empty() {
            true => 0,
            false => {
                let name = single_header(&head.headers, "tenant").ok_or(bad("no single Tenant"))?;
                self.tenants
                    .iter()
                    .position(|t| t.name == name)
                    .ok_or(bad("unknown tenant"))?
            }
        };
        let text = single_header(&head.headers, TIMEOUT_HEADER.as_str())
            .filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let timeout_ms: u32 = text
            .and_then(|t| t.parse().ok())
            .ok_or(bad("no usable Request-Timeout-Ms"))?;
        // No client waits longer than its class's, whatever it says.
        let most = Some(self.classes[class].deadline_ms)
            .filter(|most| *most >= 1.0)
            .unwrap_or(f64::MAX);
        let timeout_ms = timeout_ms.min(most as u32);
        let keys = head.headers.get_all("idempotency-key").iter().count();
        let (method, needed) = match self.classes[class].effect {
            EffectClass::Repeatable => (Method::GET, None),
            EffectClass::Keyed => (Method::POST, Some(1)),
            EffectClass::Once => (Method::POST, Some(0)),
        };
        if head.method != method {
            return Err(RequestError::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this class",
            ));
        }
        if needed.is_some_and(|needed| needed != keys) {
            return Err(bad("Idempotency-Key does not go with this class"));
        }
        let info = head
            .headers
            .get("request-info")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default();
        let asked = Asked {
            class: class as u8,
            tenant: tenant as u16,
            key: key(head.uri.path()),
            hint_ms: single_header(&head.headers, "work-hint")
                .and_then(|t| t.parse::<f64>().ok())
                .filter(|us| us.is_finite() && *us >= 0.0)
                .map(|us| us / 1000.0),
            repeat: single_header(&head.headers, "client-retry") == Some("1"),
            write: info.split(',').any(|part| part.trim() == "write=1"),
            deadline: Instant::now(),
            attempts: None,
            client: connection.wire.clone(),
        };
        Ok((asked, timeout_ms))
    }
}

/// What a request is about: the last part of its path.
fn key(path: &str) -> Option<u64> {
    let last = path.rsplit('/').next().filter(|last| !last.is_empty())?;
    Some(u64::from_str_radix(last, 16).unwrap_or_else(|_| stable_hash(last.as_bytes())))
}

/// Held while an answer is passed on: it was served if its client's connection took all of it.
struct Passed {
    whole: Rc<Cell<bool>>,
    request_metric: RequestMetric,
}

impl Drop for Passed {
    fn drop(&mut self) {
        if self.whole.get() {
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
