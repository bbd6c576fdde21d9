//! What happens in one play of the soak, drawn from its seed.

use super::discovery::Reach;
use super::disturbance::Disturbances;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// How many endpoints there are, listed or not.
pub const ENDPOINTS: usize = 4;
/// The shortest and the longest time between two steps, in milliseconds.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// In place of one interval in so many nothing happens for a while, in which service must recover.
const PAUSE_EVERY: u32 = 5;
const PAUSE_MS: u64 = 4_500;
/// Nothing happens in this time after the start.
const FIRST_STEP_MS: u64 = 700;

/// What a list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It takes requests.
    Ready,
    /// It takes nothing new.
    Draining,
    /// The list does not name it.
    Absent,
}

/// A list, by the numbers of the endpoints.
pub type List = [Listed; ENDPOINTS];

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behavior {
    /// Soon and once.
    Well,
    /// It breaks the connection off under the request.
    Resets,
    /// After a third of a second.
    Slow,
    /// Twice, the second time at once or within some milliseconds.
    Twice,
}

impl Behavior {
    /// All, by their numbers.
    pub const ALL: [Behavior; 4] = [
        Behavior::Well,
        Behavior::Resets,
        Behavior::Slow,
        Behavior::Twice,
    ];
}

/// The list in which each ready endpoint is absent and each other one is ready; the same list where
/// all are ready.
pub fn swapped(list: &List) -> List {
    if list.iter().all(|listed| *listed == Listed::Ready) {
        return *list;
    }
    list.map(|listed| match listed {
        Listed::Ready => Listed::Absent,
        Listed::Draining | Listed::Absent => Listed::Ready,
    })
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The endpoint list changes.
    List(List),
    /// Each ready endpoint leaves the list, and each other one comes into it.
    Swap,
    /// The same list is told again, by SIGHUP where the form has files.
    Again,
    /// A file that cannot be read is put in place, with SIGHUP.
    BrokenFile,
    /// An endpoint behaves otherwise from now on; all others behave well.
    Behave(usize, Behavior),
    /// Discovery ends its watches.
    HangUp,
    /// Clients that send nothing connect, so many.
    Crowd(usize),
    /// Discovery keeps its watches open and says nothing more on them.
    Mute,
    /// Discovery takes calls in another way.
    Discovery(Reach),
    /// An endpoint ends its process.
    EndpointEnds(usize),
    /// An endpoint that has ended starts again, cold.
    EndpointStarts(usize),
    /// A process gets a signal, as `-HUP`.
    Signal(usize, &'static str),
    /// A process is told by its second address to drain.
    Drain(usize),
    /// A process is ended by SIGKILL, with no SIGTERM before, and started again.
    Kill(usize),
    /// What SIGTERM has left of a process is ended by SIGKILL, and the process is started again.
    Replace(usize),
}

/// How the processes are told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// A SIGHUP so long before SIGTERM.
    pub reload_before_ms: Option<u64>,
    /// A second signal, so long after SIGTERM.
    pub second_signal: Option<(&'static str, u64)>,
    /// Each further process is told to end so long after the one before.
    pub apart_ms: u64,
}

impl Ending {
    /// The signals to so many processes, in order: when, to which process, and which.
    pub fn signals(&self, processes: usize) -> Vec<(u64, usize, &'static str)> {
        let mut signals = Vec::new();
        for process in 0..processes {
            let begun_ms = self.apart_ms * process as u64;
            let term_ms = begun_ms + self.reload_before_ms.unwrap_or(0);
            if self.reload_before_ms.is_some() {
                signals.push((begun_ms, process, "-HUP"));
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

/// One play.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// What happens, each so many milliseconds after the start, in order.
    pub steps: Vec<(u64, Step)>,
    /// For how long clients call before the end.
    pub duration: Duration,
    /// The end.
    pub ending: Ending,
    /// Lists are polled, where the form has discovery.
    pub is_polled: bool,
    /// Some clients rest on their connections.
    pub some_rest: bool,
}

impl Schedule {
    /// Draws a schedule; equal for equal arguments.
    pub fn draw(seed: u64, duration: Duration) -> Schedule {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let has_crowd = rng.random_range(0..4) == 0;
        let mut steps = Vec::new();
        let mut at_ms = FIRST_STEP_MS;
        while at_ms < duration.as_millis() as u64 {
            steps.push((at_ms, draw_step(&mut rng, has_crowd)));
            at_ms += if rng.random_ratio(1, PAUSE_EVERY) {
                PAUSE_MS
            } else {
                rng.random_range(STEP_INTERVAL_MS)
            };
        }
        Schedule {
            steps,
            duration,
            ending: draw_ending(&mut rng),
            is_polled: false,
            some_rest: false,
        }
    }

    /// The same with disturbances between its steps.
    pub fn with(mut self, disturbances: Disturbances) -> Schedule {
        self.steps.extend(disturbances.steps);
        self.steps.sort_by_key(|(at_ms, _)| *at_ms);
        self.ending.apart_ms = disturbances.apart_ms;
        self.is_polled = disturbances.is_polled;
        self.some_rest = true;
        self
    }
}

fn draw_step(rng: &mut Xoshiro256PlusPlus, has_crowd: bool) -> Step {
    match rng.random_range(0..14) {
        0..=4 => Step::List(draw_list(rng)),
        5 | 6 => Step::Swap,
        7 => Step::Again,
        8 => Step::BrokenFile,
        9 => Step::HangUp,
        10 if has_crowd => Step::Crowd(rng.random_range(100..400)),
        _ => {
            let behavior = Behavior::ALL.choose(rng).copied();
            Step::Behave(
                rng.random_range(0..ENDPOINTS),
                behavior.unwrap_or(Behavior::Well),
            )
        }
    }
}

/// A list that names at least one ready endpoint.
fn draw_list(rng: &mut Xoshiro256PlusPlus) -> List {
    let mut list = [Listed::Ready; ENDPOINTS];
    for listed in &mut list {
        *listed = match rng.random_range(0..10) {
            0..=4 => Listed::Ready,
            5..=6 => Listed::Draining,
            _ => Listed::Absent,
        };
    }
    if !list.contains(&Listed::Ready) {
        list[rng.random_range(0..ENDPOINTS)] = Listed::Ready;
    }
    list
}

fn draw_ending(rng: &mut Xoshiro256PlusPlus) -> Ending {
    let reloads_before = rng.random_range(0..2) == 0;
    let signals_again = rng.random_range(0..3) > 0;
    let signal = ["-TERM", "-INT", "-HUP"].choose(rng).copied();
    Ending {
        reload_before_ms: reloads_before.then(|| rng.random_range(0..30)),
        second_signal: signal
            .filter(|_| signals_again)
            .map(|signal| (signal, rng.random_range(0..800))),
        apart_ms: 0,
    }
}
