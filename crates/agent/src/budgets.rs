//! Charging of requests and attempts to the fleet's budgets, and reservations until their end.

use crate::clock;
use crate::{Agent, RequestBudgets};
use dewrun_budgets::node::{Budget, BudgetExceeded, UNIT_WEIGHT};
use dewrun_budgets::BudgetKey;
use rand::Rng;
use std::rc::Rc;

/// The reason why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// The retry budget is exhausted. The request is answered without another attempt.
    RetryBudgetExhausted,
    /// This process's share of the member's budget is exhausted. An attempt at another member is
    /// possible.
    MemberAtCapacity,
}

/// The error of a request that exceeds this process's share of a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct OverBudget {
    /// The name of the budget.
    pub budget: String,
    /// The time after which the client may retry, in milliseconds, with jitter.
    pub retry_after_ms: f64,
}

/// A reservation of a request or an attempt in budgets that limit concurrency. Dropping it releases
/// the reserved units.
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
    /// Charges an attempt at a member to the retry budgets and the member's budgets. `is_retry`
    /// says that an attempt of the same request was sent before.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptDenied`], which identifies the exhausted budget; nothing is reserved then.
    pub fn reserve_attempt(
        self: &Rc<Agent>,
        budgets: &RequestBudgets,
        is_retry: bool,
        member: &str,
    ) -> Result<Reservation, AttemptDenied> {
        let state = &mut *self.state.borrow_mut();
        // A budget that was removed from the file no longer applies.
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

    /// Charges a request with this priority weight one unit of each budget. If one of them is
    /// exhausted, none is charged.
    ///
    /// # Errors
    ///
    /// Returns [`OverBudget`] with the first exhausted budget.
    pub fn spend(
        self: &Rc<Agent>,
        budgets: &Rc<[BudgetKey]>,
        priority_weight: u32,
    ) -> Result<Reservation, OverBudget> {
        let state = &mut *self.state.borrow_mut();
        let BudgetExceeded {
            budget_index,
            retry_after,
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
        let exhausted = state.node.rejection_counts().nth(budget_index);
        let budget = exhausted.map_or_else(String::new, |(budget, _)| budget.name.clone());
        let jitter_factor = 1.0 + state.rng.random::<f64>();
        Err(OverBudget {
            budget,
            retry_after_ms: retry_after as f64 / 1e3 * jitter_factor,
        })
    }
}
