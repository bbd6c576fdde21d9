//! Handling of each message that a process receives.

use super::Participant;
use crate::election::Vote;
use crate::lease::{Grant, GrantorContext, Total};
use crate::message::{Envelope, LeaseRequest, Message, VoteRequest, VoteResponse};
use crate::{BudgetKey, LeaseSettings, ProcessId, SafetyRule, Timestamp};

/// Maximum number of budgets for which a grantor keeps records.
const MAX_GRANTED_BUDGETS: usize = 10_000;

impl Participant {
    /// Handles a message and adds the responses to `out`. Returns the budget that the message
    /// refers to if its lease changed or is recalled.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        message: Message,
        settings: &LeaseSettings,
        out: &mut Vec<Envelope>,
    ) -> Option<BudgetKey> {
        match message {
            Message::VoteRequest(request) => {
                let response = self.handle_vote_request(now, request, settings);
                out.extend(response.map(|message| Envelope { to: from, message }));
                None
            }
            Message::VoteResponse(response) => {
                self.handle_vote_response(now, from, response, settings);
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
        request: VoteRequest,
        settings: &LeaseSettings,
    ) -> Option<Message> {
        let VoteRequest { epoch, sent_at } = request;
        let voter = self.voter.as_mut()?;
        if self.leadership.withdraw_for_higher_epoch(epoch) {
            voter.withdraw_own_vote(self.id);
        }
        let granted = voter.record_vote(now, epoch, settings);
        Some(Message::VoteResponse(VoteResponse {
            epoch,
            sent_at,
            granted,
            votes_for: voter.votes_for(now),
            highest_term: voter.highest_term(),
        }))
    }

    fn handle_vote_response(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        response: VoteResponse,
        settings: &LeaseSettings,
    ) {
        self.leadership_epoch(now, settings);
        self.leadership.record_highest_term(response.highest_term);
        if response.granted {
            if self.voters.contains(&from) {
                let vote = Vote {
                    voter: from,
                    epoch: response.epoch,
                    sent_at: response.sent_at,
                };
                self.leadership
                    .record_vote(now, vote, self.voters.len(), settings);
            }
            return;
        }
        let is_withdrawn = response.votes_for.is_some_and(|other| {
            self.leadership
                .withdraw_for_promised_vote(response.epoch, other)
        });
        if is_withdrawn {
            // The other candidate may be the grantor, so this process must be able to vote for it
            // and to request leases from it.
            self.known_grantor = response.votes_for;
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

    /// Returns whether leases of an earlier grantor, or requests admitted under them, may still be
    /// active.
    fn is_quarantined(&mut self, now: Timestamp, total: &Total, settings: &LeaseSettings) -> bool {
        let since = self
            .leadership
            .current_term(now, self.voters.len(), settings)
            .map_or(now, |term| term.since);
        let quarantine = settings.durations.grant_hold + total.max_request_duration;
        now < since + quarantine && settings.rules.enforces(SafetyRule::NewGrantorQuarantine)
    }
}
