//! A large fleet on one machine: a few real processes, started as an operator starts them, and many
//! hollow ones, which are the same control-plane agent on sockets of their own, without listeners,
//! pools and clients. The real ones can't tell the two apart. What a fleet of so many costs a
//! process is read from outside, before and during faults.

mod agents;
mod faults;
mod fleet;
mod lateness;
mod limits;
mod member;
mod meters;
mod network;
mod processes;
mod report;

pub use faults::Fault;
pub use fleet::HollowFleet;
pub use processes::RealProcess;
pub use report::{Phase, Report, MAX_HARNESS_DELAY};

use std::time::{Duration, Instant};

/// The most processes in all, the most real ones, and the longest that a run may take.
pub const MAX_PROCESSES: usize = 2_000;
/// See [`MAX_PROCESSES`].
pub const MAX_REAL_PROCESSES: usize = 50;
/// See [`MAX_PROCESSES`].
pub const MAX_SECONDS: u64 = 600;
/// How often hollow processes look what is due, if it is not told. A process of its own looks every
/// 10 ms; so many on one machine would wake it more often than it has time for.
pub const DEFAULT_TICK_INTERVAL: Duration = Duration::from_millis(50);
const TICK_LEAST: Duration = Duration::from_millis(10);
const TICK_MOST: Duration = Duration::from_millis(200);
/// How long real processes may wait for their first lease: a budget starts with nothing until what
/// a fleet before this one held must have ended.
const FIRST_LEASES: Duration = Duration::from_secs(10);
/// The part of a run in which the fleet may form.
const FORMING: f64 = 0.4;
/// Of the time of one fault: the part before it, and the part in which it is looked at. All may see
/// each other again in what is left.
const BEFORE: f64 = 0.3;
const DURING: f64 = 0.4;
/// The shortest phase that says something.
const PHASE_LEAST: Duration = Duration::from_secs(3);

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Processes in all.
    pub processes: usize,
    /// Real ones of them.
    pub real: usize,
    /// For what is left to chance.
    pub seed: u64,
    /// How long all of it may take.
    pub seconds: u64,
    /// How often hollow processes look what is due. Packets are read as they come.
    pub tick_interval: Duration,
    /// In this order.
    pub faults: Vec<Fault>,
    /// The program of the real processes.
    pub dewrun: String,
}

impl Plan {
    /// Whether it stays within its bounds, and those of the machine.
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
                "at most {MAX_PROCESSES} processes, {MAX_REAL_PROCESSES} real ones and {MAX_SECONDS} s"
            ));
        }
        if *real == 0 || processes <= real {
            return Err("at least one real process and one hollow one".into());
        }
        if !(TICK_LEAST..=TICK_MOST).contains(tick_interval) {
            return Err(format!(
                "hollow processes look every {TICK_LEAST:?} to {TICK_MOST:?}"
            ));
        }
        limits::check_descriptors(processes - real, *real)
    }

    /// Threads for hollow processes: half of the machine's, so that the real ones have theirs.
    fn threads(&self) -> usize {
        std::thread::available_parallelism().map_or(1, |cores| cores.get() / 2)
    }
}

/// Plays a plan to its end.
pub fn run(plan: &Plan) -> Result<Report, String> {
    let end = Instant::now() + Duration::from_secs(plan.seconds);
    let mut fleet = HollowFleet::start(plan)?;
    let formed = fleet.wait_until_converged(
        plan.processes,
        Duration::from_secs(plan.seconds).mul_f64(FORMING),
    );
    check_memory(&fleet)?;
    let has_leases = fleet.wait_until_all_hold_leases(FIRST_LEASES);
    let mut report = Report {
        processes: plan.processes,
        real: plan.real,
        seed: plan.seed,
        hollow_tick_ms: plan.tick_interval.as_millis() as u64,
        formed_s: formed.map(|after| after.as_secs_f64()),
        has_leases,
        hollow_resident_kib: 0,
        phases: Vec::new(),
        not_played: Vec::new(),
    };
    for (number, fault) in plan.faults.iter().enumerate() {
        let left = end.saturating_duration_since(Instant::now());
        let slice = left / (plan.faults.len() - number) as u32;
        if slice.mul_f64(BEFORE) < PHASE_LEAST {
            report.not_played.push(*fault);
            continue;
        }
        play(&mut fleet, *fault, slice, &mut report.phases)?;
        check_memory(&fleet)?;
    }
    report.hollow_resident_kib = limits::own_resident_kib();
    Ok(report)
}

/// Looks at the fleet before a fault and during it, and waits until all real processes see all
/// members again.
fn play(
    fleet: &mut HollowFleet,
    fault: Fault,
    slice: Duration,
    phases: &mut Vec<Phase>,
) -> Result<(), String> {
    let end = Instant::now() + slice;
    let before = format!("before {}", fault.name());
    phases.push(meters::measure(
        fleet,
        &before,
        slice.mul_f64(BEFORE),
        None,
        |fleet| fleet.running(),
    ));
    let passed_over = fault.concerns(fleet);
    let span = slice.mul_f64(DURING);
    let mut during = meters::measure(fleet, fault.name(), span, passed_over, |fleet| {
        fault.begin(fleet)
    });
    during.fault = Some(fault);
    let mended = Instant::now();
    fault.mend(fleet)?;
    let left = end.saturating_duration_since(Instant::now());
    during.joined_s = fleet
        .wait_until_converged(fleet.running(), left)
        .map(|_| mended.elapsed().as_secs_f64());
    phases.push(during);
    Ok(())
}

/// Ends the run where it takes more of the machine than it may.
fn check_memory(fleet: &HollowFleet) -> Result<(), String> {
    let real: usize = fleet
        .processes
        .iter()
        .map(|process| process.usage().resident_kib)
        .sum();
    let (used, most) = (real + limits::own_resident_kib(), limits::memory_most_kib());
    if used > most {
        return Err(format!(
            "ended: {used} KiB in use are more than half of the machine's memory"
        ));
    }
    Ok(())
}
