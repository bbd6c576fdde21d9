//! Reports on a process's budgets for operators and traces.

use super::account::Account;
use super::{Budget, BudgetNode};
use crate::{Epoch, Micros, Share, Timestamp};

/// The status of one budget for operators. Amounts are in requests per second or in requests in
/// flight.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetReport {
    /// The name of the budget.
    pub name: String,
    /// The pool member that the budget applies to, if each has the full limit; empty otherwise.
    pub member: String,
    /// The total of the fleet.
    pub total: f64,
    /// The share that this process may spend now, including the floor.
    pub share: f64,
    /// The remaining time of the lease, in microseconds.
    pub expires_in: Micros,
    /// The demand at this process, in requests per second.
    pub demand: f64,
    /// Number of requests admitted since the start.
    pub spent: u64,
    /// Number of requests rejected since the start.
    pub rejected: u64,
    /// The leases granted to all processes, if this process is the grantor.
    pub granted: Option<GrantedReport>,
}

/// The leases that the grantor has granted of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedReport {
    /// The sum of the shares, in the units of [`BudgetReport::total`].
    pub amount: f64,
    /// The number of holders.
    pub holders: usize,
}

/// A lease that this process has received or lost.
#[derive(Clone, Copy, Debug)]
pub struct Lease<'a> {
    /// The budget of the lease.
    pub budget: &'a Budget,
    /// The share that may be spent.
    pub share: Share,
    /// When it expires, on this process's clock.
    pub expires_at: Timestamp,
}

/// A change of this process's leadership as the grantor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    /// A new term began.
    Began(Epoch),
    /// The previous term ended.
    Ended,
}

impl BudgetNode {
    /// Returns the status of all budgets.
    pub fn report(&self, now: Timestamp) -> Vec<BudgetReport> {
        self.accounts
            .iter()
            .map(|account| self.report_account(now, account))
            .collect()
    }

    fn report_account(&self, now: Timestamp, account: &Account) -> BudgetReport {
        let Account { budget, key, .. } = account;
        let units = budget.units_per_request();
        let total = budget.total();
        let floor = if self.has_floor() {
            total.floor.units
        } else {
            0
        };
        let share = if self.is_suspended {
            0
        } else {
            self.participant.share(now, *key, &self.settings).units
        };
        let holder = self.participant.holder(*key);
        let granted = self.participant.granted_sum(now, *key);
        BudgetReport {
            name: budget.name.clone(),
            member: budget.member.clone(),
            total: total.amount.units as f64 / units,
            share: (share + floor) as f64 / units,
            expires_in: holder.map_or(0, |holder| holder.expires_at().saturating_sub(now)),
            demand: account.demand.per_second(),
            spent: account.spent,
            rejected: account.rejected,
            granted: granted.map(|sum| GrantedReport {
                amount: sum.units as f64 / units,
                holders: sum.holders,
            }),
        }
    }

    /// Returns the budgets in the order of their index, each with the number of requests rejected
    /// since the start.
    pub fn rejection_counts(&self) -> impl Iterator<Item = (&Budget, u64)> {
        self.accounts
            .iter()
            .map(|account| (&account.budget, account.rejected))
    }

    /// Returns the leases that were received or lost since the last call.
    pub fn take_changed_leases(&mut self) -> impl Iterator<Item = Lease<'_>> {
        let changed = std::mem::take(&mut self.changed_leases);
        changed.into_iter().filter_map(|index| {
            let account = self.accounts.get(index)?;
            let holder = self.participant.holder(account.key)?;
            Some(Lease {
                budget: &account.budget,
                share: account.share,
                expires_at: holder.expires_at(),
            })
        })
    }

    /// Returns the term of the grantor, if this process knows it.
    pub fn grantor(&self, now: Timestamp) -> Option<Epoch> {
        self.participant.grantor(now)
    }

    /// Returns the term in which this process is the grantor.
    pub fn leadership_epoch(&mut self, now: Timestamp) -> Option<Epoch> {
        self.participant.leadership_epoch(now, &self.settings)
    }

    /// Returns the change of this process's leadership since the last call, if there was one.
    pub fn take_leadership_change(&mut self, now: Timestamp) -> Option<LeadershipChange> {
        let epoch = self.leadership_epoch(now);
        let changed = epoch != self.reported_epoch;
        self.reported_epoch = epoch;
        changed.then_some(epoch.map_or(LeadershipChange::Ended, LeadershipChange::Began))
    }
}
