//! `dewrun-loadtest`: load tests on loopback, and comparisons of dewrun with its baselines.

use clap::{Parser, Subcommand};
use dewrun_loadtest::baseline::{forwarder, relay};
use dewrun_loadtest::capacity;
use dewrun_loadtest::drill;
use dewrun_loadtest::hollow;
use dewrun_loadtest::load::{run, Pace, Plan, Run};
use dewrun_loadtest::soak;
use dewrun_loadtest::{parse_seeds, unsolicited};
use dewrun_test_support::{free_address, ok, quick, Daemon};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Load tests for dewrun on loopback, bounded in requests and time
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
    /// Send requests to one address
    Load {
        /// Address that requests are sent to; must be a loopback address
        address: SocketAddr,
        /// Number of clients, each with one connection
        #[arg(long = "callers", default_value_t = 8)]
        clients: usize,
        /// Requests per second of an open loop; without it, the loop is closed
        #[arg(long)]
        rate: Option<f64>,
        /// Period during which new requests are sent, in seconds
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
    /// Run a fleet of real processes with faults between them
    ///
    /// Exits with 1 if a rule was violated or a budget exceeded, and with 3 if the machine was too
    /// slow for a verdict.
    Drill {
        /// Schedule (TOML); without it, one is drawn from the seed
        file: Option<PathBuf>,
        /// Path of the dewrun executable
        #[arg(long, default_value = "target/release/dewrun")]
        dewrun: String,
        /// Seed of the random choices
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of processes of a drawn schedule
        #[arg(long, default_value_t = 8)]
        processes: usize,
        /// Duration of a drawn schedule, in seconds
        #[arg(long, default_value_t = 30.0)]
        seconds: f64,
        /// Divide the budget evenly among the processes instead of leasing it, for comparison
        #[arg(long)]
        by_rank: bool,
        /// Print one line of JSON per second of the run instead of a table
        #[arg(long)]
        json: bool,
        /// Write the log of each process to this folder
        #[arg(long)]
        logs: Option<PathBuf>,
        /// Write a plot (SVG) to this file
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Run a large fleet of a few real processes among many hollow ones
    ///
    /// A hollow process speaks the fleet protocol on real sockets, but serves no requests. Exits
    /// with 1 if any check of the fleet failed, and with 3 if the machine was too slow for a
    /// verdict.
    Hollow {
        /// Total number of processes
        #[arg(long, default_value_t = 300)]
        processes: usize,
        /// Number of real processes among them
        #[arg(long, default_value_t = 5)]
        real: usize,
        /// Seed of the random choices
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Maximum duration of the whole run, in seconds
        #[arg(long, default_value_t = 300)]
        seconds: u64,
        /// Interval at which hollow processes check their timers, in milliseconds
        #[arg(long, default_value_t = hollow::DEFAULT_TICK_INTERVAL.as_millis() as u64)]
        tick_ms: u64,
        /// Only inject this fault
        #[arg(long)]
        fault: Option<hollow::Fault>,
        /// Write the results to this file, as lines of JSON
        #[arg(long)]
        json: Option<PathBuf>,
        /// Path of the dewrun executable
        #[arg(long, default_value = "target/release/dewrun")]
        dewrun: String,
    },
    /// Run seeded schedules of reloads, list changes, faults and signals against real processes
    ///
    /// Exits with 1 if there are findings, and with 2 if the executable cannot be started.
    Soak {
        /// Kind of schedule that is drawn from each seed
        #[arg(long, value_enum, default_value_t)]
        plan: soak::Plan,
        /// Seeds, as A..B; both ends are included
        #[arg(long, value_parser = parse_seeds, default_value = "1..10")]
        seeds: RangeInclusive<u64>,
        /// Period during which clients send requests before the shutdown, in seconds
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Minutes after which no further seed is started
        #[arg(long, default_value_t = 60)]
        minutes: u64,
        /// Write the logs of the processes to this folder
        #[arg(long)]
        logs: Option<PathBuf>,
        /// Path of the dewrun executable
        #[arg(long, default_value = "target/release/dewrun")]
        dewrun: String,
    },
    /// Run endpoints that send unsolicited bytes behind their responses
    ///
    /// Exits with 1 if a request did not get its own response in time.
    Unsolicited(unsolicited::Options),
    /// Compare dewrun with direct requests, a byte relay and a bare forwarder, in turn
    Paths {
        /// Path of the dewrun executable
        dewrun: String,
        /// Number of clients, each with one connection
        #[arg(long = "callers", default_value_t = 8)]
        clients: usize,
        /// Number of rounds; at least 2 are run
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Duration of each run, in seconds
        #[arg(long, default_value_t = 2)]
        seconds: u64,
    },
}

const MAX_RUN_SECONDS: u64 = 600;
const MAX_REQUESTS: u64 = 100_000_000;
const MAX_CLIENTS: usize = 10_000;

fn get_request(_: u64) -> String {
    "GET /x HTTP/1.1\r\nHost: rig\r\n\r\n".into()
}

/// Runs load against an address, with the duration and the number of clients limited.
fn run_load(address: SocketAddr, clients: usize, pace: Pace, seconds: u64) -> Run {
    run(&Plan {
        address,
        clients: clients.clamp(1, MAX_CLIENTS),
        duration: Duration::from_secs(seconds.clamp(1, MAX_RUN_SECONDS)),
        pace,
        max_requests: MAX_REQUESTS,
        request: &get_request,
    })
}

/// Returns rate, latency quantiles and statuses of a run as one line of text.
fn summary_line(run: &Run) -> String {
    let quantile = |q| run.latencies.value_at_quantile(q);
    let statuses = run
        .status_counts()
        .into_iter()
        .map(|(status, count)| match status {
            Some(status) => format!("{status}: {count}"),
            None => format!("no response: {count}"),
        });
    format!(
        "{:.0} responses per second; p50 {} us, p99 {} us, max {} us; {}",
        run.responses_per_s(),
        quantile(0.5),
        quantile(0.99),
        run.latencies.max(),
        statuses.collect::<Vec<_>>().join(", ")
    )
}

/// Returns the mean of ratios and the half-width of its 95 % confidence interval, by Student's t.
fn confidence_interval(ratios: &[f64]) -> (f64, f64) {
    /// Critical values for 1 to 10 degrees of freedom.
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

/// Measures the paths to a backend in turn, and prints dewrun's rate as a fraction of the others'.
fn compare_paths(dewrun: &str, clients: usize, rounds: usize, seconds: u64) {
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
    let paths = [
        ("direct", backend),
        ("relay", relay(backend)),
        ("forwarder", forwarder(backend)),
        ("dewrun", address),
    ];
    for (_, address) in paths {
        run_load(address, clients, Pace::Closed, 1);
    }
    let mut rates = vec![Vec::new(); paths.len()];
    for round in 0..rounds.max(2) {
        for (index, (name, address)) in paths.into_iter().enumerate() {
            let run = run_load(address, clients, Pace::Closed, seconds);
            println!("round {round}, {name:<9}: {}", summary_line(&run));
            rates[index].push(run.responses_per_s());
        }
    }
    for (index, (name, _)) in paths.iter().enumerate().take(3) {
        let ratios: Vec<f64> = rates[3]
            .iter()
            .zip(&rates[index])
            .map(|(dewrun, other)| dewrun / other)
            .collect();
        let (mean, half_width) = confidence_interval(&ratios);
        println!(
            "dewrun has {mean:.3} +- {half_width:.3} of the rate of {name} ({} rounds, {clients} clients)",
            ratios.len()
        );
    }
}

/// Prints the results of a drill, and returns its exit code.
fn print_drill_report(plan: &drill::Plan, report: &drill::Report, json: bool) -> ExitCode {
    if json {
        for (second, counts) in report.seconds.iter().enumerate() {
            let line = serde_json::json!({ "second": second, "counts": counts });
            println!("{line}");
        }
    } else {
        println!("second  offered   served     over  refused   failed  arrived");
        for (second, s) in report.seconds.iter().enumerate() {
            println!(
                "{second:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
                s.offered, s.served, s.over_budget, s.rejected, s.failed, s.arrived
            );
        }
    }
    let last_from = (plan.seconds - 4.0).max(0.0);
    println!(
        "{}: at most {:.3} in 1 s and {:.3} in 5 s of what rate and burst allow; {:.3} of the rate in the last 4 s; \
         at most {:.3} of the rate held by all processes together; harness delayed by up to {:.0} ms; {} violations",
        report.name,
        report.max_window_fractions[0],
        report.max_window_fractions[1],
        report.used_fraction(last_from, plan.seconds, plan.rate),
        report.max_held_fraction,
        report.harness_delay_ms,
        report.violations.len()
    );
    report
        .violations
        .iter()
        .take(10)
        .for_each(|violation| println!("  {violation}"));
    if !report.is_conclusive() {
        println!("no verdict: this machine was too slow");
        return ExitCode::from(3);
    }
    let is_passed = report.violations.is_empty() && report.max_limit_fraction() <= 1.0;
    ExitCode::from(u8::from(!is_passed))
}

/// Runs a large fleet, prints its results, and returns the exit code.
fn run_hollow(plan: &hollow::Plan, json: Option<&Path>) -> Result<ExitCode, String> {
    let report = hollow::run(plan)?;
    println!("{}", report.table());
    if let Some(file) = json {
        std::fs::write(file, report.json_lines())
            .map_err(|e| format!("{}: {e}", file.display()))?;
    }
    let violations = report.violations();
    violations
        .iter()
        .for_each(|violation| println!("{violation}"));
    if !report.is_conclusive() {
        let max_delay_ms = hollow::MAX_HARNESS_DELAY.as_millis();
        println!("no verdict: this program was delayed by {max_delay_ms} ms or more");
        return Ok(ExitCode::from(3));
    }
    Ok(ExitCode::from(u8::from(!violations.is_empty())))
}

/// Reads a drill plan (TOML) from a file and checks it. Errors name the file.
fn read_drill_plan(file: &Path) -> Result<drill::Plan, String> {
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
                Some(file) => read_drill_plan(&file),
                None => {
                    let plan = drill::random_plan(
                        processes.clamp(1, 100),
                        seconds.clamp(12.0, 600.0),
                        seed,
                    );
                    plan.check().map(|()| plan)
                }
            };
            let plan = match plan {
                Ok(plan) => drill::Plan {
                    by_rank: plan.by_rank || by_rank,
                    ..plan
                },
                Err(error) => {
                    eprintln!("dewrun-loadtest: {error}");
                    return ExitCode::from(2);
                }
            };
            let report = drill::DrillFleet::start(&dewrun, &plan, seed).play();
            if let Some(path) = plot {
                if let Err(error) = drill::plot(&plan, &report, &path) {
                    eprintln!("dewrun-loadtest: {}: {error}", path.display());
                }
            }
            if let Some(folder) = logs {
                for (process, log) in report.logs.iter().enumerate() {
                    let file = folder.join(format!("i{process}.log"));
                    if let Err(error) =
                        std::fs::create_dir_all(&folder).and_then(|()| std::fs::write(&file, log))
                    {
                        eprintln!("dewrun-loadtest: {}: {error}", file.display());
                    }
                }
            }
            print_drill_report(&plan, &report, json)
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
            run_hollow(&plan, json.as_deref()).unwrap_or_else(|error| {
                eprintln!("dewrun-loadtest: {error}");
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
            let result = soak::run(&soak::Options {
                dewrun,
                plan,
                seeds,
                duration: Duration::from_secs(seconds.clamp(2, MAX_RUN_SECONDS)),
                time_limit: Duration::from_secs(minutes * 60),
                logs,
            });
            match result {
                Ok(is_clean) => ExitCode::from(u8::from(!is_clean)),
                Err(error) => {
                    eprintln!("dewrun-loadtest: {error}");
                    ExitCode::from(2)
                }
            }
        }
        Command::Load {
            address,
            clients,
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
            let run = run_load(address, clients, pace, seconds);
            println!("{}", summary_line(&run));
            ExitCode::from(u8::from(run.status_counts().contains_key(&None)))
        }
        Command::Unsolicited(options) => ExitCode::from(u8::from(!unsolicited::run(&options))),
        Command::Paths {
            dewrun,
            clients,
            rounds,
            seconds,
        } => {
            compare_paths(&dewrun, clients, rounds, seconds);
            ExitCode::SUCCESS
        }
    }
}
