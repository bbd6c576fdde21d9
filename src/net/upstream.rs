//! Attempts at backends, and the pool of connections to them.

use super::io::{out_of_descriptors, Io, Wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, Connection, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{header, Method, Request, StatusCode, Uri};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout_at;
use umberridge::api::{BackendId, Outcome, Report, ReportField};

/// The largest body on either side.
pub const BODY_MOST: usize = 64 * 1024;
/// Headers that speak of one connection and stay on it, and those that are written anew.
const OWN_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];
/// How long a caller waits.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("request-timeout-ms");
const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// A caller's request, as it goes on to a backend.
pub struct Inbound {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

/// A whole answer.
pub struct Answer {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt ended.
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// When: the last read, where an answer came.
    pub at: Instant,
    /// The backend's load report.
    pub report: Report,
    /// The answer, for [`Outcome::Ok`] alone.
    pub answer: Option<Answer>,
}

impl Ended {
    /// An end without an answer.
    pub fn now(outcome: Outcome) -> Ended {
        Ended { outcome, at: Instant::now(), report: Report::default(), answer: None }
    }
}

/// Counts one open connection for as long as it lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(count: &Rc<Cell<usize>>) -> Counted {
        count.set(count.get() + 1);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection and its protocol in one piece: dropping it closes the socket at once, also with a request
/// out, so that no attempt outlives its giving up.
struct Conn {
    sender: SendRequest<Full<Bytes>>,
    protocol: Pin<Box<Connection<Io, Full<Bytes>>>>,
    wire: Rc<Wire>,
    _counted: Counted,
}

impl Conn {
    /// Lets the protocol see the end of the last exchange; true if the connection can carry another.
    async fn settle(&mut self) -> bool {
        let open = poll_fn(|cx| Poll::Ready(self.protocol.as_mut().poll(cx).is_pending())).await;
        open && self.sender.is_ready() && self.wire.is_quiet()
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Answer), ()> {
        let answer = async {
            let response = self.sender.send_request(request).await.map_err(drop)?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, BODY_MOST).collect().await.map_err(drop)?.to_bytes();
            Ok((head.status, Answer { headers: head.headers, body }))
        };
        tokio::pin!(answer);
        tokio::select! {
            biased;
            answer = &mut answer => answer,
            // What the protocol has read before its end is still to be had.
            _ = &mut self.protocol => answer.await,
        }
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// The connections to all backends.
pub struct Upstream {
    idle: RefCell<FxHashMap<BackendId, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    most: usize,
    connect_timeout: Duration,
    idle_most: Duration,
    fields: Vec<ReportField>,
}

impl Upstream {
    /// A pool that holds at most so many connections. Idle ones are dropped at half of the time at which
    /// backends close them: a request that crosses such a close would be lost.
    pub fn new(most: usize, connect_ms: f64, idle_close_ms: f64, fields: Vec<ReportField>) -> Upstream {
        let span = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, 3.6e6) / 1000.0);
        Upstream {
            idle: RefCell::default(),
            open: Rc::default(),
            most,
            connect_timeout: span(connect_ms),
            idle_most: span(idle_close_ms / 2.0),
            fields,
        }
    }

    /// Drops the idle connections to a backend.
    pub fn close_idle(&self, backend: BackendId) {
        self.idle.borrow_mut().remove(&backend);
    }

    /// Drops what has been idle for long, or was closed at the other end.
    pub fn reap(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|i| now.duration_since(i.since) < self.idle_most && i.conn.wire.is_quiet());
            !list.is_empty()
        });
    }

    /// Drops the connection that has been idle longest; false if there is none.
    pub fn shed(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(id, list)| Some((list.first()?.since, *id))).min();
        let Some(list) = oldest.and_then(|(_, id)| idle.get_mut(&id)) else { return false };
        list.remove(0);
        true
    }

    /// The connection to a backend that was used last, if one is alive.
    fn take_idle(&self, backend: BackendId) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&backend)?;
        let now = Instant::now();
        while let Some(Idle { conn, since }) = list.pop() {
            if now.duration_since(since) < self.idle_most && conn.wire.is_quiet() {
                return Some(conn);
            }
        }
        None
    }

    /// A new connection. Want of sockets here is told as [`Outcome::Moot`]: it says nothing of the backend.
    async fn connect(&self, address: SocketAddr, until: Instant) -> Result<Conn, Outcome> {
        while self.open.get() >= self.most {
            if !self.shed() {
                return Err(Outcome::Moot);
            }
        }
        let counted = Counted::new(&self.open);
        let until = until.min(Instant::now() + self.connect_timeout);
        let stream = match timeout_at(until.into(), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_descriptors(&e) => {
                self.shed();
                return Err(Outcome::Moot);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        let wire = Wire::new(stream);
        let (sender, protocol) = handshake(Io(wire.clone())).await.map_err(|_| Outcome::ConnectFailed)?;
        Ok(Conn { sender, protocol: Box::pin(protocol), wire, _counted: counted })
    }

    /// One attempt of a request. `may_write` is asked right before the first byte goes out. When this
    /// returns, the request is no longer out on any open connection.
    pub async fn attempt(
        &self,
        backend: BackendId,
        address: SocketAddr,
        inbound: &Inbound,
        until: Instant,
        may_write: impl Fn() -> bool,
    ) -> Ended {
        let mut idle = self.take_idle(backend);
        loop {
            let pooled = idle.is_some();
            let conn = match idle.take() {
                Some(conn) => Ok(conn),
                None => self.connect(address, until).await,
            };
            let mut conn = match conn {
                Ok(conn) => conn,
                Err(outcome) => return Ended::now(outcome),
            };
            // Guards a drain that was told while the connection came up: nothing new may start then.
            if !may_write() {
                return Ended::now(Outcome::ConnectFailed);
            }
            let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
            if left == 0 {
                return Ended::now(Outcome::Moot);
            }
            conn.wire.begin_request(inbound.body.len());
            let exchange = conn.exchange(outbound(inbound, left));
            let result = timeout_at(until.into(), exchange).await;
            if let Ok(Ok((status, answer))) = result {
                let report = self.report(&answer.headers);
                let at = conn.wire.last_read();
                let outcome = outcome(status, &answer.headers);
                if conn.settle().await {
                    let idle = Idle { conn, since: Instant::now() };
                    self.idle.borrow_mut().entry(backend).or_default().push(idle);
                }
                let answer = (outcome == Outcome::Ok).then_some(answer);
                return Ended { outcome, at, report, answer };
            }
            if pooled && result.is_ok() && !conn.wire.request_begun() {
                // It died in the pool and not a byte of the request went out: a fresh one serves as well.
                continue;
            }
            // A machine that was cut off says nothing, and its pooled connections look alive for ever. A fresh
            // one fails soon, and with nothing sent.
            self.close_idle(backend);
            return Ended::now(match (conn.wire.request_whole(), result) {
                // A backend begins a request with its last byte: this one never began.
                (false, _) => Outcome::ConnectFailed,
                (true, Ok(_)) => Outcome::Reset,
                (true, Err(_)) => Outcome::Timeout,
            });
        }
    }

    /// Checks a backend once, on a connection of its own.
    pub async fn probe(&self, address: SocketAddr, path: &'static str) -> Ended {
        let until = Instant::now() + self.connect_timeout * 2;
        let mut conn = match self.connect(address, until).await {
            Ok(conn) => conn,
            Err(outcome) => return Ended::now(outcome),
        };
        let request = Request::get(path).header(header::HOST, address.to_string());
        let request = request.body(Full::new(Bytes::new())).expect("a fixed path and an address are valid");
        match timeout_at(until.into(), conn.exchange(request)).await {
            Err(_) => Ended::now(Outcome::Timeout),
            Ok(Err(())) => Ended::now(Outcome::Reset),
            Ok(Ok((status, answer))) => {
                let outcome = if status == StatusCode::OK { Outcome::Ok } else { Outcome::Error };
                let mut report = self.report(&answer.headers);
                if report.len == 0 {
                    report = self.parse_report(std::str::from_utf8(&answer.body).unwrap_or_default());
                }
                Ended { outcome, at: conn.wire.last_read(), report, answer: None }
            }
        }
    }

    fn report(&self, headers: &HeaderMap) -> Report {
        let text = headers.get(SERVER_LOAD).and_then(|value| value.to_str().ok());
        self.parse_report(text.unwrap_or_default())
    }

    /// Reads `name=value,name=value` in the order of the settings; none unless all that they name is there.
    fn parse_report(&self, text: &str) -> Report {
        let mut report = Report::default();
        for field in &self.fields {
            let mut values = text.split(',').filter_map(|part| part.split_once('='));
            let value = values.find(|(name, _)| field_named(name.trim()) == *field);
            let Some(Ok(value)) = value.map(|(_, value)| value.trim().parse()) else {
                return Report::default();
            };
            report.values[usize::from(report.len)] = value;
            report.len += 1;
        }
        report
    }
}

fn field_named(name: &str) -> ReportField {
    match name {
        "inflight" | "active" => ReportField::Active,
        "queue" | "waiting" => ReportField::Waiting,
        "util" | "cpu" => ReportField::Cpu,
        "latency_ms" | "avg_ms" => ReportField::LatencyMs,
        "qps" | "rps" => ReportField::PerSecond,
        "eps" | "err_rps" => ReportField::ErrorsPerSecond,
        _ => ReportField::Unknown,
    }
}

fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unseen = headers.get(NOT_STARTED).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn outbound(inbound: &Inbound, left_ms: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = Uri::from(inbound.path.clone());
    let mut headers = inbound.headers.clone();
    for name in &OWN_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.insert(TIMEOUT_HEADER, HeaderValue::from(left_ms));
    *request.headers_mut() = headers;
    request
}
