//! Retention of dead and departed members, and the size limit of the table.

use super::{MemberRecord, MemberState, MemberTable};
use crate::membership::{Micros, Timestamp};
use std::net::SocketAddr;

/// The maximum number of members in a table, including those that are dead or have left.
const MAX_MEMBERS: usize = 10_000;
/// The time for which a dead member is kept, so that it is pinged occasionally in case it is back.
const DEAD_RETENTION_US: Micros = 24 * 3_600_000_000;
/// The time for which a member that has left is kept, so that late updates do not bring it back.
const LEFT_RETENTION_US: Micros = 3_600_000_000;

impl MemberTable {
    /// Removes members whose retention time has passed.
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

    /// Returns whether a record of this address fits the table or replaces an existing one.
    pub(super) fn has_room_for(&self, address: SocketAddr) -> bool {
        self.records.len() < MAX_MEMBERS || self.records.contains_key(&address)
    }

    /// Removes the member that has been dead or departed for the longest time. Returns false if
    /// there is none.
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
