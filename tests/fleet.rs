//! Fleets of real processes with faults between them: a budget's total is never exceeded, and is
//! available where there is demand. Requests are counted at the endpoints; `crates/loadtest`
//! provides links, kills, suspensions and starts.

use dewrun_loadtest::drill::{DrillFleet, Fault, FaultKind, Plan, RateChange, Report};
use dewrun_loadtest::hollow::{self, HollowFleet};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
/// Total of the budget, in requests per second.
const RATE: f64 = 200.0;
/// Time, in seconds, from which processes that start together have shares: the leases of an earlier
/// fleet must have expired first.
const SHARES_FROM_S: f64 = 4.5;

fn plan(name: &str, processes: usize, seconds: f64) -> Plan {
    Plan {
        rate: RATE,
        ..Plan::new(name, processes, seconds)
    }
}

fn rate_changes(at_s: f64, rates: &[f64]) -> Vec<RateChange> {
    rates
        .iter()
        .enumerate()
        .map(|(process, rate)| RateChange {
            at_s,
            process,
            rate: *rate,
        })
        .collect()
}

fn fault(at_s: f64, kind: FaultKind) -> Fault {
    Fault { at_s, kind }
}

/// Drills run one at a time, as their results depend on timing.
static DRILL_LOCK: Mutex<()> = Mutex::new(());

/// Plays a plan, again if the machine was too slow for it, and asserts what holds for every drill.
fn play(plan: &Plan) -> Report {
    let _drill = DRILL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    for seed in 1..=4 {
        let report = DrillFleet::start(DEWRUN, plan, seed).play();
        println!(
            "{}: max in windows {:?}, held {:.3}, retried {:.3}, max in flight {}, late {:.0} ms",
            report.name,
            report.max_window_fractions,
            report.max_held_fraction,
            report.max_retry_fraction,
            report.max_in_flight,
            report.harness_delay_ms
        );
        for (second, counts) in report.seconds.iter().enumerate() {
            println!("{second:>3} {counts:?}");
        }
        if report.is_conclusive() {
            assert!(
                report.max_limit_fraction() <= 1.0,
                "more than the total: {}",
                report.max_limit_fraction()
            );
            assert!(
                report.max_held_fraction > 0.5,
                "the reserved share is known: {}",
                report.max_held_fraction
            );
            assert!(report.violations.is_empty(), "{:?}", report.violations);
            return report;
        }
    }
    panic!("the machine was too slow for a verdict four times");
}

/// Asserts that at least a fraction of the total was used between two times, in seconds.
fn assert_used(report: &Report, what: &str, from: f64, to: f64, min_fraction: f64) {
    let used = report.used_fraction(from, to, RATE);
    assert!(
        used >= min_fraction,
        "{what}: {used:.3} of the total from {from} to {to} s"
    );
}

#[test]
fn the_total_is_never_exceeded_whatever_fails() {
    let all: Vec<usize> = (0..8).collect();
    let all_except = |n: usize| all.iter().copied().filter(|m| *m != n).collect::<Vec<_>>();
    let mut plan = plan("whatever fails", 8, 34.0);
    plan.rate_changes = rate_changes(0.0, &[50.0; 8]);
    plan.rate_changes.extend(rate_changes(
        12.0,
        &[5.0, 5.0, 300.0, 5.0, 5.0, 100.0, 5.0, 5.0],
    ));
    plan.rate_changes.extend(rate_changes(20.0, &[50.0; 8]));
    plan.faults = vec![
        // The grantor is one of the first three processes: each is killed or suspended once.
        fault(5.0, FaultKind::Kill { process: 0 }),
        fault(6.0, FaultKind::Suspend { process: 5 }),
        fault(7.0, FaultKind::Start { process: 0 }),
        fault(
            8.0,
            FaultKind::DegradeLinks {
                loss_fraction: 0.2,
                duplicate_fraction: 0.3,
                max_delay_ms: 40,
                late_fraction: 0.1,
                max_additional_delay_ms: 4_000,
            },
        ),
        fault(10.0, FaultKind::Suspend { process: 1 }),
        fault(11.0, FaultKind::Resume { process: 5 }),
        fault(13.5, FaultKind::Resume { process: 1 }),
        fault(14.0, FaultKind::RepairLinks),
        // First one direction is cut, then one half from the other, which also separates the
        // voters.
        fault(
            14.5,
            FaultKind::CutLinks {
                from: vec![2],
                to: all_except(2),
                is_bidirectional: false,
            },
        ),
        fault(17.0, FaultKind::RepairLinks),
        fault(
            17.0,
            FaultKind::CutLinks {
                from: vec![0, 3, 4, 5],
                to: vec![1, 2, 6, 7],
                is_bidirectional: true,
            },
        ),
        fault(20.0, FaultKind::RepairLinks),
        fault(20.0, FaultKind::Kill { process: 2 }),
        fault(20.5, FaultKind::Suspend { process: 6 }),
        fault(21.0, FaultKind::Start { process: 2 }),
        fault(23.0, FaultKind::Resume { process: 6 }),
    ];
    let report = play(&plan);
    assert_used(&report, "before anything fails", SHARES_FROM_S, 5.0, 0.8);
    assert_used(&report, "when all links are restored", 29.0, 34.0, 0.9);
}

#[test]
fn shares_follow_demand() {
    let mut plan = plan("demand", 3, 17.0);
    plan.rate_changes = rate_changes(0.0, &[600.0, 0.0, 0.0]);
    plan.rate_changes
        .extend(rate_changes(8.0, &[0.0, 600.0, 0.0]));
    plan.rate_changes
        .extend(rate_changes(13.0, &[300.0, 20.0, 20.0]));
    let report = play(&plan);
    assert_used(&report, "with constant demand", SHARES_FROM_S, 8.0, 0.95);
    assert_used(
        &report,
        "two seconds after the demand moved",
        10.0,
        13.0,
        0.95,
    );
    assert_used(&report, "with small demand at the others", 15.0, 17.0, 0.95);
}

#[test]
fn a_new_process_gets_a_share_and_a_leaving_one_returns_its_share() {
    let mut plan = plan("newcomer", 3, 15.0);
    plan.extra_processes = 1;
    plan.rate_changes = rate_changes(0.0, &[300.0, 0.0, 0.0, 300.0]);
    plan.faults = vec![
        fault(7.0, FaultKind::Start { process: 3 }),
        fault(11.0, FaultKind::ShutDown { process: 3 }),
    ];
    let report = play(&plan);
    assert_used(&report, "before the new process", SHARES_FROM_S, 7.0, 0.95);
    assert_used(&report, "with a new process", 8.5, 11.0, 0.95);
    // The process stops after draining its clients, and then returns its share.
    assert_used(&report, "after the process left", 13.5, 15.0, 0.95);
    let log = &report.logs[3];
    let over_quota = |at: usize| report.seconds[at].over_budget as f64;
    // Both reject a part: the new process serves about 100 of its 300 from its first second on.
    assert!(over_quota(9) < 450.0, "{log}");
}

#[test]
fn a_suspended_holder_spends_no_expired_lease_when_it_resumes() {
    let mut plan = plan("stopped", 3, 16.0);
    plan.rate_changes = rate_changes(0.0, &[0.0, 0.0, 400.0]);
    // The share moves to another process, whose clients use all of it when the suspended process
    // resumes with requests that wait for it.
    plan.rate_changes
        .extend(rate_changes(7.0, &[0.0, 400.0, 400.0]));
    // The suspended process cannot be notified when it resumes: it must detect the expiry by its
    // own clock.
    plan.faults = vec![
        fault(7.0, FaultKind::Suspend { process: 2 }),
        fault(
            7.0,
            FaultKind::CutLinks {
                from: vec![2],
                to: vec![0, 1],
                is_bidirectional: true,
            },
        ),
        fault(12.0, FaultKind::Resume { process: 2 }),
        fault(14.0, FaultKind::RepairLinks),
    ];
    let report = play(&plan);
    assert_used(
        &report,
        "the share of the suspended process, one lease and two seconds later",
        11.2,
        12.0,
        0.9,
    );
    assert!(
        report.logs[2].contains("did not run for"),
        "{}",
        report.logs[2]
    );
}

#[test]
fn a_partitioned_minority_keeps_only_its_floor() {
    let mut plan = plan("minority", 3, 17.0);
    plan.floor = 20.0;
    plan.rate_changes = rate_changes(0.0, &[300.0; 3]);
    plan.faults = vec![
        fault(
            6.0,
            FaultKind::CutLinks {
                from: vec![0],
                to: vec![1, 2],
                is_bidirectional: true,
            },
        ),
        fault(14.0, FaultKind::RepairLinks),
    ];
    let report = play(&plan);
    assert_used(&report, "before the cut", SHARES_FROM_S, 6.0, 0.95);
    // The isolated process has its floor and the other two have the rest, whichever was the
    // grantor.
    assert_used(&report, "while one process is isolated", 11.5, 14.0, 0.95);
    assert_used(&report, "after the cut", 16.0, 17.0, 0.95);
    let mut isolated = plan.clone();
    isolated.name = "minority isolated".into();
    isolated.rate_changes = rate_changes(0.0, &[300.0, 0.0, 0.0]);
    let report = play(&isolated);
    let used = report.used_fraction(10.0, 14.0, RATE);
    assert!(
        (0.09..=0.11).contains(&used),
        "the floor is a tenth of the total: {used}"
    );
}

#[test]
fn retries_of_a_fleet_stay_within_the_retry_budget() {
    let mut plan = plan("repeats", 3, 13.0);
    (plan.backends, plan.error_fraction, plan.retry_rate) = (3, 0.4, Some(20.0));
    plan.rate_changes = rate_changes(0.0, &[90.0, 30.0, 10.0]);
    let report = play(&plan);
    // About fifty requests fail each second, and as many would be retried.
    let retries = report
        .arrival_times
        .iter()
        .filter(|at| (SHARES_FROM_S..13.0).contains(*at))
        .count() as f64
        / (13.0 - SHARES_FROM_S);
    let requests: f64 = report.seconds[5..13]
        .iter()
        .map(|s| (s.offered - s.over_budget) as f64)
        .sum::<f64>()
        / 8.0;
    let retries = retries - requests;
    assert!(
        (15.0..=21.0).contains(&retries),
        "{retries} retries per second with {requests} requests"
    );
}

#[test]
fn attempts_in_flight_at_each_member_stay_within_the_limit() {
    let mut plan = plan("each member", 4, 14.0);
    (
        plan.backends,
        plan.response_ms,
        plan.max_in_flight_per_member,
    ) = (3, 150, Some(4));
    plan.rate = 1_000.0;
    plan.burst = 400.0;
    // The clients have four connections to each process: 16 requests compete for 12 places.
    plan.rate_changes = rate_changes(0.0, &[100.0; 4]);
    // The attempts of a killed process continue at the endpoints: its share is granted again only
    // when they must have ended.
    plan.faults = vec![
        fault(8.0, FaultKind::Kill { process: 3 }),
        fault(9.0, FaultKind::Start { process: 3 }),
    ];
    let report = play(&plan);
    assert!(
        (3..=4).contains(&report.max_in_flight),
        "{} in flight at one member",
        report.max_in_flight
    );
    let served: u64 = report.seconds[5..8].iter().map(|s| s.served).sum();
    assert!(served > 120, "{served} served in three seconds");
}

/// Timeout for membership changes, far above what members need on a busy machine.
const VIEW_TIMEOUT: Duration = Duration::from_secs(120);

#[test]
fn real_processes_see_all_members_of_a_mostly_hollow_fleet() {
    let _drill = DRILL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let (hollow, real, killed) = (60, 3, 6);
    let plan = hollow::Plan {
        processes: hollow + real,
        real,
        seed: 1,
        seconds: 200,
        tick_interval: hollow::DEFAULT_TICK_INTERVAL,
        faults: Vec::new(),
        dewrun: DEWRUN.into(),
    };
    let mut fleet = HollowFleet::start(&plan).expect("a fleet");
    let assert_view = |fleet: &HollowFleet, members: usize, when: &str| {
        let converged_after = fleet.wait_until_converged(members, VIEW_TIMEOUT);
        assert!(
            converged_after.is_some(),
            "{when}: {members} members are up; real processes see {:?}",
            fleet.real_views()
        );
        println!("{when}: all real processes see {members} after {converged_after:?}");
    };
    assert_view(&fleet, hollow + real, "when all have started");
    fleet.real_processes[real - 1].restart();
    assert_view(&fleet, hollow + real, "when a real process has restarted");
    let killed_addresses = fleet.kill_hollow(killed);
    assert_eq!(killed_addresses.len(), killed);
    assert_view(
        &fleet,
        hollow + real - killed,
        "when some hollow processes were killed",
    );
    assert_eq!(
        fleet.real_processes_listing(&killed_addresses),
        Vec::<String>::new(),
        "no process considers a killed one alive"
    );
    let traffic = fleet.real_processes[0]
        .status()
        .expect("its status")
        .traffic;
    assert!(
        traffic.packets_sent > 0 && traffic.bytes_sent > traffic.packets_sent,
        "{traffic:?}"
    );
    assert!(
        traffic.packets_received > 0 && traffic.bytes_received > traffic.packets_received,
        "{traffic:?}"
    );
}
