//! The protocol state of one process: its roles as voter, candidate, grantor and lease holder. It
//! does not initiate messages: [`node`] decides when to request leases and when to campaign, and
//! `receive` produces the response to each message.
//!
//! [`node`]: crate::node

mod receive;

use crate::election::{Leadership, Vote, Voter};
use crate::lease::{GrantedSum, Grants, Holder, NumberedRequest, Total};
use crate::message::{LeaseRequest, Message, VoteRequest};
use crate::{
    BudgetKey, Epoch, Incarnation, LeaseSettings, ProcessId, SafetyRule, Share, Timestamp, Units,
};
use std::collections::BTreeMap;

/// The weight in a request that returns a lease.
const RETURN_WEIGHT: u32 = 1;

/// A process's demand for a share of a budget.
#[derive(Clone, Copy, Debug)]
pub struct LeaseDemand {
    /// The total in this process's configuration.
    pub total: Total,
    /// The demand at this process, in units.
    pub demand: Units,
    /// The priority weight of one unit of that demand.
    pub weight: u32,
    /// The amount that running requests use beyond the floor.
    pub in_use: Share,
}

/// The protocol state of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Participant {
    /// The id of the process.
    pub id: ProcessId,
    /// The current incarnation of the process.
    pub incarnation: Incarnation,
    voters: Vec<ProcessId>,
    voter: Option<Voter>,
    leadership: Leadership,
    grants: BTreeMap<BudgetKey, Grants>,
    holders: BTreeMap<BudgetKey, Holder>,
    /// The grantor as named by other processes.
    known_grantor: Option<Epoch>,
}

impl Participant {
    /// Creates the state of a process that starts now, without any memory of earlier incarnations.
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

    /// Returns the configured voters.
    pub fn voters(&self) -> &[ProcessId] {
        &self.voters
    }

    /// Replaces the list of voters. Majorities of lists that differ by one voter share a voter.
    /// Votes under the old list no longer count, so a current term ends.
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

    /// Returns whether this process votes and may be elected.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// Returns the term in which this process is the grantor.
    pub fn leadership_epoch(&mut self, now: Timestamp, settings: &LeaseSettings) -> Option<Epoch> {
        let term = self
            .leadership
            .current_term(now, self.voters.len(), settings);
        if term.is_none() && settings.rules.enforces(SafetyRule::ExpiredTermEnds) {
            self.grants.clear();
        }
        term.map(|term| term.epoch)
    }

    /// Returns the grantor as known to this process: the term that this process votes for, or else
    /// the term that other processes named.
    pub fn grantor(&self, now: Timestamp) -> Option<Epoch> {
        let voted = self.voter.as_ref().and_then(|voter| voter.votes_for(now));
        voted
            .filter(|epoch| epoch.process != self.id || self.leadership.has_majority())
            .or(self.known_grantor)
    }

    /// Forgets the grantor that other processes named, because it does not respond.
    pub fn forget_grantor(&mut self) {
        self.known_grantor = None;
    }

    /// Campaigns for the current term or for a new one with a number above `floor`. Votes for
    /// itself and returns the request for the other voters; returns `None` if this process cannot
    /// vote for itself.
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
        let request = VoteRequest {
            epoch,
            sent_at: now,
        };
        Some(Message::VoteRequest(request))
    }

    /// Returns a request for a share, to be sent to one process.
    pub fn request_lease(
        &mut self,
        now: Timestamp,
        budget: BudgetKey,
        lease_demand: &LeaseDemand,
        settings: &LeaseSettings,
    ) -> Message {
        let holder = self.holders.entry(budget).or_default();
        let numbered = holder.begin_request(now, lease_demand.in_use, settings);
        self.lease_request(budget, numbered, lease_demand, false)
    }

    /// Drops the lease of a budget; returns the request that notifies the grantor.
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
        let lease_demand = LeaseDemand {
            total,
            demand: 0,
            weight: RETURN_WEIGHT,
            in_use,
        };
        self.lease_request(budget, numbered, &lease_demand, true)
    }

    fn lease_request(
        &self,
        budget: BudgetKey,
        numbered: NumberedRequest,
        lease_demand: &LeaseDemand,
        returns_lease: bool,
    ) -> Message {
        let request = LeaseRequest {
            incarnation: self.incarnation,
            request_number: numbered.number,
            held: numbered.held,
            demand: lease_demand.demand,
            weight: lease_demand.weight,
            total: lease_demand.total,
            returns_lease,
        };
        Message::LeaseRequest { budget, request }
    }

    /// Returns the holder state of a budget, if a lease was ever requested.
    pub fn holder(&self, budget: BudgetKey) -> Option<&Holder> {
        self.holders.get(&budget)
    }

    /// Returns the share of a budget that may be spent now, without the floor.
    pub fn share(&self, now: Timestamp, budget: BudgetKey, settings: &LeaseSettings) -> Share {
        self.holders
            .get(&budget)
            .map_or(Share::default(), |holder| holder.share(now, settings))
    }

    /// Drops the leases of budgets that are no longer configured.
    pub fn retain_budgets(&mut self, is_configured: impl Fn(BudgetKey) -> bool) {
        self.holders.retain(|budget, _| is_configured(*budget));
    }

    /// Records that membership has declared a process lost.
    pub fn mark_lost(&mut self, incarnation: Incarnation, settings: &LeaseSettings) {
        for grants in self.grants.values_mut() {
            grants.mark_lost(incarnation, settings);
        }
    }

    /// Returns the sum of the granted leases of a budget, if this process is the grantor.
    pub fn granted_sum(&self, now: Timestamp, budget: BudgetKey) -> Option<GrantedSum> {
        self.grants
            .get(&budget)
            .map(|grants| grants.granted_sum(now))
    }
}
