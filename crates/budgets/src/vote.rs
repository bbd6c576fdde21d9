//! One grantor at a time, by a majority lease. A voter promises its vote to one claimant for a
//! while; who has the votes of a majority is the grantor until the first of them may lapse. Two
//! majorities share a voter, so there are never two. Nothing is logged: what must outlive a process
//! is waited out instead.

use crate::{Epoch, Guard, Incarnation, Micros, ProcessId, Rules};
use std::collections::BTreeMap;

/// A voter's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// Whom it votes for, and until when it votes for no other.
    promised: Option<(Epoch, Micros)>,
    /// From when on it votes at all.
    votes_from: Micros,
    /// The highest number it has heard of, for those that come after.
    highest: u64,
}

impl Voter {
    /// A voter that starts now. What it promised in a life before is waited out.
    pub fn new(now: Micros, rules: &Rules) -> Voter {
        let wait = if rules.guards.stands(Guard::VoterWaits) {
            rules.terms.promise
        } else {
            0
        };
        Voter {
            promised: None,
            votes_from: now + wait,
            highest: 0,
        }
    }

    /// Answers a claim: whether it has this vote.
    pub fn claimed(&mut self, now: Micros, epoch: Epoch, rules: &Rules) -> bool {
        let bound = self.promised.filter(|(_, until)| now < *until);
        // A claimant in its next term has given up its last one itself.
        let other = bound
            .is_some_and(|(held, _)| (held.by, held.incarnation) != (epoch.by, epoch.incarnation));
        let stale = bound.is_some_and(|(held, _)| held.number > epoch.number);
        self.highest = self.highest.max(epoch.number);
        if now < self.votes_from || (other && rules.guards.stands(Guard::OneVote)) || stale {
            return false;
        }
        self.promised = Some((epoch, now + rules.terms.promise));
        true
    }

    /// Takes back the vote that it gave to the claimant of its own process, which has given its
    /// claim up.
    pub fn release_of(&mut self, own: ProcessId) {
        self.promised = self.promised.filter(|(held, _)| held.by != own);
    }

    /// Whom it votes for now.
    pub fn votes_for(&self, now: Micros) -> Option<Epoch> {
        self.promised
            .filter(|(_, until)| now < *until)
            .map(|(epoch, _)| epoch)
    }

    /// The highest number of a term that it has heard of.
    pub fn highest(&self) -> u64 {
        self.highest
    }
}

/// A claimant's side: its term, as far as it has one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leadership {
    epoch: Option<Epoch>,
    /// When each voter was last asked for the vote that it gave.
    votes: BTreeMap<ProcessId, Micros>,
    /// From when on it has had a majority in this epoch.
    since: Option<Micros>,
    highest: u64,
}

impl Leadership {
    /// Begins a term, numbered above `floor`, or goes on with the one there is. Gives the epoch to
    /// claim votes for. The caller has looked whether the last term has lapsed.
    pub fn claim(&mut self, by: ProcessId, incarnation: Incarnation, floor: u64) -> Epoch {
        if self.since.is_some() || self.epoch.is_some_and(|epoch| epoch.number >= self.highest) {
            if let Some(epoch) = self.epoch {
                return epoch;
            }
        }
        let number = self.highest.max(floor) + 1;
        let epoch = Epoch {
            number,
            by,
            incarnation,
        };
        *self = Leadership {
            epoch: Some(epoch),
            highest: number,
            ..Leadership::default()
        };
        epoch
    }

    /// Takes a vote for an epoch in, which was asked for at `sent`.
    pub fn voted(
        &mut self,
        now: Micros,
        (voter, epoch, sent): (ProcessId, Epoch, Micros),
        voters: usize,
        rules: &Rules,
    ) {
        if self.epoch != Some(epoch) || sent > now {
            return;
        }
        let vote = self.votes.entry(voter).or_insert(sent);
        *vote = sent.max(*vote);
        if self.since.is_none() && self.until(voters, rules).is_some_and(|until| now < until) {
            self.since = Some(now);
        }
    }

    /// Hears of a term of another, or of a vote that it was refused.
    pub fn heard(&mut self, number: u64) {
        self.highest = self.highest.max(number);
    }

    /// Until when the votes of a majority serve it.
    fn until(&self, voters: usize, rules: &Rules) -> Option<Micros> {
        let span = match rules.guards.stands(Guard::ClaimEndsFirst) {
            true => rules.terms.claim,
            false => rules.terms.promise * 2,
        };
        let mut sent: Vec<Micros> = self.votes.values().copied().collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(voters / 2).map(|sent| sent + span)
    }

    /// The term it is in office for, and since when. One that lapsed is over.
    pub fn look(&mut self, now: Micros, voters: usize, rules: &Rules) -> Option<(Epoch, Micros)> {
        let (epoch, since) = (self.epoch?, self.since?);
        if self.until(voters, rules).is_some_and(|until| now < until) {
            return Some((epoch, since));
        }
        if rules.guards.stands(Guard::Epoch) {
            self.resign();
        }
        None
    }

    /// Gives a claim that has not come to a majority up for a higher one of another, so that two
    /// who claim at once do not keep each other's votes for ever. What votes come for it then
    /// count for nothing.
    pub fn gives_way(&mut self, to: Epoch) -> bool {
        self.epoch.is_some_and(|own| own < to && own.by != to.by) && self.drop_claim(to)
    }

    /// Gives a claim up that was refused for another's.
    pub fn gives_up(&mut self, claimed: Epoch, other: Epoch) -> bool {
        self.epoch == Some(claimed) && other.by != claimed.by && self.drop_claim(other)
    }

    fn drop_claim(&mut self, to: Epoch) -> bool {
        let dropped = self.since.is_none();
        if dropped {
            self.heard(to.number);
            self.resign();
        }
        dropped
    }

    /// Gives the term up, or the claim. The next has another epoch.
    pub fn resign(&mut self) {
        let highest = self.highest.max(self.epoch.map_or(0, |epoch| epoch.number));
        *self = Leadership {
            highest,
            ..Leadership::default()
        };
    }

    /// Whether it came to a majority, when it last looked.
    pub fn has_majority(&self) -> bool {
        self.since.is_some()
    }
}
