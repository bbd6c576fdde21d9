//! A simulated fleet: processes with their own clocks, and the order of events. `inspect` examines
//! the views of the processes.

mod inspect;

use super::network::{Group, Network, PacketCounts};
use super::peer::{Clock, Peer};
use super::topology::Topology;
use super::traffic::{Traffic, PACKET_OVERHEAD_BYTES};
use super::{Settings, MAX_MESSAGE_BYTES, SECOND_US};
use crate::membership::{Incarnation, Member, Micros, OutgoingMessage, Timestamp};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// The wall clock at the beginning of a simulation, in Unix milliseconds: a day in September 2026.
const WALL_START_MS: u64 = 1_790_000_000_000;
/// The maximum difference between the monotonic clocks of two processes.
const MAX_CLOCK_OFFSET_US: Micros = 86_400 * SECOND_US;
/// Makes the network's random numbers independent of all others with the same seed.
const NETWORK_SEED: u64 = 0x6e65_7477_6f72_6b00;

/// The slot of a process, whether or not it is running.
struct Process {
    /// The running process; `None` while it is stopped.
    peer: Option<Peer>,
    /// The current or last incarnation.
    incarnation: Incarnation,
    /// The offset by which its monotonic clock is ahead of simulated time.
    clock_offset_us: Micros,
    /// The offset by which its wall clock is ahead.
    wall_clock_ahead_ms: u64,
    /// The time of its next tick.
    tick_at: Timestamp,
}

/// A simulated fleet. See the module documentation.
pub struct Fleet {
    now: Timestamp,
    topology: Topology,
    seeds: Vec<SocketAddr>,
    processes: Vec<Process>,
    running_count: usize,
    network: Network,
    traffic: Traffic,
    /// The scheduled ticks. An entry that differs from [`Process::tick_at`] is obsolete.
    ticks: BinaryHeap<Reverse<(Timestamp, usize)>>,
    rng: Xoshiro256PlusPlus,
}

impl Fleet {
    /// Creates a fleet in which no process is running.
    pub fn new(settings: Settings) -> Fleet {
        let topology = Topology {
            processes: settings.processes,
        };
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        let stopped = |_| Process {
            peer: None,
            incarnation: Incarnation(0),
            clock_offset_us: rng.random_range(0..MAX_CLOCK_OFFSET_US),
            wall_clock_ahead_ms: 0,
            tick_at: Timestamp::MAX,
        };
        Fleet {
            now: 0,
            topology,
            seeds: topology.seeds(),
            processes: (0..settings.processes).map(stopped).collect(),
            running_count: 0,
            network: Network::new(
                settings.processes,
                settings.loss,
                settings.seed ^ NETWORK_SEED,
            ),
            traffic: Traffic::new(settings.processes),
            ticks: BinaryHeap::new(),
            rng,
        }
    }

    /// Starts all processes at the current time.
    pub fn start_all(&mut self) {
        (0..self.processes.len()).for_each(|process| self.start(process));
    }

    /// Starts each process at a random time within a span, and runs until its end. This
    /// desynchronizes the rounds of the processes, as in a fleet that has run for long.
    pub fn start_spread_over(&mut self, span: Micros) {
        let began_at = self.now;
        let mut starts: Vec<(Micros, usize)> = (0..self.processes.len())
            .map(|process| (self.rng.random_range(0..span), process))
            .collect();
        starts.sort_unstable();
        for (after, process) in starts {
            self.run_until(began_at + after);
            self.start(process);
        }
        self.run_until(began_at + span);
    }

    /// Returns the simulated time since the fleet was created, in microseconds.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the layout of the fleet.
    pub fn topology(&self) -> Topology {
        self.topology
    }

    /// Returns the number of running processes.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// Returns whether a process is running.
    pub fn is_running(&self, process: usize) -> bool {
        self.processes[process].peer.is_some()
    }

    /// Returns the packet counts so far.
    pub fn packets(&self) -> PacketCounts {
        self.network.counts
    }

    /// Draws a random number below a bound from the simulation's generator.
    pub fn random_below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    /// Starts a new incarnation of a process at its address, without knowledge of any other member.
    /// Has no effect while the process is running.
    pub fn start(&mut self, process: usize) {
        if self.is_running(process) {
            return;
        }
        let incarnation = Incarnation(self.rng.random());
        let slot = &mut self.processes[process];
        let me = Member {
            address: self.topology.address(process),
            name: self.topology.name(process),
            site: self.topology.site(process).to_string(),
            started_ms: WALL_START_MS + self.now / 1_000 + slot.wall_clock_ahead_ms,
            incarnation,
            refutations: 0,
        };
        let clock = Clock {
            offset_us: slot.clock_offset_us,
            phase_us: self.rng.random(),
        };
        let peer = Peer::start(self.now, me, &self.seeds, clock, self.rng.random());
        slot.incarnation = incarnation;
        slot.peer = Some(peer);
        self.running_count += 1;
        self.schedule(process);
    }

    /// Stops a process without notifying the others.
    pub fn kill(&mut self, process: usize) {
        let slot = &mut self.processes[process];
        slot.tick_at = Timestamp::MAX;
        if slot.peer.take().is_some() {
            self.running_count -= 1;
        }
    }

    /// Sets how far a process's wall clock is ahead, which takes effect at its next start.
    pub fn set_wall_clock_ahead(&mut self, process: usize, milliseconds: u64) {
        self.processes[process].wall_clock_ahead_ms = milliseconds;
    }

    /// Divides the processes into groups.
    pub fn set_groups(&mut self, group_of: impl Fn(usize) -> Group) {
        self.network.set_groups(group_of);
    }

    /// Drops all packets from one group to another. Packets in the other direction still arrive.
    pub fn cut(&mut self, from: Group, to: Group) {
        self.network.cut(from, to);
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.network.heal();
    }

    /// Runs the simulation until `end`.
    pub fn run_until(&mut self, end: Timestamp) {
        while let Some(next) = self.next_event().filter(|next| *next <= end) {
            self.now = next;
            self.traffic.advance(next);
            if self.network.next_arrival() == Some(next) {
                self.deliver();
            } else {
                self.tick();
            }
        }
        self.now = self.now.max(end);
        self.traffic.advance(self.now);
    }

    fn next_event(&self) -> Option<Timestamp> {
        let tick = self.ticks.peek().map(|Reverse((at, _))| *at);
        tick.into_iter().chain(self.network.next_arrival()).min()
    }

    fn deliver(&mut self) {
        let Some(packet) = self.network.take_arrived() else {
            return;
        };
        let Some(peer) = &mut self.processes[packet.to].peer else {
            self.network.counts.undeliverable += 1;
            return;
        };
        self.network.counts.delivered += 1;
        self.traffic
            .received(packet.to, packet.message.size() + PACKET_OVERHEAD_BYTES);
        let answers = peer.on_message(self.now, self.topology.address(packet.from), packet.message);
        self.send(packet.to, answers);
        self.schedule(packet.to);
    }

    fn tick(&mut self) {
        let Some(Reverse((at, process))) = self.ticks.pop() else {
            return;
        };
        let slot = &mut self.processes[process];
        if slot.tick_at != at {
            return;
        }
        slot.tick_at = Timestamp::MAX;
        let Some(peer) = &mut slot.peer else { return };
        let messages = peer.tick(self.now);
        self.send(process, messages);
        self.schedule(process);
    }

    /// Schedules the next tick of a process.
    fn schedule(&mut self, process: usize) {
        let slot = &mut self.processes[process];
        let Some(peer) = &slot.peer else { return };
        let at = peer.next_tick(self.now);
        if at < slot.tick_at {
            slot.tick_at = at;
            self.ticks.push(Reverse((at, process)));
        }
    }

    fn send(&mut self, from: usize, messages: Vec<OutgoingMessage>) {
        for OutgoingMessage {
            to: address,
            message,
        } in messages
        {
            let bytes = message.size();
            if bytes > MAX_MESSAGE_BYTES {
                self.network.counts.too_large += 1;
                continue;
            }
            self.traffic.sent(from, bytes + PACKET_OVERHEAD_BYTES);
            if let Some(to) = self.topology.process_at(address) {
                self.network.send(self.now, from, to, message);
            }
        }
    }

    pub(super) fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    pub(super) fn traffic_mut(&mut self) -> &mut Traffic {
        &mut self.traffic
    }
}
