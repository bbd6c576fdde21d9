//! A limit on the number of requests in flight.

use crate::Timestamp;

/// Counts requests in flight and admits more up to the floor and the leased limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InFlightLimit {
    in_flight: u64,
    leased: u64,
    lease_expires_at: Timestamp,
    floor: u64,
}

impl InFlightLimit {
    /// Sets the limit without a lease.
    pub fn set_floor(&mut self, floor: u64) {
        self.floor = floor;
    }

    /// Sets what the lease adds to the limit until it expires. Requests in flight beyond the limit
    /// go on.
    pub fn set_lease(&mut self, leased: u64, expires_at: Timestamp) {
        self.leased = leased;
        self.lease_expires_at = expires_at;
    }

    /// Admits a request if there is room; returns whether it did.
    pub fn acquire(&mut self, now: Timestamp) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.in_flight += 1;
        }
        has_room
    }

    /// Whether a request could be admitted.
    pub fn has_room(&self, now: Timestamp) -> bool {
        let leased = if now < self.lease_expires_at {
            self.leased
        } else {
            0
        };
        self.in_flight < self.floor + leased
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// The requests in flight that are covered by the lease and not by the floor.
    pub fn in_flight_beyond_floor(&self) -> u64 {
        self.in_flight.saturating_sub(self.floor)
    }

    /// The requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }
}
