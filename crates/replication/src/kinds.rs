//! What the entries say, and the rule of each kind for what several origins say of one thing.
//!
//! *Orders* of operators: an order names all orders of its target that its writer had seen. One
//! that was seen by another is over. Where two were given without knowledge of each other, the more
//! careful holds until an operator, who sees both, gives another. *News* of members: of two starts
//! the later counts, within one the more careful, and a process's word counts for a while, until
//! all have heard it where they listen themselves.

use crate::store::{Delta, Entry, Key, Store};
use crate::{Dot, Micros, Origin, TOMBSTONE_TTL_US};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The kind of orders.
pub const ORDER: u8 = 1;
/// The kind of news of members.
pub const MEMBER_STATUS: u8 = 2;

/// How long a process's word of a member counts for others: its own list is older than that at none
/// that hears anything.
pub const MEMBER_STATUS_TTL_US: Micros = 60 * 1_000_000;

/// Whether entries of a kind are taken when there is no room for others.
pub fn is_exempt_from_capacity(kind: u8) -> bool {
    kind == ORDER
}

/// What an operator wants of a member. The later in this list is the more careful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DesiredState {
    /// It is served as its list says.
    Return,
    /// Nothing new goes to it.
    Drain,
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What is wanted.
    pub wish: DesiredState,
    /// Who gave it, for people.
    pub by: String,
    /// When it was given, in Unix milliseconds, for people: nothing is decided by it.
    pub at_ms: u64,
    /// The orders of the same target that were known: of each origin, up to this number.
    pub supersedes: BTreeMap<Origin, u64>,
}

/// An order that holds, or one that stands against it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// Which.
    pub dot: Dot,
    /// What it says.
    pub order: Order,
}

/// The most orders that one remembers to be over.
const MAX_SUPERSEDED: usize = 64;

/// The name of a member among targets.
pub fn target(pool: &str, member: &str) -> String {
    format!("{pool}/{member}")
}

/// The member that a target names, if it is one of this pool.
pub fn member_of<'a>(target: &'a str, pool: &str) -> Option<&'a str> {
    target.strip_prefix(pool)?.strip_prefix('/')
}

/// The orders in force by target, the one that holds first, then those that were given without
/// knowledge of it.
pub fn orders(store: &Store) -> BTreeMap<String, Vec<OrderEntry>> {
    let targets: BTreeSet<&Key> = store.of_kind(ORDER).map(|(_, key, _)| key).collect();
    let standing = |key: &Key| (key.name.clone(), standing(store, key));
    targets
        .into_iter()
        .map(standing)
        .filter(|(_, given)| !given.is_empty())
        .collect()
}

/// The orders in force of one target.
pub fn orders_of(store: &Store, target: &str) -> Vec<OrderEntry> {
    standing(
        store,
        &Key {
            kind: ORDER,
            name: target.into(),
        },
    )
}

fn standing(store: &Store, key: &Key) -> Vec<OrderEntry> {
    let given = store.of_key(key).filter_map(|(origin, entry)| {
        // One in a later version's form is kept and passed on, and does nothing here.
        let order = postcard::from_bytes::<Order>(&entry.value).ok()?;
        Some(OrderEntry {
            dot: Dot {
                origin,
                version: entry.version,
            },
            order,
        })
    });
    let given: Vec<OrderEntry> = given.collect();
    let stands = |one: &&OrderEntry| !given.iter().any(|other| is_over(one, other));
    let mut standing: Vec<OrderEntry> = given.iter().filter(stands).cloned().collect();
    standing.sort_by_key(|given| std::cmp::Reverse((given.order.wish, given.dot)));
    standing
}

/// Whether the second was given with knowledge of the first.
fn is_over(one: &OrderEntry, other: &OrderEntry) -> bool {
    one.dot != other.dot
        && other
            .order
            .supersedes
            .get(&one.dot.origin)
            .is_some_and(|known| *known >= one.dot.version)
}

/// Gives an order, over all of its target that are known here.
pub fn place_order(
    store: &mut Store,
    now: Micros,
    target: &str,
    wish: DesiredState,
    by: &str,
    at_ms: u64,
) -> Delta {
    let key = Key {
        kind: ORDER,
        name: target.into(),
    };
    let mut supersedes: BTreeMap<Origin, u64> = BTreeMap::new();
    for (origin, entry) in store.of_key(&key) {
        let held = supersedes.entry(origin).or_default();
        *held = entry.version.max(*held);
        // Also what those were given over: a copy may hold one that all others have forgotten.
        let Ok(order) = postcard::from_bytes::<Order>(&entry.value) else {
            continue;
        };
        for (origin, version) in order.supersedes {
            let held = supersedes.entry(origin).or_default();
            *held = version.max(*held);
        }
    }
    while supersedes.len() > MAX_SUPERSEDED {
        supersedes.pop_first();
    }
    let order = Order {
        wish,
        by: by.into(),
        at_ms,
        supersedes,
    };
    let value = postcard::to_stdvec(&order).unwrap_or_default();
    store.write(now, key, value)
}

/// What is said of a member's state. The later in this list is the more careful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Requests may go to it.
    Ready,
    /// Nothing new.
    Draining,
    /// It is no longer there.
    Gone,
}

/// What one process heard of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberStatus {
    /// When the member started, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
    /// Its state.
    pub state: MemberState,
}

/// Tells what was heard of a member here; nothing if the same was told before.
pub fn report_status(
    store: &mut Store,
    now: Micros,
    target: &str,
    news: MemberStatus,
) -> Option<Delta> {
    let key = Key {
        kind: MEMBER_STATUS,
        name: target.into(),
    };
    let value = postcard::to_stdvec(&news).ok()?;
    let before = store.get(store.me(), &key);
    if before.is_some_and(|entry| entry.value == value) {
        return None;
    }
    Some(store.write(now, key, value))
}

/// What other processes have heard of a member of late.
pub fn status_from_peers(store: &Store, now: Micros, target: &str) -> Option<MemberStatus> {
    let key = Key {
        kind: MEMBER_STATUS,
        name: target.into(),
    };
    let of_others = store
        .of_key(&key)
        .filter(|(origin, entry)| *origin != store.me() && counts(now, entry));
    of_others
        .filter_map(|(_, entry)| postcard::from_bytes::<MemberStatus>(&entry.value).ok())
        .max()
}

/// What one process has told of a member, if anything.
pub fn reported_status(store: &Store, target: &str) -> Option<MemberStatus> {
    let key = Key {
        kind: MEMBER_STATUS,
        name: target.into(),
    };
    postcard::from_bytes(&store.get(store.me(), &key)?.value).ok()
}

fn counts(now: Micros, entry: &Entry) -> bool {
    (now as i64).saturating_sub(entry.born) < MEMBER_STATUS_TTL_US as i64
}

/// Forgets what has ended: news that count no longer, orders that are over, and withdrawn ones when
/// none can remember what they withdrew.
pub fn forget_ended(store: &mut Store, now: Micros) {
    let mut ended: Vec<(Origin, Key)> = Vec::new();
    let standing = orders(store);
    for (origin, key, entry) in store.of_kind(ORDER) {
        let Some(standing) = standing.get(&key.name) else {
            continue;
        };
        let dot = Dot {
            origin,
            version: entry.version,
        };
        let mine = standing.iter().find(|given| given.dot == dot);
        let old = (now as i64).saturating_sub(entry.born) >= TOMBSTONE_TTL_US as i64;
        let withdrawn = |given: &OrderEntry| {
            given.order.wish == DesiredState::Return && old && standing.len() == 1
        };
        if mine.is_none_or(withdrawn) {
            ended.push((origin, key.clone()));
        }
    }
    // What was heard here of a member that is there stays known, as it is told again only when it
    // changes.
    let is_there = |entry: &Entry| {
        postcard::from_bytes::<MemberStatus>(&entry.value)
            .is_ok_and(|news| news.state < MemberState::Gone)
    };
    let supersedes = store.of_kind(MEMBER_STATUS).filter(|(origin, _, entry)| {
        !counts(now, entry) && (*origin != store.me() || !is_there(entry))
    });
    ended.extend(supersedes.map(|(origin, key, _)| (origin, key.clone())));
    ended
        .iter()
        .for_each(|(origin, key)| store.forget(*origin, key));
    store.forget_origins(now);
}
