//! What the simulations print for a seed, as an earlier build printed it.

use dewrun_simulation::replication::{measure_catch_up, measure_orders};
use dewrun_test_support::assert_golden;
use std::fmt::Write as _;
use std::path::Path;
use std::process::Command;

fn printed(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_dewrun-simulate"))
        .args(arguments)
        .output()
        .expect("it runs");
    let text = String::from_utf8(output.stdout).expect("text");
    format!(
        "$ {} -> {:?}\n{text}",
        arguments.join(" "),
        output.status.code()
    )
}

fn assert_printed(name: &str, runs: &[&[&str]]) {
    let text: String = runs.iter().map(|arguments| printed(arguments)).collect();
    assert_golden(
        &Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(name),
        &text,
    );
}

#[test]
fn membership_of_two_seeds_is_the_same() {
    let small = ["membership", "--processes", "24"];
    let lossy = ["membership", "--processes", "24", "--loss", "0.2"];
    let of = |run: &[&'static str], seed: &'static str| [run, &["--seed", seed]].concat();
    assert_printed(
        "membership.txt",
        &[
            &of(&small, "1"),
            &of(&small, "2"),
            &of(&lossy, "1"),
            &of(&lossy, "2"),
        ],
    );
}

#[test]
fn budgets_of_two_seeds_are_the_same() {
    assert_printed(
        "budgets.txt",
        &[&["budgets", "--seed", "1"], &["budgets", "--seed", "2"]],
    );
}

#[test]
fn failures_of_two_seeds_are_the_same() {
    let run = ["matrix", "--trouble", "hang", "--members", "3"];
    let of = |seed: &'static str| [&run[..], &["--seed", seed]].concat();
    assert_printed("matrix.txt", &[&of("1"), &of("2")]);
}

#[test]
fn replication_of_two_seeds_is_the_same() {
    let mut text = String::new();
    for seed in [1, 2] {
        for loss in [0.0, 0.2] {
            let growth = measure_orders(12, loss, 5, seed);
            let (everywhere_ms, at_rest, for_one) = (
                (growth.delays.median_ms, growth.delays.max_ms),
                growth.bytes_per_s_at_rest,
                growth.bytes_per_order,
            );
            let _ = writeln!(
                text,
                "grow {seed} {loss}: {everywhere_ms:?} {at_rest} {for_one}"
            );
            // The time that the machine took is left out.
            let start = measure_catch_up(300, loss / 4.0, seed);
            let _ = writeln!(
                text,
                "catch up {seed} {loss}: {} {}",
                start.duration_ms, start.bytes
            );
        }
    }
    assert_golden(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/replication.txt"),
        &text,
    );
}
