//! Bounds the packets of entries that a process sends: all peers that ask at the same time share
//! the bound.

use super::packing::MAX_ENTRIES_PER_PACKET;
use crate::{Micros, Timestamp};

/// The time over which packets are counted.
const WINDOW_US: Micros = 10_000;
/// Packets of entries in one window.
const MAX_PACKETS_PER_WINDOW: usize = 60;

/// Counts packets in windows.
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

    /// How many entries may be sent now.
    pub fn remaining_entries(&mut self, now: Timestamp) -> usize {
        if now >= self.window_start + WINDOW_US {
            *self = SendLimit::new(now);
        }
        MAX_PACKETS_PER_WINDOW.saturating_sub(self.packets) * MAX_ENTRIES_PER_PACKET
    }

    /// Notes packets that are sent.
    pub fn record(&mut self, packets: usize) {
        self.packets += packets;
    }
}
