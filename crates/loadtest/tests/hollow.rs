//! Checks that a plan of a hollow fleet that exceeds a limit is rejected before anything starts.

use dewrun_loadtest::hollow::{
    run, Fault, Plan, DEFAULT_TICK_INTERVAL, MAX_PROCESSES, MAX_REAL_PROCESSES, MAX_SECONDS,
};
use std::time::Duration;

/// A valid plan. Its program does not exist, so starting a real process would panic.
fn plan() -> Plan {
    Plan {
        processes: 60,
        real: 3,
        seed: 1,
        seconds: 60,
        tick_interval: DEFAULT_TICK_INTERVAL,
        faults: Fault::ALL.to_vec(),
        dewrun: "no program".into(),
    }
}

#[test]
fn plans_beyond_a_limit_are_rejected() {
    assert_eq!(plan().check(), Ok(()));
    let rejected = [
        Plan {
            processes: MAX_PROCESSES + 1,
            ..plan()
        },
        Plan {
            real: MAX_REAL_PROCESSES + 1,
            ..plan()
        },
        Plan {
            seconds: MAX_SECONDS + 1,
            ..plan()
        },
        Plan { real: 0, ..plan() },
        Plan {
            processes: 3,
            ..plan()
        },
        Plan {
            tick_interval: Duration::from_millis(1),
            ..plan()
        },
        Plan {
            tick_interval: Duration::from_secs(1),
            ..plan()
        },
    ];
    for plan in rejected {
        assert!(plan.check().is_err(), "{plan:?}");
        assert!(run(&plan).is_err(), "{plan:?}");
    }
}
