//! A state of the model: the processes, the time, and the messages in transit.

use super::{ModelFleet, PROCESSES};
use crate::lease::Total;
use crate::message::{Envelope, Message};
use crate::participant::{LeaseDemand, Participant};
use crate::{
    BudgetKey, Incarnation, LeaseSettings, Micros, ProcessId, SafetyRule, Share, Timestamp, Units,
    TOKEN_UNITS,
};
use std::collections::BTreeSet;

pub(super) const BUDGET: BudgetKey = BudgetKey(1);
const UNITS: Units = 2;
/// The amount of the total.
pub(super) const AMOUNT: Share = Share {
    units: UNITS,
    burst: UNITS * TOKEN_UNITS,
};
/// The demand of each holder: the whole total.
pub(super) const DEMAND: LeaseDemand = LeaseDemand {
    total: Total {
        amount: AMOUNT,
        floor: Share { units: 0, burst: 0 },
        is_rate: false,
        max_request_duration: 0,
    },
    demand: UNITS,
    weight: 1,
    in_use: Share { units: 0, burst: 0 },
};

pub(super) fn process_ids() -> Vec<ProcessId> {
    (0..PROCESSES).map(process_id).collect()
}

pub(super) fn process_id(process: u8) -> ProcessId {
    ProcessId(u64::from(process))
}

/// A message in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Packet {
    pub from: u8,
    pub to: u8,
    pub message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelProcess {
    pub participant: Participant,
    /// How far the process's clock is ahead of the model's time.
    pub clock_lead: Micros,
    pub campaigns: u8,
    pub requests: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelState {
    pub now: Timestamp,
    pub processes: Vec<ModelProcess>,
    pub packets: BTreeSet<Packet>,
    pub crashes: u8,
    pub clock_skews: u8,
    pub duplicates: u8,
    /// Whether any process was declared lost.
    pub has_lost_process: bool,
}

impl ModelState {
    /// Returns the state after the first process has been the grantor, by the votes of these other
    /// processes, until its quarantine has ended. Starting voters, which wait, therefore occur only
    /// after a crash.
    pub fn with_grantor(voters: &[u8], fleet: &ModelFleet) -> ModelState {
        let ModelFleet { settings, bounds } = fleet;
        let durations = &settings.durations;
        let ids = process_ids();
        let participants = ids
            .iter()
            .map(|id| Participant::new(0, *id, Incarnation(id.0), &ids, settings));
        let processes = participants.map(|participant| ModelProcess {
            participant,
            clock_lead: 0,
            campaigns: 0,
            requests: 0,
        });
        let mut state = ModelState {
            now: durations.vote_hold,
            processes: processes.collect(),
            packets: BTreeSet::new(),
            crashes: 0,
            clock_skews: 0,
            duplicates: 0,
            has_lost_process: false,
        };
        state.elect(0, voters, settings);
        while state.now < durations.vote_hold + durations.grant_hold {
            state.now += 1;
            state.elect(0, voters, settings);
        }
        if bounds.starts_fully_leased {
            state.grant_all(0, 2, settings);
        }
        state
    }

    fn elect(&mut self, candidate: u8, voters: &[u8], settings: &LeaseSettings) {
        let now = self.now;
        let request = self
            .participant(candidate)
            .campaign(now, 0, settings)
            .expect("the candidate votes for itself");
        for voter in voters {
            let response = self.exchange(candidate, *voter, request, settings);
            assert!(response.is_some(), "a voter answers");
        }
    }

    fn grant_all(&mut self, grantor: u8, holder: u8, settings: &LeaseSettings) {
        let now = self.now;
        let request = self
            .participant(holder)
            .request_lease(now, BUDGET, &DEMAND, settings);
        let response = self.exchange(holder, grantor, request, settings);
        assert!(response.is_some(), "the grantor answers");
    }

    /// Delivers a message and the first response to it at once. Returns the response.
    pub fn exchange(
        &mut self,
        from: u8,
        to: u8,
        message: Message,
        settings: &LeaseSettings,
    ) -> Option<Message> {
        let mut responses = Vec::new();
        let now = self.clock(to);
        self.participant(to)
            .receive(now, process_id(from), message, settings, &mut responses);
        let response = responses.first()?.message;
        let now = self.clock(from);
        self.participant(from)
            .receive(now, process_id(to), response, settings, &mut Vec::new());
        Some(response)
    }

    pub fn participant(&mut self, process: u8) -> &mut Participant {
        &mut self.processes[usize::from(process)].participant
    }

    /// Returns the time on a process's own clock.
    pub fn clock(&self, process: u8) -> Timestamp {
        self.now + self.processes[usize::from(process)].clock_lead
    }

    /// Puts messages in transit, except those without an effect in the model.
    pub fn send(&mut self, from: u8, out: Vec<Envelope>) {
        let packets = out.into_iter().map(|envelope| Packet {
            from,
            to: envelope.to.0 as u8,
            message: envelope.message,
        });
        let has_effect = |packet: &Packet| {
            !matches!(
                packet.message,
                Message::NotLeader { .. } | Message::Recall { .. }
            )
        };
        self.packets.extend(packets.filter(has_effect));
    }

    /// Returns the share that each process believes it may spend.
    pub fn shares<'a>(&'a self, settings: &'a LeaseSettings) -> impl Iterator<Item = Share> + 'a {
        (0..PROCESSES).map(|process| {
            self.processes[usize::from(process)].participant.share(
                self.clock(process),
                BUDGET,
                settings,
            )
        })
    }

    pub fn is_grantor(&self, process: u8, settings: &LeaseSettings) -> bool {
        let mut participant = self.processes[usize::from(process)].participant.clone();
        participant
            .leadership_epoch(self.clock(process), settings)
            .is_some()
    }

    /// Drops messages that can no longer have an effect other than to extend a voter's promise.
    pub fn drop_ineffective_messages(&mut self, settings: &LeaseSettings) {
        let mut packets = std::mem::take(&mut self.packets);
        packets.retain(|packet| self.may_have_effect(packet, settings));
        self.packets = packets;
    }

    fn may_have_effect(&self, packet: &Packet, settings: &LeaseSettings) -> bool {
        let is_active_candidacy = |candidate: u8, incarnation: Incarnation, sent_at: Timestamp| {
            let participant = &self.processes[usize::from(candidate)].participant;
            participant.incarnation == incarnation
                && self.clock(candidate) < sent_at + leadership_ttl(settings)
        };
        match packet.message {
            Message::VoteRequest(request) => {
                is_active_candidacy(packet.from, request.epoch.incarnation, request.sent_at)
            }
            Message::VoteResponse(response) => {
                is_active_candidacy(packet.to, response.epoch.incarnation, response.sent_at)
            }
            Message::LeaseResponse {
                budget,
                incarnation,
                grant,
            } => {
                let participant = &self.processes[usize::from(packet.to)].participant;
                let is_awaited = participant
                    .holder(budget)
                    .is_some_and(|holder| holder.is_awaiting(grant.request_number));
                let accepts_outdated = !settings.rules.enforces(SafetyRule::LatestResponseOnly);
                participant.incarnation == incarnation && (is_awaited || accepts_outdated)
            }
            Message::LeaseRequest { .. } | Message::Recall { .. } | Message::NotLeader { .. } => {
                true
            }
        }
    }
}

/// Returns how long a vote counts after it was requested.
fn leadership_ttl(settings: &LeaseSettings) -> Micros {
    if settings
        .rules
        .enforces(SafetyRule::LeadershipExpiresAtGrantorFirst)
    {
        settings.durations.leadership_ttl
    } else {
        settings.durations.vote_hold * 2
    }
}
