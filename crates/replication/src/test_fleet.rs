//! Helpers for the tests of several modules.

use crate::orders::{orders_in_force, place_order, DesiredState, NewOrder};
use crate::simulation::SimulatedFleet;
use crate::store::{Store, StoreLimits};
use crate::{Micros, Origin};
use rand_xoshiro::Xoshiro256PlusPlus;

pub(crate) const MS: Micros = 1_000;
pub(crate) const S: Micros = 1_000_000;

pub(crate) type Fleet = SimulatedFleet<Xoshiro256PlusPlus>;

/// Creates an empty store.
pub(crate) fn store(origin: u64) -> Store {
    Store::new(Origin(origin), StoreLimits::DEFAULT)
}

/// Returns an order by the operator `ann`.
pub(crate) fn order(target: &str, desired_state: DesiredState) -> NewOrder<'_> {
    NewOrder {
        target,
        desired_state,
        operator: "ann",
        given_at_ms: 0,
    }
}

/// Places an order at a process.
pub(crate) fn place(fleet: &mut Fleet, at: usize, target: &str, desired_state: DesiredState) {
    fleet.write(at, |store, now| {
        Some(place_order(store, now, order(target, desired_state)))
    });
}

/// Returns the desired state of a target according to a process's store.
pub(crate) fn desired_state(fleet: &Fleet, at: usize, target: &str) -> Option<DesiredState> {
    let store = &fleet.processes[at].as_ref()?.store;
    orders_in_force(store)
        .get(target)
        .map(|orders| orders[0].order.desired_state)
}
