//! A comparison of methods to divide a total among processes under the same script: fixed shares by
//! rank, escrow that pairs of processes transfer, and leases from one grantor (the code of
//! `dewrun-budgets`). The cost of leases is also measured by fleet size.

mod cost;
mod escrow;
mod leases;
mod rank;
mod script;

pub use cost::{cost, Cost, Load};

use dewrun_budgets::Micros;

const SECOND: Micros = 1_000_000;
/// The total, in requests per second.
const RATE: f64 = 200.0;
const PROCESSES: usize = 12;

/// The result of a method in one phase of the script, as fractions of the total.
#[derive(Clone, Debug)]
pub struct PhaseResult {
    /// Description of the phase, as printed.
    pub name: &'static str,
    /// Part of the total that was spent, while there was demand for all of it.
    pub spent: f64,
    /// Maximum of the sum of the shares that all processes believed they held.
    pub peak_share_sum: f64,
}

/// The results of a method in the script.
#[derive(Clone, Debug)]
pub struct MethodResult {
    /// Name of the method, as printed.
    pub name: &'static str,
    /// Results of the phases, in order.
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
