//! Weighted max-min fair division: no process gets more than its demand while another process with
//! unmet demand has less in proportion to its weight. A surplus over the total demand is spread by
//! weight, so that new demand finds capacity at any process.

use crate::{Share, Units, TOKEN_UNITS};

/// The demand at one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedDemand {
    /// The demand in units.
    pub demand: Units,
    /// The priority weight of one unit of demand, relative to other processes.
    pub weight: u32,
}

impl WeightedDemand {
    fn weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// Divides a total by demand; the shares are in the order of the demands. A process with less than
/// one token can admit no request, so it gets no share: if there are too few tokens for all
/// processes with demand, those with the highest weight come first, then those with the highest
/// demand.
pub fn divide(total: Share, demands: &[WeightedDemand]) -> Vec<Share> {
    let max_holders = max_holders(total);
    let with_demand = processes_by_demand(demands, max_holders);
    let mut shares = vec![0; demands.len()];
    let remaining = allocate_demands(total.units, demands, &with_demand, &mut shares);
    spread_surplus(remaining, demands, &with_demand, max_holders, &mut shares);
    add_bursts(total, &shares)
}

/// Returns the maximum number of processes that can have a usable share.
fn max_holders(total: Share) -> usize {
    let tokens = if total.burst > 0 {
        total.burst / TOKEN_UNITS
    } else {
        Units::MAX
    };
    tokens.min(total.units) as usize
}

/// Returns the indices of at most `max_holders` processes with demand, in ascending order of demand
/// divided by weight.
fn processes_by_demand(demands: &[WeightedDemand], max_holders: usize) -> Vec<usize> {
    let mut processes: Vec<usize> = (0..demands.len())
        .filter(|i| demands[*i].demand > 0)
        .collect();
    if processes.len() > max_holders {
        processes.sort_by_key(|i| std::cmp::Reverse((demands[*i].weight, demands[*i].demand)));
        processes.truncate(max_holders);
    }
    processes.sort_by(|a, b| {
        let (first, second) = (&demands[*a], &demands[*b]);
        (u128::from(first.demand) * second.weight())
            .cmp(&(u128::from(second.demand) * first.weight()))
            .then(a.cmp(b))
    });
    processes
}

/// Allocates to each process its demand or its weighted part of the remaining units, whichever is
/// less. Returns the units that remain afterwards.
fn allocate_demands(
    units: Units,
    demands: &[WeightedDemand],
    processes: &[usize],
    shares: &mut [Units],
) -> Units {
    let mut remaining = units;
    let mut weights = sum_of_weights(demands, processes);
    for (position, process) in processes.iter().enumerate() {
        let demand = &demands[*process];
        // Each process after this one needs at least one unit.
        let needed_after = (processes.len() - position - 1) as u64;
        let fair = (u128::from(remaining) * demand.weight() / weights) as u64;
        shares[*process] = demand.demand.min(fair).max(1).min(remaining - needed_after);
        remaining -= shares[*process];
        weights -= demand.weight();
    }
    remaining
}

/// Spreads the units that exceed the total demand by weight.
fn spread_surplus(
    surplus: Units,
    demands: &[WeightedDemand],
    with_demand: &[usize],
    max_holders: usize,
    shares: &mut [Units],
) {
    let all: Vec<usize> = (0..demands.len()).collect();
    let receivers = if demands.len() <= max_holders || with_demand.is_empty() {
        &all[..all.len().min(max_holders)]
    } else {
        // There are too few tokens for every process, so only those with demand receive units.
        with_demand
    };
    let weights = sum_of_weights(demands, receivers);
    for process in receivers {
        let weight = demands[*process].weight();
        shares[*process] += (u128::from(surplus) * weight / weights.max(1)) as u64;
    }
}

fn sum_of_weights(demands: &[WeightedDemand], processes: &[usize]) -> u128 {
    processes.iter().map(|i| demands[*i].weight()).sum()
}

/// Adds a part of the burst to each share: one token for each process that has a share; half of the
/// remaining burst evenly and half in proportion to the shares.
fn add_bursts(total: Share, shares: &[Units]) -> Vec<Share> {
    let holders = shares.iter().filter(|units| **units > 0).count() as u64;
    let sum: u128 = shares.iter().map(|units| u128::from(*units)).sum();
    let remaining = total.burst.saturating_sub(holders * TOKEN_UNITS);
    let even_part = remaining / 2 / holders.max(1);
    let with_burst = |units: &Units| {
        let proportional_part =
            u128::from(remaining - remaining / 2) * u128::from(*units) / sum.max(1);
        let has_burst = *units > 0 && total.burst > 0;
        let burst = if has_burst {
            TOKEN_UNITS + even_part + proportional_part as u64
        } else {
            0
        };
        Share {
            units: *units,
            burst,
        }
    };
    shares.iter().map(with_burst).collect()
}
