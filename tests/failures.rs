//! The service level of a pool while some of its members fail: pools in simulated time with the
//! real balancer, and two pools on sockets with the real program. All verdicts are based on counts.

use dewrun_balancer::Balancer;
use dewrun_balancer::*;
use dewrun_simulation::matrix::{judge, FaultyMembers, MatrixCell, Verdict, FAULTS};
use dewrun_simulation::pool::{Fault, Pool, PoolSimulation, RequestOutcome, RunRecord};
use dewrun_test_support::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::io::Write;

fn cell(
    fault: Fault,
    members: u32,
    faulty: FaultyMembers,
    load: f64,
    effect: EffectClass,
) -> MatrixCell {
    let name = FAULTS.iter().find(|t| t.1 == fault).map_or("", |t| t.0);
    MatrixCell {
        fault: (name, fault),
        members,
        faulty,
        load,
        effect,
        instances: 1,
    }
}

fn verdict(cell: &MatrixCell) -> Verdict {
    let verdict = judge(cell, &cell.run_balancer(1));
    assert_eq!(
        verdict.violations, 0,
        "a rule was violated: {cell:?} {verdict:?}"
    );
    assert!(verdict.attempts <= 1.2, "{cell:?} {verdict:?}");
    verdict
}

/// Asserts that 99 % of requests are served within the latency objective after the initial period,
/// and that a recovered member gets its share back within 15 s.
fn assert_service_holds(cell: &MatrixCell) {
    let verdict = verdict(cell);
    assert!(verdict.served_fraction() >= 0.99, "{cell:?} {verdict:?}");
    assert!(
        verdict
            .share_restored_after
            .is_some_and(|after| after <= 15_000.0),
        "{cell:?} {verdict:?}"
    );
}

const EFFECTS: [EffectClass; 3] = [
    EffectClass::Idempotent,
    EffectClass::Keyed,
    EffectClass::NonIdempotent,
];

#[test]
fn a_dead_member_does_not_reduce_service() {
    for fault in [Fault::ConnectionRefused, Fault::ConnectTimeout] {
        for (members, faulty) in [
            (2, FaultyMembers::One),
            (3, FaultyMembers::One),
            (10, FaultyMembers::One),
            (10, FaultyMembers::Half),
            (50, FaultyMembers::Half),
        ] {
            for load in [0.3, 0.8] {
                for effect in EFFECTS {
                    assert_service_holds(&cell(fault, members, faulty, load, effect));
                }
            }
        }
    }
    assert_service_holds(&cell(
        Fault::ConnectionRefused,
        2,
        FaultyMembers::One,
        0.0,
        EffectClass::Idempotent,
    ));
    // A hanging member costs the requests in flight when it starts to hang, and occasional probes.
    assert_service_holds(&cell(
        Fault::Hang,
        3,
        FaultyMembers::One,
        0.8,
        EffectClass::Idempotent,
    ));
}

#[test]
fn immediate_errors_attract_no_traffic() {
    for fault in [
        Fault::ImmediateError,
        Fault::Overloaded,
        Fault::ConnectionClosed,
        Fault::OneClass,
    ] {
        for effect in [EffectClass::Idempotent, EffectClass::Keyed] {
            assert_service_holds(&cell(fault, 2, FaultyMembers::One, 0.8, effect));
            assert_service_holds(&cell(fault, 10, FaultyMembers::Half, 0.3, effect));
        }
        // Requests that must not be retried fail only at the faulty member: a few at first, and one
        // probe in a thousand requests.
        let non_idempotent = cell(
            fault,
            2,
            FaultyMembers::One,
            0.8,
            EffectClass::NonIdempotent,
        );
        let record = non_idempotent.run_balancer(1);
        let failed = record
            .requests
            .iter()
            .filter(|a| a.outcome.is_some_and(|e| e.1 == RequestOutcome::Failed))
            .count();
        assert!(
            failed <= 12 + record.requests.len() / 1_000,
            "{fault:?}: {failed} of {}",
            record.requests.len()
        );
        verdict(&non_idempotent);
    }
}

#[test]
fn a_pool_with_one_healthy_member_keeps_serving() {
    for fault in [
        Fault::ConnectionRefused,
        Fault::ImmediateError,
        Fault::Overloaded,
    ] {
        for load in [0.3, 0.8] {
            let verdict = verdict(&cell(
                fault,
                10,
                FaultyMembers::AllButOne,
                load,
                EffectClass::Idempotent,
            ));
            assert!(
                verdict.served_fraction() >= 0.99,
                "{fault:?} {load} {verdict:?}"
            );
        }
    }
}

#[test]
fn a_flapping_member_causes_few_extra_attempts() {
    for effect in EFFECTS {
        let verdict = verdict(&cell(Fault::Flapping, 3, FaultyMembers::One, 0.8, effect));
        assert!(verdict.served_fraction() >= 0.99, "{verdict:?}");
        assert!(verdict.attempts <= 1.02, "{verdict:?}");
    }
}

#[test]
fn a_recovered_member_gets_its_share_back() {
    // With `Restarted` the process restarts without a list change. The member is cold and must not
    // be overloaded while it warms up; a member that collapses counts as a violation.
    for fault in [
        Fault::Restarted,
        Fault::ConnectionRefused,
        Fault::ImmediateError,
        Fault::Slow(10.0),
        Fault::Hang,
    ] {
        for members in [2, 10] {
            let verdict = verdict(&cell(
                fault,
                members,
                FaultyMembers::One,
                0.8,
                EffectClass::Idempotent,
            ));
            let after = verdict.share_restored_after;
            assert!(
                after.is_some_and(|after| after <= 15_000.0),
                "{fault:?} of {members}: {verdict:?}"
            );
        }
    }
}

#[test]
fn probes_of_a_faulty_member_are_bounded_over_the_fleet() {
    for instances in [1, 50] {
        let mut dead = cell(
            Fault::ImmediateError,
            10,
            FaultyMembers::One,
            0.8,
            EffectClass::Idempotent,
        );
        dead.instances = instances;
        let (pool, record) = (dead.pool(), dead.run_balancer(1));
        // Failures before ejection and attempts in flight have ended by now; only probes follow.
        let probes: Vec<f64> = record
            .attempts
            .iter()
            .filter(|s| {
                s.member == 0
                    && s.sent_at > pool.fault_from + 3_000.0
                    && s.sent_at < pool.fault_until
            })
            .map(|s| s.sent_at)
            .collect();
        let counts = (0..17).map(|s| pool.fault_from + 3_000.0 + 1_000.0 * f64::from(s));
        let counts = counts.map(|from| {
            probes
                .iter()
                .filter(|at| **at >= from && **at < from + 1_000.0)
                .count()
        });
        let (max_per_second, total) = (counts.max().unwrap_or(0), probes.len());
        assert!(total > 0, "{instances} instances send occasional probes");
        assert!(
            max_per_second <= 30,
            "{instances} instances: {max_per_second} probes in one second"
        );
        assert!(
            total <= 20 * 17,
            "{instances} instances: {total} probes in 17 s"
        );
        assert!(judge(&dead, &record).served_fraction() >= 0.99);
    }
}

/// Waves of quick requests are followed by a wave of requests that take 250 times as long, with the
/// same class and route. The early timeout learned from the quick ones must reject no slow ones.
#[test]
fn a_sudden_rise_in_duration_rejects_nothing() {
    let mut settings = cell(
        Fault::ConnectionRefused,
        2,
        FaultyMembers::One,
        0.3,
        EffectClass::Idempotent,
    )
    .settings(0);
    settings.classes[0].deadline_ms = 30_000.0;
    let mut balancer = Balancer::new(settings, 3);
    let list: Vec<EndpointInfo> = (1..=2).map(member).collect();
    let mut actions = Vec::new();
    balancer.handle(
        0.0,
        Event::EndpointsChanged {
            kind: ListKind::Full,
            version: 1,
            endpoints: &list,
        },
        &mut actions,
    );
    let (mut now, mut next) = (1.0, 1);
    for wave in 0..60 {
        // Each twentieth wave is slow.
        let (requests, duration_ms) = if wave % 20 == 19 {
            (50, 500.0)
        } else {
            (20, 2.0)
        };
        let (served, rejected) =
            play_wave(&mut balancer, &mut now, &mut next, requests, duration_ms);
        assert_eq!((served, rejected), (requests, 0), "wave {wave}");
    }
}

fn member(id: EndpointId) -> EndpointInfo {
    EndpointInfo {
        id,
        zone: 0,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// Plays simultaneous requests that each take the same time at any endpoint unless they time out
/// earlier; returns the numbers of served and rejected requests.
fn play_wave(
    balancer: &mut Balancer,
    now: &mut f64,
    next: &mut u64,
    requests: usize,
    duration_ms: f64,
) -> (usize, usize) {
    let (mut served, mut rejected) = (0, 0);
    let mut in_flight: Vec<(f64, u64, u8, EndpointId, f64, bool)> = Vec::new();
    let mut actions = Vec::new();
    let mut attempts = std::collections::BTreeMap::<u64, u8>::new();
    let mut perform = |actions: &mut Vec<Action>, now: f64, in_flight: &mut Vec<_>| {
        for action in actions.drain(..) {
            match action {
                Action::Send {
                    request,
                    endpoint: backend,
                    timeout_ms,
                    ..
                } => {
                    let number = attempts.entry(request).or_default();
                    let times_out = timeout_ms > 0.0 && timeout_ms < duration_ms;
                    let ends_at = now + if times_out { timeout_ms } else { duration_ms };
                    in_flight.push((ends_at, request, *number, backend, now, !times_out));
                    *number += 1;
                }
                Action::Reject { .. } | Action::Fail { .. } => rejected += 1,
                _ => {}
            }
        }
    };
    for _ in 0..requests {
        let id = *next;
        *next += 1;
        let event = Event::Request {
            cell: None,
            id,
            key: None,
            class: 0,
            tenant: 0,
            hint_ms: None,
            is_client_retry: false,
            write: false,
            ttl_ms: 30_000.0,
        };
        balancer.handle(*now, event, &mut actions);
        perform(&mut actions, *now, &mut in_flight);
    }
    while !in_flight.is_empty() {
        in_flight.sort_by(|a, b| b.0.total_cmp(&a.0));
        let Some((ends_at, request, attempt, backend, sent_at, is_served)) = in_flight.pop() else {
            break;
        };
        *now = ends_at;
        served += usize::from(is_served);
        let outcome = if is_served {
            Outcome::Ok
        } else {
            Outcome::Timeout
        };
        let (latency_ms, report) = (ends_at - sent_at, Report::default());
        balancer.handle(
            ends_at,
            Event::Outcome {
                request,
                attempt,
                endpoint: backend,
                outcome,
                latency_ms,
                ended: is_served,
                report,
            },
            &mut actions,
        );
        perform(&mut actions, ends_at, &mut in_flight);
    }
    *now += 10.0;
    (served, rejected)
}

#[test]
fn a_run_is_reproducible_from_its_seed() {
    let attempts = |record: &RunRecord| {
        record
            .attempts
            .iter()
            .map(|s| (s.sent_at.to_bits(), s.member))
            .collect::<Vec<_>>()
    };
    let cell = cell(
        Fault::Flapping,
        10,
        FaultyMembers::Half,
        0.3,
        EffectClass::NonIdempotent,
    );
    assert_eq!(
        attempts(&cell.run_balancer(7)),
        attempts(&cell.run_balancer(7))
    );
    assert_ne!(
        attempts(&cell.run_balancer(7)),
        attempts(&cell.run_balancer(8))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// One healthy member among faulty ones has a load that it can serve. Of any hundred
    /// consecutive requests from the fifth second of the fault on, at most twenty are not served,
    /// and each request gets exactly one response.
    #[test]
    fn one_healthy_member_keeps_a_pool_in_service(
        kind in 0..FAULTS.len(),
        members in 2..8_u32,
        load in 0.2..0.8_f64,
        seed in 0..1_000_u64,
    ) {
        let mut one = cell(FAULTS[kind].1, members, FaultyMembers::AllButOne, load, EffectClass::Idempotent);
        one.fault = FAULTS[kind];
        let record = PoolSimulation::new(
            Pool { duration: 20_000.0, fault_until: 20_000.0, ..one.pool() },
            vec![Balancer::new(one.settings(0), seed)],
            seed,
        )
        .run();
        let from = one.pool().fault_from + 5_000.0;
        let served: Vec<bool> = record
            .requests
            .iter()
            .filter(|a| a.arrived_at >= from && a.arrived_at < 20_000.0)
            .map(|a| a.outcome.is_some_and(|e| e.1 == RequestOutcome::Served))
            .collect();
        for window in served.windows(100) {
            let unserved = window.iter().filter(|served| !**served).count();
            prop_assert!(unserved <= 20, "{unserved} of 100: {one:?}");
        }
        prop_assert!(record.requests.iter().all(|a| a.responses == 1));
    }
}

/// Runs the program with a healthy member and one that is dead or answers with an error at once.
#[test]
fn the_program_serves_all_beside_a_dead_and_a_failing_member() {
    let failing =
        Backend::with_response("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    for faulty in [free_address(), failing.address] {
        let (healthy, address) = (
            Backend::with_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
            free_address(),
        );
        let members = [healthy.address.to_string(), faulty.to_string()];
        let arguments = [
            "serve",
            "--listen",
            &address.to_string(),
            "--backend",
            &members[0],
            &members[1],
        ];
        let mut daemon = Daemon::start(env!("CARGO_BIN_EXE_dewrun"), &arguments, &[]);
        daemon.wait_until_listening(address);
        let mut statuses = std::collections::BTreeMap::<u16, usize>::new();
        let mut stream = std::net::TcpStream::connect(address).expect("a connection");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("setting the read timeout");
        let mut reader =
            std::io::BufReader::new(stream.try_clone().expect("cloning the socket handle"));
        for _ in 0..1_000 {
            stream
                .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
                .expect("writing the request");
            let response = Message::read(&mut reader).expect("a response");
            *statuses.entry(response.status()).or_default() += 1;
        }
        assert_eq!(
            statuses.get(&200),
            Some(&1_000),
            "{statuses:?}\n{}",
            daemon.log()
        );
        until("the ejection is logged", || {
            daemon.logged("status=ejected") >= 1
        });
        assert!(daemon.logged("status=ejected") <= 20, "{}", daemon.log());
        assert!(
            daemon.log().contains(&format!("member={faulty}")),
            "{}",
            daemon.log()
        );
    }
}

/// Guards against 503 responses without a log line that gives the reason.
#[test]
fn rejections_are_summarized_by_reason() {
    let (dead, address) = (free_address(), free_address());
    let arguments = [
        "serve",
        "--listen",
        &address.to_string(),
        "--backend",
        &dead.to_string(),
    ];
    let mut daemon = Daemon::start(env!("CARGO_BIN_EXE_dewrun"), &arguments, &[]);
    daemon.wait_until_listening(address);
    for _ in 0..40 {
        let response = try_call(address, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n").expect("a response");
        assert_eq!(response.status(), 503);
    }
    until("the summary is logged", || {
        daemon.logged("requests not served in the last second") >= 1
    });
    let summaries = daemon.logged("requests not served in the last second");
    assert!(summaries <= 30, "one summary per second: {summaries}");
    assert!(daemon.log().contains("rejected=\""), "{}", daemon.log());
}
