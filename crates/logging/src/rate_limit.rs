//! The rate limit of log lines.

use std::time::Duration;

/// The burst capacity, in seconds of the sustained rate.
const BURST_S: f64 = 10.0;

/// A token bucket for lines. The caller passes the time, relative to an arbitrary fixed origin.
#[derive(Clone, Debug)]
pub struct LineRateLimit {
    lines_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Duration,
    dropped: u64,
}

impl LineRateLimit {
    /// Returns a limit of `lines_per_s`, at least one, with bursts of up to ten times as many.
    pub fn new(lines_per_s: u32) -> LineRateLimit {
        let lines_per_s = f64::from(lines_per_s.max(1));
        let capacity = lines_per_s * BURST_S;
        LineRateLimit {
            lines_per_s,
            capacity,
            tokens: capacity,
            refilled_at: Duration::ZERO,
            dropped: 0,
        }
    }

    /// Admits a line, and returns how many lines were dropped since the last admitted one. Returns
    /// `None` if the line must be dropped.
    pub fn admit(&mut self, now: Duration) -> Option<u64> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.lines_per_s).min(self.capacity);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}
