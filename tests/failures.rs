//! What service a pool keeps while some of its members fail, over time: pools in simulated time
//! before the real module, and two on sockets before the real program. Verdicts are counts.

use dewrun_balancer::Balancer;
use dewrun_balancer::*;
use dewrun_simulation::matrix::{judge, FaultyMembers, MatrixCell, Verdict, FAULTS};
use dewrun_simulation::pool::{Fault, Pool, PoolSimulation, RequestOutcome, RunRecord};
use dewrun_test_support::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::io::Write;

fn cell(
    trouble: Fault,
    members: u32,
    bad: FaultyMembers,
    load: f64,
    effect: EffectClass,
) -> MatrixCell {
    let name = FAULTS.iter().find(|t| t.1 == trouble).map_or("", |t| t.0);
    MatrixCell {
        fault: (name, trouble),
        members,
        faulty: bad,
        load,
        effect,
        instances: 1,
    }
}

fn verdict(cell: &MatrixCell) -> Verdict {
    let verdict = judge(cell, &cell.run_balancer(1));
    assert_eq!(verdict.violations, 0, "a rule broke: {cell:?} {verdict:?}");
    assert!(verdict.attempts <= 1.2, "{cell:?} {verdict:?}");
    verdict
}

/// The part that was served in aim once service must hold, and the share of what was mended.
fn keeps(cell: &MatrixCell) {
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
fn a_dead_member_costs_nothing() {
    for trouble in [Fault::ConnectionRefused, Fault::ConnectTimeout] {
        for (members, bad) in [
            (2, FaultyMembers::One),
            (3, FaultyMembers::One),
            (10, FaultyMembers::One),
            (10, FaultyMembers::Half),
            (50, FaultyMembers::Half),
        ] {
            for load in [0.3, 0.8] {
                for effect in EFFECTS {
                    keeps(&cell(trouble, members, bad, load, effect));
                }
            }
        }
    }
    keeps(&cell(
        Fault::ConnectionRefused,
        2,
        FaultyMembers::One,
        0.0,
        EffectClass::Idempotent,
    ));
    // A hang costs what is out at its beginning, and a trial now and then.
    keeps(&cell(
        Fault::Hang,
        3,
        FaultyMembers::One,
        0.8,
        EffectClass::Idempotent,
    ));
}

#[test]
fn instant_errors_attract_no_traffic() {
    for trouble in [
        Fault::ImmediateError,
        Fault::Overloaded,
        Fault::ConnectionClosed,
        Fault::OneClass,
    ] {
        for effect in [EffectClass::Idempotent, EffectClass::Keyed] {
            keeps(&cell(trouble, 2, FaultyMembers::One, 0.8, effect));
            keeps(&cell(trouble, 10, FaultyMembers::Half, 0.3, effect));
        }
        // What must not go again fails only where it ran: some at first, and a trial in a thousand.
        let once = cell(
            trouble,
            2,
            FaultyMembers::One,
            0.8,
            EffectClass::NonIdempotent,
        );
        let record = once.run_balancer(1);
        let failed = record
            .requests
            .iter()
            .filter(|a| a.outcome.is_some_and(|e| e.1 == RequestOutcome::Failed))
            .count();
        assert!(
            failed <= 12 + record.requests.len() / 1_000,
            "{trouble:?}: {failed} of {}",
            record.requests.len()
        );
        verdict(&once);
    }
}

#[test]
fn all_but_one_dead() {
    for trouble in [
        Fault::ConnectionRefused,
        Fault::ImmediateError,
        Fault::Overloaded,
    ] {
        for load in [0.3, 0.8] {
            let verdict = verdict(&cell(
                trouble,
                10,
                FaultyMembers::AllButOne,
                load,
                EffectClass::Idempotent,
            ));
            assert!(
                verdict.served_fraction() >= 0.99,
                "{trouble:?} {load} {verdict:?}"
            );
        }
    }
}

#[test]
fn a_flapping_member_is_bounded() {
    for effect in EFFECTS {
        let verdict = verdict(&cell(Fault::Flapping, 3, FaultyMembers::One, 0.8, effect));
        assert!(verdict.served_fraction() >= 0.99, "{verdict:?}");
        assert!(verdict.attempts <= 1.02, "{verdict:?}");
    }
}

#[test]
fn a_mended_member_gets_its_share_back() {
    // Its process restarts untold: it is cold, and must not be pushed over on its way (a fallen one
    // counts as broken).
    for trouble in [
        Fault::Restarted,
        Fault::ConnectionRefused,
        Fault::ImmediateError,
        Fault::Slow(10.0),
        Fault::Hang,
    ] {
        for members in [2, 10] {
            let verdict = verdict(&cell(
                trouble,
                members,
                FaultyMembers::One,
                0.8,
                EffectClass::Idempotent,
            ));
            let after = verdict.share_restored_after;
            assert!(
                after.is_some_and(|after| after <= 15_000.0),
                "{trouble:?} of {members}: {verdict:?}"
            );
        }
    }
}

#[test]
fn trials_are_bounded_over_the_fleet() {
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
        // Strikes and what was out by then are over; from here on there are trials alone.
        let trials: Vec<f64> = record
            .attempts
            .iter()
            .filter(|s| {
                s.member == 0
                    && s.sent_at > pool.fault_from + 3_000.0
                    && s.sent_at < pool.fault_until
            })
            .map(|s| s.sent_at)
            .collect();
        let most = (0..17).map(|s| pool.fault_from + 3_000.0 + 1_000.0 * f64::from(s));
        let most = most.map(|from| {
            trials
                .iter()
                .filter(|at| **at >= from && **at < from + 1_000.0)
                .count()
        });
        let (most, all) = (most.max().unwrap_or(0), trials.len());
        assert!(all > 0, "{instances} instances try it now and then");
        assert!(
            most <= 30,
            "{instances} instances: {most} trials in one second"
        );
        assert!(
            all <= 20 * 17,
            "{instances} instances: {all} trials in 17 s"
        );
        assert!(judge(&dead, &record).served_fraction() >= 0.99);
    }
}

/// Waves of quick calls, then calls at once that take 250 times as long, one class and one route:
/// the early time-out that the quick ones taught must refuse none of the long ones.
#[test]
fn a_changing_mix_refuses_nothing() {
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
        // Twenty quick waves, a long one, and so on.
        let (calls, takes) = if wave % 20 == 19 {
            (50, 500.0)
        } else {
            (20, 2.0)
        };
        let (served, refused) = wave_of(&mut balancer, &mut now, &mut next, calls, takes);
        assert_eq!((served, refused), (calls, 0), "wave {wave}");
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

/// Calls at once, each of which takes as long wherever it goes, unless it is given up first.
fn wave_of(
    balancer: &mut Balancer,
    now: &mut f64,
    next: &mut u64,
    calls: usize,
    takes: f64,
) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    let mut out: Vec<(f64, u64, u8, EndpointId, f64, bool)> = Vec::new();
    let mut actions = Vec::new();
    let mut attempts = std::collections::BTreeMap::<u64, u8>::new();
    let mut carry = |actions: &mut Vec<Action>, now: f64, out: &mut Vec<_>| {
        for action in actions.drain(..) {
            match action {
                Action::Send {
                    request,
                    endpoint: backend,
                    timeout_ms,
                    ..
                } => {
                    let number = attempts.entry(request).or_default();
                    let given_up = timeout_ms > 0.0 && timeout_ms < takes;
                    let ends = now + if given_up { timeout_ms } else { takes };
                    out.push((ends, request, *number, backend, now, !given_up));
                    *number += 1;
                }
                Action::Reject { .. } | Action::Fail { .. } => refused += 1,
                _ => {}
            }
        }
    };
    for _ in 0..calls {
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
        carry(&mut actions, *now, &mut out);
    }
    while !out.is_empty() {
        out.sort_by(|a, b| b.0.total_cmp(&a.0));
        let Some((ends, request, attempt, backend, sent, good)) = out.pop() else {
            break;
        };
        *now = ends;
        served += usize::from(good);
        let outcome = if good { Outcome::Ok } else { Outcome::Timeout };
        let (latency_ms, report) = (ends - sent, Report::default());
        balancer.handle(
            ends,
            Event::Outcome {
                request,
                attempt,
                endpoint: backend,
                outcome,
                latency_ms,
                ended: good,
                report,
            },
            &mut actions,
        );
        carry(&mut actions, ends, &mut out);
    }
    *now += 10.0;
    (served, refused)
}

/// The same seed gives the same run.
#[test]
fn a_run_can_be_played_again() {
    let all = |record: &RunRecord| {
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
    assert_eq!(all(&cell.run_balancer(7)), all(&cell.run_balancer(7)));
    assert_ne!(all(&cell.run_balancer(7)), all(&cell.run_balancer(8)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// One sound member among failing ones, whatever they do, and a load that it bears: of a
    /// hundred calls in a row from the fifth second of trouble on, at most twenty are not served,
    /// and no rule breaks.
    #[test]
    fn one_sound_member_keeps_a_pool_in_service(
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
            let lost = window.iter().filter(|served| !**served).count();
            prop_assert!(lost <= 20, "{lost} of 100: {one:?}");
        }
        prop_assert!(record.requests.iter().all(|a| a.responses == 1));
    }
}

/// The program itself, one member dead or failing at once beside a sound one.
#[test]
fn the_program_serves_all_beside_a_dead_and_a_failing_member() {
    let failing =
        Backend::with_response("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    for bad in [free_address(), failing.address] {
        let (sound, address) = (
            Backend::with_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
            free_address(),
        );
        let members = [sound.address.to_string(), bad.to_string()];
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
            .expect("a time-out");
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("a second handle"));
        for _ in 0..1_000 {
            stream
                .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
                .expect("written");
            let answer = Message::read(&mut reader).expect("an answer");
            *statuses.entry(answer.status()).or_default() += 1;
        }
        assert_eq!(
            statuses.get(&200),
            Some(&1_000),
            "{statuses:?}\n{}",
            daemon.log()
        );
        until("it is said", || daemon.logged("status=ejected") >= 1);
        assert!(daemon.logged("status=ejected") <= 20, "{}", daemon.log());
        assert!(
            daemon.log().contains(&format!("member={bad}")),
            "{}",
            daemon.log()
        );
    }
}

/// No operator is left with a 503 and an empty log.
#[test]
fn what_is_refused_is_summed_up_by_reason() {
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
        let answer = try_call(address, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n").expect("an answer");
        assert_eq!(answer.status(), 503);
    }
    until("it is said", || {
        daemon.logged("requests not served in the last second") >= 1
    });
    let sums = daemon.logged("requests not served in the last second");
    assert!(sums <= 30, "a sum a second: {sums}");
    assert!(daemon.log().contains("rejected=\""), "{}", daemon.log());
}
