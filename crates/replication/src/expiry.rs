//! Removal of entries that a store no longer needs.
//!
//! - A superseded order is removed at once: the version of its write stays known, and the order
//!   that supersedes it names it.
//! - A withdrawal (an order to return) is a tombstone. It is removed after [`TOMBSTONE_TTL_US`],
//!   see [`is_tombstone_expired`].
//! - A drain is kept until it is withdrawn.
//! - A status report is removed when it has expired, see [`crate::member_status`].
//! - An origin without entries is removed when it has not changed for [`TOMBSTONE_TTL_US`].

use crate::entry::{Entry, Key, StoredEntry};
use crate::kind::Kind;
use crate::member_status::is_report_removable;
use crate::orders::{orders_in_force, DesiredState, OrderEntry};
use crate::store::Store;
use crate::version_vector::Origin;
use crate::{Micros, Timestamp};

#[cfg(test)]
mod tests;

/// The time for which a withdrawal is kept. A process that has received no message for this time
/// resets its store ([`Store::reset_after_isolation`]), and no process reads an older snapshot, so
/// none can restore an order whose tombstone was removed.
pub const TOMBSTONE_TTL_US: Micros = 24 * 3_600 * 1_000_000;

/// Removes entries and origins that are no longer needed.
pub fn remove_expired(store: &mut Store, now: Timestamp) {
    let mut removable = removable_orders(store, now);
    removable.extend(removable_reports(store, now));
    for RemovableEntry { origin, key } in removable {
        store.remove(origin, &key);
    }
    store.remove_idle_origins(now, TOMBSTONE_TTL_US);
}

/// The origin and key of an entry that may be removed.
struct RemovableEntry {
    origin: Origin,
    key: Key,
}

impl RemovableEntry {
    fn of(stored: StoredEntry) -> RemovableEntry {
        RemovableEntry {
            origin: stored.origin,
            key: stored.key.clone(),
        }
    }
}

fn removable_orders(store: &Store, now: Timestamp) -> Vec<RemovableEntry> {
    let in_force = orders_in_force(store);
    let is_removable = |order: &StoredEntry| {
        let in_force = in_force.get(&order.key.name);
        in_force.is_some_and(|in_force| is_order_removable(now, order, in_force))
    };
    store
        .entries_of_kind(Kind::ORDER)
        .filter(is_removable)
        .map(RemovableEntry::of)
        .collect()
}

/// Returns whether an order may be removed, given the orders of its target that are in force: it is
/// superseded, or it is an expired withdrawal without a concurrent order. A withdrawal that is
/// concurrent to a drain is kept, so that operators see both.
fn is_order_removable(now: Timestamp, order: &StoredEntry, in_force: &[OrderEntry]) -> bool {
    match in_force.iter().find(|other| other.dot == order.dot()) {
        None => true,
        Some(own) => {
            let is_withdrawal = own.order.desired_state == DesiredState::Return;
            is_withdrawal && is_tombstone_expired(now, order.entry) && in_force.len() == 1
        }
    }
}

/// Returns whether a withdrawal is so old that no process can still have the order that it
/// withdrew.
pub fn is_tombstone_expired(now: Timestamp, tombstone: &Entry) -> bool {
    tombstone.age_us(now) >= TOMBSTONE_TTL_US
}

fn removable_reports(store: &Store, now: Timestamp) -> Vec<RemovableEntry> {
    store
        .entries_of_kind(Kind::MEMBER_STATUS)
        .filter(|report| is_report_removable(store, now, *report))
        .map(RemovableEntry::of)
        .collect()
}
