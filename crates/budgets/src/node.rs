//! A process's part in the budgets of its fleet: what it spends, when it asks for shares, when it
//! claims to be the grantor. It has no clock, randomness or network of its own: the owner passes
//! the time and a random generator in, carries the messages, and calls [`Node::tick`] every few
//! milliseconds.

mod account;
mod budget;
mod demand;
mod report;
mod schedule;

pub use budget::{Budget, Limit};
pub use report::{BudgetReport, Lease};

use crate::core::{Core, Message};
use crate::{Epoch, Incarnation, Micros, ProcessId, Rules, Share};
use account::{Account, HeldLease};
use rustc_hash::FxHashMap;
use schedule::process_to_ask;

const MS: Micros = 1_000;
/// The weight of a request of worth 1.
pub const WEIGHT: u32 = 16;

/// A process's budgets. See the module's text.
pub struct Node {
    core: Core,
    rules: Rules,
    accounts: Vec<Account>,
    /// The accounts' numbers.
    by_key: FxHashMap<u64, usize>,
    claim_at: Micros,
    /// Counts up to the voter that is asked while no grantor is known.
    next_voter: usize,
    /// Neither asks nor claims nor spends: another process has its name, or it has left.
    suspended: bool,
    /// The term in which it was the grantor when that was last reported.
    last_term: Option<Epoch>,
    /// Wall-clock milliseconds at the start, so that epochs rise over restarts.
    wall_ms: u64,
    /// The accounts whose shares have changed since that was last reported.
    changed_shares: Vec<usize>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverBudget {
    /// The number of the budget that has no room; of several, the one that has none for longest.
    pub budget: usize,
    /// How long until it might have, in microseconds.
    pub after: Micros,
    /// Whether it, or one without room that was checked before it, is a rate.
    pub of_rate: bool,
}

impl Node {
    /// A process that starts now.
    pub fn new(
        now: Micros,
        id: ProcessId,
        incarnation: Incarnation,
        voters: &[ProcessId],
        wall_ms: u64,
        rules: Rules,
    ) -> Node {
        Node {
            core: Core::new(now, id, incarnation, voters, &rules),
            rules,
            accounts: Vec::new(),
            by_key: FxHashMap::default(),
            claim_at: now,
            next_voter: id.0 as usize,
            suspended: false,
            last_term: None,
            wall_ms,
            changed_shares: Vec::new(),
        }
    }

    /// Sets the budgets. One that was there by its key goes on with its share and its counts. One
    /// that is gone counts on for as long as a request is in progress under it, as it may come
    /// back.
    pub fn set_budgets(&mut self, now: Micros, budgets: Vec<Budget>, voters: &[ProcessId]) {
        self.core.set_voters(now, voters, &self.rules);
        let accounts = std::mem::take(&mut self.accounts);
        let mut before: FxHashMap<u64, Account> = accounts
            .into_iter()
            .map(|account| (account.key, account))
            .collect();
        for budget in budgets {
            let key = budget.own_key();
            let account = before.remove(&key);
            let mut account = account.unwrap_or_else(|| Account::new(now, key, budget.clone()));
            account.redefine(now, budget);
            self.accounts.push(account);
        }
        let mut removed: Vec<Account> = before.into_values().filter(Account::has_open).collect();
        removed.sort_by_key(|account| account.key);
        self.accounts.extend(removed);
        self.changed_shares.clear();
        self.by_key = self
            .accounts
            .iter()
            .enumerate()
            .map(|(number, account)| (account.key, number))
            .collect();
        let by_key = &self.by_key;
        self.core.keep(|key| by_key.contains_key(&key));
        self.update_all_shares(now);
    }

    /// Whether this process must not spend, claim and ask. One that must not grants nothing and
    /// receives nothing.
    pub fn set_suspended(&mut self, now: Micros, held: bool) {
        self.suspended = held;
        self.update_all_shares(now);
        self.changed_shares.extend(0..self.accounts.len());
    }

    /// See [`Node::set_suspended`].
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Whether there is a budget with this key.
    pub fn knows(&self, key: u64) -> bool {
        self.by_key.contains_key(&key)
    }

    /// Spends one of each of some budgets, by [`Budget::key`], or none of any; keys of no budget
    /// are passed over. What is let in has to be [`Node::done`]. A request's worth is in parts
    /// of [`WEIGHT`].
    #[inline]
    pub fn spend(&mut self, now: Micros, keys: &[u64], worth: u32) -> Result<(), OverBudget> {
        let mut refusal: Option<OverBudget> = None;
        for key in keys {
            let Some(number) = self.by_key.get(key).copied() else {
                continue;
            };
            let account = &mut self.accounts[number];
            let Err(after) = account.check(now, worth) else {
                continue;
            };
            let of_rate = account.limiter.is_rate() || refusal.is_some_and(|over| over.of_rate);
            if refusal.is_none_or(|over| after > over.after) {
                refusal = Some(OverBudget {
                    budget: number,
                    after,
                    of_rate,
                });
            }
        }
        if let Some(over) = refusal {
            return Err(over);
        }
        for key in keys {
            if let Some(number) = self.by_key.get(key) {
                self.accounts[*number].spend(now);
            }
        }
        Ok(())
    }

    /// A request that was let in has ended.
    pub fn done(&mut self, keys: &[u64]) {
        for key in keys {
            if let Some(number) = self.by_key.get(key) {
                self.accounts[*number].release();
            }
        }
    }

    /// A process is thought to be lost.
    pub fn lost(&mut self, incarnation: Incarnation) {
        self.core.lost(incarnation, &self.rules);
    }

    /// Takes a message in, and adds what it is answered with.
    pub fn take(
        &mut self,
        now: Micros,
        from: ProcessId,
        message: Message,
        out: &mut Vec<(ProcessId, Message)>,
    ) {
        if self.suspended && !matches!(message, Message::VoteResponse { .. }) {
            return;
        }
        let changed = self.core.take(now, from, message, &self.rules, out);
        let Some(number) = changed.and_then(|key| self.by_key.get(&key).copied()) else {
            if matches!(message, Message::NotLeader(Some(_))) {
                self.ask_the_new_grantor(now);
            }
            return;
        };
        if matches!(message, Message::Recall(_)) {
            self.accounts[number].ask_at = now;
            return;
        }
        let before = self.accounts[number].share;
        self.accounts[number].waiting_since = None;
        self.update_share(now, number);
        self.changed_shares.push(number);
        // Once it has told the grantor that it holds less now, others can have the rest.
        if !before.is_within(self.accounts[number].share) {
            self.accounts[number].ask_at = now;
        }
    }

    /// Gives all shares back. What is still in progress is told, and counts until it may have
    /// ended.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<(ProcessId, Message)>) {
        let grantor = process_to_ask(&self.core, self.next_voter, now);
        let Some(to) = grantor.filter(|to| *to != self.core.id) else {
            return;
        };
        for number in 0..self.accounts.len() {
            let Account { key, budget, .. } = &self.accounts[number];
            let in_use = self.accounts[number].in_use();
            let ask = self
                .core
                .leave(now, *key, budget.whole(), in_use, &self.rules);
            out.push((to, ask));
            self.update_share(now, number);
        }
        self.changed_shares.extend(0..self.accounts.len());
        self.suspended = true;
    }

    /// Asks again at once where an answer is awaited of a process that is not the grantor.
    fn ask_the_new_grantor(&mut self, now: Micros) {
        for account in self
            .accounts
            .iter_mut()
            .filter(|account| account.waiting_since.is_some())
        {
            account.ask_at = now;
        }
    }

    /// Whether this process may spend the floor of each budget, which voters have without a lease.
    fn has_floor(&self) -> bool {
        self.core.is_voter() && !self.suspended
    }

    fn update_all_shares(&mut self, now: Micros) {
        for number in 0..self.accounts.len() {
            self.update_share(now, number);
        }
    }

    /// Sets what may be spent of a budget to what is held of it.
    fn update_share(&mut self, now: Micros, number: usize) {
        let has_floor = self.has_floor();
        let account = &mut self.accounts[number];
        let share = match self.core.holder(account.key) {
            Some(holder) if !self.suspended => HeldLease {
                part: holder.share(now, &self.rules),
                until: holder.until(),
            },
            _ => HeldLease {
                part: Share::default(),
                until: now,
            },
        };
        account.set_share(now, share, has_floor);
    }
}
