//! Processing of received messages: their effect on the table, and refutations of updates about
//! this process.

use super::admission::can_be_superseded;
use super::member::{Member, MembershipEvent};
use super::message::{Body, BriefUpdate, Message, ReportedState, Update};
use super::state::{Evidence, TransitionTimes};
use super::table::{IncarnationRef, UpdateOutcome};
use super::{Membership, Micros, Output, Timestamp, INTRODUCTION_US, MILLISECOND_US, SECOND_US};
use std::net::SocketAddr;

/// The minimum interval between two raises of this process's start time, so that two processes that
/// claim one address do not outbid each other endlessly.
const START_RAISE_INTERVAL_US: Micros = SECOND_US;
/// The duration for which a process introduces itself after a request to do so: long enough for the
/// answer.
const REQUESTED_INTRODUCTION_US: Micros = MILLISECOND_US;

impl Membership {
    /// Returns the times for a transition that happens now.
    pub(super) fn transition_times(&self, now: Timestamp) -> TransitionTimes {
        TransitionTimes {
            now,
            suspicion_deadline: now + self.suspicion_time(),
        }
    }

    /// Processes the description of the sender that each message contains. Returns the update to
    /// send to a sender that was not considered alive, so that it refutes that state: other members
    /// may still hold a state that this process has just cleared.
    pub(super) fn on_sender(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: &Message,
        output: &mut Output,
    ) -> Option<Update> {
        let introduction = message.introduction.as_ref();
        if let Some(member) = introduction.filter(|member| member.address == from) {
            self.on_introduction(now, member, output);
        }
        let record = self.table.get_incarnation(from, message.incarnation);
        let has_refuted =
            record.is_some_and(|record| record.member.refutations < message.refutations);
        let accusation = record
            .filter(|_| !has_refuted)
            .and_then(|record| record.accusation(now));
        match self.apply_message_receipt(now, from, message, &mut output.events) {
            // Other members may not receive the refutation themselves.
            UpdateOutcome::Changed if has_refuted => {
                self.dissemination.push(Update::Brief(BriefUpdate {
                    address: from,
                    incarnation: message.incarnation,
                    refutations: message.refutations,
                    state: ReportedState::Alive,
                }));
            }
            UpdateOutcome::UnknownIncarnation if needs_introduction(message) => {
                self.send(now, from, Body::WhoAreYou, output);
                return None;
            }
            _ => {}
        }
        accusation
    }

    /// Processes the full description of a sender.
    fn on_introduction(&mut self, now: Timestamp, member: &Member, output: &mut Output) {
        match self.apply_update(now, Update::Full(member.clone()), output) {
            UpdateOutcome::NewIncarnation if self.table.live_peers().len() == 1 => {
                self.synchronization.start_now(now);
            }
            UpdateOutcome::Stale => self.send_superseding(now, member, output),
            _ => {}
        }
    }

    /// Applies a message as evidence that its sender is alive.
    fn apply_message_receipt(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: &Message,
        events: &mut Vec<MembershipEvent>,
    ) -> UpdateOutcome {
        let sender = IncarnationRef {
            address: from,
            incarnation: message.incarnation,
            refutations: message.refutations,
        };
        let times = self.transition_times(now);
        self.table
            .apply_evidence(sender, Evidence::MessageReceived, times, events)
    }

    /// Handles the body of a message. An accusation of the sender is attached to the answer, or
    /// sent by itself if there is no answer.
    pub(super) fn on_body(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        body: Body,
        mut accusation: Option<Update>,
        output: &mut Output,
    ) {
        match body {
            Body::Ping { sequence, updates } => {
                self.apply_updates(now, updates, output);
                let accusation = accusation.take().into_iter();
                let updates = accusation.chain(self.piggyback(now)).collect();
                self.send(now, from, Body::Ack { sequence, updates }, output);
            }
            Body::PingRequest { sequence, target } => {
                self.on_ping_request(now, from, sequence, target, output);
            }
            Body::Ack { sequence, updates } => {
                self.apply_updates(now, updates, output);
                self.on_ack(now, sequence, output);
            }
            Body::Gossip { updates } => self.apply_updates(now, updates, output),
            Body::WhoAreYou => self.introduce(now, from, output),
            Body::Buckets(digests) => self.on_bucket_digests(now, from, &digests, output),
            Body::Compare(request) => self.on_compare_request(now, from, &request, output),
            Body::Entries(entries) => self.on_entries(now, from, entries, output),
        }
        if let Some(update) = accusation {
            let updates = vec![update];
            self.send(now, from, Body::Gossip { updates }, output);
        }
    }

    fn introduce(&mut self, now: Timestamp, to: SocketAddr, output: &mut Output) {
        self.introduce_until = self.introduce_until.max(now + REQUESTED_INTRODUCTION_US);
        let updates = Vec::new();
        self.send(now, to, Body::Gossip { updates }, output);
    }

    fn apply_updates(&mut self, now: Timestamp, updates: Vec<Update>, output: &mut Output) {
        for update in updates {
            self.apply_update(now, update, output);
        }
    }

    /// Applies an update, and disseminates it if it is new.
    pub(super) fn apply_update(
        &mut self,
        now: Timestamp,
        update: Update,
        output: &mut Output,
    ) -> UpdateOutcome {
        if update.address() == self.local_member.address {
            self.on_update_about_self(now, &update);
            return UpdateOutcome::Unchanged;
        }
        let times = self.transition_times(now);
        let events = &mut output.events;
        let outcome = match &update {
            Update::Full(member) => self.table.apply_full(member.clone(), times, events),
            Update::Brief(brief) => self.table.apply_brief(brief, times, events),
        };
        match (outcome, update) {
            // While this process catches up, most updates that are new to it are known to the
            // others.
            (UpdateOutcome::NewIncarnation, update) if self.is_caught_up() => {
                self.dissemination.push(update);
            }
            (UpdateOutcome::Changed, Update::Full(member)) => {
                let update = Update::brief(&member, ReportedState::Alive);
                self.dissemination.push(update);
            }
            (UpdateOutcome::Changed, Update::Brief(brief)) => self.disseminate_brief(brief),
            _ => {}
        }
        outcome
    }

    /// Disseminates an update that has changed a member's state. A reported death is disseminated
    /// as the suspicion that it leads to here, and the member is probed next.
    fn disseminate_brief(&mut self, update: BriefUpdate) {
        let state = match update.state {
            ReportedState::Dead => {
                self.failure_detector.probe_next(update.address);
                ReportedState::Suspect
            }
            state => state,
        };
        self.dissemination
            .push(Update::Brief(BriefUpdate { state, ..update }));
    }

    /// Sends the known incarnation of an address to the process that described a stale one there.
    fn send_superseding(&mut self, now: Timestamp, stale: &Member, output: &mut Output) {
        let Some(record) = self.table.get(stale.address) else {
            return;
        };
        if record.member.start_order() != stale.start_order() {
            let updates = vec![Update::Full(record.member.clone())];
            self.send(now, stale.address, Body::Gossip { updates }, output);
        }
    }

    /// Refutes a suspicion or a death of this process, and supersedes a later-started incarnation
    /// that is reported at its address.
    pub(super) fn on_update_about_self(&mut self, now: Timestamp, update: &Update) {
        match update {
            Update::Brief(brief) if self.needs_refutation(brief) => {
                self.local_member.refutations = brief.refutations.saturating_add(1);
                self.table.replace_local_member(&self.local_member);
                self.dissemination
                    .push(Update::brief(&self.local_member, ReportedState::Alive));
            }
            Update::Full(member) if member.start_order() > self.local_member.start_order() => {
                self.raise_start(now, member);
            }
            _ => {}
        }
    }

    fn needs_refutation(&self, update: &BriefUpdate) -> bool {
        let is_accusation = matches!(update.state, ReportedState::Suspect | ReportedState::Dead);
        is_accusation
            && update.incarnation == self.local_member.tag()
            && update.refutations >= self.local_member.refutations
    }

    /// Raises this process's start time above that of another incarnation at its address. The other
    /// one is an earlier incarnation whose clock was ahead, since this process is the one at the
    /// address.
    fn raise_start(&mut self, now: Timestamp, other: &Member) {
        let has_raised_recently = self
            .start_raised_at
            .is_some_and(|at| now < at + START_RAISE_INTERVAL_US);
        if has_raised_recently || !can_be_superseded(other) {
            return;
        }
        self.start_raised_at = Some(now);
        self.local_member.started_ms = other.started_ms + 1;
        self.local_member.refutations = 0;
        self.table.replace_local_member(&self.local_member);
        self.introduce_until = now + INTRODUCTION_US;
        self.dissemination
            .push(Update::Full(self.local_member.clone()));
    }
}

/// Returns whether the sender of a message should be requested to introduce itself if it is
/// unknown. This excludes senders of `WhoAreYou` and of entries.
fn needs_introduction(message: &Message) -> bool {
    message.introduction.is_none() && !matches!(message.body, Body::WhoAreYou | Body::Entries(_))
}
