//! What goes out: actions, and the reasons and statuses that operators read.

#[cfg(doc)]
use crate::Event;
use crate::{EndpointId, Millis, Outcome, RequestId};

/// What a balancer wants done, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Its time-out; 0 lasts until the client gives up.
        timeout_ms: Millis,
        /// The longest wait for its connection; 0 for the usual one.
        connect_timeout_ms: Millis,
    },
    /// Final answer: not served, and trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after_ms: Millis,
        /// Why.
        reason: UnservedReason,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: UnservedReason,
    },
    /// Stop waiting for one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u8,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// From now.
        after_ms: Millis,
        /// Comes back with the event.
        token: u64,
    },
    /// Check an endpoint.
    Probe {
        /// Which.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// Which.
        endpoint: EndpointId,
    },
    /// Send bytes to another copy, or to all.
    Message {
        /// Rank of the receiver; `None` for all.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Start or stop following the endpoint list.
    Subscribe {
        /// Start or stop.
        on: bool,
    },
    /// Ask for the whole endpoint list once.
    Fetch,
    /// Write a line to the operators' log.
    Log(String),
    /// Tell operators how an endpoint stands from here on.
    StatusChanged {
        /// Which.
        endpoint: EndpointId,
        /// How.
        status: EndpointStatus,
        /// For calls of this class alone.
        class: Option<u8>,
        /// The end of an attempt that showed it; `None` for a hang that shows as silence, and
        /// where nothing ended.
        reason: Option<Outcome>,
    },
}

/// How an endpoint stands, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It gets requests by its weight.
    Healthy,
    /// It gets no requests but for probation.
    Ejected,
    /// It gets the first request since it was ejected.
    Probation,
    /// It has just started and gets what it can bear: slow start.
    WarmingUp,
    /// It gets nothing new.
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
    /// Its time or its attempts were up.
    NoTimeOrAttempts,
    /// No endpoint may be sent to, or none that drops its repeat.
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
    /// All of them, each at its own number.
    pub const ALL: [UnservedReason; 7] = [
        UnservedReason::UnknownClass,
        UnservedReason::NoTimeOrAttempts,
        UnservedReason::NoEndpoint,
        UnservedReason::OverQuota,
        UnservedReason::OverLimit,
        UnservedReason::RetryBudgetSpent,
        UnservedReason::NotRetryable,
    ];

    /// For people.
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
