//! Simulations of endpoint pools in virtual time, driven by the real balancer.
//!
//! [`pool`] is a discrete-event model of one pool: members with slots, queues, service times and
//! faults, clients whose requests arrive as a Poisson process, and any number of instances that
//! decide independently. Every instance is a [`Decider`]: the balancer itself, or one of the models
//! of other products in [`other_balancers`]. [`matrix`] runs faults against pool sizes, loads and
//! effect classes, and [`report`] writes the results as text, JSON or a heat map. [`budgets`]
//! compares methods to divide a total among processes, [`replication`] and [`changes`] measure the
//! cost of replicated state, and [`membership`] simulates the membership protocol of a fleet.
//!
//! The simulations use no wall clock and no socket; clocks are read only to measure the processor
//! time of a simulation. All randomness comes from one seed, so that a seed determines the result
//! on every machine.

#![forbid(unsafe_code)]

pub mod budgets;
pub mod changes;
pub mod matrix;
pub mod membership;
pub mod other_balancers;
pub mod pool;
pub mod replication;
pub mod report;

use dewrun_balancer::{Action, Event, Millis};
use rand_xoshiro::rand_core::RngCore;
use rand_xoshiro::Xoshiro256PlusPlus;
use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// The decision logic of one instance, with the events and actions of the balancer's interface.
pub trait Decider {
    /// Handles one event and appends the actions to perform.
    fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>);
}

impl Decider for dewrun_balancer::Balancer {
    fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        dewrun_balancer::Balancer::handle(self, now, event, actions);
    }
}

/// Returns a random number from 0 up to, but not including, 1.
pub(crate) fn uniform(random: &mut Xoshiro256PlusPlus) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the processor time that this thread has used.
pub(crate) fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
