//! When a process asks for leases, and when a voter campaigns to be the grantor.

use super::BudgetNode;
use crate::message::Envelope;
use crate::participant::{LeaseDemand, Participant};
use crate::{Micros, ProcessId, Timestamp};
use rand::Rng;

/// The longest time between two lease requests where there is demand; the shortest is three
/// quarters of it.
const REQUEST_INTERVAL_US: Micros = 400_000;
/// The same where there is no demand.
const IDLE_REQUEST_INTERVAL_US: Micros = 1_200_000;
/// How long an answer is awaited before another process is asked.
const RESPONSE_TIMEOUT_US: Micros = 150_000;
/// The longest time between two campaigns of the grantor, which prolong its term; the shortest is
/// half of it.
const RENEWAL_INTERVAL_US: Micros = 300_000;
/// The same for a voter that knows of no grantor.
const CAMPAIGN_INTERVAL_US: Micros = 100_000;
/// A voter that knows of a grantor waits this long for each voter listed before it, so that they do
/// not all campaign when the term ends.
const CAMPAIGN_STAGGER_US: Micros = CAMPAIGN_INTERVAL_US / 2;
/// Voters listed after this many others wait no longer than that.
const MAX_STAGGER_STEPS: Micros = 6;
/// The grantor is forgotten each time that so many requests were not answered, counted over all
/// budgets.
const TIMEOUTS_TO_FORGET: usize = 2;

impl BudgetNode {
    /// Sends the lease requests and vote requests that are due. To be called every few
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
            account.awaiting_since = Some(now);
            requests.push(Envelope { to, message });
        }
        requests
    }

    /// Where an answer has not arrived in time, makes the next request due, to another process.
    fn apply_response_timeout(&mut self, now: Timestamp, index: usize) {
        let account = &mut self.accounts[index];
        let is_timed_out = account
            .awaiting_since
            .is_some_and(|since| now >= since + RESPONSE_TIMEOUT_US);
        if !is_timed_out {
            return;
        }
        account.awaiting_since = None;
        account.next_request_at = now;
        self.next_voter += 1;
        if self.next_voter % TIMEOUTS_TO_FORGET == 0 {
            self.participant.forget_grantor();
        }
    }

    /// Adds a message to `out`, or handles it if it is for this process itself.
    fn send(&mut self, now: Timestamp, envelope: Envelope, out: &mut Vec<Envelope>) {
        let Envelope { to, message } = envelope;
        if to != self.participant.id {
            out.push(envelope);
            return;
        }
        let mut answers = Vec::new();
        self.receive(now, to, message, &mut answers);
        for answer in answers {
            self.send(now, answer, out);
        }
    }

    /// Campaigns to be the grantor, or to prolong the present term, if that is due.
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

    /// How many voters are listed before this one, up to a limit.
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

/// The grantor, or the voter that is tried next while no grantor is known.
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
