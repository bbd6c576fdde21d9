//! Admission of members to the table: limits that keep malformed and hostile updates from filling
//! it.

use super::hash::hash_bytes;
use super::member::Member;
use rustc_hash::FxHashMap;
use std::net::{IpAddr, SocketAddr};

/// The maximum number of live members of one name. Two incarnations of a process may be known at
/// once; more than a few indicate a fault.
const MAX_MEMBERS_PER_NAME: u16 = 16;
/// The maximum length of the name of a member or a site.
const MAX_NAME_BYTES: usize = 128;
/// The latest start time that a member may claim, in Unix milliseconds: the year 2100.
const MAX_STARTED_MS: u64 = 4_102_444_800_000;

/// The number of rejected updates by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedUpdates {
    /// The address cannot be the destination of a packet.
    pub unreachable_address: u64,
    /// The name is too long, or too many live members have it.
    pub name_limit: u64,
    /// The start time is in the far future.
    pub start_in_future: u64,
    /// The table is full, and no member in it is dead or has left.
    pub table_full: u64,
}

/// The reason why a member is not admitted to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectReason {
    UnreachableAddress,
    StartInFuture,
    NameLimit,
    TableFull,
}

impl RejectedUpdates {
    pub(super) fn count(&mut self, reason: RejectReason) {
        let counter = match reason {
            RejectReason::UnreachableAddress => &mut self.unreachable_address,
            RejectReason::StartInFuture => &mut self.start_in_future,
            RejectReason::NameLimit => &mut self.name_limit,
            RejectReason::TableFull => &mut self.table_full,
        };
        *counter += 1;
    }
}

/// The number of live members of each name, by the name's hash.
#[derive(Default)]
pub(super) struct LiveNameCounts(FxHashMap<u64, u16>);

impl LiveNameCounts {
    pub(super) fn add(&mut self, name: &str) {
        *self.0.entry(hash_bytes(name.as_bytes())).or_default() += 1;
    }

    pub(super) fn remove(&mut self, name: &str) {
        let name = hash_bytes(name.as_bytes());
        if let Some(count) = self.0.get_mut(&name) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(&name);
            }
        }
    }

    fn count(&self, name: &str) -> u16 {
        let name = hash_bytes(name.as_bytes());
        self.0.get(&name).copied().unwrap_or_default()
    }
}

/// Checks a member whose incarnation is not in the table yet.
pub(super) fn check_member(
    member: &Member,
    live_name_counts: &LiveNameCounts,
) -> Result<(), RejectReason> {
    if !is_reachable(member.address) {
        return Err(RejectReason::UnreachableAddress);
    }
    if member.started_ms > MAX_STARTED_MS {
        return Err(RejectReason::StartInFuture);
    }
    if member.name.len() > MAX_NAME_BYTES
        || member.site.len() > MAX_NAME_BYTES
        || live_name_counts.count(&member.name) >= MAX_MEMBERS_PER_NAME
    {
        return Err(RejectReason::NameLimit);
    }
    Ok(())
}

/// Returns whether an incarnation with a later start than this member's would be admitted.
pub(super) fn can_be_superseded(member: &Member) -> bool {
    member.started_ms < MAX_STARTED_MS
}

/// Returns whether packets can be sent to this address and reach a single receiver.
fn is_reachable(address: SocketAddr) -> bool {
    let is_unicast = match address.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
        IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
    };
    is_unicast && address.port() != 0
}
