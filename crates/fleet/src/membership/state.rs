//! The state machine of one member, as one process sees it.
//!
//! Evidence about a member is a report by another process, a message of the member itself, or the
//! end of a suspicion. A report names a refutation count, which is lower than, equal to or higher
//! than the known one. The first row that fits decides:
//!
//! | state | evidence | refutation count | next state |
//! | --- | --- | --- | --- |
//! | suspect | suspicion ended | | dead |
//! | left | reported left | | unchanged |
//! | left | any other | | outranked: an incarnation that has left stays so |
//! | any | reported left | | left |
//! | any | reported alive, or heard | lower | outranked |
//! | any | reported suspect or dead | lower | unchanged: refuted already |
//! | suspect, dead | heard | equal | alive: hearing a member is the best evidence there is |
//! | any | reported alive, or heard | higher | alive |
//! | any | reported suspect or dead | higher | suspect |
//! | dead for less than [`DEATH_HOLD_US`] | reported alive | equal | outranked |
//! | dead | reported alive | equal | alive |
//! | alive | reported suspect or dead | equal | suspect |
//! | any other | | equal | unchanged |
//!
//! A report of a death only leads to a suspicion: a process takes a member for dead by its own clock
//! alone.

use super::member::Liveness;
use super::message::ReportedState;
use super::{Micros, Timestamp};
use std::cmp::Ordering;

/// For how long a member that was taken for dead stays so against reports that the same refutation
/// count is alive. All processes that hear of a death act on it within this time, so a later report
/// comes from a process that has heard the member since.
const DEATH_HOLD_US: Micros = 60_000_000;
/// How long a member has to refute a death that another process reports: that process has waited
/// for the refutation already.
const REPORTED_DEATH_SUSPICION_US: Micros = 2_000_000;

/// How a member is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberState {
    /// The member answers.
    Alive,
    /// The member did not answer some process.
    Suspect {
        /// When the member is taken for dead, unless it refutes the suspicion before.
        deadline: Timestamp,
    },
    /// The member was taken for dead.
    Dead {
        /// When it was.
        since: Timestamp,
    },
    /// The member has announced that it leaves.
    Left {
        /// When the announcement was received.
        since: Timestamp,
    },
}

/// What a transition is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// Another process reports this state.
    Reported(ReportedState),
    /// The member itself sent a message.
    MessageReceived,
    /// The time to refute a suspicion is over.
    SuspicionExpired,
}

/// The instants that a transition may need.
#[derive(Clone, Copy, Debug)]
pub(super) struct TransitionTimes {
    /// The present.
    pub(super) now: Timestamp,
    /// When a suspicion that begins now ends.
    pub(super) suspicion_deadline: Timestamp,
}

/// What evidence leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    /// The member's state or its refutation count changes.
    To(MemberState),
    /// The evidence says nothing new.
    Unchanged,
    /// What is known is newer than the evidence.
    Stale,
}

impl MemberState {
    /// The transition that evidence leads to; `refutations` compares its refutation count with the
    /// known one. The module's text has the table.
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

    /// Whether the member counts as up.
    pub(super) fn is_up(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect { .. })
    }

    /// The form of the state that callers of the crate see.
    pub(super) fn liveness(self) -> Liveness {
        match self {
            MemberState::Alive => Liveness::Alive,
            MemberState::Suspect { .. } => Liveness::Suspected,
            MemberState::Dead { .. } | MemberState::Left { .. } => Liveness::Gone,
        }
    }

    /// The state as it is reported to the member itself, or to a process that takes it for alive, so
    /// that the member refutes it. `None` if there is nothing to refute: the member is alive, or has
    /// been dead for so long that all others take a report that it is alive.
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
    /// The suspicion that a report of a suspicion or of a death leads to.
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
