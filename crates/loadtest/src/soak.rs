//! Soak runs. Each seed of a run gives a schedule, which is played against real processes on
//! loopback, with simulated clients in front of them and simulated endpoints behind them. The
//! records of the play are then checked for faults.
//!
//! [`schedule`] draws the steps and their times, and [`disturbance`] adds kills, restarts and
//! outages to them. [`client`] has the clients, [`stand_in`] the endpoints and [`discovery`] the
//! discovery service. `site` starts the processes under test, in one of two [`Deployment`]s, and
//! executes the steps. [`judge`] checks the [`records`].
//!
//! The same seed draws the same schedule. The result of a play also depends on the speed of the
//! machine.

pub mod client;
pub mod cold_start;
pub mod discovery;
pub mod disturbance;
mod files;
pub mod judge;
pub mod notification;
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

/// The kinds of steps that the schedule of a seed has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Plan {
    /// Reloads, list changes, closed watches, bursts of connections and endpoint faults; each
    /// process runs until the end.
    #[default]
    Reloads,
    /// The same steps, and between them drains, kills and restarts of processes, series of signals,
    /// discovery outages and endpoint restarts.
    Kills,
}

impl Plan {
    /// Returns the name of the plan on the command line.
    fn name(self) -> String {
        let value = self.to_possible_value().expect("no plan is skipped");
        value.get_name().to_string()
    }

    /// Draws the schedule of a seed.
    pub fn draw_schedule(self, seed: u64, duration: Duration) -> Schedule {
        let schedule = Schedule::draw(seed, duration);
        match self {
            Plan::Reloads => schedule,
            Plan::Kills => schedule.with_disturbances(Disturbances::draw(
                seed,
                Deployment::for_seed(seed),
                duration,
            )),
        }
    }
}

/// The options of a soak run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The path of the program under test.
    pub dewrun: String,
    /// The plan from which the schedules are drawn.
    pub plan: Plan,
    /// The seeds, each of which is played once.
    pub seeds: RangeInclusive<u64>,
    /// How long clients send requests before the shutdown of the processes begins.
    pub duration: Duration,
    /// After this time no further seed is started.
    pub time_limit: Duration,
    /// The folder for the logs of the processes; `None` writes none.
    pub logs: Option<PathBuf>,
}

/// The result of playing one seed.
#[derive(Debug)]
pub struct Outcome {
    /// The seed of the schedule.
    pub seed: u64,
    /// The deployment that the seed was played against.
    pub deployment: Deployment,
    /// The number of requests that clients sent.
    pub requests: usize,
    /// The number of requests that got a response with status 200.
    pub served: usize,
    /// The steps, each with its time since the start of the play.
    pub steps: Vec<(Duration, Step)>,
    /// The counts of each second.
    pub seconds: Vec<Second>,
    /// The findings of the judge.
    pub findings: Vec<Finding>,
    /// The logs, one for each process number.
    pub logs: Vec<String>,
}

/// Plays one seed and judges the records.
pub fn play(dewrun: &str, plan: Plan, seed: u64, duration: Duration) -> Outcome {
    let deployment = Deployment::for_seed(seed);
    let schedule = plan.draw_schedule(seed, duration);
    let records =
        site::Site::start(dewrun, deployment, schedule.is_discovery_polled).play(&schedule);
    Outcome {
        seed,
        deployment,
        requests: records.calls.len(),
        served: records.served_count(),
        findings: judge::judge(&records),
        seconds: judge::seconds(&records),
        steps: records.steps,
        logs: records.logs,
    }
}

/// The error that the program under test cannot be started.
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

/// Checks that a program can be started.
fn check_program(program: &str) -> Result<(), ProgramError> {
    let started = Command::new(program).arg("--version").output();
    let checked = started.map(|_| ());
    checked.map_err(|source| ProgramError {
        program: program.to_string(),
        source,
    })
}

/// Plays the seeds one after the other, prints the report of each, and writes its logs if the
/// options name a folder. Returns whether there were no findings.
///
/// # Errors
///
/// Returns an error if the program under test cannot be started.
pub fn run(options: &Options) -> Result<bool, ProgramError> {
    check_program(&options.dewrun)?;
    let started_at = Instant::now();
    let (mut played, mut failed) = (0, 0);
    for seed in options.seeds.clone() {
        if started_at.elapsed() >= options.time_limit {
            println!("the time limit is reached; not played: seeds from {seed} on");
            break;
        }
        let outcome = play(&options.dewrun, options.plan, seed, options.duration);
        played += 1;
        failed += usize::from(!outcome.findings.is_empty());
        report::print_outcome(&outcome, options);
        if let Some(folder) = &options.logs {
            report::write_logs(&outcome, folder);
        }
    }
    println!("{played} seeds played, {failed} failed");
    Ok(failed == 0)
}
