//! Snapshots: a store as bytes, kept over a restart of the process.
//!
//! A snapshot is a magic number, a format version, a checksum, and the body: the names of the fleet
//! and of the process, when it was taken, and the deltas. It is read whole or not at all.

use crate::entry::Delta;
use crate::expiry::TOMBSTONE_TTL_US;
use crate::store::Store;
use crate::Timestamp;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

const MAGIC: [u8; 8] = *b"dewrun-r";
const FORMAT_VERSION: u8 = 1;
const CHECKSUM_BYTES: usize = 32;
const MAX_ENTRIES_PER_DELTA: usize = 1_000;
/// How far a snapshot may be ahead of the wall clock, which may have been set back since.
const MAX_CLOCK_SKEW_MS: u64 = 5 * 60 * 1_000;

/// Whose snapshot it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotOwner<'a> {
    /// The name of the fleet.
    pub fleet: &'a str,
    /// The name of the process.
    pub process: &'a str,
}

/// The body of a snapshot, in postcard: the order of the fields is the format.
#[derive(Serialize, Deserialize)]
struct SnapshotBody {
    fleet: String,
    process: String,
    /// When it was taken, in Unix milliseconds.
    taken_ms: u64,
    deltas: Vec<Delta>,
}

/// Why a snapshot is not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file is empty.
    #[error("it is empty")]
    Empty,
    /// Not a snapshot, or one that was cut or changed.
    #[error("it is torn, or no snapshot")]
    Malformed,
    /// Another version of the program made it.
    #[error("it is of version {version}, and this program reads {FORMAT_VERSION}")]
    UnknownVersion {
        /// Its format version.
        version: u8,
    },
    /// It is of another fleet or process.
    #[error("it is of {process} of fleet {fleet}")]
    OtherOwner {
        /// The name of its fleet.
        fleet: String,
        /// The name of its process.
        process: String,
    },
    /// It is ahead of the wall clock, by more than a clock may be set back.
    #[error("it is {} s ahead of the clock", ahead_ms / 1_000)]
    FromFuture {
        /// By how many milliseconds.
        ahead_ms: u64,
    },
    /// It is older than tombstones last, and could bring back what was withdrawn.
    #[error("it is {} h old, too old to be merged", age_ms / 3_600_000)]
    Stale {
        /// Its age in milliseconds.
        age_ms: u64,
    },
}

/// The snapshot of a store. `taken_ms`: the wall clock in Unix milliseconds.
pub fn write(store: &Store, now: Timestamp, owner: SnapshotOwner, taken_ms: u64) -> Vec<u8> {
    let body = SnapshotBody {
        fleet: owner.fleet.into(),
        process: owner.process.into(),
        taken_ms,
        deltas: store.deltas(now, MAX_ENTRIES_PER_DELTA),
    };
    let body = postcard::to_stdvec(&body).unwrap_or_default();
    let mut bytes = MAGIC.to_vec();
    bytes.push(FORMAT_VERSION);
    bytes.extend_from_slice(blake3::hash(&body).as_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Merges a snapshot into a store, and gives how many entries that added. `now_ms`: the wall clock
/// in Unix milliseconds.
///
/// # Errors
///
/// If the snapshot is malformed, of another owner, or not of the last 24 hours. The store is then
/// as it was.
pub fn read(
    store: &mut Store,
    now: Timestamp,
    bytes: &[u8],
    owner: SnapshotOwner,
    now_ms: u64,
) -> Result<usize, SnapshotError> {
    let body = open(bytes)?;
    if (body.fleet.as_str(), body.process.as_str()) != (owner.fleet, owner.process) {
        return Err(SnapshotError::OtherOwner {
            fleet: body.fleet,
            process: body.process,
        });
    }
    let age_ms = age_ms(body.taken_ms, now_ms)?;
    let entries_before = store.len();
    for mut delta in body.deltas {
        for entry in &mut delta.entries {
            entry.age_us = entry.age_us.saturating_add(age_ms * 1_000);
        }
        store.merge(now, delta);
    }
    Ok(store.len() - entries_before)
}

/// Checks and decodes a snapshot.
fn open(bytes: &[u8]) -> Result<SnapshotBody, SnapshotError> {
    if bytes.is_empty() {
        return Err(SnapshotError::Empty);
    }
    let rest = bytes.strip_prefix(&MAGIC).ok_or(SnapshotError::Malformed)?;
    let (version, rest) = rest.split_first().ok_or(SnapshotError::Malformed)?;
    if *version != FORMAT_VERSION {
        return Err(SnapshotError::UnknownVersion { version: *version });
    }
    let (checksum, body) = rest
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or(SnapshotError::Malformed)?;
    if blake3::hash(body).as_bytes() != checksum {
        return Err(SnapshotError::Malformed);
    }
    postcard::from_bytes(body).map_err(|_| SnapshotError::Malformed)
}

/// The age of a snapshot, if it is one that can be merged.
fn age_ms(taken_ms: u64, now_ms: u64) -> Result<u64, SnapshotError> {
    if taken_ms > now_ms + MAX_CLOCK_SKEW_MS {
        let ahead_ms = taken_ms - now_ms;
        return Err(SnapshotError::FromFuture { ahead_ms });
    }
    let age_ms = now_ms.saturating_sub(taken_ms);
    if age_ms >= TOMBSTONE_TTL_US / 1_000 {
        return Err(SnapshotError::Stale { age_ms });
    }
    Ok(age_ms)
}
