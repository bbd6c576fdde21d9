//! Status of members: each process reports the state that its own endpoint list has for a member,
//! so that processes with an outdated list learn of it.
//!
//! Of several processes' reports the one with the latest start of the member takes precedence, and
//! of reports with the same start the most restrictive. A report expires after
//! [`MEMBER_STATUS_TTL_US`].

use crate::entry::{Delta, Entry, Key, StoredEntry};
use crate::kind::Kind;
use crate::store::Store;
use crate::{Micros, Timestamp};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The time after which a peer's report of a member's status expires. By then the endpoint list of
/// every process that can reach its discovery source is expected to agree with the report.
pub const MEMBER_STATUS_TTL_US: Micros = 60 * 1_000_000;

/// The state of a member, from the least to the most restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member accepts requests.
    Ready,
    /// The member accepts no new requests.
    Draining,
    /// The member no longer exists.
    Gone,
}

/// One process's report of a member. Of two reports the greater takes precedence: the one with the
/// later start, then the one with the more restrictive state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The start of the member in Unix milliseconds; 0 if it is unknown.
    pub started_ms: u64,
    /// The reported state.
    pub state: MemberState,
}

/// Writes this process's report of a member, and returns the delta that replicates it. Returns
/// `None` if the last report of this process is the same.
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

/// Returns the status of a member according to the unexpired reports of other processes.
pub fn status_from_peers(store: &Store, now: Timestamp, target: &str) -> Option<MemberStatus> {
    let key = status_key(target);
    let of_peers = store
        .entries_of_key(&key)
        .filter(|report| report.origin != store.origin() && !is_report_expired(now, report.entry));
    of_peers.filter_map(|report| decode(report.entry)).max()
}

/// Returns this process's own report of a member.
pub fn reported_status(store: &Store, target: &str) -> Option<MemberStatus> {
    decode(store.get(store.origin(), &status_key(target))?)
}

/// Returns whether a report has expired.
pub fn is_report_expired(now: Timestamp, report: &Entry) -> bool {
    report.age_us(now) >= MEMBER_STATUS_TTL_US
}

/// Returns whether a report may be removed. This process's own report of an existing member is kept
/// past its expiry, because it is rewritten only when it changes.
pub(crate) fn is_report_removable(store: &Store, now: Timestamp, report: StoredEntry) -> bool {
    let is_own = report.origin == store.origin();
    let exists = || decode(report.entry).is_some_and(|status| status.state < MemberState::Gone);
    is_report_expired(now, report.entry) && !(is_own && exists())
}

/// Returns the key of a member's reports.
fn status_key(target: &str) -> Key {
    Key {
        kind: Kind::MEMBER_STATUS,
        name: target.into(),
    }
}

/// Decodes a report; `None` if it has a format that this version does not know.
fn decode(report: &Entry) -> Option<MemberStatus> {
    postcard::from_bytes(&report.value).ok()
}
