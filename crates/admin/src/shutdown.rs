//! Graceful shutdown: the order in which a proxy closes its clients' connections.

use std::time::Duration;

/// The times at which listeners and kinds of client connections are closed. All times are relative
/// to the request to drain or to shut down.
///
/// New connections are accepted until [`close_listeners_from`](ShutdownPlan::close_listeners_from).
/// Where this process must not get its clients back, that time precedes the close of the
/// connections, because a client whose connection is closed reconnects.
///
/// The stages, from the least to the most disruptive for a client:
///
/// 1. Each response carries `Connection: close`, which cannot race with a request of the client.
/// 2. Connections are closed that have been idle long enough that a request is unlikely to be on
///    its way.
/// 3. All idle connections are closed.
/// 4. Connections with an incomplete request are closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownPlan {
    /// The time from which no connection is accepted.
    pub close_listeners_from: Duration,
    /// Stage 1: the time from which each response closes its connection.
    pub close_with_response_from: Duration,
    /// Stage 2: the time from which connections that have been idle for
    /// [`min_idle`](ShutdownPlan::min_idle) are closed.
    pub close_long_idle_from: Duration,
    /// The minimum idle time of the connections that stage 2 closes.
    pub min_idle: Duration,
    /// Stage 3: the time from which all idle connections are closed.
    pub close_idle_from: Duration,
    /// Stage 4: the time from which connections with an incomplete request are closed.
    pub close_incomplete_from: Duration,
}

/// The client connections that a [`ShutdownPlan`] closes at a given time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionsToClose {
    /// Whether connections are closed with their next response.
    pub with_response: bool,
    /// The idle time from which connections are closed; `None` if no idle connections are closed.
    pub idle_for: Option<Duration>,
    /// Whether connections with an incomplete request are closed.
    pub incomplete: bool,
}

/// The time from the close of the listeners to the close of the first connections.
const LISTENER_LEAD: Duration = Duration::from_millis(100);
/// The minimum idle time of the connections that stage 2 of [`ShutdownPlan::stop`] closes. A client
/// with a request to send sends it within this time after it connects.
const STOP_MIN_IDLE: Duration = Duration::from_millis(500);

impl ShutdownPlan {
    /// The plan of a drain while other proxies serve. Load balancers that poll the health check
    /// need some time before they direct new clients elsewhere; a client whose connection is closed
    /// earlier would reconnect to this proxy. All connections are closed after 4 s, except those
    /// with a request that takes 2 s or more.
    pub const DRAIN: ShutdownPlan = ShutdownPlan {
        close_listeners_from: Duration::MAX,
        close_with_response_from: Duration::ZERO,
        close_long_idle_from: Duration::from_millis(600),
        min_idle: Duration::from_millis(300),
        close_idle_from: Duration::from_millis(1_800),
        close_incomplete_from: Duration::from_millis(3_300),
    };

    /// Returns the plan of a shutdown while a successor accepts connections on the same listener.
    /// Clients can reconnect immediately, but closing a connection while a request is on its way
    /// fails that request. `stop_timeout` is the time until the process must have exited.
    pub fn handover(stop_timeout: Duration) -> ShutdownPlan {
        ShutdownPlan {
            close_listeners_from: Duration::ZERO,
            close_with_response_from: Duration::ZERO,
            close_long_idle_from: stop_timeout / 4,
            min_idle: Duration::from_millis(700),
            close_idle_from: stop_timeout * 3 / 4,
            close_incomplete_from: stop_timeout,
        }
    }

    /// Returns the plan of a shutdown without a successor, on a port that clients connect to until
    /// the process exits; the listeners therefore stay open until the end. Existing connections are
    /// served as usual for the first half of `stop_timeout`, because other proxies may be down too.
    pub fn restart(stop_timeout: Duration) -> ShutdownPlan {
        ShutdownPlan {
            close_listeners_from: stop_timeout,
            close_with_response_from: stop_timeout / 2,
            close_long_idle_from: stop_timeout / 2,
            min_idle: Duration::ZERO,
            close_idle_from: stop_timeout / 2,
            close_incomplete_from: stop_timeout,
        }
    }

    /// Returns the plan of a permanent shutdown. Clients are served as usual for the first half of
    /// `stop_timeout`. Then no connection is accepted, each connection is closed with its next
    /// response, and the process can exit once the last connection is closed.
    pub fn stop(stop_timeout: Duration) -> ShutdownPlan {
        let close_listeners_from = stop_timeout / 2;
        let close_from = close_listeners_from + LISTENER_LEAD;
        ShutdownPlan {
            close_listeners_from,
            close_with_response_from: close_from,
            close_long_idle_from: close_from,
            min_idle: STOP_MIN_IDLE,
            close_idle_from: stop_timeout.max(close_from),
            close_incomplete_from: stop_timeout.max(close_from),
        }
    }

    /// Returns whether the listeners are closed `elapsed` after the request to drain or to shut
    /// down.
    pub fn closes_listeners(&self, elapsed: Duration) -> bool {
        elapsed >= self.close_listeners_from
    }

    /// Returns the connections to close `elapsed` after the request to drain or to shut down.
    pub fn connections_to_close(&self, elapsed: Duration) -> ConnectionsToClose {
        let idle_for = if elapsed >= self.close_idle_from {
            Some(Duration::ZERO)
        } else {
            (elapsed >= self.close_long_idle_from).then_some(self.min_idle)
        };
        ConnectionsToClose {
            with_response: elapsed >= self.close_with_response_from,
            idle_for,
            incomplete: elapsed >= self.close_incomplete_from,
        }
    }
}
