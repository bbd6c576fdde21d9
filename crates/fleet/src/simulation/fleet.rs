//! A simulated fleet: processes with clocks of their own, and the order in which things happen to
//! them.

use super::network::{Group, Network, PacketCounts};
use super::peer::{Clock, Peer};
use super::topology::Topology;
use super::traffic::{Traffic, PACKET_HEADS};
use super::views::{View, Views};
use super::{Settings, LARGEST_MESSAGE, SECOND};
use crate::membership::{Incarnation, Member, Micros, OutgoingMessage};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// The wall clock when a simulation begins, in Unix milliseconds: a day in September 2026.
const WALL_START_MS: u64 = 1_790_000_000_000;
/// By how much the monotonic clocks of processes differ at most.
const CLOCKS_APART: Micros = 86_400 * SECOND;
/// Sets the chance of the network apart from all other chance of the same seed.
const NETWORK_SEED: u64 = 0x6e65_7477_6f72_6b00;

/// A place where a process runs, or has run and may again.
struct Process {
    /// `None` while it does not run.
    peer: Option<Peer>,
    /// The number of the life that it is or was in.
    incarnation: Incarnation,
    clock_ahead: Micros,
    /// How far its wall clock is ahead.
    wall_ahead_ms: u64,
    /// When it ticks next.
    tick_at: Micros,
}

/// See the module's text.
pub struct Fleet {
    now: Micros,
    topology: Topology,
    seeds: Vec<SocketAddr>,
    processes: Vec<Process>,
    running: usize,
    network: Network,
    traffic: Traffic,
    /// When which process ticks. An entry that differs from the process's own time is void.
    ticks: BinaryHeap<Reverse<(Micros, usize)>>,
    random: Xoshiro256PlusPlus,
}

impl Fleet {
    /// A fleet of which no process runs yet.
    pub fn new(settings: Settings) -> Fleet {
        let topology = Topology {
            processes: settings.processes,
        };
        let mut random = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        let stopped = |_| Process {
            peer: None,
            incarnation: Incarnation(0),
            clock_ahead: random.random_range(0..CLOCKS_APART),
            wall_ahead_ms: 0,
            tick_at: Micros::MAX,
        };
        Fleet {
            now: 0,
            topology,
            seeds: topology.seeds(),
            processes: (0..settings.processes).map(stopped).collect(),
            running: 0,
            network: Network::new(
                settings.processes,
                settings.loss,
                settings.seed ^ NETWORK_SEED,
            ),
            traffic: Traffic::new(settings.processes),
            ticks: BinaryHeap::new(),
            random,
        }
    }

    /// Starts all processes now.
    pub fn start_all(&mut self) {
        (0..self.processes.len()).for_each(|process| self.start(process));
    }

    /// Starts each process at some moment of a span of time, which is over then. Their rounds are
    /// as far out of step as those of processes that have run for long.
    pub fn start_within(&mut self, span: Micros) {
        let began = self.now;
        let mut starts: Vec<(Micros, usize)> = (0..self.processes.len())
            .map(|process| (self.random.random_range(0..span), process))
            .collect();
        starts.sort_unstable();
        for (after, process) in starts {
            self.run_until(began + after);
            self.start(process);
        }
        self.run_until(began + span);
    }

    /// Simulated time since the fleet was made.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Where the processes stand.
    pub fn topology(&self) -> Topology {
        self.topology
    }

    /// How many processes run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Whether a process runs.
    pub fn runs(&self, process: usize) -> bool {
        self.processes[process].peer.is_some()
    }

    /// What became of all packets so far.
    pub fn packets(&self) -> PacketCounts {
        self.network.counts
    }

    /// A number below a bound, by the simulation's own chance.
    pub fn random_below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound)
    }

    /// Starts a process in a new life at its address, knowing nothing. Has no effect while it runs.
    pub fn start(&mut self, process: usize) {
        if self.runs(process) {
            return;
        }
        let incarnation = Incarnation(self.random.random());
        let place = &mut self.processes[process];
        let me = Member {
            address: self.topology.address(process),
            name: self.topology.name(process),
            site: self.topology.site(process).to_string(),
            started_ms: WALL_START_MS + self.now / 1_000 + place.wall_ahead_ms,
            incarnation,
            refutations: 0,
        };
        let clock = Clock {
            ahead: place.clock_ahead,
            phase: self.random.random(),
        };
        let peer = Peer::start(self.now, me, &self.seeds, clock, self.random.random());
        place.incarnation = incarnation;
        place.peer = Some(peer);
        self.running += 1;
        self.schedule(process);
    }

    /// Ends a process, which tells nobody.
    pub fn kill(&mut self, process: usize) {
        let place = &mut self.processes[process];
        place.tick_at = Micros::MAX;
        if place.peer.take().is_some() {
            self.running -= 1;
        }
    }

    /// Sets how far a process's wall clock is ahead, which shows when it starts next.
    pub fn set_wall_clock_ahead(&mut self, process: usize, milliseconds: u64) {
        self.processes[process].wall_ahead_ms = milliseconds;
    }

    /// Divides the processes into groups.
    pub fn set_groups(&mut self, group_of: impl Fn(usize) -> Group) {
        self.network.set_groups(group_of);
    }

    /// Cuts the way from one group to another. The way back is not cut by this.
    pub fn cut(&mut self, from: Group, to: Group) {
        self.network.cut(from, to);
    }

    /// Ends all cuts.
    pub fn join(&mut self) {
        self.network.join();
    }

    /// Lets things happen until a time.
    pub fn run_until(&mut self, end: Micros) {
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

    fn next_event(&self) -> Option<Micros> {
        let tick = self.ticks.peek().map(|Reverse((at, _))| *at);
        tick.into_iter().chain(self.network.next_arrival()).min()
    }

    fn deliver(&mut self) {
        let Some(packet) = self.network.arrive() else {
            return;
        };
        let Some(peer) = &mut self.processes[packet.to].peer else {
            self.network.counts.unheard += 1;
            return;
        };
        self.network.counts.delivered += 1;
        self.traffic
            .received(packet.to, packet.message.size() + PACKET_HEADS);
        let answers = peer.take(self.now, self.topology.address(packet.from), packet.message);
        self.send(packet.to, answers);
        self.schedule(packet.to);
    }

    fn tick(&mut self) {
        let Some(Reverse((at, process))) = self.ticks.pop() else {
            return;
        };
        let place = &mut self.processes[process];
        if place.tick_at != at {
            return;
        }
        place.tick_at = Micros::MAX;
        let Some(peer) = &mut place.peer else { return };
        let packets = peer.tick(self.now);
        self.send(process, packets);
        self.schedule(process);
    }

    /// Sees to it that a process ticks when it wants to.
    fn schedule(&mut self, process: usize) {
        let place = &mut self.processes[process];
        let Some(peer) = &place.peer else { return };
        let at = peer.next_tick(self.now);
        if at < place.tick_at {
            place.tick_at = at;
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
            if bytes > LARGEST_MESSAGE {
                self.network.counts.too_large += 1;
                continue;
            }
            self.traffic.sent(from, bytes + PACKET_HEADS);
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

    /// What all running processes have in view, against all that run.
    pub fn views(&self) -> Views {
        self.views_of(|_| true, |_| true)
    }

    /// What some of the running processes have in view, against some of those that run.
    pub fn views_of(
        &self,
        observer: impl Fn(usize) -> bool,
        expected: impl Fn(usize) -> bool,
    ) -> Views {
        let expected: Vec<bool> = (0..self.processes.len())
            .map(|process| self.runs(process) && expected(process))
            .collect();
        let count = expected.iter().filter(|expected| **expected).count();
        let mut found = vec![false; expected.len()];
        let observers = (0..self.processes.len()).filter(|process| observer(*process));
        let views = observers.filter_map(|process| self.look(process, &expected, &mut found));
        Views::of(count, views)
    }

    /// One process's view; `found` is room to work in.
    fn look(&self, process: usize, expected: &[bool], found: &mut [bool]) -> Option<View> {
        let peer = self.processes[process].peer.as_ref()?;
        let mut view = View::default();
        found.fill(false);
        for member in peer.view() {
            match self.topology.process_at(member.address) {
                Some(at) if expected[at] => {
                    found[at] = true;
                    view.seen += usize::from(self.processes[at].incarnation == member.incarnation);
                }
                _ => view.unexpected += 1,
            }
        }
        view.outdated = found.iter().filter(|found| **found).count() - view.seen;
        Some(view)
    }

    /// How many running members a process has in view in the life that they are in.
    pub fn seen_by(&self, process: usize) -> usize {
        let Some(peer) = &self.processes[process].peer else {
            return 0;
        };
        peer.view()
            .into_iter()
            .filter(|member| self.is_current(member))
            .count()
    }

    /// Whether a process has just those in view that run, or does not run itself.
    pub fn sees_right(&self, process: usize) -> bool {
        let Some(peer) = &self.processes[process].peer else {
            return true;
        };
        let view = peer.view();
        view.len() == self.running && view.into_iter().all(|member| self.is_current(member))
    }

    /// Whether a process has one in view that does not run.
    pub fn sees_dead(&self, process: usize) -> bool {
        let Some(peer) = &self.processes[process].peer else {
            return false;
        };
        let dead = |member: &Member| {
            !self
                .topology
                .process_at(member.address)
                .is_some_and(|at| self.runs(at))
        };
        peer.view().into_iter().any(dead)
    }

    /// Whether a process has another in view in the life that this one is in.
    pub fn knows(&self, process: usize, other: usize) -> bool {
        let Some(peer) = &self.processes[process].peer else {
            return false;
        };
        let (address, incarnation) = (
            self.topology.address(other),
            self.processes[other].incarnation,
        );
        peer.view()
            .into_iter()
            .any(|member| member.address == address && member.incarnation == incarnation)
    }

    /// Whether a member runs, in this life.
    fn is_current(&self, member: &Member) -> bool {
        let at = self.topology.process_at(member.address);
        at.is_some_and(|at| self.runs(at) && self.processes[at].incarnation == member.incarnation)
    }
}
