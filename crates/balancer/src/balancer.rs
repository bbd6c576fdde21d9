//! [`Balancer`]: the state of one process and the handling of each event.

use crate::admission::{ClassPriorities, CAPACITY_CHECK_INTERVAL_MS, CLASS_RATE_TIME_CONSTANT_MS};
use crate::discovery_backoff::DiscoveryBackoff;
use crate::endpoints::{Endpoints, EntryChange};
use crate::learning::AttemptEnd;
use crate::outlier::status_changed;
use crate::probation::ProbationBudget;
use crate::request::{Attempt, PendingRequest, RequestContext};
use crate::retry::{
    high_latency, is_client_retry_permitted, is_retry_permitted, RETRY_BUDGET_CAPACITY,
};
use crate::selection::{Candidates, Selected};
use crate::slow_start::SlowStart;
use crate::snapshot::LearnedState;
use crate::{
    Action, EndpointInfo, EndpointStatus, Event, ListKind, Millis, Outcome, RequestId, Settings,
    UnservedReason,
};
use rand::{Rng, RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustc_hash::FxHashMap;

/// Token of the timer after which discovery is polled again, the only timer in use.
const POLL_DISCOVERY: u64 = 1;
/// Minimum time between two log lines.
const LOG_INTERVAL_MS: Millis = 5_000.0;
/// The balancer of one process, with all its state. Processes share no state.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Xoshiro256PlusPlus,
    /// Random numbers for ejection times. They have a generator of their own, so that the random
    /// selection of endpoints does not depend on failures.
    pub(crate) jitter: Xoshiro256PlusPlus,
    pub(crate) now: Millis,
    pub(crate) endpoints: Endpoints,
    pending: FxHashMap<RequestId, PendingRequest>,
    pub(crate) learned: LearnedState,
    pub(crate) priorities: ClassPriorities,
    pub(crate) probation: ProbationBudget,
    /// Time of the last response of any endpoint.
    pub(crate) last_response_at: Millis,
    /// Number of other processes that serve requests during a handover of this process.
    pub(crate) overlapping_processes: f64,
    pub(crate) capacity_checked_at: Millis,
    /// Whether a request was served since the last retry that cost no budget because its attempt
    /// ejected an endpoint.
    pub(crate) has_served_since_free_retry: bool,
    discovery_backoff: DiscoveryBackoff,
    logged_at: Millis,
    pub(crate) candidates: Candidates,
    /// Number of endpoints that the last selection could choose from.
    pub(crate) eligible_count: usize,
}

impl Balancer {
    /// Creates a balancer without learned state.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Balancer {
            jitter: Xoshiro256PlusPlus::seed_from_u64(rng.next_u64()),
            rng,
            now: 0.0,
            endpoints: Endpoints::default(),
            pending: FxHashMap::default(),
            learned: LearnedState::new(classes, tenants),
            priorities: ClassPriorities::new(classes),
            probation: ProbationBudget::new(),
            last_response_at: f64::MIN,
            overlapping_processes: 0.0,
            capacity_checked_at: f64::MIN,
            has_served_since_free_retry: false,
            discovery_backoff: DiscoveryBackoff::default(),
            logged_at: f64::MIN,
            candidates: Candidates::default(),
            eligible_count: 0,
            settings,
        }
    }

    /// Processes one event at time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        // Time never runs backwards, even if the clock does or returns NaN.
        self.now = if now > self.now { now } else { self.now };
        if self.now - self.capacity_checked_at >= CAPACITY_CHECK_INTERVAL_MS {
            self.scale_limits_to_capacity();
        }
        match event {
            Event::EndpointsChanged {
                kind, endpoints, ..
            } => {
                self.on_endpoints_changed(kind, endpoints, actions);
                self.scale_limits_to_capacity();
            }
            Event::Request {
                id,
                class,
                tenant,
                cell,
                ttl_ms,
                ..
            } => {
                let context = RequestContext {
                    class: class.into(),
                    tenant: tenant.into(),
                    cell,
                };
                self.on_request(id, context, ttl_ms, actions);
            }
            Event::Outcome {
                request,
                outcome,
                latency_ms,
                ended,
                ..
            } => {
                let end = AttemptEnd {
                    outcome,
                    latency: latency_ms,
                    is_request_over: ended,
                };
                self.on_outcome(request, end, actions);
            }
            Event::ClientDisconnected { request } => self.on_client_gone(request, actions),
            Event::Timer {
                token: POLL_DISCOVERY,
            } => actions.push(Action::Subscribe { on: true }),
            _ => {}
        }
    }

    fn on_endpoints_changed(
        &mut self,
        kind: ListKind,
        list: &[EndpointInfo],
        actions: &mut Vec<Action>,
    ) {
        match kind {
            ListKind::Failed => return self.on_discovery_failed(actions),
            ListKind::Cached if self.settings.must_subscribe => {
                actions.push(Action::Subscribe { on: true });
            }
            ListKind::Cached => {}
            ListKind::Delta | ListKind::Full => self.discovery_backoff.reset(),
        }
        if kind != ListKind::Delta {
            self.endpoints.mark_all_gone();
        }
        for info in list {
            self.apply_entry(*info, actions);
        }
        self.endpoints.finish_update(&self.settings);
        self.set_initial_limits();
    }

    fn apply_entry(&mut self, info: EndpointInfo, actions: &mut Vec<Action>) {
        // The number of initial tokens is random, so that processes that are notified at the same
        // time do not all send to a warming endpoint at once.
        let slow_start = SlowStart::new(self.random(), self.now);
        let classes = self.learned.classes.len();
        let rules = &self.settings.rules;
        let change = self
            .endpoints
            .apply(info, slow_start, classes, self.now, rules);
        let status = match change {
            EntryChange::None => return,
            EntryChange::StartsDraining => EndpointStatus::Draining,
            EntryChange::StartsWarmingUp => EndpointStatus::WarmingUp,
        };
        actions.push(status_changed(info.id, status, None, None));
    }

    fn on_discovery_failed(&mut self, actions: &mut Vec<Action>) {
        let random = self.random();
        let poll_within = self.settings.rules.poll_within_ms;
        let after_ms = self.discovery_backoff.next_delay(poll_within, random);
        actions.push(Action::SetTimer {
            after_ms,
            token: POLL_DISCOVERY,
        });
        self.log(actions, || {
            format!("discovery call failed: next_poll_ms={after_ms:.0}")
        });
    }

    fn on_request(
        &mut self,
        id: RequestId,
        context: RequestContext,
        ttl: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.credit_budgets();
        if context.class >= self.settings.classes.len() {
            return actions.push(Action::Reject {
                request: id,
                retry_after_ms: 0.0,
                reason: UnservedReason::UnknownClass,
            });
        }
        self.learned.arrivals[context.class].add(self.now, CLASS_RATE_TIME_CONSTANT_MS);
        let deadline = self.now + ttl.max(0.0);
        let is_over_quota = self.is_over_quota(context.tenant);
        let request = PendingRequest::new(context, deadline, is_over_quota);
        self.start_attempt(id, request, actions);
    }

    /// Sends a request's next attempt, or ends the request if it is not admitted or no endpoint is
    /// available.
    fn start_attempt(&mut self, id: RequestId, request: PendingRequest, actions: &mut Vec<Action>) {
        let time_left = request.deadline - self.now;
        if request.attempts >= self.settings.permissions.max_attempts
            || time_left <= self.settings.tick_ms
        {
            return self.reject_or_fail(id, &request, UnservedReason::NoTimeOrAttempts, actions);
        }
        if let Err(reason) = self.admit(&request) {
            return self.reject_or_fail(id, &request, reason, actions);
        }
        match self.select(&request, actions) {
            Some(selected) => self.send(id, request, selected, actions),
            None => self.reject_or_fail(id, &request, UnservedReason::NoEndpoint, actions),
        }
    }

    fn send(
        &mut self,
        id: RequestId,
        mut request: PendingRequest,
        selected: Selected,
        actions: &mut Vec<Action>,
    ) {
        let time_left = request.deadline - self.now;
        let timeout = self.attempt_timeout(&request, time_left);
        request.has_reserved_retry = timeout.is_some() && !self.settings.has_long_requests;
        if request.has_reserved_retry {
            self.learned.retry_budget.take_token();
        }
        // A connection to an endpoint on probation either is established within the time of a
        // request or fails.
        let connect_timeout_ms = if selected.is_probation {
            let latency = &self.learned.latencies[request.class()];
            high_latency(latency, self.settings.has_long_requests)
        } else {
            0.0
        };
        let endpoint = &mut self.endpoints.list[selected.index];
        endpoint.start_attempt(self.now);
        let info = endpoint.info;
        request.attempts += 1;
        request.in_flight = Some(Attempt {
            endpoint: info,
            sent_at: self.now,
        });
        request.tried.push(info.id);
        self.acquire_limits(&request);
        if request.attempts == 1 {
            self.record_admission(&request);
        }
        actions.push(Action::Send {
            request: id,
            endpoint: info.id,
            timeout_ms: timeout.unwrap_or(time_left),
            connect_timeout_ms,
        });
        self.pending.insert(id, request);
    }

    /// Ends a request that has no attempt in flight.
    fn reject_or_fail(
        &mut self,
        id: RequestId,
        request: &PendingRequest,
        reason: UnservedReason,
        actions: &mut Vec<Action>,
    ) {
        let class = &self.settings.classes[request.class()];
        actions.push(
            if is_client_retry_permitted(class, &request.execution, self.now) {
                Action::Reject {
                    request: id,
                    retry_after_ms: self.retry_after(request.class()),
                    reason,
                }
            } else {
                Action::Fail {
                    request: id,
                    reason,
                }
            },
        );
    }

    fn on_client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get_mut(&id) else {
            return;
        };
        request.is_abandoned = true;
        if self.settings.permissions.cancel && request.in_flight.is_some() {
            actions.push(Action::Cancel {
                request: id,
                attempt: (request.attempts - 1) as u8,
            });
        }
    }

    fn on_outcome(&mut self, id: RequestId, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(mut request) = self.pending.remove(&id) else {
            return;
        };
        let Some(attempt) = request.in_flight.take() else {
            return;
        };
        request.execution.record(&attempt, end.outcome);
        if std::mem::take(&mut request.has_reserved_retry) {
            self.learned.retry_budget.add(1.0, RETRY_BUDGET_CAPACITY);
        }
        let has_ejected = self.record_attempt(&request, attempt, end, actions);
        self.release_limits(&request);
        if end.is_request_over || request.is_abandoned {
            return;
        }
        let is_free = self.is_retry_free(attempt, end.outcome, has_ejected);
        match self.take_retry(&request, end.outcome, is_free) {
            Ok(()) => self.start_attempt(id, request, actions),
            Err(reason) => self.reject_or_fail(id, &request, reason, actions),
        }
    }

    /// Returns whether a retry costs no budget. This is the case if the attempt ejected its
    /// endpoint, which protects later requests, and a request was served since the last such retry;
    /// or if the endpoint left the list before the attempt was sent.
    fn is_retry_free(&mut self, attempt: Attempt, outcome: Outcome, has_ejected: bool) -> bool {
        let found_faulty_endpoint =
            has_ejected && std::mem::take(&mut self.has_served_since_free_retry);
        found_faulty_endpoint
            || (is_unsent(outcome) && !self.endpoints.is_ready(attempt.endpoint.id))
    }

    /// Consumes a retry from the budget for its outcome.
    ///
    /// # Errors
    ///
    /// Returns [`UnservedReason::NotRetryable`] if the request must not be retried, and
    /// [`UnservedReason::RetryBudgetSpent`] if the budget is spent.
    fn take_retry(
        &mut self,
        request: &PendingRequest,
        outcome: Outcome,
        is_free: bool,
    ) -> Result<(), UnservedReason> {
        let class = &self.settings.classes[request.class()];
        let is_cancelled = matches!(outcome, Outcome::NotSent | Outcome::Cancelled);
        if is_cancelled || !is_retry_permitted(class, &request.execution, self.now) {
            return Err(UnservedReason::NotRetryable);
        }
        let budget = if is_unsent(outcome) {
            &mut self.learned.connect_failure_budget
        } else {
            &mut self.learned.retry_budget
        };
        if is_free {
            return Ok(());
        }
        if !budget.has_token() {
            return Err(UnservedReason::RetryBudgetSpent);
        }
        budget.take_token();
        Ok(())
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// Writes a line to the operators' log, at most once per [`LOG_INTERVAL_MS`].
    pub(crate) fn log(&mut self, actions: &mut Vec<Action>, line: impl FnOnce() -> String) {
        if self.now - self.logged_at >= LOG_INTERVAL_MS {
            self.logged_at = self.now;
            actions.push(Action::Log(line()));
        }
    }
}

/// Returns whether the attempt ended before anything was sent to its endpoint.
pub(crate) fn is_unsent(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::ConnectFailed | Outcome::NoCapacity)
}
