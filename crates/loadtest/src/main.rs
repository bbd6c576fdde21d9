//! `dewrun-loadtest`: load on loopback, and what dewrun costs beside its baselines.

use clap::{Parser, Subcommand};
use dewrun_loadtest::baseline::{forwarder, relay};
use dewrun_loadtest::capacity;
use dewrun_loadtest::drill;
use dewrun_loadtest::hollow;
use dewrun_loadtest::load::{run, Pace, Plan, Run};
use dewrun_loadtest::soak;
use dewrun_test_support::{free_address, ok, quick, Daemon};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Load for dewrun, on loopback alone, bounded in count and time.
#[derive(Parser)]
#[command(name = "dewrun-loadtest", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure how memory, processor time, messages and bytes grow with the size of an
    /// installation and its fleet
    Capacity(capacity::Options),
    /// Ask one address
    Load {
        /// Who is asked; a loopback address
        address: SocketAddr,
        /// How many connections
        #[arg(long, default_value_t = 8)]
        callers: usize,
        /// Requests a second in an open loop; a closed loop without it
        #[arg(long)]
        rate: Option<f64>,
        /// For how long, in seconds
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
    /// Play a fleet of real processes with faults between them
    ///
    /// Exits with 1 if a rule or the budget was broken, and with 3 if the machine was too slow for
    /// a verdict.
    Drill {
        /// A schedule (TOML); one is drawn from the seed without it
        file: Option<PathBuf>,
        /// The program
        #[arg(long, default_value = "target/release/dewrun")]
        dewrun: String,
        /// For what is left to chance
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many processes a drawn schedule has
        #[arg(long, default_value_t = 8)]
        processes: usize,
        /// How long a drawn schedule lasts
        #[arg(long, default_value_t = 30.0)]
        seconds: f64,
        /// Divide by rank in place of leases, to compare with
        #[arg(long)]
        by_rank: bool,
        /// Print a line of JSON a second in place of the table
        #[arg(long)]
        json: bool,
        /// Write the log of each process to this folder
        #[arg(long)]
        logs: Option<PathBuf>,
        /// Write a plot (SVG)
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Play a large fleet: a few real processes among many hollow ones
    ///
    /// Exits with 1 if a process was not seen as it is to be, and with 3 if the machine was too
    /// slow for a verdict.
    Hollow {
        /// How many processes in all
        #[arg(long, default_value_t = 300)]
        processes: usize,
        /// How many of them are real
        #[arg(long, default_value_t = 5)]
        real: usize,
        /// For what is left to chance
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How long all of it may take
        #[arg(long, default_value_t = 300)]
        seconds: u64,
        /// How often hollow processes look what is due, in milliseconds
        #[arg(long, default_value_t = hollow::TICK.as_millis() as u64)]
        tick_ms: u64,
        /// Play this fault alone
        #[arg(long)]
        fault: Option<hollow::Fault>,
        /// Write lines of JSON to this file
        #[arg(long)]
        json: Option<PathBuf>,
        /// The program
        #[arg(long, default_value = "target/release/dewrun")]
        dewrun: String,
    },
    /// Play seeded schedules of reloads, list changes, faults and signals against real processes
    ///
    /// Exits with 1 if anything was found, and with 2 if the program cannot be started.
    Soak {
        /// What the seeds are played as
        #[arg(long, value_enum, default_value_t)]
        plan: soak::Plan,
        /// The seeds, as A..B: both are played
        #[arg(long, value_parser = parse_seeds, default_value = "1..10")]
        seeds: RangeInclusive<u64>,
        /// How long clients call before the shutdown, in seconds
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// No seed is begun after so many minutes
        #[arg(long, default_value_t = 60)]
        minutes: u64,
        /// Write the logs of the processes to this folder
        #[arg(long)]
        logs: Option<PathBuf>,
        /// The program
        #[arg(long, default_value = "target/release/dewrun")]
        dewrun: String,
    },
    /// Compare a dewrun with a byte relay and a bare forwarder, in turn
    Paths {
        /// The program
        dewrun: String,
        /// How many connections
        #[arg(long, default_value_t = 8)]
        callers: usize,
        /// How many rounds
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// How long each run, in seconds
        #[arg(long, default_value_t = 2)]
        seconds: u64,
    },
}

fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let parsed = text
        .split_once("..")
        .and_then(|(first, last)| Some(first.parse().ok()?..=last.parse().ok()?));
    parsed
        .filter(|seeds| !seeds.is_empty())
        .ok_or_else(|| format!("{text:?} is not two numbers in order, as 1..50"))
}

const SPAN_MOST: u64 = 600;
const REQUESTS_MOST: u64 = 100_000_000;

fn get(_: u64) -> String {
    "GET /x HTTP/1.1\r\nHost: rig\r\n\r\n".into()
}

fn asked(address: SocketAddr, callers: usize, pace: Pace, seconds: u64) -> Run {
    let span = Duration::from_secs(seconds.clamp(1, SPAN_MOST));
    run(&Plan {
        address,
        clients: callers.clamp(1, 10_000),
        duration: span,
        pace,
        max_requests: REQUESTS_MOST,
        request: &get,
    })
}

fn line(run: &Run) -> String {
    let time = |q| run.latencies.value_at_quantile(q);
    let statuses = run
        .status_counts()
        .into_iter()
        .map(|(status, count)| match status {
            Some(status) => format!("{status}: {count}"),
            None => format!("no answer: {count}"),
        });
    format!(
        "{:.0} a second; p50 {} us, p99 {} us, most {} us; {}",
        run.responses_per_s(),
        time(0.5),
        time(0.99),
        run.latencies.max(),
        statuses.collect::<Vec<_>>().join(", ")
    )
}

/// The mean of some ratios and half the width of its 95 % interval, by Student's t.
fn interval(ratios: &[f64]) -> (f64, f64) {
    const T: [f64; 10] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23];
    let n = ratios.len() as f64;
    let mean = ratios.iter().sum::<f64>() / n;
    let variance = ratios.iter().map(|r| (r - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    let t = ratios
        .len()
        .checked_sub(2)
        .map_or(f64::INFINITY, |i| T.get(i).copied().unwrap_or(2.2));
    (mean, t * (variance / n).sqrt())
}

fn paths(dewrun: &str, callers: usize, rounds: usize, seconds: u64) {
    let backend = quick(ok(&"x".repeat(100)));
    let address = free_address();
    let arguments = [
        "serve",
        "--listen",
        &address.to_string(),
        "--backend",
        &backend.to_string(),
    ];
    let mut daemon = Daemon::start(dewrun, &arguments, &[]);
    daemon.wait_until_listening(address);
    let all = [
        ("straight", backend),
        ("relay", relay(backend)),
        ("forwarder", forwarder(backend)),
        ("dewrun", address),
    ];
    for (_, address) in all {
        asked(address, callers, Pace::Closed, 1);
    }
    let mut rates = vec![Vec::new(); all.len()];
    for round in 0..rounds.max(2) {
        for (at, (name, address)) in all.into_iter().enumerate() {
            let run = asked(address, callers, Pace::Closed, seconds);
            println!("round {round}, {name:<9}: {}", line(&run));
            rates[at].push(run.responses_per_s());
        }
    }
    for (at, (name, _)) in all.iter().enumerate().take(3) {
        let ratios: Vec<f64> = rates[3]
            .iter()
            .zip(&rates[at])
            .map(|(own, other)| own / other)
            .collect();
        let (mean, half) = interval(&ratios);
        println!(
            "dewrun has {mean:.3} +- {half:.3} of {name}'s rate ({} rounds, {callers} callers)",
            ratios.len()
        );
    }
}

/// What a drill has shown, and the exit code that says it.
fn told(plan: &drill::Plan, report: &drill::Report, json: bool) -> ExitCode {
    if json {
        for (second, line) in report.seconds.iter().enumerate() {
            let line = serde_json::json!({ "second": second, "counts": line });
            println!("{line}");
        }
    } else {
        println!("second  offered   served     over  refused   failed  arrived");
        for (second, s) in report.seconds.iter().enumerate() {
            println!(
                "{second:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
                s.offered, s.served, s.over, s.refused, s.failed, s.arrived
            );
        }
    }
    let quiet = (plan.seconds - 4.0).max(0.0);
    println!(
        "{}: most in a window of 1 s {:.3} and of 5 s {:.3} of what rate and burst allow; {:.3} of the rate in the last 4 s; \
         {:.3} of it held at most; the harness was late by {:.0} ms at the most; {} breaches",
        report.name,
        report.densest[0],
        report.densest[1],
        report.used(quiet, plan.seconds, plan.rate),
        report.held,
        report.late_ms,
        report.breaches.len()
    );
    report
        .breaches
        .iter()
        .take(10)
        .for_each(|breach| println!("  {breach}"));
    if !report.counts() {
        println!("no verdict: this machine was too slow");
        return ExitCode::from(3);
    }
    let kept = report.breaches.is_empty() && report.most() <= 1.0;
    ExitCode::from(u8::from(!kept))
}

/// Plays a large fleet, and tells what it has shown.
fn play_hollow(plan: &hollow::Plan, json: Option<&Path>) -> Result<ExitCode, String> {
    let report = hollow::run(plan)?;
    println!("{}", report.table());
    if let Some(file) = json {
        std::fs::write(file, report.json_lines())
            .map_err(|e| format!("{}: {e}", file.display()))?;
    }
    let breaches = report.breaches();
    breaches.iter().for_each(|breach| println!("{breach}"));
    if !report.counts() {
        let most = hollow::LATE_MOST.as_millis();
        println!("no verdict: this program was late by more than {most} ms");
        return Ok(ExitCode::from(3));
    }
    Ok(ExitCode::from(u8::from(!breaches.is_empty())))
}

/// A plan from a file; every fault of it with its place.
fn plan(file: &Path) -> Result<drill::Plan, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let plan: drill::Plan =
        toml::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    plan.check()
        .map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(plan)
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Capacity(options) => capacity::run(&options),
        Command::Drill {
            file,
            dewrun,
            seed,
            processes,
            seconds,
            by_rank,
            json,
            logs,
            plot,
        } => {
            let plan = match file {
                Some(file) => plan(&file),
                None => {
                    let plan =
                        drill::drawn(processes.clamp(1, 100), seconds.clamp(12.0, 600.0), seed);
                    plan.check().map(|()| plan)
                }
            };
            let plan = match plan {
                Ok(plan) => drill::Plan {
                    by_rank: plan.by_rank || by_rank,
                    ..plan
                },
                Err(why) => {
                    eprintln!("dewrun-loadtest: {why}");
                    return ExitCode::from(2);
                }
            };
            let report = drill::Site::start(&dewrun, &plan, seed).play();
            if let Some(path) = plot {
                if let Err(why) = drill::plot(&plan, &report, &path) {
                    eprintln!("dewrun-loadtest: {}: {why}", path.display());
                }
            }
            if let Some(folder) = logs {
                for (at, log) in report.logs.iter().enumerate() {
                    let file = folder.join(format!("i{at}.log"));
                    if let Err(why) =
                        std::fs::create_dir_all(&folder).and_then(|()| std::fs::write(&file, log))
                    {
                        eprintln!("dewrun-loadtest: {}: {why}", file.display());
                    }
                }
            }
            told(&plan, &report, json)
        }
        Command::Hollow {
            processes,
            real,
            seed,
            seconds,
            tick_ms,
            fault,
            json,
            dewrun,
        } => {
            let faults = fault.map_or(hollow::Fault::ALL.to_vec(), |fault| vec![fault]);
            let tick_interval = Duration::from_millis(tick_ms);
            let plan = hollow::Plan {
                processes,
                real,
                seed,
                seconds,
                tick_interval,
                faults,
                dewrun,
            };
            play_hollow(&plan, json.as_deref()).unwrap_or_else(|why| {
                eprintln!("dewrun-loadtest: {why}");
                ExitCode::from(2)
            })
        }
        Command::Soak {
            plan,
            seeds,
            seconds,
            minutes,
            logs,
            dewrun,
        } => {
            let played = soak::run(&soak::Options {
                dewrun,
                plan,
                seeds,
                duration: Duration::from_secs(seconds.clamp(2, SPAN_MOST)),
                limit: Duration::from_secs(minutes * 60),
                logs,
            });
            match played {
                Ok(is_clean) => ExitCode::from(u8::from(!is_clean)),
                Err(why) => {
                    eprintln!("dewrun-loadtest: {why}");
                    ExitCode::from(2)
                }
            }
        }
        Command::Load {
            address,
            callers,
            rate,
            seconds,
        } => {
            if !address.ip().is_loopback() {
                eprintln!("dewrun-loadtest: {address} is not a loopback address");
                return ExitCode::from(2);
            }
            let pace = rate
                .filter(|rate| *rate > 0.0)
                .map_or(Pace::Closed, Pace::Open);
            let run = asked(address, callers, pace, seconds);
            println!("{}", line(&run));
            ExitCode::from(u8::from(run.status_counts().contains_key(&None)))
        }
        Command::Paths {
            dewrun,
            callers,
            rounds,
            seconds,
        } => {
            paths(&dewrun, callers, rounds, seconds);
            ExitCode::SUCCESS
        }
    }
}
