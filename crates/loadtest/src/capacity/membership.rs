//! What membership costs each process by the size of the fleet, in simulated time.

use super::report::Axis;
use super::Sizes;
use dewrun_fleet::simulation::{run_case, Case, Settings, Stage};

/// Membership where all start at once and then rest, by processes.
pub fn membership(sizes: &Sizes) -> Vec<Axis> {
    let mut axis = Axis::new(
        "membership by processes",
        "processes",
        "all start at once, nothing lost",
    );
    for processes in sizes.usual() {
        for seed in 1..=sizes.runs as u64 {
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
                .for_each(|stage| add(&mut axis, processes as f64, stage));
        }
    }
    vec![axis.fitted()]
}

fn add(axis: &mut Axis, processes: f64, stage: &Stage) {
    if let Some(rest) = stage.moments.last() {
        axis.add(
            "each sends at rest",
            "bytes/s",
            processes,
            rest.mean_send_bytes_per_s,
        );
    }
    axis.add(
        "the most that one sends over 10 s",
        "bytes/s",
        processes,
        stage.rates.peak_send_rate.bytes_per_second,
    );
    axis.add(
        "the most that one receives over 10 s",
        "bytes/s",
        processes,
        stage.rates.peak_receive_rate.bytes_per_second,
    );
    if let Some(whole) = stage.converged_after {
        axis.add("whole everywhere after", "s", processes, whole as f64 / 1e6);
    }
}
