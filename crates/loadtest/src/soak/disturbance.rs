//! Kills, restarts, signals in series, troubles of discovery and cold endpoints, drawn from a stream of random numbers of their own: the
//! other steps of a seed stay as they are.

use super::discovery::Availability;
use super::schedule::{Step, ENDPOINT_COUNT};
use super::Deployment;
use rand::Rng;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::ops::Range;
use std::time::Duration;

/// Sets the stream apart from that of the steps.
const STREAM: u64 = 0x6B69_6C6C;
/// The page's earliest moment for SIGKILL after SIGTERM: the longest deadline (3 s) and 0.7 s.
pub const KILL_AFTER_SIGTERM: Duration = Duration::from_millis(3_700);
/// Between two disturbances of a process, and before the first, in milliseconds.
const INTERVAL_MS: Range<u64> = 1_000..4_000;
/// A process that was restarted serves for so long before the play may end.
const LAST_MS: u64 = 1_000;
/// The last signal before a SIGTERM is sent so long before it.
const RELOAD_BEFORE_MS: Range<u64> = 0..30;
/// A drain is as old when the SIGTERM comes.
const DRAIN_BEFORE_MS: Range<u64> = 0..2_500;
/// A signal after the SIGTERM comes so long after it.
const SIGNAL_AFTER_MS: Range<u64> = 0..800;
/// How many SIGHUP come in a series, and how far apart.
const HANGUPS: Range<u64> = 2..6;
const HANGUP_INTERVAL_MS: Range<u64> = 0..60;
/// Discovery fails for so long.
const OUTAGE_MS: Range<u64> = 500..4_000;
/// An endpoint that has ended starts again after this time.
const ENDPOINT_DOWN_MS: Range<u64> = 200..2_000;
/// The ends of two processes lie so far apart.
const APART_MS: Range<u64> = 0..3_000;

/// What is added to the steps of a seed.
pub struct Disturbances {
    /// More steps, each so many milliseconds after the start.
    pub steps: Vec<(u64, Step)>,
    /// Lists are polled in place of pushed.
    pub is_polled: bool,
    /// How far apart the ends of the processes lie.
    pub stop_stagger_ms: u64,
}

impl Disturbances {
    /// Draws them; equal for equal arguments.
    pub fn draw(seed: u64, form: Deployment, duration: Duration) -> Disturbances {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ STREAM);
        let end_ms = (duration.as_millis() as u64).saturating_sub(LAST_MS);
        let mut steps = Vec::new();
        for process in 0..form.process_count() {
            disturb(&mut rng, form, process, end_ms, &mut steps);
        }
        let stop_stagger_ms = rng.random_range(APART_MS);
        let is_polled = form == Deployment::Platform && rng.random_range(0..2) == 0;
        if form == Deployment::Platform {
            disturb_discovery(&mut rng, is_polled, end_ms, &mut steps);
        }
        disturb_endpoints(&mut rng, end_ms, &mut steps);
        Disturbances {
            steps,
            is_polled,
            stop_stagger_ms,
        }
    }
}

/// Disturbs one process until an end.
fn disturb(
    rng: &mut Xoshiro256PlusPlus,
    form: Deployment,
    process: usize,
    end_ms: u64,
    steps: &mut Vec<(u64, Step)>,
) {
    let mut at_ms = rng.random_range(INTERVAL_MS);
    loop {
        let drawn = match rng.random_range(0..4) {
            0 => vec![(at_ms, Step::KillAndRestart(process))],
            1 => hangups(rng, process, at_ms),
            _ => restart(rng, form, process, at_ms),
        };
        let last_ms = drawn.last().map_or(at_ms, |(ms, _)| *ms);
        if last_ms > end_ms {
            return;
        }
        steps.extend(drawn);
        at_ms = last_ms + rng.random_range(INTERVAL_MS);
    }
}

/// Has discovery fail for some time, more than once in a long play. An agent that pushes lists is
/// silent or not; only a service that is polled is slow or refuses.
fn disturb_discovery(
    rng: &mut Xoshiro256PlusPlus,
    is_polled: bool,
    end_ms: u64,
    steps: &mut Vec<(u64, Step)>,
) {
    let mut at_ms = rng.random_range(INTERVAL_MS);
    loop {
        let until_ms = at_ms + rng.random_range(OUTAGE_MS);
        if until_ms > end_ms {
            return;
        }
        let kinds = if is_polled { 4 } else { 2 };
        let trouble = match rng.random_range(0..kinds) {
            0 => Step::SilenceWatches,
            1 => Step::SetDiscovery(Availability::Unresponsive),
            2 => Step::SetDiscovery(Availability::Unavailable),
            _ => Step::SetDiscovery(Availability::Slow),
        };
        steps.extend([
            (at_ms, trouble),
            (until_ms, Step::SetDiscovery(Availability::Available)),
        ]);
        at_ms = until_ms + rng.random_range(INTERVAL_MS);
    }
}

/// Has endpoints end and start again, one at a time.
fn disturb_endpoints(rng: &mut Xoshiro256PlusPlus, end_ms: u64, steps: &mut Vec<(u64, Step)>) {
    let mut at_ms = rng.random_range(INTERVAL_MS);
    loop {
        let until_ms = at_ms + rng.random_range(ENDPOINT_DOWN_MS);
        if until_ms > end_ms {
            return;
        }
        let endpoint = rng.random_range(0..ENDPOINT_COUNT);
        steps.push((at_ms, Step::StopEndpoint(endpoint)));
        steps.push((until_ms, Step::StartEndpoint(endpoint)));
        at_ms = until_ms + rng.random_range(INTERVAL_MS);
    }
}

/// SIGHUP after SIGHUP.
fn hangups(rng: &mut Xoshiro256PlusPlus, process: usize, at_ms: u64) -> Vec<(u64, Step)> {
    let mut at_ms = at_ms;
    let count = rng.random_range(HANGUPS);
    (0..count)
        .map(|_| {
            at_ms += rng.random_range(HANGUP_INTERVAL_MS);
            (at_ms, Step::Signal(process, "-HUP"))
        })
        .collect()
}

/// SIGTERM, in half of the draws during a reload or a drain, in half with a signal after it; and
/// the restart at the same address once SIGKILL may have come.
fn restart(
    rng: &mut Xoshiro256PlusPlus,
    form: Deployment,
    process: usize,
    at_ms: u64,
) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    let mut term_ms = at_ms;
    match rng.random_range(0..4) {
        0 => {
            steps.push((at_ms, Step::Signal(process, "-HUP")));
            term_ms += rng.random_range(RELOAD_BEFORE_MS);
        }
        1 if form == Deployment::Platform => {
            steps.push((at_ms, Step::Drain(process)));
            term_ms += rng.random_range(DRAIN_BEFORE_MS);
        }
        _ => {}
    }
    steps.push((term_ms, Step::Signal(process, "-TERM")));
    if rng.random_range(0..2) == 0 {
        let signal = ["-HUP", "-TERM", "-INT"][rng.random_range(0..3)];
        let after_ms = term_ms + rng.random_range(SIGNAL_AFTER_MS);
        steps.push((after_ms, Step::Signal(process, signal)));
    }
    let kill_ms = term_ms + KILL_AFTER_SIGTERM.as_millis() as u64;
    steps.push((kill_ms, Step::RestartAfterSigterm(process)));
    steps
}
