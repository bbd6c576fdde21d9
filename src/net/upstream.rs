//! The connections to backends, and what an attempt at one takes and gives.

mod connection;
mod idle;

use super::connect::{self, ConnectError};
use super::io::is_out_of_descriptors;
use super::limits::{Body, Limits};
use super::stream::{ResponseBody, StreamedRequestBody, Upload};
use super::unsolicited::UnsolicitedBytes;
use dewrun_admin::Counter;
use dewrun_balancer::{EndpointId, Outcome, Report, ReportField};
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use idle::Idle;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub(super) use connection::{reuse_after, EndpointConnection, Reuse};

/// How long a caller waits.
pub const REQUEST_TIMEOUT_HEADER: HeaderName = HeaderName::from_static("request-timeout-ms");
/// A backend's word that it has not begun a request.
pub const NOT_STARTED_HEADER: HeaderName = HeaderName::from_static("not-started");
/// On the platform either side may take long over its bytes; what has begun is not cut off before.
const PLATFORM_RESPONSE_TIMEOUTS: ResponseTimeouts = ResponseTimeouts {
    endpoint_idle: Duration::from_secs(8),
    client_idle: Duration::from_secs(10),
};
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// A caller's request, as it goes on to a backend.
pub struct ClientRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
    /// How long its caller waits once a body that was not kept has gone out whole; where it does
    /// not say, the deadline holds for the body too.
    pub response_timeout: Option<Duration>,
}

/// The body of a caller's request.
pub enum RequestBody {
    /// Whole.
    Buffered(Body),
    /// Too large to be kept: it is taken when it begins to go out. With how far it has come.
    Streamed(Cell<Option<StreamedRequestBody>>, Rc<Upload>),
}

impl RequestBody {
    /// Whether it went out and can't go again.
    pub fn is_spent(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => false,
            RequestBody::Streamed(body, _) => {
                let inside = body.take();
                let spent = inside.is_none();
                body.set(inside);
                spent
            }
        }
    }

    /// How far it has come, where it is passed on.
    pub fn upload(&self) -> Option<Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(_, upload) => Some(upload.clone()),
        }
    }

    /// Whether its caller broke it off.
    pub fn is_interrupted(&self) -> bool {
        matches!(self, RequestBody::Streamed(_, upload) if upload.is_interrupted())
    }
}

/// An answer, whole or as it comes.
pub struct EndpointResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
}

/// How backends are spoken to.
#[derive(Clone, Copy, PartialEq)]
pub enum UpstreamProtocol {
    /// The platform's protocol: 200 alone is an answer, and a backend begins a request with its
    /// last byte.
    Platform,
    /// Ordinary HTTP: any status can be the answer, a 5xx is a failed attempt, and an endpoint may
    /// act on a head alone.
    Http,
}

/// Waits of an answer.
#[derive(Clone, Copy)]
pub struct ResponseTimeouts {
    /// For the backend's next bytes.
    pub endpoint_idle: Duration,
    /// For the caller to take what there is.
    pub client_idle: Duration,
}

/// How long an attempt may take.
#[derive(Clone, Copy)]
pub struct AttemptTimes {
    /// When its request is over.
    pub deadline: Instant,
    /// From the time it has a connection that may be used.
    pub timeout: Duration,
    /// For a new connection, besides what the pool says.
    pub connect_timeout: Duration,
    /// By when the last byte of the request has to be written, where an earlier attempt of it may
    /// have run: from then on nobody drops a repeat.
    pub write_by: Option<Instant>,
    /// Whether it may wait until a connection can be reused where another could be opened. Its
    /// endpoint may leave the list meanwhile, which ends the attempt, so a further one must be left.
    pub may_wait_for_reuse: bool,
}

impl AttemptTimes {
    /// The latest time for its first byte.
    pub fn write_deadline(&self) -> Instant {
        self.write_by.unwrap_or(self.deadline).min(self.deadline)
    }

    /// Whether the time for writing it is over.
    pub fn is_late_to_write(&self) -> bool {
        self.write_by.is_some_and(|by| Instant::now() >= by)
    }
}

/// How an attempt ended.
pub struct AttemptOutcome {
    /// The outcome.
    pub outcome: Outcome,
    /// When: the last read, where an answer came.
    pub at: Instant,
    /// The backend's load report.
    pub report: Report,
    /// The answer, for [`Outcome::Ok`] alone.
    pub response: Option<EndpointResponse>,
    /// The status of an answer that speaks of the request and not of the backend.
    pub client_error: Option<StatusCode>,
    /// A backend's answer that another attempt may better; the caller's if none does.
    pub last_error_response: Option<EndpointResponse>,
}

impl AttemptOutcome {
    /// An end without an answer.
    pub fn now(outcome: Outcome) -> AttemptOutcome {
        let at = Instant::now();
        AttemptOutcome {
            outcome,
            at,
            report: Report::default(),
            response: None,
            client_error: None,
            last_error_response: None,
        }
    }

    /// An end with a whole answer of any status.
    pub fn with_response(
        outcome: Outcome,
        at: Instant,
        report: Report,
        response: EndpointResponse,
    ) -> AttemptOutcome {
        let (response, last_error_response) = match outcome {
            Outcome::Ok => (Some(response), None),
            _ => (None, Some(response)),
        };
        AttemptOutcome {
            outcome,
            at,
            report,
            response,
            client_error: None,
            last_error_response,
        }
    }
}

/// The connections to all backends.
pub struct Upstream {
    idle: RefCell<FxHashMap<EndpointId, Vec<Idle>>>,
    pub(super) limits: Rc<Limits>,
    pub(super) protocol: UpstreamProtocol,
    pub(super) times: ResponseTimeouts,
    pub(super) connect_timeout: Duration,
    max_idle_time: Duration,
    fields: Vec<ReportField>,
    pub(super) forwards: Counter,
    unsolicited: UnsolicitedBytes,
    /// Endpoints at which a request waits until a connection may be reused.
    waiting: RefCell<FxHashSet<EndpointId>>,
}

impl Upstream {
    /// A pool that holds its share of connections. Idle ones are dropped at half of the time at
    /// which backends close them: a request that crosses such a close would be lost.
    pub fn new(
        limits: Rc<Limits>,
        connect_ms: f64,
        idle_close_ms: f64,
        fields: Vec<ReportField>,
    ) -> Upstream {
        let span = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, 3.6e6) / 1000.0);
        Upstream {
            idle: RefCell::default(),
            limits,
            protocol: UpstreamProtocol::Platform,
            times: PLATFORM_RESPONSE_TIMEOUTS,
            connect_timeout: span(connect_ms),
            max_idle_time: span(idle_close_ms / 2.0),
            fields,
            forwards: Counter::default(),
            unsolicited: UnsolicitedBytes::default(),
            waiting: RefCell::default(),
        }
    }

    /// The same, with its attempts counted as they are written completely, and what endpoints send
    /// unasked.
    pub fn with_counters(self, forwards: Counter, unsolicited: Counter) -> Upstream {
        Upstream {
            forwards,
            unsolicited: UnsolicitedBytes::counting(unsolicited),
            ..self
        }
    }

    /// The same for ordinary callers.
    pub fn with_http(self, times: ResponseTimeouts) -> Upstream {
        Upstream {
            protocol: UpstreamProtocol::Http,
            times,
            ..self
        }
    }

    /// A new connection. Want of sockets here is told as [`Outcome::NotSent`]: it says nothing of the
    /// backend.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        until: Instant,
        timeout: Duration,
    ) -> Result<EndpointConnection, Outcome> {
        let reservation = loop {
            match self.limits.upstream.try_reserve(1) {
                Some(reservation) => break reservation,
                None if self.close_oldest_idle() => {}
                None => return Err(Outcome::NotSent),
            }
        };
        // Not at the cost of what connections other requests need.
        let reserve_more = || {
            Some(&self.limits.upstream)
                .filter(|share| share.has_headroom())?
                .try_reserve(1)
        };
        let timeout = self.connect_timeout.min(timeout);
        let (stream, counted) =
            match connect::open(address, (reservation, reserve_more), (until, timeout)).await {
                Ok(opened) => opened,
                Err(ConnectError::Failed(e)) if is_out_of_descriptors(&e) => {
                    self.close_oldest_idle();
                    return Err(Outcome::NotSent);
                }
                Err(_) => return Err(Outcome::ConnectFailed),
            };
        EndpointConnection::start(stream, counted)
            .await
            .map_err(|_| Outcome::ConnectFailed)
    }

    pub(super) fn report(&self, headers: &HeaderMap) -> Report {
        let text = headers
            .get(SERVER_LOAD)
            .and_then(|value| value.to_str().ok());
        self.parse_report(text.unwrap_or_default())
    }

    /// Reads `name=value,name=value` in the order of the settings; none unless all that they name
    /// is there and can be true: a peer's numbers are not to be trusted.
    pub(super) fn parse_report(&self, text: &str) -> Report {
        let mut report = Report::default();
        for field in &self.fields {
            let mut values = text.split(',').filter_map(|part| part.split_once('='));
            let value = values.find(|(name, _)| field_named(name.trim()) == *field);
            let value = value.and_then(|(_, value)| value.trim().parse::<f32>().ok());
            let Some(value) = value.filter(|value| value.is_finite() && *value >= 0.0) else {
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
