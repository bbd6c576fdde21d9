//! State of a request between its arrival and its final result.

use crate::retry::Execution;
use crate::{EndpointId, EndpointInfo, Millis};

/// The attributes of a request that decisions depend on.
#[derive(Clone, Copy)]
pub(crate) struct RequestContext {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    /// Cell to which the request is restricted.
    pub(crate) cell: Option<u16>,
}

/// An attempt in flight, with the endpoint's list entry at the time of sending.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointInfo,
    pub(crate) sent_at: Millis,
}

/// A request without a final result yet.
pub(crate) struct PendingRequest {
    pub(crate) context: RequestContext,
    pub(crate) is_over_quota: bool,
    pub(crate) deadline: Millis,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<Attempt>,
    /// Whether a retry is reserved in the budget, because the attempt times out before the
    /// deadline.
    pub(crate) has_reserved_retry: bool,
    /// Endpoints that earlier attempts were sent to.
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) execution: Execution,
    /// Whether the client has disconnected.
    pub(crate) is_abandoned: bool,
}

impl PendingRequest {
    pub(crate) fn new(
        context: RequestContext,
        deadline: Millis,
        is_over_quota: bool,
    ) -> PendingRequest {
        PendingRequest {
            context,
            is_over_quota,
            deadline,
            attempts: 0,
            in_flight: None,
            has_reserved_retry: false,
            tried: Vec::new(),
            execution: Execution::NotExecuted,
            is_abandoned: false,
        }
    }

    pub(crate) fn class(&self) -> usize {
        self.context.class
    }
}
