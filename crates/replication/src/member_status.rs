//! Status of members: what each process has heard of a member's state, for those that have not
//! heard it themselves.
//!
//! Of the reports of several processes the one of the later start holds, and of one start the more
//! careful. A report expires after [`MEMBER_STATUS_TTL_US`].

use crate::entry::{Delta, Entry, Key, StoredEntry};
use crate::kind::Kind;
use crate::store::Store;
use crate::{Micros, Timestamp};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// A peer's report of a member's status expires after this time: by then the endpoint list of
/// every process that hears anything is expected to say the same.
pub const MEMBER_STATUS_TTL_US: Micros = 60 * 1_000_000;

/// The state of a member, from the least to the most careful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It takes requests.
    Ready,
    /// It takes no new requests.
    Draining,
    /// It no longer exists.
    Gone,
}

/// What one process has heard of a member. Of two reports the greater holds: the later start, then
/// the more careful state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberStatus {
    /// When the member started, in Unix milliseconds; 0 where that is not known.
    pub started_ms: u64,
    /// Its state.
    pub state: MemberState,
}

/// Reports what this process has heard of a member. `None` if its last report says the same.
pub fn report_status(
    store: &mut Store,
    now: Timestamp,
    target: &str,
    status: MemberStatus,
) -> Option<Delta> {
    let key = status_key(target);
    let value = postcard::to_stdvec(&status).ok()?;
    let reported = store.get(store.origin(), &key);
    if reported.is_some_and(|entry| entry.value == value) {
        return None;
    }
    Some(store.write(now, key, value))
}

/// The status of a member by the unexpired reports of other processes.
pub fn status_from_peers(store: &Store, now: Timestamp, target: &str) -> Option<MemberStatus> {
    let key = status_key(target);
    let of_peers = store
        .entries_of_key(&key)
        .filter(|report| report.origin != store.origin() && !is_report_expired(now, report.entry));
    of_peers.filter_map(|report| decode(report.entry)).max()
}

/// What this process has reported of a member.
pub fn reported_status(store: &Store, target: &str) -> Option<MemberStatus> {
    decode(store.get(store.origin(), &status_key(target))?)
}

/// Whether a report no longer counts.
pub fn is_report_expired(now: Timestamp, report: &Entry) -> bool {
    report.age_us(now) >= MEMBER_STATUS_TTL_US
}

/// Whether a report may be forgotten. This process's own report of a member that exists is kept
/// past its expiry: it is written again only when it changes.
pub(crate) fn is_report_forgettable(store: &Store, now: Timestamp, report: StoredEntry) -> bool {
    let is_own = report.origin == store.origin();
    let exists = || decode(report.entry).is_some_and(|status| status.state < MemberState::Gone);
    is_report_expired(now, report.entry) && !(is_own && exists())
}

/// The key of the reports of a member.
fn status_key(target: &str) -> Key {
    Key {
        kind: Kind::MEMBER_STATUS,
        name: target.into(),
    }
}

/// A report in a form that this version does not know says nothing.
fn decode(report: &Entry) -> Option<MemberStatus> {
    postcard::from_bytes(&report.value).ok()
}
