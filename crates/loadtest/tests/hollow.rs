//! Bounds of large fleets: what is beyond them is refused before anything starts.

use dewrun_loadtest::hollow::{run, Fault, Plan, PROCESSES_MOST, REAL_MOST, SECONDS_MOST, TICK};
use std::time::Duration;

fn plan() -> Plan {
    Plan {
        processes: 60,
        real: 3,
        seed: 1,
        seconds: 60,
        tick_interval: TICK,
        faults: Fault::ALL.to_vec(),
        dewrun: "no program".into(),
    }
}

#[test]
fn a_plan_stays_within_its_bounds() {
    assert_eq!(plan().check(), Ok(()));
    let beyond = [
        Plan {
            processes: PROCESSES_MOST + 1,
            ..plan()
        },
        Plan {
            real: REAL_MOST + 1,
            ..plan()
        },
        Plan {
            seconds: SECONDS_MOST + 1,
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
    for plan in beyond {
        assert!(plan.check().is_err(), "{plan:?}");
        assert!(run(&plan).is_err(), "{plan:?}");
    }
}
