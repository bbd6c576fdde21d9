//! When a subscriber connects to discovery, disconnects and backs off.
//!
//! [`MAX_STALENESS`] is spent so in [`Mode::Pushed`]: a watch may be silent for
//! [`HEARTBEAT_TIMEOUT`]; the call that replaces the watch may hang for [`CONNECT_TIMEOUT`]; after a
//! short backoff a second call, which may take half as long again, still ends in time. The rest is
//! a margin for reading the list.
//!
//! In [`Mode::Polled`]: calls that fail begin [`MAX_POLL_INTERVAL`] apart at the most, so the first
//! call that finds discovery up begins within that time, and may wait [`MAX_TURN_WAIT`] for its
//! turn. All subscribers lose their watches together when discovery goes down. Each therefore
//! begins at a random moment of one interval and keeps its place from then on: the calls stay
//! spread evenly, and discovery meets no crowd when it is up again.

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
/// Upper bound of the connect timeout, and the timeout of [`Mode::Polled`]: [`MAX_TURN_WAIT`], and
/// time for the network.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a call may wait for its turn at a polled discovery.
const MAX_TURN_WAIT: Duration = Duration::from_millis(2_000);
/// The least and the greatest time between the beginnings of two calls in [`Mode::Polled`] of which
/// the first failed.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(3_400);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(3_600);
/// In [`Mode::Polled`], the longest wait after a watch that fell silent: its timeout and a call's
/// turn must fit into [`MAX_STALENESS`] beside the wait.
const MAX_WAIT_AFTER_SILENCE: Duration = Duration::from_millis(1_000);
/// In [`Mode::Polled`], the longest wait of a process that starts: many may start together.
const MAX_FIRST_CALL_WAIT: Duration = Duration::from_millis(1_000);
/// What is left of [`MAX_STALENESS`] for the network and for reading a list.
const READ_MARGIN: Duration = Duration::from_millis(400);
const _: () = {
    let spent = MAX_POLL_INTERVAL.as_millis() + MAX_TURN_WAIT.as_millis();
    assert!(spent + READ_MARGIN.as_millis() <= MAX_STALENESS.as_millis());
    let spent = HEARTBEAT_TIMEOUT.as_millis() + MAX_WAIT_AFTER_SILENCE.as_millis();
    assert!(
        spent + MAX_TURN_WAIT.as_millis() + READ_MARGIN.as_millis() <= MAX_STALENESS.as_millis()
    );
};
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
///
/// In [`Mode::Polled`] the backoff after a silent watch has a random length of up to
/// `MAX_WAIT_AFTER_SILENCE`, and that after a watch which had brought something one of up to
/// `MIN_POLL_INTERVAL`.
#[derive(Clone, Debug)]
pub struct Watch {
    mode: Mode,
    state: State,
    /// Calls and watches in a row that brought nothing.
    failures: u32,
    /// When the last call began.
    called_at: Duration,
    /// Whether the present watch, or the call for it, has brought anything.
    has_brought_anything: bool,
}

impl Watch {
    /// A watch whose first call starts at once.
    pub fn new(mode: Mode, now: Duration) -> Watch {
        Watch {
            mode,
            state: State::Backoff { until: now },
            failures: 0,
            called_at: now,
            has_brought_anything: false,
        }
    }

    /// Has the first call to a polled discovery start after a random part of `MAX_FIRST_CALL_WAIT`,
    /// where `jitter` is from 0 to 1. Pushed lists come at no cost, and are called for at once.
    pub fn spread_first_call(mut self, jitter: f64) -> Watch {
        if let (Mode::Polled, State::Backoff { until }) = (self.mode, self.state) {
            let wait = MAX_FIRST_CALL_WAIT.mul_f64(jitter);
            self.state = State::Backoff {
                until: until + wait,
            };
        }
        self
    }

    /// When [`Event::TimerElapsed`] must be reported at the latest.
    pub fn next_deadline(&self) -> Duration {
        match self.state {
            State::Backoff { until } | State::Connecting { until } | State::Watching { until } => {
                until
            }
        }
    }

    /// The wait until the next call; `None` while a call or a watch is open.
    pub fn backoff(&self, now: Duration) -> Option<Duration> {
        match self.state {
            State::Backoff { until } => Some(until.saturating_sub(now)),
            State::Connecting { .. } | State::Watching { .. } => None,
        }
    }

    /// Takes an event, and returns what the caller is to do now. `jitter` is a random number from 0
    /// to 1 that spreads the calls of subscribers which fail together.
    pub fn handle(&mut self, now: Duration, event: Event, jitter: f64) -> Option<Action> {
        match (self.state, event) {
            (State::Backoff { until }, _) if now < until => None,
            (State::Backoff { .. }, _) => {
                self.called_at = now;
                self.has_brought_anything = false;
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
                self.has_brought_anything = true;
                self.start_heartbeat_timeout(now);
                None
            }
            // The snapshot that is fetched before the watch; the call for the watch has a timeout
            // of its own.
            (State::Connecting { .. }, Event::ListReceived) => {
                self.failures = 0;
                self.has_brought_anything = true;
                self.start_connect_timeout(now);
                None
            }
            (State::Connecting { until }, _) if now >= until => {
                self.back_off(now, jitter);
                Some(Action::Disconnect)
            }
            (State::Watching { until }, _) if now >= until => {
                // Changes may have been missed for a whole timeout: the next call starts at once, or
                // soon where many may have fallen silent together and wait for their turns.
                let wait = match self.mode {
                    Mode::Pushed => Duration::ZERO,
                    Mode::Polled => MAX_WAIT_AFTER_SILENCE.mul_f64(jitter),
                };
                self.state = State::Backoff { until: now + wait };
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
        let until = match self.mode {
            Mode::Pushed => now + self.exponential_backoff(jitter),
            Mode::Polled => self.next_poll_at(now, jitter),
        };
        self.failures += 1;
        self.state = State::Backoff { until };
    }

    /// When a polled discovery is called again.
    fn next_poll_at(&self, now: Duration, jitter: f64) -> Duration {
        if self.has_brought_anything {
            return now + MIN_POLL_INTERVAL.mul_f64(jitter);
        }
        let spread = (MAX_POLL_INTERVAL - MIN_POLL_INTERVAL).mul_f64(jitter);
        now.max(self.called_at + MIN_POLL_INTERVAL + spread)
    }

    fn exponential_backoff(&self, jitter: f64) -> Duration {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let wait = (BACKOFF_BASE * 2u32.pow(doublings)).min(BACKOFF_MAX);
        let factor = MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * jitter;
        wait.mul_f64(factor)
    }
}
