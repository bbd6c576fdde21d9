//! Which members may enter the table: limits that keep damaged and hostile updates from filling it.

use super::hash::hash_bytes;
use super::member::Member;
use rustc_hash::FxHashMap;
use std::net::{IpAddr, SocketAddr};

/// The most live members of one name. Two incarnations of a process may be seen at once; more than
/// a few are a fault.
const MAX_MEMBERS_PER_NAME: u16 = 16;
/// The longest name of a member or a site, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The latest start that a member may claim, in Unix milliseconds: the year 2100.
const MAX_STARTED_MS: u64 = 4_102_444_800_000;

/// Updates that were not taken, counted by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedUpdates {
    /// The address can't be the receiver of a packet.
    pub unreachable_address: u64,
    /// The name is too long, or too many live members have it.
    pub name_limit: u64,
    /// The start lies in the far future.
    pub start_in_future: u64,
    /// The table is full, and no member in it is dead or has left.
    pub table_full: u64,
}

/// Why a member may not enter the table.
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

/// How many live members have each name, by the name's hash.
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

/// Checks a member that is not in the table yet, in this incarnation.
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

/// Whether an incarnation with a start after this member's would be admitted.
pub(super) fn can_be_superseded(member: &Member) -> bool {
    member.started_ms < MAX_STARTED_MS
}

/// Whether packets can be sent to this address, and reach one receiver.
fn is_reachable(address: SocketAddr) -> bool {
    let is_unicast = match address.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
        IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
    };
    is_unicast && address.port() != 0
}
