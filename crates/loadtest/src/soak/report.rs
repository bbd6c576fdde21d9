//! What is printed of a play, and the logs that are kept of it.

use super::judge::Second;
use super::{Options, Outcome};
use std::path::Path;
use std::time::Duration;

const MAX_FINDINGS: usize = 20;

/// Prints a line for a play, and what was found in it.
pub fn print(outcome: &Outcome, options: &Options) {
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
    for finding in findings.iter().take(MAX_FINDINGS) {
        println!("  {finding}");
    }
    if !findings.is_empty() {
        print!("{}", course(outcome));
        println!(
            "  {} findings; again: dewrun-loadtest soak --plan {} --seeds {seed}..{seed} --seconds {}",
            findings.len(),
            options.plan.name(),
            options.duration.as_secs()
        );
    }
}

/// The seconds of a play, each with what reached the endpoints and the steps that were taken in it. A second in which less than
/// half was served has a mark.
pub fn course(outcome: &Outcome) -> String {
    let mut text = String::new();
    for (number, second) in outcome.seconds.iter().enumerate() {
        let mark = if second.has_fallen() { '!' } else { ' ' };
        let Second {
            served,
            ended,
            arrived,
        } = second;
        text += &format!(
            "  {mark} second {number}: {served} of {ended} served, at the endpoints {arrived:?}\n"
        );
        let is_within = |at: &Duration| at.as_secs() as usize == number;
        for (at, step) in outcome.steps.iter().filter(|(at, _)| is_within(at)) {
            text += &format!("      {:.3} s {step:?}\n", at.as_secs_f64());
        }
    }
    text
}

/// Writes the log of each process of a play to a folder.
pub fn write_logs(outcome: &Outcome, folder: &Path) {
    for (process, log) in outcome.logs.iter().enumerate() {
        let file = folder.join(format!("seed{}-{process}.log", outcome.seed));
        let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&file, log));
        if let Err(error) = written {
            println!("{}: {error}", file.display());
        }
    }
}
