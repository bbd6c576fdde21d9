//! Replicated state of a fleet of real processes with faults between them: operators' orders and
//! member status. Requests are counted at the endpoints.

use dewrun_loadtest::drill::{Fault, Kind, Offer, Plan, Report, Says, Site};
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
        ..Plan::of(name, processes, seconds)
    }
}

fn offers(at: f64, rates: &[f64]) -> Vec<Offer> {
    rates
        .iter()
        .enumerate()
        .map(|(to, rate)| Offer {
            at,
            to,
            rate: *rate,
        })
        .collect()
}

fn fault(at: f64, kind: Kind) -> Fault {
    Fault { at, kind }
}

fn order(at: f64, process: usize, member: usize, wish: &str) -> Fault {
    fault(
        at,
        Kind::Order {
            process,
            member,
            wish: wish.into(),
        },
    )
}

/// Drills run one at a time, as their results depend on timing.
static DRILL_LOCK: Mutex<()> = Mutex::new(());

/// Plays a plan, again if the machine was too slow for it, and asserts what holds for every drill.
fn play(plan: &Plan) -> Report {
    let _drill = DRILL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    for seed in 1..=4 {
        let report = Site::start(DEWRUN, plan, seed).play();
        println!(
            "{}: drains {:?}, late {:.0} ms",
            report.name, report.drains, report.late_ms
        );
        for (second, counts) in report.seconds.iter().enumerate() {
            println!("{second:>3} {counts:?}");
        }
        if report.counts() {
            assert!(report.breaches.is_empty(), "{:?}", report.breaches);
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
    plan.state = true;
    plan.callers = offers(0.0, &[40.0; 12]);
    plan.faults = vec![fault(
        4.0,
        Kind::Weather {
            loss: 0.2,
            twice: 0.1,
            delay_ms: 20,
            late: 0.0,
            late_ms: 0,
        },
    )];
    // Each order is given at another process; the process that accepted the first is killed
    // directly after it.
    plan.faults.extend(
        [(5.0, 3, 0), (5.5, 7, 1), (6.0, 11, 2)].map(|(at, p, m)| order(at, p, m, "drain")),
    );
    plan.faults.push(fault(5.1, Kind::Kill { process: 3 }));
    plan.faults.push(order(7.0, 0, 1, "return"));
    // All processes are restarted within a few seconds, and then all at once, with only their
    // stored state.
    plan.faults.extend((0..12).flat_map(|process| {
        let at = 8.0 + 0.5 * process as f64;
        [
            fault(at, Kind::Kill { process }),
            fault(at + 0.3, Kind::Start { process }),
        ]
    }));
    plan.faults
        .extend((0..12).map(|process| fault(16.0, Kind::Kill { process })));
    plan.faults
        .extend((0..12).map(|process| fault(16.2, Kind::Start { process })));
    let report = play(&plan);
    assert_drained(&report, 3);
    assert!(
        (0..3).all(|member| report.came(member, 4.0, 5.0) > 20),
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
    plan.callers = offers(0.0, &[60.0; 4]);
    plan.faults = vec![
        // One process is killed and another is suspended: both miss orders while requests wait.
        fault(6.0, Kind::Kill { process: 3 }),
        fault(6.0, Kind::Stop { process: 2 }),
        // The suspended process learns what it missed only if it requests it.
        fault(
            6.0,
            Kind::Cut {
                from: vec![2],
                to: vec![0, 1, 3],
                both: true,
            },
        ),
        order(7.0, 0, 0, "drain"),
        order(7.2, 1, 1, "drain"),
        order(7.4, 0, 3, "drain"),
        order(7.6, 1, 4, "drain"),
        fault(9.0, Kind::Start { process: 3 }),
        fault(9.4, Kind::Mend),
        fault(9.5, Kind::Continue { process: 2 }),
        // A third process learns of a drain from its own list alone; no other list has it yet.
        fault(
            12.0,
            Kind::List {
                process: 1,
                member: 2,
                says: Says::Draining,
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
    assert!(report.served(3, 11.0, 20.0) > 0.99 && report.served(2, 11.0, 20.0) > 0.99);
}

#[test]
fn a_starting_process_learns_of_faulty_members() {
    let served_ratio = |catch_up_ms| {
        let mut plan = plan("faulty members", (3, 24), 17.0);
        plan.catch_up_ms = catch_up_ms;
        plan.callers = offers(0.0, &[100.0; 3]);
        plan.faults = (0..8)
            .map(|member| fault(2.0, Kind::Sick { member, is: true }))
            .collect();
        plan.faults.extend([
            fault(8.0, Kind::Kill { process: 2 }),
            fault(9.0, Kind::Start { process: 2 }),
        ]);
        let report = play(&plan);
        // The first five seconds of the restarted process, from when it serves.
        let others = (report.served(0, 10.0, 16.0) + report.served(1, 10.0, 16.0)) / 2.0;
        let own = report.served(2, 9.2, 14.2);
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
    plan.callers = offers(0.0, &[30.0; 6]);
    let (first_half, second_half) = (vec![0, 1, 2], vec![3, 4, 5]);
    plan.faults = vec![
        order(5.0, 0, 0, "drain"),
        order(5.2, 0, 1, "drain"),
        fault(
            6.0,
            Kind::Cut {
                from: first_half,
                to: second_half,
                both: true,
            },
        ),
        // Concurrent conflicting orders for one member, and an order that supersedes a known one.
        order(8.0, 1, 0, "return"),
        order(8.5, 4, 0, "drain"),
        order(9.0, 5, 1, "return"),
        fault(12.0, Kind::Mend),
    ];
    let _drill = DRILL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut copies = Vec::new();
    let report = Site::start(DEWRUN, &plan, 1)
        .play_to(|site| copies = (0..6).filter_map(|at| site.copy(at)).collect());
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
        report.came(0, 14.0, 22.0) == 0 && report.came(1, 14.0, 22.0) > 100,
        "{:?}",
        report.drains
    );
}

#[test]
fn an_instance_with_a_wrong_list_does_not_affect_others() {
    let mut plan = plan("blind", (4, 6), 20.0);
    plan.callers = offers(0.0, &[50.0; 4]);
    // One process has wrong addresses for most members; later its list is almost empty.
    plan.faults = (0..5)
        .map(|member| {
            fault(
                6.0,
                Kind::List {
                    process: 0,
                    member,
                    says: Says::Elsewhere,
                },
            )
        })
        .chain((0..5).map(|member| {
            fault(
                10.0,
                Kind::List {
                    process: 0,
                    member,
                    says: Says::Gone,
                },
            )
        }))
        .collect();
    // Another process starts meanwhile and requests its state too.
    plan.faults.extend([
        fault(12.0, Kind::Kill { process: 1 }),
        fault(12.5, Kind::Start { process: 1 }),
    ]);
    let report = play(&plan);
    for process in [1, 2, 3] {
        let served = report.served(process, 14.0, 20.0);
        assert!(served > 0.99, "{process} served {served}");
    }
    // All six members get requests, also from the process that started.
    for member in 0..6 {
        assert!(
            report.came(member, 14.0, 20.0) > 50,
            "{member}: {}",
            report.came(member, 14.0, 20.0)
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
    (plan.groups, plan.answer_ms, plan.errors) = (3, 40, 0.1);
    plan.callers = offers(0.0, &[60.0; 3]);
    // Each process is killed once with requests in flight; clients retry unanswered requests at the
    // next process.
    plan.faults = (0..3)
        .flat_map(|process| {
            let at = 5.0 + 2.0 * process as f64;
            [
                fault(at, Kind::Kill { process }),
                fault(at + 1.0, Kind::Start { process }),
            ]
        })
        .collect();
    // All members of a cell fail and later recover.
    plan.faults
        .extend([2, 5].map(|member| fault(11.0, Kind::Sick { member, is: true })));
    plan.faults
        .extend([2, 5].map(|member| order(12.0, 0, member, "drain")));
    plan.faults
        .extend([2, 5].map(|member| order(14.0, 1, member, "return")));
    plan.faults
        .extend([2, 5].map(|member| fault(14.0, Kind::Sick { member, is: false })));
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
        let served = report.served(process, 5.0, 11.0);
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
    plan.callers = offers(0.0, &[20.0; 16]);
    plan.faults = vec![order(5.0, 0, 0, "drain")];
    plan.faults
        .extend((4..16).map(|process| fault(6.0, Kind::Kill { process })));
    plan.faults
        .extend((4..16).map(|process| fault(7.0, Kind::Start { process })));
    let report = play(&plan);
    assert_drained(&report, 1);
    for process in 0..16 {
        let served = report.served(process, 11.0, 16.0);
        assert!(served > 0.99, "{process} served {served}");
    }
}
