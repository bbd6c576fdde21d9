//! A simulated process: a [`BudgetNode`] with a clock, a demand and an inbox.

use super::TURN_INTERVAL_US;
use crate::message::{Envelope, Message};
use crate::node::{BudgetNode, UNIT_WEIGHT};
use crate::{BudgetKey, Epoch, Micros, ProcessId, Timestamp};
use rand::Rng;

pub(super) struct SimulatedProcess {
    pub node: BudgetNode,
    /// The rate of the process's clock relative to true time.
    clock_rate: f64,
    clock_offset: Micros,
    /// The demand in requests per second.
    pub demand: f64,
    /// The fraction of a request that is carried over from earlier turns.
    pending_requests: f64,
    pub suspended_until: Timestamp,
    /// Messages that arrived while the process was suspended.
    pub inbox: Vec<(ProcessId, Message)>,
}

impl SimulatedProcess {
    pub fn new(node: BudgetNode, clock_rate: f64, clock_offset: Micros) -> SimulatedProcess {
        SimulatedProcess {
            node,
            clock_rate,
            clock_offset,
            demand: 0.0,
            pending_requests: 0.0,
            suspended_until: 0,
            inbox: Vec::new(),
        }
    }

    /// Returns the time on the process's own clock at a true time.
    pub fn clock(&self, now: Timestamp) -> Timestamp {
        self.clock_offset + (now as f64 * self.clock_rate) as Micros
    }

    pub fn is_suspended(&self, now: Timestamp) -> bool {
        now < self.suspended_until
    }

    pub fn leadership_epoch(&mut self, now: Timestamp) -> Option<Epoch> {
        self.node.leadership_epoch(self.clock(now))
    }

    /// Returns the share of the first budget that the process believes it may spend, in requests
    /// per second.
    pub fn share(&self, now: Timestamp) -> f64 {
        self.node.report(self.clock(now))[0].share
    }

    /// Draws the number of requests that arrive in one turn of the event loop.
    pub fn requests_in_turn(&mut self, rng: &mut impl Rng) -> u64 {
        let mean = self.demand * TURN_INTERVAL_US as f64 / 1e6;
        self.pending_requests += mean * (0.5 + rng.random::<f64>());
        let mut requests = 0;
        while self.pending_requests >= 1.0 {
            self.pending_requests -= 1.0;
            requests += 1;
        }
        requests
    }

    /// Attempts to admit requests under a budget; returns the number of admitted requests.
    pub fn spend(&mut self, now: Timestamp, key: BudgetKey, requests: u64) -> u64 {
        let local_now = self.clock(now);
        let admits = |_: &u64| self.node.spend(local_now, &[key], UNIT_WEIGHT).is_ok();
        (0..requests).filter(admits).count() as u64
    }

    /// Handles the messages that arrived during a suspension, and runs the node's tick.
    pub fn turn(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Envelope> {
        let local_now = self.clock(now);
        let mut out = Vec::new();
        for (from, message) in std::mem::take(&mut self.inbox) {
            self.node.receive(local_now, from, message, &mut out);
        }
        self.node.tick(local_now, rng, &mut out);
        out
    }
}
