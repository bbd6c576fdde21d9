//! The voter: which candidate has its vote, and until when.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Waiting` | its time has passed | `Free` |
//! | `Waiting` | vote request | `Waiting`, refused |
//! | `Free` | vote request | `Promised` |
//! | `Promised` | its time has passed | `Free` |
//! | `Promised` | vote request of the same candidate, no older term | `Promised`, for longer |
//! | `Promised` | any other vote request | `Promised`, refused |
//! | `Promised` to its own process | its own process withdraws its candidacy | `Free` |

use crate::{Epoch, LeaseSettings, ProcessId, SafetyRule, Timestamp};

/// What a voter has promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VoterState {
    /// The voter has just started and gives no vote: an earlier incarnation may have promised its
    /// vote.
    Waiting {
        /// When every such promise has expired.
        until: Timestamp,
    },
    /// The vote is promised to no candidate.
    Free,
    /// The vote is promised to one candidate.
    Promised {
        /// The candidate's term.
        epoch: Epoch,
        /// Until when the voter votes for no other candidate.
        expires_at: Timestamp,
    },
}

/// A process that may elect the grantor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    state: VoterState,
    highest_term: u64,
}

impl Voter {
    /// A voter that starts now.
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

    /// The state at an instant, with expiry applied.
    pub fn state_at(&self, now: Timestamp) -> VoterState {
        match self.state {
            VoterState::Waiting { until } if now >= until => VoterState::Free,
            VoterState::Promised { expires_at, .. } if now >= expires_at => VoterState::Free,
            state => state,
        }
    }

    /// Votes for a candidate or refuses; returns whether the candidate has the vote.
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
                // A candidate that begins its next term has ended its last one itself.
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

    /// Takes back the vote for its own process, which has withdrawn its candidacy.
    pub fn withdraw_own_vote(&mut self, own: ProcessId) {
        if matches!(self.state, VoterState::Promised { epoch, .. } if epoch.process == own) {
            self.state = VoterState::Free;
        }
    }

    /// The term that has the vote now.
    pub fn votes_for(&self, now: Timestamp) -> Option<Epoch> {
        match self.state_at(now) {
            VoterState::Promised { epoch, .. } => Some(epoch),
            VoterState::Waiting { .. } | VoterState::Free => None,
        }
    }

    /// The highest number of a term that the voter knows of.
    pub fn highest_term(&self) -> u64 {
        self.highest_term
    }
}
