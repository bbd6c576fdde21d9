//! The replicated state in this process: operators' orders and reports of members' status, and which
//! members of which pool they drain. Which of two entries counts is decided by `dewrun-replication`;
//! what a drained member gets is decided by the pool.

use crate::pool::{Drains, Pool};
use crate::snapshot_file::{SnapshotFile, MIN_SNAPSHOT_INTERVAL_US};
use dewrun_budgets::{Micros, Timestamp};
use dewrun_replication::entry::{Delta, Key};
use dewrun_replication::gossip::{
    message::{Envelope, Message, Received},
    Gossip,
};
use dewrun_replication::kind::Kind;
use dewrun_replication::member_status::{self, MemberState};
use dewrun_replication::orders::{self, DesiredState, OrderEntry};
use dewrun_replication::store::{Store, StoreLimits};
use dewrun_replication::{expiry, target, Origin, TOMBSTONE_TTL_US};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use tracing::{info, warn};

const MILLISECOND_US: Micros = 1_000;
/// Time between two rounds of dropping expired entries, in microseconds.
const FORGET_INTERVAL_US: Micros = 5_000 * MILLISECOND_US;
/// How soon a changed member status is written to the snapshot file, in microseconds.
const STATUS_SNAPSHOT_DELAY_US: Micros = 5_000 * MILLISECOND_US;
/// How long a process that was suspended asks for what it missed before it forwards requests, in
/// microseconds.
const CATCH_UP_TIMEOUT_US: Micros = 250 * MILLISECOND_US;

/// Messages of the replicated state that are to be sent, each with who gets it.
pub(crate) type ReplicationPackets = Vec<Envelope<SocketAddr>>;

/// What the replicated state starts with.
pub(crate) struct ReplicationStart<'a> {
    pub now: Timestamp,
    pub now_ms: u64,
    /// The incarnation of this process.
    pub incarnation: u64,
    pub me: SocketAddr,
    /// Where snapshots are kept, if they are.
    pub folder: Option<PathBuf>,
    /// The fleet's name.
    pub fleet: &'a str,
    /// This process's name.
    pub name: &'a str,
}

/// Drains that have changed, for the pools of one name.
pub(crate) struct DrainChange {
    pub pools: Vec<Weak<dyn Pool>>,
    pub drains: Drains,
}

/// The replicated state of this process.
pub(crate) struct Replication {
    pub store: Store,
    pub gossip: Gossip<SocketAddr>,
    /// The other processes that are up.
    pub peers: Vec<SocketAddr>,
    pools_by_name: BTreeMap<String, Vec<Weak<dyn Pool>>>,
    drains: BTreeMap<String, Drains>,
    changed: BTreeSet<String>,
    /// Until when requests wait for the orders that were missed during a suspension.
    catch_up_until: Timestamp,
    forget_at: Timestamp,
    /// When a message of another process last arrived.
    last_message_at: Timestamp,
    /// Members with conflicting orders, as was logged.
    logged_conflicts: BTreeSet<String>,
    snapshot: Option<SnapshotFile>,
}

impl Replication {
    /// Starts from the snapshot file, if there is a valid one.
    pub fn start(start: ReplicationStart) -> Replication {
        let ReplicationStart {
            now,
            now_ms,
            incarnation,
            me,
            folder,
            fleet,
            name,
        } = start;
        let mut store = Store::new(Origin(incarnation), StoreLimits::DEFAULT);
        let snapshot = folder.map(|folder| SnapshotFile::new(now, &folder, fleet, name));
        if let Some(snapshot) = &snapshot {
            snapshot.read(&mut store, now, now_ms);
        }
        Replication {
            store,
            gossip: Gossip::new(now, me),
            peers: Vec::new(),
            pools_by_name: BTreeMap::new(),
            drains: BTreeMap::new(),
            changed: BTreeSet::new(),
            catch_up_until: now,
            forget_at: now + FORGET_INTERVAL_US,
            last_message_at: now,
            logged_conflicts: BTreeSet::new(),
            snapshot,
        }
    }

    /// Registers a pool, whose drains are reported as changed.
    pub fn register_pool(&mut self, now: Timestamp, name: &str, pool: Weak<dyn Pool>) {
        let pools = self.pools_by_name.entry(name.into()).or_default();
        pools.retain(|pool| pool.strong_count() > 0);
        pools.push(pool);
        let keys: BTreeSet<Key> = [Kind::ORDER, Kind::MEMBER_STATUS]
            .iter()
            .flat_map(|kind| self.store.entries_of_kind(*kind))
            .map(|stored| stored.key.clone())
            .collect();
        keys.iter().for_each(|key| self.update_drains(now, key));
        self.changed.insert(name.into());
    }

    /// Asks the other processes for what was missed while this process was suspended.
    pub fn start_catching_up(&mut self, now: Timestamp) {
        self.catch_up_until = now + CATCH_UP_TIMEOUT_US;
        self.gossip.restart_catch_up(now);
    }

    /// Whether requests must wait, as the answers to what was missed are still awaited.
    pub fn is_catching_up(&self, now: Timestamp) -> bool {
        now < self.catch_up_until && !self.gossip.is_caught_up() && !self.peers.is_empty()
    }

    /// Handles a message of another process.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: Message,
        rng: &mut impl Rng,
        out: &mut ReplicationPackets,
    ) {
        if now.saturating_sub(self.last_message_at) >= TOMBSTONE_TTL_US {
            warn!("fleet: no message of another process for a day: the replicated state is replaced by that of the others");
            self.store.reset_after_isolation(self.last_message_at);
            self.gossip.restart_catch_up(now);
            self.changed.extend(self.drains.keys().cloned());
            self.drains.clear();
        }
        self.last_message_at = now;
        let Replication {
            store,
            gossip,
            peers,
            ..
        } = self;
        let received = Received {
            from,
            message,
            peers,
        };
        for entry in gossip.on_message(now, store, received, rng, out) {
            self.handle_entry(now, &entry.key);
        }
    }

    /// Sends an entry that was written here to the other processes.
    pub fn disseminate(
        &mut self,
        now: Timestamp,
        delta: Delta,
        rng: &mut impl Rng,
        out: &mut ReplicationPackets,
    ) {
        self.gossip.broadcast(now, delta, &self.peers, rng, out);
    }

    /// Acts on an entry that has arrived or was written here.
    pub fn handle_entry(&mut self, now: Timestamp, key: &Key) {
        self.update_drains(now, key);
        let is_order = key.kind == Kind::ORDER;
        if is_order {
            self.log_orders(&key.name);
        }
        self.schedule_snapshot(
            now,
            if is_order {
                MIN_SNAPSHOT_INTERVAL_US
            } else {
                STATUS_SNAPSHOT_DELAY_US
            },
        );
    }

    /// Runs what is due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        now_ms: u64,
        rng: &mut impl Rng,
        out: &mut ReplicationPackets,
    ) {
        self.gossip.on_tick(now, &self.store, &self.peers, rng, out);
        if now >= self.forget_at {
            self.forget_at = now + FORGET_INTERVAL_US;
            self.forget_ended(now);
        }
        self.write_snapshot(now, now_ms, false);
    }

    fn forget_ended(&mut self, now: Timestamp) {
        expiry::remove_expired(&mut self.store, now);
        // Reports of other processes expire.
        let held = self.drains.iter().flat_map(|(pool, drains)| {
            let members = drains.by_peers.keys();
            members.map(move |member| Key {
                kind: Kind::MEMBER_STATUS,
                name: target::target_name(pool, member),
            })
        });
        let held: Vec<Key> = held.collect();
        held.iter().for_each(|key| self.update_drains(now, key));
        let is_old = self
            .snapshot
            .as_ref()
            .is_some_and(|snapshot| snapshot.is_old(now));
        if is_old && !self.store.is_empty() {
            self.schedule_snapshot(now, MIN_SNAPSHOT_INTERVAL_US);
        }
    }

    /// Determines again whether a member is drained.
    fn update_drains(&mut self, now: Timestamp, key: &Key) {
        let target = &key.name;
        if ![Kind::ORDER, Kind::MEMBER_STATUS].contains(&key.kind) {
            return;
        }
        let orders = orders::orders_in_force_for(&self.store, target);
        let drained = orders
            .first()
            .is_some_and(|given| given.order.desired_state == DesiredState::Drain);
        let report = member_status::status_from_peers(&self.store, now, target)
            .filter(|report| report.state > MemberState::Ready);
        for pool in self.pools_by_name.keys() {
            let Some(member) = target::member_of(target, pool) else {
                continue;
            };
            let drains = self.drains.entry(pool.clone()).or_default();
            let ordered_up_to_start = drained.then_some(f64::INFINITY);
            let reported_up_to_start = report.map(|report| report.started_ms as f64);
            let mut changed = false;
            for (held, until) in [
                (&mut drains.by_operators, ordered_up_to_start),
                (&mut drains.by_peers, reported_up_to_start),
            ] {
                let before = match until {
                    Some(until) => held.insert(member.into(), until),
                    None => held.remove(member),
                };
                changed |= before != until;
            }
            if changed {
                self.changed.insert(pool.clone());
            }
        }
    }

    /// Logs which order of a member is in force, or that concurrent orders conflict.
    fn log_orders(&mut self, target: &str) {
        let orders = orders::orders_in_force_for(&self.store, target);
        let text = |given: &OrderEntry| {
            format!(
                "{} by {}",
                desired_state_text(given.order.desired_state),
                given.order.operator
            )
        };
        match &orders[..] {
            [] => {}
            [one] => {
                self.logged_conflicts.remove(target);
                info!("fleet: {target}: {} is in force", text(one));
            }
            [one, others @ ..] => {
                let others: Vec<String> = others.iter().map(text).collect();
                if self.logged_conflicts.insert(target.into()) {
                    warn!(
                        "fleet: orders of {target} conflict: {} and {} were given without knowledge of each other; the more \
                         careful one is in force until another is given",
                        text(one),
                        others.join(", ")
                    );
                }
            }
        }
    }

    /// The drains that have changed since the last call.
    pub fn take_drain_changes(&mut self) -> Vec<DrainChange> {
        let changed = std::mem::take(&mut self.changed);
        let of = |pool: &String| DrainChange {
            pools: self.pools_by_name.get(pool).cloned().unwrap_or_default(),
            drains: self.drains.get(pool).cloned().unwrap_or_default(),
        };
        changed.iter().map(of).collect()
    }

    /// The registered pools by name, each the latest of its name.
    pub fn pools(&self) -> Vec<(String, Rc<dyn Pool>)> {
        let live = |(name, pools): (&String, &Vec<Weak<dyn Pool>>)| {
            Some((name.clone(), pools.iter().rev().find_map(Weak::upgrade)?))
        };
        self.pools_by_name.iter().filter_map(live).collect()
    }

    fn schedule_snapshot(&mut self, now: Timestamp, within: Micros) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.schedule(now, within);
        }
    }

    /// Writes a snapshot if one is due.
    pub fn write_snapshot(&mut self, now: Timestamp, now_ms: u64, at_end: bool) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.write(&self.store, now, now_ms, at_end);
        }
    }
}

/// A desired state as operators write it.
pub(crate) fn desired_state_text(desired_state: DesiredState) -> &'static str {
    match desired_state {
        DesiredState::Drain => "drain",
        DesiredState::Return => "return",
    }
}
