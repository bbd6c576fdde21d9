//! Spending: what a request or an attempt takes out of the fleet's budgets, and what it holds until
//! it ends.

use crate::clock;
use crate::{Agent, Counts};
use dewrun_budgets::node::{Budget, BudgetExceeded, UNIT_WEIGHT};
use dewrun_budgets::BudgetKey;
use rand::Rng;
use std::rc::Rc;

/// Why an attempt may not go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The fleet has no repeat left.
    Repeat,
    /// This process has no room left at this member.
    Member,
}

/// A budget has no more for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct OverBudget {
    /// Its name.
    pub budget: String,
    /// When to ask again, in milliseconds, spread by chance.
    pub retry_after_ms: f64,
}

/// What is open under some budgets; it ends when this is dropped.
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
    /// Whether an attempt may go to this member now, and what it holds until it ends. `again` tells
    /// that an attempt of its request went out before.
    pub fn attempt(
        self: &Rc<Agent>,
        counts: &Counts,
        again: bool,
        member: &str,
    ) -> Result<Reservation, Denied> {
        let state = &mut *self.state.borrow_mut();
        // What is not in the file any more limits nothing.
        let in_file = counts
            .members
            .iter()
            .filter(|key| state.budgets.per_member.contains_key(key));
        let at_member: Vec<BudgetKey> = in_file.map(|key| Budget::key_at(*key, member)).collect();
        if at_member.iter().any(|key| !state.node.has_budget(*key)) {
            return Err(Denied::Member);
        }
        let repeats = if again { &counts.repeats[..] } else { &[] };
        let budgets: Rc<[BudgetKey]> = repeats.iter().copied().chain(at_member).collect();
        match state.node.spend(clock::now(), &budgets, UNIT_WEIGHT) {
            Ok(()) => Ok(Reservation {
                agent: self.clone(),
                budgets,
            }),
            Err(over) if over.is_rate => Err(Denied::Repeat),
            Err(_) => Err(Denied::Member),
        }
    }

    /// Spends one of each of some budgets, or none of any. What a request of this worth holds of
    /// them is its until it ends.
    pub fn spend(
        self: &Rc<Agent>,
        budgets: &Rc<[BudgetKey]>,
        worth: u32,
    ) -> Result<Reservation, OverBudget> {
        let state = &mut *self.state.borrow_mut();
        let BudgetExceeded {
            budget_index: budget,
            retry_after: after,
            ..
        } = match state.node.spend(clock::now(), budgets, worth) {
            Ok(()) => {
                return Ok(Reservation {
                    agent: self.clone(),
                    budgets: budgets.clone(),
                })
            }
            Err(over) => over,
        };
        let refused = state.node.refusals().nth(budget);
        let budget = refused.map_or_else(String::new, |(budget, _)| budget.name.clone());
        let spread = 1.0 + state.rng.random::<f64>();
        Err(OverBudget {
            budget,
            retry_after_ms: after as f64 / 1e3 * spread,
        })
    }
}
