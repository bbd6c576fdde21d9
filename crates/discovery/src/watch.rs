//! When a subscriber connects to discovery, disconnects and backs off.
//!
//! [`MAX_STALENESS`] is spent so: a watch may be silent for [`HEARTBEAT_TIMEOUT`]; the call that
//! replaces the watch may hang for [`CONNECT_TIMEOUT`]; after a short backoff a second call, which
//! may take half as long again, still ends in time. The rest is a margin for reading the list.

use std::time::Duration;

/// Time within which a change must be known to every subscriber, from when discovery had the change
/// and could be reached.
pub const MAX_STALENESS: Duration = Duration::from_millis(6_000);

/// A watch that brings nothing complete for this time is broken: a machine that was cut off never
/// closes its connections. Discovery sends a heartbeat every 2 s.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_600);
/// How long a call may take in [`Mode::Pushed`] before any has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Growth of the connect timeout with each failure, so that a slow discovery is reached in the end.
const CONNECT_TIMEOUT_GROWTH: f64 = 1.5;
/// Failures after which the connect timeout no longer grows.
const MAX_CONNECT_TIMEOUT_STEPS: u32 = 3;
/// Upper bound of the connect timeout, and the timeout of [`Mode::Polled`], where calls may wait
/// for their turn for 2 s.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The wait after the first call that failed, before jitter; doubled with each further failure.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Upper bound of the wait, before jitter.
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Doublings after which the backoff is at its upper bound in any case; guards the shift.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// The least part of a backoff that is waited for; the rest is jitter.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// How discovery serves its subscribers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// An agent beside the subscriber answers at once and pushes changes.
    Pushed,
    /// One service for all subscribers works through calls in turn.
    Polled,
}

/// What happens to a watch; the caller reports each event when it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time of [`Watch::next_deadline`] has come.
    TimerElapsed,
    /// Discovery answered the call that opens the watch.
    Connected,
    /// Discovery sent a heartbeat.
    Heartbeat,
    /// Discovery sent a list.
    ListReceived,
    /// The call failed, or the watch ended.
    Closed,
}

/// What the caller is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call discovery.
    Connect,
    /// Abort the call, or close the watch.
    Disconnect,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// No connection; the next call starts at `until`.
    Backoff { until: Duration },
    /// A call is on its way, until `until` at the latest.
    Connecting { until: Duration },
    /// A watch is open, and broken if nothing comes by `until`.
    Watching { until: Duration },
}

/// A watch on discovery. Times are counted from a moment of the caller's choice.
///
/// | state | event | next state | action |
/// | --- | --- | --- | --- |
/// | backoff | any, before the deadline | backoff | |
/// | backoff | any, from the deadline on | connecting, for the connect timeout | connect |
/// | connecting | `Connected` | watching, for `HEARTBEAT_TIMEOUT` | |
/// | connecting | `ListReceived` | connecting, for the connect timeout anew; no failures | |
/// | connecting | any other, from the deadline on | backoff, one more failure | disconnect |
/// | watching | `Heartbeat`, `ListReceived` | watching, for `HEARTBEAT_TIMEOUT`; no failures | |
/// | watching | any other, from the deadline on | backoff that ends at once | disconnect |
/// | connecting, watching | `Closed` | backoff, one more failure | |
#[derive(Clone, Debug)]
pub struct Watch {
    mode: Mode,
    state: State,
    /// Calls and watches in a row that brought nothing.
    failures: u32,
}

impl Watch {
    /// A watch whose first call starts at once.
    pub fn new(mode: Mode, now: Duration) -> Watch {
        Watch {
            mode,
            state: State::Backoff { until: now },
            failures: 0,
        }
    }

    /// When [`Event::TimerElapsed`] must be reported at the latest.
    pub fn next_deadline(&self) -> Duration {
        match self.state {
            State::Backoff { until } | State::Connecting { until } | State::Watching { until } => {
                until
            }
        }
    }

    /// Takes an event, and returns what the caller is to do now. `jitter` is a random number from 0
    /// to 1 that spreads the calls of subscribers which fail together.
    pub fn handle(&mut self, now: Duration, event: Event, jitter: f64) -> Option<Action> {
        match (self.state, event) {
            (State::Backoff { until }, _) if now < until => None,
            (State::Backoff { .. }, _) => {
                self.start_connect_timeout(now);
                Some(Action::Connect)
            }
            (_, Event::Closed) => {
                self.back_off(now, jitter);
                None
            }
            (State::Connecting { .. }, Event::Connected) => {
                self.start_heartbeat_timeout(now);
                None
            }
            (State::Watching { .. }, Event::Heartbeat | Event::ListReceived) => {
                self.failures = 0;
                self.start_heartbeat_timeout(now);
                None
            }
            // The snapshot that is fetched before the watch; the call for the watch has a timeout
            // of its own.
            (State::Connecting { .. }, Event::ListReceived) => {
                self.failures = 0;
                self.start_connect_timeout(now);
                None
            }
            (State::Connecting { until }, _) if now >= until => {
                self.back_off(now, jitter);
                Some(Action::Disconnect)
            }
            (State::Watching { until }, _) if now >= until => {
                // Changes may have been missed for a whole timeout: the next call starts at once.
                self.state = State::Backoff { until: now };
                Some(Action::Disconnect)
            }
            _ => None,
        }
    }

    fn start_connect_timeout(&mut self, now: Duration) {
        self.state = State::Connecting {
            until: now + self.connect_timeout(),
        };
    }

    fn start_heartbeat_timeout(&mut self, now: Duration) {
        self.state = State::Watching {
            until: now + HEARTBEAT_TIMEOUT,
        };
    }

    fn connect_timeout(&self) -> Duration {
        match self.mode {
            Mode::Polled => MAX_CONNECT_TIMEOUT,
            Mode::Pushed => {
                let steps = self.failures.min(MAX_CONNECT_TIMEOUT_STEPS) as i32;
                CONNECT_TIMEOUT
                    .mul_f64(CONNECT_TIMEOUT_GROWTH.powi(steps))
                    .min(MAX_CONNECT_TIMEOUT)
            }
        }
    }

    fn back_off(&mut self, now: Duration, jitter: f64) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let wait = (BACKOFF_BASE * 2u32.pow(doublings)).min(BACKOFF_MAX);
        self.failures += 1;
        let factor = MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * jitter;
        self.state = State::Backoff {
            until: now + wait.mul_f64(factor),
        };
    }
}
