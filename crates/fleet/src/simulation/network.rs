//! Packets on their way: each takes the same time, and is lost by chance or by a cut between groups
//! of processes.

use super::peer::Message;
use super::MILLISECOND;
use crate::membership::Micros;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeSet, VecDeque};

/// How long a packet is on the way.
const LATENCY: Micros = 5 * MILLISECOND;

/// A set of processes that can be cut off from others.
pub type Group = u8;

/// A packet on its way.
pub(super) struct Packet {
    pub(super) arrives: Micros,
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
    /// Lost by chance.
    pub lost: u64,
    /// Stopped by a cut.
    pub cut: u64,
    /// Arrived where no process runs.
    pub unheard: u64,
    /// Never sent, as the message is larger than [`super::LARGEST_MESSAGE`].
    pub too_large: u64,
}

/// See the module's text.
pub(super) struct Network {
    loss: f64,
    groups: Vec<Group>,
    /// From which group to which nothing arrives.
    cuts: BTreeSet<(Group, Group)>,
    /// In order of arrival, as all packets take the same time.
    on_the_way: VecDeque<Packet>,
    random: Xoshiro256PlusPlus,
    pub(super) counts: PacketCounts,
}

impl Network {
    pub(super) fn new(processes: usize, loss: f64, seed: u64) -> Network {
        Network {
            loss,
            groups: vec![0; processes],
            cuts: BTreeSet::new(),
            on_the_way: VecDeque::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            counts: PacketCounts::default(),
        }
    }

    pub(super) fn set_groups(&mut self, group_of: impl Fn(usize) -> Group) {
        for (process, group) in self.groups.iter_mut().enumerate() {
            *group = group_of(process);
        }
    }

    /// From now on nothing arrives that goes from one group to another, in this direction.
    pub(super) fn cut(&mut self, from: Group, to: Group) {
        self.cuts.insert((from, to));
    }

    /// Ends all cuts.
    pub(super) fn join(&mut self) {
        self.cuts.clear();
    }

    pub(super) fn send(&mut self, now: Micros, from: usize, to: usize, message: Message) {
        self.counts.sent += 1;
        self.on_the_way.push_back(Packet {
            arrives: now + LATENCY,
            from,
            to,
            message,
        });
    }

    /// When the next packet arrives.
    pub(super) fn next_arrival(&self) -> Option<Micros> {
        self.on_the_way.front().map(|packet| packet.arrives)
    }

    /// Takes the next packet off the way; `None` if it is lost at its end.
    pub(super) fn arrive(&mut self) -> Option<Packet> {
        let packet = self.on_the_way.pop_front()?;
        let groups = (self.groups[packet.from], self.groups[packet.to]);
        if self.cuts.contains(&groups) {
            self.counts.cut += 1;
            return None;
        }
        if self.loss > 0.0 && self.random.random::<f64>() < self.loss {
            self.counts.lost += 1;
            return None;
        }
        Some(packet)
    }
}
