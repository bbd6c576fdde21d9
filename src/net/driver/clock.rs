//! Unix time in milliseconds that never goes backwards.

use dewrun_balancer::Millis;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that starts at the system time and advances with the monotonic clock.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    start: Instant,
    unix_ms: Millis,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub(super) fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_ms: unix.as_secs_f64() * 1000.0,
        }
    }

    /// Returns the current Unix time in milliseconds.
    pub(super) fn now(&self) -> Millis {
        self.unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }
}
