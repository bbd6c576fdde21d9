//! The replicated state of this process (operators' orders and reports of members' status), and the
//! members of each pool that it drains. `dewrun-replication` resolves conflicting entries; the pool
//! decides which requests a drained member gets.

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
/// The interval between removals of expired entries, in microseconds.
const EXPIRY_INTERVAL_US: Micros = 5_000 * MILLISECOND_US;
/// The delay before a changed member status is written to the snapshot file, in microseconds.
const STATUS_SNAPSHOT_DELAY_US: Micros = 5_000 * MILLISECOND_US;
/// The longest time for which requests wait after a suspension while the process catches up, in
/// microseconds.
const CATCH_UP_TIMEOUT_US: Micros = 250 * MILLISECOND_US;

/// Outgoing messages of the replicated state with their receivers.
pub(crate) type ReplicationMessages = Vec<Envelope<SocketAddr>>;

/// Parameters of [`Replication::start`].
pub(crate) struct ReplicationStart<'a> {
    pub now: Timestamp,
    /// The wall-clock time in Unix milliseconds.
    pub now_ms: u64,
    /// The incarnation of this process.
    pub incarnation: u64,
    pub me: SocketAddr,
    /// The folder of the snapshot file; `None` if snapshots are disabled.
    pub folder: Option<PathBuf>,
    /// The name of the fleet.
    pub fleet: &'a str,
    /// The name of this process.
    pub name: &'a str,
}

/// Changed drains, with the pools to which they apply.
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
    /// Names of pools whose drains have changed.
    changed_pools: BTreeSet<String>,
    /// The time until which requests wait for orders that were missed during a suspension.
    catch_up_until: Timestamp,
    next_expiry_at: Timestamp,
    /// The arrival time of the last message from another process.
    last_message_at: Timestamp,
    /// Members whose conflicting orders were logged.
    logged_conflicts: BTreeSet<String>,
    snapshot: Option<SnapshotFile>,
}

impl Replication {
    /// Creates the replicated state, and restores it from the snapshot file if there is a valid
    /// one.
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
            changed_pools: BTreeSet::new(),
            catch_up_until: now,
            next_expiry_at: now + EXPIRY_INTERVAL_US,
            last_message_at: now,
            logged_conflicts: BTreeSet::new(),
            snapshot,
        }
    }

    /// Registers a pool, and marks its drains as changed.
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
        self.changed_pools.insert(name.into());
    }

    /// Starts to request the updates that were missed while this process was suspended.
    pub fn start_catching_up(&mut self, now: Timestamp) {
        self.catch_up_until = now + CATCH_UP_TIMEOUT_US;
        self.gossip.restart_catch_up(now);
    }

    /// Returns whether requests must wait until the updates missed during a suspension arrive.
    pub fn is_catching_up(&self, now: Timestamp) -> bool {
        now < self.catch_up_until && !self.gossip.is_caught_up() && !self.peers.is_empty()
    }

    /// Handles a message from another process.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: Message,
        rng: &mut impl Rng,
        out: &mut ReplicationMessages,
    ) {
        if now.saturating_sub(self.last_message_at) >= TOMBSTONE_TTL_US {
            warn!("fleet: received no message from another process for a day; replacing the replicated state with that of the other processes");
            self.store.reset_after_isolation(self.last_message_at);
            self.gossip.restart_catch_up(now);
            self.changed_pools.extend(self.drains.keys().cloned());
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

    /// Broadcasts an entry that this process has written.
    pub fn disseminate(
        &mut self,
        now: Timestamp,
        delta: Delta,
        rng: &mut impl Rng,
        out: &mut ReplicationMessages,
    ) {
        self.gossip.broadcast(now, delta, &self.peers, rng, out);
    }

    /// Applies an entry that was received or written by this process.
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

    /// Performs the periodic work.
    pub fn tick(
        &mut self,
        now: Timestamp,
        now_ms: u64,
        rng: &mut impl Rng,
        out: &mut ReplicationMessages,
    ) {
        self.gossip.on_tick(now, &self.store, &self.peers, rng, out);
        if now >= self.next_expiry_at {
            self.next_expiry_at = now + EXPIRY_INTERVAL_US;
            self.remove_expired(now);
        }
        self.write_snapshot(now, now_ms, false);
    }

    fn remove_expired(&mut self, now: Timestamp) {
        expiry::remove_expired(&mut self.store, now);
        // Drains by expired reports of other processes end.
        let reported = self.drains.iter().flat_map(|(pool, drains)| {
            let members = drains.by_peers.keys();
            members.map(move |member| Key {
                kind: Kind::MEMBER_STATUS,
                name: target::target_name(pool, member),
            })
        });
        let reported: Vec<Key> = reported.collect();
        reported.iter().for_each(|key| self.update_drains(now, key));
        let needs_refresh = self
            .snapshot
            .as_ref()
            .is_some_and(|snapshot| snapshot.needs_refresh(now));
        if needs_refresh && !self.store.is_empty() {
            self.schedule_snapshot(now, MIN_SNAPSHOT_INTERVAL_US);
        }
    }

    /// Updates whether the member of an entry is drained.
    fn update_drains(&mut self, now: Timestamp, key: &Key) {
        let target = &key.name;
        if ![Kind::ORDER, Kind::MEMBER_STATUS].contains(&key.kind) {
            return;
        }
        let orders = orders::orders_in_force_for(&self.store, target);
        let is_drained = orders
            .first()
            .is_some_and(|entry| entry.order.desired_state == DesiredState::Drain);
        let report = member_status::status_from_peers(&self.store, now, target)
            .filter(|report| report.state > MemberState::Ready);
        for pool in self.pools_by_name.keys() {
            let Some(member) = target::member_of(target, pool) else {
                continue;
            };
            let drains = self.drains.entry(pool.clone()).or_default();
            let max_start_by_order = is_drained.then_some(f64::INFINITY);
            let max_start_by_report = report.map(|report| report.started_ms as f64);
            let mut has_changed = false;
            for (drained, max_start) in [
                (&mut drains.by_operators, max_start_by_order),
                (&mut drains.by_peers, max_start_by_report),
            ] {
                let before = match max_start {
                    Some(max_start) => drained.insert(member.into(), max_start),
                    None => drained.remove(member),
                };
                has_changed |= before != max_start;
            }
            if has_changed {
                self.changed_pools.insert(pool.clone());
            }
        }
    }

    /// Logs the order of a member that is in force, or a conflict of concurrent orders.
    fn log_orders(&mut self, target: &str) {
        let orders = orders::orders_in_force_for(&self.store, target);
        let text = |entry: &OrderEntry| {
            format!(
                "{} by {}",
                desired_state_text(entry.order.desired_state),
                entry.order.operator
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
                        "fleet: orders of {target} conflict: {} and {} were given concurrently; the more \
                         restrictive one applies until another is given",
                        text(one),
                        others.join(", ")
                    );
                }
            }
        }
    }

    /// Returns the drains that have changed since the last call.
    pub fn take_drain_changes(&mut self) -> Vec<DrainChange> {
        let changed_pools = std::mem::take(&mut self.changed_pools);
        let change = |pool: &String| DrainChange {
            pools: self.pools_by_name.get(pool).cloned().unwrap_or_default(),
            drains: self.drains.get(pool).cloned().unwrap_or_default(),
        };
        changed_pools.iter().map(change).collect()
    }

    /// Returns the most recently registered pool of each name that still exists.
    pub fn pools(&self) -> Vec<(String, Rc<dyn Pool>)> {
        let latest = |(name, pools): (&String, &Vec<Weak<dyn Pool>>)| {
            Some((name.clone(), pools.iter().rev().find_map(Weak::upgrade)?))
        };
        self.pools_by_name.iter().filter_map(latest).collect()
    }

    fn schedule_snapshot(&mut self, now: Timestamp, within: Micros) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.schedule(now, within);
        }
    }

    /// Writes a snapshot if one is due. `at_end` writes a scheduled one at once, for a process that
    /// ends.
    pub fn write_snapshot(&mut self, now: Timestamp, now_ms: u64, at_end: bool) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.write(&self.store, now, now_ms, at_end);
        }
    }
}

/// Returns a desired state as in an operator's command.
pub(crate) fn desired_state_text(desired_state: DesiredState) -> &'static str {
    match desired_state {
        DesiredState::Drain => "drain",
        DesiredState::Return => "return",
    }
}
