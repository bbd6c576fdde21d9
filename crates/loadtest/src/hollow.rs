//! Large fleets on one machine: a few real processes among many hollow ones.
//!
//! Real processes run `dewrun serve` as an operator starts it. A hollow process is the same
//! control-plane agent on a socket of its own, without listeners, pools and clients; real processes
//! cannot tell it from another real one. The costs of a real process in such a fleet are measured
//! from outside, before and during faults.

mod agents;
mod faults;
mod fleet;
mod harness_delay;
mod limits;
mod measurement;
mod member_config;
mod network;
mod real_process;
mod report;

pub use faults::Fault;
pub use fleet::HollowFleet;
pub use real_process::RealProcess;
pub use report::{Phase, Report, MAX_HARNESS_DELAY};

use std::time::{Duration, Instant};

/// Maximum number of processes in a fleet, real and hollow ones.
pub const MAX_PROCESSES: usize = 2_000;
/// Maximum number of real processes in a fleet.
pub const MAX_REAL_PROCESSES: usize = 50;
/// Maximum duration of a run, in seconds.
pub const MAX_SECONDS: u64 = 600;
/// Default interval of the periodic work of hollow processes. The agent of a real process ticks
/// every 10 ms; with hundreds of agents on one machine, that would cause more wakeups than it has
/// time for.
pub const DEFAULT_TICK_INTERVAL: Duration = Duration::from_millis(50);
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for the first leases of the real processes. A new fleet grants nothing of a budget until
/// the leases of an earlier fleet must have expired.
const FIRST_LEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum fraction of a run that the fleet may take to converge after its start.
const FORMATION_FRACTION: f64 = 0.4;
/// Fraction of a fault's time slice that is measured before the fault begins.
const BASELINE_FRACTION: f64 = 0.3;
/// Fraction of a fault's time slice that is measured while the fault lasts. In the rest of the time
/// slice the fleet may converge again.
const FAULT_FRACTION: f64 = 0.4;
/// Minimum duration of a measured phase. A shorter one has too few readings.
const MIN_PHASE_DURATION: Duration = Duration::from_secs(3);

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of processes, real and hollow ones.
    pub processes: usize,
    /// The number of real processes.
    pub real: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// The maximum duration of the run, in seconds.
    pub seconds: u64,
    /// The interval of the periodic work of hollow processes. Packets are read as they arrive.
    pub tick_interval: Duration,
    /// The faults, in the order in which they are injected.
    pub faults: Vec<Fault>,
    /// The path of the `dewrun` program that real processes run.
    pub dewrun: String,
}

impl Plan {
    /// Checks the settings against the fixed limits and against those of the machine.
    ///
    /// # Errors
    ///
    /// Returns a description of the first limit that is exceeded.
    pub fn check(&self) -> Result<(), String> {
        let Plan {
            processes,
            real,
            seconds,
            tick_interval,
            ..
        } = self;
        if *processes > MAX_PROCESSES || *real > MAX_REAL_PROCESSES || *seconds > MAX_SECONDS {
            return Err(format!(
                "the limits are {MAX_PROCESSES} processes, {MAX_REAL_PROCESSES} of them real, and {MAX_SECONDS} s"
            ));
        }
        if *real == 0 || processes <= real {
            return Err("at least one real and one hollow process are required".into());
        }
        if !(MIN_TICK_INTERVAL..=MAX_TICK_INTERVAL).contains(tick_interval) {
            return Err(format!(
                "the tick interval of hollow processes must be {MIN_TICK_INTERVAL:?} to {MAX_TICK_INTERVAL:?}"
            ));
        }
        limits::check_descriptors(processes - real, *real)
    }

    /// Returns the number of threads for hollow processes, which is half of the machine's cores. The
    /// real processes need the other half. [`AgentThreads`](agents::AgentThreads) limits it further.
    fn agent_threads(&self) -> usize {
        std::thread::available_parallelism().map_or(1, |cores| cores.get() / 2)
    }
}

/// Runs a plan and returns what was measured.
///
/// # Errors
///
/// Returns a description of the problem if the plan exceeds a limit, hollow processes cannot be
/// started, or the fleet uses more memory than allowed.
pub fn run(plan: &Plan) -> Result<Report, String> {
    let end = Instant::now() + Duration::from_secs(plan.seconds);
    let mut fleet = HollowFleet::start(plan)?;
    let formed_after = fleet.wait_until_converged(
        plan.processes,
        Duration::from_secs(plan.seconds).mul_f64(FORMATION_FRACTION),
    );
    check_memory(&fleet)?;
    let has_leases = fleet.wait_until_all_hold_leases(FIRST_LEASE_TIMEOUT);
    let mut report = Report {
        processes: plan.processes,
        real: plan.real,
        seed: plan.seed,
        hollow_tick_ms: plan.tick_interval.as_millis() as u64,
        formed_after_s: formed_after.map(|after| after.as_secs_f64()),
        has_leases,
        harness_resident_kib: 0,
        phases: Vec::new(),
        skipped_faults: Vec::new(),
    };
    for (index, fault) in plan.faults.iter().enumerate() {
        let remaining = end.saturating_duration_since(Instant::now());
        let time_slice = remaining / (plan.faults.len() - index) as u32;
        if time_slice.mul_f64(BASELINE_FRACTION) < MIN_PHASE_DURATION {
            report.skipped_faults.push(*fault);
            continue;
        }
        inject_fault(&mut fleet, *fault, time_slice, &mut report.phases)?;
        check_memory(&fleet)?;
    }
    report.harness_resident_kib = limits::own_resident_kib();
    Ok(report)
}

/// Measures a fleet before a fault and during it, ends the fault, and waits until all real
/// processes see all members again.
fn inject_fault(
    fleet: &mut HollowFleet,
    fault: Fault,
    time_slice: Duration,
    phases: &mut Vec<Phase>,
) -> Result<(), String> {
    let end = Instant::now() + time_slice;
    let baseline_name = format!("before {}", fault.name());
    phases.push(measurement::measure(
        fleet,
        &baseline_name,
        time_slice.mul_f64(BASELINE_FRACTION),
        None,
        |fleet| fleet.running_count(),
    ));
    let excluded = fault.target_index(fleet);
    let duration = time_slice.mul_f64(FAULT_FRACTION);
    let mut phase = measurement::measure(fleet, fault.name(), duration, excluded, |fleet| {
        fault.begin(fleet)
    });
    phase.fault = Some(fault);
    let ended_at = Instant::now();
    fault.end(fleet)?;
    let remaining = end.saturating_duration_since(Instant::now());
    phase.recovered_after_s = fleet
        .wait_until_converged(fleet.running_count(), remaining)
        .map(|_| ended_at.elapsed().as_secs_f64());
    phases.push(phase);
    Ok(())
}

/// Returns an error if the real processes and this program use more than half of the machine's
/// memory, which ends the run.
fn check_memory(fleet: &HollowFleet) -> Result<(), String> {
    let real: usize = fleet
        .real_processes
        .iter()
        .map(|process| process.usage().resident_kib)
        .sum();
    let (used, limit) = (
        real + limits::own_resident_kib(),
        limits::memory_limit_kib(),
    );
    if used > limit {
        return Err(format!(
            "run aborted: {used} KiB in use exceed half of the machine's memory"
        ));
    }
    Ok(())
}
