//! Membership of a fleet of 200 processes in simulated time, against the bounds that `dewrun-simulate
//! membership` prints.

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

/// Runs a case and asserts that no bound is broken, and that there are some.
fn assert_bounds_are_kept(case: Case, loss: f64) {
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
fn a_fleet_that_starts_at_once_stays_within_its_bytes() {
    assert_bounds_are_kept(Case::ColdStart, 0.0);
}

#[test]
fn a_restarted_member_soon_has_all_in_view() {
    assert_bounds_are_kept(Case::SingleRestart, 0.0);
    assert_bounds_are_kept(Case::SingleRestart, 0.2);
}

#[test]
fn the_dead_are_in_nobodys_view() {
    assert_bounds_are_kept(Case::TenthKilled, 0.0);
}

#[test]
fn views_are_right_again_after_a_partition_of_an_hour() {
    assert_bounds_are_kept(Case::LongPartition, 0.0);
}

#[test]
fn an_incarnation_replaces_an_earlier_one_whose_clock_was_ahead() {
    assert_bounds_are_kept(Case::ClockSkew, 0.0);
}
