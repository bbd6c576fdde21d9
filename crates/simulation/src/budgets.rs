//! Methods to divide a total among processes, compared in one script: fixed shares by rank, escrow
//! that pairs of processes transfer, and leases from one grantor (the code of `dewrun-budgets`).
//! And what leases cost as a fleet grows.

mod cost;
mod escrow;
mod leases;
mod rank;
mod script;

pub use cost::{cost, Cost, Load};

use dewrun_budgets::Micros;

const SECOND: Micros = 1_000_000;
/// The total, in requests a second.
const RATE: f64 = 200.0;
const PROCESSES: usize = 12;

/// What a method achieved in one phase of the script. Fractions of the total.
#[derive(Clone, Debug)]
pub struct PhaseResult {
    /// What happens in the phase.
    pub name: &'static str,
    /// What was spent; there was demand for all of it.
    pub spent: f64,
    /// The greatest sum of what all processes believed they may spend.
    pub peak_share_sum: f64,
}

/// What a method achieved in the script.
#[derive(Clone, Debug)]
pub struct MethodResult {
    /// The method.
    pub name: &'static str,
    /// Its phases, in order.
    pub phases: Vec<PhaseResult>,
}

/// Runs each method through the same script.
pub fn compare_methods(seed: u64) -> Vec<MethodResult> {
    vec![
        MethodResult {
            name: "parts by rank",
            phases: rank::run(),
        },
        MethodResult {
            name: "escrow",
            phases: escrow::run(seed),
        },
        MethodResult {
            name: "leases",
            phases: leases::run(seed),
        },
    ]
}
