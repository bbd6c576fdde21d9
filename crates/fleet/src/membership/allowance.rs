//! Rate limits on the bytes that are sent or requested.

use super::{Micros, Timestamp};

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub(super) struct ByteAllowance {
    available: f64,
    refilled_at: Timestamp,
    burst_bytes: f64,
    bytes_per_s: f64,
}

impl ByteAllowance {
    /// Creates a full bucket.
    pub(super) fn new(now: Timestamp, burst_bytes: f64, bytes_per_s: f64) -> ByteAllowance {
        ByteAllowance {
            available: burst_bytes,
            refilled_at: now,
            burst_bytes,
            bytes_per_s,
        }
    }

    /// Returns the available bytes, which are negative after overspending.
    pub(super) fn available(&mut self, now: Timestamp) -> f64 {
        let elapsed_us: Micros = now.saturating_sub(self.refilled_at);
        let refilled = self.available + elapsed_us as f64 / 1e6 * self.bytes_per_s;
        self.available = refilled.min(self.burst_bytes);
        self.refilled_at = self.refilled_at.max(now);
        self.available
    }

    /// Spends bytes, even more than are available.
    pub(super) fn spend(&mut self, now: Timestamp, bytes: usize) {
        self.available(now);
        self.available -= bytes as f64;
    }
}
