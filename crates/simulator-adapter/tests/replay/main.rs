//! Replays seeded batches of every event through the simulator adapter and compares a hash of its
//! replies with the one that an earlier build gave: decisions must not change while the code is
//! reorganized.
//!
//! The test speaks the adapter's bytes and none of its types, so it reads the same whatever the
//! code calls things. The text of log records is left out of the hash; that a line was written, by
//! which instance and in which place, is not.

mod adapter;
mod generator;
mod random;

use adapter::{Adapter, Reply};
use dewrun_test_support::assert_golden;
use generator::Deployment;
use std::fmt::Write as _;
use std::path::Path;

/// Deployments that are played, each with settings of its own.
const DEPLOYMENTS: u64 = 48;
/// Batches for each deployment.
const BATCHES: usize = 600;

/// What one deployment's replies come to.
#[derive(Default)]
struct Tally {
    sends: usize,
    refusals: usize,
    failures: usize,
    cancels: usize,
    timers: usize,
    log_lines: usize,
}

impl Tally {
    fn count(&mut self, reply: &Reply) {
        match reply {
            Reply::Send { .. } => self.sends += 1,
            Reply::Refuse { .. } => self.refusals += 1,
            Reply::Fail { .. } => self.failures += 1,
            Reply::Cancel { .. } => self.cancels += 1,
            Reply::SetTimer { .. } => self.timers += 1,
            Reply::Log => self.log_lines += 1,
            Reply::Other => {}
        }
    }
}

fn play(seed: u64) -> String {
    let mut deployment = Deployment::new(seed);
    let mut adapter = Adapter::start();
    let mut hasher = blake3::Hasher::new();
    let mut tally = Tally::default();
    for _ in 0..BATCHES {
        let batch = deployment.next_batch();
        let answer = adapter.exchange(&batch);
        hasher.update(&answer.bytes_without_log_text);
        for (instance, reply) in answer.replies {
            tally.count(&reply);
            deployment.take(instance, &reply);
        }
    }
    let Tally {
        sends,
        refusals,
        failures,
        cancels,
        timers,
        log_lines,
    } = tally;
    format!(
        "seed {seed}: {} sends {sends} refusals {refusals} failures {failures} cancels {cancels} timers {timers} \
         log lines {log_lines}",
        hasher.finalize().to_hex()
    )
}

#[test]
fn decisions_are_the_same_as_those_of_the_build_that_wrote_the_golden_file() {
    let mut text = String::new();
    for seed in 1..=DEPLOYMENTS {
        let _ = writeln!(text, "{}", play(seed));
    }
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/replay.txt");
    assert_golden(Path::new(file), &text);
}

#[test]
fn one_seed_gives_one_outcome() {
    assert_eq!(play(1), play(1));
}
