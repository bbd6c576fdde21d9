//! The candidate and grantor: its term, and the votes for it.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Follower` | campaign | `Candidate` of a new epoch |
//! | `Candidate` | votes of a majority | `Grantor` |
//! | `Candidate` | vote request of a higher epoch, or refusal for another candidate | `Follower` |
//! | `Candidate` | campaign, after a higher term became known | `Candidate` of a new epoch |
//! | `Grantor` | further votes for its epoch | `Grantor`, for longer |
//! | `Grantor` | the votes of its majority expired | `Follower` |
//! | any | the list of voters changed | `Follower` |

use crate::{Epoch, Incarnation, LeaseSettings, Micros, ProcessId, SafetyRule, Timestamp};
use std::collections::BTreeMap;

/// When each voter was last sent the request that it answered with its vote.
type Votes = BTreeMap<ProcessId, Timestamp>;

/// The part that a process has in the election.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Term {
    /// Neither candidate nor grantor.
    #[default]
    Follower,
    /// Without a majority so far.
    Candidate {
        /// The term it campaigns for.
        epoch: Epoch,
        /// The votes for it.
        votes: Votes,
    },
    /// Elected by a majority.
    Grantor {
        /// The term.
        epoch: Epoch,
        /// The votes for it.
        votes: Votes,
        /// When it first had a majority in this term.
        since: Timestamp,
    },
}

/// A vote that a candidate received.
#[derive(Clone, Copy, Debug)]
pub struct Vote {
    /// Who voted.
    pub voter: ProcessId,
    /// The term that the vote is for.
    pub epoch: Epoch,
    /// When the candidate sent the request, by its own clock.
    pub sent_at: Timestamp,
}

/// The term in which a process is the grantor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveTerm {
    /// The term.
    pub epoch: Epoch,
    /// When the process first had a majority in this term.
    pub since: Timestamp,
}

/// A process's candidacy or term, and the highest term that it knows of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leadership {
    term: Term,
    highest_term: u64,
}

impl Leadership {
    /// The epoch to ask votes for: the one there is, or a new one numbered above `floor`. The
    /// caller has applied expiry with [`Leadership::current_term`].
    pub fn campaign(&mut self, process: ProcessId, incarnation: Incarnation, floor: u64) -> Epoch {
        match self.term {
            Term::Grantor { epoch, .. } => return epoch,
            Term::Candidate { epoch, .. } if epoch.number >= self.highest_term => return epoch,
            Term::Candidate { .. } | Term::Follower => {}
        }
        let epoch = Epoch {
            number: self.highest_term.max(floor) + 1,
            process,
            incarnation,
        };
        self.highest_term = epoch.number;
        self.term = Term::Candidate {
            epoch,
            votes: Votes::new(),
        };
        epoch
    }

    /// Counts a vote. A candidate with the votes of a majority becomes the grantor.
    pub fn record_vote(
        &mut self,
        now: Timestamp,
        vote: Vote,
        voters: usize,
        settings: &LeaseSettings,
    ) {
        let (epoch, votes) = match &mut self.term {
            Term::Candidate { epoch, votes } | Term::Grantor { epoch, votes, .. } => (epoch, votes),
            Term::Follower => return,
        };
        if *epoch != vote.epoch || vote.sent_at > now {
            return;
        }
        let sent_at = votes.entry(vote.voter).or_insert(vote.sent_at);
        *sent_at = vote.sent_at.max(*sent_at);
        if let Term::Candidate { epoch, votes } = &mut self.term {
            if expires_at(votes, voters, settings).is_some_and(|expires_at| now < expires_at) {
                self.term = Term::Grantor {
                    epoch: *epoch,
                    votes: std::mem::take(votes),
                    since: now,
                };
            }
        }
    }

    /// Learns the number of a term of another candidate.
    pub fn record_highest_term(&mut self, number: u64) {
        self.highest_term = self.highest_term.max(number);
    }

    /// The term in which this process is the grantor. A term whose votes have expired ends.
    pub fn current_term(
        &mut self,
        now: Timestamp,
        voters: usize,
        settings: &LeaseSettings,
    ) -> Option<ActiveTerm> {
        let Term::Grantor {
            epoch,
            votes,
            since,
        } = &self.term
        else {
            return None;
        };
        if expires_at(votes, voters, settings).is_some_and(|expires_at| now < expires_at) {
            return Some(ActiveTerm {
                epoch: *epoch,
                since: *since,
            });
        }
        if settings.rules.enforces(SafetyRule::ExpiredTermEnds) {
            self.step_down();
        }
        None
    }

    /// Withdraws a candidacy in favour of a higher epoch, so that two candidates do not keep each
    /// other from a majority for ever. Returns whether it did.
    pub fn yield_to_higher(&mut self, other: Epoch) -> bool {
        self.withdraw_if(other, |own| own < other && own.process != other.process)
    }

    /// Withdraws a candidacy that a voter refused for another candidate. Returns whether it did.
    pub fn yield_to_voted(&mut self, refused: Epoch, other: Epoch) -> bool {
        self.withdraw_if(other, |own| {
            own == refused && other.process != refused.process
        })
    }

    fn withdraw_if(&mut self, other: Epoch, is_superseded: impl Fn(Epoch) -> bool) -> bool {
        let withdraws =
            matches!(&self.term, Term::Candidate { epoch, .. } if is_superseded(*epoch));
        if withdraws {
            self.record_highest_term(other.number);
            self.step_down();
        }
        withdraws
    }

    /// Ends the term or the candidacy. The next has another epoch.
    pub fn step_down(&mut self) {
        match std::mem::take(&mut self.term) {
            Term::Candidate { epoch, .. } | Term::Grantor { epoch, .. } => {
                self.record_highest_term(epoch.number);
            }
            Term::Follower => {}
        }
    }

    /// Whether it was the grantor when expiry was last applied.
    pub fn has_majority(&self) -> bool {
        matches!(self.term, Term::Grantor { .. })
    }
}

/// When the term ends: when the first vote of the majority that was asked last ends. `None` without
/// a majority.
fn expires_at(votes: &Votes, voters: usize, settings: &LeaseSettings) -> Option<Timestamp> {
    let ttl: Micros = if settings
        .rules
        .enforces(SafetyRule::LeadershipExpiresAtGrantorFirst)
    {
        settings.durations.leadership_ttl
    } else {
        settings.durations.vote_hold * 2
    };
    let mut sent: Vec<Timestamp> = votes.values().copied().collect();
    sent.sort_unstable_by(|a, b| b.cmp(a));
    sent.get(voters / 2).map(|sent_at| sent_at + ttl)
}
