//! What is spent of a share: a bucket of tokens for a rate, a count for what is open at once. Both
//! look at the clock before each spending, for a process may have slept since it last ran.

use crate::Micros;

/// Spends a rate with a burst. Tokens come by time alone: a share that grows brings room for a
/// burst, not the burst, so that one that moves from process to process is spent once.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    at: Micros,
    /// Of the lease: requests a second, burst, and its end.
    leased: (f64, f64, Micros),
    /// Of the floor: requests a second, and burst.
    floor: (f64, f64),
}

/// Sums of tokens that were added up miss whole numbers by this much.
const ROUNDING: f64 = 1e-9;

impl Bucket {
    /// An empty one.
    pub fn new(now: Micros) -> Bucket {
        Bucket {
            tokens: 0.0,
            at: now,
            leased: (0.0, 0.0, now),
            floor: (0.0, 0.0),
        }
    }

    /// Sets what may be spent without a lease.
    pub fn set_floor(&mut self, now: Micros, rate: f64, burst: f64) {
        self.go_on(now);
        self.floor = (rate, burst);
        self.fit(now);
    }

    /// Sets what may be spent until a moment.
    pub fn set_lease(&mut self, now: Micros, rate: f64, burst: f64, until: Micros) {
        self.go_on(now);
        self.leased = (rate, burst, until);
        self.fit(now);
    }

    /// Spends one, or tells after what time one more might do, as far as is known.
    pub fn spend(&mut self, now: Micros) -> Result<(), Micros> {
        self.wait(now)?;
        self.tokens -= 1.0;
        Ok(())
    }

    /// Whether one could be spent.
    pub fn wait(&mut self, now: Micros) -> Result<(), Micros> {
        self.go_on(now);
        if self.tokens + ROUNDING >= 1.0 {
            return Ok(());
        }
        let rate = self.rate(now);
        let wait = if rate > 0.0 {
            (1.0 - self.tokens) / rate
        } else {
            1.0
        };
        Err((wait.min(3_600.0) * 1e6) as Micros)
    }

    /// What comes a second.
    pub fn rate(&self, now: Micros) -> f64 {
        self.floor.0
            + if now < self.leased.2 {
                self.leased.0
            } else {
                0.0
            }
    }

    fn go_on(&mut self, now: Micros) {
        let span = |from: Micros, to: Micros| to.saturating_sub(from) as f64 / 1e6;
        let until = self.leased.2;
        if now >= until && self.at < until {
            // What the lease brought ends with it.
            self.tokens += (self.leased.0 + self.floor.0) * span(self.at, until);
            self.tokens = self.tokens.min(self.floor.1);
            self.at = until;
        }
        self.tokens += self.rate(self.at) * span(self.at, now);
        self.at = now.max(self.at);
        self.fit(now);
    }

    fn fit(&mut self, now: Micros) {
        let leased = if now < self.leased.2 {
            self.leased.1
        } else {
            0.0
        };
        self.tokens = self.tokens.min(self.floor.1 + leased);
    }
}

/// Counts what is open at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Open {
    used: u64,
    leased: (u64, Micros),
    floor: u64,
}

impl Open {
    /// Sets what may be open without a lease.
    pub fn set_floor(&mut self, floor: u64) {
        self.floor = floor;
    }

    /// Sets what may be open until a moment. What is open beyond it goes on.
    pub fn set_lease(&mut self, most: u64, until: Micros) {
        self.leased = (most, until);
    }

    /// Opens one, if there is room.
    pub fn enter(&mut self, now: Micros) -> bool {
        let free = self.has_room(now);
        self.used += u64::from(free);
        free
    }

    /// Whether one could be opened.
    pub fn has_room(&self, now: Micros) -> bool {
        let (most, until) = self.leased;
        self.used < self.floor + if now < until { most } else { 0 }
    }

    /// One has ended.
    pub fn leave(&mut self) {
        self.used = self.used.saturating_sub(1);
    }

    /// How many are open beyond the floor.
    pub fn beyond_floor(&self) -> u64 {
        self.used.saturating_sub(self.floor)
    }

    /// How many are open.
    pub fn used(&self) -> u64 {
        self.used
    }
}
