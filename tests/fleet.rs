//! Fleets of real processes with faults between them: never more than the whole, and all of it
//! where it is asked for. What came to the backends is counted there; links, kills, stops and
//! starts are the harness's (`crates/loadtest`).

use dewrun_loadtest::drill::{Fault, Kind, Offer, Plan, Report, Site};
use dewrun_loadtest::hollow::{self, HollowFleet};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
const RATE: f64 = 200.0;
/// Processes that start all at once have nothing until what a fleet before them held must have
/// ended.
const FIRST: f64 = 4.5;

fn plan(name: &str, processes: usize, seconds: f64) -> Plan {
    Plan {
        rate: RATE,
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

/// One drill at a time: they are about what happens when.
static TURN: Mutex<()> = Mutex::new(());

/// Plays a plan on a machine that keeps up with it, and asks what holds for every drill.
fn played(plan: &Plan) -> Report {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    for seed in 1..=4 {
        let report = Site::start(DEWRUN, plan, seed).play();
        println!(
            "{}: densest {:?}, held {:.3}, repeated {:.3}, most open {}, late {:.0} ms",
            report.name,
            report.densest,
            report.held,
            report.repeated,
            report.most_open,
            report.late_ms
        );
        for (second, counts) in report.seconds.iter().enumerate() {
            println!("{second:>3} {counts:?}");
        }
        if report.counts() {
            assert!(
                report.most() <= 1.0,
                "more than the whole: {}",
                report.most()
            );
            assert!(report.held > 0.5, "what was held is known: {}", report.held);
            assert!(report.breaches.is_empty(), "{:?}", report.breaches);
            return report;
        }
    }
    panic!("this machine was too slow for a verdict four times");
}

fn asks(report: &Report, what: &str, from: f64, to: f64, least: f64) {
    let used = report.used(from, to, RATE);
    assert!(
        used >= least,
        "{what}: {used:.3} of the whole from {from} to {to} s"
    );
}

#[test]
fn never_more_than_the_whole_whatever_fails() {
    let all: Vec<usize> = (0..8).collect();
    let but = |n: usize| all.iter().copied().filter(|m| *m != n).collect::<Vec<_>>();
    let mut plan = plan("whatever fails", 8, 34.0);
    plan.callers = offers(0.0, &[50.0; 8]);
    plan.callers
        .extend(offers(12.0, &[5.0, 5.0, 300.0, 5.0, 5.0, 100.0, 5.0, 5.0]));
    plan.callers.extend(offers(20.0, &[50.0; 8]));
    plan.faults = vec![
        // Whoever divides the budgets is among the first three: each of them dies or sleeps once.
        fault(5.0, Kind::Kill { process: 0 }),
        fault(6.0, Kind::Stop { process: 5 }),
        fault(7.0, Kind::Start { process: 0 }),
        fault(
            8.0,
            Kind::Weather {
                loss: 0.2,
                twice: 0.3,
                delay_ms: 40,
                late: 0.1,
                late_ms: 4_000,
            },
        ),
        fault(10.0, Kind::Stop { process: 1 }),
        fault(11.0, Kind::Continue { process: 5 }),
        fault(13.5, Kind::Continue { process: 1 }),
        fault(14.0, Kind::Mend),
        // One way, then a half from a half, which cuts the voters too.
        fault(
            14.5,
            Kind::Cut {
                from: vec![2],
                to: but(2),
                both: false,
            },
        ),
        fault(17.0, Kind::Mend),
        fault(
            17.0,
            Kind::Cut {
                from: vec![0, 3, 4, 5],
                to: vec![1, 2, 6, 7],
                both: true,
            },
        ),
        fault(20.0, Kind::Mend),
        fault(20.0, Kind::Kill { process: 2 }),
        fault(20.5, Kind::Stop { process: 6 }),
        fault(21.0, Kind::Start { process: 2 }),
        fault(23.0, Kind::Continue { process: 6 }),
    ];
    let report = played(&plan);
    asks(&report, "before anything fails", FIRST, 5.0, 0.8);
    asks(&report, "when all is mended", 29.0, 34.0, 0.9);
}

#[test]
fn shares_follow_demand() {
    let mut plan = plan("demand", 3, 17.0);
    plan.callers = offers(0.0, &[600.0, 0.0, 0.0]);
    plan.callers.extend(offers(8.0, &[0.0, 600.0, 0.0]));
    plan.callers.extend(offers(13.0, &[300.0, 20.0, 20.0]));
    let report = played(&plan);
    asks(&report, "at rest", FIRST, 8.0, 0.95);
    asks(&report, "two seconds after it moved", 10.0, 13.0, 0.95);
    asks(&report, "with small ones beside it", 15.0, 17.0, 0.95);
}

#[test]
fn a_newcomer_gets_its_share_and_a_leaver_s_goes_on() {
    let mut plan = plan("newcomer", 3, 15.0);
    plan.more = 1;
    plan.callers = offers(0.0, &[300.0, 0.0, 0.0, 300.0]);
    plan.faults = vec![
        fault(7.0, Kind::Start { process: 3 }),
        fault(11.0, Kind::Leave { process: 3 }),
    ];
    let report = played(&plan);
    asks(&report, "alone", FIRST, 7.0, 0.95);
    asks(&report, "beside a newcomer", 8.5, 11.0, 0.95);
    // It ends when its callers have been served for a while; then its share is given back.
    asks(&report, "after it left", 13.5, 15.0, 0.95);
    let log = &report.logs[3];
    let over = |at: usize| report.seconds[at].over as f64;
    // Both refuse a part: the newcomer serves some 100 of its 300 from its first second on.
    assert!(over(9) < 450.0, "{log}");
}

#[test]
fn a_stopped_holder_spends_nothing_when_it_wakes() {
    let mut plan = plan("stopped", 3, 16.0);
    plan.callers = offers(0.0, &[0.0, 0.0, 400.0]);
    // Its share goes to another, whose callers ask for all of it when the first wakes, with
    // requests that wait for it.
    plan.callers.extend(offers(7.0, &[0.0, 400.0, 400.0]));
    // Nor can it hear so when it wakes: its own clock has to tell it.
    plan.faults = vec![
        fault(7.0, Kind::Stop { process: 2 }),
        fault(
            7.0,
            Kind::Cut {
                from: vec![2],
                to: vec![0, 1],
                both: true,
            },
        ),
        fault(12.0, Kind::Continue { process: 2 }),
        fault(14.0, Kind::Mend),
    ];
    let report = played(&plan);
    asks(
        &report,
        "the sleeper's part, one lease and two seconds later",
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
fn a_cut_off_minority_keeps_its_floor_alone() {
    let mut plan = plan("minority", 3, 17.0);
    plan.floor = 20.0;
    plan.callers = offers(0.0, &[300.0; 3]);
    plan.faults = vec![
        fault(
            6.0,
            Kind::Cut {
                from: vec![0],
                to: vec![1, 2],
                both: true,
            },
        ),
        fault(14.0, Kind::Mend),
    ];
    let report = played(&plan);
    asks(&report, "before the cut", FIRST, 6.0, 0.95);
    // The floor of the one, and all the rest at the two, whichever of them divided it before.
    asks(&report, "while one is cut off", 11.5, 14.0, 0.95);
    asks(&report, "after the cut", 16.0, 17.0, 0.95);
    let mut alone = plan.clone();
    alone.name = "minority alone".into();
    alone.callers = offers(0.0, &[300.0, 0.0, 0.0]);
    let report = played(&alone);
    let used = report.used(10.0, 14.0, RATE);
    assert!(
        (0.09..=0.11).contains(&used),
        "the floor is a tenth of the whole: {used}"
    );
}

#[test]
fn repeats_of_all_are_kept_within_their_whole() {
    let mut plan = plan("repeats", 3, 13.0);
    (plan.backends, plan.errors, plan.repeats) = (3, 0.4, Some(20.0));
    plan.callers = offers(0.0, &[90.0, 30.0, 10.0]);
    let report = played(&plan);
    // Some fifty of the requests fail each second, and as many would go again.
    let repeats = report
        .arrivals
        .iter()
        .filter(|at| (FIRST..13.0).contains(*at))
        .count() as f64
        / (13.0 - FIRST);
    let requests: f64 = report.seconds[5..13]
        .iter()
        .map(|s| (s.offered - s.over) as f64)
        .sum::<f64>()
        / 8.0;
    let repeats = repeats - requests;
    assert!(
        (15.0..=21.0).contains(&repeats),
        "{repeats} repeats a second beside {requests} requests"
    );
}

#[test]
fn attempts_at_each_member_are_kept_within_its_whole() {
    let mut plan = plan("each member", 4, 14.0);
    (plan.backends, plan.answer_ms, plan.each_member) = (3, 150, Some(4));
    plan.rate = 1_000.0;
    plan.burst = 400.0;
    // The callers have four connections to each process: the fleet has 16 requests for 12 places.
    plan.callers = offers(0.0, &[100.0; 4]);
    // One that is killed leaves its attempts at work: what it held comes back when they must have
    // ended.
    plan.faults = vec![
        fault(8.0, Kind::Kill { process: 3 }),
        fault(9.0, Kind::Start { process: 3 }),
    ];
    let report = played(&plan);
    assert!(
        (3..=4).contains(&report.most_open),
        "{} at once at one member",
        report.most_open
    );
    let served: u64 = report.seconds[5..8].iter().map(|s| s.served).sum();
    assert!(served > 120, "{served} served in three seconds");
}

/// Far longer than members need to find out about each other on a busy machine.
const SEEN_WITHIN: Duration = Duration::from_secs(120);

#[test]
fn real_processes_among_hollow_ones_see_all() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (hollow, real, killed) = (60, 3, 6);
    let plan = hollow::Plan {
        processes: hollow + real,
        real,
        seed: 1,
        seconds: 200,
        tick_interval: hollow::TICK,
        faults: Vec::new(),
        dewrun: DEWRUN.into(),
    };
    let mut fleet = HollowFleet::start(&plan).expect("a fleet");
    let sees = |fleet: &HollowFleet, members: usize, when: &str| {
        let seen = fleet.all_real_see(members, SEEN_WITHIN);
        assert!(
            seen.is_some(),
            "{when}: {members} members are up; real ones see {:?}",
            fleet.real_views()
        );
        println!("{when}: all real ones see {members} after {seen:?}");
    };
    sees(&fleet, hollow + real, "when all have started");
    fleet.processes[real - 1].restart();
    sees(&fleet, hollow + real, "when a real one has started again");
    let gone = fleet.kill_hollow(killed);
    assert_eq!(gone.len(), killed);
    sees(
        &fleet,
        hollow + real - killed,
        "when some hollow ones were killed",
    );
    assert_eq!(
        fleet.holders_of(&gone),
        Vec::<String>::new(),
        "they are held for up by nobody"
    );
    let traffic = fleet.processes[0].status().expect("its status").traffic;
    assert!(
        traffic.packets_sent > 0 && traffic.bytes_sent > traffic.packets_sent,
        "{traffic:?}"
    );
    assert!(
        traffic.packets_received > 0 && traffic.bytes_received > traffic.packets_received,
        "{traffic:?}"
    );
}
