//! The schedule of lease requests and of a voter's campaigns to become the grantor.

use super::BudgetNode;
use crate::message::Envelope;
use crate::participant::{LeaseDemand, Participant};
use crate::{Micros, ProcessId, Timestamp};
use rand::Rng;

/// Maximum time between two lease requests of a budget with demand; the minimum is three quarters
/// of it.
const REQUEST_INTERVAL_US: Micros = 400_000;
/// Maximum time between two lease requests of a budget without demand; the minimum is three
/// quarters of it.
const IDLE_REQUEST_INTERVAL_US: Micros = 1_200_000;
/// Timeout of a lease request, after which another process may receive the next one.
const RESPONSE_TIMEOUT_US: Micros = 150_000;
/// Maximum time between two campaigns of the grantor, which extend its term; the minimum is half of
/// it.
const RENEWAL_INTERVAL_US: Micros = 300_000;
/// Maximum time between two campaigns of a voter that knows no grantor; the minimum is half of it.
const CAMPAIGN_INTERVAL_US: Micros = 100_000;
/// Delay per voter listed before this one for a voter that knows a grantor, so that the voters do
/// not all campaign when the term ends.
const CAMPAIGN_STAGGER_US: Micros = CAMPAIGN_INTERVAL_US / 2;
/// Maximum number of preceding voters that count for the stagger.
const MAX_STAGGER_STEPS: Micros = 6;
/// The known grantor is forgotten after every so many timed-out requests, counted over all budgets.
const TIMEOUTS_BEFORE_FORGETTING_GRANTOR: usize = 2;

impl BudgetNode {
    /// Sends the lease requests and vote requests that are due. The owner calls this every few
    /// milliseconds.
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Envelope>) {
        if self.is_suspended {
            return;
        }
        self.campaign_if_due(now, rng, out);
        for request in self.due_requests(now, rng) {
            self.send(now, request, out);
        }
    }

    fn due_requests(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Envelope> {
        let mut requests = Vec::new();
        for index in 0..self.accounts.len() {
            self.apply_response_timeout(now, index);
            let account = &mut self.accounts[index];
            if now < account.next_request_at {
                continue;
            }
            account.demand.sample(now);
            let Some(to) = lease_request_target(&self.participant, self.next_voter, now) else {
                continue;
            };
            let lease_demand = LeaseDemand {
                total: account.budget.total(),
                demand: account.demand_units(),
                weight: account.demand.weight(),
                in_use: account.in_use(),
            };
            let message =
                self.participant
                    .request_lease(now, account.key, &lease_demand, &self.settings);
            let interval = if lease_demand.demand > 0 {
                REQUEST_INTERVAL_US
            } else {
                IDLE_REQUEST_INTERVAL_US
            };
            account.next_request_at = now + rng.random_range(interval * 3 / 4..interval);
            account.pending_since = Some(now);
            requests.push(Envelope { to, message });
        }
        requests
    }

    /// Makes the next request of an account due if its last request has timed out, and advances to
    /// the next voter.
    fn apply_response_timeout(&mut self, now: Timestamp, index: usize) {
        let account = &mut self.accounts[index];
        let is_timed_out = account
            .pending_since
            .is_some_and(|since| now >= since + RESPONSE_TIMEOUT_US);
        if !is_timed_out {
            return;
        }
        account.pending_since = None;
        account.next_request_at = now;
        self.next_voter += 1;
        if self.next_voter % TIMEOUTS_BEFORE_FORGETTING_GRANTOR == 0 {
            self.participant.forget_grantor();
        }
    }

    /// Adds a message to `out`, or handles it directly if it is addressed to this process.
    fn send(&mut self, now: Timestamp, envelope: Envelope, out: &mut Vec<Envelope>) {
        let Envelope { to, message } = envelope;
        if to != self.participant.id {
            out.push(envelope);
            return;
        }
        let mut responses = Vec::new();
        self.receive(now, to, message, &mut responses);
        for response in responses {
            self.send(now, response, out);
        }
    }

    /// Campaigns to become the grantor or to extend the current term, if a campaign is due.
    fn campaign_if_due(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Envelope>) {
        if !self.participant.is_voter() || now < self.next_campaign_at {
            return;
        }
        let is_grantor = self.leadership_epoch(now).is_some();
        let own_id = self.participant.id;
        let other_is_grantor = self
            .grantor(now)
            .is_some_and(|epoch| epoch.process != own_id);
        if !is_grantor && other_is_grantor {
            let wait = rng.random_range(0..CAMPAIGN_STAGGER_US)
                + CAMPAIGN_STAGGER_US * self.stagger_steps();
            self.next_campaign_at = now + wait;
            return;
        }
        let interval = if is_grantor {
            RENEWAL_INTERVAL_US
        } else {
            CAMPAIGN_INTERVAL_US
        };
        self.next_campaign_at = now + rng.random_range(interval / 2..interval);
        let Some(message) = self
            .participant
            .campaign(now, self.started_wall_ms, &self.settings)
        else {
            return;
        };
        out.extend(other_voters(&self.participant).map(|to| Envelope { to, message }));
    }

    /// Returns the number of voters listed before this one, up to [`MAX_STAGGER_STEPS`].
    fn stagger_steps(&self) -> Micros {
        let own_id = self.participant.id;
        let position = self
            .participant
            .voters()
            .iter()
            .position(|id| *id == own_id);
        (position.unwrap_or(0) as Micros).min(MAX_STAGGER_STEPS)
    }
}

fn other_voters(participant: &Participant) -> impl Iterator<Item = ProcessId> + '_ {
    let voters = participant.voters().iter().copied();
    voters.filter(|id| *id != participant.id)
}

/// Returns the process that receives lease requests: the grantor, or the next voter while no
/// grantor is known.
pub(super) fn lease_request_target(
    participant: &Participant,
    next_voter: usize,
    now: Timestamp,
) -> Option<ProcessId> {
    if let Some(epoch) = participant.grantor(now) {
        return Some(epoch.process);
    }
    let voters = participant.voters();
    voters.get(next_voter % voters.len().max(1)).copied()
}
