//! Fixed equal shares by rank: each process divides by the number of processes in its
//! configuration.

use super::script::{phases, Phase};
use super::{PhaseResult, PROCESSES, RATE};

const SHARE: f64 = RATE / PROCESSES as f64;

pub(super) fn run() -> Vec<PhaseResult> {
    let mut is_alive = [true; PROCESSES + 1];
    is_alive[PROCESSES] = false;
    let mut results = Vec::new();
    for phase in phases() {
        phase.apply_to(&mut is_alive);
        results.push(PhaseResult {
            name: phase.name,
            spent: spent(&phase, &is_alive) / RATE,
            peak_share_sum: peak_share_sum(&phase, &is_alive),
        });
    }
    results
}

fn spent(phase: &Phase, is_alive: &[bool]) -> f64 {
    let alive = (0..is_alive.len()).filter(|process| is_alive[*process]);
    alive.map(|process| phase.demand(process).min(SHARE)).sum()
}

/// Returns the peak of the sum of all shares. No process can detect dead processes, so that an
/// added process takes a share beyond the total.
fn peak_share_sum(phase: &Phase, is_alive: &[bool]) -> f64 {
    if phase.started.is_empty() {
        return 1.0;
    }
    let alive = is_alive.iter().filter(|is_alive| **is_alive).count();
    alive.max(PROCESSES) as f64 * SHARE / RATE + 1.0 / PROCESSES as f64
}
