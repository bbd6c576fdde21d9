//! Replicated state of a fleet of real processes with faults between them: operators' orders and
//! member status. Requests are counted at the endpoints.

use dewrun_loadtest::drill::{DrillFleet, Fault, FaultKind, ListEntry, Plan, RateChange, Report};
use dewrun_replication::orders::{place_order, DesiredState, NewOrder};
use dewrun_replication::simulation::{Process, SimulatedFleet};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::sync::{Mutex, PoisonError};

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");

/// Returns a plan whose budget is never exhausted.
fn plan(name: &str, (processes, backends): (usize, usize), seconds: f64) -> Plan {
    Plan {
        backends,
        rate: 4_000.0,
        burst: 2_000.0,
        floor: 800.0,
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

fn order(at: f64, process: usize, member: usize, desired_state: &str) -> Fault {
    fault(
        at,
        FaultKind::Order {
            process,
            member,
            desired_state: desired_state.into(),
        },
    )
}

/// Drills run one at a time, as their results depend on timing.
static DRILL_LOCK: Mutex<()> = Mutex::new(());

/// Plays a plan, again if the machine was too slow for it, and asserts what holds for every drill.
fn play(plan: &Plan) -> Report {
    let _drill = DRILL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    for seed in 1..=4 {
        let report = DrillFleet::start(DEWRUN, plan, seed).play();
        println!(
            "{}: drains {:?}, late {:.0} ms",
            report.name, report.drains, report.harness_delay_ms
        );
        for (second, counts) in report.seconds.iter().enumerate() {
            println!("{second:>3} {counts:?}");
        }
        if report.is_conclusive() {
            assert!(report.violations.is_empty(), "{:?}", report.violations);
            return report;
        }
    }
    panic!("the machine was too slow for a verdict four times");
}

/// Asserts the number of drains, and that no request reached a drained member 250 ms after the
/// order or later.
fn assert_drained(report: &Report, drain_count: usize) {
    assert_eq!(report.drains.len(), drain_count);
    assert!(
        report.drains.iter().all(|(_, late)| *late == 0),
        "{:?}",
        report.drains
    );
}

#[test]
fn an_order_reaches_all_processes_and_survives_restarts() {
    let mut plan = plan("orders", (12, 6), 24.0);
    plan.has_state_folder = true;
    plan.rate_changes = rate_changes(0.0, &[40.0; 12]);
    plan.faults = vec![fault(
        4.0,
        FaultKind::DegradeLinks {
            loss_fraction: 0.2,
            duplicate_fraction: 0.1,
            max_delay_ms: 20,
            late_fraction: 0.0,
            max_additional_delay_ms: 0,
        },
    )];
    // Each order is given at another process; the process that accepted the first is killed
    // directly after it.
    plan.faults.extend(
        [(5.0, 3, 0), (5.5, 7, 1), (6.0, 11, 2)].map(|(at, p, m)| order(at, p, m, "drain")),
    );
    plan.faults.push(fault(5.1, FaultKind::Kill { process: 3 }));
    plan.faults.push(order(7.0, 0, 1, "return"));
    // All processes are restarted within a few seconds, and then all at once, with only their
    // stored state.
    plan.faults.extend((0..12).flat_map(|process| {
        let at = 8.0 + 0.5 * process as f64;
        [
            fault(at, FaultKind::Kill { process }),
            fault(at + 0.3, FaultKind::Start { process }),
        ]
    }));
    plan.faults
        .extend((0..12).map(|process| fault(16.0, FaultKind::Kill { process })));
    plan.faults
        .extend((0..12).map(|process| fault(16.2, FaultKind::Start { process })));
    let report = play(&plan);
    assert_drained(&report, 3);
    assert!(
        (0..3).all(|member| report.arrival_count(member, 4.0, 5.0) > 20),
        "the members got requests before"
    );
    assert!(
        (19..24).all(|at| report.seconds[at].served > 200),
        "the processes serve again: {:?}",
        report.seconds
    );
}

#[test]
fn a_returning_process_catches_up_before_it_serves() {
    let mut plan = plan("returns", (4, 6), 20.0);
    plan.rate_changes = rate_changes(0.0, &[60.0; 4]);
    plan.faults = vec![
        // One process is killed and another is suspended: both miss orders while requests wait.
        fault(6.0, FaultKind::Kill { process: 3 }),
        fault(6.0, FaultKind::Suspend { process: 2 }),
        // The suspended process learns what it missed only if it requests it.
        fault(
            6.0,
            FaultKind::CutLinks {
                from: vec![2],
                to: vec![0, 1, 3],
                is_bidirectional: true,
            },
        ),
        order(7.0, 0, 0, "drain"),
        order(7.2, 1, 1, "drain"),
        order(7.4, 0, 3, "drain"),
        order(7.6, 1, 4, "drain"),
        fault(9.0, FaultKind::Start { process: 3 }),
        fault(9.4, FaultKind::RepairLinks),
        fault(9.5, FaultKind::Resume { process: 2 }),
        // A third process learns of a drain from its own list alone; no other list has it yet.
        fault(
            12.0,
            FaultKind::SetListEntry {
                process: 1,
                member: 2,
                entry: ListEntry::Draining,
            },
        ),
    ];
    let report = play(&plan);
    assert!(
        report.drains[..4].iter().all(|(_, late)| *late == 0),
        "{:?}",
        report.drains
    );
    // The file is read every 0.1 s and applied at the second read that agrees; then all processes
    // use it.
    assert!(report.drains[4].0 < 500.0, "{:?}", report.drains);
    assert!(
        report.logs[3].contains("caught up after"),
        "{}",
        report.logs[3]
    );
    assert!(
        report.served_fraction(3, 11.0, 20.0) > 0.99
            && report.served_fraction(2, 11.0, 20.0) > 0.99
    );
}

#[test]
fn a_starting_process_learns_of_faulty_members() {
    let served_ratio = |catch_up_ms| {
        let mut plan = plan("faulty members", (3, 24), 17.0);
        plan.catch_up_ms = catch_up_ms;
        plan.rate_changes = rate_changes(0.0, &[100.0; 3]);
        plan.faults = (0..8)
            .map(|member| {
                fault(
                    2.0,
                    FaultKind::SetFaulty {
                        member,
                        is_faulty: true,
                    },
                )
            })
            .collect();
        plan.faults.extend([
            fault(8.0, FaultKind::Kill { process: 2 }),
            fault(9.0, FaultKind::Start { process: 2 }),
        ]);
        let report = play(&plan);
        // The first five seconds of the restarted process, from when it serves.
        let others =
            (report.served_fraction(0, 10.0, 16.0) + report.served_fraction(1, 10.0, 16.0)) / 2.0;
        let own = report.served_fraction(2, 9.2, 14.2);
        println!(
            "catching up {catch_up_ms:?}: {own:.3} of its requests served, the others {others:.3}"
        );
        own / others
    };
    let (without, with) = (served_ratio(Some(0)), served_ratio(None));
    assert!(
        with >= 0.99,
        "{with} with the state of the others, {without} without"
    );
}

#[test]
fn conflicting_orders_converge_by_the_rule() {
    let mut plan = plan("differ", (6, 4), 22.0);
    plan.rate_changes = rate_changes(0.0, &[30.0; 6]);
    let (first_half, second_half) = (vec![0, 1, 2], vec![3, 4, 5]);
    plan.faults = vec![
        order(5.0, 0, 0, "drain"),
        order(5.2, 0, 1, "drain"),
        fault(
            6.0,
            FaultKind::CutLinks {
                from: first_half,
                to: second_half,
                is_bidirectional: true,
            },
        ),
        // Concurrent conflicting orders for one member, and an order that supersedes a known one.
        order(8.0, 1, 0, "return"),
        order(8.5, 4, 0, "drain"),
        order(9.0, 5, 1, "return"),
        fault(12.0, FaultKind::RepairLinks),
    ];
    let _drill = DRILL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut copies = Vec::new();
    let report = DrillFleet::start(DEWRUN, &plan, 1).play_and_inspect(|fleet| {
        copies = (0..6).filter_map(|at| fleet.replicated_state(at)).collect();
    });
    assert_eq!(copies.len(), 6);
    for copy in &copies {
        assert_eq!(copy["orders"], copies[0]["orders"]);
        assert_eq!(copy["known"], copies[0]["known"]);
    }
    let orders = &copies[0]["orders"];
    let desired_states = |target: &str| -> Vec<&str> {
        let all = orders[target]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        all.iter()
            .filter_map(|order| order["wish"].as_str())
            .collect()
    };
    assert_eq!(
        desired_states("main/m0"),
        ["drain", "return"],
        "the more cautious order holds, and both are listed"
    );
    assert_eq!(
        desired_states("main/m1"),
        ["return"],
        "the later order supersedes the known one"
    );
    assert!(
        report.logs[3].contains("orders of main/m0 conflict"),
        "{}",
        report.logs[3]
    );
    // After the links were restored the drained member gets no requests and the other one does.
    assert!(
        report.arrival_count(0, 14.0, 22.0) == 0 && report.arrival_count(1, 14.0, 22.0) > 100,
        "{:?}",
        report.drains
    );
}

#[test]
fn an_instance_with_a_wrong_list_does_not_affect_others() {
    let mut plan = plan("blind", (4, 6), 20.0);
    plan.rate_changes = rate_changes(0.0, &[50.0; 4]);
    // One process has wrong addresses for most members; later its list is almost empty.
    plan.faults = (0..5)
        .map(|member| {
            fault(
                6.0,
                FaultKind::SetListEntry {
                    process: 0,
                    member,
                    entry: ListEntry::WrongAddress,
                },
            )
        })
        .chain((0..5).map(|member| {
            fault(
                10.0,
                FaultKind::SetListEntry {
                    process: 0,
                    member,
                    entry: ListEntry::Absent,
                },
            )
        }))
        .collect();
    // Another process starts meanwhile and requests its state too.
    plan.faults.extend([
        fault(12.0, FaultKind::Kill { process: 1 }),
        fault(12.5, FaultKind::Start { process: 1 }),
    ]);
    let report = play(&plan);
    for process in [1, 2, 3] {
        let served = report.served_fraction(process, 14.0, 20.0);
        assert!(served > 0.99, "{process} served {served}");
    }
    // All six members get requests, also from the process that started.
    for member in 0..6 {
        assert!(
            report.arrival_count(member, 14.0, 20.0) > 50,
            "{member}: {}",
            report.arrival_count(member, 14.0, 20.0)
        );
    }
    assert!(
        report.logs[2].contains("the reports are ignored"),
        "{}",
        report.logs[2]
    );
}

#[test]
fn a_keyed_retry_at_another_instance_is_executed_once() {
    let mut plan = plan("keyed", (3, 6), 18.0);
    (plan.cells, plan.response_ms, plan.error_fraction) = (3, 40, 0.1);
    plan.rate_changes = rate_changes(0.0, &[60.0; 3]);
    // Each process is killed once with requests in flight; clients retry unanswered requests at the
    // next process.
    plan.faults = (0..3)
        .flat_map(|process| {
            let at = 5.0 + 2.0 * process as f64;
            [
                fault(at, FaultKind::Kill { process }),
                fault(at + 1.0, FaultKind::Start { process }),
            ]
        })
        .collect();
    // All members of a cell fail and later recover.
    plan.faults.extend([2, 5].map(|member| {
        fault(
            11.0,
            FaultKind::SetFaulty {
                member,
                is_faulty: true,
            },
        )
    }));
    plan.faults
        .extend([2, 5].map(|member| order(12.0, 0, member, "drain")));
    plan.faults
        .extend([2, 5].map(|member| order(14.0, 1, member, "return")));
    plan.faults.extend([2, 5].map(|member| {
        fault(
            14.0,
            FaultKind::SetFaulty {
                member,
                is_faulty: false,
            },
        )
    }));
    let report = play(&plan);
    let failed = |process: usize| {
        report
            .outcomes
            .iter()
            .filter(|(of, _, s)| *of == process && s.is_none())
            .count()
    };
    println!("no response after retries: {:?}", [0, 1, 2].map(failed));
    for process in 0..3 {
        let served = report.served_fraction(process, 5.0, 11.0);
        assert!(
            served > 0.95,
            "{process} served {served} while each was killed in turn"
        );
    }
    assert!(report.seconds[17].served > 120, "{:?}", report.seconds);
}

/// Guards against an overload of the peers of processes that catch up together: 250 of 300
/// processes in simulated time, then 12 of 16 real processes, which is what a small machine can
/// run.
#[test]
fn catching_up_after_a_mass_restart_is_spread() {
    const MS: u64 = 1_000;
    let mut fleet: SimulatedFleet<Xoshiro256PlusPlus> = SimulatedFleet::new(300, 7);
    fleet.loss = 0.05;
    for n in 0..3_000 {
        fleet.write(n % 50, |store, now| {
            place_order(
                store,
                now,
                NewOrder {
                    target: &format!("shop/member-{n}"),
                    desired_state: DesiredState::Drain,
                    operator: "ann",
                    given_at_ms: 0,
                },
            );
            None
        });
    }
    fleet.run(20_000 * MS);
    assert!(fleet.has_converged());
    (50..300).for_each(|at| fleet.kill(at));
    (50..300).for_each(|at| fleet.start(at));
    let (mut max_bytes, mut caught_up) = (0, 0);
    while caught_up < 250 {
        let before = fleet.sent_bytes_by_process.clone();
        fleet.run(100 * MS);
        let of_peers = fleet
            .sent_bytes_by_process
            .iter()
            .zip(&before)
            .take(50)
            .map(|(after, before)| after - before);
        max_bytes = max_bytes.max(of_peers.max().unwrap_or_default());
        let is_caught_up = |at: &usize| {
            fleet.processes[*at]
                .as_ref()
                .is_some_and(|p| p.gossip.is_caught_up())
        };
        caught_up = (50..300).filter(is_caught_up).count();
        assert!(
            fleet.now() < 22_000 * MS,
            "{caught_up} of 250 after two seconds"
        );
    }
    println!(
        "all after {} ms; a peer sent at most {max_bytes} bytes in 0.1 s",
        (fleet.now() - 20_000 * MS) / MS
    );
    assert!(max_bytes < 1_000_000, "{max_bytes} bytes in 0.1 s");
    let has_all = |p: &Process| p.store.len() == 3_000;
    assert!(
        fleet.processes.iter().flatten().all(has_all),
        "all processes hold all orders"
    );

    let mut plan = plan("returns at once", (16, 4), 16.0);
    plan.rate_changes = rate_changes(0.0, &[20.0; 16]);
    plan.faults = vec![order(5.0, 0, 0, "drain")];
    plan.faults
        .extend((4..16).map(|process| fault(6.0, FaultKind::Kill { process })));
    plan.faults
        .extend((4..16).map(|process| fault(7.0, FaultKind::Start { process })));
    let report = play(&plan);
    assert_drained(&report, 1);
    for process in 0..16 {
        let served = report.served_fraction(process, 11.0, 16.0);
        assert!(served > 0.99, "{process} served {served}");
    }
}
