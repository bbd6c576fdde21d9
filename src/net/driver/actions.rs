//! Performs the balancer's actions: attempts, timers, probes and the subscription to discovery.

use super::log::StatusChange;
use super::*;
use crate::net::attempts::{AttemptHooks, Target};
use crate::supervisor::{keep_running, run_until_done};

impl Driver {
    pub(super) fn perform(&self, state: &mut State, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout_ms,
                connect_timeout_ms: connect_ms,
            } => {
                self.send(state, request, endpoint, (timeout_ms, connect_ms));
            }
            Action::Reject {
                request,
                retry_after_ms,
                reason: why,
            } => {
                self.count_unserved(state, why, |unserved| &mut unserved.rejected);
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
                self.count_unserved(state, why, |unserved| &mut unserved.failed);
                Driver::finish(state, request, FinalResponse::Failed, why.text());
            }
            Action::Cancel { request, attempt } => {
                let in_flight = state
                    .open_requests
                    .get_mut(&request)
                    .and_then(|open_request| open_request.in_flight.as_mut());
                if let Some(cancel) = in_flight
                    .filter(|o| o.attempt == attempt)
                    .and_then(|o| o.cancel.take())
                {
                    let _ = cancel.send(());
                }
            }
            Action::SetTimer { after_ms, token } => self.start_timer(after_ms, token),
            Action::Probe { endpoint } => self.probe(state, endpoint),
            Action::CloseIdle { endpoint } => self.upstream.close_idle(endpoint),
            // The protocol has no such messages, and the settings permit none.
            Action::Message { .. } => {}
            Action::Subscribe { on: true } => self.subscribe(state),
            Action::Subscribe { on: false } => state.subscription_task = None,
            Action::Fetch => self.fetch(),
            // The balancer limits the rate of these lines itself.
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
        response: FinalResponse,
        why: &'static str,
    ) {
        if let Some(open_request) = state.open_requests.get_mut(&request) {
            open_request.finish(response, why);
        }
        Driver::forget(state, request);
    }

    /// Drops a request that has its final response and no attempt in flight.
    pub(super) fn forget(state: &mut State, request: RequestId) {
        if state
            .open_requests
            .get(&request)
            .is_some_and(|open_request| {
                open_request.response_sender.is_none() && open_request.in_flight.is_none()
            })
        {
            state.open_requests.remove(&request);
        }
    }

    pub(super) fn send(
        &self,
        state: &mut State,
        request: RequestId,
        endpoint: EndpointId,
        (timeout_ms, connect_ms): (Millis, Millis),
    ) {
        let record = state.directory.endpoint(endpoint);
        if state
            .open_requests
            .get(&request)
            .is_some_and(|open_request| {
                open_request.in_flight.is_none() && open_request.client_request.body.is_spent()
            })
        {
            // A part of the streamed body was sent and is no longer available. The request may have
            // been executed, whatever its class allows.
            Driver::finish(
                state,
                request,
                FinalResponse::Failed,
                "a part of its body went out and is not kept",
            );
        }
        let open_request = state.open_requests.get_mut(&request);
        // Enforces the guarantees of the driver whatever the balancer does: no attempt for a
        // finished request, no second attempt in flight, and no attempt beyond the maximum.
        let eligible = open_request.filter(|o| {
            o.response_sender.is_some() && o.in_flight.is_none() && o.attempts < self.max_attempts
        });
        let (Some(open_request), Some(record)) = (eligible, record) else {
            return Driver::report_unsent_attempt(state, request, endpoint, Outcome::NotSent);
        };
        let reservation = match (&self.fleet, &open_request.budgets) {
            (Some(fleet), Some(budgets)) => {
                match fleet.reserve_attempt(
                    budgets,
                    open_request.was_sent,
                    state.directory.name(endpoint),
                ) {
                    Ok(reservation) => Some(reservation),
                    Err(AttemptDenied::RetryBudgetExhausted) => {
                        return Driver::report_unsent_attempt(
                            state,
                            request,
                            endpoint,
                            Outcome::NotSent,
                        );
                    }
                    Err(AttemptDenied::MemberAtCapacity) => {
                        return Driver::report_unsent_attempt(
                            state,
                            request,
                            endpoint,
                            Outcome::NoCapacity,
                        );
                    }
                }
            }
            _ => None,
        };
        // An attempt is lost if its endpoint is removed while it waits. So only the first attempt
        // may wait, and only if another one is permitted.
        let may_wait_for_reuse = open_request.attempts == 0 && self.max_attempts > 1;
        let (cancel, cancelled) = oneshot::channel();
        open_request.in_flight = Some(InFlightAttempt {
            attempt: open_request.attempts as u8,
            endpoint,
            cancel: Some(cancel),
            _reservation: reservation,
        });
        open_request.attempts += 1;
        open_request.was_sent = true;
        step!(
            event = "attempt",
            id = open_request.id(),
            attempt = open_request.attempts - 1,
            member = state.directory.name(endpoint),
            timeout_ms
        );
        let sent = Instant::now();
        let times = AttemptTimes {
            deadline: open_request.deadline,
            timeout: if timeout_ms == 0.0 {
                bounded_duration(MAX_DURATION_MS)
            } else {
                bounded_duration(timeout_ms)
            },
            connect_timeout: if connect_ms == 0.0 {
                bounded_duration(MAX_DURATION_MS)
            } else {
                bounded_duration(connect_ms)
            },
            write_by: open_request
                .possibly_executed_since
                .and_then(|at| open_request.retry_window.write_by(at)),
            same_process_since: open_request
                .possibly_executed_since
                .and_then(|at| open_request.retry_window.same_process_since(at)),
            may_wait_for_reuse,
        };
        let (me, client_request) = (self.me.clone(), open_request.client_request.clone());
        spawn_local(async move {
            let Some(driver) = me.upgrade() else { return };
            let is_endpoint_ready = || driver.is_ready(endpoint, record);
            let check_permission = async || {
                driver.wait_while_catching_up().await;
                let now = Instant::now();
                driver
                    .check_permission(request, endpoint, record, times)
                    .map(|()| now)
            };
            let upstream = driver.upstream.clone();
            let attempt = async {
                let begin_response =
                    |response| driver.begin_response(request, endpoint, sent, response);
                let target = Target {
                    endpoint,
                    address: record.address,
                };
                let hooks = AttemptHooks {
                    check_permission,
                    is_endpoint_ready,
                    begin_response,
                };
                upstream
                    .attempt(target, &client_request, times, hooks)
                    .await
            };
            let result = tokio::select! {
                biased;
                result = attempt => result,
                // The attempt has been dropped and its connection closed before the outcome is
                // reported.
                Ok(()) = cancelled => AttemptOutcome::ended_now(Outcome::Cancelled),
            };
            if result.response.is_none() && driver.has_client_disconnected(request) {
                // The disconnect is reported before the outcome, or the balancer would decide on
                // another attempt. A response that has arrived is still forwarded: the client may
                // have shut down only its sending side.
                driver.close(request);
            }
            driver.attempt_ended(request, endpoint, sent, result);
        });
    }

    /// Returns whether an endpoint is ready at the address that was chosen, according to the
    /// current list. It is checked before the first byte is written and before a connection returns
    /// to the pool: meanwhile the endpoint may be draining, or another may have taken its address.
    pub(super) fn is_ready(&self, endpoint: EndpointId, record: EndpointRecord) -> bool {
        let state = self.state.borrow();
        state.directory.endpoint(endpoint) == Some(record) && record.state == EndpointState::Ready
    }

    /// Returns whether the client of an open request has disconnected.
    pub(super) fn has_client_disconnected(&self, request: RequestId) -> bool {
        let state = self.state.borrow();
        state
            .open_requests
            .get(&request)
            .is_some_and(|open_request| {
                open_request.response_sender.is_some() && open_request.client.is_closed_by_peer()
            })
    }

    /// Returns whether a request has no final response yet and its client is known to wait for it.
    fn is_client_waiting(&self, request: RequestId) -> bool {
        let state = self.state.borrow();
        state
            .open_requests
            .get(&request)
            .is_some_and(|open_request| {
                open_request.response_sender.is_some()
                    && !open_request.client.is_closed_by_peer()
                    && !open_request.may_client_have_left()
            })
    }

    /// Waits while the agent fetches updates that this process missed. An attempt that was decided
    /// before the process was suspended must not be sent before later drains are known.
    async fn wait_while_catching_up(&self) {
        if let Some(fleet) = &self.fleet {
            fleet.wait_while_catching_up().await;
        }
    }

    /// Checks whether an attempt may start, directly before its first byte is written. All
    /// conditions that may have changed since the decision are checked here and nowhere else.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if it may not start.
    pub(super) fn check_permission(
        &self,
        request: RequestId,
        endpoint: EndpointId,
        record: EndpointRecord,
        times: AttemptTimes,
    ) -> Result<(), Outcome> {
        if !self.is_client_waiting(request) || times.is_late_to_write() {
            return Err(Outcome::NotSent);
        }
        let may_be_replaced = times
            .same_process_since
            .is_some_and(|since| self.upstream.may_be_replaced_since(endpoint, since));
        if may_be_replaced {
            // Another endpoint that drops the repeat may take it.
            return Err(Outcome::NoCapacity);
        }
        // The endpoint may have started draining while the connection was being established; it
        // must not get new requests then.
        if self.is_ready(endpoint, record) {
            Ok(())
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// Reports to the balancer the outcome of an attempt that was not sent.
    pub(super) fn report_unsent_attempt(
        state: &mut State,
        request: RequestId,
        endpoint: EndpointId,
        outcome: Outcome,
    ) {
        let mut open_request = state.open_requests.get_mut(&request);
        let event = Event::Outcome {
            request,
            attempt: open_request
                .as_ref()
                .map_or(0, |open_request| open_request.attempts as u8),
            endpoint,
            outcome,
            latency_ms: 0.0,
            ended: open_request
                .as_ref()
                .is_none_or(|open_request| open_request.response_sender.is_none()),
            report: Report::default(),
        };
        if let Some(open_request) = open_request
            .as_mut()
            .filter(|_| outcome == Outcome::NoCapacity)
        {
            // It counts as an attempt, so that a request does not visit all pool members.
            open_request.attempts += 1;
        }
        step!(
            event = "not sent",
            id = open_request.as_deref().map_or("-", OpenRequest::id),
            member = state.directory.name(endpoint),
            ?outcome
        );
        state.event_queue.push_back(QueuedEvent::Event(event));
    }

    pub(super) fn start_timer(&self, after_ms: Millis, token: u64) {
        let me = self.me.clone();
        let expires_at = tokio::time::Instant::now() + bounded_duration(after_ms);
        run_until_done("driver timer", move || {
            let me = me.clone();
            async move {
                tokio::time::sleep_until(expires_at).await;
                if let Some(driver) = me.upgrade() {
                    driver.handle_event(Event::Timer { token });
                }
            }
        });
    }

    pub(super) fn probe(&self, state: &State, endpoint: EndpointId) {
        let (me, upstream, path) = (self.me.clone(), self.upstream.clone(), self.probe_path);
        let (record, sent) = (state.directory.endpoint(endpoint), Instant::now());
        spawn_local(async move {
            let result = match record {
                Some(record) => upstream.probe(record.address, path).await,
                None => AttemptOutcome::ended_now(Outcome::NotSent),
            };
            let Some(driver) = me.upgrade() else { return };
            let took_ms = result.at.saturating_duration_since(sent).as_secs_f64() * 1000.0;
            let (outcome, report) = (result.outcome, result.report);
            driver.handle_event(Event::ProbeResult {
                endpoint,
                outcome,
                latency_ms: took_ms,
                report,
            });
        });
    }

    /// Subscribes to endpoint lists from the current version on. The subscription decides when
    /// discovery is called again after a failure, for pushed and polled lists.
    pub(super) fn subscribe(&self, state: &mut State) {
        state.subscription_task = None;
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
                        driver.handle_list(&list, None);
                    }
                };
                subscription.run(take).await;
            }
        };
        state.subscription_task = Some(keep_running("endpoint subscription", subscribe));
    }

    /// Creates a subscription that starts at the current version.
    fn subscription(&self, address: SocketAddr) -> discovery::Subscription {
        let mode = if self.must_subscribe {
            Mode::Polled
        } else {
            Mode::Pushed
        };
        discovery::Subscription {
            address,
            mode,
            held_version: self.state.borrow().list_version,
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
                Some(list) => driver.handle_list(&list, None),
                None => driver.report_failed_list(),
            }
        });
    }

    pub(super) fn report_failed_list(&self) {
        let state = &mut *self.state.borrow_mut();
        let version = state.list_version.unwrap_or_default() as u32;
        self.handle(
            state,
            QueuedEvent::List(ListKind::Failed, version, Vec::new()),
        );
    }
}
