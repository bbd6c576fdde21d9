//! The voter role: the candidate that has its vote, and the expiry of that promise.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Waiting` | the waiting time ends | `Free` |
//! | `Waiting` | vote request | `Waiting`, vote denied |
//! | `Free` | vote request | `Promised` |
//! | `Promised` | the promise expires | `Free` |
//! | `Promised` | vote request of the same candidate, same or later term | `Promised`, extended |
//! | `Promised` | any other vote request | `Promised`, vote denied |
//! | `Promised` to its own process | its own process withdraws its candidacy | `Free` |

use crate::{Epoch, LeaseSettings, ProcessId, SafetyRule, Timestamp};

/// The promise that a voter has given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VoterState {
    /// The voter has just started and denies its vote, because an earlier incarnation may have
    /// promised it.
    Waiting {
        /// When every promise of an earlier incarnation has expired.
        until: Timestamp,
    },
    /// The vote is promised to no candidate.
    Free,
    /// The vote is promised to one candidate.
    Promised {
        /// The candidate's term.
        epoch: Epoch,
        /// When the voter may vote for another candidate.
        expires_at: Timestamp,
    },
}

/// A process that votes in the election of the grantor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    state: VoterState,
    highest_term: u64,
}

impl Voter {
    /// Creates a voter that starts now.
    pub fn new(now: Timestamp, settings: &LeaseSettings) -> Voter {
        let state = if settings.rules.enforces(SafetyRule::StartingVoterWaits) {
            VoterState::Waiting {
                until: now + settings.durations.vote_hold,
            }
        } else {
            VoterState::Free
        };
        Voter {
            state,
            highest_term: 0,
        }
    }

    /// Returns the state at a time, with expiry applied.
    pub fn state_at(&self, now: Timestamp) -> VoterState {
        match self.state {
            VoterState::Waiting { until } if now >= until => VoterState::Free,
            VoterState::Promised { expires_at, .. } if now >= expires_at => VoterState::Free,
            state => state,
        }
    }

    /// Handles a candidate's request for a vote; returns whether the vote is granted.
    pub fn record_vote(
        &mut self,
        now: Timestamp,
        candidate: Epoch,
        settings: &LeaseSettings,
    ) -> bool {
        self.highest_term = self.highest_term.max(candidate.number);
        let is_granted = match self.state_at(now) {
            VoterState::Waiting { .. } => false,
            VoterState::Free => true,
            VoterState::Promised { epoch, .. } => {
                // A candidate that begins a new term has already ended its previous one, so its
                // vote may move to the new term.
                let is_other = (epoch.process, epoch.incarnation)
                    != (candidate.process, candidate.incarnation);
                let is_forbidden = is_other && settings.rules.enforces(SafetyRule::OneVoteAtATime);
                let is_stale = epoch.number > candidate.number;
                !is_forbidden && !is_stale
            }
        };
        if is_granted {
            self.state = VoterState::Promised {
                epoch: candidate,
                expires_at: now + settings.durations.vote_hold,
            };
        }
        is_granted
    }

    /// Cancels the vote for its own process, which has withdrawn its candidacy.
    pub fn withdraw_own_vote(&mut self, own: ProcessId) {
        if matches!(self.state, VoterState::Promised { epoch, .. } if epoch.process == own) {
            self.state = VoterState::Free;
        }
    }

    /// Returns the term to which the vote is currently promised.
    pub fn votes_for(&self, now: Timestamp) -> Option<Epoch> {
        match self.state_at(now) {
            VoterState::Promised { epoch, .. } => Some(epoch),
            VoterState::Waiting { .. } | VoterState::Free => None,
        }
    }

    /// Returns the highest term number that the voter knows of.
    pub fn highest_term(&self) -> u64 {
        self.highest_term
    }
}
