//! Regression tests of admission control.

mod common;
use common::*;
use dewrun_balancer::*;

fn many_endpoints(tier: u32) -> Proxy {
    Proxy::new(Settings { tier, ..settings() }, &endpoints(40))
}

#[test]
fn requests_over_the_limit_are_rejected_after_late_responses() {
    let mut p = many_endpoints(0);
    p.rounds(6, 60, 3_000.0, Outcome::Ok);
    assert!(
        p.admitted(200) < 60,
        "late responses must decrease the limit"
    );
    assert!(
        p.request(0, 0, 4_000.0).is_some(),
        "capacity is available again once responses arrive in time"
    );
}

#[test]
fn a_low_limit_increases_again() {
    // A comparison of the limit with the requests in flight after an outcome kept a limit near 1
    // from ever increasing.
    let mut p = many_endpoints(1);
    p.rounds(30, 1, 3_500.0, Outcome::Ok);
    for _ in 0..40 {
        let all = p.admitted(4);
        p.now += 50.0;
        if all == 4 {
            return;
        }
    }
    panic!("a low limit stays low though all responses arrive in time");
}

#[test]
fn a_decrease_after_idle_time_starts_from_the_recent_peak() {
    // A process with little traffic has one request in flight most of the time, so a decrease is
    // relative to the recent peak.
    let mut p = many_endpoints(1);
    p.rounds(3, 20, 100.0, Outcome::Ok);
    let slow: Vec<Sent> = (0..20).filter_map(|_| p.request(0, 0, 4_000.0)).collect();
    p.now += 1_500.0;
    for sent in slow {
        p.end(sent, Outcome::Ok);
    }
    assert!(
        p.admitted(20) >= 5,
        "the limit fell to almost nothing after one slow round"
    );
}

#[test]
fn late_responses_of_one_cause_decrease_the_limit_once() {
    // Late responses to requests sent before a decrease have the same cause and must not decrease
    // the limit again.
    let mut p = many_endpoints(1);
    p.rounds(2, 40, 100.0, Outcome::Ok);
    let queued: Vec<Sent> = (0..40).filter_map(|_| p.request(0, 0, 8_000.0)).collect();
    for sent in queued {
        p.now += 100.0;
        p.end(sent, Outcome::Ok);
    }
    assert!(
        p.admitted(40) >= 15,
        "one cause decreased the limit several times"
    );
}

#[test]
fn one_failure_among_few_requests_does_not_decrease_the_limit() {
    let mut p = many_endpoints(1);
    p.rounds(20, 2, 200.0, Outcome::Ok);
    p.rounds(1, 1, 200.0, Outcome::Error);
    assert_eq!(p.admitted(30), 30);
}

#[test]
fn failed_connections_do_not_decrease_the_limit() {
    let mut p = many_endpoints(1);
    p.rounds(5, 4, 100.0, Outcome::Ok);
    p.rounds(10, 4, 100.0, Outcome::ConnectFailed);
    assert_eq!(
        p.admitted(30),
        30,
        "failed connections to a partitioned zone must not decrease the limit of the others"
    );
}

#[test]
fn the_initial_limit_of_the_top_tier_follows_the_list_and_increases_with_timely_responses() {
    let top = Settings {
        fleet_size: 10,
        ..settings()
    };
    let mut p = Proxy::new(top.clone(), &endpoints(10));
    let first = p.admitted(1_000);
    assert!(
        first < 50,
        "{first} requests at the same time from a process without learned state"
    );
    for _ in 0..6 {
        p.admitted(1_000);
    }
    assert!(p.admitted(1_000) > 2 * first);
    let mut below = Proxy::new(Settings { tier: 1, ..top }, &endpoints(10));
    assert_eq!(
        below.admitted(300),
        300,
        "below the top a rejection wastes work: the initial limit rejects nothing"
    );
}

fn two_tenants() -> Settings {
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
fn capacity_beyond_the_quota_must_first_be_observed() {
    let mut p = Proxy::new(two_tenants(), &endpoints(40));
    let sent = (0..100)
        .filter(|_| p.request(0, 0, 4_000.0).is_some())
        .count();
    assert!(sent <= 25, "{sent} requests with a quota of 10 per second");
    assert!(
        p.request(0, 1, 4_000.0).is_some(),
        "the other tenant is within its quota"
    );
}

#[test]
fn unknown_tenants_have_no_quota() {
    let mut p = Proxy::new(two_tenants(), &endpoints(4));
    assert!(p.request(0, 99, 4_000.0).is_some());
}

#[test]
fn a_class_of_lower_priority_sheds_first_and_equal_classes_shed_equally() {
    let served_ratio = |weights: [f64; 2]| {
        let classes = weights.map(|weight| Class {
            priority_weight: weight,
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
            let send =
                |p: &mut Proxy, class: u8| p.request(class, 0, 4_000.0).map(|sent| (class, sent));
            let in_flight: Vec<_> = (0..60)
                .filter_map(|n| send(&mut p, u8::from(n % 6 > 0)))
                .collect();
            p.now += 100.0 + 25.0 * in_flight.len() as f64;
            for (class, sent) in in_flight {
                served[usize::from(class)] += f64::from(u8::from(round > 20));
                p.end(sent, Outcome::Ok);
            }
        }
        (served[0] / 10.0) / (served[1] / 50.0).max(1e-9)
    };
    let (unequal, equal) = (served_ratio([20.0, 1.0]), served_ratio([1.0, 1.0]));
    assert!(
        unequal > 1.3 * equal,
        "priority weights 20 to 1 served {unequal:.2} to 1, equal weights {equal:.2} to 1"
    );
}

#[test]
fn classes_of_equal_weight_are_served_equally_despite_different_objectives() {
    // By its own latencies, a class with a long objective is never late, so that only the limit of
    // the other class would decrease.
    let objectives = [1_000.0, 4_000.0];
    let classes = objectives.map(|latency_objective_ms| Class {
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
        let send =
            |p: &mut Proxy, class: u8| p.request(class, 0, 8_000.0).map(|sent| (class, sent));
        let in_flight: Vec<_> = (0..120).filter_map(|n| send(&mut p, n % 2)).collect();
        p.now += 100.0 + 20.0 * in_flight.len() as f64;
        for (class, sent) in in_flight {
            served[usize::from(class)] += f64::from(u8::from(round > 60));
            p.end(sent, Outcome::Ok);
        }
    }
    let ratio = served[0] / served[1];
    assert!(
        ratio > 0.7 && ratio < 1.4,
        "short objective: {} requests served, long objective: {}",
        served[0],
        served[1]
    );
}

#[test]
fn a_tenant_within_its_quota_is_not_over_quota_by_clustered_arrivals() {
    // The quota is 3 requests per second at this process, and 2 per second arrive in clusters of 8.
    // With a window of two seconds, half of each cluster counted as over quota.
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
        // Requests of the other tenant beyond its quota use all capacity for requests over quota.
        let others: Vec<Sent> = (0..40).filter_map(|_| p.request(0, 1, 4_000.0)).collect();
        let sent: Vec<Sent> = (0..8).filter_map(|_| p.request(0, 0, 4_000.0)).collect();
        assert_eq!(sent.len(), 8, "cluster {cluster}");
        p.now += 300.0;
        others.into_iter().chain(sent).for_each(|sent| {
            p.end(sent, Outcome::Ok);
        });
        p.now += 3_700.0;
    }
}

#[test]
fn a_new_process_does_not_admit_a_whole_window_of_one_tenant() {
    let mut p = Proxy::new(two_tenants(), &endpoints(40));
    let sent = (0..400)
        .filter(|_| p.request(0, 0, 4_000.0).is_some())
        .count();
    assert!(
        sent <= 20,
        "{sent} requests at once with a quota of 10 per second"
    );
}

#[test]
fn an_initial_limit_does_not_double_each_round() {
    // A limit that doubles each round admitted five times the initial load within three seconds,
    // before the first late response arrived.
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
        "{before} requests initially, {after} five rounds later"
    );
}

#[test]
fn latencies_well_above_the_baseline_decrease_the_top_limit_within_the_objective() {
    let mut p = many_endpoints(0);
    p.rounds(20, 300, 100.0, Outcome::Ok);
    let uncongested = p.admitted(10_000);
    // The latency is well within the objective of one second, and three times the usual latency.
    p.rounds(20, 300, 300.0, Outcome::Ok);
    let congested = p.admitted(10_000);
    assert!(
        2 * congested < uncongested,
        "{uncongested} requests without congestion, {congested} with congestion"
    );
    // Queueing alone leaves at least half of the initial limit, which is 320 here.
    p.rounds(60, 300, 300.0, Outcome::Ok);
    assert!(
        p.admitted(10_000) >= 160,
        "queueing alone decreased the limit to almost nothing"
    );
}

#[test]
fn limits_of_many_processes_can_fall_below_one_request_each() {
    // One request from each of hundreds of processes is more than a small congested tier can serve.
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
        sent += usize::from(p.request(0, 0, 4_000.0).is_some());
    }
    assert!(
        (1..60).contains(&sent),
        "{sent} of 100 processes of a congested tier still send a request"
    );
}

#[test]
fn client_disconnections_decrease_the_limit_but_not_to_zero() {
    let disconnect = |p: &mut Proxy, rounds: usize| {
        for _ in 0..rounds {
            let in_flight: Vec<Sent> = (0..300).filter_map(|_| p.request(0, 0, 4_000.0)).collect();
            p.now += 100.0;
            for sent in in_flight {
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
    let mut p = many_endpoints(0);
    p.rounds(20, 300, 100.0, Outcome::Ok);
    let uncongested = p.admitted(10_000);
    disconnect(&mut p, 20);
    let after = p.admitted(10_000);
    assert!(
        after < uncongested / 2 && after > 0,
        "{uncongested} requests without congestion, {after} after clients disconnected"
    );
    // Below the top tier, a disconnection is caused by the upper tier and says nothing about this
    // one.
    let mut p = many_endpoints(1);
    disconnect(&mut p, 20);
    assert_eq!(p.admitted(150), 150);
}

#[test]
fn the_initial_limit_is_eight_per_endpoint_or_five_plus_four_for_sparse_traffic() {
    // With five attempts per endpoint, a single process rejected a fifth of the requests of the
    // first seconds under normal load. With eight and no constant part, processes with little
    // traffic rejected their bursts.
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
            "{sent} requests at one of {fleet_size} processes, expected {first}"
        );
    }
}

#[test]
fn a_rejection_carries_retry_after_where_permitted() {
    // Clients without advice retried at once, while the limit had not changed.
    let retry_after_ms = |tier, retry_after| {
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
        p.request(0, 0, 4_000.0);
        p.last.iter().find_map(|action| match action {
            Action::Reject { retry_after_ms, .. } => Some(*retry_after_ms),
            _ => None,
        })
    };
    assert!(retry_after_ms(0, true).is_some_and(|ms| ms > 0.0 && ms <= 2_000.0));
    assert_eq!(retry_after_ms(0, false), Some(0.0), "not permitted");
    assert_eq!(
        retry_after_ms(1, true),
        Some(0.0),
        "lower tiers give no advice"
    );
}

/// Guards against ejection and a later slow start of an endpoint that was only removed from the
/// list for a moment.
#[test]
fn an_attempt_not_sent_because_its_endpoint_left_does_not_affect_its_health() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        for outcome in [Outcome::ConnectFailed, Outcome::NoCapacity] {
            let mut proxy = Proxy::new(settings(), &endpoints(1));
            let in_flight = proxy.request(0, 0, 4_000.0).expect("the request is sent");
            let not_sent = proxy.request(0, 0, 4_000.0).expect("the request is sent");
            let removed = EndpointInfo {
                state,
                ..endpoint(1)
            };
            proxy.list(ListKind::Delta, &[removed]);
            proxy.now += 1.0;
            proxy.end(not_sent, outcome);
            let is_ejection = |action: &Action| matches!(action, Action::StatusChanged { status, .. } if *status == EndpointStatus::Ejected);
            assert!(!proxy.last.iter().any(is_ejection), "{state:?} {outcome:?}");
            proxy.list(ListKind::Delta, &endpoints(1));
            proxy.end(in_flight, Outcome::Ok);
            // The number is below the initial limit of one endpoint and above what slow start
            // admits.
            let sent = (0..8).filter_map(|_| proxy.request(0, 0, 4_000.0)).count();
            assert_eq!(sent, 8, "{state:?} {outcome:?}");
        }
    }
}
