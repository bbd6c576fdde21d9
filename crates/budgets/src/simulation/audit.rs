//! Counts of a simulation's requests, and the audit of its rate.

use crate::{Micros, Timestamp};

/// Counts over a span of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Activity {
    /// Number of requests that arrived.
    pub offered: u64,
    /// Number of requests that were admitted.
    pub admitted: u64,
    /// Number of messages that were sent.
    pub messages: u64,
}

/// Returns the maximum number of events in any window of a length, as a fraction of the number that
/// rate and burst allow in it. The times must be in ascending order.
pub fn peak_window_fraction(times: &[Timestamp], window: Micros, rate: f64, burst: f64) -> f64 {
    let allowed = rate * window as f64 / 1e6 + burst;
    let mut first = 0;
    let mut peak = 0;
    for (last, time) in times.iter().enumerate() {
        while time - times[first] >= window {
            first += 1;
        }
        peak = peak.max(last - first + 1);
    }
    peak as f64 / allowed
}
