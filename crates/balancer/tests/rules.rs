//! The four rules, each case on its own and then all over drawn sequences of legal events.

mod common;
use common::*;
use dewrun_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const MAY_HAVE_RUN: [Outcome; 3] = [Outcome::Error, Outcome::Timeout, Outcome::Reset];
const NEVER_RAN: [Outcome; 2] = [Outcome::Full, Outcome::ConnectFailed];

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
fn once_is_not_repeated_or_refused_after_it_may_have_run() {
    for outcome in MAY_HAVE_RUN {
        let mut p = proxy(
            EffectClass::NonIdempotent,
            DeduplicationScope::All,
            &endpoints(8),
        );
        let sent = p.ask(0, 0, 4_000.0).expect("sent");
        p.now += 50.0;
        assert_eq!(p.end(sent, outcome), None, "{outcome:?}");
        assert!(p.failed() && !p.refused(), "{outcome:?}");
    }
}

#[test]
fn attempts_whose_backend_left_the_list_are_all_made_anew() {
    let classes = vec![class(EffectClass::NonIdempotent, DeduplicationScope::All)];
    let open = |list: &[EndpointInfo]| {
        let mut p = Proxy::new(
            Settings {
                has_long_requests: false,
                classes: classes.clone(),
                ..settings()
            },
            list,
        );
        let sent: Vec<Sent> = (0..40)
            .map(|_| p.ask(0, 0, 4_000.0).expect("sent"))
            .collect();
        (p, sent)
    };
    // More at once than the repeats that are saved up: none of them cost the tier anything.
    let (mut p, sent) = open(&endpoints(2));
    p.list(ListKind::Full, &[endpoint(9)]);
    for sent in sent {
        assert_eq!(
            p.end(sent, Outcome::ConnectFailed).map(|again| again.to),
            Some(9)
        );
    }
    // A tier that can't be reached is another matter: its repeats are counted.
    let (mut p, sent) = open(&endpoints(40));
    let again = sent
        .into_iter()
        .filter_map(|sent| p.end(sent, Outcome::ConnectFailed))
        .count();
    assert!(again < 20, "{again}");
}

#[test]
fn once_is_repeated_after_proof_that_it_never_ran() {
    for outcome in NEVER_RAN {
        let mut p = proxy(
            EffectClass::NonIdempotent,
            DeduplicationScope::All,
            &endpoints(8),
        );
        let sent = p.ask(0, 0, 4_000.0).expect("sent");
        p.now += 50.0;
        assert!(p.end(sent, outcome).is_some(), "{outcome:?}");
    }
}

#[test]
fn keyed_repeats_stay_in_the_group_that_drops_them() {
    let list: Vec<_> = (1..=24).map(|id| in_zone(id, (id % 3) as u16)).collect();
    for scope in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        for _ in 0..40 {
            let mut p = proxy(EffectClass::Keyed, scope, &list);
            let first = p.ask(0, 0, 4_000.0).expect("sent");
            p.now += 50.0;
            let Some(again) = p.end(first, Outcome::Error) else {
                continue;
            };
            let (a, b) = (list[first.to as usize - 1], list[again.to as usize - 1]);
            match scope {
                DeduplicationScope::All => {}
                DeduplicationScope::Zone => assert_eq!(a.zone, b.zone),
                DeduplicationScope::Cell => assert_eq!(a.cell, b.cell),
            }
        }
    }
}

#[test]
fn keyed_is_neither_repeated_after_its_window_nor_refused_outside_a_group_of_all() {
    for scope in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        let mut p = proxy(EffectClass::Keyed, scope, &endpoints(8));
        let sent = p.ask(0, 0, 4_000.0).expect("sent");
        p.now += 2_100.0;
        assert_eq!(p.end(sent, Outcome::Error), None);
        assert!(p.failed());
    }
}

#[test]
fn keyed_without_a_backend_left_in_its_group_fails() {
    let mut p = proxy(
        EffectClass::Keyed,
        DeduplicationScope::Zone,
        &[in_zone(1, 0), in_zone(2, 1)],
    );
    let sent = p.ask(0, 0, 4_000.0).expect("sent");
    let rest: Vec<_> = [in_zone(1, 0), in_zone(2, 1)]
        .into_iter()
        .filter(|b| b.id != sent.to)
        .collect();
    p.list(ListKind::Full, &rest);
    p.now += 50.0;
    assert_eq!(p.end(sent, Outcome::Reset), None);
    assert!(p.failed() && !p.refused());
}

#[test]
fn nothing_new_goes_to_a_draining_or_gone_backend() {
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
            let Some(sent) = p.ask(0, 0, 4_000.0) else {
                break;
            };
            assert_ne!(sent.to, 2);
            p.now += 5.0;
            p.end(sent, Outcome::Ok);
        }
    }
}

#[test]
fn what_a_full_list_leaves_out_is_gone() {
    let mut p = proxy(
        EffectClass::Idempotent,
        DeduplicationScope::All,
        &endpoints(3),
    );
    p.list(ListKind::Full, &[endpoint(3)]);
    let sent = p.ask(0, 0, 4_000.0).expect("sent");
    assert_eq!(sent.to, 3);
}

#[test]
fn without_a_backend_a_request_is_refused_and_not_lost() {
    let mut p = proxy(EffectClass::NonIdempotent, DeduplicationScope::All, &[]);
    assert_eq!(p.ask(0, 0, 4_000.0), None);
    assert!(p.refused());
}

#[test]
fn an_unknown_class_is_refused() {
    let mut p = proxy(
        EffectClass::NonIdempotent,
        DeduplicationScope::All,
        &endpoints(2),
    );
    assert_eq!(p.ask(200, 0, 4_000.0), None);
    assert!(p.refused());
}

#[test]
fn late_repeated_and_unknown_events_do_nothing() {
    let mut p = proxy(
        EffectClass::Idempotent,
        DeduplicationScope::All,
        &endpoints(4),
    );
    let sent = p.ask(0, 0, 4_000.0).expect("sent");
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
        p.ask(0, 0, 4_000.0).is_some(),
        "a clock that is no number stands still"
    );
}

#[test]
fn a_cold_backend_gets_no_more_than_its_part_right_after_its_start() {
    // A fresh bucket once filled by a whole window at its first use.
    let list = [endpoint(1), endpoint(2), endpoint(3), endpoint(4)];
    let mut p = proxy(EffectClass::Idempotent, DeduplicationScope::All, &list);
    let tally = |p: &mut Proxy, ms: f64| {
        let (mut cold, mut warm) = (0, 0);
        let end = p.now + ms;
        while p.now < end {
            if let Some(sent) = p.ask(0, 0, 4_000.0) {
                *(if sent.to == 5 { &mut cold } else { &mut warm }) += 1;
                p.now += 5.0;
                p.end(sent, Outcome::Ok);
            } else {
                p.now += 5.0;
            }
        }
        (cold, warm)
    };
    tally(&mut p, 6_000.0);
    let started_at = Some(p.now);
    p.list(
        ListKind::Delta,
        &[EndpointInfo {
            started_at,
            ..endpoint(5)
        }],
    );
    let (cold, warm) = tally(&mut p, 100.0);
    assert!(
        cold <= 1,
        "{cold} calls to the cold one at once, {warm} to the warm ones"
    );
    // Never more than half of what makes it fall in any of the windows, at its least capacity.
    let (cold, warm) = tally(&mut p, 2_900.0);
    let able = f64::from(warm) / 4.0 * 0.5;
    assert!(
        f64::from(cold) < 0.7 * 3.0 * able,
        "{cold} calls to the cold one, able to do {able}"
    );
}

#[test]
fn asking_again_leaves_time_for_the_call_before_a_change_counts_as_told() {
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
            // The call that follows may wait for its turn for 2 s, and half a second is for what
            // the list brings.
            let wait = wait.expect("it asks again");
            assert!(
                (100.0..=3_500.0).contains(&wait),
                "{wait} ms after {failed} failures"
            );
            p.now += wait;
        }
    }
}

/// What the reference keeps of one request.
#[derive(Default)]
struct Told {
    class: usize,
    deadline: Millis,
    out: Vec<(u8, EndpointId)>,
    attempts: u8,
    first_risk: Option<(EndpointId, Millis)>,
    answered: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Ask {
        class: u8,
        tenant: u16,
        ttl: f64,
    },
    End {
        nth: usize,
        outcome: Outcome,
    },
    Leave {
        nth: usize,
    },
    Wait {
        ms: f64,
    },
    State {
        id: EndpointId,
        state: EndpointState,
        fresh: bool,
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
        5 => (0..4u8, 0..3u16, 1.0..4_000.0f64).prop_map(|(class, tenant, ttl)| Step::Ask { class, tenant, ttl }),
        5 => (0..64usize, outcome).prop_map(|(nth, outcome)| Step::End { nth, outcome }),
        1 => (0..64usize).prop_map(|nth| Step::Leave { nth }),
        4 => (0.1..400.0f64).prop_map(|ms| Step::Wait { ms }),
        1 => (1..=9u32, state, any::<bool>()).prop_map(|(id, state, fresh)| Step::State { id, state, fresh }),
    ]
}

struct World {
    p: Proxy,
    classes: Vec<Class>,
    parallel: bool,
    list: BTreeMap<EndpointId, EndpointInfo>,
    told: BTreeMap<RequestId, Told>,
    next: RequestId,
}

impl World {
    fn new(parallel: bool) -> World {
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
        World {
            p,
            classes,
            parallel,
            list,
            told: BTreeMap::new(),
            next: 1,
        }
    }

    /// Carries out the actions of the last event and checks each against the rules.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for action in self.p.last.clone() {
            match action {
                Action::Send {
                    request,
                    endpoint,
                    timeout_ms,
                    ..
                } => {
                    let told = self
                        .told
                        .get_mut(&request)
                        .expect("a request that was given");
                    prop_assert!(!told.answered, "sent after its end");
                    prop_assert!(self.parallel || told.out.is_empty(), "two attempts out");
                    prop_assert!(
                        self.list[&endpoint].state == EndpointState::Ready,
                        "sent to {:?}",
                        endpoint
                    );
                    prop_assert!(
                        timeout_ms > 0.0 && self.p.now + timeout_ms <= told.deadline + 1e-6
                    );
                    prop_assert!(told.attempts < 5);
                    let class = &self.classes[told.class];
                    let risk = told.first_risk;
                    let (a, b) = (risk.map(|r| self.list[&r.0]), self.list[&endpoint]);
                    match (class.effect, risk) {
                        (EffectClass::NonIdempotent, Some(_)) => {
                            prop_assert!(false, "repeated what may have run")
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
                    told.out.push((told.attempts, endpoint));
                    told.attempts += 1;
                }
                Action::Reject { request, .. } => {
                    let told = self.told.get_mut(&request).expect("given");
                    prop_assert!(!told.answered, "a second answer");
                    let effect = self.classes[told.class].effect;
                    prop_assert!(
                        effect == EffectClass::Idempotent || told.first_risk.is_none(),
                        "a refusal that lies"
                    );
                    told.answered = true;
                }
                Action::Fail { request, .. } => {
                    let told = self.told.get_mut(&request).expect("given");
                    prop_assert!(!told.answered, "a second answer");
                    told.answered = true;
                }
                _ => {}
            }
        }
        for told in self.told.values() {
            prop_assert!(
                told.answered || !told.out.is_empty(),
                "a request is held with nothing out"
            );
        }
        Ok(())
    }

    fn pending(&self, nth: usize) -> Option<(RequestId, u8)> {
        let all: Vec<_> = self
            .told
            .iter()
            .flat_map(|(id, t)| t.out.iter().map(|o| (*id, o.0)))
            .collect();
        (!all.is_empty()).then(|| all[nth % all.len()])
    }

    fn end(
        &mut self,
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
    ) -> Result<(), TestCaseError> {
        let told = self.told.get_mut(&request).expect("given");
        let place = told.out.iter().position(|o| o.0 == attempt).expect("out");
        let (_, endpoint) = told.out.remove(place);
        if !outcome.was_not_executed() && told.first_risk.is_none() {
            // Any moment up to now bounds the send from above; the test waits little between them.
            told.first_risk = Some((endpoint, self.p.now - self.classes[told.class].window_ms));
            if outcome != Outcome::Ok {
                told.first_risk = Some((endpoint, self.p.now));
            }
        }
        let ended = outcome == Outcome::Ok || told.answered;
        told.answered |= ended;
        self.p
            .event(ended_as(request, attempt, endpoint, outcome, 10.0, ended));
        self.check()
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Ask { class, tenant, ttl } => {
                let id = self.next;
                self.next += 1;
                let deadline = self.p.now + ttl;
                self.told.insert(
                    id,
                    Told {
                        class: class.into(),
                        deadline,
                        ..Told::default()
                    },
                );
                self.p.event(request(id, class, tenant, ttl));
                self.check()
            }
            Step::End { nth, outcome } => match self.pending(nth) {
                Some((request, attempt)) => self.end(request, attempt, outcome),
                None => Ok(()),
            },
            Step::Leave { nth } => {
                let Some((request, _)) = self.pending(nth) else {
                    return Ok(());
                };
                self.told.get_mut(&request).expect("given").answered = true;
                self.p.event(Event::ClientDisconnected { request });
                self.check()
            }
            Step::Wait { ms } => {
                self.p.now += ms;
                // At its deadline an attempt times out, as the proxy would report it.
                let late = self.told.iter().filter(|(_, t)| t.deadline <= self.p.now);
                let late: Vec<_> = late
                    .flat_map(|(id, t)| t.out.iter().map(|o| (*id, o.0)).collect::<Vec<_>>())
                    .collect();
                late.into_iter()
                    .try_for_each(|(id, attempt)| self.end(id, attempt, Outcome::Timeout))
            }
            Step::State { id, state, fresh } => {
                let started_at = if fresh {
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
fn the_rules_hold_over_any_legal_sequence_of_events() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = (any::<bool>(), prop::collection::vec(step(), 1..250));
    let result = runner.run(&steps, |(parallel, steps)| {
        let mut world = World::new(parallel);
        steps.into_iter().try_for_each(|step| world.step(step))
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
        let mut out = Vec::new();
        for n in 0..300 {
            if let Some(sent) = p.ask(0, 0, 4_000.0) {
                out.push(sent);
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
        out
    };
    assert_eq!(play(), play());
}

#[test]
fn once_is_not_repeated_though_its_backend_has_left_the_list_meanwhile() {
    for outcome in MAY_HAVE_RUN {
        let mut p = proxy(
            EffectClass::NonIdempotent,
            DeduplicationScope::All,
            &endpoints(8),
        );
        let sent = p.ask(0, 0, 4_000.0).expect("sent");
        let rest: Vec<_> = endpoints(8)
            .into_iter()
            .filter(|b| b.id != sent.to)
            .collect();
        p.list(ListKind::Full, &rest);
        p.now += 50.0;
        assert_eq!(p.end(sent, outcome), None);
        assert!(p.failed() && !p.refused(), "{outcome:?}");
    }
}

#[test]
fn the_plainest_settings_work() {
    // No tenants, one class, one zone, no reports, no probes, one endpoint, one copy, at any tier.
    for tier in 0..3 {
        let mut plain = Settings { tier, ..settings() };
        plain.objective = objective(0.0, 0.0, 0.0);
        plain.classes[0].priority_weight = 0.0;
        let mut p = Proxy::new(plain, &endpoints(1));
        for _ in 0..50 {
            let sent = p.ask(0, 0, 4_000.0).expect("one idle endpoint: it is sent");
            p.now += 30.0;
            p.end(sent, Outcome::Ok);
        }
    }
}
