//! Decides when a subscriber connects to discovery, disconnects and backs off.
//!
//! In [`Mode::Pushed`], [`MAX_STALENESS`] covers a watch that is silent for [`HEARTBEAT_TIMEOUT`],
//! a replacing call that hangs for [`CONNECT_TIMEOUT`], a short backoff, and a second call with a
//! timeout that is longer by half. The remainder is a margin for reading the list.
//!
//! In [`Mode::Polled`], failed calls start at most [`MAX_POLL_INTERVAL`] apart. After an outage the
//! first call that can succeed therefore starts within that time, and may wait [`MAX_TURN_WAIT`] in
//! discovery's queue. All subscribers lose their watches at the same time when discovery goes down.
//! Each subscriber therefore starts calling at a random time within one interval and keeps that
//! phase, which spreads the calls evenly and avoids a burst of calls when discovery is up again.

use std::time::Duration;

/// The maximum time until every subscriber knows a change, counted from when discovery has the
/// change and is reachable.
pub const MAX_STALENESS: Duration = Duration::from_millis(6_000);

/// The time without a complete list or heartbeat after which a watch is considered broken: a
/// partitioned machine never closes its connections. Discovery sends a heartbeat every 2 s.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The timeout of a call in [`Mode::Pushed`] while no call has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The factor by which the connect timeout grows with each failure, so that a call to a slow
/// discovery eventually succeeds.
const CONNECT_TIMEOUT_GROWTH: f64 = 1.5;
/// The number of failures after which the connect timeout no longer grows.
const MAX_CONNECT_TIMEOUT_STEPS: u32 = 3;
/// The upper bound of the connect timeout, and the timeout of [`Mode::Polled`], which covers
/// [`MAX_TURN_WAIT`] and the network delay.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The maximum time that a call waits in the queue of a polled discovery.
const MAX_TURN_WAIT: Duration = Duration::from_millis(2_000);
/// The minimum time from the start of a failed call to the start of the next in
/// [`Mode::Polled`].
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(3_400);
/// The maximum time from the start of a failed call to the start of the next in
/// [`Mode::Polled`].
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(3_600);
/// The maximum wait after a silent watch in [`Mode::Polled`]. The heartbeat timeout, this wait and
/// a call's time in the queue must fit into [`MAX_STALENESS`].
const MAX_WAIT_AFTER_SILENCE: Duration = Duration::from_millis(1_000);
/// The maximum wait before the first call of a process in [`Mode::Polled`], because many processes
/// may start at the same time.
const MAX_FIRST_CALL_WAIT: Duration = Duration::from_millis(1_000);
/// The part of [`MAX_STALENESS`] that is reserved for the network and for reading a list.
const READ_MARGIN: Duration = Duration::from_millis(400);
const _: () = {
    let spent = MAX_POLL_INTERVAL.as_millis() + MAX_TURN_WAIT.as_millis();
    assert!(spent + READ_MARGIN.as_millis() <= MAX_STALENESS.as_millis());
    let spent = HEARTBEAT_TIMEOUT.as_millis() + MAX_WAIT_AFTER_SILENCE.as_millis();
    assert!(
        spent + MAX_TURN_WAIT.as_millis() + READ_MARGIN.as_millis() <= MAX_STALENESS.as_millis()
    );
};
/// The backoff after the first failed call, before jitter; it doubles with each further failure.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// The upper bound of the backoff, before jitter.
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// The number of doublings after which the backoff is always at its upper bound; prevents an
/// overflow of the power of two.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// The minimum factor that jitter applies to a backoff.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// How discovery serves its subscribers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// An agent on the subscriber's machine responds immediately and pushes changes.
    Pushed,
    /// One service for all subscribers queues the calls and serves them one at a time.
    Polled,
}

/// An input of a [`Watch`], which the caller reports when it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time of [`Watch::next_deadline`] is reached.
    TimerElapsed,
    /// Discovery responded to the call that opens the watch.
    Connected,
    /// Discovery sent a heartbeat.
    Heartbeat,
    /// Discovery sent a list.
    ListReceived,
    /// The call failed, or the watch was closed.
    Closed,
}

/// An action that the caller must perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call discovery.
    Connect,
    /// Abort the call, or close the watch.
    Disconnect,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// There is no connection; the next call starts at `until`.
    Backoff { until: Duration },
    /// A call is in progress and times out at `until`.
    Connecting { until: Duration },
    /// A watch is open, and considered broken if nothing is received by `until`.
    Watching { until: Duration },
}

/// A watch on discovery. Times are relative to an arbitrary fixed origin that the caller chooses.
///
/// | state | event | next state | action |
/// | --- | --- | --- | --- |
/// | backoff | any, before the deadline | backoff | |
/// | backoff | any, from the deadline on | connecting, for the connect timeout | connect |
/// | connecting | `Connected` | watching, for `HEARTBEAT_TIMEOUT` | |
/// | connecting | `ListReceived` | connecting, for the connect timeout anew; no failures | |
/// | connecting | any other, from the deadline on | backoff, one more failure | disconnect |
/// | watching | `Heartbeat`, `ListReceived` | watching, for `HEARTBEAT_TIMEOUT`; no failures | |
/// | watching | any other, from the deadline on | backoff that ends immediately | disconnect |
/// | connecting, watching | `Closed` | backoff, one more failure | |
///
/// In [`Mode::Polled`] the backoff is random: up to `MAX_WAIT_AFTER_SILENCE` after a silent watch,
/// and up to `MIN_POLL_INTERVAL` after a closed call or watch that had received something.
#[derive(Clone, Debug)]
pub struct Watch {
    mode: Mode,
    state: State,
    /// The number of consecutive calls and watches that received nothing.
    failures: u32,
    /// When the last call started.
    called_at: Duration,
    /// Whether the current watch, or the call that opens it, has received a list or a heartbeat.
    has_received_data: bool,
}

impl Watch {
    /// Returns a watch whose first call starts immediately.
    pub fn new(mode: Mode, now: Duration) -> Watch {
        Watch {
            mode,
            state: State::Backoff { until: now },
            failures: 0,
            called_at: now,
            has_received_data: false,
        }
    }

    /// Delays the first call to a polled discovery by the fraction `jitter`, a random number from 0
    /// to 1, of `MAX_FIRST_CALL_WAIT`. In [`Mode::Pushed`] the first call is not delayed, because
    /// the local agent can serve it at no cost.
    pub fn spread_first_call(mut self, jitter: f64) -> Watch {
        if let (Mode::Polled, State::Backoff { until }) = (self.mode, self.state) {
            let wait = MAX_FIRST_CALL_WAIT.mul_f64(jitter);
            self.state = State::Backoff {
                until: until + wait,
            };
        }
        self
    }

    /// Returns the time at which [`Event::TimerElapsed`] must be reported at the latest.
    pub fn next_deadline(&self) -> Duration {
        match self.state {
            State::Backoff { until } | State::Connecting { until } | State::Watching { until } => {
                until
            }
        }
    }

    /// Returns the wait until the next call; `None` while a call or a watch is open.
    pub fn backoff(&self, now: Duration) -> Option<Duration> {
        match self.state {
            State::Backoff { until } => Some(until.saturating_sub(now)),
            State::Connecting { .. } | State::Watching { .. } => None,
        }
    }

    /// Processes an event and returns the action that the caller must perform now. `jitter` is a
    /// random number from 0 to 1 that spreads the calls of subscribers that fail simultaneously.
    pub fn handle(&mut self, now: Duration, event: Event, jitter: f64) -> Option<Action> {
        match (self.state, event) {
            (State::Backoff { until }, _) if now < until => None,
            (State::Backoff { .. }, _) => {
                self.called_at = now;
                self.has_received_data = false;
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
                self.has_received_data = true;
                self.start_heartbeat_timeout(now);
                None
            }
            // A snapshot is fetched before the watch is opened; the call that opens the watch has a
            // timeout of its own.
            (State::Connecting { .. }, Event::ListReceived) => {
                self.failures = 0;
                self.has_received_data = true;
                self.start_connect_timeout(now);
                None
            }
            (State::Connecting { until }, _) if now >= until => {
                self.back_off(now, jitter);
                Some(Action::Disconnect)
            }
            (State::Watching { until }, _) if now >= until => {
                // Changes may have been missed during the whole timeout, so the next call starts
                // immediately. In polled mode it starts after a short random wait, because the
                // watches of many subscribers may have gone silent at the same time.
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

    /// Returns when a polled discovery is called again.
    fn next_poll_at(&self, now: Duration, jitter: f64) -> Duration {
        if self.has_received_data {
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
