//! Leases from one grantor, simulated with the code of `dewrun-budgets`.

use super::script::{phases, Phase};
use super::{PhaseResult, PROCESSES, RATE, SECOND};
use dewrun_budgets::node::{Budget, Limit};
use dewrun_budgets::simulation::{Network, SimulatedFleet};

const VOTERS: usize = 3;
const BURST: f64 = 40.0;

pub(super) fn run(seed: u64) -> Vec<PhaseResult> {
    let limit = Limit::Rate {
        rate: RATE,
        burst: BURST,
        floor: 0.0,
    };
    let budget = Budget {
        name: "whole".into(),
        member: String::new(),
        limit,
    };
    let mut fleet = SimulatedFleet::new(seed, VOTERS, vec![budget]);
    (0..PROCESSES).for_each(|process| fleet.start(process));
    phases()
        .iter()
        .map(|phase| run_phase(&mut fleet, phase))
        .collect()
}

fn run_phase(fleet: &mut SimulatedFleet, phase: &Phase) -> PhaseResult {
    begin_phase(fleet, phase);
    let started_at = fleet.now();
    fleet.peak_share_sum = 0.0;
    fleet.run(started_at + phase.observed_from);
    fleet.take_activity();
    fleet.run(started_at + phase.ends_at);
    let seconds = (phase.ends_at - phase.observed_from) as f64 / SECOND as f64;
    let spent = fleet.take_activity().admitted as f64 / seconds / RATE;
    PhaseResult {
        name: phase.name,
        spent,
        peak_share_sum: fleet.peak_share_sum,
    }
}

fn begin_phase(fleet: &mut SimulatedFleet, phase: &Phase) {
    phase.killed.iter().for_each(|process| fleet.kill(*process));
    phase
        .started
        .iter()
        .for_each(|process| fleet.start(*process));
    fleet.repair_network();
    fleet.network = Network {
        loss: phase.loss,
        ..Network::RELIABLE
    };
    for from in 0..=PROCESSES {
        fleet.set_demand(from, phase.demand(from));
        for to in (0..=PROCESSES).filter(|to| !phase.is_connected(from, *to)) {
            fleet.set_cut(from, to, true);
        }
    }
}
