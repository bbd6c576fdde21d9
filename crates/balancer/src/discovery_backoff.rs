//! When to poll discovery again after a failed call, on the wire of the platform's simulator.
//!
//! The proxy reports no failed call to the balancer: `Watch` in `dewrun-discovery` owns the whole
//! time budget there, which includes how long a call takes. The simulator's calls take no time.

use crate::Millis;

/// Wait after the first failure, before jitter.
const INITIAL_BACKOFF_MS: Millis = 300.0;
/// The longest wait, before jitter: an endpoint change counts as notified 6 s after it happened.
const MAX_BACKOFF_MS: Millis = 2_000.0;
/// The time within which discovery must be polled, divided by the longest wait.
const POLL_INTERVALS_PER_MAX_BACKOFF: f64 = 4.0;
/// Failures after which the wait no longer doubles.
const MAX_DOUBLINGS: i32 = 5;

/// An exponential backoff with jitter.
#[derive(Default)]
pub(crate) struct DiscoveryBackoff {
    failures: i32,
}

impl DiscoveryBackoff {
    /// A call succeeded.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// A call failed: the wait before the next, where `random` is from 0 to 1.
    pub(crate) fn next_wait(&mut self, poll_within: Millis, random: f64) -> Millis {
        let longest = (poll_within / POLL_INTERVALS_PER_MAX_BACKOFF).min(MAX_BACKOFF_MS);
        let wait = (INITIAL_BACKOFF_MS * 2f64.powi(self.failures.min(MAX_DOUBLINGS))).min(longest);
        self.failures += 1;
        wait * (0.5 + random)
    }
}
