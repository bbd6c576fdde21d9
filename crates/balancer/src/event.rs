//! What comes in: identifiers, the endpoint list, and events. All times are in milliseconds.

#[cfg(doc)]
use crate::{Action, Class, Settings};

/// A time or a span of time, in milliseconds.
pub type Millis = f64;
/// Identifies a request for as long as the proxy holds it; never reused within one life of a
/// balancer.
pub type RequestId = u64;
/// Identifies an endpoint; survives a restart of its process.
pub type EndpointId = u32;

/// A load report: the first `len` values count, in the order of [`Settings::report`].
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
    /// It takes requests.
    Ready,
    /// It finishes what it has; send nothing new.
    Draining,
    /// It is removed.
    Gone,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Which endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: u16,
    /// Its kind of machine. No decision reads it.
    pub kind: u8,
    /// Its cell: a group that shares the keys it has seen.
    pub cell: u16,
    /// May it be sent to?
    pub state: EndpointState,
    /// Relative size, as [`Settings::weights`] says.
    pub weight: f64,
    /// Clock time of its last start; `None` if long ago.
    pub started_at: Option<Millis>,
}

/// What a [`Event::EndpointsChanged`] carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The whole list: what is not in it is gone.
    Full,
    /// The whole list as this copy had it last; may be old.
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
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run, or may yet.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
    /// Not sent: what is allowed at this endpoint is used up. Another may have room.
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
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NoCapacity
        )
    }

    /// Whether it says nothing of the endpoint.
    pub fn is_silent(self) -> bool {
        matches!(
            self,
            Outcome::Cancelled | Outcome::NotSent | Outcome::NoCapacity
        )
    }
}

/// What happens to a balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// News of the endpoints. A `Cached` list comes first in a balancer's life.
    EndpointsChanged {
        /// How to read `endpoints`.
        kind: ListKind,
        /// The version of the list. No decision reads it: news is ordered and complete.
        version: u32,
        /// The entries.
        endpoints: &'a [EndpointInfo],
    },
    /// A request arrived; one final answer is owed within `ttl_ms`.
    Request {
        /// Its id.
        id: RequestId,
        /// What it is about; equal keys go together. No decision reads it.
        key: Option<u64>,
        /// The only group of endpoints that it may go to; any, if none is told.
        cell: Option<u16>,
        /// Its class.
        class: u8,
        /// Its tenant.
        tenant: u16,
        /// Expected work, where the caller knows it.
        hint_ms: Option<Millis>,
        /// A client's repeat, where clients mark them. No decision reads it.
        repeat: bool,
        /// It writes. No decision reads it.
        write: bool,
        /// How long the client waits for this try.
        ttl_ms: Millis,
    },
    /// A streamed answer has begun; the attempt now belongs to the client. No decision reads it.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u8,
        /// Where from.
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
        /// Where it went.
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
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer of this balancer fell due.
    Timer {
        /// The token given with [`Action::SetTimer`].
        token: u64,
    },
    /// A probe ended. No decision reads it: the module sends none.
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
    /// Bytes from another copy. This design shares nothing, so it is passed over.
    Message {
        /// Rank of the sender.
        from: u16,
        /// The bytes.
        bytes: &'a [u8],
    },
}
