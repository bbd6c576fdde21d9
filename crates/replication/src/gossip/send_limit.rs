//! Rate limit for packets with entries that answer peers. All peers that query a process at the
//! same time share the limit.

use super::packing::MAX_ENTRIES_PER_PACKET;
use crate::{Micros, Timestamp};

/// The window in which packets are counted.
const WINDOW_US: Micros = 10_000;
/// Maximum number of packets with entries per window.
const MAX_PACKETS_PER_WINDOW: usize = 60;

/// A counter of packets in fixed windows.
pub(super) struct SendLimit {
    window_start: Timestamp,
    packets: usize,
}

impl SendLimit {
    pub fn new(now: Timestamp) -> SendLimit {
        SendLimit {
            window_start: now,
            packets: 0,
        }
    }

    /// Returns the number of entries that may be sent now.
    pub fn remaining_entries(&mut self, now: Timestamp) -> usize {
        if now >= self.window_start + WINDOW_US {
            *self = SendLimit::new(now);
        }
        MAX_PACKETS_PER_WINDOW.saturating_sub(self.packets) * MAX_ENTRIES_PER_PACKET
    }

    /// Counts sent packets.
    pub fn record(&mut self, packets: usize) {
        self.packets += packets;
    }
}
