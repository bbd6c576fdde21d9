//! Replays seeded batches of events of every kind through the simulator adapter, and compares a
//! hash of the replies with that of an earlier build: decisions must not change while the code is
//! reorganized.
//!
//! The test uses the bytes of the wire format and no types of the adapter, so that renames in the
//! code don't affect it. The hash leaves out the text of log records, but includes which instance
//! wrote each record and its place among the other records.

mod adapter;
mod generator;
mod random;

use adapter::{Adapter, ReplyRecord};
use dewrun_test_support::assert_golden;
use generator::Deployment;
use std::fmt::Write as _;
use std::path::Path;

/// Number of deployments to replay, each with settings of its own.
const DEPLOYMENTS: u64 = 48;
/// Number of batches for each deployment.
const BATCHES: usize = 600;

/// Counts of the records in the replies to one deployment.
#[derive(Default)]
struct RecordCounts {
    sends: usize,
    refusals: usize,
    failures: usize,
    cancels: usize,
    timers: usize,
    log_lines: usize,
}

impl RecordCounts {
    fn add(&mut self, record: &ReplyRecord) {
        match record {
            ReplyRecord::Send { .. } => self.sends += 1,
            ReplyRecord::Reject { .. } => self.refusals += 1,
            ReplyRecord::Fail { .. } => self.failures += 1,
            ReplyRecord::Cancel { .. } => self.cancels += 1,
            ReplyRecord::SetTimer { .. } => self.timers += 1,
            ReplyRecord::Log => self.log_lines += 1,
            ReplyRecord::Other => {}
        }
    }
}

fn replay(seed: u64) -> String {
    let mut deployment = Deployment::new(seed);
    let mut adapter = Adapter::start();
    let mut hasher = blake3::Hasher::new();
    let mut counts = RecordCounts::default();
    for _ in 0..BATCHES {
        let batch = deployment.next_batch();
        let reply = adapter.exchange(&batch);
        hasher.update(&reply.bytes_without_log_text);
        for (instance, record) in reply.records {
            counts.add(&record);
            deployment.apply_record(instance, &record);
        }
    }
    let RecordCounts {
        sends,
        refusals,
        failures,
        cancels,
        timers,
        log_lines,
    } = counts;
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
        let _ = writeln!(text, "{}", replay(seed));
    }
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/replay.txt");
    assert_golden(Path::new(file), &text);
}

#[test]
fn the_same_seed_gives_the_same_replies() {
    assert_eq!(replay(1), replay(1));
}
