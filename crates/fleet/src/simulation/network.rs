//! The simulated network: each packet takes the same time, and is lost at random or by a cut
//! between groups of processes.

use super::MILLISECOND_US;
use crate::membership::{Message, Micros, Timestamp};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeSet, VecDeque};

/// How long a packet is in flight.
const PACKET_LATENCY_US: Micros = 5 * MILLISECOND_US;

/// A set of processes that can be cut off from others.
pub type Group = u8;

/// A packet in flight between two processes, given by their indices.
pub(super) struct InFlightPacket {
    pub(super) arrives_at: Timestamp,
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) message: Message,
}

/// What became of packets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketCounts {
    /// Sent.
    pub sent: u64,
    /// Arrived at a running process.
    pub delivered: u64,
    /// Lost at random.
    pub lost: u64,
    /// Stopped by a cut.
    pub cut: u64,
    /// Arrived where no process runs.
    pub undeliverable: u64,
    /// Never sent, as the message is larger than [`super::MAX_MESSAGE_BYTES`].
    pub too_large: u64,
}

/// See the module's text.
pub(super) struct Network {
    /// The fraction of packets that is lost.
    loss: f64,
    /// The group of each process.
    groups: Vec<Group>,
    /// From which group to which nothing arrives.
    cuts: BTreeSet<(Group, Group)>,
    /// In order of arrival, as all packets take the same time.
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

    /// Stops all packets from one group to another, in this direction.
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

    /// When the next packet arrives.
    pub(super) fn next_arrival(&self) -> Option<Timestamp> {
        self.in_flight.front().map(|packet| packet.arrives_at)
    }

    /// Takes the next packet out; `None` if it does not arrive.
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
