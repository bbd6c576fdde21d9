//! When a subscriber calls discovery, hangs up and rests.
//!
//! A change counts as told [`TOLD`] after discovery had it and could be reached, whatever failed on the way. That time is
//! spent so: a watch may be silent for [`SILENCE`]; a call that follows may hang for [`CALL`]; after a short rest a second
//! one, which may take half as long again, still ends in time. With what a list takes to be read there is room for a
//! margin.

use std::time::Duration;

/// A change counts as told so long after discovery had it and could be reached.
pub const TOLD: Duration = Duration::from_millis(6_000);

/// Discovery says something every 2 s. A watch that brings nothing whole for this long is broken: a machine that was cut off
/// never closes its connections.
const SILENCE: Duration = Duration::from_millis(2_600);
/// How long a call may take at first, where discovery answers at once ...
const CALL: Duration = Duration::from_millis(1_000);
/// ... and at the most, as one that is slow must be waited for in the end; at once where calls wait for their turn, which
/// they may for 2 s.
const CALL_MOST: Duration = Duration::from_millis(2_500);
/// The rest after a call that failed, doubled with each more.
const REST: Duration = Duration::from_millis(50);
const REST_MOST: Duration = Duration::from_millis(800);

/// How discovery is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// An agent beside the subscriber answers at once.
    Pushed,
    /// One service for all subscribers works through calls in turn.
    Asked,
}

/// What happens to a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Passed,
    /// The call was answered: what is said from now on is the watch.
    Answered,
    /// Discovery said something whole, if only that it is alive.
    Alive,
    /// A list came.
    List,
    /// The call failed, or the watch ended.
    Ended,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call discovery.
    Call,
    /// End the call, or the watch.
    HangUp,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Rests { until: Duration },
    Calls { until: Duration },
    Listens { until: Duration },
}

/// A watch on discovery. Times are counted from any one moment.
#[derive(Clone, Debug)]
pub struct Watch {
    mode: Mode,
    state: State,
    /// Calls and watches in a row that brought nothing.
    failed: u32,
}

impl Watch {
    /// One that calls at once.
    pub fn new(mode: Mode, now: Duration) -> Watch {
        Watch { mode, state: State::Rests { until: now }, failed: 0 }
    }

    /// When [`Event::Passed`] is to be told at the latest.
    pub fn wakes_at(&self) -> Duration {
        match self.state {
            State::Rests { until } | State::Calls { until } | State::Listens { until } => until,
        }
    }

    /// Whether there is no call and no watch.
    pub fn rests(&self) -> bool {
        matches!(self.state, State::Rests { .. })
    }

    /// Takes what has happened; `random`, from 0 to 1, spreads those who fail together.
    pub fn handle(&mut self, now: Duration, event: Event, random: f64) -> Option<Action> {
        match (self.state, event) {
            (State::Rests { until }, _) => {
                if now < until {
                    return None;
                }
                self.state = State::Calls { until: now + self.call_time() };
                Some(Action::Call)
            }
            (_, Event::Ended) => {
                self.rest(now, random);
                None
            }
            (State::Calls { .. }, Event::Answered) => {
                self.state = State::Listens { until: now + SILENCE };
                None
            }
            (State::Listens { .. }, Event::Alive | Event::List) => {
                self.failed = 0;
                self.state = State::Listens { until: now + SILENCE };
                None
            }
            // The whole list, which is asked for ahead of the watch: that call has a time of its own.
            (State::Calls { .. }, Event::List) => {
                self.failed = 0;
                self.state = State::Calls { until: now + self.call_time() };
                None
            }
            (State::Calls { until }, _) if now >= until => {
                self.rest(now, random);
                Some(Action::HangUp)
            }
            (State::Listens { until }, _) if now >= until => {
                // What was missed is already late: the next call comes at once.
                self.state = State::Rests { until: now };
                Some(Action::HangUp)
            }
            _ => None,
        }
    }

    fn call_time(&self) -> Duration {
        match self.mode {
            Mode::Asked => CALL_MOST,
            Mode::Pushed => CALL.mul_f64(1.5f64.powi(self.failed.min(3) as i32)).min(CALL_MOST),
        }
    }

    fn rest(&mut self, now: Duration, random: f64) {
        let rest = (REST * 2u32.pow(self.failed.min(8))).min(REST_MOST);
        self.failed += 1;
        self.state = State::Rests { until: now + rest.mul_f64(0.5 + 0.5 * random) };
    }
}
