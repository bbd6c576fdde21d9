//! Pools of backends in simulated time, with the real decision module before them.
//!
//! [`world`] is a discrete-event model of one pool: members with slots, queues, service times and troubles, callers that
//! ask at Poisson times, and any number of instances that each decide alone. Whatever implements [`Decider`] stands before
//! it: the module itself, or one of the [`rivals`], which are models of how other balancers choose. [`matrix`] plays kinds
//! of trouble against sizes, loads and effects, and [`report`] writes the outcome as text, JSON or a heat map. [`budgets`]
//! compares ways to divide a whole among processes. [`membership`] plays what the processes of a fleet know of each other.
//!
//! Nothing here reads a clock or a socket. All randomness comes from one seed, so one seed gives one outcome everywhere.

#![forbid(unsafe_code)]

pub mod budgets;
pub mod matrix;
pub mod membership;
pub mod replica;
pub mod report;
pub mod rivals;
pub mod world;

use rand_xoshiro::rand_core::RngCore;
use rand_xoshiro::Xoshiro256PlusPlus;
use umberridge::api::{Action, Event, Millis};

/// What decides for one instance: events in, actions out, in the terms of the module's own interface.
pub trait Decider {
    /// Takes one event at a time and appends what is to be done about it.
    fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>);
}

impl Decider for umberridge::Balancer {
    fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        umberridge::Balancer::handle(self, now, event, actions);
    }
}

/// A number from 0 up to 1.
pub(crate) fn uniform(random: &mut Xoshiro256PlusPlus) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
