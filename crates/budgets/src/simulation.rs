//! Fleets of [`BudgetNode`]s in simulated time, under seeded faults: messages that are lost,
//! duplicated, late and out of order, one-way cuts between any two processes, processes that are
//! killed, suspended and started, and clocks that run at different rates. After each step the
//! invariant is checked over all processes, suspended ones included.

mod audit;
mod network;
mod process;
mod traffic;

pub use audit::{peak_window_fraction, Activity};
pub use network::Network;
pub use traffic::Traffic;

use crate::message::{Envelope, Message};
use crate::node::{Budget, BudgetNode, Limit};
use crate::{BudgetKey, Incarnation, LeaseSettings, Micros, ProcessId, Timestamp};
use process::SimulatedProcess;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Duration;

/// The time between two turns of a process's event loop.
const TURN_INTERVAL_US: Micros = 10_000;
/// Clocks are offset by up to this much, and wall clocks by up to this many milliseconds.
const MAX_CLOCK_OFFSET_US: Micros = 1_000_000_000_000;
const MAX_WALL_OFFSET_MS: u64 = 10_000;
/// The spread of clock rates, unless set otherwise.
const CLOCK_RATE_SPREAD: f64 = 0.01;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A turn of a process's event loop, which schedules the next turn unless the process is dead.
    Turn { process: usize },
    /// A message arrives.
    Arrival {
        from: usize,
        to: usize,
        message: Message,
    },
}

/// A simulated fleet. Processes are named by their index; time is in microseconds from 0.
pub struct SimulatedFleet {
    settings: LeaseSettings,
    budgets: Vec<Budget>,
    /// The key of the first budget, which requests are for.
    key: BudgetKey,
    voters: Vec<ProcessId>,
    processes: Vec<Option<SimulatedProcess>>,
    incarnations: u64,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    next_event: u64,
    now: Timestamp,
    /// The present faults of the network.
    pub network: Network,
    cuts: HashSet<(usize, usize)>,
    rng: Xoshiro256PlusPlus,
    /// When each request was admitted, by the first budget.
    pub admitted_at: Vec<Timestamp>,
    activity: Activity,
    traffic: Vec<Traffic>,
    /// Returns the processor time spent so far, where the work of each process is to be counted.
    pub processor_clock: Option<fn() -> Duration>,
    /// The greatest sum of shares so far, as a fraction of the total. The invariant holds if it is
    /// at most 1.
    pub peak_share_sum: f64,
    /// Whether to check the invariant after each step.
    pub is_audited: bool,
    /// The spread of the clocks' rates, as a fraction.
    pub clock_rate_spread: f64,
}

impl SimulatedFleet {
    /// A fleet without processes. The first `voters` indices vote.
    pub fn new(seed: u64, voters: usize, budgets: Vec<Budget>) -> SimulatedFleet {
        SimulatedFleet {
            settings: LeaseSettings::default(),
            key: budgets
                .first()
                .map_or(BudgetKey(0), |budget| Budget::key(&budget.name)),
            budgets,
            voters: (0..voters as u64).map(ProcessId).collect(),
            processes: Vec::new(),
            incarnations: 0,
            queue: BinaryHeap::new(),
            next_event: 0,
            now: 0,
            network: Network::RELIABLE,
            cuts: HashSet::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            admitted_at: Vec::new(),
            activity: Activity::default(),
            traffic: Vec::new(),
            processor_clock: None,
            peak_share_sum: 0.0,
            is_audited: true,
            clock_rate_spread: CLOCK_RATE_SPREAD,
        }
    }

    /// Starts or restarts a process; it remembers nothing.
    pub fn start(&mut self, index: usize) {
        self.incarnations += 1;
        let clock_rate = 1.0 + self.clock_rate_spread * (self.rng.random::<f64>() - 0.5);
        let clock_offset = self.rng.random_range(0..MAX_CLOCK_OFFSET_US);
        let own_now = clock_offset + (self.now as f64 * clock_rate) as Micros;
        let wall_ms = self.rng.random_range(0..MAX_WALL_OFFSET_MS);
        let mut node = BudgetNode::new(
            own_now,
            ProcessId(index as u64),
            Incarnation(self.incarnations),
            &self.voters,
            wall_ms,
            self.settings,
        );
        node.set_budgets(own_now, self.budgets.clone(), &self.voters);
        if self.processes.len() <= index {
            self.processes.resize_with(index + 1, || None);
            self.traffic.resize(index + 1, Traffic::default());
        }
        self.processes[index] = Some(SimulatedProcess::new(node, clock_rate, clock_offset));
        let first_turn = self.now + self.rng.random_range(0..TURN_INTERVAL_US);
        self.push(first_turn, Event::Turn { process: index });
    }

    /// Kills a process.
    ///
    /// # Panics
    ///
    /// If no process was ever started at this index.
    pub fn kill(&mut self, index: usize) {
        self.processes[index] = None;
    }

    /// Ends a process gracefully: it returns its leases first.
    ///
    /// # Panics
    ///
    /// If no process was ever started at this index.
    pub fn leave(&mut self, index: usize) {
        let mut out = Vec::new();
        if let Some(process) = &mut self.processes[index] {
            let own_now = process.clock(self.now);
            process.node.return_leases(own_now, &mut out);
        }
        self.send(index, out);
        self.processes[index] = None;
    }

    /// Suspends a process for a while, as by SIGSTOP: its clock goes on.
    ///
    /// # Panics
    ///
    /// If no process was ever started at this index.
    pub fn suspend(&mut self, index: usize, span: Micros) {
        let until = self.now + span;
        if let Some(process) = &mut self.processes[index] {
            process.suspended_until = until;
        }
    }

    /// Cuts the network from one process to another, or repairs it.
    pub fn set_cut(&mut self, from: usize, to: usize, is_cut: bool) {
        if is_cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    /// Ends all faults of the network.
    pub fn repair_network(&mut self) {
        self.cuts.clear();
        self.network = Network::RELIABLE;
    }

    /// Sets the requests a second at a process.
    pub fn set_demand(&mut self, index: usize, per_second: f64) {
        if let Some(Some(process)) = self.processes.get_mut(index) {
            process.demand = per_second;
        }
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// The process that is the grantor, if there is one that is not suspended.
    pub fn grantor(&mut self) -> Option<usize> {
        let now = self.now;
        (0..self.processes.len()).find(|index| {
            let process = self.processes[*index].as_mut();
            process.is_some_and(|process| {
                !process.is_suspended(now) && process.leadership_epoch(now).is_some()
            })
        })
    }

    /// What a process believes it may spend of the first budget, in requests a second.
    pub fn share(&self, index: usize) -> f64 {
        let process = self.processes.get(index).and_then(Option::as_ref);
        process.map_or(0.0, |process| process.share(self.now))
    }

    /// What has happened since the last call.
    pub fn take_activity(&mut self) -> Activity {
        std::mem::take(&mut self.activity)
    }

    /// The traffic and work of each process since the simulation began.
    pub fn traffic(&self) -> &[Traffic] {
        &self.traffic
    }

    /// The most requests admitted in any window of this length, as a fraction of what rate and
    /// burst allow.
    pub fn peak_window_fraction(&self, window: Micros) -> f64 {
        let Limit::Rate { rate, burst, .. } = self.budgets[0].limit else {
            return 0.0;
        };
        peak_window_fraction(&self.admitted_at, window, rate, burst)
    }

    /// Runs until a time.
    pub fn run(&mut self, until: Timestamp) {
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.step(event);
            if self.is_audited {
                self.audit_share_sum();
            }
        }
        self.now = until;
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival { from, to, message } => self.step_arrival(from, to, message),
            Event::Turn { process } => self.step_turn(process),
        }
    }

    fn step_arrival(&mut self, from: usize, to: usize, message: Message) {
        let begun = self.processor_time();
        let Some(Some(process)) = self.processes.get_mut(to) else {
            return;
        };
        let from = ProcessId(from as u64);
        if process.is_suspended(self.now) {
            process.inbox.push((from, message));
            return;
        }
        let mut out = Vec::new();
        let own_now = process.clock(self.now);
        process.node.receive(own_now, from, message, &mut out);
        self.record_processor_time(to, begun);
        self.send(to, out);
    }

    /// A turn of the event loop. Requests come first, as they may after a suspension.
    fn step_turn(&mut self, index: usize) {
        let begun = self.processor_time();
        let turn = Event::Turn { process: index };
        let Some(Some(process)) = self.processes.get_mut(index) else {
            return;
        };
        if process.is_suspended(self.now) {
            let resumes_at = process.suspended_until;
            self.push(resumes_at, turn);
            return;
        }
        let requests = process.requests_in_turn(&mut self.rng);
        let admitted = process.spend(self.now, self.key, requests);
        self.activity.offered += requests;
        self.activity.admitted += admitted;
        self.admitted_at
            .extend(std::iter::repeat_n(self.now, admitted as usize));
        let out = process.turn(self.now, &mut self.rng);
        self.record_processor_time(index, begun);
        self.send(index, out);
        self.push(self.now + TURN_INTERVAL_US, turn);
    }

    fn audit_share_sum(&mut self) {
        let Limit::Rate { rate, .. } = self.budgets[0].limit else {
            return;
        };
        let sum: f64 = (0..self.processes.len())
            .map(|index| self.share(index))
            .sum();
        self.peak_share_sum = self.peak_share_sum.max(sum / rate);
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event, event)));
    }

    fn send(&mut self, from: usize, out: Vec<Envelope>) {
        if !out.is_empty() {
            traffic::count_packets(&mut self.traffic, from, &out);
        }
        for Envelope { to, message } in out {
            let to = to.0 as usize;
            self.activity.messages += 1;
            if self.cuts.contains(&(from, to)) {
                continue;
            }
            for delay in self.network.delays(&mut self.rng) {
                let arrival = Event::Arrival { from, to, message };
                self.push(self.now + delay, arrival);
            }
        }
    }

    fn processor_time(&self) -> Duration {
        self.processor_clock.map_or(Duration::ZERO, |clock| clock())
    }

    fn record_processor_time(&mut self, index: usize, begun: Duration) {
        let spent = self.processor_time() - begun;
        self.traffic[index].processor_time += spent;
    }
}

#[cfg(test)]
mod tests;
