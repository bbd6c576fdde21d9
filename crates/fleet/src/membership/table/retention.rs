//! How long members that are gone are remembered, and how many members there may be.

use super::{MemberRecord, MemberState, MemberTable};
use crate::membership::{Micros, Timestamp};
use std::net::SocketAddr;

/// The most members in a table, with those that are gone.
const MAX_MEMBERS: usize = 10_000;
/// How long a dead member is remembered, so that it is asked now and then whether it is back.
const DEAD_RETENTION_US: Micros = 24 * 3_600_000_000;
/// How long a member that has left is remembered, so that late updates do not bring it back.
const LEFT_RETENTION_US: Micros = 3_600_000_000;

impl MemberTable {
    /// Forgets members that have been gone for long.
    pub(in crate::membership) fn remove_expired(&mut self, now: Timestamp) {
        let expired: Vec<SocketAddr> = self
            .records
            .values()
            .filter(|record| is_expired(record.state, now))
            .map(|record| record.member.address)
            .collect();
        for address in expired {
            self.remove(address);
        }
    }

    /// Whether a record of this address can be added, or replaces one that is there.
    pub(super) fn has_room_for(&self, address: SocketAddr) -> bool {
        self.records.len() < MAX_MEMBERS || self.records.contains_key(&address)
    }

    /// Forgets the member that has been gone for the longest time. Gives false if none is gone.
    pub(super) fn evict_longest_gone(&mut self) -> bool {
        let longest_gone = self
            .records
            .values()
            .filter_map(|record| Some((gone_since(record)?, record.member.address)))
            .min();
        longest_gone.is_some_and(|(_, address)| self.remove(address).is_some())
    }
}

fn is_expired(state: MemberState, now: Timestamp) -> bool {
    match state {
        MemberState::Dead { since } => now >= since + DEAD_RETENTION_US,
        MemberState::Left { since } => now >= since + LEFT_RETENTION_US,
        MemberState::Alive | MemberState::Suspect { .. } => false,
    }
}

fn gone_since(record: &MemberRecord) -> Option<Timestamp> {
    match record.state {
        MemberState::Dead { since } | MemberState::Left { since } => Some(since),
        MemberState::Alive | MemberState::Suspect { .. } => None,
    }
}
