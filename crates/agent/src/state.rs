//! The state of an agent, and the log lines on its changes.

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
/// The delay before a decrease of the fleet's size takes effect, in microseconds, so that a
/// partitioned process does not act as if it were alone.
const SHRINK_DELAY_US: Micros = 30 * SECOND_US;
/// Maximum number of budgets, including those of members.
const MAX_BUDGETS: usize = 20_000;
/// Maximum number of processes whose addresses are stored.
const MAX_ADDRESSES: usize = 10_000;

/// Counters of rejected packets by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PacketCounters {
    malformed: u64,
    other_fleet: u64,
    other_version: u64,
    invalid: u64,
    /// The fault of the last invalid packet.
    last_invalid: Option<InvalidContent>,
}

impl PacketCounters {
    /// Counts a rejected packet.
    pub fn count(&mut self, error: OpenError) {
        match error {
            OpenError::NotAPacket => self.malformed += 1,
            OpenError::WrongHash => self.other_fleet += 1,
            OpenError::OtherVersion => self.other_version += 1,
            OpenError::Invalid(content) => {
                self.invalid += 1;
                self.last_invalid = Some(content);
            }
        }
    }

    /// Returns the sum over all reasons.
    pub fn total(&self) -> u64 {
        self.malformed + self.other_fleet + self.other_version + self.invalid
    }
}

/// The largest recent size of the fleet, see [`SHRINK_DELAY_US`].
pub(crate) struct FleetSize {
    pub processes: usize,
    /// The last time at which the fleet had this size.
    pub at: Timestamp,
}

/// The values that were logged last, so that only changes are logged.
#[derive(Default)]
pub(crate) struct LogState {
    logged_at: Timestamp,
    rejected_requests: BTreeMap<String, u64>,
    packet_counters: PacketCounters,
    rejected_updates: RejectedUpdates,
    has_name_conflict: bool,
}

impl LogState {
    /// Creates the state of a process that has logged nothing.
    pub fn new(now: Timestamp) -> LogState {
        LogState {
            logged_at: now,
            ..LogState::default()
        }
    }
}

/// The state of an agent: membership, budgets, replicated state and logged values.
pub(crate) struct AgentState {
    pub node: BudgetNode,
    pub budgets: FileBudgets,
    /// Orders and member status, which are replicated to all processes.
    pub replication: Replication,
    /// The time at which learned state was last sent to another process.
    pub learned_state_sent_at: Timestamp,
    /// The members by pool.
    pub pool_members: BTreeMap<String, BTreeSet<String>>,
    pub membership: Membership,
    pub config: Config,
    pub addresses: FxHashMap<ProcessId, SocketAddr>,
    pub rng: Xoshiro256PlusPlus,
    pub packet_counters: PacketCounters,
    pub log_state: LogState,
    /// The largest recent size of the fleet.
    pub recent_size: FleetSize,
    /// The time of the last periodic work.
    pub ticked_at: Timestamp,
}

impl AgentState {
    /// Sets the budgets of the file. A budget with a separate total for each member becomes one
    /// budget per member.
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
            // Attempts at a member whose budget is unknown to this process are denied.
            warn!(
                "fleet: {} budgets exceed the limit of {MAX_BUDGETS}; the excess budgets admit no requests",
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

    /// Returns the position of this process among those that are up.
    pub fn position(&mut self, now: Timestamp) -> FleetPosition {
        let processes = self.membership.fleet_size();
        if processes >= self.recent_size.processes || now >= self.recent_size.at + SHRINK_DELAY_US {
            self.recent_size = FleetSize { processes, at: now };
        }
        FleetPosition {
            rank: self.membership.rank() as u32,
            processes: self.recent_size.processes.max(1) as u32,
        }
    }

    /// Returns the address to which packets for a member are sent: its own, or the one that `via`
    /// in the file maps it to.
    pub fn route(&self, address: SocketAddr) -> SocketAddr {
        self.config.via.get(&address).copied().unwrap_or(address)
    }

    /// Stores the address of a process.
    pub fn learn_address(&mut self, address: SocketAddr) {
        if self.addresses.len() < MAX_ADDRESSES {
            self.addresses.insert(process_id(address), address);
        }
    }

    /// Handles a pause in which this process did not run, because it was suspended or got no
    /// processor time.
    pub fn handle_pause(&mut self, now: Timestamp) {
        warn!(
            "fleet: this process did not run for {:.1} s; leases that expired meanwhile are not spent, and missed updates are requested",
            now.saturating_sub(self.ticked_at) as f64 / 1e6
        );
        self.replication.start_catching_up(now);
    }

    /// Handles members that have come up or gone down.
    pub fn apply_membership_events(&mut self, events: Vec<MembershipEvent>) {
        if !events.is_empty() {
            let me = self.config.address;
            let up = self
                .membership
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
                        "fleet: {} at {} is down: it has left or was declared dead",
                        member.name, member.address
                    );
                    self.node.mark_lost(member.incarnation);
                }
            }
        }
    }

    /// Logs the start and the end of this process's leadership.
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

    /// Suspends or resumes spending on a change of the name conflict, and logs rejections. Does
    /// nothing if less than a second has passed since the last run.
    pub fn run_every_second(&mut self, now: Timestamp) {
        if now < self.log_state.logged_at + SECOND_US {
            return;
        }
        self.log_state.logged_at = now;
        self.update_suspension(now);
        self.log_rejected_packets();
        self.log_rejected_updates();
        self.log_rejected_requests();
    }

    /// Suspends spending while another process with the same name has started later.
    fn update_suspension(&mut self, now: Timestamp) {
        let conflicting_address = self.membership.name_conflict().map(|member| member.address);
        if conflicting_address.is_some() == self.log_state.has_name_conflict {
            return;
        }
        self.log_state.has_name_conflict = conflicting_address.is_some();
        self.node.set_suspended(now, conflicting_address.is_some());
        let name = &self.membership.local_member().name;
        match conflicting_address {
            Some(at) => warn!(
                "fleet: the process at {at} has the same name {name} and started later; this process spends no budget until the other is gone"
            ),
            None => info!("fleet: no other process has the name {name} any more; this process spends budgets again"),
        }
    }

    fn log_rejected_updates(&mut self) {
        let rejected = self.membership.rejected_updates();
        if rejected != self.log_state.rejected_updates {
            let RejectedUpdates {
                unreachable_address,
                name_limit,
                start_in_future,
                table_full,
            } = rejected;
            warn!("fleet: updates about members rejected so far: {unreachable_address} with unreachable addresses, {name_limit} with names that are too long or used by too many processes, {start_in_future} with start times too far in the future, {table_full} because the member table is full");
            self.log_state.rejected_updates = rejected;
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
        let mut rejected: BTreeMap<String, u64> = BTreeMap::new();
        for (budget, count) in self.node.rejection_counts() {
            *rejected.entry(budget.name.clone()).or_default() += count;
        }
        for (name, count) in &rejected {
            let before = self
                .log_state
                .rejected_requests
                .get(name)
                .copied()
                .unwrap_or_default();
            if *count > before {
                warn!(
                    "budget {name}: rejected {} requests beyond this process's share",
                    count - before
                );
            }
        }
        self.log_state.rejected_requests = rejected;
    }

    /// Traces changed leases, so that an audit can determine the shares of all processes at any
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
