//! The table of all members. It applies evidence to member states and keeps the set of live peers,
//! the view's digests and the suspicion deadlines consistent with them.

mod retention;

use super::admission::{check_member, LiveNameCounts, RejectReason, RejectedUpdates};
use super::member::{IncarnationTag, KnownMember, Member, MembershipEvent};
use super::message::{BriefUpdate, ReportedState, Update};
use super::state::{Evidence, MemberState, Transition, TransitionTimes};
use super::view::View;
use super::Timestamp;
use rand::Rng;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One known member and its state.
pub(super) struct MemberRecord {
    pub(super) member: Member,
    pub(super) state: MemberState,
    /// The member's index in [`MemberTable::live_peers`] while it is live.
    live_peer_index: usize,
}

impl MemberRecord {
    /// Returns the member in the form of the public API.
    pub(super) fn known_member(&self) -> KnownMember {
        KnownMember {
            member: self.member.clone(),
            liveness: self.state.liveness(),
        }
    }

    /// Returns the update to send to a member that is not considered alive, so that it can refute
    /// it.
    pub(super) fn accusation(&self, now: Timestamp) -> Option<Update> {
        let state = self.state.reported_state(now)?;
        Some(Update::brief(&self.member, state))
    }
}

/// The effect of an update or of a message from a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateOutcome {
    /// The incarnation was unknown and was added.
    NewIncarnation,
    /// The state or the refutation count of a known incarnation changed.
    Changed,
    /// The update contains nothing new.
    Unchanged,
    /// The known state is newer than the update.
    Stale,
    /// The incarnation is unknown, and the update does not describe it in full.
    UnknownIncarnation,
    /// The member was not admitted to the table; [`RejectedUpdates`] has counted it.
    Rejected,
}

/// The sender of a message or the subject of a brief update, as identified in messages.
#[derive(Clone, Copy, Debug)]
pub(super) struct IncarnationRef {
    pub(super) address: SocketAddr,
    pub(super) incarnation: IncarnationTag,
    pub(super) refutations: u32,
}

impl From<&BriefUpdate> for IncarnationRef {
    fn from(update: &BriefUpdate) -> IncarnationRef {
        IncarnationRef {
            address: update.address,
            incarnation: update.incarnation,
            refutations: update.refutations,
        }
    }
}

/// The members of the fleet. See the module documentation.
pub(super) struct MemberTable {
    local_address: SocketAddr,
    /// The records of this process and all others, by address.
    records: FxHashMap<SocketAddr, MemberRecord>,
    /// The live members other than this process, in no particular order.
    live_peers: Vec<SocketAddr>,
    view: View,
    live_name_counts: LiveNameCounts,
    /// All suspicions, ordered by deadline.
    suspicions: BTreeSet<(Timestamp, SocketAddr)>,
    /// The number of dead members.
    dead_count: usize,
    rejected: RejectedUpdates,
}

impl MemberTable {
    /// Creates a table that contains only this process.
    pub(super) fn new(local_member: &Member) -> MemberTable {
        let mut table = MemberTable {
            local_address: local_member.address,
            records: FxHashMap::default(),
            live_peers: Vec::new(),
            view: View::new(),
            live_name_counts: LiveNameCounts::default(),
            suspicions: BTreeSet::new(),
            dead_count: 0,
            rejected: RejectedUpdates::default(),
        };
        table.insert(local_member.clone(), MemberState::Alive);
        table
    }

    pub(super) fn get(&self, address: SocketAddr) -> Option<&MemberRecord> {
        self.records.get(&address)
    }

    /// Returns the record of an address if it describes this incarnation.
    pub(super) fn get_incarnation(
        &self,
        address: SocketAddr,
        incarnation: IncarnationTag,
    ) -> Option<&MemberRecord> {
        self.get(address)
            .filter(|record| record.member.tag() == incarnation)
    }

    /// Iterates over all members, this process included, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// The live members other than this process, in no particular order.
    pub(super) fn live_peers(&self) -> &[SocketAddr] {
        &self.live_peers
    }

    pub(super) fn is_live(&self, address: SocketAddr) -> bool {
        self.get(address)
            .is_some_and(|record| record.state.is_live())
    }

    /// Returns the view: all live members, this process included.
    pub(super) fn view(&self) -> &View {
        &self.view
    }

    pub(super) fn rejected(&self) -> RejectedUpdates {
        self.rejected
    }

    /// Replaces the record of this process.
    pub(super) fn replace_local_member(&mut self, local_member: &Member) {
        self.remove(self.local_address);
        self.insert(local_member.clone(), MemberState::Alive);
    }

    /// Applies a report that a member, described in full, is alive.
    pub(super) fn apply_full(
        &mut self,
        member: Member,
        times: TransitionTimes,
        events: &mut Vec<MembershipEvent>,
    ) -> UpdateOutcome {
        let address = member.address;
        if let Some(known) = self.get(address) {
            if known.member.start_order() == member.start_order() {
                let evidence = Evidence::Reported(ReportedState::Alive);
                return self.transition(address, member.refutations, evidence, times, events);
            }
            if known.member.start_order() > member.start_order() {
                return UpdateOutcome::Stale;
            }
        }
        if let Err(reason) = self.admit(&member) {
            self.rejected.count(reason);
            return UpdateOutcome::Rejected;
        }
        if let Some(previous) = self.remove(address) {
            if previous.state.is_live() {
                events.push(MembershipEvent::Down(previous.member));
            }
        }
        events.push(MembershipEvent::Up(member.clone()));
        self.insert(member, MemberState::Alive);
        UpdateOutcome::NewIncarnation
    }

    /// Applies a report about an incarnation that is expected to be known.
    pub(super) fn apply_brief(
        &mut self,
        update: &BriefUpdate,
        times: TransitionTimes,
        events: &mut Vec<MembershipEvent>,
    ) -> UpdateOutcome {
        let evidence = Evidence::Reported(update.state);
        self.apply_evidence(update.into(), evidence, times, events)
    }

    /// Applies evidence about an incarnation that is expected to be known.
    pub(super) fn apply_evidence(
        &mut self,
        subject: IncarnationRef,
        evidence: Evidence,
        times: TransitionTimes,
        events: &mut Vec<MembershipEvent>,
    ) -> UpdateOutcome {
        if self
            .get_incarnation(subject.address, subject.incarnation)
            .is_none()
        {
            return UpdateOutcome::UnknownIncarnation;
        }
        self.transition(
            subject.address,
            subject.refutations,
            evidence,
            times,
            events,
        )
    }

    /// Applies evidence about the incarnation that the table holds for this address.
    fn transition(
        &mut self,
        address: SocketAddr,
        refutations: u32,
        evidence: Evidence,
        times: TransitionTimes,
        events: &mut Vec<MembershipEvent>,
    ) -> UpdateOutcome {
        let Some(record) = self.get(address) else {
            return UpdateOutcome::UnknownIncarnation;
        };
        let known = record.member.refutations;
        let order = refutations.cmp(&known);
        match record.state.transition(evidence, order, times) {
            Transition::To(state) => {
                self.change(address, refutations.max(known), state, events);
                UpdateOutcome::Changed
            }
            Transition::Unchanged => UpdateOutcome::Unchanged,
            Transition::Stale => UpdateOutcome::Stale,
        }
    }

    /// Declares dead all members that have not refuted their suspicion by the deadline.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp, events: &mut Vec<MembershipEvent>) {
        let times = TransitionTimes {
            now,
            suspicion_deadline: now,
        };
        while let Some((deadline, address)) = self
            .suspicions
            .first()
            .copied()
            .filter(|(deadline, _)| *deadline <= now)
        {
            self.suspicions.remove(&(deadline, address));
            let Some(record) = self.get(address) else {
                continue;
            };
            if record.state == (MemberState::Suspect { deadline }) {
                let refutations = record.member.refutations;
                self.transition(
                    address,
                    refutations,
                    Evidence::SuspicionExpired,
                    times,
                    events,
                );
            }
        }
    }

    /// Returns the earliest suspicion deadline.
    pub(super) fn next_suspicion_deadline(&self) -> Option<Timestamp> {
        self.suspicions.first().map(|(deadline, _)| *deadline)
    }

    /// Moves all suspicions to a common deadline, for a process that could not receive refutations.
    pub(super) fn extend_suspicions(&mut self, deadline: Timestamp) {
        for (previous, address) in std::mem::take(&mut self.suspicions) {
            let suspected = MemberState::Suspect { deadline: previous };
            if let Some(record) = self
                .records
                .get_mut(&address)
                .filter(|record| record.state == suspected)
            {
                record.state = MemberState::Suspect { deadline };
                self.suspicions.insert((deadline, address));
            }
        }
    }

    /// Returns a dead member, drawn at random.
    pub(super) fn random_dead_member(&self, rng: &mut impl Rng) -> Option<&MemberRecord> {
        if self.dead_count == 0 {
            return None;
        }
        let nth = rng.random_range(0..self.dead_count);
        self.records
            .values()
            .filter(|record| matches!(record.state, MemberState::Dead { .. }))
            .nth(nth)
    }

    /// Checks whether a member may be added, and evicts a dead or departed member if the table is
    /// full.
    fn admit(&mut self, member: &Member) -> Result<(), RejectReason> {
        check_member(member, &self.live_name_counts)?;
        if self.has_room_for(member.address) || self.evict_longest_gone() {
            Ok(())
        } else {
            Err(RejectReason::TableFull)
        }
    }

    fn change(
        &mut self,
        address: SocketAddr,
        refutations: u32,
        state: MemberState,
        events: &mut Vec<MembershipEvent>,
    ) {
        let Some(mut previous) = self.remove(address) else {
            return;
        };
        previous.member.refutations = refutations;
        match (previous.state.is_live(), state.is_live()) {
            (false, true) => events.push(MembershipEvent::Up(previous.member.clone())),
            (true, false) => events.push(MembershipEvent::Down(previous.member.clone())),
            _ => {}
        }
        self.insert(previous.member, state);
    }

    fn insert(&mut self, member: Member, state: MemberState) {
        let address = member.address;
        if state.is_live() {
            self.view.add(&member);
            self.live_name_counts.add(&member.name);
            if address != self.local_address {
                self.live_peers.push(address);
            }
        }
        match state {
            MemberState::Suspect { deadline } => {
                self.suspicions.insert((deadline, address));
            }
            MemberState::Dead { .. } => self.dead_count += 1,
            MemberState::Alive | MemberState::Left { .. } => {}
        }
        let record = MemberRecord {
            member,
            state,
            live_peer_index: self.live_peers.len().saturating_sub(1),
        };
        self.records.insert(address, record);
    }

    fn remove(&mut self, address: SocketAddr) -> Option<MemberRecord> {
        let record = self.records.remove(&address)?;
        if record.state.is_live() {
            self.view.remove(address);
            self.live_name_counts.remove(&record.member.name);
            if address != self.local_address {
                self.remove_live_peer(record.live_peer_index);
            }
        }
        match record.state {
            MemberState::Suspect { deadline } => {
                self.suspicions.remove(&(deadline, address));
            }
            MemberState::Dead { .. } => self.dead_count -= 1,
            MemberState::Alive | MemberState::Left { .. } => {}
        }
        Some(record)
    }

    /// Removes a live peer by its index. The last live peer takes its place.
    fn remove_live_peer(&mut self, index: usize) {
        self.live_peers.swap_remove(index);
        let moved = self.live_peers.get(index);
        if let Some(record) = moved.and_then(|moved| self.records.get_mut(moved)) {
            record.live_peer_index = index;
        }
    }
}

#[cfg(test)]
mod tests;
