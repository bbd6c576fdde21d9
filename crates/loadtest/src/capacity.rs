//! Measures how memory, CPU time, messages and bytes grow along one axis at a time, and fits a line
//! and a power law to each series. `docs/CAPACITY.md` uses the slopes to compute the cost of an
//! installation of a given size.
//!
//! [`fit`] decides which of the two describes a series; the report states when a series is not
//! linear. Real processes on loopback give the cost of the data plane and the memory of the control
//! plane; simulated time gives the cost of whole fleets.

mod control;
mod data_plane;
pub mod fit;
mod membership;
mod plot;
mod process;
mod proxy;
pub mod report;
mod simulated;
mod stand_in;

use clap::{Args, ValueEnum};
use report::{Axis, Report};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// Default points of the axes of processes and of members.
const DEFAULT_POINTS: [usize; 6] = [50, 100, 200, 400, 800, 1_500];
/// Points per axis of a quick measurement.
const QUICK_POINTS: usize = 3;
/// Runs at each point of a full measurement.
const FULL_RUNS: usize = 3;

/// Command-line options of a capacity measurement.
#[derive(Args)]
pub struct Options {
    /// Write the report (JSON) to this file
    #[arg(long)]
    out: PathBuf,
    /// Write a plot of every series (SVG) to this file
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Path of the dewrun executable
    #[arg(long, default_value = "target/release/dewrun")]
    dewrun: String,
    /// Only measure this group of axes; may be given more than once
    #[arg(long, value_enum)]
    only: Vec<Group>,
    /// Measure fewer points with one run each, to check that the measurement works
    #[arg(long)]
    quick: bool,
}

/// Axes that are measured together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Group {
    /// A real proxy, by the number of services
    Pools,
    /// A real proxy, by the members of one service
    Members,
    /// A real proxy, by the request rate
    Rate,
    /// A real proxy with a fleet compared with one without, by entries and by budgets
    Control,
    /// Simulated leases, by processes and by budgets
    Budgets,
    /// The simulated store, by processes and by entries
    Entries,
    /// Changes of the simulated store
    Changes,
    /// Simulated membership, by processes
    Membership,
}

/// The number of points along each axis, and of runs at each point.
pub struct Sampling {
    is_quick: bool,
    /// Runs, or seeds, at each point.
    runs: usize,
}

impl Sampling {
    fn new(is_quick: bool) -> Sampling {
        Sampling {
            is_quick,
            runs: if is_quick { 1 } else { FULL_RUNS },
        }
    }

    /// Returns the points of an axis to measure; only the first few if the measurement is quick.
    fn points(&self, all: &[usize]) -> Vec<usize> {
        let max_count = if self.is_quick {
            QUICK_POINTS
        } else {
            all.len()
        };
        all.iter().copied().take(max_count).collect()
    }

    fn default_points(&self) -> Vec<usize> {
        self.points(&DEFAULT_POINTS)
    }
}

impl Group {
    fn measure(self, program: &str, sampling: &Sampling) -> Vec<Axis> {
        match self {
            Group::Pools => data_plane::pools(program, sampling),
            Group::Members => data_plane::members(program, sampling),
            Group::Rate => data_plane::rate(program, sampling),
            Group::Control => control::control(program, sampling),
            Group::Budgets => simulated::budgets(sampling),
            Group::Entries => simulated::entries(sampling),
            Group::Changes => simulated::changes(sampling),
            Group::Membership => membership::membership(sampling),
        }
    }
}

/// Measures the chosen groups, prints a table, and writes the report and the plot. The exit code is
/// 2 if they cannot be written.
pub fn run(options: &Options) -> ExitCode {
    let sampling = Sampling::new(options.quick);
    let mut report = Report {
        machine: process::describe_machine(),
        quick: options.quick,
        max_residual_ratio: fit::MAX_RESIDUAL_RATIO,
        axes: Vec::new(),
    };
    let is_chosen = |group: &&Group| options.only.is_empty() || options.only.contains(group);
    for group in Group::value_variants().iter().filter(is_chosen) {
        let started = Instant::now();
        report
            .axes
            .extend(group.measure(&options.dewrun, &sampling));
        eprintln!(
            "dewrun-loadtest: {group:?} took {:.0} s",
            started.elapsed().as_secs_f64()
        );
    }
    print!("{}", report.to_text());
    let written = std::fs::write(&options.out, report.to_json()).map_err(|e| e.to_string());
    let plotted = options
        .plot
        .as_ref()
        .map(|path| plot::plot(&report, path))
        .transpose();
    match written.and(plotted) {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewrun-loadtest: {error}");
            ExitCode::from(2)
        }
    }
}
