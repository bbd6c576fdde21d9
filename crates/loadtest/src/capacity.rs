//! How cost grows: memory, processor time, messages and bytes along one axis at a time, with a
//! straight line and a power fitted to each figure. `docs/CAPACITY.md` works out the figures of an
//! installation of some size from these slopes.
//!
//! [`fit`] says which of the two the points are; points that are no straight line are told as such.
//! Real processes on loopback give the figures of the data plane and the memory of control;
//! simulated time gives those of whole fleets.

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

/// The sizes along the axes of processes, members and entries.
const USUAL: [usize; 6] = [50, 100, 200, 400, 800, 1_500];
/// Points and runs of a quick measure.
const QUICK_POINTS: usize = 3;
const RUNS: usize = 3;

/// What is measured, and where the figures go.
#[derive(Args)]
pub struct Options {
    /// Write the report (JSON)
    #[arg(long)]
    out: PathBuf,
    /// Write a plot of every figure (SVG)
    #[arg(long)]
    plot: Option<PathBuf>,
    /// The program
    #[arg(long, default_value = "target/release/dewrun")]
    dewrun: String,
    /// Only this; may be given more than once
    #[arg(long, value_enum)]
    only: Vec<Group>,
    /// Fewer points and one run each, to see that it works
    #[arg(long)]
    quick: bool,
}

/// Axes that are measured together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Group {
    /// A real proxy by the services before which it stands
    Pools,
    /// A real proxy by the members of one service
    Members,
    /// A real proxy by the rate at which it is asked
    Rate,
    /// A real proxy with a fleet beside one without
    Control,
    /// Simulated leases by processes and by budgets
    Budgets,
    /// The simulated store by processes and by entries
    Entries,
    /// Changes of the simulated store
    Changes,
    /// Simulated membership by processes
    Membership,
}

/// How many points along each axis, and how many runs at each.
pub struct Sizes {
    quick: bool,
    /// Runs, or seeds, at each point.
    runs: usize,
}

impl Sizes {
    fn new(quick: bool) -> Sizes {
        Sizes {
            quick,
            runs: if quick { 1 } else { RUNS },
        }
    }

    /// The points of an axis; the first few where it is to be quick.
    fn of(&self, all: &[usize]) -> Vec<usize> {
        let most = if self.quick { QUICK_POINTS } else { all.len() };
        all.iter().copied().take(most).collect()
    }

    fn usual(&self) -> Vec<usize> {
        self.of(&USUAL)
    }
}

impl Group {
    fn measure(self, program: &str, sizes: &Sizes) -> Vec<Axis> {
        match self {
            Group::Pools => data_plane::pools(program, sizes),
            Group::Members => data_plane::members(program, sizes),
            Group::Rate => data_plane::rate(program, sizes),
            Group::Control => control::control(program, sizes),
            Group::Budgets => simulated::budgets(sizes),
            Group::Entries => simulated::entries(sizes),
            Group::Changes => simulated::changes(sizes),
            Group::Membership => membership::membership(sizes),
        }
    }
}

/// Measures, prints a table and writes the report; exits with 2 if it can't be written.
pub fn run(options: &Options) -> ExitCode {
    let sizes = Sizes::new(options.quick);
    let mut report = Report {
        machine: process::machine(),
        quick: options.quick,
        residual_most: fit::RESIDUAL_MOST,
        axes: Vec::new(),
    };
    let chosen = |group: &&Group| options.only.is_empty() || options.only.contains(group);
    for group in Group::value_variants().iter().filter(chosen) {
        let begun = Instant::now();
        report.axes.extend(group.measure(&options.dewrun, &sizes));
        eprintln!(
            "dewrun-loadtest: {group:?} took {:.0} s",
            begun.elapsed().as_secs_f64()
        );
    }
    print!("{}", report.text());
    let written = std::fs::write(&options.out, report.json()).map_err(|e| e.to_string());
    let drawn = options
        .plot
        .as_ref()
        .map(|path| plot::plot(&report, path))
        .transpose();
    match written.and(drawn) {
        Ok(_) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("dewrun-loadtest: {why}");
            ExitCode::from(2)
        }
    }
}
