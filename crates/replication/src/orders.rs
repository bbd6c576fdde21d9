//! Operators' orders for members, and the resolution of conflicting orders.
//!
//! An order names the orders of its target that were known to the process that placed it, and
//! supersedes them. Orders of which neither supersedes the other are concurrent. The most
//! restrictive of them takes effect, and all stay in force until an operator, who sees them, places
//! another.

use crate::entry::{Delta, Key, StoredEntry};
use crate::kind::Kind;
use crate::store::Store;
use crate::version_vector::{Dot, VersionVector};
use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// The state that an operator orders for a member, from the least to the most restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DesiredState {
    /// The member gets requests as its endpoint list defines; a drain is withdrawn.
    Return,
    /// The member gets no new requests.
    Drain,
}

/// An operator's order in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The ordered state.
    pub desired_state: DesiredState,
    /// The name of the operator, for display.
    pub operator: String,
    /// The time of the order in Unix milliseconds, for display: no rule depends on it.
    pub given_at_ms: u64,
    /// The orders of the same target that were known to the process that placed this one.
    pub superseded: VersionVector,
}

impl Order {
    /// Returns whether this order supersedes another one of the same target, because the other was
    /// known when this one was placed.
    pub fn supersedes(&self, other: Dot) -> bool {
        self.superseded.includes(other)
    }
}

/// An order with the identity of its write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// The identity of the write.
    pub dot: Dot,
    /// The decoded order.
    pub order: Order,
}

/// Maximum number of origins that one order names as superseded.
const MAX_SUPERSEDED_ORIGINS: usize = 64;

/// Returns the key of a target's orders.
pub fn order_key(target: &str) -> Key {
    Key {
        kind: Kind::ORDER,
        name: target.into(),
    }
}

/// Returns the orders in force by target. The first of each target is the effective one, the others
/// are concurrent to it.
pub fn orders_in_force(store: &Store) -> BTreeMap<String, Vec<OrderEntry>> {
    let orders = store.entries_of_kind(Kind::ORDER);
    let targets: BTreeSet<&Key> = orders.map(|order| order.key).collect();
    targets
        .into_iter()
        .map(|key| (key.name.clone(), in_force(store, key)))
        .filter(|(_, orders)| !orders.is_empty())
        .collect()
}

/// Returns the orders in force of one target. The first is the effective one, the others are
/// concurrent to it.
pub fn orders_in_force_for(store: &Store, target: &str) -> Vec<OrderEntry> {
    in_force(store, &order_key(target))
}

fn in_force(store: &Store, key: &Key) -> Vec<OrderEntry> {
    let orders: Vec<OrderEntry> = store.entries_of_key(key).filter_map(decode).collect();
    let mut in_force: Vec<OrderEntry> = orders
        .iter()
        .filter(|order| !is_superseded(order, &orders))
        .cloned()
        .collect();
    in_force.sort_by_key(precedence);
    in_force
}

/// Returns whether another order of the same target supersedes this one.
fn is_superseded(order: &OrderEntry, orders: &[OrderEntry]) -> bool {
    orders
        .iter()
        .any(|other| other.dot != order.dot && other.order.supersedes(order.dot))
}

/// Returns the sort key that puts the effective one of concurrent orders first. It is the most
/// restrictive one, so that a member that any operator has drained stays drained. The dot breaks
/// ties identically in all stores.
fn precedence(order: &OrderEntry) -> Reverse<(DesiredState, Dot)> {
    Reverse((order.order.desired_state, order.dot))
}

/// An operator's order that is not written yet.
#[derive(Clone, Copy, Debug)]
pub struct NewOrder<'a> {
    /// The member, see [`crate::target`].
    pub target: &'a str,
    /// The ordered state.
    pub desired_state: DesiredState,
    /// The name of the operator, for display.
    pub operator: &'a str,
    /// The time of the order in Unix milliseconds, for display.
    pub given_at_ms: u64,
}

/// Writes an order that supersedes all orders of its target that the store knows, and returns the
/// delta that replicates it.
pub fn place_order(store: &mut Store, now: Timestamp, new: NewOrder) -> Delta {
    let key = order_key(new.target);
    let order = Order {
        desired_state: new.desired_state,
        operator: new.operator.into(),
        given_at_ms: new.given_at_ms,
        superseded: known_orders(store, &key),
    };
    let value = postcard::to_stdvec(&order).unwrap_or_default();
    store.write(now, key, value)
}

/// Returns the known orders of a key and those that they supersede. The latter are included because
/// a store that was partitioned may still have an order that all others have removed.
fn known_orders(store: &Store, key: &Key) -> VersionVector {
    let mut known = VersionVector::default();
    for stored in store.entries_of_key(key) {
        known.include(stored.dot());
        if let Some(order) = decode(stored) {
            let superseded = order.order.superseded;
            superseded.dots().for_each(|dot| known.include(dot));
        }
    }
    known.limit_origins(MAX_SUPERSEDED_ORIGINS);
    known
}

/// Decodes an order. An order in a format that this version does not know is kept and forwarded,
/// but has no effect in this process.
fn decode(stored: StoredEntry) -> Option<OrderEntry> {
    let order = postcard::from_bytes::<Order>(&stored.entry.value).ok()?;
    let dot = stored.dot();
    Some(OrderEntry { dot, order })
}
