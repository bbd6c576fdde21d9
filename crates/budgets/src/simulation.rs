//! Fleets of [`BudgetNode`]s in simulated time, with seeded faults: lost, duplicated, delayed and
//! reordered messages, one-way partitions between any two processes, processes that are killed,
//! suspended and started, and clocks that run at different rates. After each step the simulation
//! records the sum of the shares over all processes, including suspended ones.

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

/// Time between two turns of a process's event loop.
const TURN_INTERVAL_US: Micros = 10_000;
/// Maximum offset of a process's monotonic clock.
const MAX_CLOCK_OFFSET_US: Micros = 1_000_000_000_000;
/// Maximum offset of a process's wall clock.
const MAX_WALL_OFFSET_MS: u64 = 10_000;
/// Default spread of the clock rates, as a fraction.
const CLOCK_RATE_SPREAD: f64 = 0.01;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A turn of a process's event loop, which schedules the next turn unless the process has been
    /// killed.
    Turn { process: usize },
    /// The arrival of a message.
    Arrival {
        from: usize,
        to: usize,
        message: Message,
    },
}

/// A simulated fleet. Processes are identified by their index; time is in microseconds from 0.
pub struct SimulatedFleet {
    settings: LeaseSettings,
    budgets: Vec<Budget>,
    /// The key of the first budget, to which all requests are charged.
    key: BudgetKey,
    voters: Vec<ProcessId>,
    processes: Vec<Option<SimulatedProcess>>,
    incarnations: u64,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    next_event: u64,
    now: Timestamp,
    /// The current faults of the network.
    pub network: Network,
    cuts: HashSet<(usize, usize)>,
    rng: Xoshiro256PlusPlus,
    /// The time of each request admitted under the first budget, in ascending order.
    pub admitted_at: Vec<Timestamp>,
    activity: Activity,
    traffic: Vec<Traffic>,
    /// Returns the processor time spent so far; if set, the processor time of each process is
    /// counted.
    pub processor_clock: Option<fn() -> Duration>,
    /// The maximum sum of shares so far, as a fraction of the total. The invariant holds if it is
    /// at most 1.
    pub peak_share_sum: f64,
    /// Whether to update `peak_share_sum` after each step.
    pub is_audited: bool,
    /// The spread of the clocks' rates, as a fraction.
    pub clock_rate_spread: f64,
}

impl SimulatedFleet {
    /// Creates a fleet without processes. The processes with the first `voters` indices vote.
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

    /// Starts or restarts a process, which has no memory of earlier runs.
    pub fn start(&mut self, index: usize) {
        self.incarnations += 1;
        let clock_rate = 1.0 + self.clock_rate_spread * (self.rng.random::<f64>() - 0.5);
        let clock_offset = self.rng.random_range(0..MAX_CLOCK_OFFSET_US);
        let local_now = clock_offset + (self.now as f64 * clock_rate) as Micros;
        let wall_ms = self.rng.random_range(0..MAX_WALL_OFFSET_MS);
        let mut node = BudgetNode::new(
            local_now,
            ProcessId(index as u64),
            Incarnation(self.incarnations),
            &self.voters,
            wall_ms,
            self.settings,
        );
        node.set_budgets(local_now, self.budgets.clone(), &self.voters);
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

    /// Shuts a process down gracefully, after it has returned its leases.
    ///
    /// # Panics
    ///
    /// If no process was ever started at this index.
    pub fn leave(&mut self, index: usize) {
        let mut out = Vec::new();
        if let Some(process) = &mut self.processes[index] {
            let local_now = process.clock(self.now);
            process.node.return_leases(local_now, &mut out);
        }
        self.send(index, out);
        self.processes[index] = None;
    }

    /// Suspends a process for a time, as by SIGSTOP; its clock keeps running.
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

    /// Cuts or repairs the network path from one process to another, in this direction only.
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

    /// Sets the demand at a process, in requests per second.
    pub fn set_demand(&mut self, index: usize, per_second: f64) {
        if let Some(Some(process)) = self.processes.get_mut(index) {
            process.demand = per_second;
        }
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the process that is the grantor, if there is one and it is not suspended.
    pub fn grantor(&mut self) -> Option<usize> {
        let now = self.now;
        (0..self.processes.len()).find(|index| {
            let process = self.processes[*index].as_mut();
            process.is_some_and(|process| {
                !process.is_suspended(now) && process.leadership_epoch(now).is_some()
            })
        })
    }

    /// Returns the share of the first budget that a process believes it may spend, in requests per
    /// second.
    pub fn share(&self, index: usize) -> f64 {
        let process = self.processes.get(index).and_then(Option::as_ref);
        process.map_or(0.0, |process| process.share(self.now))
    }

    /// Returns and resets the counts since the last call.
    pub fn take_activity(&mut self) -> Activity {
        std::mem::take(&mut self.activity)
    }

    /// Returns the traffic and processor time of each process since the start of the simulation.
    pub fn traffic(&self) -> &[Traffic] {
        &self.traffic
    }

    /// Returns the maximum number of requests admitted in any window of this length, as a fraction
    /// of the number that rate and burst allow.
    pub fn peak_window_fraction(&self, window: Micros) -> f64 {
        let Limit::Rate { rate, burst, .. } = self.budgets[0].limit else {
            return 0.0;
        };
        peak_window_fraction(&self.admitted_at, window, rate, burst)
    }

    /// Runs the simulation until the given time.
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
        let started_at = self.processor_time();
        let Some(Some(process)) = self.processes.get_mut(to) else {
            return;
        };
        let from = ProcessId(from as u64);
        if process.is_suspended(self.now) {
            process.inbox.push((from, message));
            return;
        }
        let mut out = Vec::new();
        let local_now = process.clock(self.now);
        process.node.receive(local_now, from, message, &mut out);
        self.record_processor_time(to, started_at);
        self.send(to, out);
    }

    /// Runs a turn of the event loop. Requests are handled first, as may happen after a suspension
    /// before the process has handled any message or timer.
    fn step_turn(&mut self, index: usize) {
        let started_at = self.processor_time();
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
        self.record_processor_time(index, started_at);
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

    fn record_processor_time(&mut self, index: usize, started_at: Duration) {
        let spent = self.processor_time() - started_at;
        self.traffic[index].processor_time += spent;
    }
}

#[cfg(test)]
mod tests;
