//! The budgets of one process: admission of requests, and the schedule of lease requests and
//! campaigns. The module has no clock, randomness or network of its own: the owner passes in the
//! time and a random generator, transports the messages, and calls [`BudgetNode::tick`] every few
//! milliseconds.

mod account;
mod budget;
mod demand;
mod report;
mod schedule;

pub use budget::{Budget, Limit};
pub use report::{BudgetReport, GrantedReport, LeadershipChange, Lease};

use crate::message::{Envelope, Message};
use crate::participant::Participant;
use crate::{BudgetKey, Epoch, Incarnation, LeaseSettings, Micros, ProcessId, Share, Timestamp};
use account::{Account, HeldLease};
use rustc_hash::FxHashMap;
use schedule::lease_request_target;

/// The encoded weight of a request with priority weight 1.
pub const UNIT_WEIGHT: u32 = 16;

/// The budgets of one process.
pub struct BudgetNode {
    participant: Participant,
    settings: LeaseSettings,
    accounts: Vec<Account>,
    /// The index of each account in `accounts`.
    by_key: FxHashMap<BudgetKey, usize>,
    next_campaign_at: Timestamp,
    /// Selects, modulo the number of voters, the voter that receives lease requests while no
    /// grantor is known.
    next_voter: usize,
    /// Set while another process has this process's name, and after this process has left the
    /// fleet.
    is_suspended: bool,
    /// The term in which this process was the grantor at the last leadership report.
    reported_epoch: Option<Epoch>,
    /// Wall-clock time of the start in milliseconds, so that term numbers increase across restarts.
    started_wall_ms: u64,
    /// The indices of accounts whose leases have changed since the last report of changed leases.
    changed_leases: Vec<usize>,
}

/// The error for a request that exceeds a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("budget {budget_index} is exhausted, retry after {retry_after} us")]
pub struct BudgetExceeded {
    /// The index of the exhausted budget; if several are exhausted, of the one with the longest
    /// wait.
    pub budget_index: usize,
    /// The time until the budget may admit a request, in microseconds.
    pub retry_after: Micros,
    /// Whether this budget, or an exhausted budget checked before it, is a rate.
    pub is_rate: bool,
}

impl BudgetNode {
    /// Creates the node of a process that starts now. `started_wall_ms` is the wall-clock time in
    /// milliseconds.
    pub fn new(
        now: Timestamp,
        id: ProcessId,
        incarnation: Incarnation,
        voters: &[ProcessId],
        started_wall_ms: u64,
        settings: LeaseSettings,
    ) -> BudgetNode {
        BudgetNode {
            participant: Participant::new(now, id, incarnation, voters, &settings),
            settings,
            accounts: Vec::new(),
            by_key: FxHashMap::default(),
            next_campaign_at: now,
            next_voter: id.0 as usize,
            is_suspended: false,
            reported_epoch: None,
            started_wall_ms,
            changed_leases: Vec::new(),
        }
    }

    /// Sets the budgets and the voters. A budget whose key already exists keeps its share and its
    /// counts. A removed budget is kept while requests are in flight under it, because it may be
    /// added again.
    pub fn set_budgets(&mut self, now: Timestamp, budgets: Vec<Budget>, voters: &[ProcessId]) {
        self.participant.set_voters(now, voters, &self.settings);
        let accounts = std::mem::take(&mut self.accounts);
        let mut previous: FxHashMap<BudgetKey, Account> = accounts
            .into_iter()
            .map(|account| (account.key, account))
            .collect();
        for budget in budgets {
            let key = budget.own_key();
            let mut account = previous
                .remove(&key)
                .unwrap_or_else(|| Account::new(now, key, budget.clone()));
            account.redefine(now, budget);
            self.accounts.push(account);
        }
        let mut removed: Vec<Account> = previous
            .into_values()
            .filter(Account::has_in_flight)
            .collect();
        removed.sort_by_key(|account| account.key);
        self.accounts.extend(removed);
        self.reindex_accounts();
        self.update_all_leases(now);
    }

    fn reindex_accounts(&mut self) {
        self.changed_leases.clear();
        let keys = self.accounts.iter().map(|account| account.key);
        self.by_key = keys.enumerate().map(|(index, key)| (key, index)).collect();
        let by_key = &self.by_key;
        self.participant
            .retain_budgets(|key| by_key.contains_key(&key));
    }

    /// Suspends or resumes the process. A suspended process has neither shares nor floors, sends no
    /// lease requests, grants no leases and ignores all messages except vote responses.
    pub fn set_suspended(&mut self, now: Timestamp, is_suspended: bool) {
        self.is_suspended = is_suspended;
        self.update_all_leases(now);
        self.changed_leases.extend(0..self.accounts.len());
    }

    /// Returns whether the process is suspended; see [`BudgetNode::set_suspended`].
    pub fn is_suspended(&self) -> bool {
        self.is_suspended
    }

    /// Returns whether a budget with this key exists.
    pub fn has_budget(&self, key: BudgetKey) -> bool {
        self.by_key.contains_key(&key)
    }

    /// Admits a request if each of the budgets allows it, and charges it to all of them; unknown
    /// keys are ignored. The caller must [release](BudgetNode::release) an admitted request when it
    /// ends. `weight` is the request's priority weight in units of 1/[`UNIT_WEIGHT`].
    ///
    /// # Errors
    ///
    /// Returns [`BudgetExceeded`] if a budget is exhausted; no budget is charged in that case.
    #[inline]
    pub fn spend(
        &mut self,
        now: Timestamp,
        keys: &[BudgetKey],
        weight: u32,
    ) -> Result<(), BudgetExceeded> {
        let mut exceeded: Option<BudgetExceeded> = None;
        for key in keys {
            let Some(index) = self.by_key.get(key).copied() else {
                continue;
            };
            let account = &mut self.accounts[index];
            let Err(retry_after) = account.check(now, weight) else {
                continue;
            };
            let is_rate = account.limiter.is_rate() || exceeded.is_some_and(|last| last.is_rate);
            if exceeded.is_none_or(|last| retry_after > last.retry_after) {
                exceeded = Some(BudgetExceeded {
                    budget_index: index,
                    retry_after,
                    is_rate,
                });
            }
        }
        if let Some(exceeded) = exceeded {
            return Err(exceeded);
        }
        for key in keys {
            if let Some(index) = self.by_key.get(key) {
                self.accounts[*index].spend(now);
            }
        }
        Ok(())
    }

    /// Records the end of a request that was admitted under these budgets.
    pub fn release(&mut self, keys: &[BudgetKey]) {
        for key in keys {
            if let Some(index) = self.by_key.get(key) {
                self.accounts[*index].release();
            }
        }
    }

    /// Records that membership has declared a process lost.
    pub fn mark_lost(&mut self, incarnation: Incarnation) {
        self.participant.mark_lost(incarnation, &self.settings);
    }

    /// Handles a message and adds the responses to `out`.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        message: Message,
        out: &mut Vec<Envelope>,
    ) {
        if self.is_suspended && !matches!(message, Message::VoteResponse(_)) {
            return;
        }
        let budget = self
            .participant
            .receive(now, from, message, &self.settings, out);
        let index = budget.and_then(|key| self.by_key.get(&key).copied());
        match (message, index) {
            (Message::NotLeader { grantor: Some(_) }, None) => self.resend_pending_requests(now),
            (_, None) => {}
            (Message::Recall { .. }, Some(index)) => self.accounts[index].next_request_at = now,
            (_, Some(index)) => self.apply_new_lease(now, index),
        }
    }

    /// Applies a newly received lease to its account.
    fn apply_new_lease(&mut self, now: Timestamp, index: usize) {
        let previous = self.accounts[index].share;
        self.accounts[index].pending_since = None;
        self.update_lease(now, index);
        self.changed_leases.push(index);
        // A reduced share is confirmed at once, because the grantor can grant the difference to
        // others only after the confirmation.
        if !previous.is_within(self.accounts[index].share) {
            self.accounts[index].next_request_at = now;
        }
    }

    /// Returns all leases and suspends the process. The requests tell the grantor how much is still
    /// in flight, and the grantor counts it until it must have ended.
    pub fn return_leases(&mut self, now: Timestamp, out: &mut Vec<Envelope>) {
        let grantor = lease_request_target(&self.participant, self.next_voter, now);
        let Some(to) = grantor.filter(|to| *to != self.participant.id) else {
            return;
        };
        for index in 0..self.accounts.len() {
            let account = &self.accounts[index];
            let message = self.participant.return_lease(
                now,
                account.key,
                account.budget.total(),
                account.in_use(),
                &self.settings,
            );
            out.push(Envelope { to, message });
            self.update_lease(now, index);
        }
        self.changed_leases.extend(0..self.accounts.len());
        self.is_suspended = true;
    }

    /// Makes each pending lease request due again, because it was sent to a process that is not the
    /// grantor.
    fn resend_pending_requests(&mut self, now: Timestamp) {
        for account in &mut self.accounts {
            if account.pending_since.is_some() {
                account.next_request_at = now;
            }
        }
    }

    /// Returns whether this process may spend the floor of each budget, which voters have without a
    /// lease.
    fn has_floor(&self) -> bool {
        self.participant.is_voter() && !self.is_suspended
    }

    fn update_all_leases(&mut self, now: Timestamp) {
        for index in 0..self.accounts.len() {
            self.update_lease(now, index);
        }
    }

    /// Sets the limits of an account to its current lease.
    fn update_lease(&mut self, now: Timestamp, index: usize) {
        let has_floor = self.has_floor();
        let account = &mut self.accounts[index];
        let lease = match self.participant.holder(account.key) {
            Some(holder) if !self.is_suspended => HeldLease {
                share: holder.share(now, &self.settings),
                expires_at: holder.expires_at(),
            },
            _ => HeldLease {
                share: Share::default(),
                expires_at: now,
            },
        };
        account.set_lease(now, lease, has_floor);
    }
}
