//! The rules for retries, rejections, draining and slow start: single cases, and random sequences
//! of valid events checked against a reference model.

mod common;
use common::*;
use dewrun_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const POSSIBLY_EXECUTED: [Outcome; 3] = [Outcome::Error, Outcome::Timeout, Outcome::Reset];
const NOT_EXECUTED: [Outcome; 2] = [Outcome::Full, Outcome::ConnectFailed];

fn proxy(effect: EffectClass, scope: DeduplicationScope, list: &[EndpointInfo]) -> Proxy {
    Proxy::new(
        Settings {
            classes: vec![class(effect, scope)],
            ..settings()
        },
        list,
    )
}

fn in_zone(id: EndpointId, zone: u16) -> EndpointInfo {
    EndpointInfo {
        zone,
        ..endpoint(id)
    }
}

#[test]
fn a_non_idempotent_request_fails_after_possible_execution() {
    for outcome in POSSIBLY_EXECUTED {
        let mut p = proxy(
            EffectClass::NonIdempotent,
            DeduplicationScope::All,
            &endpoints(8),
        );
        let sent = p.request(0, 0, 4_000.0).expect("sent");
        p.now += 50.0;
        assert_eq!(p.end(sent, outcome), None, "{outcome:?}");
        assert!(p.has_failed() && !p.is_rejected(), "{outcome:?}");
    }
}

#[test]
fn attempts_to_removed_endpoints_are_all_retried() {
    let classes = vec![class(EffectClass::NonIdempotent, DeduplicationScope::All)];
    let start = |list: &[EndpointInfo]| {
        let mut p = Proxy::new(
            Settings {
                has_long_requests: false,
                classes: classes.clone(),
                ..settings()
            },
            list,
        );
        let sent: Vec<Sent> = (0..40)
            .map(|_| p.request(0, 0, 4_000.0).expect("sent"))
            .collect();
        (p, sent)
    };
    // There are more concurrent retries than the budget holds, and none of them costs budget.
    let (mut p, sent) = start(&endpoints(2));
    p.list(ListKind::Full, &[endpoint(9)]);
    for sent in sent {
        assert_eq!(
            p.end(sent, Outcome::ConnectFailed)
                .map(|retried| retried.to),
            Some(9)
        );
    }
    // Retries of connection failures to listed endpoints are limited by the budget.
    let (mut p, sent) = start(&endpoints(40));
    let retried = sent
        .into_iter()
        .filter_map(|sent| p.end(sent, Outcome::ConnectFailed))
        .count();
    assert!(retried < 20, "{retried}");
}

#[test]
fn a_non_idempotent_request_is_retried_if_it_was_not_executed() {
    for outcome in NOT_EXECUTED {
        let mut p = proxy(
            EffectClass::NonIdempotent,
            DeduplicationScope::All,
            &endpoints(8),
        );
        let sent = p.request(0, 0, 4_000.0).expect("sent");
        p.now += 50.0;
        assert!(p.end(sent, outcome).is_some(), "{outcome:?}");
    }
}

#[test]
fn retries_of_keyed_requests_stay_in_their_deduplication_scope() {
    let list: Vec<_> = (1..=24).map(|id| in_zone(id, (id % 3) as u16)).collect();
    for scope in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        for _ in 0..40 {
            let mut p = proxy(EffectClass::Keyed, scope, &list);
            let first = p.request(0, 0, 4_000.0).expect("sent");
            p.now += 50.0;
            let Some(retried) = p.end(first, Outcome::Error) else {
                continue;
            };
            let (a, b) = (list[first.to as usize - 1], list[retried.to as usize - 1]);
            match scope {
                DeduplicationScope::All => {}
                DeduplicationScope::Zone => assert_eq!(a.zone, b.zone),
                DeduplicationScope::Cell => assert_eq!(a.cell, b.cell),
            }
        }
    }
}

#[test]
fn a_keyed_request_fails_after_its_deduplication_window() {
    for scope in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        let mut p = proxy(EffectClass::Keyed, scope, &endpoints(8));
        let sent = p.request(0, 0, 4_000.0).expect("sent");
        p.now += 2_100.0;
        assert_eq!(p.end(sent, Outcome::Error), None);
        assert!(p.has_failed());
    }
}

#[test]
fn a_keyed_request_fails_without_an_endpoint_in_its_scope() {
    let mut p = proxy(
        EffectClass::Keyed,
        DeduplicationScope::Zone,
        &[in_zone(1, 0), in_zone(2, 1)],
    );
    let sent = p.request(0, 0, 4_000.0).expect("sent");
    let rest: Vec<_> = [in_zone(1, 0), in_zone(2, 1)]
        .into_iter()
        .filter(|b| b.id != sent.to)
        .collect();
    p.list(ListKind::Full, &rest);
    p.now += 50.0;
    assert_eq!(p.end(sent, Outcome::Reset), None);
    assert!(p.has_failed() && !p.is_rejected());
}

#[test]
fn draining_and_removed_endpoints_get_no_new_requests() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut p = proxy(
            EffectClass::Idempotent,
            DeduplicationScope::All,
            &endpoints(3),
        );
        p.list(
            ListKind::Delta,
            &[EndpointInfo {
                state,
                ..endpoint(2)
            }],
        );
        for _ in 0..200 {
            let Some(sent) = p.request(0, 0, 4_000.0) else {
                break;
            };
            assert_ne!(sent.to, 2);
            p.now += 5.0;
            p.end(sent, Outcome::Ok);
        }
    }
}

#[test]
fn endpoints_missing_from_a_full_list_are_removed() {
    let mut p = proxy(
        EffectClass::Idempotent,
        DeduplicationScope::All,
        &endpoints(3),
    );
    p.list(ListKind::Full, &[endpoint(3)]);
    let sent = p.request(0, 0, 4_000.0).expect("sent");
    assert_eq!(sent.to, 3);
}

#[test]
fn a_request_without_any_endpoint_is_rejected() {
    let mut p = proxy(EffectClass::NonIdempotent, DeduplicationScope::All, &[]);
    assert_eq!(p.request(0, 0, 4_000.0), None);
    assert!(p.is_rejected());
}

#[test]
fn a_request_of_an_unknown_class_is_rejected() {
    let mut p = proxy(
        EffectClass::NonIdempotent,
        DeduplicationScope::All,
        &endpoints(2),
    );
    assert_eq!(p.request(200, 0, 4_000.0), None);
    assert!(p.is_rejected());
}

#[test]
fn late_duplicate_and_unknown_events_are_ignored() {
    let mut p = proxy(
        EffectClass::Idempotent,
        DeduplicationScope::All,
        &endpoints(4),
    );
    let sent = p.request(0, 0, 4_000.0).expect("sent");
    p.now += 20.0;
    p.end(sent, Outcome::Ok);
    for request in [sent.request, 9_999] {
        assert!(p
            .event(ended_as(
                request,
                0,
                sent.to,
                Outcome::Error,
                f64::NAN,
                true
            ))
            .is_empty());
        assert!(p.event(Event::ClientDisconnected { request }).is_empty());
    }
    assert!(p.event(Event::Timer { token: 77 }).is_empty());
    p.now = f64::NAN;
    assert!(
        p.request(0, 0, 4_000.0).is_some(),
        "a clock of NaN does not advance"
    );
}

#[test]
fn a_new_endpoint_gets_no_burst_after_its_start() {
    // Regression: the first refill of a new token bucket counted a whole window.
    let list = [endpoint(1), endpoint(2), endpoint(3), endpoint(4)];
    let mut p = proxy(EffectClass::Idempotent, DeduplicationScope::All, &list);
    let count = |p: &mut Proxy, ms: f64| {
        let (mut cold, mut warm) = (0, 0);
        let end = p.now + ms;
        while p.now < end {
            if let Some(sent) = p.request(0, 0, 4_000.0) {
                *(if sent.to == 5 { &mut cold } else { &mut warm }) += 1;
                p.now += 5.0;
                p.end(sent, Outcome::Ok);
            } else {
                p.now += 5.0;
            }
        }
        (cold, warm)
    };
    count(&mut p, 6_000.0);
    let started_at = Some(p.now);
    p.list(
        ListKind::Delta,
        &[EndpointInfo {
            started_at,
            ..endpoint(5)
        }],
    );
    let (cold, warm) = count(&mut p, 100.0);
    assert!(
        cold <= 1,
        "{cold} requests to the new endpoint at once, {warm} to the warm ones"
    );
    // Every window stays below the overload of the endpoint at its lowest capacity.
    let (cold, warm) = count(&mut p, 2_900.0);
    let capacity = f64::from(warm) / 4.0 * 0.5;
    assert!(
        f64::from(cold) < 0.7 * 3.0 * capacity,
        "{cold} requests to the new endpoint with a capacity of {capacity}"
    );
}

#[test]
fn discovery_backoff_leaves_time_for_a_poll_before_changes_count_as_notified() {
    for poll_within_ms in [4_000.0, 10_000.0, 60_000.0] {
        let rules = Rules {
            poll_within_ms,
            ..settings().rules
        };
        let mut p = Proxy::new(
            Settings {
                must_subscribe: true,
                rules,
                ..settings()
            },
            &endpoints(2),
        );
        for failed in 0..40 {
            p.list(ListKind::Failed, &[]);
            let wait = p.last.iter().find_map(|action| match action {
                Action::SetTimer { after_ms, .. } => Some(*after_ms),
                _ => None,
            });
            // The next poll may be delayed by up to 2 s, and half a second remains for applying the
            // list.
            let wait = wait.expect("a timer for the next poll");
            assert!(
                (100.0..=3_500.0).contains(&wait),
                "{wait} ms after {failed} failures"
            );
            p.now += wait;
        }
    }
}

/// The record of one request in the reference model.
#[derive(Default)]
struct ReferenceRequest {
    class: usize,
    deadline: Millis,
    in_flight: Vec<(u8, EndpointId)>,
    attempts: u8,
    first_possible_execution: Option<(EndpointId, Millis)>,
    has_ended: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Request {
        class: u8,
        tenant: u16,
        ttl: f64,
    },
    End {
        nth: usize,
        outcome: Outcome,
    },
    Disconnect {
        nth: usize,
    },
    Wait {
        ms: f64,
    },
    State {
        id: EndpointId,
        state: EndpointState,
        restarted: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Ok),
        2 => Just(Outcome::Error),
        1 => Just(Outcome::Full),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
    ];
    let state = prop_oneof![
        2 => Just(EndpointState::Ready),
        1 => Just(EndpointState::Draining),
        1 => Just(EndpointState::Removed),
    ];
    prop_oneof![
        5 => (0..4u8, 0..3u16, 1.0..4_000.0f64).prop_map(|(class, tenant, ttl)| Step::Request { class, tenant, ttl }),
        5 => (0..64usize, outcome).prop_map(|(nth, outcome)| Step::End { nth, outcome }),
        1 => (0..64usize).prop_map(|nth| Step::Disconnect { nth }),
        4 => (0.1..400.0f64).prop_map(|ms| Step::Wait { ms }),
        1 => (1..=9u32, state, any::<bool>()).prop_map(|(id, state, restarted)| Step::State { id, state, restarted }),
    ]
}

struct Model {
    p: Proxy,
    classes: Vec<Class>,
    parallel: bool,
    list: BTreeMap<EndpointId, EndpointInfo>,
    reference: BTreeMap<RequestId, ReferenceRequest>,
    next: RequestId,
}

impl Model {
    fn new(parallel: bool) -> Model {
        let scopes = [DeduplicationScope::Zone, DeduplicationScope::Cell];
        let mut classes = vec![
            class(EffectClass::Idempotent, DeduplicationScope::All),
            class(EffectClass::NonIdempotent, DeduplicationScope::All),
        ];
        classes.extend(scopes.map(|scope| class(EffectClass::Keyed, scope)));
        let mut settings = Settings {
            classes: classes.clone(),
            ..settings()
        };
        settings.permissions.parallel = parallel;
        settings.tenants = vec![tenant(5.0); 2];
        let list: Vec<_> = (1..=9).map(|id| in_zone(id, (id % 3) as u16)).collect();
        let p = Proxy::new(settings, &list);
        let list = list.into_iter().map(|b| (b.id, b)).collect();
        Model {
            p,
            classes,
            parallel,
            list,
            reference: BTreeMap::new(),
            next: 1,
        }
    }

    /// Performs the actions of the last event and checks each against the rules.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for action in self.p.last.clone() {
            match action {
                Action::Send {
                    request,
                    endpoint,
                    timeout_ms,
                    ..
                } => {
                    let reference = self.reference.get_mut(&request).expect("a known request");
                    prop_assert!(
                        !reference.has_ended,
                        "an attempt is sent after the request ended"
                    );
                    prop_assert!(
                        self.parallel || reference.in_flight.is_empty(),
                        "two attempts are in flight"
                    );
                    prop_assert!(
                        self.list[&endpoint].state == EndpointState::Ready,
                        "sent to {:?}",
                        endpoint
                    );
                    prop_assert!(
                        timeout_ms > 0.0 && self.p.now + timeout_ms <= reference.deadline + 1e-6
                    );
                    prop_assert!(reference.attempts < 5);
                    let class = &self.classes[reference.class];
                    let executed = reference.first_possible_execution;
                    let (a, b) = (
                        executed.map(|first| self.list[&first.0]),
                        self.list[&endpoint],
                    );
                    match (class.effect, executed) {
                        (EffectClass::NonIdempotent, Some(_)) => {
                            prop_assert!(false, "a request that may have been executed is retried")
                        }
                        (EffectClass::Keyed, Some((_, at))) => {
                            prop_assert!(self.p.now - at < class.window_ms);
                            let (a, b) = (a.map(|a| (a.zone, a.cell)), (b.zone, b.cell));
                            prop_assert!(
                                class.scope != DeduplicationScope::Zone
                                    || a.map(|a| a.0) == Some(b.0)
                            );
                            prop_assert!(
                                class.scope != DeduplicationScope::Cell
                                    || a.map(|a| a.1) == Some(b.1)
                            );
                        }
                        _ => {}
                    }
                    reference.in_flight.push((reference.attempts, endpoint));
                    reference.attempts += 1;
                }
                Action::Reject { request, .. } => {
                    let reference = self.reference.get_mut(&request).expect("a known request");
                    prop_assert!(!reference.has_ended, "a second final result");
                    let effect = self.classes[reference.class].effect;
                    prop_assert!(
                        effect == EffectClass::Idempotent
                            || reference.first_possible_execution.is_none(),
                        "a request that may have been executed is rejected"
                    );
                    reference.has_ended = true;
                }
                Action::Fail { request, .. } => {
                    let reference = self.reference.get_mut(&request).expect("a known request");
                    prop_assert!(!reference.has_ended, "a second final result");
                    reference.has_ended = true;
                }
                _ => {}
            }
        }
        for reference in self.reference.values() {
            prop_assert!(
                reference.has_ended || !reference.in_flight.is_empty(),
                "a pending request has no attempt in flight"
            );
        }
        Ok(())
    }

    fn pending(&self, nth: usize) -> Option<(RequestId, u8)> {
        let all: Vec<_> = self
            .reference
            .iter()
            .flat_map(|(id, t)| t.in_flight.iter().map(|attempt| (*id, attempt.0)))
            .collect();
        (!all.is_empty()).then(|| all[nth % all.len()])
    }

    fn end(
        &mut self,
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
    ) -> Result<(), TestCaseError> {
        let reference = self.reference.get_mut(&request).expect("a known request");
        let index = reference
            .in_flight
            .iter()
            .position(|sent| sent.0 == attempt)
            .expect("an attempt in flight");
        let (_, endpoint) = reference.in_flight.remove(index);
        if !outcome.was_not_executed() && reference.first_possible_execution.is_none() {
            // The current time is an upper bound of the time of sending.
            reference.first_possible_execution = Some((
                endpoint,
                self.p.now - self.classes[reference.class].window_ms,
            ));
            if outcome != Outcome::Ok {
                reference.first_possible_execution = Some((endpoint, self.p.now));
            }
        }
        let ended = outcome == Outcome::Ok || reference.has_ended;
        reference.has_ended |= ended;
        self.p
            .event(ended_as(request, attempt, endpoint, outcome, 10.0, ended));
        self.check()
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Request { class, tenant, ttl } => {
                let id = self.next;
                self.next += 1;
                let deadline = self.p.now + ttl;
                self.reference.insert(
                    id,
                    ReferenceRequest {
                        class: class.into(),
                        deadline,
                        ..ReferenceRequest::default()
                    },
                );
                self.p.event(request(id, class, tenant, ttl));
                self.check()
            }
            Step::End { nth, outcome } => match self.pending(nth) {
                Some((request, attempt)) => self.end(request, attempt, outcome),
                None => Ok(()),
            },
            Step::Disconnect { nth } => {
                let Some((request, _)) = self.pending(nth) else {
                    return Ok(());
                };
                self.reference
                    .get_mut(&request)
                    .expect("a known request")
                    .has_ended = true;
                self.p.event(Event::ClientDisconnected { request });
                self.check()
            }
            Step::Wait { ms } => {
                self.p.now += ms;
                // The proxy reports a timeout for an attempt that reaches the deadline.
                let late = self
                    .reference
                    .iter()
                    .filter(|(_, t)| t.deadline <= self.p.now);
                let late: Vec<_> = late
                    .flat_map(|(id, t)| {
                        t.in_flight
                            .iter()
                            .map(|attempt| (*id, attempt.0))
                            .collect::<Vec<_>>()
                    })
                    .collect();
                late.into_iter()
                    .try_for_each(|(id, attempt)| self.end(id, attempt, Outcome::Timeout))
            }
            Step::State {
                id,
                state,
                restarted,
            } => {
                let started_at = if restarted {
                    Some(self.p.now)
                } else {
                    self.list[&id].started_at
                };
                let info = EndpointInfo {
                    state,
                    started_at,
                    ..self.list[&id]
                };
                self.list.insert(id, info);
                self.p.list(ListKind::Delta, &[info]);
                self.check()
            }
        }
    }
}

#[test]
fn the_rules_hold_for_any_valid_sequence_of_events() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = (any::<bool>(), prop::collection::vec(step(), 1..250));
    let result = runner.run(&steps, |(parallel, steps)| {
        let mut model = Model::new(parallel);
        steps.into_iter().try_for_each(|step| model.step(step))
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn equal_seeds_and_events_give_equal_actions() {
    let play = || {
        let mut p = proxy(
            EffectClass::Idempotent,
            DeduplicationScope::All,
            &endpoints(12),
        );
        let mut in_flight = Vec::new();
        for n in 0..300 {
            if let Some(sent) = p.request(0, 0, 4_000.0) {
                in_flight.push(sent);
                p.now += 7.0;
                p.end(
                    sent,
                    if n % 9 == 0 {
                        Outcome::Error
                    } else {
                        Outcome::Ok
                    },
                );
            }
        }
        in_flight
    };
    assert_eq!(play(), play());
}

#[test]
fn a_non_idempotent_request_fails_if_its_endpoint_left_the_list() {
    for outcome in POSSIBLY_EXECUTED {
        let mut p = proxy(
            EffectClass::NonIdempotent,
            DeduplicationScope::All,
            &endpoints(8),
        );
        let sent = p.request(0, 0, 4_000.0).expect("sent");
        let rest: Vec<_> = endpoints(8)
            .into_iter()
            .filter(|b| b.id != sent.to)
            .collect();
        p.list(ListKind::Full, &rest);
        p.now += 50.0;
        assert_eq!(p.end(sent, outcome), None);
        assert!(p.has_failed() && !p.is_rejected(), "{outcome:?}");
    }
}

#[test]
fn minimal_settings_are_sufficient() {
    // There is one class, zone, endpoint and process, and there are no tenants, reports or probes.
    for tier in 0..3 {
        let mut plain = Settings { tier, ..settings() };
        plain.objective = objective(0.0, 0.0, 0.0);
        plain.classes[0].priority_weight = 0.0;
        let mut p = Proxy::new(plain, &endpoints(1));
        for _ in 0..50 {
            let sent = p
                .request(0, 0, 4_000.0)
                .expect("the request is sent to the idle endpoint");
            p.now += 30.0;
            p.end(sent, Outcome::Ok);
        }
    }
}
