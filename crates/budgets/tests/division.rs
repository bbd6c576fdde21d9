//! Tests of the division of a total by demand.

use dewrun_budgets::lease::{divide, WeightedDemand};
use dewrun_budgets::{Share, TOKEN_UNITS};
use proptest::prelude::*;

fn with_equal_weights(demands: &[u64]) -> Vec<WeightedDemand> {
    demands
        .iter()
        .map(|demand| WeightedDemand {
            demand: *demand,
            weight: 1,
        })
        .collect()
}

#[test]
fn the_least_demand_is_met_first_and_the_surplus_is_spread() {
    for (units, tokens, demands, shares) in [
        (90, 90, &[10, 200, 200][..], &[10, 40, 40][..]),
        (90, 90, &[10, 10, 10], &[30, 30, 30]),
        (90, 90, &[0, 0, 600], &[0, 0, 90]),
        (90, 90, &[0, 0, 30], &[20, 20, 50]),
        (90, 90, &[0, 0, 0], &[30, 30, 30]),
        (90, 2, &[10, 500, 700], &[0, 45, 45]),
        (90, 2, &[0, 0, 0], &[45, 45, 0]),
        (90, 2, &[1, 0, 700], &[1, 0, 89]),
        (90, 2, &[1, 0, 30], &[30, 0, 59]),
        (1, 9, &[5, 5], &[1, 0]),
        (0, 1, &[5], &[0]),
        (7, 1, &[], &[]),
    ] {
        let total = Share {
            units,
            burst: tokens * TOKEN_UNITS,
        };
        let divided = divide(total, &with_equal_weights(demands));
        let all: Vec<u64> = divided.iter().map(|share| share.units).collect();
        assert_eq!(all, shares, "{units} {tokens} {demands:?}");
    }
}

#[test]
fn a_process_with_little_demand_has_a_token_and_no_more_rate_than_it_needs() {
    let demands: Vec<u64> = (0..12)
        .map(|n| if n == 0 { 300_000 } else { 5_000 })
        .collect();
    let shares = divide(
        Share {
            units: 199_000,
            burst: 20 * TOKEN_UNITS,
        },
        &with_equal_weights(&demands),
    );
    assert_eq!(shares[0].units, 199_000 - 11 * 5_000);
    assert!(
        shares.iter().all(|share| share.burst >= TOKEN_UNITS),
        "{shares:?}"
    );
    assert!(shares[0].burst > 3 * TOKEN_UNITS, "{shares:?}");
}

#[test]
fn shares_follow_weights() {
    let demands = [
        WeightedDemand {
            demand: 100,
            weight: 3,
        },
        WeightedDemand {
            demand: 100,
            weight: 1,
        },
    ];
    let shares: Vec<u64> = divide(
        Share {
            units: 80,
            burst: 0,
        },
        &demands,
    )
    .iter()
    .map(|share| share.units)
    .collect();
    assert_eq!(shares, [60, 20]);
}

proptest! {
    #[test]
    fn shares_are_within_the_total_and_fair(
        units in 0u64..100_000,
        tokens in 0u64..60,
        demands in prop::collection::vec((0u64..50_000, 1u32..10), 0..40),
    ) {
        let demands: Vec<WeightedDemand> =
            demands.into_iter().map(|(demand, weight)| WeightedDemand { demand, weight }).collect();
        let total = Share { units, burst: tokens * TOKEN_UNITS };
        let shares = divide(total, &demands);
        prop_assert!(shares.iter().copied().sum::<Share>().is_within(total));
        prop_assert!(shares.iter().all(|share| share.units == 0 || tokens == 0 || share.burst >= TOKEN_UNITS));
        let requesters = demands.iter().filter(|process| process.demand > 0).count() as u64;
        if requesters <= units && (tokens == 0 || requesters <= tokens) && requesters > 0 {
            // All demand is met, except for rounding.
            let total_demand: u64 = demands.iter().map(|process| process.demand).sum();
            let met_demand: u64 = demands.iter().zip(&shares).map(|(process, share)| process.demand.min(share.units)).sum();
            let rounding_tolerance = demands.len() as u64 + requesters;
            prop_assert!(met_demand + rounding_tolerance >= total_demand.min(units), "{met_demand} of {total_demand} and {units}");
            // A process with unmet demand has no less in proportion to its weight than any other.
            for (a, own) in demands.iter().zip(&shares) {
                for (b, other) in demands.iter().zip(&shares) {
                    if own.units < a.demand && b.demand > 0 {
                        let own = (own.units + 2) as f64 / f64::from(a.weight);
                        prop_assert!(own >= other.units.saturating_sub(2) as f64 / f64::from(b.weight));
                    }
                }
            }
        }
    }
}
