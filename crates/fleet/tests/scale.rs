//! Tests the membership of a fleet of 200 processes in simulated time against the bounds that
//! `dewrun-simulate membership` prints.

use dewrun_fleet::simulation::{run_case, Case, Outcome, Row, Settings};

const PROCESSES: usize = 200;

fn outcome_of(case: Case, seed: u64, loss: f64) -> Outcome {
    run_case(
        case,
        Settings {
            processes: PROCESSES,
            seed,
            loss,
        },
    )
}

/// Runs a case and asserts that at least three figures have a bound and all bounds are met.
fn assert_bounds_are_met(case: Case, loss: f64) {
    for seed in 1..=3 {
        let rows = outcome_of(case, seed, loss).rows();
        let broken: Vec<&Row> = rows
            .iter()
            .filter(|row| row.passed() == Some(false))
            .collect();
        assert!(
            broken.is_empty(),
            "{}, seed {seed}: {broken:#?}",
            case.name()
        );
        assert!(rows.iter().filter(|row| row.passed() == Some(true)).count() >= 3);
    }
}

#[test]
fn a_cold_start_meets_its_bounds() {
    assert_bounds_are_met(Case::ColdStart, 0.0);
}

#[test]
fn a_single_restart_meets_its_bounds() {
    assert_bounds_are_met(Case::SingleRestart, 0.0);
    assert_bounds_are_met(Case::SingleRestart, 0.2);
}

#[test]
fn the_death_of_a_tenth_of_the_fleet_meets_its_bounds() {
    assert_bounds_are_met(Case::TenthKilled, 0.0);
}

#[test]
fn a_partition_of_an_hour_meets_its_bounds() {
    assert_bounds_are_met(Case::LongPartition, 0.0);
}

#[test]
fn a_restart_after_a_clock_that_was_ahead_meets_its_bounds() {
    assert_bounds_are_met(Case::ClockSkew, 0.0);
}
