//! The budgets of an operator's file in the terms of leases, and which of them a request counts to.

use dewrun_budgets::node::{Budget, Limit};
use dewrun_budgets::{BudgetKey, Micros};
use dewrun_config::{longest_deadline, BudgetLimit, BudgetScope, Counted, Installation};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A budget that each member of a pool has for itself.
pub(crate) struct PerMember {
    pub pool: String,
    pub budget: Budget,
}

/// The budgets of an operator's file, as the budgets crate knows them.
pub(crate) struct FileBudgets {
    /// Budgets with one total for the fleet.
    pub fleet_wide: Vec<Budget>,
    /// Budgets with a total for each member, by the key of the budget's name.
    pub per_member: BTreeMap<BudgetKey, PerMember>,
}

impl FileBudgets {
    /// The budgets of an operator's file.
    pub fn of(config: &Installation) -> FileBudgets {
        let linger = longest_deadline(&config.classes).as_micros() as Micros;
        let (mut fleet_wide, mut per_member) = (Vec::new(), BTreeMap::new());
        for budget in &config.budgets {
            let limit = match budget.limit {
                BudgetLimit::Rate { rate, burst, floor } => Limit::Rate { rate, burst, floor },
                BudgetLimit::InFlight { max, floor } => Limit::InFlight {
                    max,
                    floor,
                    max_request_duration: linger,
                },
            };
            let own = Budget {
                name: budget.name.clone(),
                member: String::new(),
                limit,
            };
            match (budget.counts, budget.scope) {
                (Counted::EachMember, BudgetScope::Pool(pool)) => {
                    let pool = config.pools[pool].name.clone();
                    per_member.insert(Budget::key(&budget.name), PerMember { pool, budget: own });
                }
                _ => fleet_wide.push(own),
            }
        }
        FileBudgets {
            fleet_wide,
            per_member,
        }
    }
}

/// What decides which budgets a request counts to, as indexes into the installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// The tenant's number.
    pub tenant: u16,
    /// The class's index.
    pub class: usize,
    /// The pool's index.
    pub pool: usize,
}

/// The budgets that a request counts to, by [`Budget::key`].
#[derive(Debug, Default)]
pub struct RequestBudgets {
    /// Budgets that count the request once.
    pub requests: Rc<[BudgetKey]>,
    /// Budgets that count each attempt after the first.
    pub retries: Vec<BudgetKey>,
    /// Budgets that each member has for itself, which count each attempt at the member.
    pub members: Vec<BudgetKey>,
}

impl RequestBudgets {
    /// The budgets of a kind of request.
    pub fn of(config: &Installation, kind: RequestKind) -> RequestBudgets {
        let RequestKind {
            tenant,
            class,
            pool,
        } = kind;
        let counts = |scope: BudgetScope| match scope {
            BudgetScope::All => true,
            BudgetScope::Tenant(number) => number == usize::from(tenant),
            BudgetScope::Class(number) => number == class,
            BudgetScope::Pool(number) => number == pool,
        };
        let keys = |counted: Counted| {
            let all = config
                .budgets
                .iter()
                .filter(move |budget| counts(budget.scope) && budget.counts == counted);
            all.map(|budget| Budget::key(&budget.name))
        };
        RequestBudgets {
            requests: keys(Counted::Requests).collect(),
            retries: keys(Counted::Retries).collect(),
            members: keys(Counted::EachMember).collect(),
        }
    }

    /// Whether any budget counts attempts.
    pub fn counts_attempts(&self) -> bool {
        !self.retries.is_empty() || !self.members.is_empty()
    }
}
