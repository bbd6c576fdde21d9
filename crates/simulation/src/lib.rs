//! Pools of backends in simulated time, with the real decision module before them.
//!
//! [`pool`] is a discrete-event model of one pool: members with slots, queues, service times and
//! troubles, callers that ask at Poisson times, and any number of instances that each decide alone.
//! Whatever implements [`Decider`] stands before it: the module itself, or one of the [`other_balancers`],
//! which are models of how other balancers choose. [`matrix`] plays kinds of trouble against sizes,
//! loads and effects, and [`report`] writes the outcome as text, JSON or a heat map. [`budgets`]
//! compares ways to divide a whole among processes, [`replication`] and [`changes`] tell what it costs
//! that all of them hold alike, and [`membership`] plays what the processes of a fleet know of each
//! other.
//!
//! Nothing here goes by a clock or a socket; clocks are read only to tell what a play has cost. All
//! randomness comes from one seed, so one seed gives one outcome everywhere.

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

/// What decides for one instance: events in, actions out, in the terms of the module's own
/// interface.
pub trait Decider {
    /// Takes one event at a time and appends what is to be done about it.
    fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>);
}

impl Decider for dewrun_balancer::Balancer {
    fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        dewrun_balancer::Balancer::handle(self, now, event, actions);
    }
}

/// A number from 0 up to 1.
pub(crate) fn uniform(random: &mut Xoshiro256PlusPlus) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// The processor time that this thread has spent.
pub(crate) fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
