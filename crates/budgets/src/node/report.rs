//! What operators and traces are shown of a process's budgets.

use super::account::Account;
use super::{Budget, BudgetNode};
use crate::{Epoch, Micros, Share, Timestamp};

/// One budget as an operator is shown it. Amounts are in requests a second, or in requests in
/// flight.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetReport {
    /// The name.
    pub name: String,
    /// The member of a pool, if each has the whole limit; empty otherwise.
    pub member: String,
    /// The total of the fleet.
    pub total: f64,
    /// What this process may spend now, the floor included.
    pub share: f64,
    /// How long the lease still lasts, in microseconds.
    pub expires_in: Micros,
    /// The demand at this process, in requests a second.
    pub demand: f64,
    /// Requests that were admitted since the start.
    pub spent: u64,
    /// Requests that were rejected since the start.
    pub rejected: u64,
    /// What is granted to all processes, at the grantor.
    pub granted: Option<GrantedReport>,
}

/// What the grantor has granted of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedReport {
    /// The sum of the shares, in the units of [`BudgetReport::total`].
    pub amount: f64,
    /// The number of holders.
    pub holders: usize,
}

/// A lease as this process received it.
#[derive(Clone, Copy, Debug)]
pub struct Lease<'a> {
    /// The budget.
    pub budget: &'a Budget,
    /// The share.
    pub share: Share,
    /// When it expires, on this process's clock.
    pub expires_at: Timestamp,
}

/// A change of this process's part as the grantor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    /// A term began.
    Began(Epoch),
    /// The last term ended.
    Ended,
}

impl BudgetNode {
    /// All budgets, as an operator is shown them.
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

    /// The budgets by index, with the requests rejected since the start.
    pub fn rejection_counts(&self) -> impl Iterator<Item = (&Budget, u64)> {
        self.accounts
            .iter()
            .map(|account| (&account.budget, account.rejected))
    }

    /// The leases that were received or lost since the last call.
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

    /// The grantor, as far as it is known here.
    pub fn grantor(&self, now: Timestamp) -> Option<Epoch> {
        self.participant.grantor(now)
    }

    /// The term in which this process is the grantor.
    pub fn leadership_epoch(&mut self, now: Timestamp) -> Option<Epoch> {
        self.participant.leadership_epoch(now, &self.settings)
    }

    /// The change of this process's part as the grantor since the last call, if there was one.
    pub fn take_leadership_change(&mut self, now: Timestamp) -> Option<LeadershipChange> {
        let epoch = self.leadership_epoch(now);
        let changed = epoch != self.reported_epoch;
        self.reported_epoch = epoch;
        changed.then_some(epoch.map_or(LeadershipChange::Ended, LeadershipChange::Began))
    }
}
