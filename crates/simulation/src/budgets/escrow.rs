//! Escrow: each process owns a share and transfers what it does not need to a process that asks, in
//! numbered transfers that are sent until they are confirmed. What a dead process owned is lost for
//! good: no other process can know that it spends no more.

use super::script::{phases, Phase};
use super::{PhaseResult, PROCESSES, RATE};
use crate::uniform;
use dewrun_budgets::Micros;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// The time between two requests of a process for more.
const ROUND_INTERVAL_US: Micros = 100_000;

struct Escrow {
    /// What each process owns, in requests a second.
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

    /// Each living process that lacks something asks a random peer.
    fn run_round(&mut self, phase: &Phase) {
        for process in 0..self.is_alive.len() {
            if !self.is_alive[process] {
                continue;
            }
            let lacking = phase.demand(process) - self.owned[process];
            let peer = (uniform(&mut self.rng) * self.is_alive.len() as f64) as usize;
            let is_reached = phase.is_connected(process, peer);
            // The request or its answer may be lost; a transfer that was made arrives in the end.
            let is_answered =
                uniform(&mut self.rng) >= phase.loss && uniform(&mut self.rng) >= phase.loss;
            if lacking > 0.0 && peer != process && self.is_alive[peer] && is_reached && is_answered
            {
                self.transfer(phase, peer, process, lacking);
            }
        }
    }

    /// Transfers the surplus of a peer or, if that is more, half of what the peer owns beyond the
    /// receiver.
    fn transfer(&mut self, phase: &Phase, from: usize, to: usize, lacking: f64) {
        let surplus = (self.owned[from] - phase.demand(from))
            .max(0.0)
            .max((self.owned[from] - self.owned[to]) / 2.0);
        let amount = surplus.min(lacking).max(0.0);
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
