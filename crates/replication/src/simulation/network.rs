//! The links between simulated processes, and the packets in transit.

use crate::gossip::message::Message;
use crate::Timestamp;
use std::collections::{BTreeMap, HashSet};

/// A message between two processes.
pub(super) struct Packet {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// A delivered packet with the time of its arrival.
pub(super) struct Arrival {
    pub at: Timestamp,
    pub packet: Packet,
}

/// The order in which packets arrive: by arrival time, then by the order of sending.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ArrivalOrder {
    at: Timestamp,
    sequence: u64,
}

/// The cut links and the packets in transit.
#[derive(Default)]
pub(super) struct Network {
    /// Cut links as pairs of sender and receiver.
    cut_links: HashSet<(usize, usize)>,
    packets: BTreeMap<ArrivalOrder, Packet>,
    sent_packets: u64,
}

impl Network {
    /// Cuts a link in both directions.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut_links.extend([(a, b), (b, a)]);
    }

    /// Restores a link in both directions.
    pub fn heal(&mut self, a: usize, b: usize) {
        self.cut_links.remove(&(a, b));
        self.cut_links.remove(&(b, a));
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_links.contains(&(from, to))
    }

    /// Sends a packet that arrives at `at`.
    pub fn send(&mut self, at: Timestamp, packet: Packet) {
        self.sent_packets += 1;
        let sequence = self.sent_packets;
        self.packets.insert(ArrivalOrder { at, sequence }, packet);
    }

    /// Removes and returns the next packet that arrives at or before `by`.
    pub fn next_arrival(&mut self, by: Timestamp) -> Option<Arrival> {
        let first = self.packets.first_entry()?;
        let at = first.key().at;
        (at <= by).then(|| Arrival {
            at,
            packet: first.remove(),
        })
    }
}
