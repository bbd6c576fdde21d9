//! The budgets of an operator's file in the terms of leases, and which of them a request counts to.

use dewrun_budgets::node::{Budget, Limit};
use dewrun_budgets::{BudgetKey, Micros};
use dewrun_config::{longest, BudgetLimit, BudgetOf, Counted, Installation};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A budget of which each member of a pool has one of its own.
pub(crate) struct PerMember {
    pub pool: String,
    pub budget: Budget,
}

/// The budgets of a file.
pub(crate) struct FileBudgets {
    /// Those that are one whole.
    pub whole: Vec<Budget>,
    /// Those of members, by the key of the budget's name.
    pub per_member: BTreeMap<BudgetKey, PerMember>,
}

impl FileBudgets {
    /// Those of a file.
    pub fn of(config: &Installation) -> FileBudgets {
        let linger = longest(&config.classes).as_micros() as Micros;
        let (mut whole, mut per_member) = (Vec::new(), BTreeMap::new());
        for budget in &config.budgets {
            let limit = match budget.limit {
                BudgetLimit::Rate { rate, burst, floor } => Limit::Rate { rate, burst, floor },
                BudgetLimit::Open { most, floor } => Limit::InFlight {
                    max: most,
                    floor,
                    max_request_duration: linger,
                },
            };
            let own = Budget {
                name: budget.name.clone(),
                member: String::new(),
                limit,
            };
            match (budget.counts, budget.of) {
                (Counted::EachMember, BudgetOf::Pool(pool)) => {
                    let pool = config.pools[pool].name.clone();
                    per_member.insert(Budget::key(&budget.name), PerMember { pool, budget: own });
                }
                _ => whole.push(own),
            }
        }
        FileBudgets { whole, per_member }
    }
}

/// The budgets that a request counts to, by [`Budget::key`].
#[derive(Debug, Default)]
pub struct Counts {
    /// Once.
    pub requests: Rc<[BudgetKey]>,
    /// With each attempt beyond the first.
    pub repeats: Vec<BudgetKey>,
    /// With each attempt, at its member.
    pub members: Vec<BudgetKey>,
}

impl Counts {
    /// Of a request to this pool, by tenant and class.
    pub fn of(config: &Installation, (tenant, class, pool): (u16, usize, usize)) -> Counts {
        let counts = |of: BudgetOf| match of {
            BudgetOf::All => true,
            BudgetOf::Tenant(number) => number == usize::from(tenant),
            BudgetOf::Class(number) => number == class,
            BudgetOf::Pool(number) => number == pool,
        };
        let keys = |counted: Counted| {
            let all = config
                .budgets
                .iter()
                .filter(move |budget| counts(budget.of) && budget.counts == counted);
            all.map(|budget| Budget::key(&budget.name))
        };
        Counts {
            requests: keys(Counted::Requests).collect(),
            repeats: keys(Counted::Repeats).collect(),
            members: keys(Counted::EachMember).collect(),
        }
    }

    /// Whether attempts count to any.
    pub fn has_attempts(&self) -> bool {
        !self.repeats.is_empty() || !self.members.is_empty()
    }
}
