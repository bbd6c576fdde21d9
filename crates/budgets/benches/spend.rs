//! Measures the cost of checking a request against its budgets, including reading the clock:
//! `cargo bench -p dewrun-budgets`. Prints the median and range over 21 rounds in nanoseconds per
//! check.

use dewrun_budgets::node::{Budget, BudgetNode, Limit, UNIT_WEIGHT};
use dewrun_budgets::{BudgetKey, Incarnation, LeaseSettings, ProcessId};
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: usize = 21;
const CHECKS: usize = 200_000;

fn main() {
    println!("{CHECKS} checks a round, {ROUNDS} rounds; ns a check: median (least to most)");
    for (budgets, of_request, rate, what) in [
        (1, 1, 1e9, "let in"),
        (1_000, 1, 1e9, "let in"),
        (1_000, 3, 1e9, "let in"),
        (1, 1, 0.01, "refused"),
        (1_000, 3, 0.01, "refused"),
    ] {
        let budget = |n: usize| Budget {
            name: format!("budget {n}"),
            member: String::new(),
            // The whole rate is the floor of the only voter, so that no lease is needed.
            limit: Limit::Rate {
                rate,
                burst: rate.max(1.0),
                floor: rate,
            },
        };
        let settings = LeaseSettings::default();
        let mut node = BudgetNode::new(
            0,
            ProcessId(0),
            Incarnation(0),
            &[ProcessId(0)],
            0,
            settings,
        );
        node.set_budgets(0, (0..budgets).map(budget).collect(), &[ProcessId(0)]);
        let wanted: Vec<BudgetKey> = (0..of_request)
            .map(|n| Budget::key(&format!("budget {}", n * 331 % budgets)))
            .collect();
        let begun = Instant::now();
        let micros = || 1_000_000 + begun.elapsed().as_micros() as u64;
        let mut rounds: Vec<f64> = (0..ROUNDS)
            .map(|_| {
                let start = Instant::now();
                let mut refused = 0;
                for _ in 0..CHECKS {
                    refused += usize::from(
                        node.spend(micros(), black_box(&wanted), UNIT_WEIGHT)
                            .is_err(),
                    );
                }
                assert_eq!(black_box(refused) > CHECKS / 2, what == "refused");
                start.elapsed().as_nanos() as f64 / CHECKS as f64
            })
            .collect();
        rounds.sort_by(f64::total_cmp);
        println!(
            "{budgets:>5} budgets, {of_request} of them asked, {what:<8} {:>6.0} ({:.0} to {:.0})",
            rounds[ROUNDS / 2],
            rounds[0],
            rounds[ROUNDS - 1]
        );
    }
}
