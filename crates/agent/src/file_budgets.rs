//! Conversion of the budgets of an operator's file, and selection of those that apply to a request.

use dewrun_budgets::node::{Budget, Limit};
use dewrun_budgets::{BudgetKey, Micros};
use dewrun_config::{longest_deadline, BudgetLimit, BudgetScope, BudgetUnit, Installation};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A budget with a separate total for each member of a pool.
pub(crate) struct PerMember {
    pub pool: String,
    pub budget: Budget,
}

/// The budgets of an operator's file in the types of `dewrun-budgets`.
pub(crate) struct FileBudgets {
    /// Budgets with one total for the fleet.
    pub fleet_wide: Vec<Budget>,
    /// Budgets with a total for each member, by the key of the budget's name.
    pub per_member: BTreeMap<BudgetKey, PerMember>,
}

impl FileBudgets {
    /// Converts the budgets of an operator's file.
    pub fn of(config: &Installation) -> FileBudgets {
        let max_request_duration = longest_deadline(&config.classes).as_micros() as Micros;
        let (mut fleet_wide, mut per_member) = (Vec::new(), BTreeMap::new());
        for budget in &config.budgets {
            let limit = match budget.limit {
                BudgetLimit::Rate { rate, burst, floor } => Limit::Rate { rate, burst, floor },
                BudgetLimit::InFlight { max, floor } => Limit::InFlight {
                    max,
                    floor,
                    max_request_duration,
                },
            };
            let converted = Budget {
                name: budget.name.clone(),
                member: String::new(),
                limit,
            };
            match (budget.unit, budget.scope) {
                (BudgetUnit::AttemptsPerMember, BudgetScope::Pool(pool)) => {
                    let pool = config.pools[pool].name.clone();
                    per_member.insert(
                        Budget::key(&budget.name),
                        PerMember {
                            pool,
                            budget: converted,
                        },
                    );
                }
                _ => fleet_wide.push(converted),
            }
        }
        FileBudgets {
            fleet_wide,
            per_member,
        }
    }
}

/// The properties of a request that determine its budgets, as indexes into the installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKind {
    /// The index of the tenant.
    pub tenant: u16,
    /// The index of the request class.
    pub class: usize,
    /// The index of the pool.
    pub pool: usize,
}

/// The keys ([`Budget::key`]) of the budgets that apply to a request.
#[derive(Debug, Default)]
pub struct RequestBudgets {
    /// Budgets that count the request once.
    pub requests: Rc<[BudgetKey]>,
    /// Budgets that count each attempt after the first.
    pub retries: Vec<BudgetKey>,
    /// Budgets with a separate total for each member, which count each attempt at the member.
    pub members: Vec<BudgetKey>,
}

impl RequestBudgets {
    /// Returns the budgets of a kind of request.
    pub fn of(config: &Installation, kind: RequestKind) -> RequestBudgets {
        let RequestKind {
            tenant,
            class,
            pool,
        } = kind;
        let applies = |scope: BudgetScope| match scope {
            BudgetScope::All => true,
            BudgetScope::Tenant(index) => index == usize::from(tenant),
            BudgetScope::Class(index) => index == class,
            BudgetScope::Pool(index) => index == pool,
        };
        let keys = |unit: BudgetUnit| {
            let all = config
                .budgets
                .iter()
                .filter(move |budget| applies(budget.scope) && budget.unit == unit);
            all.map(|budget| Budget::key(&budget.name))
        };
        RequestBudgets {
            requests: keys(BudgetUnit::Requests).collect(),
            retries: keys(BudgetUnit::Retries).collect(),
            members: keys(BudgetUnit::AttemptsPerMember).collect(),
        }
    }

    /// Returns whether any of the budgets counts attempts.
    pub fn counts_attempts(&self) -> bool {
        !self.retries.is_empty() || !self.members.is_empty()
    }
}
