//! What comes in: identifiers, the endpoint list, and events. All times are in milliseconds.

#[cfg(doc)]
use crate::{Action, Class, Settings};

/// A time or a span of time, in milliseconds.
pub type Millis = f64;
/// Identifies a request for as long as the proxy holds it; never reused for one balancer.
pub type RequestId = u64;
/// Identifies an endpoint; survives a restart of its process.
pub type EndpointId = u32;

/// A load report: the first `len` values count, in the order of [`Settings::report_fields`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// How many values there are; 0 where no report came.
    pub len: u8,
    /// The values.
    pub values: [f32; 4],
}

/// The state discovery gives for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// New requests may be sent.
    Ready,
    /// The endpoint finishes what it has; nothing new may be sent.
    Draining,
    /// The endpoint is removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointInfo {
    /// The endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: u16,
    /// Its kind of machine. No decision reads it.
    pub kind: u8,
    /// Its cell: endpoints that share the idempotency keys that they have seen.
    pub cell: u16,
    /// Whether new requests may be sent.
    pub state: EndpointState,
    /// Capacity beside other endpoints, as [`Settings::weight_kind`] says.
    pub weight: f64,
    /// When the endpoint last started; `None` if long ago.
    pub started_at: Option<Millis>,
}

/// What a [`Event::EndpointsChanged`] carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The whole list: what is not in it is gone.
    Full,
    /// The whole list as this process had it last; may be old.
    Cached,
    /// A call to discovery failed or the subscription broke; no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Rejected by the endpoint before it ran.
    Full,
    /// No answer in time; it may have run, or may yet.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Cancelled before it was sent.
    NotSent,
    /// Not sent: what the fleet may send to this endpoint is used up. Another may have capacity.
    NoCapacity,
}

impl Outcome {
    /// For the log.
    pub fn text(self) -> &'static str {
        match self {
            Outcome::Ok => "ok",
            Outcome::Error => "error",
            Outcome::Full => "full",
            Outcome::Timeout => "timeout",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not_sent",
            Outcome::NoCapacity => "no_capacity",
        }
    }

    /// Whether this outcome proves that the attempt never ran.
    pub fn was_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NoCapacity
        )
    }

    /// Whether it says nothing of the endpoint.
    pub fn is_independent_of_endpoint(self) -> bool {
        matches!(
            self,
            Outcome::Cancelled | Outcome::NotSent | Outcome::NoCapacity
        )
    }
}

/// An input of the balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// The endpoint list has changed. A `Cached` list comes before any other event.
    EndpointsChanged {
        /// How to read `endpoints`.
        kind: ListKind,
        /// The version of the list. No decision reads it: changes come in order and complete.
        version: u32,
        /// The entries.
        endpoints: &'a [EndpointInfo],
    },
    /// A request arrived; one final answer is owed within `ttl_ms`.
    Request {
        /// Its id.
        id: RequestId,
        /// A routing key: equal keys concern the same object. No decision reads it.
        key: Option<u64>,
        /// The only cell that it may go to; `None` for any.
        cell: Option<u16>,
        /// Its class.
        class: u8,
        /// Its tenant.
        tenant: u16,
        /// Expected work, where the client knows it. No decision reads it.
        hint_ms: Option<Millis>,
        /// The client marked it as a retry. No decision reads it.
        is_client_retry: bool,
        /// The request writes. No decision reads it.
        write: bool,
        /// How long the client waits.
        ttl_ms: Millis,
    },
    /// A streamed response has begun. No decision reads it.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u8,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time since the send.
        latency_ms: Millis,
    },
    /// An attempt ended. Every send gets exactly one of these.
    Outcome {
        /// The request.
        request: RequestId,
        /// The number of the attempt, from 0 in the order of the sends.
        attempt: u8,
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        latency_ms: Millis,
        /// The request is over; no final answer is owed any more.
        ended: bool,
        /// The endpoint's load report, if one came along.
        report: Report,
    },
    /// The client has left; nothing more is owed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer has expired.
    Timer {
        /// The token given with [`Action::SetTimer`].
        token: u64,
    },
    /// A health check ended. No decision reads it: the module sends none.
    ProbeResult {
        /// The endpoint.
        endpoint: EndpointId,
        /// `Ok`, or why not.
        outcome: Outcome,
        /// Time since the probe was sent.
        latency_ms: Millis,
        /// Its load report, if any.
        report: Report,
    },
    /// Bytes from another process. Ignored: processes share nothing.
    Message {
        /// Rank of the sender.
        from: u16,
        /// The bytes.
        bytes: &'a [u8],
    },
}
