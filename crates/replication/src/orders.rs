//! Orders of operators: what a member should do, and which of several orders holds.
//!
//! An order names the orders of its target that were known where it was given, and supersedes them.
//! Orders that do not know of each other are concurrent: of those the most careful holds, and all
//! stay in force until an operator, who sees them, gives another.

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

/// What an operator wants of a member, from the least to the most careful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DesiredState {
    /// It is served as its endpoint list says: a drain is withdrawn.
    Return,
    /// No new requests go to it.
    Drain,
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What is wanted.
    pub desired_state: DesiredState,
    /// Who gave it, for people.
    pub operator: String,
    /// When it was given, in Unix milliseconds, for people: no rule depends on it.
    pub given_at_ms: u64,
    /// The orders of the same target that were known where it was given.
    pub superseded: VersionVector,
}

impl Order {
    /// Whether this order was given with knowledge of another of the same target, which no longer
    /// holds.
    pub fn supersedes(&self, other: Dot) -> bool {
        self.superseded.includes(other)
    }
}

/// An order with the name of its write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// Which write.
    pub dot: Dot,
    /// What it says.
    pub order: Order,
}

/// Origins that one order names as superseded.
const MAX_SUPERSEDED_ORIGINS: usize = 64;

/// The key of the orders of a target.
pub fn order_key(target: &str) -> Key {
    Key {
        kind: Kind::ORDER,
        name: target.into(),
    }
}

/// The orders in force by target: the first is the one that holds, the others are concurrent to it.
pub fn orders_in_force(store: &Store) -> BTreeMap<String, Vec<OrderEntry>> {
    let orders = store.entries_of_kind(Kind::ORDER);
    let targets: BTreeSet<&Key> = orders.map(|order| order.key).collect();
    targets
        .into_iter()
        .map(|key| (key.name.clone(), in_force(store, key)))
        .filter(|(_, orders)| !orders.is_empty())
        .collect()
}

/// The orders in force of one target: the first is the one that holds, the others are concurrent to
/// it.
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

/// Whether another order of the same target supersedes this one.
fn is_superseded(order: &OrderEntry, orders: &[OrderEntry]) -> bool {
    orders
        .iter()
        .any(|other| other.dot != order.dot && other.order.supersedes(order.dot))
}

/// Which of several concurrent orders holds, the first by this key: the most careful, so that a
/// member that anyone wants out of service stays out. The dot breaks ties alike in all stores.
fn precedence(order: &OrderEntry) -> Reverse<(DesiredState, Dot)> {
    Reverse((order.order.desired_state, order.dot))
}

/// An operator's order, before it is written.
#[derive(Clone, Copy, Debug)]
pub struct NewOrder<'a> {
    /// The member that it is about, see [`crate::target`].
    pub target: &'a str,
    /// What is wanted.
    pub desired_state: DesiredState,
    /// Who gives it, for people.
    pub operator: &'a str,
    /// When it is given, in Unix milliseconds, for people.
    pub given_at_ms: u64,
}

/// Gives an order, which supersedes all orders of its target that are known here.
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

/// The orders of a key that are known here, with those that they supersede: a store that was cut
/// off may still hold an order that all others have forgotten.
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

/// An order in a form that this version does not know is kept and passed on, and has no effect
/// here.
fn decode(stored: StoredEntry) -> Option<OrderEntry> {
    let order = postcard::from_bytes::<Order>(&stored.entry.value).ok()?;
    let dot = stored.dot();
    Some(OrderEntry { dot, order })
}
