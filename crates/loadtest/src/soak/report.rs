//! The printed report of a play, and its log files.

use super::judge::Second;
use super::{Options, Outcome};
use std::path::Path;
use std::time::Duration;

/// The maximum number of findings that are printed for a play.
const MAX_PRINTED_FINDINGS: usize = 20;

/// Prints a line with the result of a play, its findings, and, if there are any, the timeline and
/// the command that repeats the play.
pub fn print_outcome(outcome: &Outcome, options: &Options) {
    let Outcome {
        seed,
        deployment,
        requests,
        served,
        findings,
        ..
    } = outcome;
    let verdict = if findings.is_empty() { "ok" } else { "FAILED" };
    println!("seed {seed} {deployment:?}: {verdict}, {served} of {requests} requests served");
    for finding in findings.iter().take(MAX_PRINTED_FINDINGS) {
        println!("  {finding}");
    }
    if !findings.is_empty() {
        print!("{}", timeline(outcome));
        println!(
            "  {} findings; to repeat: dewrun-loadtest soak --plan {} --seeds {seed}..{seed} --seconds {}",
            findings.len(),
            options.plan.name(),
            options.duration.as_secs()
        );
    }
}

/// Returns a text with the seconds of a play, each with the number of requests that reached each
/// endpoint and the steps of that second. An exclamation mark shows a second in which less than
/// half of the requests were served.
pub fn timeline(outcome: &Outcome) -> String {
    let mut text = String::new();
    for (number, second) in outcome.seconds.iter().enumerate() {
        let mark = if second.is_degraded() { '!' } else { ' ' };
        let Second {
            served,
            completed,
            arrivals,
        } = second;
        text += &format!(
            "  {mark} second {number}: {served} of {completed} served, requests per endpoint {arrivals:?}\n"
        );
        let is_within = |at: &Duration| at.as_secs() as usize == number;
        for (at, step) in outcome.steps.iter().filter(|(at, _)| is_within(at)) {
            text += &format!("      {:.3} s {step:?}\n", at.as_secs_f64());
        }
    }
    text
}

/// Writes the log of each process number of a play to a file in a folder, and prints any error.
pub fn write_logs(outcome: &Outcome, folder: &Path) {
    for (process, log) in outcome.logs.iter().enumerate() {
        let file = folder.join(format!("seed{}-{process}.log", outcome.seed));
        let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&file, log));
        if let Err(error) = written {
            println!("cannot write {}: {error}", file.display());
        }
    }
}
