//! What goes out: actions, and the reasons and statuses that operators read.

#[cfg(doc)]
use crate::Event;
use crate::{EndpointId, Millis, Outcome, RequestId};

/// What the embedding proxy has to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of the attempt; 0 for none.
        timeout_ms: Millis,
        /// Timeout of a new connection; 0 for the configured one.
        connect_timeout_ms: Millis,
    },
    /// Final answer: not served, and a retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after_ms: Millis,
        /// Why.
        reason: UnservedReason,
    },
    /// Final answer: failed; the request may have had an effect.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: UnservedReason,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u8,
    },
    /// Set a timer, which comes back as [`Event::Timer`].
    SetTimer {
        /// Time until it expires.
        after_ms: Millis,
        /// Comes back with the event.
        token: u64,
    },
    /// Start a health check. The module sends none.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint. The module sends none.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send bytes to another process, or to all. The module sends none.
    Message {
        /// Rank of the receiver; `None` for all.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Start or stop the watch on the endpoint list.
    Subscribe {
        /// Start, or stop.
        on: bool,
    },
    /// Poll the whole endpoint list once. The module does not.
    Fetch,
    /// Write a line to the operators' log.
    Log(String),
    /// Tell operators the new status of an endpoint.
    StatusChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// The new status.
        status: EndpointStatus,
        /// For requests of this class alone.
        class: Option<u8>,
        /// The outcome that showed it; `None` for an endpoint that does not respond, and where
        /// no attempt ended.
        reason: Option<Outcome>,
    },
}

/// The status of an endpoint, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint gets requests by its weight.
    Healthy,
    /// The endpoint gets no requests but for probation.
    Ejected,
    /// The endpoint gets the first request since it was ejected.
    Probation,
    /// The endpoint has just started: slow start.
    WarmingUp,
    /// The endpoint gets no new requests.
    Draining,
}

impl EndpointStatus {
    /// For the log.
    pub fn text(self) -> &'static str {
        match self {
            EndpointStatus::Healthy => "healthy",
            EndpointStatus::Ejected => "ejected",
            EndpointStatus::Probation => "probation",
            EndpointStatus::WarmingUp => "warming_up",
            EndpointStatus::Draining => "draining",
        }
    }
}

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// Its class is not in the settings.
    UnknownClass,
    /// The deadline is too near, or all attempts are used up.
    NoTimeOrAttempts,
    /// No endpoint is ready, or none that drops repeats of the request.
    NoEndpoint,
    /// Over its tenant's quota, and there is no capacity beyond the quotas.
    OverQuota,
    /// Over the concurrency limit of the tier or of its class.
    OverLimit,
    /// Its attempt failed, and the retry budget is spent.
    RetryBudgetSpent,
    /// Its attempt failed and must not be retried.
    NotRetryable,
}

impl UnservedReason {
    /// All reasons, each at its own number.
    pub const ALL: [UnservedReason; 7] = [
        UnservedReason::UnknownClass,
        UnservedReason::NoTimeOrAttempts,
        UnservedReason::NoEndpoint,
        UnservedReason::OverQuota,
        UnservedReason::OverLimit,
        UnservedReason::RetryBudgetSpent,
        UnservedReason::NotRetryable,
    ];

    /// For the log.
    pub fn text(self) -> &'static str {
        match self {
            UnservedReason::UnknownClass => "unknown class",
            UnservedReason::NoTimeOrAttempts => "no time or attempts left",
            UnservedReason::NoEndpoint => "no endpoint available",
            UnservedReason::OverQuota => "over tenant quota",
            UnservedReason::OverLimit => "over concurrency limit",
            UnservedReason::RetryBudgetSpent => "failed, retry budget spent",
            UnservedReason::NotRetryable => "failed, not retryable",
        }
    }
}
