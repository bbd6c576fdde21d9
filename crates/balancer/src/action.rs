//! Outputs of the balancer: actions, and the reasons and statuses that are reported to operators.

#[cfg(doc)]
use crate::Event;
use crate::{EndpointId, Millis, Outcome, RequestId};

/// An instruction to the embedding proxy. Actions are performed in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts the next attempt of a request.
    Send {
        /// Request to send.
        request: RequestId,
        /// Endpoint that gets the attempt.
        endpoint: EndpointId,
        /// Timeout of the attempt; 0 for no timeout.
        timeout_ms: Millis,
        /// Timeout for establishing a new connection; 0 for the configured timeout.
        connect_timeout_ms: Millis,
    },
    /// Ends a request that was not served and that the client may retry without harm.
    Reject {
        /// Request to reject.
        request: RequestId,
        /// Time for which the client should wait before a retry; 0 for no advice.
        retry_after_ms: Millis,
        /// Cause of the rejection.
        reason: UnservedReason,
    },
    /// Ends a request that failed and that may have had an effect.
    Fail {
        /// Request that failed.
        request: RequestId,
        /// Cause of the failure.
        reason: UnservedReason,
    },
    /// Cancels an attempt.
    Cancel {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
    },
    /// Sets a timer, which expires with [`Event::Timer`].
    SetTimer {
        /// Time until the timer expires.
        after_ms: Millis,
        /// Token that the event carries.
        token: u64,
    },
    /// Starts a health check. The balancer emits none.
    Probe {
        /// Endpoint to check.
        endpoint: EndpointId,
    },
    /// Closes idle connections to an endpoint. The balancer emits none.
    CloseIdle {
        /// Endpoint of the connections.
        endpoint: EndpointId,
    },
    /// Sends bytes to one or all other processes. The balancer emits none.
    Message {
        /// Rank of the receiver; `None` for all processes.
        to: Option<u32>,
        /// Payload of at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Starts or stops the watch on the endpoint list.
    Subscribe {
        /// Whether the watch is started.
        on: bool,
    },
    /// Polls the complete endpoint list once. The balancer emits none.
    Fetch,
    /// Writes a line to the operators' log.
    Log(String),
    /// Reports the new status of an endpoint to operators.
    StatusChanged {
        /// Endpoint whose status changed.
        endpoint: EndpointId,
        /// New status of the endpoint.
        status: EndpointStatus,
        /// Request class to which the status is limited; `None` for all classes.
        class: Option<u8>,
        /// Outcome that caused the change; `None` for an unresponsive endpoint and for changes
        /// without an ended attempt.
        reason: Option<Outcome>,
    },
}

/// The status of an endpoint as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint gets requests by its weight.
    Healthy,
    /// The endpoint gets only probation requests.
    Ejected,
    /// The endpoint gets the first probation request since its ejection.
    Probation,
    /// The endpoint has just started and is in slow start.
    WarmingUp,
    /// The endpoint gets no new requests.
    Draining,
}

impl EndpointStatus {
    /// Returns the name that appears in the log.
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
    /// The settings do not define the class of the request.
    UnknownClass,
    /// The deadline is too near, or all attempts are used up.
    NoTimeOrAttempts,
    /// No endpoint is ready, or no ready endpoint deduplicates retries of the request.
    NoEndpoint,
    /// The request is over its tenant's quota, and there is no capacity beyond the quotas.
    OverQuota,
    /// The concurrency limit of the tier or of the class is reached.
    OverLimit,
    /// The attempt failed, and the retry budget is spent.
    RetryBudgetSpent,
    /// The attempt failed and must not be retried.
    NotRetryable,
}

impl UnservedReason {
    /// All reasons in the order of their discriminants.
    pub const ALL: [UnservedReason; 7] = [
        UnservedReason::UnknownClass,
        UnservedReason::NoTimeOrAttempts,
        UnservedReason::NoEndpoint,
        UnservedReason::OverQuota,
        UnservedReason::OverLimit,
        UnservedReason::RetryBudgetSpent,
        UnservedReason::NotRetryable,
    ];

    /// Returns the text that appears in the log.
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
