//! Membership of a fleet of 200 processes in simulated time, against the bounds that `dewrun-simulate
//! membership` prints.

use dewrun_fleet::simulation::{run_case, Case, Outcome, Row, Settings};

const PROCESSES: usize = 200;

fn played(case: Case, seed: u64, loss: f64) -> Outcome {
    run_case(
        case,
        Settings {
            processes: PROCESSES,
            seed,
            loss,
        },
    )
}

/// Plays a case and asks that no bound is broken, and that some are there.
fn keeps_its_bounds(case: Case, loss: f64) {
    for seed in 1..=3 {
        let rows = played(case, seed, loss).rows();
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
    keeps_its_bounds(Case::ColdStart, 0.0);
}

#[test]
fn a_restarted_member_sees_all_at_once() {
    keeps_its_bounds(Case::SingleRestart, 0.0);
    keeps_its_bounds(Case::SingleRestart, 0.2);
}

#[test]
fn the_dead_are_in_nobodys_view() {
    keeps_its_bounds(Case::TenthKilled, 0.0);
}

#[test]
fn regions_that_were_cut_for_an_hour_are_whole_again() {
    keeps_its_bounds(Case::LongPartition, 0.0);
}

#[test]
fn a_life_whose_clock_is_right_again_takes_the_place_of_one_whose_clock_was_ahead() {
    keeps_its_bounds(Case::ClockSkew, 0.0);
}
