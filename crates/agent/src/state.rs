//! The state of one process's agent, and its log lines on changes of it.

use crate::file_budgets::{FileBudgets, PerMember};
use crate::replication::Replication;
use crate::{clock, FleetPosition};
use dewrun_budgets::node::{Budget, BudgetNode, LeadershipChange, Lease};
use dewrun_budgets::{Micros, ProcessId, Timestamp};
use dewrun_config::Fleet as Config;
use dewrun_fleet::membership::{Membership, MembershipEvent, RejectedUpdates};
use dewrun_fleet::packet::{InvalidContent, OpenError};
use dewrun_fleet::process_id;
use rand_xoshiro::Xoshiro256PlusPlus;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tracing::{info, warn};

pub(crate) const SECOND_US: Micros = 1_000_000;
/// A smaller size of the fleet counts after this time, in microseconds, so that a process that is
/// cut off does not act as if it were alone.
const SHRINK_DELAY_US: Micros = 30 * SECOND_US;
/// Upper bound of the budgets, those of members included.
const MAX_BUDGETS: usize = 20_000;
/// Upper bound of the addresses that answers are sent to.
const MAX_ADDRESSES: usize = 10_000;

/// Packets that were rejected, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PacketCounters {
    malformed: u64,
    other_fleet: u64,
    other_version: u64,
    invalid: u64,
    /// What was wrong with the last invalid packet.
    last_invalid: Option<InvalidContent>,
}

impl PacketCounters {
    /// Counts a rejected packet.
    pub fn count(&mut self, why: OpenError) {
        match why {
            OpenError::NotAPacket => self.malformed += 1,
            OpenError::WrongHash => self.other_fleet += 1,
            OpenError::OtherVersion => self.other_version += 1,
            OpenError::Invalid(why) => {
                self.invalid += 1;
                self.last_invalid = Some(why);
            }
        }
    }

    /// The sum over all reasons.
    pub fn total(&self) -> u64 {
        self.malformed + self.other_fleet + self.other_version + self.invalid
    }
}

/// The largest size of the fleet of late.
pub(crate) struct FleetSize {
    pub processes: usize,
    /// When it was last that.
    pub at: Timestamp,
}

/// What was logged last, so that only changes are logged.
#[derive(Default)]
pub(crate) struct LogState {
    at: Timestamp,
    refused: BTreeMap<String, u64>,
    packet_counters: PacketCounters,
    refused_members: RejectedUpdates,
    has_rival: bool,
}

impl LogState {
    /// The state of a process that starts now and has logged nothing.
    pub fn new(now: Timestamp) -> LogState {
        LogState {
            at: now,
            ..LogState::default()
        }
    }
}

/// All that an agent knows: membership, budgets, replicated state, and what was logged of them.
pub(crate) struct AgentState {
    pub node: BudgetNode,
    pub budgets: FileBudgets,
    /// Orders and member status, which all processes hold alike.
    pub replication: Replication,
    /// When learned state was last sent to another process.
    pub learned_state_sent_at: Timestamp,
    /// The members of each pool.
    pub pool_members: BTreeMap<String, BTreeSet<String>>,
    pub members: Membership,
    pub config: Config,
    pub addresses: FxHashMap<ProcessId, SocketAddr>,
    pub rng: Xoshiro256PlusPlus,
    pub packet_counters: PacketCounters,
    pub log_state: LogState,
    /// The largest size of the fleet of late.
    pub recent_size: FleetSize,
    /// When [`Agent`](crate::Agent) last ran what is due.
    pub ticked_at: Timestamp,
}

impl AgentState {
    /// Sets the budgets of the file, with one for each member where they have wholes of their own.
    pub fn set_budgets(&mut self) {
        let mut all = self.budgets.fleet_wide.clone();
        for PerMember { pool, budget } in self.budgets.per_member.values() {
            let members = self.pool_members.get(pool).into_iter().flatten();
            all.extend(members.map(|member| Budget {
                member: member.clone(),
                ..budget.clone()
            }));
        }
        if all.len() > MAX_BUDGETS {
            // Nothing is sent to a member whose whole is not known here.
            warn!(
                "fleet: {} budgets are too many; those beyond {MAX_BUDGETS} admit nothing",
                all.len()
            );
            all.truncate(MAX_BUDGETS);
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

    /// The position of this process among those that are up.
    pub fn position(&mut self, now: Timestamp) -> FleetPosition {
        let processes = self.members.fleet_size();
        if processes >= self.recent_size.processes || now >= self.recent_size.at + SHRINK_DELAY_US {
            self.recent_size = FleetSize { processes, at: now };
        }
        FleetPosition {
            rank: self.members.rank() as u32,
            processes: self.recent_size.processes.max(1) as u32,
        }
    }

    /// Where packets for a member go: to its address, or to the one that the file has for it.
    pub fn route(&self, address: SocketAddr) -> SocketAddr {
        self.config.via.get(&address).copied().unwrap_or(address)
    }

    /// Remembers where a process is reached.
    pub fn learn_address(&mut self, address: SocketAddr) {
        if self.addresses.len() < MAX_ADDRESSES {
            self.addresses.insert(process_id(address), address);
        }
    }

    /// Reacts to a time in which this process did not run: it was suspended, or starved of processor
    /// time.
    pub fn handle_wake_up(&mut self, now: Timestamp) {
        warn!(
            "fleet: this process did not run for {:.1} s; leases that ended meanwhile are not spent, and missed updates are requested",
            now.saturating_sub(self.ticked_at) as f64 / 1e6
        );
        self.replication.start_catching_up(now);
    }

    /// Acts on members that have come up or gone down.
    pub fn apply_membership_events(&mut self, events: Vec<MembershipEvent>) {
        if !events.is_empty() {
            let me = self.config.address;
            let up = self
                .members
                .iter_live_members()
                .map(|member| member.address);
            self.replication.peers = up.filter(|address| *address != me).collect();
        }
        for event in events {
            match event {
                MembershipEvent::Up(member) => {
                    info!("fleet: {} at {} is up", member.name, member.address)
                }
                MembershipEvent::Down(member) => {
                    info!(
                        "fleet: {} at {} is down: it has left or is declared dead",
                        member.name, member.address
                    );
                    self.node.mark_lost(member.incarnation);
                }
            }
        }
    }

    /// Logs the begin and the end of this process's leadership.
    pub fn log_leadership(&mut self, now: Timestamp) {
        match self.node.take_leadership_change(now) {
            Some(LeadershipChange::Began(epoch)) => info!(
                "fleet: this process is now the grantor of the budgets, in term {}",
                epoch.number
            ),
            Some(LeadershipChange::Ended) => {
                info!("fleet: this process is no longer the grantor of the budgets")
            }
            None => {}
        }
    }

    /// Once a second: suspends or resumes spending by who has this process's name, and logs what
    /// was rejected.
    pub fn run_every_second(&mut self, now: Timestamp) {
        if now < self.log_state.at + SECOND_US {
            return;
        }
        self.log_state.at = now;
        self.update_suspension(now);
        self.log_rejected_packets();
        self.log_rejected_updates();
        self.log_rejected_requests();
    }

    /// Suspends spending while a process that started later has this one's name.
    fn update_suspension(&mut self, now: Timestamp) {
        let rival = self.members.name_conflict().map(|m| m.address);
        if rival.is_some() == self.log_state.has_rival {
            return;
        }
        self.log_state.has_rival = rival.is_some();
        self.node.set_suspended(now, rival.is_some());
        let name = &self.members.local_member().name;
        match rival {
            Some(at) => warn!(
                "fleet: the process at {at} started later with this process's name {name}; no budget is spent here until it is gone"
            ),
            None => info!("fleet: no other process has the name {name} any more; budgets are spent here again"),
        }
    }

    fn log_rejected_updates(&mut self) {
        let refused = self.members.rejected_updates();
        if refused != self.log_state.refused_members {
            let RejectedUpdates {
                unreachable_address: address,
                name_limit: name,
                start_in_future: future,
                table_full: room,
            } = refused;
            warn!("fleet: updates about members rejected so far: {address} with addresses that cannot be reached, {name} with names that are too long or that too many have, {future} from the far future, {room} for lack of space");
            self.log_state.refused_members = refused;
        }
    }

    fn log_rejected_packets(&mut self) {
        if self.packet_counters != self.log_state.packet_counters {
            let PacketCounters {
                malformed,
                other_fleet,
                other_version,
                invalid,
                last_invalid,
            } = self.packet_counters;
            let last_invalid = last_invalid.map(tracing::field::display);
            warn!(last_invalid, "fleet: packets rejected so far: {malformed} malformed, {other_fleet} of another fleet or secret, {other_version} of another version, {invalid} invalid");
            self.log_state.packet_counters = self.packet_counters;
        }
    }

    fn log_rejected_requests(&mut self) {
        let mut refused: BTreeMap<String, u64> = BTreeMap::new();
        for (budget, n) in self.node.rejection_counts() {
            *refused.entry(budget.name.clone()).or_default() += n;
        }
        for (name, n) in &refused {
            let before = self
                .log_state
                .refused
                .get(name)
                .copied()
                .unwrap_or_default();
            if *n > before {
                warn!(
                    "budget {name}: rejected {} beyond this process's share",
                    n - before
                );
            }
        }
        self.log_state.refused = refused;
    }

    /// Traces the leases that have changed, so that an audit can tell what all processes held at any
    /// time.
    pub fn trace_changed_leases(&mut self, now: Timestamp) {
        for Lease {
            budget,
            share,
            expires_at: until,
        } in self.node.take_changed_leases()
        {
            let (name, member) = (&budget.name, &budget.member);
            tracing::debug!(
                target: dewrun_logging::REQUEST_TRACE_TARGET,
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
