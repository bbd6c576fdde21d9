//! What the gate's failures were: one test for each, without the bench.

mod common;
use common::*;
use dewrun_balancer::*;

fn many_backends(tier: u32) -> Proxy {
    Proxy::new(Settings { tier, ..settings() }, &endpoints(40))
}

#[test]
fn refuses_unsent_over_the_count_once_calls_come_late() {
    let mut p = many_backends(0);
    p.rounds(6, 60, 3_000.0, Outcome::Ok);
    assert!(p.admitted(200) < 60, "late answers must cut the count");
    assert!(
        p.ask(0, 0, 4_000.0).is_some(),
        "room again once answers come in time"
    );
}

#[test]
fn a_gate_cut_low_rises_again() {
    // It once compared the calls left after an outcome with the count, so a count near 1 could
    // never rise.
    let mut p = many_backends(1);
    p.rounds(30, 1, 3_500.0, Outcome::Ok);
    for _ in 0..40 {
        let all = p.admitted(4);
        p.now += 50.0;
        if all == 4 {
            return;
        }
    }
    panic!("a gate that was cut low stays low though all calls are answered in time");
}

#[test]
fn a_lull_before_a_cut_does_not_shut_the_gate() {
    // A sparse copy has one call out at most moments: the cut goes from the recent peak, not from
    // that.
    let mut p = many_backends(1);
    p.rounds(3, 20, 100.0, Outcome::Ok);
    let slow: Vec<Sent> = (0..20).filter_map(|_| p.ask(0, 0, 4_000.0)).collect();
    p.now += 1_500.0;
    for sent in slow {
        p.end(sent, Outcome::Ok);
    }
    assert!(
        p.admitted(20) >= 5,
        "cut to almost nothing after one slow round"
    );
}

#[test]
fn one_cause_one_cut() {
    // The late answers of calls sent before a cut tell of the same jam: they must not cut again.
    let mut p = many_backends(1);
    p.rounds(2, 40, 100.0, Outcome::Ok);
    let jam: Vec<Sent> = (0..40).filter_map(|_| p.ask(0, 0, 8_000.0)).collect();
    for sent in jam {
        p.now += 100.0;
        p.end(sent, Outcome::Ok);
    }
    assert!(p.admitted(40) >= 15, "one jam cut the gate over and over");
}

#[test]
fn one_failure_among_few_calls_cuts_nothing() {
    let mut p = many_backends(1);
    p.rounds(20, 2, 200.0, Outcome::Ok);
    p.rounds(1, 1, 200.0, Outcome::Error);
    assert_eq!(p.admitted(30), 30);
}

#[test]
fn refused_connections_are_no_sign_of_load() {
    let mut p = many_backends(1);
    p.rounds(5, 4, 100.0, Outcome::Ok);
    p.rounds(10, 4, 100.0, Outcome::ConnectFailed);
    assert_eq!(
        p.admitted(30),
        30,
        "a cut zone's refused connections must not cut the gate of the rest"
    );
}

#[test]
fn the_first_count_at_the_top_comes_from_the_list_and_grows_while_calls_are_timely() {
    let top = Settings {
        fleet_size: 10,
        ..settings()
    };
    let mut p = Proxy::new(top.clone(), &endpoints(10));
    let first = p.admitted(1_000);
    assert!(
        first < 50,
        "{first} calls at once from a copy that knows nothing yet"
    );
    for _ in 0..6 {
        p.admitted(1_000);
    }
    assert!(p.admitted(1_000) > 2 * first);
    let mut below = Proxy::new(Settings { tier: 1, ..top }, &endpoints(10));
    assert_eq!(
        below.admitted(300),
        300,
        "below the top a refusal wastes work: the first count stays open"
    );
}

fn shared() -> Settings {
    let tenant = |fraction: f64| Tenant {
        fraction,
        ..tenant(20.0 * fraction)
    };
    Settings {
        tenants: vec![tenant(0.5), tenant(0.5)],
        ..settings()
    }
}

#[test]
fn borrowed_room_must_be_earned() {
    let mut p = Proxy::new(shared(), &endpoints(40));
    let sent = (0..100).filter(|_| p.ask(0, 0, 4_000.0).is_some()).count();
    assert!(sent <= 25, "{sent} calls of a share of 10 a second");
    assert!(
        p.ask(0, 1, 4_000.0).is_some(),
        "the other tenant is within its share"
    );
}

#[test]
fn tenants_out_of_range_are_served_as_if_without_a_share() {
    let mut p = Proxy::new(shared(), &endpoints(4));
    assert!(p.ask(0, 99, 4_000.0).is_some());
}

#[test]
fn a_class_of_little_worth_yields_and_without_such_a_pair_none_does() {
    let share = |worths: [f64; 2]| {
        let classes = worths.map(|worth| Class {
            priority_weight: worth,
            ..class(EffectClass::Idempotent, DeduplicationScope::All)
        });
        let mut p = Proxy::new(
            Settings {
                tier: 0,
                classes: classes.to_vec(),
                ..settings()
            },
            &endpoints(40),
        );
        let mut served = [0.0, 0.0];
        for round in 0..40 {
            let ask = |p: &mut Proxy, class: u8| p.ask(class, 0, 4_000.0).map(|sent| (class, sent));
            let out: Vec<_> = (0..60)
                .filter_map(|n| ask(&mut p, u8::from(n % 6 > 0)))
                .collect();
            p.now += 100.0 + 25.0 * out.len() as f64;
            for (class, sent) in out {
                served[usize::from(class)] += f64::from(u8::from(round > 20));
                p.end(sent, Outcome::Ok);
            }
        }
        (served[0] / 10.0) / (served[1] / 50.0).max(1e-9)
    };
    let (apart, alike) = (share([20.0, 1.0]), share([1.0, 1.0]));
    assert!(
        apart > 1.3 * alike,
        "worth 20 to 1 served {apart:.2} to 1, equal worth {alike:.2} to 1"
    );
}

#[test]
fn classes_of_like_worth_are_served_alike_whatever_their_aims() {
    // A class with a long aim never looked late by its own calls, so only the other one was cut.
    let aims = [1_000.0, 4_000.0];
    let classes = aims.map(|latency_objective_ms| Class {
        latency_objective_ms,
        ..class(EffectClass::Idempotent, DeduplicationScope::All)
    });
    let objective = objective(0.6, 0.1, 0.3);
    let mut p = Proxy::new(
        Settings {
            classes: classes.to_vec(),
            objective,
            ..settings()
        },
        &endpoints(40),
    );
    let mut served = [0.0, 0.0];
    for round in 0..120 {
        let ask = |p: &mut Proxy, class: u8| p.ask(class, 0, 8_000.0).map(|sent| (class, sent));
        let out: Vec<_> = (0..120).filter_map(|n| ask(&mut p, n % 2)).collect();
        p.now += 100.0 + 20.0 * out.len() as f64;
        for (class, sent) in out {
            served[usize::from(class)] += f64::from(u8::from(round > 60));
            p.end(sent, Outcome::Ok);
        }
    }
    let ratio = served[0] / served[1];
    assert!(
        ratio > 0.7 && ratio < 1.4,
        "short aim {} calls, long aim {}",
        served[0],
        served[1]
    );
}

#[test]
fn a_tenant_within_its_share_does_not_look_over_it_by_chance() {
    // A share of 3 calls a second at this copy, and 2 a second asked in clusters of 8: a window of
    // two seconds took half of each cluster for borrowed.
    let tenants = vec![tenant(3.0), tenant(3.0)];
    let mut p = Proxy::new(
        Settings {
            tenants,
            ..settings()
        },
        &endpoints(40),
    );
    p.now += 10_000.0;
    for cluster in 0..10 {
        // Four calls of the other tenant beyond its share hold all the room there is to borrow.
        let others: Vec<Sent> = (0..40).filter_map(|_| p.ask(0, 1, 4_000.0)).collect();
        let sent: Vec<Sent> = (0..8).filter_map(|_| p.ask(0, 0, 4_000.0)).collect();
        assert_eq!(sent.len(), 8, "cluster {cluster}");
        p.now += 300.0;
        others.into_iter().chain(sent).for_each(|sent| {
            p.end(sent, Outcome::Ok);
        });
        p.now += 3_700.0;
    }
}

#[test]
fn a_fresh_copy_does_not_let_in_a_whole_window_of_one_tenant() {
    let mut p = Proxy::new(shared(), &endpoints(40));
    let sent = (0..400).filter(|_| p.ask(0, 0, 4_000.0).is_some()).count();
    assert!(sent <= 20, "{sent} calls at once of a share of 10 a second");
}

#[test]
fn a_fresh_count_does_not_double_each_round() {
    // The front of a tier once filled fivefold in three seconds, before the first late answer was
    // in.
    let mut p = Proxy::new(
        Settings {
            fleet_size: 40,
            ..settings()
        },
        &endpoints(40),
    );
    let before = p.admitted(10_000);
    p.rounds(4, 10_000, 100.0, Outcome::Ok);
    let after = p.admitted(10_000);
    assert!(
        after > before && after < 3 * before,
        "{before} calls at the start, {after} five rounds later"
    );
}

#[test]
fn answers_much_slower_than_usual_cut_the_top_gate_though_they_are_in_time() {
    let mut p = many_backends(0);
    p.rounds(20, 300, 100.0, Outcome::Ok);
    let calm = p.admitted(10_000);
    // Well inside the limit by the aim of a second, and three times the usual.
    p.rounds(20, 300, 300.0, Outcome::Ok);
    let crowded = p.admitted(10_000);
    assert!(
        2 * crowded < calm,
        "{calm} calls when calm, {crowded} when crowded"
    );
    // Crowding alone leaves half of the first count, 320 here.
    p.rounds(60, 300, 300.0, Outcome::Ok);
    assert!(
        p.admitted(10_000) >= 160,
        "a crowded gate was cut down to nothing"
    );
}

#[test]
fn many_sparse_copies_together_can_go_below_a_call_each() {
    // A whole call at each of hundreds of copies is more than a small jammed tier bears.
    let mut sent = 0;
    for rank in 0..100 {
        let mut p = Proxy::new(
            Settings {
                rank,
                fleet_size: 100,
                ..settings()
            },
            &endpoints(4),
        );
        p.balancer = dewrun_balancer::Balancer::new(
            Settings {
                rank,
                fleet_size: 100,
                ..settings()
            },
            rank.into(),
        );
        p.list(ListKind::Cached, &endpoints(4));
        p.rounds(40, 2, 3_500.0, Outcome::Ok);
        p.now += 100.0;
        sent += usize::from(p.ask(0, 0, 4_000.0).is_some());
    }
    assert!(
        (1..60).contains(&sent),
        "{sent} of 100 copies before a jammed tier still send at once"
    );
}

#[test]
fn clients_that_leave_cut_the_gate_and_only_so_far() {
    let left = |p: &mut Proxy, rounds: usize| {
        for _ in 0..rounds {
            let out: Vec<Sent> = (0..300).filter_map(|_| p.ask(0, 0, 4_000.0)).collect();
            p.now += 100.0;
            for sent in out {
                p.event(Event::ClientDisconnected {
                    request: sent.request,
                });
                assert!(p.last.contains(&Action::Cancel {
                    request: sent.request,
                    attempt: sent.attempt
                }));
                p.event(ended_as(
                    sent.request,
                    sent.attempt,
                    sent.to,
                    Outcome::Cancelled,
                    100.0,
                    true,
                ));
                assert!(
                    p.last.iter().all(|a| matches!(a, Action::Log(_))),
                    "{:?}",
                    p.last
                );
            }
        }
    };
    let mut p = many_backends(0);
    p.rounds(20, 300, 100.0, Outcome::Ok);
    let calm = p.admitted(10_000);
    left(&mut p, 20);
    let after = p.admitted(10_000);
    assert!(
        after < calm / 2 && after > 0,
        "{calm} calls when calm, {after} after clients left"
    );
    // Below the top the leaving is the caller's, and says nothing of the tier.
    let mut p = many_backends(1);
    left(&mut p, 20);
    assert_eq!(p.admitted(150), 150);
}

#[test]
fn the_first_count_is_eight_a_backend_or_for_sparse_copies_five_and_four() {
    // With five an endpoint a lone copy refused a fifth of a calm day's first seconds; with eight and
    // nothing for chance sparse ones refused their bursts.
    for (fleet_size, first) in [(1, 320), (40, 9), (400, 4)] {
        let mut p = Proxy::new(
            Settings {
                fleet_size,
                ..settings()
            },
            &endpoints(40),
        );
        let sent = p.admitted(1_000);
        assert!(
            (first..=first + 1).contains(&sent),
            "{sent} calls at a copy of {fleet_size}, not {first}"
        );
    }
}

#[test]
fn a_refusal_says_when_to_come_back_where_clients_are_told() {
    // Clients told nothing came back at once, to a gate that had not moved.
    let told = |tier, retry_after| {
        let base = settings();
        let permissions = Permissions {
            retry_after,
            ..base.permissions.clone()
        };
        let mut p = Proxy::new(
            Settings {
                tier,
                permissions,
                ..base
            },
            &[],
        );
        p.ask(0, 0, 4_000.0);
        p.last.iter().find_map(|action| match action {
            Action::Reject { retry_after_ms, .. } => Some(*retry_after_ms),
            _ => None,
        })
    };
    assert!(told(0, true).is_some_and(|ms| ms > 0.0 && ms <= 2_000.0));
    assert_eq!(told(0, false), Some(0.0), "not permitted");
    assert_eq!(told(1, true), Some(0.0), "further down nobody waits");
}

/// Guards against ejection, and a slow start at the return, of an endpoint that was only taken out
/// of the list for a moment.
#[test]
fn an_attempt_that_was_not_sent_as_its_endpoint_left_says_nothing_of_it() {
    for left in [EndpointState::Draining, EndpointState::Removed] {
        for outcome in [Outcome::ConnectFailed, Outcome::NoCapacity] {
            let mut proxy = Proxy::new(settings(), &endpoints(1));
            let kept_in_flight = proxy.ask(0, 0, 4_000.0).expect("it is sent");
            let not_sent = proxy.ask(0, 0, 4_000.0).expect("it is sent");
            let taken_out = EndpointInfo {
                state: left,
                ..endpoint(1)
            };
            proxy.list(ListKind::Delta, &[taken_out]);
            proxy.now += 1.0;
            proxy.end(not_sent, outcome);
            let is_ejection = |action: &Action| matches!(action, Action::StatusChanged { status, .. } if *status == EndpointStatus::Ejected);
            assert!(!proxy.last.iter().any(is_ejection), "{left:?} {outcome:?}");
            proxy.list(ListKind::Delta, &endpoints(1));
            proxy.end(kept_in_flight, Outcome::Ok);
            // Fewer than the first limit of one endpoint, and more than a slow start lets through.
            let sent = (0..8).filter_map(|_| proxy.ask(0, 0, 4_000.0)).count();
            assert_eq!(sent, 8, "{left:?} {outcome:?}");
        }
    }
}
