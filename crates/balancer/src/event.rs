//! Inputs of the balancer: identifiers, the endpoint list, and events. All times are in
//! milliseconds.

#[cfg(doc)]
use crate::{Action, Class, Settings};

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
/// Identifies a request from its arrival to its final result. A balancer never sees an id twice.
pub type RequestId = u64;
/// Identifies an endpoint. The id does not change when the endpoint's process restarts.
pub type EndpointId = u32;

/// A load report whose first `len` values are valid, in the order of [`Settings::report_fields`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of valid values; 0 for no report.
    pub len: u8,
    /// Values in the order of [`Settings::report_fields`].
    pub values: [f32; 4],
}

/// The state of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint finishes requests in flight and must get no new requests.
    Draining,
    /// The endpoint was removed from the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Identifier of the endpoint.
    pub id: EndpointId,
    /// Zone of the endpoint.
    pub zone: u16,
    /// Machine kind of the endpoint. No decision reads it.
    pub kind: u8,
    /// Cell of the endpoint. The endpoints of a cell share the idempotency keys that they have
    /// seen.
    pub cell: u16,
    /// State according to discovery.
    pub state: EndpointState,
    /// Capacity relative to other endpoints, in the sense of [`Settings::weight_kind`].
    pub weight: f64,
    /// Time of the endpoint's last start; `None` if it started long ago.
    pub started_at: Option<Millis>,
}

/// How the entries of [`Event::EndpointsChanged`] relate to the previous list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The event contains only the changed entries.
    Delta,
    /// The event contains the complete list; endpoints that it omits are removed.
    Full,
    /// The event contains the complete list from this process's cache, which may be out of date.
    Cached,
    /// A poll of discovery failed or the subscription broke; there are no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Ok,
    /// The endpoint responded with an error; the request may have been executed.
    Error,
    /// The endpoint rejected the request without executing it.
    Full,
    /// No response arrived in time; the request may have been executed or may be executed later.
    Timeout,
    /// No connection was established; the request was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was cancelled before it was sent.
    NotSent,
    /// The attempt was not sent because the fleet's budget for this endpoint is used up. Another
    /// endpoint may have capacity.
    NoCapacity,
}

impl Outcome {
    /// Returns the name that appears in the log.
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

    /// Returns whether this outcome proves that the endpoint did not execute the attempt.
    pub fn was_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NoCapacity
        )
    }

    /// Returns whether this outcome carries no information about the endpoint.
    pub fn is_independent_of_endpoint(self) -> bool {
        matches!(
            self,
            Outcome::Cancelled | Outcome::NotSent | Outcome::NoCapacity
        )
    }
}

/// An input to the balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// The endpoint list has changed. A `Cached` list precedes all other events.
    EndpointsChanged {
        /// Interpretation of `endpoints`.
        kind: ListKind,
        /// Version of the list. No decision reads it, because changes arrive completely and in
        /// order.
        version: u32,
        /// Changed entries or the complete list.
        endpoints: &'a [EndpointInfo],
    },
    /// A request arrived and must get its final result within `ttl_ms`.
    Request {
        /// Identifier of the request.
        id: RequestId,
        /// Routing key; equal keys refer to the same object. No decision reads it.
        key: Option<u64>,
        /// Cell to which the request is restricted; `None` for any cell.
        cell: Option<u16>,
        /// Index of the request's class in [`Settings::classes`].
        class: u8,
        /// Index of the request's tenant in [`Settings::tenants`].
        tenant: u16,
        /// Expected work in milliseconds, if the client provides it. No decision reads it.
        hint_ms: Option<Millis>,
        /// Whether the client marked the request as a retry. No decision reads it.
        is_client_retry: bool,
        /// Whether the request modifies data. No decision reads it.
        write: bool,
        /// Time until the client's deadline.
        ttl_ms: Millis,
    },
    /// The first byte of a streamed response arrived. No decision reads it.
    FirstByte {
        /// Request that the event concerns.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
        /// Endpoint that the event concerns.
        endpoint: EndpointId,
        /// Time since the attempt was sent.
        latency_ms: Millis,
    },
    /// An attempt ended. There is exactly one such event for each [`Action::Send`].
    Outcome {
        /// Request that the event concerns.
        request: RequestId,
        /// Number of the attempt, from 0 in the order in which attempts are sent.
        attempt: u8,
        /// Endpoint that the event concerns.
        endpoint: EndpointId,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time since the attempt was sent.
        latency_ms: Millis,
        /// Whether the request has ended and needs no further action.
        ended: bool,
        /// Load report of the endpoint; empty if the response carried none.
        report: Report,
    },
    /// The client disconnected; its request needs no final result.
    ClientDisconnected {
        /// Request that the event concerns.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// Token of the [`Action::SetTimer`] that set the timer.
        token: u64,
    },
    /// A health check ended. No decision reads it, because the balancer starts none.
    ProbeResult {
        /// Endpoint that the event concerns.
        endpoint: EndpointId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Time since the health check was sent.
        latency_ms: Millis,
        /// Load report of the endpoint; empty if the response carried none.
        report: Report,
    },
    /// Bytes arrived from another process. They are ignored, because processes share no state.
    Message {
        /// Rank of the sending process.
        from: u16,
        /// Payload of the message.
        bytes: &'a [u8],
    },
}
