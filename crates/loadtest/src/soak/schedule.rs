//! The schedule of one play of a soak, drawn from a seed.

use super::discovery::Availability;
use super::disturbance::Disturbances;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// The number of endpoints, whether they are in the list or not.
pub const ENDPOINT_COUNT: usize = 4;
/// The time between two steps, if it is not a pause.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// On average, one in this many intervals between steps is a pause, in which service must recover.
const INTERVALS_PER_PAUSE: u32 = 5;
const PAUSE_MS: u64 = 4_500;
/// The time from the start of the play to the first step.
const FIRST_STEP_DELAY_MS: u64 = 700;

/// The state of an endpoint in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The endpoint takes requests.
    Ready,
    /// The endpoint takes no new requests.
    Draining,
    /// The endpoint is not in the list.
    Absent,
}

/// An endpoint list: the state of each endpoint, by its number.
pub type EndpointList = [ListedState; ENDPOINT_COUNT];

/// How an endpoint responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behavior {
    /// The endpoint sends one response within some milliseconds.
    Healthy,
    /// The endpoint closes the connection without a response.
    ConnectionClose,
    /// The endpoint sends one response about 0.3 s late.
    SlowResponse,
    /// The endpoint sends its response twice, the second time at once or some milliseconds later.
    DuplicateResponse,
}

impl Behavior {
    /// All variants, in the order of their discriminants.
    pub const ALL: [Behavior; 4] = [
        Behavior::Healthy,
        Behavior::ConnectionClose,
        Behavior::SlowResponse,
        Behavior::DuplicateResponse,
    ];
}

/// Returns a list in which each ready endpoint is absent and each other one is ready. If all are
/// ready, returns the same list.
pub fn swap_states(list: &EndpointList) -> EndpointList {
    if list.iter().all(|state| *state == ListedState::Ready) {
        return *list;
    }
    list.map(|state| match state {
        ListedState::Ready => ListedState::Absent,
        ListedState::Draining | ListedState::Absent => ListedState::Ready,
    })
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Changes the endpoint list.
    ChangeList(EndpointList),
    /// Removes each ready endpoint from the list and adds each other one as ready.
    SwapList,
    /// Writes the configuration files again, with an unchanged list, and sends SIGHUP.
    ReloadSameList,
    /// Replaces the configuration file of each process by an invalid one and sends SIGHUP.
    ReloadInvalidFile,
    /// Changes the behavior of one endpoint; all others become healthy.
    SetBehavior(usize, Behavior),
    /// Lets discovery close its watches.
    CloseWatches,
    /// Opens this many connections to the first process and sends nothing on them. The next step
    /// closes them.
    OpenIdleConnections(usize),
    /// Lets discovery keep its watches open, but send nothing more on them.
    SilenceWatches,
    /// Changes how discovery handles requests.
    SetDiscovery(Availability),
    /// Stops an endpoint.
    StopEndpoint(usize),
    /// Starts a stopped endpoint, which then has to warm up.
    StartEndpoint(usize),
    /// Sends a signal, such as `-HUP`, to a process.
    Signal(usize, &'static str),
    /// Requests a process to drain, through its control address.
    Drain(usize),
    /// Sends SIGKILL to a process, with no SIGTERM before, and starts the process again.
    KillAndRestart(usize),
    /// Sends SIGKILL to a process if it still runs after a SIGTERM, and starts the process again.
    RestartAfterSigterm(usize),
}

/// The signals that stop the processes at the end of a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSignals {
    /// The time from a SIGHUP to the SIGTERM; `None` sends no SIGHUP before.
    pub reload_before_ms: Option<u64>,
    /// A second signal and its time after the SIGTERM.
    pub second_signal: Option<(&'static str, u64)>,
    /// The time from the first signal of one process to that of the next.
    pub stagger_ms: u64,
}

impl ShutdownSignals {
    /// Returns the signals to all processes in order: each as its time in milliseconds after the
    /// start of the shutdown, the number of the process and the signal.
    pub fn signals(&self, process_count: usize) -> Vec<(u64, usize, &'static str)> {
        let mut signals = Vec::new();
        for process in 0..process_count {
            let start_ms = self.stagger_ms * process as u64;
            let term_ms = start_ms + self.reload_before_ms.unwrap_or(0);
            if self.reload_before_ms.is_some() {
                signals.push((start_ms, process, "-HUP"));
            }
            signals.push((term_ms, process, "-TERM"));
            if let Some((signal, after_ms)) = self.second_signal {
                signals.push((term_ms + after_ms, process, signal));
            }
        }
        signals.sort_by_key(|(at_ms, ..)| *at_ms);
        signals
    }
}

/// The schedule of one play.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The steps in order, each with its time after the start in milliseconds.
    pub steps: Vec<(u64, Step)>,
    /// How long clients send requests before the shutdown begins.
    pub duration: Duration,
    /// The signals of the shutdown.
    pub shutdown: ShutdownSignals,
    /// Whether processes poll discovery for endpoint lists instead of getting them pushed. Has no
    /// effect in a deployment without discovery.
    pub is_discovery_polled: bool,
    /// Whether some clients leave their connections idle for longer between two requests.
    pub has_idle_clients: bool,
}

impl Schedule {
    /// Draws a schedule. Equal arguments draw equal schedules.
    pub fn draw(seed: u64, duration: Duration) -> Schedule {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let has_idle_connections = rng.random_range(0..4) == 0;
        let mut steps = Vec::new();
        let mut at_ms = FIRST_STEP_DELAY_MS;
        while at_ms < duration.as_millis() as u64 {
            steps.push((at_ms, draw_step(&mut rng, has_idle_connections)));
            at_ms += if rng.random_ratio(1, INTERVALS_PER_PAUSE) {
                PAUSE_MS
            } else {
                rng.random_range(STEP_INTERVAL_MS)
            };
        }
        Schedule {
            steps,
            duration,
            shutdown: draw_shutdown(&mut rng),
            is_discovery_polled: false,
            has_idle_clients: false,
        }
    }

    /// Returns the schedule with disturbances between its steps.
    pub fn with_disturbances(mut self, disturbances: Disturbances) -> Schedule {
        self.steps.extend(disturbances.steps);
        self.steps.sort_by_key(|(at_ms, _)| *at_ms);
        self.shutdown.stagger_ms = disturbances.stop_stagger_ms;
        self.is_discovery_polled = disturbances.is_discovery_polled;
        self.has_idle_clients = true;
        self
    }
}

fn draw_step(rng: &mut Xoshiro256PlusPlus, has_idle_connections: bool) -> Step {
    match rng.random_range(0..14) {
        0..=4 => Step::ChangeList(draw_list(rng)),
        5 | 6 => Step::SwapList,
        7 => Step::ReloadSameList,
        8 => Step::ReloadInvalidFile,
        9 => Step::CloseWatches,
        10 if has_idle_connections => Step::OpenIdleConnections(rng.random_range(100..400)),
        _ => {
            let behavior = Behavior::ALL.choose(rng).copied();
            Step::SetBehavior(
                rng.random_range(0..ENDPOINT_COUNT),
                behavior.unwrap_or(Behavior::Healthy),
            )
        }
    }
}

/// Draws a list with at least one ready endpoint.
fn draw_list(rng: &mut Xoshiro256PlusPlus) -> EndpointList {
    let mut list = [ListedState::Ready; ENDPOINT_COUNT];
    for state in &mut list {
        *state = match rng.random_range(0..10) {
            0..=4 => ListedState::Ready,
            5..=6 => ListedState::Draining,
            _ => ListedState::Absent,
        };
    }
    if !list.contains(&ListedState::Ready) {
        list[rng.random_range(0..ENDPOINT_COUNT)] = ListedState::Ready;
    }
    list
}

fn draw_shutdown(rng: &mut Xoshiro256PlusPlus) -> ShutdownSignals {
    let has_reload_before = rng.random_range(0..2) == 0;
    let has_second_signal = rng.random_range(0..3) > 0;
    let signal = ["-TERM", "-INT", "-HUP"].choose(rng).copied();
    ShutdownSignals {
        reload_before_ms: has_reload_before.then(|| rng.random_range(0..30)),
        second_signal: signal
            .filter(|_| has_second_signal)
            .map(|signal| (signal, rng.random_range(0..800))),
        stagger_ms: 0,
    }
}
