//! The state machine of one member, as seen by one process.
//!
//! Evidence about a member is a report by another process, a message from the member itself, or the
//! expiry of a suspicion. A report carries a refutation count that is lower than, equal to or
//! higher than the known one. The first matching row of the table applies:
//!
//! | state | evidence | refutation count | next state |
//! | --- | --- | --- | --- |
//! | suspect | suspicion expired | | dead |
//! | left | reported left | | unchanged |
//! | left | any other | | stale: an incarnation that has left never returns |
//! | any | reported left | | left |
//! | any | reported alive, or message received | lower | stale |
//! | any | reported suspect or dead | lower | unchanged: already refuted |
//! | suspect, dead | message received | equal | alive: a message from the member is the strongest evidence |
//! | any | reported alive, or message received | higher | alive |
//! | any | reported suspect or dead | higher | suspect |
//! | dead for less than [`DEATH_HOLD_US`] | reported alive | equal | stale |
//! | dead | reported alive | equal | alive |
//! | alive | reported suspect or dead | equal | suspect |
//! | any other | | equal | unchanged |
//!
//! A reported death leads to a suspicion only: a process declares a member dead solely by its own
//! clock.

use super::member::Liveness;
use super::message::ReportedState;
use super::{Micros, Timestamp};
use std::cmp::Ordering;

/// The time for which a dead member stays dead despite reports that the same refutation count is
/// alive. All processes that learn of a death act on it within this time, so a later report comes
/// from a process that has received a message from the member since.
const DEATH_HOLD_US: Micros = 60_000_000;
/// The time that a member has to refute a death reported by another process, which has already
/// waited for a refutation.
const REPORTED_DEATH_SUSPICION_US: Micros = 2_000_000;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberState {
    /// The member answers.
    Alive,
    /// The member did not answer some process.
    Suspect {
        /// The time at which the member is declared dead unless it refutes the suspicion before.
        deadline: Timestamp,
    },
    /// The member was declared dead.
    Dead {
        /// The time at which it was declared dead.
        since: Timestamp,
    },
    /// The member has announced that it leaves.
    Left {
        /// The time at which the announcement was received.
        since: Timestamp,
    },
}

/// The evidence that a transition is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// Another process reports this state.
    Reported(ReportedState),
    /// The member itself sent a message.
    MessageReceived,
    /// The deadline to refute a suspicion has passed.
    SuspicionExpired,
}

/// The times that a transition may need.
#[derive(Clone, Copy, Debug)]
pub(super) struct TransitionTimes {
    /// The current time.
    pub(super) now: Timestamp,
    /// The deadline of a suspicion that begins now.
    pub(super) suspicion_deadline: Timestamp,
}

/// The result of applying evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    /// The member's state or its refutation count changes.
    To(MemberState),
    /// The evidence contains nothing new.
    Unchanged,
    /// The known state is newer than the evidence.
    Stale,
}

impl MemberState {
    /// Returns the transition for `evidence`; `refutations` is the order of its refutation count
    /// relative to the known one. The module documentation has the transition table.
    pub(super) fn transition(
        self,
        evidence: Evidence,
        refutations: Ordering,
        times: TransitionTimes,
    ) -> Transition {
        use Evidence::{MessageReceived, Reported, SuspicionExpired};
        use MemberState::{Alive, Dead, Left, Suspect};
        use Ordering::{Equal, Greater, Less};

        let TransitionTimes { now, .. } = times;
        match (self, evidence, refutations) {
            (Suspect { .. }, SuspicionExpired, _) => Transition::To(Dead { since: now }),
            (_, SuspicionExpired, _) => Transition::Unchanged,

            (Left { .. }, Reported(ReportedState::Left), _) => Transition::Unchanged,
            (Left { .. }, _, _) => Transition::Stale,
            (_, Reported(ReportedState::Left), _) => Transition::To(Left { since: now }),

            (_, Reported(ReportedState::Alive) | MessageReceived, Less) => Transition::Stale,
            (_, Reported(_), Less) => Transition::Unchanged,

            (Suspect { .. } | Dead { .. }, MessageReceived, Equal) => Transition::To(Alive),
            (_, Reported(ReportedState::Alive) | MessageReceived, Greater) => Transition::To(Alive),
            (_, Reported(report), Greater) => Transition::To(times.suspect_state(report)),

            (Dead { since }, Reported(ReportedState::Alive), Equal)
                if now < since + DEATH_HOLD_US =>
            {
                Transition::Stale
            }
            (Dead { .. }, Reported(ReportedState::Alive), Equal) => Transition::To(Alive),
            (Alive, Reported(report @ (ReportedState::Suspect | ReportedState::Dead)), Equal) => {
                Transition::To(times.suspect_state(report))
            }
            (_, Reported(_) | MessageReceived, Equal) => Transition::Unchanged,
        }
    }

    /// Returns whether the member counts as live.
    pub(super) fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect { .. })
    }

    /// Returns the state in the form of the public API.
    pub(super) fn liveness(self) -> Liveness {
        match self {
            MemberState::Alive => Liveness::Alive,
            MemberState::Suspect { .. } => Liveness::Suspected,
            MemberState::Dead { .. } | MemberState::Left { .. } => Liveness::Gone,
        }
    }

    /// Returns the state to report to the member itself, or to a process that considers it alive,
    /// so that the member refutes it. Returns `None` if there is nothing to refute: the member is
    /// alive, or has been dead for so long that all others accept a report that it is alive.
    pub(super) fn reported_state(self, now: Timestamp) -> Option<ReportedState> {
        match self {
            MemberState::Alive => None,
            MemberState::Suspect { .. } => Some(ReportedState::Suspect),
            MemberState::Dead { since } if now >= since + DEATH_HOLD_US => None,
            MemberState::Dead { .. } => Some(ReportedState::Dead),
            MemberState::Left { .. } => Some(ReportedState::Left),
        }
    }
}

impl TransitionTimes {
    /// Returns the suspicion that results from a reported suspicion or death.
    fn suspect_state(self, report: ReportedState) -> MemberState {
        let deadline = match report {
            ReportedState::Dead => self
                .suspicion_deadline
                .min(self.now + REPORTED_DEATH_SUSPICION_US),
            _ => self.suspicion_deadline,
        };
        MemberState::Suspect { deadline }
    }
}

#[cfg(test)]
mod tests;
