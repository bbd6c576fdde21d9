//! Connections to endpoints, and the input and outcome of an attempt.

mod connection;
mod idle;

use super::connect::{self, ConnectError};
use super::driver::MAX_DURATION;
use super::io::is_out_of_descriptors;
use super::limits::{Body, Limits};
use super::response_times::ResponseTimes;
use super::stream::{ResponseBody, StreamedRequestBody};
use super::unsolicited::UnsolicitedBytes;
use super::upload::UploadProgress;
use dewrun_admin::{Counter, IncompleteResponse, IncompleteResponses};
use dewrun_balancer::{EndpointId, Outcome, Report, ReportField};
use dewrun_forwarding::BodyLength;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::response::Parts as Head;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use idle::IdleConnection;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub(super) use connection::{classify_protocol_end, EndpointConnection, Reuse};

/// Header with the time in milliseconds that the sender waits for the response.
pub const REQUEST_TIMEOUT_HEADER: HeaderName = HeaderName::from_static("request-timeout-ms");
/// Header by which an endpoint states that it has not started a request.
const NOT_STARTED_HEADER: HeaderName = HeaderName::from_static("not-started");
/// Timeouts on the platform, where either side may pause for long within a message; a transfer is
/// not cut off before.
pub(super) const PLATFORM_RESPONSE_TIMEOUTS: ResponseTimeouts = ResponseTimeouts {
    endpoint_idle: Duration::from_secs(8),
    client_idle: Duration::from_secs(10),
};
/// How long a broken connection is remembered: no retry follows its request's first attempt later.
const BROKEN_CONNECTION_TTL: Duration = MAX_DURATION;
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// A client's request as it is sent to an endpoint.
pub struct ClientRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: RequestBody,
    /// How long the client waits for the response once a streamed body has been sent completely; if
    /// `None`, the deadline holds for the body too.
    pub response_timeout: Option<Duration>,
}

/// Body of a client's request.
pub enum RequestBody {
    /// A complete body in memory.
    Buffered(Body),
    /// A body that is too large to buffer, with its progress. It is removed when it starts to be
    /// sent, so it can be sent once.
    Streamed(Cell<Option<StreamedRequestBody>>, Rc<UploadProgress>),
}

impl RequestBody {
    /// Returns whether the body was sent and cannot be sent again.
    pub fn is_spent(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => false,
            RequestBody::Streamed(body, _) => {
                let content = body.take();
                let is_spent = content.is_none();
                body.set(content);
                is_spent
            }
        }
    }

    /// Returns the progress of a streamed body; `None` if the body is buffered.
    pub fn upload(&self) -> Option<Rc<UploadProgress>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(_, upload) => Some(upload.clone()),
        }
    }

    /// Returns whether the client broke off the body.
    pub fn is_interrupted(&self) -> bool {
        matches!(self, RequestBody::Streamed(_, upload) if upload.is_interrupted())
    }
}

/// Response of an endpoint, with a buffered or a streamed body.
pub struct EndpointResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Length that the headers state: that of the body, or of the response to a GET if there can be
    /// no body.
    pub stated_length: BodyLength,
    /// Body.
    pub body: ResponseBody,
}

impl EndpointResponse {
    /// Creates a response from its head, the length that the head states, and the body.
    pub fn new(head: Head, stated_length: BodyLength, body: ResponseBody) -> EndpointResponse {
        EndpointResponse {
            status: head.status,
            headers: head.headers,
            stated_length,
            body,
        }
    }

    /// Returns whether the endpoint states that it has not started the request.
    pub fn is_not_started(&self) -> bool {
        is_not_started(self.status, &self.headers)
    }
}

/// Returns whether a response states that its endpoint has not started the request.
pub fn is_not_started(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_rejection = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    let is_stated = headers
        .get(NOT_STARTED_HEADER)
        .is_some_and(|value| value == "1");
    is_rejection && is_stated
}

/// The protocol that endpoints speak.
#[derive(Clone, Copy, PartialEq)]
pub enum UpstreamProtocol {
    /// The platform's protocol: only status 200 is a response, and an endpoint starts a request
    /// when it has its last byte.
    Platform,
    /// Ordinary HTTP: any status can be the response, a 5xx is a failed attempt, and an endpoint
    /// may act on the request head alone.
    Http,
}

/// Idle timeouts while a response is transferred.
#[derive(Clone, Copy)]
pub struct ResponseTimeouts {
    /// Timeout for the next bytes of the endpoint.
    pub endpoint_idle: Duration,
    /// Timeout for the client to read what is available.
    pub client_idle: Duration,
}

/// Time limits of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptTimes {
    /// Deadline of the request.
    pub deadline: Instant,
    /// Timeout from the time when a usable connection is available.
    pub timeout: Duration,
    /// Timeout for a new connection; the pool's connect timeout applies too.
    pub connect_timeout: Duration,
    /// Time by which the last byte of the request has to be written, if an earlier attempt may have
    /// been executed: later retries would not be deduplicated.
    pub write_by: Option<Instant>,
    /// Time since which the endpoint must have been the same process, if an earlier attempt may have
    /// been executed and only some endpoints would drop the repeat.
    pub same_process_since: Option<Instant>,
    /// Whether the attempt may wait until a connection can be reused although another could be
    /// opened. Its endpoint may be removed from the list meanwhile, which ends the attempt, so a
    /// further attempt must be left.
    pub may_wait_for_reuse: bool,
}

impl AttemptTimes {
    /// Returns the latest time at which the first byte may be written.
    pub fn write_deadline(&self) -> Instant {
        self.write_by.unwrap_or(self.deadline).min(self.deadline)
    }

    /// Returns whether the time for writing the request is over.
    pub fn is_late_to_write(&self) -> bool {
        self.write_by.is_some_and(|by| Instant::now() >= by)
    }
}

/// Result of an attempt.
pub struct AttemptOutcome {
    /// Outcome as the balancer counts it.
    pub outcome: Outcome,
    /// Time of the end; with a response, the time of the last read.
    pub at: Instant,
    /// Load report of the endpoint.
    pub report: Report,
    /// The response, for [`Outcome::Ok`] alone.
    pub response: Option<EndpointResponse>,
    /// Status of a response that is about the request and says nothing about the endpoint.
    pub client_error: Option<StatusCode>,
    /// Failure response that another attempt may improve on; it goes to the client if none does.
    pub last_error_response: Option<EndpointResponse>,
    /// Why a response that had begun was not relayed completely.
    pub incomplete: Option<IncompleteResponse>,
}

impl AttemptOutcome {
    /// Returns a result without a response that ends now.
    pub fn ended_now(outcome: Outcome) -> AttemptOutcome {
        let at = Instant::now();
        AttemptOutcome {
            outcome,
            at,
            report: Report::default(),
            response: None,
            client_error: None,
            last_error_response: None,
            incomplete: None,
        }
    }

    /// Returns a result with a complete response of any status.
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
            incomplete: None,
        }
    }
}

/// Counters that the upstream side increments.
#[derive(Default)]
pub struct UpstreamCounters {
    /// Completely written attempts.
    pub written_attempts: Counter,
    /// Times that an endpoint sent bytes which no request asked for.
    pub unsolicited: Counter,
    /// Responses that were not relayed completely.
    pub incomplete_responses: IncompleteResponses,
}

/// Connections to all endpoints of a pool.
pub struct Upstream {
    idle: RefCell<FxHashMap<EndpointId, VecDeque<IdleConnection>>>,
    pub(super) limits: Rc<Limits>,
    pub(super) protocol: UpstreamProtocol,
    pub(super) response_timeouts: ResponseTimeouts,
    pub(super) connect_timeout: Duration,
    max_idle_time: Duration,
    report_fields: Vec<ReportField>,
    pub(super) written_attempts: Counter,
    unsolicited: UnsolicitedBytes,
    response_times: ResponseTimes,
    pub(super) incomplete_responses: IncompleteResponses,
    /// When a connection to each endpoint last broke or failed, until the list tells of its endpoint
    /// again; another process may have taken its address since.
    broken_at: RefCell<FxHashMap<EndpointId, Instant>>,
    /// Endpoints for which a request waits until a connection may be reused.
    awaited_endpoints: RefCell<FxHashSet<EndpointId>>,
}

impl Upstream {
    /// Creates an empty connection pool. Idle connections are closed at half the idle timeout of
    /// the endpoints, since a request that crosses a close by the endpoint would be lost.
    pub fn new(
        limits: Rc<Limits>,
        connect_ms: f64,
        idle_close_ms: f64,
        report_fields: Vec<ReportField>,
    ) -> Upstream {
        let duration = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, 3.6e6) / 1000.0);
        Upstream {
            idle: RefCell::default(),
            limits,
            protocol: UpstreamProtocol::Platform,
            response_timeouts: PLATFORM_RESPONSE_TIMEOUTS,
            connect_timeout: duration(connect_ms),
            max_idle_time: duration(idle_close_ms / 2.0),
            report_fields,
            written_attempts: Counter::default(),
            unsolicited: UnsolicitedBytes::default(),
            response_times: ResponseTimes::default(),
            incomplete_responses: IncompleteResponses::default(),
            broken_at: RefCell::default(),
            awaited_endpoints: RefCell::default(),
        }
    }

    /// Sets the counters.
    pub fn with_counters(self, counters: UpstreamCounters) -> Upstream {
        Upstream {
            written_attempts: counters.written_attempts,
            unsolicited: UnsolicitedBytes::with_counter(counters.unsolicited),
            incomplete_responses: counters.incomplete_responses,
            ..self
        }
    }

    /// Switches to ordinary HTTP with these timeouts.
    pub fn with_http(self, response_timeouts: ResponseTimeouts) -> Upstream {
        Upstream {
            protocol: UpstreamProtocol::Http,
            response_timeouts,
            ..self
        }
    }

    /// Records that a connection to an endpoint broke or failed, which may be the end of its process.
    pub(super) fn record_broken(&self, endpoint: EndpointId) {
        self.broken_at.borrow_mut().insert(endpoint, Instant::now());
    }

    /// Records that the list tells of an endpoint: the process at its address is the listed one.
    pub(super) fn confirm_process(&self, endpoint: EndpointId) {
        self.broken_at.borrow_mut().remove(&endpoint);
    }

    /// Forgets the connections that broke long ago, also of endpoints that have left the list since.
    pub(super) fn expire_broken(&self, now: Instant) {
        self.broken_at.borrow_mut().retain(|_, broken_at| {
            now.saturating_duration_since(*broken_at) < BROKEN_CONNECTION_TTL
        });
    }

    /// Returns whether the process at an endpoint's address may be another one than at a time.
    pub(super) fn may_be_replaced_since(&self, endpoint: EndpointId, time: Instant) -> bool {
        let broken_at = self.broken_at.borrow().get(&endpoint).copied();
        broken_at.is_some_and(|broken_at| broken_at >= time)
    }

    /// Opens a connection. A lack of local sockets is reported as [`Outcome::NotSent`], since it
    /// says nothing about the endpoint.
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
        // Racing connections must not use up those that other requests need.
        let reserve_more = || {
            Some(&self.limits.upstream)
                .filter(|limit| limit.has_headroom())?
                .try_reserve(1)
        };
        let timeout = self.connect_timeout.min(timeout);
        let (stream, reservation) =
            match connect::open(address, (reservation, reserve_more), (until, timeout)).await {
                Ok(opened) => opened,
                Err(ConnectError::Failed(e)) if is_out_of_descriptors(&e) => {
                    self.close_oldest_idle();
                    return Err(Outcome::NotSent);
                }
                Err(_) => return Err(Outcome::ConnectFailed),
            };
        EndpointConnection::start(stream, reservation)
            .await
            .map_err(|_| Outcome::ConnectFailed)
    }

    pub(super) fn report(&self, headers: &HeaderMap) -> Report {
        let text = headers
            .get(SERVER_LOAD)
            .and_then(|value| value.to_str().ok());
        self.parse_report(text.unwrap_or_default())
    }

    /// Parses `name=value,name=value` in the order of the settings. The report is empty unless
    /// every field of the settings is present with a plausible value, since numbers of a peer are
    /// not trusted.
    pub(super) fn parse_report(&self, text: &str) -> Report {
        let mut report = Report::default();
        for field in &self.report_fields {
            let mut values = text.split(',').filter_map(|part| part.split_once('='));
            let value = values.find(|(name, _)| report_field(name.trim()) == *field);
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

fn report_field(name: &str) -> ReportField {
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

#[cfg(test)]
mod tests;
