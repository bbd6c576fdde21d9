//! The protocol state of one process: its parts as voter, candidate, grantor and lease holder.
//! Answers messages, and sends nothing of its own accord; [`node`] decides when to ask and to
//! campaign.
//!
//! [`node`]: crate::node

use crate::election::{Leadership, Vote, Voter};
use crate::lease::{Grant, GrantedSum, GrantorContext, Grants, Holder, NumberedRequest, Total};
use crate::message::{Envelope, LeaseRequest, Message};
use crate::{
    BudgetKey, Epoch, Incarnation, LeaseSettings, ProcessId, SafetyRule, Share, Timestamp, Units,
};
use std::collections::BTreeMap;

/// The most budgets that a grantor keeps an account of.
const MAX_GRANTED_BUDGETS: usize = 10_000;

/// The weight in a request that returns a lease.
const RETURN_WEIGHT: u32 = 1;

/// What a process needs of a budget.
#[derive(Clone, Copy, Debug)]
pub struct LeaseDemand {
    /// The total in this process's configuration.
    pub total: Total,
    /// What is asked for here.
    pub demand: Units,
    /// The priority weight of one unit of that demand.
    pub weight: u32,
    /// What running requests take up beyond the floor.
    pub in_use: Share,
}

/// A vote request as it arrived.
#[derive(Clone, Copy)]
struct Candidacy {
    epoch: Epoch,
    sent_at: Timestamp,
}

/// The answer to a vote request as it arrived.
#[derive(Clone, Copy)]
struct VoteAnswer {
    epoch: Epoch,
    sent_at: Timestamp,
    granted: bool,
    votes_for: Option<Epoch>,
    highest_term: u64,
}

/// The protocol state of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Participant {
    /// The process.
    pub id: ProcessId,
    /// Its present incarnation.
    pub incarnation: Incarnation,
    voters: Vec<ProcessId>,
    voter: Option<Voter>,
    leadership: Leadership,
    grants: BTreeMap<BudgetKey, Grants>,
    holders: BTreeMap<BudgetKey, Holder>,
    /// The grantor by the word of others.
    known_grantor: Option<Epoch>,
}

impl Participant {
    /// A process that starts now and remembers nothing.
    pub fn new(
        now: Timestamp,
        id: ProcessId,
        incarnation: Incarnation,
        voters: &[ProcessId],
        settings: &LeaseSettings,
    ) -> Participant {
        Participant {
            id,
            incarnation,
            voters: voters.to_vec(),
            voter: voters.contains(&id).then(|| Voter::new(now, settings)),
            leadership: Leadership::default(),
            grants: BTreeMap::new(),
            holders: BTreeMap::new(),
            known_grantor: None,
        }
    }

    /// The voters.
    pub fn voters(&self) -> &[ProcessId] {
        &self.voters
    }

    /// Takes another list of voters over. Majorities of lists that differ by one voter share a
    /// voter. Votes under the old list no longer count, so a term ends here.
    pub fn set_voters(&mut self, now: Timestamp, voters: &[ProcessId], settings: &LeaseSettings) {
        if self.voters == voters {
            return;
        }
        self.voters = voters.to_vec();
        self.leadership.step_down();
        self.grants.clear();
        if !voters.contains(&self.id) {
            self.voter = None;
        } else if self.voter.is_none() {
            self.voter = Some(Voter::new(now, settings));
        }
    }

    /// Whether this process votes, and so may be elected.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// The term in which this process is the grantor.
    pub fn leadership_epoch(&mut self, now: Timestamp, settings: &LeaseSettings) -> Option<Epoch> {
        let term = self
            .leadership
            .current_term(now, self.voters.len(), settings);
        if term.is_none() && settings.rules.enforces(SafetyRule::ExpiredTermEnds) {
            self.grants.clear();
        }
        term.map(|term| term.epoch)
    }

    /// The grantor as far as it is known here: the term this process votes for, or else the term
    /// that others named.
    pub fn grantor(&self, now: Timestamp) -> Option<Epoch> {
        let voted = self.voter.as_ref().and_then(|voter| voter.votes_for(now));
        voted
            .filter(|epoch| epoch.process != self.id || self.leadership.has_majority())
            .or(self.known_grantor)
    }

    /// Forgets the grantor that others named, as it does not answer.
    pub fn forget_grantor(&mut self) {
        self.known_grantor = None;
    }

    /// Campaigns for the present term or for a new one, which is numbered above `floor`. Votes for
    /// itself, and returns the request for the other voters; `None` if this process has no vote to
    /// give itself.
    pub fn campaign(
        &mut self,
        now: Timestamp,
        floor: u64,
        settings: &LeaseSettings,
    ) -> Option<Message> {
        self.leadership_epoch(now, settings);
        let voter = self.voter.as_mut()?;
        let floor = floor.max(voter.highest_term());
        let epoch = self.leadership.campaign(self.id, self.incarnation, floor);
        if !voter.record_vote(now, epoch, settings) {
            return None;
        }
        let own_vote = Vote {
            voter: self.id,
            epoch,
            sent_at: now,
        };
        self.leadership
            .record_vote(now, own_vote, self.voters.len(), settings);
        Some(Message::VoteRequest {
            epoch,
            sent_at: now,
        })
    }

    /// A request for a share, to be sent to one process.
    pub fn request_lease(
        &mut self,
        now: Timestamp,
        budget: BudgetKey,
        need: &LeaseDemand,
        settings: &LeaseSettings,
    ) -> Message {
        let holder = self.holders.entry(budget).or_default();
        let numbered = holder.begin_request(now, need.in_use, settings);
        self.lease_request(budget, numbered, need, false)
    }

    /// Drops the lease of a budget; returns the request that tells the grantor.
    pub fn return_lease(
        &mut self,
        now: Timestamp,
        budget: BudgetKey,
        total: Total,
        in_use: Share,
        settings: &LeaseSettings,
    ) -> Message {
        let holder = self.holders.entry(budget).or_default();
        holder.drop_lease();
        let numbered = holder.begin_request(now, in_use, settings);
        holder.drop_lease();
        let need = LeaseDemand {
            total,
            demand: 0,
            weight: RETURN_WEIGHT,
            in_use,
        };
        self.lease_request(budget, numbered, &need, true)
    }

    fn lease_request(
        &self,
        budget: BudgetKey,
        numbered: NumberedRequest,
        need: &LeaseDemand,
        returns_lease: bool,
    ) -> Message {
        let request = LeaseRequest {
            incarnation: self.incarnation,
            request_number: numbered.number,
            held: numbered.held,
            demand: need.demand,
            weight: need.weight,
            total: need.total,
            returns_lease,
        };
        Message::LeaseRequest { budget, request }
    }

    /// The lease of a budget, if one was ever asked for.
    pub fn holder(&self, budget: BudgetKey) -> Option<&Holder> {
        self.holders.get(&budget)
    }

    /// What may be spent of a budget at this instant, without the floor.
    pub fn share(&self, now: Timestamp, budget: BudgetKey, settings: &LeaseSettings) -> Share {
        self.holders
            .get(&budget)
            .map_or(Share::default(), |holder| holder.share(now, settings))
    }

    /// Forgets the leases of budgets that are no longer configured.
    pub fn retain_budgets(&mut self, is_configured: impl Fn(BudgetKey) -> bool) {
        self.holders.retain(|budget, _| is_configured(*budget));
    }

    /// Learns that membership declares a process lost.
    pub fn mark_lost(&mut self, incarnation: Incarnation, settings: &LeaseSettings) {
        for grants in self.grants.values_mut() {
            grants.mark_lost(incarnation, settings);
        }
    }

    /// What is granted of a budget, if this process is the grantor.
    pub fn granted_sum(&self, now: Timestamp, budget: BudgetKey) -> Option<GrantedSum> {
        self.grants
            .get(&budget)
            .map(|grants| grants.granted_sum(now))
    }

    /// Handles a message, and adds the answers to `out`. Returns the budget that the message was
    /// about, if the lease changed or is recalled.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        message: Message,
        settings: &LeaseSettings,
        out: &mut Vec<Envelope>,
    ) -> Option<BudgetKey> {
        match message {
            Message::VoteRequest { epoch, sent_at } => {
                let candidacy = Candidacy { epoch, sent_at };
                let response = self.handle_vote_request(now, candidacy, settings);
                out.extend(response.map(|message| Envelope { to: from, message }));
                None
            }
            Message::VoteResponse {
                epoch,
                sent_at,
                granted,
                votes_for,
                highest_term,
            } => {
                let answer = VoteAnswer {
                    epoch,
                    sent_at,
                    granted,
                    votes_for,
                    highest_term,
                };
                self.handle_vote_response(now, from, &answer, settings);
                None
            }
            Message::LeaseRequest { budget, request } => {
                self.handle_lease_request(now, from, budget, &request, settings, out);
                None
            }
            Message::LeaseResponse {
                budget,
                incarnation,
                grant,
            } => (incarnation == self.incarnation
                && self.accept_grant(now, budget, grant, settings))
            .then_some(budget),
            Message::Recall { budget } => self.holders.contains_key(&budget).then_some(budget),
            Message::NotLeader { grantor } => {
                self.known_grantor = grantor;
                None
            }
        }
    }

    fn handle_vote_request(
        &mut self,
        now: Timestamp,
        candidacy: Candidacy,
        settings: &LeaseSettings,
    ) -> Option<Message> {
        let Candidacy { epoch, sent_at } = candidacy;
        let voter = self.voter.as_mut()?;
        if self.leadership.yield_to_higher(epoch) {
            voter.withdraw_own_vote(self.id);
        }
        let granted = voter.record_vote(now, epoch, settings);
        Some(Message::VoteResponse {
            epoch,
            sent_at,
            granted,
            votes_for: voter.votes_for(now),
            highest_term: voter.highest_term(),
        })
    }

    fn handle_vote_response(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        answer: &VoteAnswer,
        settings: &LeaseSettings,
    ) {
        self.leadership_epoch(now, settings);
        self.leadership.record_highest_term(answer.highest_term);
        if answer.granted {
            if self.voters.contains(&from) {
                let vote = Vote {
                    voter: from,
                    epoch: answer.epoch,
                    sent_at: answer.sent_at,
                };
                self.leadership
                    .record_vote(now, vote, self.voters.len(), settings);
            }
            return;
        }
        let is_withdrawn = answer
            .votes_for
            .is_some_and(|other| self.leadership.yield_to_voted(answer.epoch, other));
        if is_withdrawn {
            // The other candidate may be the grantor: this process must be free to vote for it, and
            // to ask it for leases.
            self.known_grantor = answer.votes_for;
            if let Some(voter) = &mut self.voter {
                voter.withdraw_own_vote(self.id);
            }
        }
    }

    fn accept_grant(
        &mut self,
        now: Timestamp,
        budget: BudgetKey,
        grant: Grant,
        settings: &LeaseSettings,
    ) -> bool {
        self.holders
            .get_mut(&budget)
            .is_some_and(|holder| holder.accept_grant(now, grant, settings))
    }

    fn handle_lease_request(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        budget: BudgetKey,
        request: &LeaseRequest,
        settings: &LeaseSettings,
        out: &mut Vec<Envelope>,
    ) {
        if self.leadership_epoch(now, settings).is_none() {
            if !request.returns_lease {
                let grantor = self.grantor(now).filter(|epoch| epoch.process != self.id);
                let message = Message::NotLeader { grantor };
                out.push(Envelope { to: from, message });
            }
            return;
        }
        let context = GrantorContext {
            now,
            is_quarantined: self.is_quarantined(now, &request.total, settings),
            voters: self.voters.len(),
        };
        if !self.grants.contains_key(&budget) && self.grants.len() >= MAX_GRANTED_BUDGETS {
            return;
        }
        let grants = self.grants.entry(budget).or_default();
        let decision = grants.handle_request(from, request, &context, settings);
        out.extend(decision.grant.map(|grant| Envelope {
            to: from,
            message: Message::LeaseResponse {
                budget,
                incarnation: request.incarnation,
                grant,
            },
        }));
        out.extend(decision.recalls.into_iter().map(|to| Envelope {
            to,
            message: Message::Recall { budget },
        }));
    }

    /// Whether leases of an earlier grantor, and requests admitted under them, may still be live.
    fn is_quarantined(&mut self, now: Timestamp, total: &Total, settings: &LeaseSettings) -> bool {
        let since = self
            .leadership
            .current_term(now, self.voters.len(), settings)
            .map_or(now, |term| term.since);
        let quarantine = settings.times.grant_hold + total.max_request_duration;
        now < since + quarantine && settings.rules.enforces(SafetyRule::NewGrantorQuarantine)
    }
}
