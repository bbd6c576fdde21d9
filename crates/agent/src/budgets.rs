//! Spending: what a request or an attempt takes out of the fleet's budgets, and reserves until its
//! end.

use crate::clock;
use crate::{Agent, RequestBudgets};
use dewrun_budgets::node::{Budget, BudgetExceeded, UNIT_WEIGHT};
use dewrun_budgets::BudgetKey;
use rand::Rng;
use std::rc::Rc;

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// The fleet's retry budget is exhausted: the request is answered without another attempt.
    RetryBudgetExhausted,
    /// This process has no share left of the member's budget: another member may be tried.
    MemberAtCapacity,
}

/// A request exceeds this process's share of a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct OverBudget {
    /// The budget's name.
    pub budget: String,
    /// When the client may retry, in milliseconds from now, with jitter.
    pub retry_after_ms: f64,
}

/// What a request or an attempt has reserved of budgets of concurrency; returned when dropped.
pub struct Reservation {
    agent: Rc<Agent>,
    budgets: Rc<[BudgetKey]>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.agent.state.borrow_mut().node.release(&self.budgets);
    }
}

impl Agent {
    /// Reserves what an attempt at a member needs. `is_retry` says that an attempt of the same request
    /// was sent before.
    ///
    /// # Errors
    ///
    /// [`AttemptDenied`] says which budget has nothing left; nothing is reserved.
    pub fn reserve_attempt(
        self: &Rc<Agent>,
        budgets: &RequestBudgets,
        is_retry: bool,
        member: &str,
    ) -> Result<Reservation, AttemptDenied> {
        let state = &mut *self.state.borrow_mut();
        // A budget that was removed from the file limits nothing.
        let in_file = budgets
            .members
            .iter()
            .filter(|key| state.budgets.per_member.contains_key(key));
        let at_member: Vec<BudgetKey> = in_file
            .map(|key| Budget::member_key(*key, member))
            .collect();
        if at_member.iter().any(|key| !state.node.has_budget(*key)) {
            return Err(AttemptDenied::MemberAtCapacity);
        }
        let retries = if is_retry { &budgets.retries[..] } else { &[] };
        let keys: Rc<[BudgetKey]> = retries.iter().copied().chain(at_member).collect();
        match state.node.spend(clock::now(), &keys, UNIT_WEIGHT) {
            Ok(()) => Ok(Reservation {
                agent: self.clone(),
                budgets: keys,
            }),
            Err(over) if over.is_rate => Err(AttemptDenied::RetryBudgetExhausted),
            Err(_) => Err(AttemptDenied::MemberAtCapacity),
        }
    }

    /// Takes one unit of each of some budgets, or of none, for a request of this priority weight.
    ///
    /// # Errors
    ///
    /// [`OverBudget`] names the first budget that has nothing left for the request.
    pub fn spend(
        self: &Rc<Agent>,
        budgets: &Rc<[BudgetKey]>,
        priority_weight: u32,
    ) -> Result<Reservation, OverBudget> {
        let state = &mut *self.state.borrow_mut();
        let BudgetExceeded {
            budget_index: budget,
            retry_after: after,
            ..
        } = match state.node.spend(clock::now(), budgets, priority_weight) {
            Ok(()) => {
                return Ok(Reservation {
                    agent: self.clone(),
                    budgets: budgets.clone(),
                })
            }
            Err(over) => over,
        };
        let refused = state.node.rejection_counts().nth(budget);
        let budget = refused.map_or_else(String::new, |(budget, _)| budget.name.clone());
        let spread = 1.0 + state.rng.random::<f64>();
        Err(OverBudget {
            budget,
            retry_after_ms: after as f64 / 1e3 * spread,
        })
    }
}
