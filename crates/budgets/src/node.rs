//! The budgets of one process: admission of requests, and the lease requests and campaigns that are
//! due. Has no clock, randomness or network of its own: the owner passes the time and a random
//! generator in, carries the messages, and calls [`BudgetNode::tick`] every few milliseconds.

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

/// The weight of a request with the priority weight 1.
pub const UNIT_WEIGHT: u32 = 16;

/// The budgets of one process.
pub struct BudgetNode {
    participant: Participant,
    settings: LeaseSettings,
    accounts: Vec<Account>,
    /// The indices of the accounts.
    by_key: FxHashMap<BudgetKey, usize>,
    next_campaign_at: Timestamp,
    /// Counts up to the voter that is asked while no grantor is known.
    next_voter: usize,
    /// Set while another process has this process's name, and after it has left the fleet.
    is_suspended: bool,
    /// The term in which it was the grantor when that was last reported.
    reported_epoch: Option<Epoch>,
    /// Wall-clock milliseconds at the start, so that epochs rise over restarts.
    started_wall_ms: u64,
    /// The indices of accounts whose leases have changed since that was last reported.
    changed_leases: Vec<usize>,
}

/// A budget has no more for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("budget {budget_index} is exhausted, retry after {retry_after} us")]
pub struct BudgetExceeded {
    /// The index of the exhausted budget; of several, the one with the longest wait.
    pub budget_index: usize,
    /// The time until the budget may have room, in microseconds.
    pub retry_after: Micros,
    /// Whether this budget, or an exhausted one that was checked before it, is a rate.
    pub is_rate: bool,
}

impl BudgetNode {
    /// A process that starts now. `started_wall_ms` is the wall-clock time in milliseconds.
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

    /// Sets the budgets and the voters. A budget that was there by its key keeps its share and its
    /// counts. A budget that is removed is kept while requests are in flight under it, as it may
    /// come back.
    pub fn set_budgets(&mut self, now: Timestamp, budgets: Vec<Budget>, voters: &[ProcessId]) {
        self.participant.set_voters(now, voters, &self.settings);
        let accounts = std::mem::take(&mut self.accounts);
        let mut before: FxHashMap<BudgetKey, Account> = accounts
            .into_iter()
            .map(|account| (account.key, account))
            .collect();
        for budget in budgets {
            let key = budget.own_key();
            let mut account = before
                .remove(&key)
                .unwrap_or_else(|| Account::new(now, key, budget.clone()));
            account.redefine(now, budget);
            self.accounts.push(account);
        }
        let mut removed: Vec<Account> = before
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

    /// Suspends or resumes the process. A suspended process spends nothing, asks for nothing,
    /// grants nothing and receives nothing.
    pub fn set_suspended(&mut self, now: Timestamp, is_suspended: bool) {
        self.is_suspended = is_suspended;
        self.update_all_leases(now);
        self.changed_leases.extend(0..self.accounts.len());
    }

    /// See [`BudgetNode::set_suspended`].
    pub fn is_suspended(&self) -> bool {
        self.is_suspended
    }

    /// Whether there is a budget with this key.
    pub fn has_budget(&self, key: BudgetKey) -> bool {
        self.by_key.contains_key(&key)
    }

    /// Admits a request if each budget has room for it, and counts it to all of them; unknown keys
    /// are passed over. An admitted request is to be [released](BudgetNode::release). `weight` is
    /// the request's priority weight in parts of [`UNIT_WEIGHT`].
    ///
    /// # Errors
    ///
    /// If a budget is exhausted. Nothing is then spent of any.
    #[inline]
    pub fn spend(
        &mut self,
        now: Timestamp,
        keys: &[BudgetKey],
        weight: u32,
    ) -> Result<(), BudgetExceeded> {
        let mut refusal: Option<BudgetExceeded> = None;
        for key in keys {
            let Some(index) = self.by_key.get(key).copied() else {
                continue;
            };
            let account = &mut self.accounts[index];
            let Err(retry_after) = account.check(now, weight) else {
                continue;
            };
            let is_rate = account.limiter.is_rate() || refusal.is_some_and(|last| last.is_rate);
            if refusal.is_none_or(|last| retry_after > last.retry_after) {
                refusal = Some(BudgetExceeded {
                    budget_index: index,
                    retry_after,
                    is_rate,
                });
            }
        }
        if let Some(refusal) = refusal {
            return Err(refusal);
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

    /// Learns that membership declares a process lost.
    pub fn mark_lost(&mut self, incarnation: Incarnation) {
        self.participant.mark_lost(incarnation, &self.settings);
    }

    /// Handles a message, and adds the answers to `out`.
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
            (Message::NotLeader { grantor: Some(_) }, None) => self.retry_awaited_requests(now),
            (_, None) => {}
            (Message::Recall { .. }, Some(index)) => self.accounts[index].next_request_at = now,
            (_, Some(index)) => self.apply_new_lease(now, index),
        }
    }

    /// Spends by a lease that has arrived.
    fn apply_new_lease(&mut self, now: Timestamp, index: usize) {
        let before = self.accounts[index].share;
        self.accounts[index].awaiting_since = None;
        self.update_lease(now, index);
        self.changed_leases.push(index);
        // A reduced share is confirmed at once: others can have the rest only then.
        if !before.is_within(self.accounts[index].share) {
            self.accounts[index].next_request_at = now;
        }
    }

    /// Returns all leases and suspends the process. The grantor learns what is still in flight, and
    /// counts it until it must have ended.
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

    /// Sends each request again whose answer is awaited of a process that is not the grantor.
    fn retry_awaited_requests(&mut self, now: Timestamp) {
        for account in &mut self.accounts {
            if account.awaiting_since.is_some() {
                account.next_request_at = now;
            }
        }
    }

    /// Whether this process may spend the floor of each budget, which voters have without a lease.
    fn has_floor(&self) -> bool {
        self.participant.is_voter() && !self.is_suspended
    }

    fn update_all_leases(&mut self, now: Timestamp) {
        for index in 0..self.accounts.len() {
            self.update_lease(now, index);
        }
    }

    /// Sets what may be spent of a budget to the lease that is held.
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
