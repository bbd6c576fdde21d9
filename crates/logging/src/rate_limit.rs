//! The limit of the rate of lines.

use std::time::Duration;

/// How many seconds' worth of lines may be written at once.
const BURST_S: f64 = 10.0;

/// A token bucket for lines. The caller passes the time, counted from any fixed moment.
#[derive(Clone, Debug)]
pub struct LineRateLimit {
    lines_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Duration,
    dropped: u64,
}

impl LineRateLimit {
    /// A limit of so many lines per second over time, at least one, and ten times as many at once.
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

    /// Admits a line, and returns how many lines were dropped since the last admitted one. `None`
    /// if the line is to be dropped.
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
