//! A soak of real processes on loopback: a schedule drawn from a seed, stand-ins on both sides, and
//! a judge that knows only what these saw.
//!
//! [`schedule`] draws what happens and when. [`stand_in`] is the endpoints, [`client`] the clients,
//! `site` has the processes between them, in one of two [`Deployment`]s. [`judge`] reads the records.
//!
//! The same seed draws the same schedule; what the processes make of it depends on the machine.

pub mod client;
pub mod cold;
pub mod discovery;
pub mod disturbance;
mod files;
pub mod judge;
pub mod notice;
mod process;
pub mod records;
pub mod report;
pub mod schedule;
mod site;
pub mod stand_in;

use clap::ValueEnum;
use disturbance::Disturbances;
use judge::{Finding, Second};
use schedule::{Schedule, Step};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};
use std::{fmt, io};

/// How the processes under test are deployed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// One process with the configuration and the discovery service of the platform.
    Platform,
    /// Two processes of an operator's installation that form a fleet.
    Fleet,
}

impl Deployment {
    /// Returns the deployment that a seed is played against.
    fn for_seed(seed: u64) -> Deployment {
        if seed % 2 == 0 {
            Deployment::Platform
        } else {
            Deployment::Fleet
        }
    }

    /// Returns the number of processes of the deployment.
    pub fn process_count(self) -> usize {
        match self {
            Deployment::Platform => 1,
            Deployment::Fleet => 2,
        }
    }
}

/// What a seed is played as.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Plan {
    /// Each process runs until the end.
    #[default]
    Reloads,
    /// The same steps, and between them processes are killed, restarted and get signals in series.
    Kills,
}

impl Plan {
    /// Its name on the command line.
    fn name(self) -> String {
        let value = self.to_possible_value().expect("no plan is skipped");
        value.get_name().to_string()
    }

    /// The schedule of a seed.
    pub fn draw(self, seed: u64, duration: Duration) -> Schedule {
        let schedule = Schedule::draw(seed, duration);
        match self {
            Plan::Reloads => schedule,
            Plan::Kills => schedule.with(Disturbances::draw(seed, Deployment::for_seed(seed), duration)),
        }
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program under test.
    pub dewrun: String,
    /// What the seeds are played as.
    pub plan: Plan,
    /// The seeds, each of which is played once.
    pub seeds: RangeInclusive<u64>,
    /// For how long clients call before the shutdown.
    pub duration: Duration,
    /// No seed is begun after this time.
    pub limit: Duration,
    /// Where the logs of the processes are written, if anywhere.
    pub logs: Option<PathBuf>,
}

/// What came of one seed.
#[derive(Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// The deployment that the seed was played against.
    pub deployment: Deployment,
    /// Requests that clients sent.
    pub requests: usize,
    /// Those answered with 200.
    pub served: usize,
    /// The steps, each with when it was taken.
    pub steps: Vec<(Duration, Step)>,
    /// What was served in each second.
    pub seconds: Vec<Second>,
    /// What the judge found.
    pub findings: Vec<Finding>,
    /// The logs of the processes.
    pub logs: Vec<String>,
}

/// Plays one seed.
pub fn play(dewrun: &str, plan: Plan, seed: u64, duration: Duration) -> Outcome {
    let deployment = Deployment::for_seed(seed);
    let schedule = plan.draw(seed, duration);
    let records = site::Site::start(dewrun, deployment, schedule.is_polled).play(&schedule);
    Outcome {
        seed,
        deployment,
        requests: records.calls.len(),
        served: records.served(),
        findings: judge::judge(&records),
        seconds: judge::seconds(&records),
        steps: records.steps,
        logs: records.logs,
    }
}

/// The program under test cannot be started.
#[derive(Debug)]
pub struct ProgramError {
    program: String,
    source: io::Error,
}

impl fmt::Display for ProgramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ProgramError { program, source } = self;
        write!(
            f,
            "cannot start {program}: {source}; name the program with --dewrun"
        )
    }
}

impl std::error::Error for ProgramError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// Whether a program can be started at all.
fn check_program(program: &str) -> Result<(), ProgramError> {
    let started = Command::new(program).arg("--version").output();
    let checked = started.map(|_| ());
    checked.map_err(|source| ProgramError {
        program: program.to_string(),
        source,
    })
}

/// Plays the seeds one after the other, and prints a line for each. True if nothing was found.
///
/// # Errors
///
/// The program under test cannot be started.
pub fn run(options: &Options) -> Result<bool, ProgramError> {
    check_program(&options.dewrun)?;
    let begun = Instant::now();
    let (mut played, mut failed) = (0, 0);
    for seed in options.seeds.clone() {
        if begun.elapsed() >= options.limit {
            println!("not played for want of time: seeds from {seed} on");
            break;
        }
        let outcome = play(&options.dewrun, options.plan, seed, options.duration);
        played += 1;
        failed += usize::from(!outcome.findings.is_empty());
        report::print(&outcome, options);
        if let Some(folder) = &options.logs {
            report::write_logs(&outcome, folder);
        }
    }
    println!("{played} seeds played, {failed} failed");
    Ok(failed == 0)
}
