//! Disturbances of a soak: kills, restarts, series of signals, discovery outages and endpoint
//! restarts. They are drawn from a random stream of their own, so that the other steps of a seed do
//! not change.

use super::discovery::Availability;
use super::schedule::{Step, ENDPOINT_COUNT};
use super::Deployment;
use rand::Rng;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::ops::Range;
use std::time::Duration;

/// A value that is combined with the seed, so that the disturbances are drawn from another random
/// stream than the other steps of the seed.
const RANDOM_STREAM: u64 = 0x6B69_6C6C;
/// The earliest time of SIGKILL after SIGTERM that the platform specifies: the longest deadline
/// (3 s) and 0.7 s.
pub const SIGKILL_DELAY: Duration = Duration::from_millis(3_700);
/// The time between two consecutive disturbances of a process, of discovery or of the endpoints,
/// and before the first one.
const DISTURBANCE_INTERVAL_MS: Range<u64> = 1_000..4_000;
/// The minimum time from the last disturbance to the end of the schedule, so that a restarted
/// process serves for a while.
const UNDISTURBED_END_MS: u64 = 1_000;
/// The time from SIGHUP to the SIGTERM that follows it.
const RELOAD_BEFORE_TERM_MS: Range<u64> = 0..30;
/// The time from a request to drain to the SIGTERM that follows it.
const DRAIN_BEFORE_TERM_MS: Range<u64> = 0..2_500;
/// The time from SIGTERM to the signal that follows it.
const SIGNAL_AFTER_TERM_MS: Range<u64> = 0..800;
/// The number of SIGHUP signals in a series.
const SIGHUP_COUNT: Range<u64> = 2..6;
/// The time between two SIGHUP signals of a series.
const SIGHUP_INTERVAL_MS: Range<u64> = 0..60;
/// The duration of a discovery outage.
const OUTAGE_MS: Range<u64> = 500..4_000;
/// The time from the stop of an endpoint to its restart.
const ENDPOINT_DOWN_MS: Range<u64> = 200..2_000;
/// The time by which each further process gets its final SIGTERM later than the one before.
const STOP_STAGGER_MS: Range<u64> = 0..3_000;

/// The disturbances that a seed adds to a schedule.
pub struct Disturbances {
    /// Additional steps, each with its time in milliseconds after the start.
    pub steps: Vec<(u64, Step)>,
    /// Whether processes poll discovery for endpoint lists instead of getting them pushed.
    pub is_discovery_polled: bool,
    /// The time by which each further process gets its final SIGTERM later than the one before.
    pub stop_stagger_ms: u64,
}

impl Disturbances {
    /// Draws the disturbances; equal arguments give equal results.
    pub fn draw(seed: u64, deployment: Deployment, duration: Duration) -> Disturbances {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ RANDOM_STREAM);
        let end_ms = (duration.as_millis() as u64).saturating_sub(UNDISTURBED_END_MS);
        let mut steps = Vec::new();
        for process in 0..deployment.process_count() {
            draw_process_disturbances(&mut rng, deployment, process, end_ms, &mut steps);
        }
        let stop_stagger_ms = rng.random_range(STOP_STAGGER_MS);
        let is_discovery_polled = deployment == Deployment::Platform && rng.random_range(0..2) == 0;
        if deployment == Deployment::Platform {
            draw_discovery_outages(&mut rng, is_discovery_polled, end_ms, &mut steps);
        }
        draw_endpoint_restarts(&mut rng, end_ms, &mut steps);
        Disturbances {
            steps,
            is_discovery_polled,
            stop_stagger_ms,
        }
    }
}

/// Adds kills, series of SIGHUP and restarts of one process, none of them after `end_ms`.
fn draw_process_disturbances(
    rng: &mut Xoshiro256PlusPlus,
    deployment: Deployment,
    process: usize,
    end_ms: u64,
    steps: &mut Vec<(u64, Step)>,
) {
    let mut at_ms = rng.random_range(DISTURBANCE_INTERVAL_MS);
    loop {
        let drawn = match rng.random_range(0..4) {
            0 => vec![(at_ms, Step::KillAndRestart(process))],
            1 => draw_sighup_series(rng, process, at_ms),
            _ => draw_restart(rng, deployment, process, at_ms),
        };
        let last_ms = drawn.last().map_or(at_ms, |(ms, _)| *ms);
        if last_ms > end_ms {
            return;
        }
        steps.extend(drawn);
        at_ms = last_ms + rng.random_range(DISTURBANCE_INTERVAL_MS);
    }
}

/// Adds discovery outages: silent watches or an unresponsive service. A polled service can also be
/// unavailable or slow; an agent that pushes lists cannot.
fn draw_discovery_outages(
    rng: &mut Xoshiro256PlusPlus,
    is_discovery_polled: bool,
    end_ms: u64,
    steps: &mut Vec<(u64, Step)>,
) {
    let mut at_ms = rng.random_range(DISTURBANCE_INTERVAL_MS);
    loop {
        let until_ms = at_ms + rng.random_range(OUTAGE_MS);
        if until_ms > end_ms {
            return;
        }
        let kinds = if is_discovery_polled { 4 } else { 2 };
        let outage = match rng.random_range(0..kinds) {
            0 => Step::SilenceWatches,
            1 => Step::SetDiscovery(Availability::Unresponsive),
            2 => Step::SetDiscovery(Availability::Unavailable),
            _ => Step::SetDiscovery(Availability::Slow),
        };
        let recovery = Step::SetDiscovery(Availability::Available);
        steps.extend([(at_ms, outage), (until_ms, recovery)]);
        at_ms = until_ms + rng.random_range(DISTURBANCE_INTERVAL_MS);
    }
}

/// Adds endpoint restarts, one at a time.
fn draw_endpoint_restarts(rng: &mut Xoshiro256PlusPlus, end_ms: u64, steps: &mut Vec<(u64, Step)>) {
    let mut at_ms = rng.random_range(DISTURBANCE_INTERVAL_MS);
    loop {
        let until_ms = at_ms + rng.random_range(ENDPOINT_DOWN_MS);
        if until_ms > end_ms {
            return;
        }
        let endpoint = rng.random_range(0..ENDPOINT_COUNT);
        steps.push((at_ms, Step::StopEndpoint(endpoint)));
        steps.push((until_ms, Step::StartEndpoint(endpoint)));
        at_ms = until_ms + rng.random_range(DISTURBANCE_INTERVAL_MS);
    }
}

/// Returns several SIGHUP signals in short succession.
fn draw_sighup_series(
    rng: &mut Xoshiro256PlusPlus,
    process: usize,
    at_ms: u64,
) -> Vec<(u64, Step)> {
    let mut at_ms = at_ms;
    let count = rng.random_range(SIGHUP_COUNT);
    (0..count)
        .map(|_| {
            at_ms += rng.random_range(SIGHUP_INTERVAL_MS);
            (at_ms, Step::Signal(process, "-HUP"))
        })
        .collect()
}

/// Returns the steps of a restart: a SIGTERM, and the start of a replacement once SIGKILL is
/// allowed. SIGHUP or, on the platform, a request to drain can precede the SIGTERM, and in half of
/// the draws another signal follows it.
fn draw_restart(
    rng: &mut Xoshiro256PlusPlus,
    deployment: Deployment,
    process: usize,
    at_ms: u64,
) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    let mut term_ms = at_ms;
    match rng.random_range(0..4) {
        0 => {
            steps.push((at_ms, Step::Signal(process, "-HUP")));
            term_ms += rng.random_range(RELOAD_BEFORE_TERM_MS);
        }
        1 if deployment == Deployment::Platform => {
            steps.push((at_ms, Step::Drain(process)));
            term_ms += rng.random_range(DRAIN_BEFORE_TERM_MS);
        }
        _ => {}
    }
    steps.push((term_ms, Step::Signal(process, "-TERM")));
    if rng.random_range(0..2) == 0 {
        let signal = ["-HUP", "-TERM", "-INT"][rng.random_range(0..3)];
        let after_ms = term_ms + rng.random_range(SIGNAL_AFTER_TERM_MS);
        steps.push((after_ms, Step::Signal(process, signal)));
    }
    let kill_ms = term_ms + SIGKILL_DELAY.as_millis() as u64;
    steps.push((kill_ms, Step::RestartAfterSigterm(process)));
    steps
}
