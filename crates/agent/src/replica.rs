//! The replicated state as this process acts on it: orders of operators and news of members, by
//! pool. Which of two entries counts is `dewrun-replication`'s to decide, and what a held member means
//! is each pool's.

use crate::pool::{Drains, Pool};
use crate::snapshot_file::{SnapshotFile, SNAPSHOT_SOON};
use dewrun_budgets::Micros;
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

const MS: Micros = 1_000;
/// How often ended entries are forgotten.
const FORGET: Micros = 5_000 * MS;
/// From one snapshot to the next where no order has changed.
const SNAPSHOT_LATER: Micros = 5_000 * MS;
/// How long one that slept, or was stopped, asks before it sends on.
const AWAKE: Micros = 250 * MS;

/// Messages of the replicated state that are to be sent, each with who gets it.
pub(crate) type ReplicaPackets = Vec<Envelope<SocketAddr>>;

/// What the replicated state starts with.
pub(crate) struct ReplicaStart<'a> {
    pub now: Micros,
    pub now_ms: u64,
    /// This life of the process.
    pub incarnation: u64,
    pub me: SocketAddr,
    /// Where snapshots are kept, if they are.
    pub folder: Option<PathBuf>,
    /// The fleet's name.
    pub fleet: &'a str,
    /// This process's name.
    pub name: &'a str,
}

/// What the pools are to be told.
pub(crate) struct HoldChange {
    pub pools: Vec<Weak<dyn Pool>>,
    pub holds: Drains,
}

/// See the module's text.
pub(crate) struct Replica {
    pub store: Store,
    pub gossip: Gossip<SocketAddr>,
    /// The other processes that are up.
    pub peers: Vec<SocketAddr>,
    followers: BTreeMap<String, Vec<Weak<dyn Pool>>>,
    holds: BTreeMap<String, Drains>,
    changed: BTreeSet<String>,
    /// Until when requests wait for news that was missed.
    away_until: Micros,
    forget_at: Micros,
    /// When another process was last heard.
    heard: Micros,
    /// Targets whose orders differ, as was logged.
    differ: BTreeSet<String>,
    snapshot: Option<SnapshotFile>,
}

impl Replica {
    /// One that starts, from its snapshot if there is a sound one.
    pub fn start(start: ReplicaStart) -> Replica {
        let ReplicaStart {
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
        Replica {
            store,
            gossip: Gossip::new(now, me),
            peers: Vec::new(),
            followers: BTreeMap::new(),
            holds: BTreeMap::new(),
            changed: BTreeSet::new(),
            away_until: now,
            forget_at: now + FORGET,
            heard: now,
            differ: BTreeSet::new(),
            snapshot,
        }
    }

    /// A pool asks to be told.
    pub fn follow(&mut self, now: Micros, name: &str, pool: Weak<dyn Pool>) {
        let pools = self.followers.entry(name.into()).or_default();
        pools.retain(|pool| pool.strong_count() > 0);
        pools.push(pool);
        let keys: BTreeSet<Key> = [Kind::ORDER, Kind::MEMBER_STATUS]
            .iter()
            .flat_map(|kind| self.store.entries_of_kind(*kind))
            .map(|stored| stored.key.clone())
            .collect();
        keys.iter().for_each(|key| self.update_holds(now, key));
        self.changed.insert(name.into());
    }

    /// This process did nothing for a while: what it holds may be old.
    pub fn was_away(&mut self, now: Micros) {
        self.away_until = now + AWAKE;
        self.gossip.restart_catch_up(now);
    }

    /// Whether nothing is to be sent yet, as what was missed is being asked for.
    pub fn is_catching_up(&self, now: Micros) -> bool {
        now < self.away_until && !self.gossip.is_caught_up() && !self.peers.is_empty()
    }

    /// Takes a message in.
    pub fn take(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: Message,
        rng: &mut impl Rng,
        out: &mut ReplicaPackets,
    ) {
        if now.saturating_sub(self.heard) >= TOMBSTONE_TTL_US {
            warn!("fleet: nobody was heard for a day: what is held is replaced by what the others hold");
            self.store.reset_after_isolation(self.heard);
            self.gossip.restart_catch_up(now);
            self.changed.extend(self.holds.keys().cloned());
            self.holds.clear();
        }
        self.heard = now;
        let Replica {
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
            self.entered(now, &entry.key);
        }
    }

    /// Tells the others an entry that was written here.
    pub fn tell(
        &mut self,
        now: Micros,
        delta: Delta,
        rng: &mut impl Rng,
        out: &mut ReplicaPackets,
    ) {
        self.gossip.broadcast(now, delta, &self.peers, rng, out);
    }

    /// An entry has come, or was written here.
    pub fn entered(&mut self, now: Micros, key: &Key) {
        self.update_holds(now, key);
        let is_order = key.kind == Kind::ORDER;
        if is_order {
            self.log_orders(&key.name);
        }
        self.snapshot_due(
            now,
            if is_order {
                SNAPSHOT_SOON
            } else {
                SNAPSHOT_LATER
            },
        );
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, now_ms: u64, rng: &mut impl Rng, out: &mut ReplicaPackets) {
        self.gossip.on_tick(now, &self.store, &self.peers, rng, out);
        if now >= self.forget_at {
            self.forget_at = now + FORGET;
            self.forget_ended(now);
        }
        self.write_snapshot(now, now_ms, false);
    }

    fn forget_ended(&mut self, now: Micros) {
        expiry::forget_expired(&mut self.store, now);
        // The word of others counts for a while only.
        let held = self.holds.iter().flat_map(|(pool, holds)| {
            let members = holds.by_peers.keys();
            members.map(move |member| Key {
                kind: Kind::MEMBER_STATUS,
                name: target::target_name(pool, member),
            })
        });
        let held: Vec<Key> = held.collect();
        held.iter().for_each(|key| self.update_holds(now, key));
        let is_old = self
            .snapshot
            .as_ref()
            .is_some_and(|snapshot| snapshot.is_old(now));
        if is_old && !self.store.is_empty() {
            self.snapshot_due(now, SNAPSHOT_SOON);
        }
    }

    /// Looks again what holds a member.
    fn update_holds(&mut self, now: Micros, key: &Key) {
        let target = &key.name;
        if ![Kind::ORDER, Kind::MEMBER_STATUS].contains(&key.kind) {
            return;
        }
        let orders = orders::orders_in_force_for(&self.store, target);
        let drained = orders
            .first()
            .is_some_and(|given| given.order.desired_state == DesiredState::Drain);
        let news = member_status::status_from_peers(&self.store, now, target)
            .filter(|news| news.state > MemberState::Ready);
        for pool in self.followers.keys() {
            let Some(member) = target::member_of(target, pool) else {
                continue;
            };
            let holds = self.holds.entry(pool.clone()).or_default();
            let ordered_until = drained.then_some(f64::INFINITY);
            let news_until = news.map(|news| news.started_ms as f64);
            let mut changed = false;
            for (held, until) in [
                (&mut holds.by_operators, ordered_until),
                (&mut holds.by_peers, news_until),
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

    /// Logs which order of a target holds, where two were given without knowledge of each other.
    fn log_orders(&mut self, target: &str) {
        let orders = orders::orders_in_force_for(&self.store, target);
        let text = |given: &OrderEntry| {
            format!(
                "{} by {}",
                wish_text(given.order.desired_state),
                given.order.operator
            )
        };
        match &orders[..] {
            [] => {}
            [one] => {
                self.differ.remove(target);
                info!("fleet: {target}: {} holds", text(one));
            }
            [one, others @ ..] => {
                let others: Vec<String> = others.iter().map(text).collect();
                if self.differ.insert(target.into()) {
                    warn!(
                        "fleet: orders of {target} differ: {} and {} were given without knowledge of each other; the more \
                         careful holds until another is given",
                        text(one),
                        others.join(", ")
                    );
                }
            }
        }
    }

    /// What has changed since this was last asked, by the pools that follow.
    pub fn hold_changes(&mut self) -> Vec<HoldChange> {
        let changed = std::mem::take(&mut self.changed);
        let of = |pool: &String| HoldChange {
            pools: self.followers.get(pool).cloned().unwrap_or_default(),
            holds: self.holds.get(pool).cloned().unwrap_or_default(),
        };
        changed.iter().map(of).collect()
    }

    /// The pools that follow, by name, each the one in force.
    pub fn pools(&self) -> Vec<(String, Rc<dyn Pool>)> {
        let live = |(name, pools): (&String, &Vec<Weak<dyn Pool>>)| {
            Some((name.clone(), pools.iter().rev().find_map(Weak::upgrade)?))
        };
        self.followers.iter().filter_map(live).collect()
    }

    fn snapshot_due(&mut self, now: Micros, within: Micros) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.due(now, within);
        }
    }

    /// Writes a snapshot if one is due.
    pub fn write_snapshot(&mut self, now: Micros, now_ms: u64, at_end: bool) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.write(&self.store, now, now_ms, at_end);
        }
    }
}

/// For people.
pub(crate) fn wish_text(wish: DesiredState) -> &'static str {
    match wish {
        DesiredState::Drain => "drain",
        DesiredState::Return => "return",
    }
}
