//! The output of the simulations for fixed seeds is compared with that of an earlier build.

use dewrun_simulation::replication::{measure_catch_up, measure_orders};
use dewrun_test_support::assert_golden;
use std::fmt::Write as _;
use std::path::Path;
use std::process::Command;

fn run_and_format(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_dewrun-simulate"))
        .args(arguments)
        .output()
        .expect("the program runs");
    let text = String::from_utf8(output.stdout).expect("UTF-8 output");
    format!(
        "$ {} -> {:?}\n{text}",
        arguments.join(" "),
        output.status.code()
    )
}

fn assert_printed(name: &str, runs: &[&[&str]]) {
    let text: String = runs
        .iter()
        .map(|arguments| run_and_format(arguments))
        .collect();
    assert_golden(
        &Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(name),
        &text,
    );
}

#[test]
fn membership_output_of_two_seeds_is_unchanged() {
    let small = ["membership", "--processes", "24"];
    let lossy = ["membership", "--processes", "24", "--loss", "0.2"];
    let with_seed = |run: &[&'static str], seed: &'static str| [run, &["--seed", seed]].concat();
    assert_printed(
        "membership.txt",
        &[
            &with_seed(&small, "1"),
            &with_seed(&small, "2"),
            &with_seed(&lossy, "1"),
            &with_seed(&lossy, "2"),
        ],
    );
}

#[test]
fn budgets_output_of_two_seeds_is_unchanged() {
    assert_printed(
        "budgets.txt",
        &[&["budgets", "--seed", "1"], &["budgets", "--seed", "2"]],
    );
}

#[test]
fn matrix_output_of_two_seeds_is_unchanged() {
    let run = ["matrix", "--trouble", "hang", "--members", "3"];
    let with_seed = |seed: &'static str| [&run[..], &["--seed", seed]].concat();
    assert_printed("matrix.txt", &[&with_seed("1"), &with_seed("2")]);
}

#[test]
fn replication_figures_of_two_seeds_are_unchanged() {
    let mut text = String::new();
    for seed in [1, 2] {
        for loss in [0.0, 0.2] {
            let order_cost = measure_orders(12, loss, 5, seed);
            let (everywhere_ms, at_rest, for_one) = (
                (order_cost.delays.median_ms, order_cost.delays.max_ms),
                order_cost.bytes_per_s_at_rest,
                order_cost.bytes_per_order,
            );
            let _ = writeln!(
                text,
                "grow {seed} {loss}: {everywhere_ms:?} {at_rest} {for_one}"
            );
            // The merge time is left out, because it depends on the machine.
            let catch_up = measure_catch_up(300, loss / 4.0, seed);
            let _ = writeln!(
                text,
                "catch up {seed} {loss}: {} {}",
                catch_up.duration_ms, catch_up.bytes
            );
        }
    }
    assert_golden(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/replication.txt"),
        &text,
    );
}
