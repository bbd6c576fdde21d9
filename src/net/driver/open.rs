//! An open request: its attributes, its attempt in flight and its final response.

use super::*;

/// The time within which an attempt may begin without a look for a close that cannot be seen.
const MAX_UNSEEN_CLOSE: Duration = Duration::from_millis(80);

/// Final response to a request.
pub enum FinalResponse {
    /// Response of an endpoint.
    Served(EndpointResponse),
    /// The request was not served, and it is safe to retry it after this many milliseconds, if
    /// above 0.
    Rejected(Millis),
    /// The request failed; whether it was executed is unknown.
    Failed,
    /// An endpoint rejected the request itself, as another endpoint would, with this status.
    FaultyRequest(StatusCode),
    /// Failure response of an endpoint that no later attempt improved on.
    LastErrorResponse(EndpointResponse),
}

impl FinalResponse {
    /// Returns the name in the request trace.
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

/// Attributes of a request that the balancer decides by.
pub struct RequestAttributes {
    /// Index of the request class.
    pub class: u8,
    /// Index of the tenant.
    pub tenant: u16,
    /// Hash of the idempotency key.
    pub key: Option<u64>,
    /// Expected work in milliseconds.
    pub hint_ms: Option<Millis>,
    /// Whether the client has marked it as a retry.
    pub is_client_retry: bool,
    /// Whether it is a write.
    pub is_write: bool,
    /// Time at which the client stops waiting.
    pub deadline: Instant,
    /// Fleet budgets that its attempts count against.
    pub attempt_budgets: Option<Rc<RequestBudgets>>,
    /// Connection of the client; once it is closed, no attempt starts.
    pub client: Rc<TrackedSocket>,
}

/// How long a request that may have been executed can be sent again. The balancer applies the same
/// rule when it decides; this enforces it up to the last byte, as a connection may be established
/// late.
#[derive(Clone, Copy)]
pub(super) enum RetryWindow {
    /// Retries are always safe.
    Unlimited,
    /// Retries are safe for this duration after the first attempt that may have been executed was
    /// sent, at the endpoints in the scope.
    Within(Duration, DeduplicationScope),
    /// Retries are never safe.
    Never,
}

impl RetryWindow {
    pub(super) fn of(class: &Class) -> RetryWindow {
        match class.effect {
            EffectClass::Idempotent => RetryWindow::Unlimited,
            EffectClass::Keyed => {
                RetryWindow::Within(bounded_duration(class.window_ms), class.scope)
            }
            EffectClass::NonIdempotent => RetryWindow::Never,
        }
    }

    /// Returns the time by which the last byte of the next attempt has to be written.
    pub(super) fn write_by(self, possibly_executed_since: Instant) -> Option<Instant> {
        match self {
            RetryWindow::Unlimited => None,
            RetryWindow::Within(window, _) => Some(possibly_executed_since + window),
            RetryWindow::Never => Some(possibly_executed_since),
        }
    }

    /// Returns the time since which the endpoint of the next attempt must have been the same
    /// process: where only some endpoints drop a repeat, the process that has come up at the address
    /// of one of them may not be one of them.
    pub(super) fn same_process_since(self, possibly_executed_since: Instant) -> Option<Instant> {
        match self {
            RetryWindow::Within(_, DeduplicationScope::Zone | DeduplicationScope::Cell) => {
                Some(possibly_executed_since)
            }
            RetryWindow::Within(_, DeduplicationScope::All)
            | RetryWindow::Unlimited
            | RetryWindow::Never => None,
        }
    }
}

pub(super) struct InFlightAttempt {
    pub(super) attempt: u8,
    pub(super) endpoint: EndpointId,
    pub(super) cancel: Option<oneshot::Sender<()>>,
    /// Reservation of fleet budgets, released when the attempt ends.
    pub(super) _reservation: Option<Reservation>,
}

pub(super) struct OpenRequest {
    pub(super) client_request: Rc<ClientRequest>,
    pub(super) taken_at: Instant,
    pub(super) deadline: Instant,
    /// Sender of the final response; `None` once that was sent or the client has disconnected.
    pub(super) response_sender: Option<oneshot::Sender<FinalResponse>>,
    pub(super) client: Rc<TrackedSocket>,
    pub(super) retry_window: RetryWindow,
    /// Send time of the first attempt that may have been executed.
    pub(super) possibly_executed_since: Option<Instant>,
    pub(super) attempts: u32,
    /// Whether any attempt was sent.
    pub(super) was_sent: bool,
    pub(super) budgets: Option<Rc<RequestBudgets>>,
    pub(super) in_flight: Option<InFlightAttempt>,
    /// Failure response of an endpoint that another attempt may improve on. It answers for all ended
    /// attempts; see [`OpenRequest::record_end`].
    pub(super) last_error_response: Option<EndpointResponse>,
}

impl OpenRequest {
    /// Returns the request id that the client chose, for the trace.
    pub(super) fn id(&self) -> &str {
        single_header(&self.client_request.headers, "request-id").unwrap_or("-")
    }

    /// Returns whether the client may have left unseen: its system cannot tell of the close while
    /// much of what the client sent behind the request is unread.
    pub(super) fn may_client_have_left(&self) -> bool {
        // Behind the head of a streamed request its own body is unread. It has one attempt.
        let is_streamed = self.client_request.body.upload().is_some();
        !is_streamed && self.taken_at.elapsed() > MAX_UNSEEN_CLOSE && self.client.may_hide_close()
    }

    /// Records how an attempt ended that was sent at `sent`, and which failure response answers for
    /// all attempts so far, if one does:
    ///
    /// - No earlier response answers for an attempt that may have been executed.
    /// - A response that promises no execution does not answer for an earlier attempt that may have
    ///   been executed.
    pub(super) fn record_end(
        &mut self,
        sent: Instant,
        outcome: Outcome,
        error_response: Option<EndpointResponse>,
    ) {
        if !outcome.was_not_executed() {
            self.possibly_executed_since = self.possibly_executed_since.or(Some(sent));
            self.last_error_response = error_response;
        } else if self.possibly_executed_since.is_none() && error_response.is_some() {
            self.last_error_response = error_response;
        }
    }

    /// Sends the final response, if none was sent yet. All final responses are sent here.
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

    /// Sends the last error response of an endpoint if one answers for all attempts, else the given
    /// response. An attempt that is still in flight may be executed, so no earlier response answers
    /// for it.
    pub(super) fn finish(&mut self, response: FinalResponse, why: &'static str) {
        let last_error_response = self.last_error_response.take();
        let response = last_error_response
            .filter(|_| self.in_flight.is_none())
            .map_or(response, FinalResponse::LastErrorResponse);
        self.respond(response, why);
    }
}
