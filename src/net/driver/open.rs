//! An open request: what was asked, what is out for it, and its one final answer.

use super::*;

/// The final answer to a request.
pub enum FinalResponse {
    /// An endpoint's answer.
    Served(EndpointResponse),
    /// Not served, and trying again is harmless; not before so many milliseconds, if above 0.
    Rejected(Millis),
    /// Promises nothing.
    Failed,
    /// An endpoint found fault with the request itself, and would again.
    FaultyRequest(StatusCode),
    /// An endpoint's own failure response, after which no attempt did better.
    LastErrorResponse(EndpointResponse),
}

impl FinalResponse {
    /// Its name in the trace.
    fn name(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected(_) => "rejected",
            FinalResponse::Failed => "failed",
            FinalResponse::FaultyRequest(_) => "faulty request",
            FinalResponse::LastErrorResponse(_) => "last word",
        }
    }
}

/// What a request is, in the module's terms.
pub struct RequestAttributes {
    /// Its class.
    pub class: u8,
    /// Its tenant.
    pub tenant: u16,
    /// What it is about.
    pub key: Option<u64>,
    /// Expected work.
    pub hint_ms: Option<Millis>,
    /// A client's repeat.
    pub repeat: bool,
    /// It writes.
    pub write: bool,
    /// When its client leaves.
    pub deadline: Instant,
    /// The budgets of the fleet that its attempts count to, if there are any.
    pub attempts: Option<Rc<RequestBudgets>>,
    /// The connection of its client: once that has left, no attempt begins.
    pub client: Rc<TrackedSocket>,
}

/// Until when a request that may have run can go out again. The module decides by the same rule
/// when it sends; this holds it up to the last byte, as a connection may come up late.
#[derive(Clone, Copy)]
pub(super) enum RetryWindow {
    /// Whenever.
    Free,
    /// For so long after the first attempt that may have run was sent.
    Within(Duration),
    /// Not at all.
    Never,
}

impl RetryWindow {
    pub(super) fn of(class: &Class) -> RetryWindow {
        match class.effect {
            EffectClass::Idempotent => RetryWindow::Free,
            EffectClass::Keyed => RetryWindow::Within(bounded_duration(class.window_ms)),
            EffectClass::NonIdempotent => RetryWindow::Never,
        }
    }

    /// By when the last byte of the next attempt has to be written.
    pub(super) fn write_by(self, may_have_run_since: Instant) -> Option<Instant> {
        match self {
            RetryWindow::Free => None,
            RetryWindow::Within(window) => Some(may_have_run_since + window),
            RetryWindow::Never => Some(may_have_run_since),
        }
    }
}

pub(super) struct InFlightAttempt {
    pub(super) attempt: u8,
    pub(super) endpoint: EndpointId,
    pub(super) cancel: Option<oneshot::Sender<()>>,
    /// What it holds of the fleet's budgets, until it ends.
    pub(super) _reservation: Option<Reservation>,
}

pub(super) struct OpenRequest {
    pub(super) client_request: Rc<ClientRequest>,
    pub(super) deadline: Instant,
    /// Taken by the final answer; empty from then on, and once the caller has left.
    pub(super) response_sender: Option<oneshot::Sender<FinalResponse>>,
    pub(super) client: Rc<TrackedSocket>,
    pub(super) retry_window: RetryWindow,
    /// When the first attempt that may have run was sent, if any may have.
    pub(super) may_have_run_since: Option<Instant>,
    pub(super) attempts: u32,
    /// Whether any of them went out.
    pub(super) was_sent: bool,
    pub(super) budgets: Option<Rc<RequestBudgets>>,
    pub(super) in_flight: Option<InFlightAttempt>,
    /// What a backend said that another attempt may better.
    pub(super) last_error_response: Option<EndpointResponse>,
}

impl OpenRequest {
    /// The id that its caller gave it, for the trace.
    pub(super) fn id(&self) -> &str {
        single_header(&self.client_request.headers, "request-id").unwrap_or("-")
    }

    /// Gives the final answer, if none was given. All answers are given here.
    pub(super) fn respond(&mut self, response: FinalResponse, why: &'static str) {
        let Some(sender) = self.response_sender.take() else {
            return;
        };
        let after_ms = if let FinalResponse::Rejected(after_ms) = response {
            Some(after_ms)
        } else {
            None
        };
        step!(
            event = "answer",
            id = self.id(),
            answer = response.name(),
            why,
            retry_after_ms = after_ms
        );
        let _ = sender.send(response);
    }

    /// The same, but that a backend's last word goes before what would be said here.
    pub(super) fn finish(&mut self, response: FinalResponse, why: &'static str) {
        let response = self
            .last_error_response
            .take()
            .map_or(response, FinalResponse::LastErrorResponse);
        self.respond(response, why);
    }
}
