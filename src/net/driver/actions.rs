//! Carrying out what the module wants: attempts, timers, probes, the watch on discovery.

use super::log::StatusChange;
use super::*;
use crate::net::attempts::{AttemptHooks, Target};
use crate::supervisor::{keep_running, run_until_done};

impl Driver {
    pub(super) fn carry_out(&self, state: &mut State, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint: backend,
                timeout_ms,
                connect_timeout_ms: connect_ms,
            } => {
                self.send(state, request, backend, (timeout_ms, connect_ms));
            }
            Action::Reject {
                request,
                retry_after_ms,
                reason: why,
            } => {
                self.count(state, why, |unserved| &mut unserved.rejected);
                Driver::finish(
                    state,
                    request,
                    FinalResponse::Rejected(retry_after_ms),
                    why.text(),
                );
            }
            Action::Fail {
                request,
                reason: why,
            } => {
                self.count(state, why, |unserved| &mut unserved.failed);
                Driver::finish(state, request, FinalResponse::Failed, why.text());
            }
            Action::Cancel { request, attempt } => {
                let out = state
                    .open
                    .get_mut(&request)
                    .and_then(|open| open.out.as_mut());
                if let Some(cancel) = out
                    .filter(|o| o.attempt == attempt)
                    .and_then(|o| o.cancel.take())
                {
                    let _ = cancel.send(());
                }
            }
            Action::SetTimer { after_ms, token } => self.later(after_ms, token),
            Action::Probe { endpoint: backend } => self.probe(state, backend),
            Action::CloseIdle { endpoint: backend } => self.upstream.close_idle(backend),
            // The protocol has no form for these, and the settings permit none.
            Action::Message { .. } => {}
            Action::Subscribe { on: true } => self.watch(state),
            Action::Subscribe { on: false } => state.watch = None,
            Action::Fetch => self.fetch(),
            // The module limits these itself.
            Action::Log(line) => info!(pool = self.name, "{line}"),
            Action::StatusChanged {
                endpoint,
                status,
                class,
                reason,
            } => {
                let change = StatusChange {
                    endpoint,
                    status,
                    class,
                    reason,
                };
                self.log_status_change(state, change);
            }
        }
    }

    pub(super) fn finish(
        state: &mut State,
        request: RequestId,
        with: FinalResponse,
        why: &'static str,
    ) {
        if let Some(open) = state.open.get_mut(&request) {
            open.finish(with, why);
        }
        Driver::forget(state, request);
    }

    /// Drops a request that is over and has no attempt out.
    pub(super) fn forget(state: &mut State, request: RequestId) {
        if state
            .open
            .get(&request)
            .is_some_and(|open| open.answer.is_none() && open.out.is_none())
        {
            state.open.remove(&request);
        }
    }

    pub(super) fn send(
        &self,
        state: &mut State,
        request: RequestId,
        backend: EndpointId,
        (timeout_ms, connect_ms): (Millis, Millis),
    ) {
        let place = state.directory.endpoint(backend);
        if state
            .open
            .get(&request)
            .is_some_and(|open| open.out.is_none() && open.client_request.body.is_spent())
        {
            // A part of its body has gone out and is not here any more: it may have run, whatever
            // its class allows.
            Driver::finish(
                state,
                request,
                FinalResponse::Failed,
                "a part of its body went out and is not kept",
            );
        }
        let open = state.open.get_mut(&request);
        // Guards the rules whatever the module says: nothing for a request that is over, no second
        // copy, no attempt past the most.
        let fit = open
            .filter(|o| o.answer.is_some() && o.out.is_none() && o.attempts < self.max_attempts);
        let (Some(open), Some(place)) = (fit, place) else {
            return Driver::not_sent(state, request, backend, Outcome::NotSent);
        };
        let held = match (&self.fleet, &open.counts) {
            (Some(fleet), Some(counts)) => {
                match fleet.reserve_attempt(counts, open.went_out, state.directory.name(backend)) {
                    Ok(held) => Some(held),
                    Err(AttemptDenied::RetryBudgetExhausted) => {
                        return Driver::not_sent(state, request, backend, Outcome::NotSent);
                    }
                    Err(AttemptDenied::MemberAtCapacity) => {
                        return Driver::not_sent(state, request, backend, Outcome::NoCapacity);
                    }
                }
            }
            _ => None,
        };
        // A wait during which the endpoint leaves costs an attempt: one at most, and never the last.
        let may_wait_for_reuse = open.attempts == 0 && self.max_attempts > 1;
        let (cancel, cancelled) = oneshot::channel();
        open.out = Some(Out {
            attempt: open.attempts as u8,
            backend,
            cancel: Some(cancel),
            _held: held,
        });
        open.attempts += 1;
        open.went_out = true;
        step!(
            event = "attempt",
            id = open.id(),
            attempt = open.attempts - 1,
            member = state.directory.name(backend),
            timeout_ms
        );
        let sent = Instant::now();
        let times = AttemptTimes {
            deadline: open.deadline,
            most: if timeout_ms == 0.0 {
                span(SPAN_MOST)
            } else {
                span(timeout_ms)
            },
            connect: if connect_ms == 0.0 {
                span(SPAN_MOST)
            } else {
                span(connect_ms)
            },
            write_by: open
                .may_have_run_since
                .and_then(|at| open.retry_window.write_by(at)),
            may_wait_for_reuse,
        };
        let (me, client_request) = (self.me.clone(), open.client_request.clone());
        spawn_local(async move {
            let Some(driver) = me.upgrade() else { return };
            let still_there = || driver.is_ready(backend, place);
            let may_begin = async || {
                driver.wait_while_catching_up().await;
                let now = Instant::now();
                driver
                    .may_begin(request, backend, place, times)
                    .map(|()| now)
            };
            let upstream = driver.upstream.clone();
            let attempt = async {
                let begin = |answer| driver.answer_begun(request, backend, sent, answer);
                let target = Target {
                    endpoint: backend,
                    address: place.address,
                };
                let hooks = AttemptHooks {
                    may_begin,
                    still_there,
                    begin,
                };
                upstream
                    .attempt(target, &client_request, times, hooks)
                    .await
            };
            let ended = tokio::select! {
                biased;
                ended = attempt => ended,
                // The attempt was dropped, and its connection closed, before this is told.
                Ok(()) = cancelled => AttemptOutcome::now(Outcome::Cancelled),
            };
            if ended.answer.is_none() && driver.client_left(request) {
                // Told before the outcome, or the module would decide on one more attempt. An
                // answer that is there is passed on: a client may have ended its
                // own side alone.
                driver.close(request);
            }
            driver.attempt_ended(request, backend, sent, ended);
        });
    }

    /// Whether a backend takes requests where it stood when it was chosen, by the list as it is
    /// now: by the time when the first byte is about to leave, or when a connection would go
    /// back to the pool, it may drain, or another may stand at its address.
    pub(super) fn is_ready(&self, backend: EndpointId, place: EndpointRecord) -> bool {
        let state = self.state.borrow();
        state.directory.endpoint(backend) == Some(place) && place.state == EndpointState::Ready
    }

    /// Whether the client of an open request has gone.
    pub(super) fn client_left(&self, request: RequestId) -> bool {
        let state = self.state.borrow();
        state
            .open
            .get(&request)
            .is_some_and(|open| open.answer.is_some() && open.client.is_closed_by_peer())
    }

    /// Waits while the fleet is asked for what this process missed. An attempt that was decided
    /// before the process was suspended must not be written before the drains since are known.
    async fn wait_while_catching_up(&self) {
        if let Some(fleet) = &self.fleet {
            fleet.wait_while_catching_up().await;
        }
    }

    /// Whether an attempt may begin, asked directly before its first byte is written: nothing that
    /// was true when it was decided need hold any more. All that can have changed is looked at
    /// here and nowhere else.
    pub(super) fn may_begin(
        &self,
        request: RequestId,
        backend: EndpointId,
        place: EndpointRecord,
        times: AttemptTimes,
    ) -> Result<(), Outcome> {
        let is_owed = self
            .state
            .borrow()
            .open
            .get(&request)
            .is_some_and(|open| open.answer.is_some());
        if !is_owed || self.client_left(request) || times.is_late_to_write() {
            return Err(Outcome::NotSent);
        }
        // Guards a drain that was told while the connection came up: nothing new may start then.
        if self.is_ready(backend, place) {
            Ok(())
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// Tells of an attempt that did not go out.
    pub(super) fn not_sent(
        state: &mut State,
        request: RequestId,
        backend: EndpointId,
        outcome: Outcome,
    ) {
        let mut open = state.open.get_mut(&request);
        let event = Event::Outcome {
            request,
            attempt: open.as_ref().map_or(0, |open| open.attempts as u8),
            endpoint: backend,
            outcome,
            latency_ms: 0.0,
            ended: open.as_ref().is_none_or(|open| open.answer.is_none()),
            report: Report::default(),
        };
        if let Some(open) = open.as_mut().filter(|_| outcome == Outcome::NoCapacity) {
            // It counts as one, so that a request does not go round all members.
            open.attempts += 1;
        }
        step!(
            event = "not sent",
            id = open.as_deref().map_or("-", Open::id),
            member = state.directory.name(backend),
            ?outcome
        );
        state.happened.push_back(Happening::Event(event));
    }

    pub(super) fn later(&self, after_ms: Millis, token: u64) {
        let me = self.me.clone();
        let expires_at = tokio::time::Instant::now() + span(after_ms);
        run_until_done("driver timer", move || {
            let me = me.clone();
            async move {
                tokio::time::sleep_until(expires_at).await;
                if let Some(driver) = me.upgrade() {
                    driver.event(Event::Timer { token });
                }
            }
        });
    }

    pub(super) fn probe(&self, state: &State, backend: EndpointId) {
        let (me, upstream, path) = (self.me.clone(), self.upstream.clone(), self.probe_path);
        let (place, sent) = (state.directory.endpoint(backend), Instant::now());
        spawn_local(async move {
            let ended = match place {
                Some(place) => upstream.probe(place.address, path).await,
                None => AttemptOutcome::now(Outcome::NotSent),
            };
            let Some(driver) = me.upgrade() else { return };
            let took_ms = ended.at.saturating_duration_since(sent).as_secs_f64() * 1000.0;
            let (outcome, report) = (ended.outcome, ended.report);
            driver.event(Event::ProbeResult {
                endpoint: backend,
                outcome,
                latency_ms: took_ms,
                report,
            });
        });
    }

    /// Follows the list from the version held, for ever: when discovery is called again after a
    /// failure is the subscription's to decide, whether lists are pushed or polled.
    pub(super) fn watch(&self, state: &mut State) {
        state.watch = None;
        let Membership::Discovery(address) = self.membership.get() else {
            return;
        };
        let me = self.me.clone();
        let subscribe = move || {
            let me = me.clone();
            async move {
                let Some(driver) = me.upgrade() else { return };
                let subscription = driver.subscription(address);
                drop(driver);
                let take = move |list: EndpointList| {
                    if let Some(driver) = me.upgrade() {
                        driver.take_list(&list, None);
                    }
                };
                subscription.run(take).await;
            }
        };
        state.watch = Some(keep_running("endpoint subscription", subscribe));
    }

    /// A subscription from the version held.
    fn subscription(&self, address: SocketAddr) -> discovery::Subscription {
        let mode = if self.must_subscribe {
            Mode::Polled
        } else {
            Mode::Pushed
        };
        discovery::Subscription {
            address,
            mode,
            held_version: self.state.borrow().index,
            seed: self.seed,
            freshness: self.list_freshness.clone(),
        }
    }

    pub(super) fn fetch(&self) {
        let Membership::Discovery(address) = self.membership.get() else {
            return;
        };
        let me = self.me.clone();
        spawn_local(async move {
            let list = discovery::fetch_snapshot(address).await.ok();
            let Some(driver) = me.upgrade() else { return };
            match list.filter(|_| driver.membership.get() == Membership::Discovery(address)) {
                Some(list) => driver.take_list(&list, None),
                None => driver.list_failed(),
            }
        });
    }

    pub(super) fn list_failed(&self) {
        let state = &mut *self.state.borrow_mut();
        let version = state.index.unwrap_or_default() as u32;
        self.handle(
            state,
            Happening::List(ListKind::Failed, version, Vec::new()),
        );
    }
}
