//! `dewrun-simulate`, a command that runs the simulations and prints their results.

use clap::{Args, Parser, Subcommand, ValueEnum};
use dewrun_balancer::EffectClass;
use dewrun_fleet::simulation::{Case, Settings};
use dewrun_simulation::budgets::{compare_methods, cost};
use dewrun_simulation::matrix::{judge, FaultyMembers, MatrixCell, FAULTS};
use dewrun_simulation::membership;
use dewrun_simulation::other_balancers::OtherBalancer;
use dewrun_simulation::replication::{measure_catch_up, measure_orders};
use dewrun_simulation::report::{json, svg, text, Row};
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

/// Simulations of the balancer and the fleet in virtual time
#[derive(Parser)]
#[command(name = "dewrun-simulate", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Who {
    /// The balancer of dewrun alone
    #[value(name = "module")]
    Balancer,
    /// The balancer of dewrun and the models of other balancers
    All,
}

#[derive(Subcommand)]
enum Command {
    /// Run faults against pool sizes, loads and effect classes
    Matrix {
        /// Balancers to run
        #[arg(long, value_enum, default_value_t = Who::Balancer)]
        who: Who,
        /// Only the fault of this name
        #[arg(long)]
        trouble: Option<String>,
        /// Only pools with this number of members
        #[arg(long)]
        members: Option<u32>,
        /// Number of instances that share the load
        #[arg(long, default_value_t = 1)]
        instances: u32,
        /// Seed of the random numbers
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print only cells that served less than this fraction in time or violated a rule
        #[arg(long)]
        below: Option<f64>,
        /// Write all rows as JSON to this file
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write a heat map in SVG to this file
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Simulate replication: the delay of an order to all processes, and the cost of catching up
    Replication {
        /// Also simulate fleets of 1,000 and 10,000 processes, which takes minutes
        #[arg(long)]
        scale: bool,
    },
    /// Compare methods to divide a total among processes
    Budgets {
        /// Seed of the random numbers
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Measure the cost of leases by fleet size instead
        #[arg(long)]
        scale: bool,
    },
    /// Simulate the membership protocol of a fleet: starts, restarts, packet loss and partitions
    Membership(MembershipArgs),
}

#[derive(Args)]
struct MembershipArgs {
    /// Number of processes in the fleet
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(2..=100_000))]
    processes: u32,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Fraction of the packets that is lost
    #[arg(long, default_value_t = 0.0, value_parser = parse_fraction)]
    loss: f64,
    /// Only the cases of these names, separated by commas
    #[arg(long, value_delimiter = ',')]
    case: Vec<Case>,
    /// Write all rows as JSON to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Parses a number from 0 to 1.
fn parse_fraction(text: &str) -> Result<f64, String> {
    let number: f64 = text.parse().map_err(|error| format!("{error}"))?;
    (0.0..=1.0)
        .contains(&number)
        .then_some(number)
        .ok_or_else(|| "not from 0 to 1".to_string())
}

/// Runs the membership cases. The exit code is 1 if a bound was exceeded, and 2 if the output file
/// could not be written.
fn run_membership(args: &MembershipArgs) -> ExitCode {
    let MembershipArgs {
        processes,
        seed,
        loss,
        case,
        json,
    } = args;
    let settings = Settings {
        processes: *processes as usize,
        seed: *seed,
        loss: *loss,
    };
    let cases = if case.is_empty() {
        &Case::ALL[..]
    } else {
        case
    };
    let reports = membership::run_all(cases, settings, |case, elapsed| {
        eprintln!("{case}: {:.1} s of real time", elapsed.as_secs_f64());
    });
    print!("{}", membership::text(&reports));
    if let Some(file) = json {
        if let Err(error) = std::fs::write(file, membership::json(&reports)) {
            eprintln!("dewrun-simulate: {}: {error}", file.display());
            return ExitCode::from(2);
        }
    }
    ExitCode::from(u8::from(!reports.iter().all(membership::Report::passed)))
}

fn run_replication(scale: bool) {
    println!("processes  lost  everywhere after ms, median and most  bytes/s at rest each  bytes for one order each");
    let large_fleets: &[usize] = if scale { &[1_000, 10_000] } else { &[] };
    for processes in [3, 12, 40, 300].iter().chain(large_fleets) {
        for loss in [0.0, 0.2] {
            let orders = if *processes > 300 { 3 } else { 20 };
            let cost = measure_orders(*processes, loss, orders, *processes as u64);
            let (median, max) = (cost.delays.median_ms, cost.delays.max_ms);
            println!(
                "{processes:>9} {loss:>5} {median:>24.0} {max:>12.0} {:>21.0} {:>25.0}",
                cost.bytes_per_s_at_rest, cost.bytes_per_order
            );
        }
    }
    println!("\nentries  lost  caught up after ms    bytes  ns to take one in");
    for entries in [10, 100, 1_000, 10_000, 100_000] {
        for loss in [0.0, 0.05] {
            let cost = measure_catch_up(entries, loss, 1);
            println!(
                "{entries:>7} {loss:>5} {:>19.0} {:>8} {:>18.0}",
                cost.duration_ms, cost.bytes, cost.merge_ns
            );
        }
    }
}

fn run_budgets(seed: u64, scale: bool) {
    if scale {
        println!(
            "processes  budgets  messages/s each  us of processor/s each  s until divided anew"
        );
        for (processes, budgets) in [
            (12, 1),
            (12, 100),
            (300, 1),
            (300, 100),
            (1_000, 1),
            (10_000, 1),
        ] {
            let cost = cost(processes, budgets, seed);
            let recovery = cost.recovery_s.map_or("-".into(), |s| format!("{s:.1}"));
            println!(
                "{processes:>9} {budgets:>8} {:>16.1} {:>23.0} {recovery:>21}",
                cost.messages, cost.cpu_us
            );
        }
        return;
    }
    let methods = compare_methods(seed);
    print!("{:<46}", "spent (most believed), as parts of the whole");
    methods
        .iter()
        .for_each(|method| print!("{:>18}", method.name));
    println!();
    for n in 0..methods[0].phases.len() {
        print!("{:<46}", methods[0].phases[n].name);
        for method in &methods {
            let phase = &method.phases[n];
            print!(
                "{:>18}",
                format!("{:.2} ({:.2})", phase.spent, phase.peak_share_sum)
            );
        }
        println!();
    }
}

fn select_cells(trouble: Option<&str>, members: Option<u32>, instances: u32) -> Vec<MatrixCell> {
    let mut cells = Vec::new();
    for fault in FAULTS
        .into_iter()
        .filter(|fault| trouble.is_none_or(|name| name == fault.0))
    {
        for members in [2, 3, 10, 50]
            .into_iter()
            .filter(|n| members.is_none_or(|selected| selected == *n))
        {
            for faulty in [
                FaultyMembers::One,
                FaultyMembers::Half,
                FaultyMembers::AllButOne,
                FaultyMembers::All,
            ] {
                // With two or three members, some of the fractions are the same number of members.
                let is_duplicate = matches!(
                    (members, faulty),
                    (2, FaultyMembers::Half | FaultyMembers::AllButOne) | (3, FaultyMembers::Half)
                );
                for load in [0.0, 0.3, 0.8].into_iter().filter(|_| !is_duplicate) {
                    for effect in [
                        EffectClass::Idempotent,
                        EffectClass::Keyed,
                        EffectClass::NonIdempotent,
                    ] {
                        cells.push(MatrixCell {
                            fault,
                            members,
                            faulty,
                            load,
                            effect,
                            instances,
                        });
                    }
                }
            }
        }
    }
    cells
}

/// Returns the word for an effect class in the printed table, in JSON and in the heat map.
fn effect_name(effect: EffectClass) -> &'static str {
    match effect {
        EffectClass::Idempotent => "Repeatable",
        EffectClass::Keyed => "Keyed",
        EffectClass::NonIdempotent => "Once",
    }
}

fn run_cell(cell: &MatrixCell, balancer: Option<OtherBalancer>, seed: u64) -> Row {
    let record = match balancer {
        None => cell.run_balancer(seed),
        Some(balancer) => cell.run_other_balancer(balancer, seed),
    };
    let load = if cell.load > 0.0 {
        format!("{}", cell.load)
    } else {
        "1/s".into()
    };
    Row {
        decider: balancer.map_or("dewrun", OtherBalancer::name).into(),
        fault: cell.fault.0.into(),
        setting: format!(
            "{}, {:?}, {load}, {}",
            cell.members,
            cell.faulty,
            effect_name(cell.effect)
        ),
        verdict: judge(cell, &record),
    }
}

fn main() -> ExitCode {
    let (who, trouble, members, instances, seed, below, to_json, to_svg) =
        match Cli::parse().command {
            Command::Matrix {
                who,
                trouble,
                members,
                instances,
                seed,
                below,
                json,
                svg,
            } => (who, trouble, members, instances, seed, below, json, svg),
            Command::Replication { scale } => {
                run_replication(scale);
                return ExitCode::SUCCESS;
            }
            Command::Budgets { seed, scale } => {
                run_budgets(seed, scale);
                return ExitCode::SUCCESS;
            }
            Command::Membership(args) => return run_membership(&args),
        };
    let cells = select_cells(trouble.as_deref(), members, instances.clamp(1, 1_000));
    if cells.is_empty() {
        eprintln!("dewrun-simulate: no cell of the matrix matches the options");
        return ExitCode::from(2);
    }
    let other_balancers = OtherBalancer::ALL
        .into_iter()
        .map(Some)
        .filter(|_| who == Who::All);
    let jobs: Vec<(MatrixCell, Option<OtherBalancer>)> = cells
        .iter()
        .flat_map(|cell| {
            std::iter::once(None)
                .chain(other_balancers.clone())
                .map(|balancer| (*cell, balancer))
        })
        .collect();
    let threads = thread::available_parallelism().map_or(1, usize::from);
    let jobs_per_thread = jobs.len().div_ceil(threads);
    let rows: Vec<Row> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|thread_index| {
                let jobs = &jobs;
                // Each thread takes every n-th job, so that the long cells are distributed evenly.
                scope.spawn(move || -> Vec<(usize, Row)> {
                    let own_jobs = jobs
                        .iter()
                        .enumerate()
                        .skip(thread_index)
                        .step_by(threads)
                        .take(jobs_per_thread);
                    own_jobs
                        .map(|(n, (cell, balancer))| (n, run_cell(cell, *balancer, seed)))
                        .collect()
                })
            })
            .collect();
        let mut rows: Vec<_> = workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect();
        rows.sort_by_key(|(n, _)| *n);
        rows.into_iter().map(|(_, row)| row).collect()
    });
    let shown: Vec<Row> = rows
        .iter()
        .filter(|row| {
            below.is_none_or(|threshold| {
                row.verdict.served_fraction() < threshold || row.verdict.violations > 0
            })
        })
        .cloned()
        .collect();
    print!("{}", text(&shown));
    println!("{} cells, {} shown", rows.len(), shown.len());
    let written = to_json
        .map(|file| std::fs::write(file, json(&rows)).map_err(|e| e.to_string()))
        .transpose();
    let drawn = to_svg
        .map(|file| {
            svg(&rows).and_then(|drawn| std::fs::write(file, drawn).map_err(|e| e.to_string()))
        })
        .transpose();
    match written.and(drawn) {
        Ok(_) => ExitCode::from(u8::from(rows.iter().any(|row| row.verdict.violations > 0))),
        Err(error) => {
            eprintln!("dewrun-simulate: {error}");
            ExitCode::from(2)
        }
    }
}
