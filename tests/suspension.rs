//! A process is suspended (SIGSTOP) with requests in progress while endpoints are drained.

use dewrun_loadtest::drill::{DrillFleet, Fault, FaultKind, Plan, RateChange};

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
/// Index of the process that is suspended.
const SUSPENDED: usize = 2;
/// Number of suspensions.
const SUSPENSIONS: usize = 6;
/// Time from one suspension to the next, in seconds.
const SUSPENSION_INTERVAL_S: f64 = 3.0;
/// Start of the first suspension, in seconds; the budgets have been granted by then.
const FIRST_SUSPENSION_AT_S: f64 = 4.0;

fn fault(at_s: f64, kind: FaultKind) -> Fault {
    Fault { at_s, kind }
}

fn order(at: f64, member: usize, desired_state: &str) -> Fault {
    let kind = FaultKind::Order {
        process: 0,
        member,
        desired_state: desired_state.into(),
    };
    fault(at, kind)
}

/// Returns the faults of one suspension, during which all endpoints but one are drained; they
/// return after it.
fn suspension(start: f64) -> Vec<Fault> {
    let mut faults = vec![
        fault(start, FaultKind::Suspend { process: SUSPENDED }),
        fault(start + 1.6, FaultKind::Resume { process: SUSPENDED }),
    ];
    for member in 1..4 {
        let offset = 0.05 * member as f64;
        faults.push(order(start + 0.2 + offset, member, "drain"));
        faults.push(order(start + 2.2 + offset, member, "return"));
    }
    faults
}

/// Guards against an attempt that is decided before a suspension and written after it, to an
/// endpoint that was drained meanwhile.
#[test]
fn an_attempt_decided_before_a_suspension_is_not_written_to_a_drained_endpoint() {
    let seconds = FIRST_SUSPENSION_AT_S + SUSPENSION_INTERVAL_S * SUSPENSIONS as f64;
    let plan = Plan {
        backends: 4,
        rate: 4_000.0,
        burst: 2_000.0,
        floor: 800.0,
        rate_changes: vec![RateChange {
            at_s: 0.0,
            process: SUSPENDED,
            rate: 3_000.0,
        }],
        faults: (0..SUSPENSIONS)
            .flat_map(|number| {
                suspension(FIRST_SUSPENSION_AT_S + SUSPENSION_INTERVAL_S * number as f64)
            })
            .collect(),
        ..Plan::new("suspension", 3, seconds)
    };
    let report = DrillFleet::start(DEWRUN, &plan, 1).play();
    println!(
        "late {:.0} ms, drains {:?}",
        report.harness_delay_ms, report.drains
    );
    for (second, counts) in report.seconds.iter().enumerate() {
        println!("{second:>3} {counts:?}");
    }
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert_eq!(report.drains.len(), 3 * SUSPENSIONS);
    assert!(
        report.drains.iter().all(|(_, late)| *late == 0),
        "{:?}",
        report.drains
    );
}
