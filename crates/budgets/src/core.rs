//! One process: voter, claimant, grantor and holder. It answers messages and says nothing of its
//! own accord; [`node`] says when it asks.
//!
//! [`node`]: crate::node

use crate::grants::{Grants, LeaseRequest, Total};
use crate::holder::{Grant, Holder};
use crate::vote::{Leadership, Voter};
use crate::{Epoch, Guard, Incarnation, Micros, ProcessId, Rules, Share, Units};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What processes say to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// Asks a voter for its vote.
    VoteRequest {
        /// The term.
        epoch: Epoch,
        /// When it was asked for, by the claimant's clock.
        sent: Micros,
    },
    /// A voter's answer.
    VoteResponse {
        /// The term that was claimed.
        epoch: Epoch,
        /// As it stood in the claim.
        sent: Micros,
        /// Whether it has the vote.
        yes: bool,
        /// Whom the voter votes for now.
        votes_for: Option<Epoch>,
        /// The highest number that the voter has heard of.
        highest: u64,
    },
    /// Asks the grantor for a share of the whole with this key.
    LeaseRequest(u64, LeaseRequest),
    /// The grantor's answer to this life.
    LeaseResponse(u64, Incarnation, Grant),
    /// The grantor wants to be asked again: another is due what is held.
    Recall(u64),
    /// The one that was asked is not the grantor; it votes for this one.
    NotLeader(Option<Epoch>),
}

/// See the module's text.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Core {
    /// As others reach it.
    pub id: ProcessId,
    /// This life of it.
    pub incarnation: Incarnation,
    voters: Vec<ProcessId>,
    voter: Option<Voter>,
    leadership: Leadership,
    grants: BTreeMap<u64, Grants>,
    holders: BTreeMap<u64, Holder>,
    grantor: Option<Epoch>,
}

/// The most wholes that a grantor keeps account of.
const WHOLES_MOST: usize = 10_000;

impl Core {
    /// A process that starts now and remembers nothing.
    pub fn new(
        now: Micros,
        id: ProcessId,
        incarnation: Incarnation,
        voters: &[ProcessId],
        rules: &Rules,
    ) -> Core {
        Core {
            id,
            incarnation,
            voters: voters.to_vec(),
            voter: voters.contains(&id).then(|| Voter::new(now, rules)),
            leadership: Leadership::default(),
            grants: BTreeMap::new(),
            holders: BTreeMap::new(),
            grantor: None,
        }
    }

    /// The voters.
    pub fn voters(&self) -> &[ProcessId] {
        &self.voters
    }

    /// Other voters, from another file. Majorities of lists that differ by one share a voter. Votes
    /// that were given by the list before count for nothing more, so a term ends here.
    pub fn set_voters(&mut self, now: Micros, voters: &[ProcessId], rules: &Rules) {
        if self.voters == voters {
            return;
        }
        self.voters = voters.to_vec();
        self.leadership.resign();
        self.grants.clear();
        if !voters.contains(&self.id) {
            self.voter = None;
        } else if self.voter.is_none() {
            self.voter = Some(Voter::new(now, rules));
        }
    }

    /// Whether it votes, so that it may claim.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// The term it is in office for.
    pub fn leadership_epoch(&mut self, now: Micros, rules: &Rules) -> Option<Epoch> {
        let held = self.leadership.look(now, self.voters.len(), rules);
        if held.is_none() && rules.guards.stands(Guard::Epoch) {
            self.grants.clear();
        }
        held.map(|(epoch, _)| epoch)
    }

    /// Whom it votes for, or takes for the grantor if it does not vote.
    pub fn grantor(&self, now: Micros) -> Option<Epoch> {
        let voted = self.voter.as_ref().and_then(|voter| voter.votes_for(now));
        voted
            .filter(|epoch| epoch.by != self.id || self.leadership.has_majority())
            .or(self.grantor)
    }

    /// Forgets whom it took for the grantor: it does not answer.
    pub fn forget_grantor(&mut self) {
        self.grantor = None;
    }

    /// Claims a majority, for the term that there is or for the next, which is numbered above
    /// `floor`. Gives the claim for the other voters; its own vote it takes itself.
    pub fn claim(&mut self, now: Micros, floor: u64, rules: &Rules) -> Option<Message> {
        self.leadership_epoch(now, rules);
        let voters = self.voters.len();
        let voter = self.voter.as_mut()?;
        let epoch = self
            .leadership
            .claim(self.id, self.incarnation, floor.max(voter.highest()));
        if !voter.claimed(now, epoch, rules) {
            return None;
        }
        self.leadership
            .voted(now, (self.id, epoch, now), voters, rules);
        Some(Message::VoteRequest { epoch, sent: now })
    }

    /// A question for a share, for whoever is the grantor. Each question is for one process only.
    pub fn ask(
        &mut self,
        now: Micros,
        key: u64,
        whole: Total,
        (demand, weight): (Units, u32),
        in_use: Share,
        rules: &Rules,
    ) -> Message {
        let (question, held) = self.holders.entry(key).or_default().ask(now, in_use, rules);
        let incarnation = self.incarnation;
        Message::LeaseRequest(
            key,
            LeaseRequest {
                incarnation,
                question,
                held,
                demand,
                weight,
                whole,
                leaves: false,
            },
        )
    }

    /// Gives a share back; nothing more is spent of it.
    pub fn leave(
        &mut self,
        now: Micros,
        key: u64,
        whole: Total,
        in_use: Share,
        rules: &Rules,
    ) -> Message {
        let holder = self.holders.entry(key).or_default();
        holder.drop_share();
        let (question, held) = holder.ask(now, in_use, rules);
        holder.drop_share();
        let incarnation = self.incarnation;
        Message::LeaseRequest(
            key,
            LeaseRequest {
                incarnation,
                question,
                held,
                demand: 0,
                weight: 1,
                whole,
                leaves: true,
            },
        )
    }

    /// What it holds of a whole.
    pub fn holder(&self, key: u64) -> Option<&Holder> {
        self.holders.get(&key)
    }

    /// What may be spent of a whole at this moment, beside the floor.
    pub fn share(&self, now: Micros, key: u64, rules: &Rules) -> Share {
        self.holders
            .get(&key)
            .map_or(Share::default(), |holder| holder.share(now, rules))
    }

    /// Forgets wholes that are no longer in the file.
    pub fn keep(&mut self, keys: impl Fn(u64) -> bool) {
        self.holders.retain(|key, _| keys(*key));
    }

    /// A process is thought to be lost.
    pub fn lost(&mut self, incarnation: Incarnation, rules: &Rules) {
        self.grants
            .values_mut()
            .for_each(|grants| grants.lost(incarnation, rules));
    }

    /// What is given of a whole, and to how many, if this is the grantor.
    pub fn given(&self, now: Micros, key: u64) -> Option<(Units, usize)> {
        self.grants.get(&key).map(|grants| grants.given(now))
    }

    /// Takes a message in. Gives the keys whose share has changed.
    pub fn take(
        &mut self,
        now: Micros,
        from: ProcessId,
        message: Message,
        rules: &Rules,
        out: &mut Vec<(ProcessId, Message)>,
    ) -> Option<u64> {
        match message {
            Message::VoteRequest { epoch, sent } => {
                let Some(voter) = &mut self.voter else {
                    return None;
                };
                if self.leadership.gives_way(epoch) {
                    voter.release_of(self.id);
                }
                let yes = voter.claimed(now, epoch, rules);
                let (votes_for, highest) = (voter.votes_for(now), voter.highest());
                out.push((
                    from,
                    Message::VoteResponse {
                        epoch,
                        sent,
                        yes,
                        votes_for,
                        highest,
                    },
                ));
                None
            }
            Message::VoteResponse {
                epoch,
                sent,
                yes,
                votes_for,
                highest,
            } => {
                self.leadership_epoch(now, rules);
                self.leadership.heard(highest);
                if !yes && votes_for.is_some_and(|other| self.leadership.gives_up(epoch, other)) {
                    // It may be the grantor: its own vote is not to keep it from that, nor this
                    // process from asking it.
                    self.grantor = votes_for;
                    if let Some(voter) = &mut self.voter {
                        voter.release_of(self.id);
                    }
                }
                if yes && self.voters.contains(&from) {
                    self.leadership
                        .voted(now, (from, epoch, sent), self.voters.len(), rules);
                }
                None
            }
            Message::LeaseRequest(key, ask) => {
                self.asked(now, from, key, &ask, rules, out);
                None
            }
            Message::LeaseResponse(key, incarnation, given) => {
                let holder = self
                    .holders
                    .get_mut(&key)
                    .filter(|_| incarnation == self.incarnation)?;
                holder.given(now, given, rules).then_some(key)
            }
            Message::Recall(key) => self.holders.contains_key(&key).then_some(key),
            Message::NotLeader(epoch) => {
                self.grantor = epoch;
                None
            }
        }
    }

    fn asked(
        &mut self,
        now: Micros,
        from: ProcessId,
        key: u64,
        ask: &LeaseRequest,
        rules: &Rules,
        out: &mut Vec<(ProcessId, Message)>,
    ) {
        let voters = self.voters.len();
        if self.leadership_epoch(now, rules).is_none() {
            if !ask.leaves {
                out.push((
                    from,
                    Message::NotLeader(self.grantor(now).filter(|epoch| epoch.by != self.id)),
                ));
            }
            return;
        }
        let since = self
            .leadership
            .look(now, voters, rules)
            .map_or(now, |(_, since)| since);
        let wait = rules.terms.hold + ask.whole.linger;
        let fresh = now < since + wait && rules.guards.stands(Guard::Quarantine);
        if !self.grants.contains_key(&key) && self.grants.len() >= WHOLES_MOST {
            return;
        }
        let mut recall = Vec::new();
        let grants = self.grants.entry(key).or_default();
        if let Some(given) = grants.asked(now, from, ask, (fresh, voters), rules, &mut recall) {
            out.push((from, Message::LeaseResponse(key, ask.incarnation, given)));
        }
        out.extend(recall.into_iter().map(|of| (of, Message::Recall(key))));
    }
}
