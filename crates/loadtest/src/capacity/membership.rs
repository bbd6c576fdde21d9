//! The cost of membership per process by the size of the fleet, in simulated time.

use super::report::Axis;
use super::Sampling;
use dewrun_fleet::simulation::{run_case, Case, Settings, Stage};

/// Measures membership, by processes, when all processes start at once and then nothing changes.
pub fn membership(sampling: &Sampling) -> Vec<Axis> {
    let mut axis = Axis::new(
        "membership by processes",
        "processes",
        "all start at once, nothing lost",
    );
    for processes in sampling.default_points() {
        for seed in 1..=sampling.runs as u64 {
            let outcome = run_case(
                Case::ColdStart,
                Settings {
                    processes,
                    seed,
                    loss: 0.0,
                },
            );
            outcome
                .stages
                .iter()
                .for_each(|stage| add_stage(&mut axis, processes as f64, stage));
        }
    }
    vec![axis.with_fits()]
}

fn add_stage(axis: &mut Axis, processes: f64, stage: &Stage) {
    if let Some(last_moment) = stage.moments.last() {
        axis.add_run(
            "each sends at rest",
            "bytes/s",
            processes,
            last_moment.mean_send_bytes_per_s,
        );
    }
    axis.add_run(
        "the most that one sends over 10 s",
        "bytes/s",
        processes,
        stage.rates.peak_send_rate.bytes_per_second,
    );
    axis.add_run(
        "the most that one receives over 10 s",
        "bytes/s",
        processes,
        stage.rates.peak_receive_rate.bytes_per_second,
    );
    if let Some(converged_us) = stage.converged_after {
        axis.add_run(
            "whole everywhere after",
            "s",
            processes,
            converged_us as f64 / 1e6,
        );
    }
}
