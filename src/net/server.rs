//! The callers' side: connections, `/up`, requests and their answers, and the orderly end.

use super::discovery::hash;
use super::driver::{Asked, Driver, Final};
use super::io::{out_of_descriptors, Io, Wire};
use super::upstream::{Inbound, Upstream, BODY_MOST, TIMEOUT_HEADER};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at};
use umberridge::api::{Class, Effect, Settings, Tenant};

/// How long `/up` waits for discovery before it makes do with the known list, or with none at all.
const UP_KNOWN: Duration = Duration::from_millis(1_000);
const UP_ANYWAY: Duration = Duration::from_millis(4_000);
/// Longest wait for the rest of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// A caller's connection that has carried nothing for this long is closed.
const CALLER_IDLE: Duration = Duration::from_secs(90);
/// How long a connection that is to close may take over what it has begun.
const CLOSE_GRACE: Duration = Duration::from_secs(2);
/// The module answers at the deadline. If it has not so long after, the driver does.
const OVERDUE: Duration = Duration::from_millis(10);
/// After SIGTERM: connections still come for a while, so it ends no sooner. Callers are served on those they
/// have for the first half of the time there is, as the other proxies may be down too; then connections are
/// closed as they fall idle. What is open at the end is failed, before it could be killed unanswered: that is
/// no sooner than the longest deadline, 3 s at most, and 0.7 s more.
const STOP_LEAST: Duration = Duration::from_millis(550);
const STOP_DEADLINE_MOST: f64 = 3_000.0;
const STOP_MORE: f64 = 400.0;
const STOP_LAST: Duration = Duration::from_millis(150);

type Reply = Response<Full<Bytes>>;

struct Caller {
    wire: Rc<Wire>,
    busy: Cell<bool>,
    used: Cell<Instant>,
    closing: Cell<bool>,
    close: Notify,
}

impl Caller {
    /// Whether its connection can be closed without harm: nothing of a request was read or waits to be.
    fn is_idle(&self) -> bool {
        !self.busy.get() && !self.closing.get() && self.wire.is_quiet()
    }

    fn close(&self) {
        self.closing.set(true);
        self.close.notify_one();
    }
}

/// Serves callers.
pub struct Server {
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    callers: RefCell<FxHashMap<u64, Rc<Caller>>>,
    callers_most: usize,
    next: Cell<u64>,
    started: Instant,
    knows_some: bool,
    /// When a stopping proxy closes connections; `None` while it goes on.
    closing_from: Cell<Option<Instant>>,
}

impl Server {
    /// A server with room for so many callers' connections before it sheds idle ones.
    pub fn new(
        driver: Rc<Driver>,
        upstream: Rc<Upstream>,
        settings: &Settings,
        knows_some: bool,
        callers_most: usize,
    ) -> Rc<Server> {
        Rc::new(Server {
            driver,
            upstream,
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            callers: RefCell::default(),
            callers_most,
            next: Cell::new(0),
            started: Instant::now(),
            knows_some,
            closing_from: Cell::new(None),
        })
    }

    /// Accepts for ever. Goes on while stopping: what the kernel has taken in counts as taken.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if self.callers.borrow().len() >= self.callers_most {
                        self.shed();
                    }
                    spawn_local(self.clone().connection(stream));
                }
                // Guards against an end of the loop: out of descriptors, idle connections give way.
                Err(e) if out_of_descriptors(&e) => {
                    let _ = self.shed() || self.upstream.shed();
                    sleep(Duration::from_millis(5)).await;
                }
                // The caller left before it was accepted.
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    /// Closes the connection that has been idle longest; false if all are busy.
    fn shed(&self) -> bool {
        let callers = self.callers.borrow();
        let oldest = callers.values().filter(|c| c.is_idle()).min_by_key(|c| c.used.get());
        oldest.inspect(|caller| caller.close()).is_some()
    }

    /// Closes connections idle since before `limit`, but for those with a request still to be read.
    fn close_idle(&self, limit: Duration) {
        for caller in self.callers.borrow().values() {
            if caller.used.get().elapsed() >= limit && caller.is_idle() {
                caller.close();
            }
        }
    }

    /// Looks after idle connections on both sides.
    pub async fn tidy(self: Rc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            self.close_idle(CALLER_IDLE);
            self.upstream.reap();
        }
    }

    fn is_closing(&self) -> bool {
        self.closing_from.get().is_some_and(|from| Instant::now() >= from)
    }

    /// The orderly end: returns when all that was taken is answered.
    pub async fn stop(&self) {
        let told = Instant::now();
        let longest = self.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max).min(STOP_DEADLINE_MOST);
        let most = Duration::from_secs_f64((longest + STOP_MORE) / 1000.0);
        self.closing_from.set(Some(told + most / 2));
        sleep(STOP_LEAST).await;
        while !self.callers.borrow().is_empty() && told.elapsed() < most {
            if self.is_closing() {
                self.close_idle(Duration::ZERO);
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.driver.close_all();
        let last = Instant::now();
        while self.callers.borrow().values().any(|c| c.busy.get()) && last.elapsed() < STOP_LAST {
            sleep(Duration::from_millis(5)).await;
        }
        // Time for the last answers to be written.
        sleep(Duration::from_millis(20)).await;
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let wire = Wire::new(stream);
        let caller = Rc::new(Caller {
            wire: wire.clone(),
            busy: Cell::new(false),
            used: Cell::new(Instant::now()),
            closing: Cell::new(false),
            close: Notify::new(),
        });
        let number = self.next.replace(self.next.get() + 1);
        self.callers.borrow_mut().insert(number, caller.clone());
        let service = service_fn(|request| {
            let (server, caller) = (self.clone(), caller.clone());
            async move { Ok::<_, Infallible>(server.serve(&caller, request).await) }
        });
        let serving = http1::Builder::new().max_buf_size(BODY_MOST).serve_connection(Io(wire), service);
        tokio::pin!(serving);
        loop {
            tokio::select! {
                biased;
                // An error here is the caller's leaving or nonsense instead of HTTP; both end with the
                // connection, and a request that was open with its guard.
                _ = &mut serving => break,
                () = caller.close.notified() => serving.as_mut().graceful_shutdown(),
                // Guards against a head that never ends, which a graceful end would await for ever. One that
                // did end meanwhile is a request taken: it is served.
                () = sleep(CLOSE_GRACE), if caller.closing.get() => {
                    if !caller.busy.get() {
                        break;
                    }
                }
            }
        }
        self.callers.borrow_mut().remove(&number);
    }

    async fn serve(&self, caller: &Caller, request: Request<Incoming>) -> Reply {
        caller.busy.set(true);
        let mut reply = match self.answer(caller, request).await {
            Ok(reply) => reply,
            Err((status, why)) => plain(status, why),
        };
        caller.busy.set(false);
        caller.used.set(Instant::now());
        if self.is_closing() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn answer(&self, caller: &Caller, request: Request<Incoming>) -> Result<Reply, Bad> {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/up" {
            return Ok(self.up());
        }
        let (mut asked, timeout_ms) = self.read_head(&head)?;
        let path = head.uri.path_and_query().ok_or((StatusCode::BAD_REQUEST, "no path"))?.clone();
        let body = read_body(body).await?;
        if head.method == Method::GET && !body.is_empty() {
            return Err((StatusCode::BAD_REQUEST, "a GET has no body"));
        }
        // The time runs from the request's last byte, which was the last thing read.
        asked.deadline = caller.wire.last_read() + Duration::from_millis(timeout_ms.into());
        let deadline = asked.deadline;
        let inbound = Inbound { method: head.method, path, headers: head.headers, body };
        let Some((guard, mut answer)) = self.driver.request(asked, inbound) else {
            return Ok(refusal(0.0));
        };
        let answer = match timeout_at((deadline + OVERDUE).into(), &mut answer).await {
            Ok(answer) => answer,
            Err(_) => {
                guard.close();
                answer.await
            }
        };
        Ok(match answer {
            Ok(Final::Served(answer)) => {
                let mut reply = Response::new(Full::new(answer.body));
                if let Some(kind) = answer.headers.get(CONTENT_TYPE) {
                    reply.headers_mut().insert(CONTENT_TYPE, kind.clone());
                }
                reply
            }
            Ok(Final::Refused(after_ms)) => refusal(after_ms),
            Ok(Final::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
        })
    }

    fn up(&self) -> Reply {
        let waited = self.started.elapsed();
        let ready = self.driver.is_listed() || waited >= if self.knows_some { UP_KNOWN } else { UP_ANYWAY };
        match ready {
            true => plain(StatusCode::OK, "ok"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "no backend list yet"),
        }
    }

    /// Checks all that comes before the body.
    fn read_head(&self, head: &Parts) -> Result<(Asked, u32), Bad> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let id = single(&head.headers, "request-id").ok_or(bad("no single Request-Id"))?;
        if id.is_empty() || id.len() > 128 || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(bad("malformed Request-Id"));
        }
        let name = single(&head.headers, "request-class").ok_or(bad("no single Request-Class"))?;
        let class = self.classes.iter().position(|c| c.name == name).ok_or(bad("unknown class"))?;
        let tenant = match self.tenants.is_empty() {
            true => 0,
            false => {
                let name = single(&head.headers, "tenant").ok_or(bad("no single Tenant"))?;
                self.tenants.iter().position(|t| t.name == name).ok_or(bad("unknown tenant"))?
            }
        };
        let text =
            single(&head.headers, TIMEOUT_HEADER.as_str()).filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let timeout_ms = text.and_then(|t| t.parse().ok()).ok_or(bad("no usable Request-Timeout-Ms"))?;
        let keys = head.headers.get_all("idempotency-key").iter().count();
        let (method, needed) = match self.classes[class].effect {
            Effect::Repeatable => (Method::GET, None),
            Effect::Keyed => (Method::POST, Some(1)),
            Effect::Once => (Method::POST, Some(0)),
        };
        if head.method != method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
        }
        if needed.is_some_and(|needed| needed != keys) {
            return Err(bad("Idempotency-Key does not go with this class"));
        }
        let info = head.headers.get("request-info").and_then(|v| v.to_str().ok()).unwrap_or_default();
        let asked = Asked {
            class: class as u8,
            tenant: tenant as u16,
            key: key(head.uri.path()),
            hint_ms: single(&head.headers, "work-hint")
                .and_then(|t| t.parse::<f64>().ok())
                .map(|us| us / 1000.0),
            repeat: single(&head.headers, "client-retry") == Some("1"),
            write: info.split(',').any(|part| part.trim() == "write=1"),
            deadline: Instant::now(),
        };
        Ok((asked, timeout_ms))
    }
}

type Bad = (StatusCode, &'static str);

/// The value of a header that stands there once.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then(|| value.to_str().ok()).flatten()
}

/// What a request is about: the last part of its path.
fn key(path: &str) -> Option<u64> {
    let last = path.rsplit('/').next().filter(|last| !last.is_empty())?;
    Some(u64::from_str_radix(last, 16).unwrap_or_else(|_| hash(last.as_bytes())))
}

async fn read_body(body: Incoming) -> Result<Bytes, Bad> {
    const TOO_LARGE: Bad = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(TOO_LARGE);
    }
    match timeout(BODY_TIMEOUT, Limited::new(body, BODY_MOST).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(TOO_LARGE),
        Ok(Err(_)) => Err((StatusCode::BAD_REQUEST, "the body is cut short")),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "the body does not come")),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

fn refusal(after_ms: f64) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if after_ms > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after_ms / 1000.0)) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}
