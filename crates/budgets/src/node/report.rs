//! What operators and traces are shown of a process's budgets.

use super::account::Account;
use super::{Budget, Node};
use crate::{Epoch, Micros, Share};

/// One budget as an operator is shown it.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetReport {
    /// Its name.
    pub name: String,
    /// Of which member, if each has the whole limit.
    pub member: String,
    /// All of it, in requests a second or in requests in progress.
    pub whole: f64,
    /// What this process may spend of it now, in the same.
    pub share: f64,
    /// How long it still may, in microseconds.
    pub left: Micros,
    /// What is asked for here, in requests a second.
    pub demand: f64,
    /// Requests that were let in, since the start.
    pub spent: u64,
    /// Requests that were refused, since the start.
    pub refused: u64,
    /// At the grantor: what is granted, in the units of `whole`, and to how many processes.
    pub given: Option<(f64, usize)>,
}

/// A lease as this process received it.
#[derive(Clone, Copy, Debug)]
pub struct Lease<'a> {
    /// The budget.
    pub budget: &'a Budget,
    /// What is held of it.
    pub share: Share,
    /// Until when, in microseconds on this process's clock.
    pub until: Micros,
}

impl Node {
    /// All budgets, as an operator is shown them.
    pub fn report(&self, now: Micros) -> Vec<BudgetReport> {
        self.accounts
            .iter()
            .map(|account| self.show(now, account))
            .collect()
    }

    fn show(&self, now: Micros, account: &Account) -> BudgetReport {
        let Account { budget, key, .. } = account;
        let units = budget.units_per_request();
        let whole = budget.whole();
        let floor = if self.has_floor() {
            whole.floor.units
        } else {
            0
        };
        let share = if self.suspended {
            0
        } else {
            self.core.share(now, *key, &self.rules).units
        };
        BudgetReport {
            name: budget.name.clone(),
            member: budget.member.clone(),
            whole: whole.all.units as f64 / units,
            share: (share + floor) as f64 / units,
            left: self
                .core
                .holder(*key)
                .map_or(0, |holder| holder.until().saturating_sub(now)),
            demand: account.demand.per_second(),
            spent: account.spent,
            refused: account.refused,
            given: self
                .core
                .given(now, *key)
                .map(|(sum, holders)| (sum as f64 / units, holders)),
        }
    }

    /// The budgets, by number, with the requests refused since the start.
    pub fn refused(&self) -> impl Iterator<Item = (&Budget, u64)> {
        self.accounts
            .iter()
            .map(|account| (&account.budget, account.refused))
    }

    /// The leases that were received or lost since this was last called.
    pub fn take_changed_leases(&mut self) -> impl Iterator<Item = Lease<'_>> {
        let changed = std::mem::take(&mut self.changed_shares);
        changed.into_iter().filter_map(|number| {
            let account = self.accounts.get(number)?;
            let holder = self.core.holder(account.key)?;
            Some(Lease {
                budget: &account.budget,
                share: account.share,
                until: holder.until(),
            })
        })
    }

    /// The grantor, as far as it is known here.
    pub fn grantor(&self, now: Micros) -> Option<Epoch> {
        self.core.grantor(now)
    }

    /// The term in which this process is the grantor.
    pub fn leadership_epoch(&mut self, now: Micros) -> Option<Epoch> {
        self.core.leadership_epoch(now, &self.rules)
    }

    /// The term that began here since this was last called, or `None` for one that ended; `None` if
    /// there was no change.
    pub fn take_leadership_change(&mut self, now: Micros) -> Option<Option<Epoch>> {
        let term = self.leadership_epoch(now);
        let changed = term != self.last_term;
        self.last_term = term;
        changed.then_some(term)
    }
}
