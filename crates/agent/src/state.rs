//! What one process knows of its fleet, and what it logs of it.

use crate::file_budgets::{FileBudgets, PerMember};
use crate::replica::Replica;
use crate::{clock, Place};
use dewrun_budgets::node::{Budget, BudgetNode, LeadershipChange, Lease};
use dewrun_budgets::{Micros, ProcessId};
use dewrun_config::Fleet as Config;
use dewrun_fleet::membership::{Membership, MembershipEvent, RejectedUpdates};
use dewrun_fleet::packet::OpenError;
use dewrun_fleet::process_id;
use rand_xoshiro::Xoshiro256PlusPlus;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tracing::{info, warn};

pub(crate) const SECOND: Micros = 1_000_000;
/// A fleet that shrank is believed to after this, so that one that is cut off does not act for all.
const SHRINKS_AFTER: Micros = 30 * SECOND;
/// The most budgets, those of members included.
const BUDGETS_MOST: usize = 20_000;
/// The most addresses that answers are sent to.
const ADDRESSES_MOST: usize = 10_000;

/// Packets that were not taken, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Rejected {
    no_packet: u64,
    hash: u64,
    form: u64,
}

impl Rejected {
    /// Counts one.
    pub fn count(&mut self, why: OpenError) {
        match why {
            OpenError::NotAPacket => self.no_packet += 1,
            OpenError::WrongHash => self.hash += 1,
            OpenError::Malformed => self.form += 1,
        }
    }

    /// Of all reasons.
    pub fn sum(&self) -> u64 {
        self.no_packet + self.hash + self.form
    }
}

/// The largest size of the fleet of late.
pub(crate) struct FleetSize {
    pub processes: usize,
    /// When it was last that.
    pub at: Micros,
}

/// What was said in the log.
#[derive(Default)]
pub(crate) struct Logged {
    at: Micros,
    refused: BTreeMap<String, u64>,
    rejected: Rejected,
    refused_members: RejectedUpdates,
    has_rival: bool,
}

impl Logged {
    /// Nothing, by a process that starts now.
    pub fn new(now: Micros) -> Logged {
        Logged {
            at: now,
            ..Logged::default()
        }
    }
}

pub(crate) struct State {
    pub node: BudgetNode,
    pub budgets: FileBudgets,
    /// What all processes hold alike.
    pub replica: Replica,
    /// When another process was last told what was learned here.
    pub learned_told_at: Micros,
    /// The members of each pool.
    pub pool_members: BTreeMap<String, BTreeSet<String>>,
    pub members: Membership,
    pub config: Config,
    pub addresses: FxHashMap<ProcessId, SocketAddr>,
    pub rng: Xoshiro256PlusPlus,
    pub rejected: Rejected,
    pub logged: Logged,
    pub size: FleetSize,
    /// When it was last looked what is due.
    pub ticked_at: Micros,
}

impl State {
    /// Sets the budgets of the file, with one for each member where they have wholes of their own.
    pub fn set_budgets(&mut self) {
        let mut all = self.budgets.whole.clone();
        for PerMember { pool, budget } in self.budgets.per_member.values() {
            let members = self.pool_members.get(pool).into_iter().flatten();
            all.extend(members.map(|member| Budget {
                member: member.clone(),
                ..budget.clone()
            }));
        }
        if all.len() > BUDGETS_MOST {
            // Nothing is sent to a member whose whole is not known here.
            warn!(
                "fleet: {} budgets are too many; those beyond {BUDGETS_MOST} allow nothing",
                all.len()
            );
            all.truncate(BUDGETS_MOST);
        }
        let voters: Vec<ProcessId> = self
            .config
            .members
            .iter()
            .copied()
            .map(process_id)
            .collect();
        self.node.set_budgets(clock::now(), all, &voters);
    }

    /// Which of how many processes this is, by who is there.
    pub fn place(&mut self, now: Micros) -> Place {
        let processes = self.members.fleet_size();
        if processes >= self.size.processes || now >= self.size.at + SHRINKS_AFTER {
            self.size = FleetSize { processes, at: now };
        }
        Place {
            rank: self.members.rank() as u32,
            processes: self.size.processes.max(1) as u32,
        }
    }

    /// Where packets for a member go: to its address, or to the one that the file has for it.
    pub fn route(&self, address: SocketAddr) -> SocketAddr {
        self.config.via.get(&address).copied().unwrap_or(address)
    }

    /// Remembers where a process is reached.
    pub fn learn_address(&mut self, address: SocketAddr) {
        if self.addresses.len() < ADDRESSES_MOST {
            self.addresses.insert(process_id(address), address);
        }
    }

    /// This process did nothing for a while: it was stopped, or starved.
    pub fn woke_up(&mut self, now: Micros) {
        warn!(
            "fleet: this process did nothing for {:.1} s; leases that ended meanwhile are over, and what it missed is asked for",
            now.saturating_sub(self.ticked_at) as f64 / 1e6
        );
        self.replica.was_away(now);
    }

    /// Acts on news of members.
    pub fn apply_news(&mut self, news: Vec<MembershipEvent>) {
        if !news.is_empty() {
            let me = self.config.address;
            let up = self.members.iter_up().map(|member| member.address);
            self.replica.peers = up.filter(|address| *address != me).collect();
        }
        for news in news {
            match news {
                MembershipEvent::Up(member) => {
                    info!("fleet: {} at {} is up", member.name, member.address)
                }
                MembershipEvent::Down(member) => {
                    info!(
                        "fleet: {} at {} has left or is taken for dead",
                        member.name, member.address
                    );
                    self.node.mark_lost(member.incarnation);
                }
            }
        }
    }

    /// Logs what has changed, and once a second at most what was refused.
    pub fn log_changes(&mut self, now: Micros) {
        match self.node.take_leadership_change(now) {
            Some(LeadershipChange::Began(epoch)) => info!(
                "fleet: this process divides the budgets, in term {}",
                epoch.number
            ),
            Some(LeadershipChange::Ended) => {
                info!("fleet: this process no longer divides the budgets")
            }
            None => {}
        }
        if now < self.logged.at + SECOND {
            return;
        }
        self.logged.at = now;
        self.look_for_rival(now);
        self.log_rejected();
        self.log_refused_members();
        self.log_refused();
    }

    /// Stops spending while a later process has this one's name, and goes on when it is gone.
    fn look_for_rival(&mut self, now: Micros) {
        let rival = self.members.name_conflict().map(|m| m.address);
        if rival.is_some() == self.logged.has_rival {
            return;
        }
        self.logged.has_rival = rival.is_some();
        self.node.set_suspended(now, rival.is_some());
        let name = &self.members.me().name;
        match rival {
            Some(at) => warn!(
                "fleet: {at} started later under this process's name {name}; no budget is spent here until it is gone"
            ),
            None => info!("fleet: the name {name} is this process's own again"),
        }
    }

    fn log_refused_members(&mut self) {
        let refused = self.members.rejected_updates();
        if refused != self.logged.refused_members {
            let RejectedUpdates {
                unreachable_address: address,
                name_limit: name,
                start_in_future: future,
                table_full: room,
            } = refused;
            warn!("fleet: claims about members not taken so far: {address} at addresses that can't be reached, {name} of names that too many have or that are too long, {future} from the far future, {room} for want of room");
            self.logged.refused_members = refused;
        }
    }

    fn log_rejected(&mut self) {
        if self.rejected != self.logged.rejected {
            let Rejected {
                no_packet,
                hash,
                form,
            } = self.rejected;
            warn!("fleet: packets not taken so far: {no_packet} no packets, {hash} of another fleet or secret, {form} of another version");
            self.logged.rejected = self.rejected;
        }
    }

    fn log_refused(&mut self) {
        let mut refused: BTreeMap<String, u64> = BTreeMap::new();
        for (budget, n) in self.node.refusals() {
            *refused.entry(budget.name.clone()).or_default() += n;
        }
        for (name, n) in &refused {
            let before = self.logged.refused.get(name).copied().unwrap_or_default();
            if *n > before {
                warn!(
                    "budget {name}: refused {} beyond this process's share",
                    n - before
                );
            }
        }
        self.logged.refused = refused;
    }

    /// Traces the shares that were told, so that it can be audited what all processes held at any
    /// time.
    pub fn trace_leases(&mut self, now: Micros) {
        for Lease {
            budget,
            share,
            expires_at: until,
        } in self.node.take_changed_leases()
        {
            let (name, member) = (&budget.name, &budget.member);
            tracing::debug!(
                target: dewrun_logging::TRACE,
                event = "lease",
                budget = name,
                member,
                at = now,
                until,
                units = share.units,
                burst = share.burst
            );
        }
    }
}
