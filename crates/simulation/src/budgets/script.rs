//! The script of phases in which the methods are compared.

use super::{PROCESSES, SECOND};
use dewrun_budgets::Micros;

/// One phase of the script: the changes at its start and the window in which it is observed.
pub(super) struct Phase {
    pub name: &'static str,
    /// Demand at each process, in requests per second.
    pub demands: Vec<f64>,
    pub killed: Vec<usize>,
    pub started: Vec<usize>,
    /// Whether the processes with an even index are disconnected from those with an odd index.
    pub is_cut: bool,
    /// Fraction of the messages that is lost.
    pub loss: f64,
    /// Start of the observed window, from the start of the phase.
    pub observed_from: Micros,
    /// End of the phase and of the observed window, from the start of the phase.
    pub ends_at: Micros,
}

impl Phase {
    fn new(name: &'static str, demands: Vec<f64>) -> Phase {
        Phase {
            name,
            demands,
            killed: Vec::new(),
            started: Vec::new(),
            is_cut: false,
            loss: 0.0,
            observed_from: 6 * SECOND,
            ends_at: 10 * SECOND,
        }
    }

    /// Returns the demand at a process, in requests per second.
    pub fn demand(&self, process: usize) -> f64 {
        self.demands.get(process).copied().unwrap_or(0.0)
    }

    /// Returns whether two processes can reach each other.
    pub fn is_connected(&self, a: usize, b: usize) -> bool {
        !self.is_cut || a % 2 == b % 2
    }

    /// Marks the killed processes as dead and the started processes as alive.
    pub fn apply_to(&self, is_alive: &mut [bool]) {
        self.killed.iter().for_each(|n| is_alive[*n] = false);
        self.started.iter().for_each(|n| is_alive[*n] = true);
    }
}

fn even_demand() -> Vec<f64> {
    vec![50.0; PROCESSES + 1]
}

fn demand_mostly_at(process: usize) -> Vec<f64> {
    let demand = |n| if n == process { 300.0 } else { 5.0 };
    (0..PROCESSES).map(demand).collect()
}

/// Returns the phases in order.
pub(super) fn phases() -> Vec<Phase> {
    vec![
        Phase::new("even demand, at rest", even_demand()),
        Phase::new("nearly all of it at one", demand_mostly_at(0)),
        Phase {
            observed_from: 2 * SECOND,
            ends_at: 4 * SECOND,
            ..Phase::new("the same 2 s after it moved", demand_mostly_at(5))
        },
        Phase {
            killed: vec![3, 4, 5],
            ..Phase::new("three of twelve killed, 6 s after", even_demand())
        },
        Phase {
            loss: 0.2,
            ..Phase::new(
                "a fifth of the messages lost, demand at one",
                demand_mostly_at(7),
            )
        },
        Phase {
            is_cut: true,
            ..Phase::new("two halves cut off, demand in both", even_demand())
        },
        Phase {
            started: vec![12],
            observed_from: SECOND,
            ends_at: 3 * SECOND,
            ..Phase::new("mended, and one added, 1 s after", even_demand())
        },
    ]
}
