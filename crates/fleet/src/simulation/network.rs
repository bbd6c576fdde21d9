//! The simulated network: each packet has the same latency, and is lost at random or by a cut
//! between groups of processes.

use super::MILLISECOND_US;
use crate::membership::{Message, Micros, Timestamp};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeSet, VecDeque};

/// The latency of each packet.
const PACKET_LATENCY_US: Micros = 5 * MILLISECOND_US;

/// The number of a set of processes that can be cut off from other sets.
pub type Group = u8;

/// A packet in flight between two processes, which are identified by index.
pub(super) struct InFlightPacket {
    pub(super) arrives_at: Timestamp,
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) message: Message,
}

/// The number of packets by what happened to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketCounts {
    /// Packets that were sent.
    pub sent: u64,
    /// Packets that arrived at a running process.
    pub delivered: u64,
    /// Packets that were lost at random.
    pub lost: u64,
    /// Packets that were dropped by a cut.
    pub cut: u64,
    /// Packets that arrived at an address without a running process.
    pub undeliverable: u64,
    /// Packets that were never sent because the message is larger than
    /// [`super::MAX_MESSAGE_BYTES`].
    pub too_large: u64,
}

/// The network of a fleet. See the module documentation.
pub(super) struct Network {
    /// The fraction of packets that are lost.
    loss: f64,
    /// The group of each process.
    groups: Vec<Group>,
    /// The cuts, as pairs of the sending and the receiving group.
    cuts: BTreeSet<(Group, Group)>,
    /// The packets in flight in order of arrival, since all have the same latency.
    in_flight: VecDeque<InFlightPacket>,
    rng: Xoshiro256PlusPlus,
    pub(super) counts: PacketCounts,
}

impl Network {
    pub(super) fn new(processes: usize, loss: f64, seed: u64) -> Network {
        Network {
            loss,
            groups: vec![0; processes],
            cuts: BTreeSet::new(),
            in_flight: VecDeque::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            counts: PacketCounts::default(),
        }
    }

    pub(super) fn set_groups(&mut self, group_of: impl Fn(usize) -> Group) {
        for (process, group) in self.groups.iter_mut().enumerate() {
            *group = group_of(process);
        }
    }

    /// Drops all packets from one group to another, in this direction only.
    pub(super) fn cut(&mut self, from: Group, to: Group) {
        self.cuts.insert((from, to));
    }

    /// Ends all cuts.
    pub(super) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(super) fn send(&mut self, now: Timestamp, from: usize, to: usize, message: Message) {
        self.counts.sent += 1;
        self.in_flight.push_back(InFlightPacket {
            arrives_at: now + PACKET_LATENCY_US,
            from,
            to,
            message,
        });
    }

    /// Returns when the next packet arrives.
    pub(super) fn next_arrival(&self) -> Option<Timestamp> {
        self.in_flight.front().map(|packet| packet.arrives_at)
    }

    /// Removes and returns the next packet, or returns `None` if it is dropped.
    pub(super) fn take_arrived(&mut self) -> Option<InFlightPacket> {
        let packet = self.in_flight.pop_front()?;
        let path = (self.groups[packet.from], self.groups[packet.to]);
        if self.cuts.contains(&path) {
            self.counts.cut += 1;
            return None;
        }
        if self.loss > 0.0 && self.rng.random::<f64>() < self.loss {
            self.counts.lost += 1;
            return None;
        }
        Some(packet)
    }
}
