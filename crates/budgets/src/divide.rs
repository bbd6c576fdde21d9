//! Weighted max-min: nobody gets more than it asks for while another who asks for more has less for
//! its weight. What nobody asks for is spread by weight, so that new demand finds room where it
//! comes.

use crate::{Share, Units, TOKEN};

/// What one process asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedDemand {
    /// What it is asked for.
    pub demand: Units,
    /// What a unit at this process is worth beside the others.
    pub weight: u32,
}

/// Divides a whole. One that has less than a token can spend nothing, so it has no share: where the
/// tokens do not reach for all who ask, those with the most weight and demand go first.
pub fn divide(whole: Share, demands: &[WeightedDemand]) -> Vec<Share> {
    let mut shares = vec![0; demands.len()];
    let mut asking: Vec<usize> = (0..demands.len())
        .filter(|i| demands[*i].demand > 0)
        .collect();
    let tokens = if whole.burst > 0 {
        whole.burst / TOKEN
    } else {
        Units::MAX
    };
    let places = tokens.min(whole.units) as usize;
    if asking.len() > places {
        asking.sort_by_key(|i| std::cmp::Reverse((demands[*i].weight, demands[*i].demand)));
        asking.truncate(places);
    }
    let weight = |i: usize| u128::from(demands[i].weight.max(1));
    // From the one whose demand is met first: what is left is divided by the weights that are left.
    let wants = |i: usize| demands[i].demand;
    asking.sort_by(|a, b| {
        (u128::from(wants(*a)) * weight(*b))
            .cmp(&(u128::from(wants(*b)) * weight(*a)))
            .then(a.cmp(b))
    });
    let mut left = whole.units;
    let mut weights: u128 = asking.iter().map(|i| weight(*i)).sum();
    for (at, i) in asking.iter().enumerate() {
        // Those behind need one each.
        let behind = (asking.len() - at - 1) as u64;
        let even = (u128::from(left) * weight(*i) / weights) as u64;
        shares[*i] = wants(*i).min(even).max(1).min(left - behind);
        left -= shares[*i];
        weights -= weight(*i);
    }
    let all: Vec<usize> = (0..demands.len()).collect();
    let among: &[usize] = if demands.len() <= places || asking.is_empty() {
        &all[..all.len().min(places)]
    } else {
        // No token is left for some who ask for nothing.
        &asking
    };
    let weights: u128 = among.iter().map(|i| weight(*i)).sum();
    for i in among {
        shares[*i] += (u128::from(left) * weight(*i) / weights.max(1)) as u64;
    }
    with_tokens(whole, &shares)
}

/// A token for each that has a share; of the rest, half is spread evenly and half by what they
/// have.
fn with_tokens(whole: Share, shares: &[Units]) -> Vec<Share> {
    let holders = shares.iter().filter(|units| **units > 0).count() as u64;
    let sum: u128 = shares.iter().map(|units| u128::from(*units)).sum();
    let rest = whole.burst.saturating_sub(holders * TOKEN);
    let share = |units: &Units| {
        let even = rest / 2 / holders.max(1);
        let by_units = u128::from(rest - rest / 2) * u128::from(*units) / sum.max(1);
        let held = *units > 0 && whole.burst > 0;
        Share {
            units: *units,
            burst: if held {
                TOKEN + even + by_units as u64
            } else {
                0
            },
        }
    };
    shares.iter().map(share).collect()
}
