//! Escrow: each process owns a share and transfers its surplus to processes that request more, in
//! numbered transfers that are sent until they are acknowledged. The share of a dead process is
//! lost permanently, because no other process can know that it has stopped spending.

use super::script::{phases, Phase};
use super::{PhaseResult, PROCESSES, RATE};
use crate::uniform;
use dewrun_budgets::Micros;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Interval at which a process requests more.
const ROUND_INTERVAL_US: Micros = 100_000;

struct Escrow {
    /// Share that each process owns, in requests per second.
    owned: Vec<f64>,
    is_alive: Vec<bool>,
    rng: Xoshiro256PlusPlus,
}

pub(super) fn run(seed: u64) -> Vec<PhaseResult> {
    let mut owned = vec![RATE / PROCESSES as f64; PROCESSES];
    owned.push(0.0);
    let mut is_alive = vec![true; PROCESSES];
    is_alive.push(false);
    let mut escrow = Escrow {
        owned,
        is_alive,
        rng: Xoshiro256PlusPlus::seed_from_u64(seed),
    };
    phases()
        .iter()
        .map(|phase| escrow.run_phase(phase))
        .collect()
}

impl Escrow {
    fn run_phase(&mut self, phase: &Phase) -> PhaseResult {
        phase.apply_to(&mut self.is_alive);
        let (mut spent, mut observations, mut now) = (0.0, 0.0, 0);
        while now < phase.ends_at {
            self.run_round(phase);
            now += ROUND_INTERVAL_US;
            if now > phase.observed_from {
                spent += self.spent(phase) / RATE;
                observations += 1.0;
            }
        }
        PhaseResult {
            name: phase.name,
            spent: spent / observations,
            peak_share_sum: 1.0,
        }
    }

    /// Lets each living process whose share is below its demand send a request to a random peer.
    fn run_round(&mut self, phase: &Phase) {
        for process in 0..self.is_alive.len() {
            if !self.is_alive[process] {
                continue;
            }
            let shortage = phase.demand(process) - self.owned[process];
            let peer = (uniform(&mut self.rng) * self.is_alive.len() as f64) as usize;
            let is_reached = phase.is_connected(process, peer);
            // The request or its response may be lost; a transfer is retried until it arrives.
            let is_answered =
                uniform(&mut self.rng) >= phase.loss && uniform(&mut self.rng) >= phase.loss;
            if shortage > 0.0 && peer != process && self.is_alive[peer] && is_reached && is_answered
            {
                self.transfer(phase, peer, process, shortage);
            }
        }
    }

    /// Transfers the surplus of a peer, or half of the difference between the two shares if that is
    /// more, up to the shortage.
    fn transfer(&mut self, phase: &Phase, from: usize, to: usize, shortage: f64) {
        let surplus = (self.owned[from] - phase.demand(from))
            .max(0.0)
            .max((self.owned[from] - self.owned[to]) / 2.0);
        let amount = surplus.min(shortage).max(0.0);
        self.owned[from] -= amount;
        self.owned[to] += amount;
    }

    fn spent(&self, phase: &Phase) -> f64 {
        let alive = (0..self.is_alive.len()).filter(|process| self.is_alive[*process]);
        alive
            .map(|process| phase.demand(process).min(self.owned[process]))
            .sum()
    }
}
