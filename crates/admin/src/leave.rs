//! The order in which a proxy that leaves service ends its callers' connections.

use std::time::Duration;

/// When which of its callers' connections a proxy ends, counted from when it was told to leave.
/// Callers that still use theirs are told first, by `Connection: close` on an answer, which crosses
/// no request. Then connections end that have rested for so long that a request is hardly on its
/// way, then all that are idle, and last those on which a request has begun and does not come
/// whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// From here on answers end their connections.
    pub answers: Duration,
    /// From here on connections end that have rested.
    pub rested: Duration,
    /// For how long, for that.
    pub rest: Duration,
    /// From here on all idle connections end.
    pub idle: Duration,
    /// From here on connections end on which a request has begun and is not whole.
    pub begun: Duration,
}

/// What a [`Plan`] ends at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Due {
    /// Answers end their connections.
    pub answers: bool,
    /// Connections end that have been idle for so long.
    pub idle_for: Option<Duration>,
    /// So do those with a request that is not whole.
    pub begun: bool,
}

impl Plan {
    /// Told to drain, while others serve: whoever asks whether this proxy takes clients sends new
    /// ones elsewhere within a moment, so that connections which end sooner would only come
    /// back. All are to be gone after 4 s, but for requests of 2 s and more.
    pub const DRAIN: Plan = Plan {
        answers: Duration::ZERO,
        rested: Duration::from_millis(600),
        rest: Duration::from_millis(300),
        idle: Duration::from_millis(1_800),
        begun: Duration::from_millis(3_300),
    };

    /// Told to end while a successor has the doors: its callers may be anywhere at once, but each
    /// connection that ends under a request costs one. `most` is all the time there is.
    pub fn handover(most: Duration) -> Plan {
        Plan {
            answers: Duration::ZERO,
            rested: most / 4,
            rest: Duration::from_millis(700),
            idle: most * 3 / 4,
            begun: most,
        }
    }

    /// Told to end with nobody in its place for a while: callers are served on the connections they
    /// have for the first half of the time, as other proxies may be down too.
    pub fn restart(most: Duration) -> Plan {
        Plan {
            answers: most / 2,
            rested: most / 2,
            rest: Duration::ZERO,
            idle: most / 2,
            begun: most,
        }
    }

    /// What is to end so long after it was told.
    pub fn due(&self, passed: Duration) -> Due {
        let idle_for = if passed >= self.idle {
            Some(Duration::ZERO)
        } else {
            (passed >= self.rested).then_some(self.rest)
        };
        Due {
            answers: passed >= self.answers,
            idle_for,
            begun: passed >= self.begun,
        }
    }
}
