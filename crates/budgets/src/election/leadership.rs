//! The candidate and grantor role: the current term and the votes for it.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `Follower` | campaign | `Candidate` of a new epoch |
//! | `Candidate` | votes of a majority | `Grantor` |
//! | `Candidate` | vote request of a higher epoch, or vote denied in favour of another candidate | `Follower` |
//! | `Candidate` | campaign, after a higher term became known | `Candidate` of a new epoch |
//! | `Grantor` | further votes for its epoch | `Grantor`, term extended |
//! | `Grantor` | the votes of its majority expired | `Follower` |
//! | any | the list of voters changed | `Follower` |

use crate::{Epoch, Incarnation, LeaseSettings, Micros, ProcessId, SafetyRule, Timestamp};
use std::collections::BTreeMap;

/// For each voter that gave its vote, the time at which the latest answered request was sent.
type Votes = BTreeMap<ProcessId, Timestamp>;

/// The role of a process in the election.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Term {
    /// Neither candidate nor grantor.
    #[default]
    Follower,
    /// Campaigning, without a majority so far.
    Candidate {
        /// The term that it campaigns for.
        epoch: Epoch,
        /// The votes received for the term.
        votes: Votes,
    },
    /// Elected by a majority.
    Grantor {
        /// The term.
        epoch: Epoch,
        /// The votes received for the term.
        votes: Votes,
        /// When it first had a majority in this term.
        since: Timestamp,
    },
}

/// A vote that a candidate received.
#[derive(Clone, Copy, Debug)]
pub struct Vote {
    /// The process that voted.
    pub voter: ProcessId,
    /// The term that the vote is for.
    pub epoch: Epoch,
    /// When the candidate sent the vote request, on its own clock.
    pub sent_at: Timestamp,
}

/// A term in which a process is currently the grantor.
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
    /// Starts or continues a campaign and returns its epoch: the current epoch, or a new one with a
    /// number above `floor`. The caller must have applied expiry with [`Leadership::current_term`].
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

    /// Records the term number of another candidate.
    pub fn record_highest_term(&mut self, number: u64) {
        self.highest_term = self.highest_term.max(number);
    }

    /// Returns the term in which this process is the grantor. Ends a term whose votes have expired.
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

    /// Withdraws a candidacy in favour of a higher epoch, so that two candidates do not split the
    /// votes forever. Returns whether the candidacy was withdrawn.
    pub fn withdraw_for_higher_epoch(&mut self, other: Epoch) -> bool {
        self.withdraw_if(other, |own| own < other && own.process != other.process)
    }

    /// Withdraws the candidacy `denied` if a voter denied its vote because it had promised it to
    /// `other`. Returns whether the candidacy was withdrawn.
    pub fn withdraw_for_promised_vote(&mut self, denied: Epoch, other: Epoch) -> bool {
        self.withdraw_if(other, |own| {
            own == denied && other.process != denied.process
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

    /// Ends the term or the candidacy. The next one has a new epoch.
    pub fn step_down(&mut self) {
        match std::mem::take(&mut self.term) {
            Term::Candidate { epoch, .. } | Term::Grantor { epoch, .. } => {
                self.record_highest_term(epoch.number);
            }
            Term::Follower => {}
        }
    }

    /// Returns whether this process was the grantor when expiry was last applied.
    pub fn has_majority(&self) -> bool {
        matches!(self.term, Term::Grantor { .. })
    }
}

/// Returns when the term expires: when the earliest vote of the most recent majority expires.
/// `None` without a majority.
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
