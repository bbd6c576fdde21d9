//! A request between its arrival and its final answer.

use crate::retry::Execution;
use crate::{EndpointId, EndpointInfo, Millis};

/// What an event tells of a request.
#[derive(Clone, Copy)]
pub(crate) struct RequestContext {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    /// The only cell that it may go to.
    pub(crate) cell: Option<u16>,
}

/// An attempt in flight, with its endpoint as it was known at the send.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointInfo,
    pub(crate) sent_at: Millis,
}

/// A request that awaits its final answer.
pub(crate) struct PendingRequest {
    pub(crate) context: RequestContext,
    pub(crate) is_over_quota: bool,
    pub(crate) deadline: Millis,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<Attempt>,
    /// The attempt in flight ends before the deadline, with a retry reserved in the budget.
    pub(crate) has_reserved_retry: bool,
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) execution: Execution,
    /// The client has left.
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
            execution: Execution::NotStarted,
            is_abandoned: false,
        }
    }

    pub(crate) fn class(&self) -> usize {
        self.context.class
    }
}
