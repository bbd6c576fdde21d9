//! The script that each method runs through.

use super::{PROCESSES, SECOND};
use dewrun_budgets::Micros;

/// One phase: what happens at its start, and the window in which it is observed.
pub(super) struct Phase {
    pub name: &'static str,
    /// Requests a second at each process.
    pub demands: Vec<f64>,
    pub killed: Vec<usize>,
    pub started: Vec<usize>,
    /// Whether processes with an even and an odd index can't reach each other.
    pub is_cut: bool,
    /// The fraction of messages that is lost.
    pub loss: f64,
    /// From the start of the phase.
    pub observed_from: Micros,
    /// From the start of the phase.
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

    /// The demand at a process, in requests a second.
    pub fn demand(&self, process: usize) -> f64 {
        self.demands.get(process).copied().unwrap_or(0.0)
    }

    /// Whether two processes can reach each other.
    pub fn is_connected(&self, a: usize, b: usize) -> bool {
        !self.is_cut || a % 2 == b % 2
    }

    /// Marks the killed and the started processes.
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

/// The phases, in order.
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
