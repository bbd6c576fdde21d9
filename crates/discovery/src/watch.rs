//! When a subscriber connects to discovery, disconnects and backs off.
//!
//! A change counts as told [`STALENESS_MOST`] after discovery had it and could be reached, whatever
//! failed on the way. That time is spent so: a watch may be silent for [`HEARTBEAT_TIMEOUT`]; the
//! call that follows may hang for [`CONNECT_TIMEOUT`]; after a short backoff a second one, which
//! may take half as long again, still ends in time. What is left is a margin, and for reading the
//! list.

use std::time::Duration;

/// A change counts as told so long after discovery had it and could be reached.
pub const STALENESS_MOST: Duration = Duration::from_millis(6_000);

/// Discovery says something every 2 s. A watch that brings nothing whole for this long is broken: a
/// machine that was cut off never closes its connections.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_600);
/// How long a call may take at first, where discovery answers at once ...
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// ... and at the most, as one that is slow must be waited for in the end; at once where calls wait
/// for their turn, which they may for 2 s.
const CONNECT_TIMEOUT_MOST: Duration = Duration::from_millis(2_500);
/// The wait after a call that failed, doubled with each more.
const BACKOFF: Duration = Duration::from_millis(50);
const BACKOFF_MOST: Duration = Duration::from_millis(800);

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
    Elapsed,
    /// The call was answered: what is said from now on is the watch.
    Connected,
    /// Discovery said something whole, if only that it is alive.
    Heartbeat,
    /// A list came.
    List,
    /// The call failed, or the watch ended.
    Ended,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call discovery.
    Connect,
    /// End the call, or the watch.
    Disconnect,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Backoff { until: Duration },
    Connecting { until: Duration },
    Watching { until: Duration },
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
        Watch {
            mode,
            state: State::Backoff { until: now },
            failed: 0,
        }
    }

    /// When [`Event::Elapsed`] is to be told at the latest.
    pub fn wakes_at(&self) -> Duration {
        match self.state {
            State::Backoff { until } | State::Connecting { until } | State::Watching { until } => {
                until
            }
        }
    }

    /// Takes what has happened; `random`, from 0 to 1, spreads those who fail together.
    pub fn handle(&mut self, now: Duration, event: Event, random: f64) -> Option<Action> {
        match (self.state, event) {
            (State::Backoff { until }, _) => {
                if now < until {
                    return None;
                }
                self.state = State::Connecting {
                    until: now + self.connect_timeout(),
                };
                Some(Action::Connect)
            }
            (_, Event::Ended) => {
                self.back_off(now, random);
                None
            }
            (State::Connecting { .. }, Event::Connected) => {
                self.state = State::Watching {
                    until: now + HEARTBEAT_TIMEOUT,
                };
                None
            }
            (State::Watching { .. }, Event::Heartbeat | Event::List) => {
                self.failed = 0;
                self.state = State::Watching {
                    until: now + HEARTBEAT_TIMEOUT,
                };
                None
            }
            // The whole list, which is asked for ahead of the watch: that call has a time of its
            // own.
            (State::Connecting { .. }, Event::List) => {
                self.failed = 0;
                self.state = State::Connecting {
                    until: now + self.connect_timeout(),
                };
                None
            }
            (State::Connecting { until }, _) if now >= until => {
                self.back_off(now, random);
                Some(Action::Disconnect)
            }
            (State::Watching { until }, _) if now >= until => {
                // What was missed is already late: the next call comes at once.
                self.state = State::Backoff { until: now };
                Some(Action::Disconnect)
            }
            _ => None,
        }
    }

    fn connect_timeout(&self) -> Duration {
        match self.mode {
            Mode::Asked => CONNECT_TIMEOUT_MOST,
            Mode::Pushed => CONNECT_TIMEOUT
                .mul_f64(1.5f64.powi(self.failed.min(3) as i32))
                .min(CONNECT_TIMEOUT_MOST),
        }
    }

    fn back_off(&mut self, now: Duration, random: f64) {
        let wait = (BACKOFF * 2u32.pow(self.failed.min(8))).min(BACKOFF_MOST);
        self.failed += 1;
        self.state = State::Backoff {
            until: now + wait.mul_f64(0.5 + 0.5 * random),
        };
    }
}
