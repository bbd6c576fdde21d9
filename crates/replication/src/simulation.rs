//! A fleet in simulated time, for tests and measurements: messages are lost, delayed and reordered,
//! links are cut, and processes are killed and restarted.
//!
//! Only tests and measurements use this module.

mod network;

use crate::entry::Delta;
use crate::expiry::remove_expired;
use crate::gossip::message::{Envelope, Message, Received};
use crate::gossip::Gossip;
use crate::store::{Store, StoreLimits};
use crate::version_vector::Origin;
use crate::{Micros, Timestamp};
use network::{Network, Packet};
use rand::{Rng, SeedableRng};

#[cfg(test)]
mod tests;

/// A simulated process.
pub struct Process {
    /// The process's replica.
    pub store: Store,
    /// The process's anti-entropy state.
    pub gossip: Gossip<usize>,
    /// The difference between the process's clock and the simulated time.
    clock_offset_us: Micros,
}

/// Counters of sent messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes, including packet headers.
    pub bytes: u64,
    /// Messages. Each is sent in a packet of its own.
    pub messages: u64,
}

/// A simulated fleet, whose processes are identified by their index.
pub struct SimulatedFleet<R> {
    /// The processes; `None` for one that is down.
    pub processes: Vec<Option<Process>>,
    /// The probability that a message is lost.
    pub loss: f64,
    /// Upper bound of a message's delay.
    pub max_delay_us: Micros,
    /// Messages and bytes sent since the start.
    pub sent: Traffic,
    /// Bytes sent by each process since the start.
    pub sent_bytes_by_process: Vec<u64>,
    /// The processes that are up. Every process has all of them as peers.
    peers: Vec<usize>,
    network: Network,
    now: Timestamp,
    started_processes: u64,
    rng: R,
}

/// The time between two ticks of each process.
const TICK_US: Micros = 10_000;
/// Size of a packet without its message.
const PACKET_OVERHEAD_BYTES: u64 = 70;

impl<R: Rng + SeedableRng> SimulatedFleet<R> {
    /// Creates a fleet and starts its processes.
    pub fn new(processes: usize, seed: u64) -> SimulatedFleet<R> {
        let mut fleet = SimulatedFleet {
            processes: Vec::new(),
            loss: 0.0,
            max_delay_us: 2_000,
            sent: Traffic::default(),
            sent_bytes_by_process: Vec::new(),
            peers: Vec::new(),
            network: Network::default(),
            now: 0,
            started_processes: 0,
            rng: R::seed_from_u64(seed),
        };
        (0..processes).for_each(|at| fleet.start(at));
        fleet
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Starts a process with an empty store, and replaces one that is running.
    pub fn start(&mut self, at: usize) {
        self.started_processes += 1;
        let clock_offset_us = self.rng.random_range(0..1_000_000_000u64);
        let origin = Origin(self.started_processes * 1_000 + at as u64);
        let process = Process {
            store: Store::new(origin, StoreLimits::DEFAULT),
            gossip: Gossip::new(self.now + clock_offset_us, at),
            clock_offset_us,
        };
        if self.processes.len() <= at {
            self.processes.resize_with(at + 1, || None);
            self.sent_bytes_by_process.resize(at + 1, 0);
        }
        self.processes[at] = Some(process);
        self.update_peers();
    }

    /// Kills a process.
    pub fn kill(&mut self, at: usize) {
        self.processes[at] = None;
        self.update_peers();
    }

    /// Updates the peers. Membership is not simulated: all processes know at once which ones are
    /// up.
    fn update_peers(&mut self) {
        self.peers = (0..self.processes.len())
            .filter(|at| self.processes[*at].is_some())
            .collect();
    }

    /// Cuts the link between two processes in both directions.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.network.cut(a, b);
    }

    /// Restores the link between two processes.
    pub fn heal(&mut self, a: usize, b: usize) {
        self.network.heal(a, b);
    }

    /// Calls `write` with the store of a process, and broadcasts the delta that it returns. Does
    /// nothing if the process is down.
    pub fn write(&mut self, at: usize, write: impl FnOnce(&mut Store, Timestamp) -> Option<Delta>) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let now = self.now + process.clock_offset_us;
        let mut out = Vec::new();
        if let Some(delta) = write(&mut process.store, now) {
            let Process { gossip, .. } = process;
            gossip.broadcast(now, delta, &self.peers, &mut self.rng, &mut out);
        }
        self.send(at, out);
    }

    fn send(&mut self, from: usize, out: Vec<Envelope<usize>>) {
        for Envelope { to, message } in out {
            if to == from {
                // The list of peers includes the sender.
                continue;
            }
            self.count_sent(from, &message);
            let is_lost = self.network.is_cut(from, to) || self.rng.random_bool(self.loss);
            if is_lost {
                continue;
            }
            let arrives_at = self.now + self.rng.random_range(50..self.max_delay_us.max(51));
            self.network.send(arrives_at, Packet { from, to, message });
        }
    }

    fn count_sent(&mut self, from: usize, message: &Message) {
        let message_bytes = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64);
        let bytes = message_bytes + PACKET_OVERHEAD_BYTES;
        self.sent.bytes += bytes;
        self.sent.messages += 1;
        self.sent_bytes_by_process[from] += bytes;
    }

    /// Advances the simulated time by `duration_us`.
    pub fn run(&mut self, duration_us: Micros) {
        let end = self.now + duration_us;
        while self.now < end {
            let next_tick = (self.now + TICK_US).min(end);
            while let Some(arrival) = self.network.next_arrival(next_tick) {
                self.now = arrival.at.max(self.now);
                self.deliver(arrival.packet);
            }
            self.now = next_tick;
            (0..self.processes.len()).for_each(|at| self.tick(at));
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let Packet { from, to, message } = packet;
        let Some(Some(process)) = self.processes.get_mut(to) else {
            return;
        };
        let now = self.now + process.clock_offset_us;
        let mut out = Vec::new();
        let received = Received {
            from,
            message,
            peers: &self.peers,
        };
        let Process { store, gossip, .. } = process;
        gossip.on_message(now, store, received, &mut self.rng, &mut out);
        self.send(to, out);
    }

    fn tick(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let now = self.now + process.clock_offset_us;
        let mut out = Vec::new();
        let Process { store, gossip, .. } = process;
        gossip.on_tick(now, store, &self.peers, &mut self.rng, &mut out);
        self.send(at, out);
    }

    /// Removes expired entries from the stores of all processes.
    pub fn remove_expired(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            remove_expired(&mut process.store, self.now + process.clock_offset_us);
        }
    }

    /// Returns whether the stores of all running processes know the same writes.
    pub fn has_converged(&self) -> bool {
        let mut digests = self
            .processes
            .iter()
            .flatten()
            .map(|process| process.store.digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }
}
