//! The links between simulated processes, and the packets that are on their way.

use crate::gossip::message::Message;
use crate::Timestamp;
use std::collections::{BTreeMap, HashSet};

/// A message between two processes.
pub(super) struct Packet {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// A packet that has arrived.
pub(super) struct Arrival {
    pub at: Timestamp,
    pub packet: Packet,
}

/// When a packet arrives; of those that arrive at the same time the one sent first comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ArrivalOrder {
    at: Timestamp,
    sequence: u64,
}

/// Links and packets.
#[derive(Default)]
pub(super) struct Network {
    /// Links that are cut, by sender and receiver.
    cut_links: HashSet<(usize, usize)>,
    packets: BTreeMap<ArrivalOrder, Packet>,
    sent_packets: u64,
}

impl Network {
    /// Cuts a link both ways.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut_links.extend([(a, b), (b, a)]);
    }

    /// Heals a link both ways.
    pub fn heal(&mut self, a: usize, b: usize) {
        self.cut_links.remove(&(a, b));
        self.cut_links.remove(&(b, a));
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_links.contains(&(from, to))
    }

    /// Puts a packet on its way.
    pub fn send(&mut self, at: Timestamp, packet: Packet) {
        self.sent_packets += 1;
        let sequence = self.sent_packets;
        self.packets.insert(ArrivalOrder { at, sequence }, packet);
    }

    /// Takes out the next packet that arrives by an instant.
    pub fn next_arrival(&mut self, by: Timestamp) -> Option<Arrival> {
        let first = self.packets.first_entry()?;
        let at = first.key().at;
        (at <= by).then(|| Arrival {
            at,
            packet: first.remove(),
        })
    }
}
