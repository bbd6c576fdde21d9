//! A limit on the number of requests in flight.

use crate::Timestamp;

/// Counts requests in flight and admits further ones up to the sum of the floor and the leased
/// limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InFlightLimit {
    in_flight: u64,
    leased: u64,
    lease_expires_at: Timestamp,
    floor: u64,
}

impl InFlightLimit {
    /// Sets the limit that applies without a lease.
    pub fn set_floor(&mut self, floor: u64) {
        self.floor = floor;
    }

    /// Sets the amount that the lease adds to the limit until it expires. Requests that are already
    /// in flight beyond a lower limit continue.
    pub fn set_lease(&mut self, leased: u64, expires_at: Timestamp) {
        self.leased = leased;
        self.lease_expires_at = expires_at;
    }

    /// Admits a request if the limit allows it; returns whether it was admitted.
    pub fn acquire(&mut self, now: Timestamp) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.in_flight += 1;
        }
        has_room
    }

    /// Returns whether a request could be admitted.
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

    /// Returns the number of requests in flight beyond the floor, which only the lease covers.
    pub fn in_flight_beyond_floor(&self) -> u64 {
        self.in_flight.saturating_sub(self.floor)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }
}
