//! Exhaustive model checking of the protocol with `stateright`. The model runs three
//! [`Participant`]s, which is the production code, with one budget of two units. A sent message
//! remains deliverable in all later states, which covers loss, delay, duplication and reordering.
//! Processes crash and lose all state, are suspended for any time, and their clocks differ. The
//! checker visits every state within the [`Bounds`].
//!
//! [`Participant`]: crate::participant::Participant

mod bounds;
mod state;
mod step;
mod tests;

use crate::safety::{are_shares_within_total, is_leadership_exclusive};
use crate::{LeaseSettings, Micros};
use bounds::Bounds;
use state::{ModelState, AMOUNT};
use stateright::{Model, Property};
use step::Step;

/// Invariant: the shares of all processes do not exceed the total.
const SHARES_WITHIN_TOTAL: &str = "the shares are at most the total";
/// Invariant: at most one process is the grantor.
const ONE_GRANTOR: &str = "there is at most one grantor";
/// A state that must be reachable, or the check would be vacuous: one process has the whole total.
const ONE_HOLDS_ALL: &str = "one process holds all";
/// A state that must be reachable, or the check would be vacuous: two processes share the total.
const TWO_HOLD_HALF: &str = "two processes hold half each";

const PROCESSES: u8 = 3;

/// A fleet to check, with its settings and the bounds of the exploration.
struct ModelFleet {
    settings: LeaseSettings,
    bounds: Bounds,
}

impl ModelFleet {
    /// Returns when the run ends. Each run starts when the first grantor's quarantine has ended.
    fn ends_at(&self) -> Micros {
        self.settings.durations.vote_hold + self.settings.durations.grant_hold + self.bounds.ticks
    }
}

impl Model for ModelFleet {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        // The first process has just received the votes of one or both of the others.
        [&[1][..], &[2], &[1, 2]]
            .map(|voters| ModelState::with_grantor(voters, self))
            .into()
    }

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        if state.now < self.ends_at() {
            step::add_possible_steps(self, state, steps);
        }
    }

    fn next_state(&self, last: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = last.clone();
        step.apply(&mut state, &self.settings)?;
        state.drop_ineffective_messages(&self.settings);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                SHARES_WITHIN_TOTAL,
                |fleet: &ModelFleet, state: &ModelState| {
                    are_shares_within_total(state.shares(&fleet.settings), AMOUNT)
                },
            ),
            Property::always(ONE_GRANTOR, |fleet: &ModelFleet, state: &ModelState| {
                is_leadership_exclusive(
                    (0..PROCESSES).map(|process| state.is_grantor(process, &fleet.settings)),
                )
            }),
            Property::sometimes(ONE_HOLDS_ALL, |fleet: &ModelFleet, state: &ModelState| {
                state.shares(&fleet.settings).any(|share| share == AMOUNT)
            }),
            Property::sometimes(TWO_HOLD_HALF, |fleet: &ModelFleet, state: &ModelState| {
                let shares = state.shares(&fleet.settings);
                shares.filter(|share| share.units == 1).count() == 2
            }),
        ]
    }
}
