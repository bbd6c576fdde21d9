//! The entries of an exchange: how many are sent, and the effect of received ones.

use super::super::entries::Entries;
use super::super::member::{Member, StartOrder};
use super::super::message::{Body, Update};
use super::super::table::UpdateOutcome;
use super::{ExchangeEnd, Membership, Micros, Output, Timestamp};
use crate::membership::{MESSAGE_OVERHEAD_BYTES, SECOND_US};
use rand::Rng;
use std::net::SocketAddr;

/// The maximum size of the entries in one packet.
const MAX_ENTRIES_PACKET_BYTES: usize = 1_240;
/// The maximum size of the entries requested in one answer, in bytes.
pub(super) const MAX_ANSWER_BYTES: f64 = 11_000.0;
/// The part of the send allowance that an answer leaves unspent, in bytes, for probe messages.
const ANSWER_RESERVE_BYTES: f64 = 4_000.0;
/// The size of a referral in bytes: a few entries for a newcomer, which queries those members for
/// the rest.
const REFERRAL_BYTES: f64 = 150.0;
/// The part of the send allowance that a referral leaves unspent, in bytes.
const REFERRAL_RESERVE_BYTES: f64 = 1_000.0;
/// The same reserve in the first [`START_PERIOD_US`] of this process, when all processes may be
/// starting: most of the allowance is for processes that can forward the entries.
const STARTING_REFERRAL_RESERVE_BYTES: f64 = 26_000.0;
/// The time after this process's start for which [`STARTING_REFERRAL_RESERVE_BYTES`] applies.
const START_PERIOD_US: Micros = SECOND_US;
/// The send allowance that must be available to send a newcomer all members, in bytes.
const FULL_ANSWER_RESERVE_BYTES: f64 = 28_000.0;
/// The maximum size of an answer by a process that has not caught up, in bytes, so that its
/// allowance suffices for many answers.
const MAX_CATCHING_UP_ANSWER_BYTES: f64 = 5_000.0;
/// The part of the send allowance that such an answer leaves unspent, in bytes.
const CATCHING_UP_RESERVE_BYTES: f64 = 5_000.0;
/// The maximum number of corrections in answer to one packet of entries.
const MAX_CORRECTIONS: usize = 30;

/// The effect of a packet of entries.
#[derive(Default)]
struct EntriesOutcome {
    /// The number of entries that changed the table.
    new_entries: usize,
    /// The addresses of incarnations that were unknown.
    new_members: Vec<SocketAddr>,
    /// Updates that supersede stale entries.
    corrections: Vec<Update>,
}

impl Membership {
    /// Returns the maximum size of the entries of an answer in bytes, or `None` if the allowance
    /// does not cover an answer. A newcomer, which knows no other member, gets only a referral
    /// while many newcomers may be querying.
    pub(super) fn answer_budget(&mut self, now: Timestamp, is_newcomer: bool) -> Option<f64> {
        let available = self.send_allowance.available(now);
        let is_caught_up = self.is_caught_up();
        let is_starting = now < self.synchronization.started_at + START_PERIOD_US;
        let (reserve, budget) = if is_newcomer && !is_caught_up && is_starting {
            (STARTING_REFERRAL_RESERVE_BYTES, REFERRAL_BYTES)
        } else if is_newcomer && (!is_caught_up || available < FULL_ANSWER_RESERVE_BYTES) {
            (REFERRAL_RESERVE_BYTES, REFERRAL_BYTES)
        } else if is_caught_up {
            (ANSWER_RESERVE_BYTES, available - ANSWER_RESERVE_BYTES)
        } else {
            let budget = available - CATCHING_UP_RESERVE_BYTES;
            (
                CATCHING_UP_RESERVE_BYTES,
                budget.min(MAX_CATCHING_UP_ANSWER_BYTES),
            )
        };
        (available >= reserve + REFERRAL_BYTES).then_some(budget)
    }

    /// Sends as many of the members as fit into `max_bytes`.
    pub(super) fn send_entries(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        mut addresses: Vec<SocketAddr>,
        max_bytes: f64,
        output: &mut Output,
    ) {
        self.order_for_answer(&mut addresses);
        let fleet_size = self.table.live_peers().len() + 1;
        let mut packet = Entries::new(fleet_size);
        let (mut packet_bytes, mut bytes_left, mut all_fit) = (0, max_bytes, true);
        let mut previous: Option<Member> = None;
        for address in addresses {
            let Some(record) = self.table.get(address) else {
                continue;
            };
            let member = record.member.clone();
            let mut bytes = packet.estimated_size(&member, previous.as_ref());
            if bytes as f64 > bytes_left {
                all_fit = false;
                break;
            }
            if packet_bytes + bytes > MAX_ENTRIES_PACKET_BYTES {
                let full = std::mem::replace(&mut packet, Entries::new(fleet_size));
                self.send(now, to, Body::Entries(full), output);
                bytes_left -= MESSAGE_OVERHEAD_BYTES as f64;
                (packet_bytes, previous) = (0, None);
                bytes = packet.estimated_size(&member, None);
            }
            packet.push(&member, previous.as_ref());
            packet_bytes += bytes;
            bytes_left -= bytes as f64;
            previous = Some(member);
        }
        packet.is_last = true;
        packet.is_complete = all_fit && self.is_caught_up();
        self.send(now, to, Body::Entries(packet), output);
    }

    /// Orders an answer to begin with this process and continue at a random member: processes that
    /// receive different members can exchange them among themselves.
    fn order_for_answer(&mut self, addresses: &mut [SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        let first = self.rng.random_range(0..addresses.len());
        addresses.rotate_left(first);
        let mut indices = addresses.iter();
        if let Some(own) = indices.position(|address| *address == self.local_member.address) {
            addresses.swap(0, own);
        }
    }

    /// Processes the members of an answer.
    pub(in crate::membership) fn on_entries(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        entries: Entries,
        output: &mut Output,
    ) {
        let Entries {
            is_last,
            is_complete,
            fleet_size,
            ..
        } = entries;
        let reported = &mut self.synchronization.reported_fleet_size;
        *reported = (*reported).max(fleet_size as usize);
        let outcome = self.apply_entries(now, entries.into_members(), output);
        if !outcome.corrections.is_empty() {
            let updates = outcome.corrections;
            self.send(now, from, Body::Gossip { updates }, output);
        }
        self.introduce_to_new_members(now, &outcome.new_members, output);
        if outcome.new_entries > 0 {
            self.on_new_entries(now);
        }
        self.count_entries(from, outcome.new_entries);
        if is_last {
            self.complete_exchange(now, from, is_complete);
        }
    }

    fn apply_entries(
        &mut self,
        now: Timestamp,
        members: Vec<Member>,
        output: &mut Output,
    ) -> EntriesOutcome {
        let times = self.transition_times(now);
        let mut outcome = EntriesOutcome::default();
        for member in members {
            if member.address == self.local_member.address {
                self.on_update_about_self(now, &Update::Full(member));
                continue;
            }
            let (address, start_order) = (member.address, member.start_order());
            match self.table.apply_full(member, times, &mut output.events) {
                UpdateOutcome::NewIncarnation => {
                    outcome.new_entries += 1;
                    outcome.new_members.push(address);
                }
                UpdateOutcome::Changed => outcome.new_entries += 1,
                UpdateOutcome::Stale if outcome.corrections.len() < MAX_CORRECTIONS => {
                    let correction = self.correction(now, address, start_order);
                    outcome.corrections.extend(correction);
                }
                _ => {}
            }
        }
        outcome
    }

    /// Returns the update that supersedes a stale entry: the known state if the entry has the same
    /// incarnation, otherwise the known incarnation.
    fn correction(
        &self,
        now: Timestamp,
        address: SocketAddr,
        start_order: StartOrder,
    ) -> Option<Update> {
        let record = self.table.get(address)?;
        match record.accusation(now) {
            Some(accusation) if record.member.start_order() == start_order => Some(accusation),
            _ => Some(Update::Full(record.member.clone())),
        }
    }

    fn on_new_entries(&mut self, now: Timestamp) {
        let synchronization = &mut self.synchronization;
        synchronization.schedule.on_new_entries(now);
        if synchronization.outstanding.is_none() && !synchronization.is_caught_up {
            // A seed has answered, so there are other members to query now.
            synchronization.schedule.set_next(now);
        }
    }

    /// Adds entries to the outstanding exchange with their sender.
    fn count_entries(&mut self, from: SocketAddr, new_entries: usize) {
        let outstanding = self.synchronization.outstanding.as_mut();
        if let Some(exchange) = outstanding.filter(|exchange| exchange.peer == from) {
            exchange.entries_received += new_entries;
        }
    }

    /// Ends the outstanding exchange with a peer after the last packet of its answer.
    fn complete_exchange(&mut self, now: Timestamp, from: SocketAddr, is_complete: bool) {
        let outstanding = self.synchronization.outstanding.as_ref();
        let Some(exchange) = outstanding.filter(|exchange| exchange.peer == from) else {
            return;
        };
        let entries = exchange.entries_received;
        self.synchronization.is_caught_up |= is_complete && exchange.covers_whole_view;
        self.end_exchange(now, ExchangeEnd::Completed { entries });
    }
}
