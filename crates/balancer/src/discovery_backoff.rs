//! Backoff of discovery polls after failures, as used by the platform's simulator.
//!
//! The proxy reports no failed polls to the balancer: `Watch` in `dewrun-discovery` manages the
//! whole time budget there, including the duration of polls. Polls of the simulator take no time.

use crate::Millis;

/// Delay after the first failure, before jitter.
const INITIAL_BACKOFF_MS: Millis = 300.0;
/// Longest delay before jitter. Processes count as notified 6 s after an endpoint change.
const MAX_BACKOFF_MS: Millis = 2_000.0;
/// Longest time between two polls of discovery, divided by the longest delay.
const POLL_INTERVALS_PER_MAX_BACKOFF: f64 = 4.0;
/// Maximum number of doublings of the delay.
const MAX_DOUBLINGS: i32 = 5;

/// An exponential backoff with jitter.
#[derive(Default)]
pub(crate) struct DiscoveryBackoff {
    failures: i32,
}

impl DiscoveryBackoff {
    /// Resets the delay after a successful poll.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay before the next poll after a failed one. `random` is from 0 to 1.
    pub(crate) fn next_delay(&mut self, poll_within: Millis, random: f64) -> Millis {
        let longest = (poll_within / POLL_INTERVALS_PER_MAX_BACKOFF).min(MAX_BACKOFF_MS);
        let delay = (INITIAL_BACKOFF_MS * 2f64.powi(self.failures.min(MAX_DOUBLINGS))).min(longest);
        self.failures += 1;
        delay * (0.5 + random)
    }
}
