//! Snapshots: a serialized store that is restored after a restart of the process.
//!
//! A snapshot consists of a magic number, a format version, a checksum and a body with the names of
//! the fleet and of the process, the time at which it was taken, and the deltas. It is restored
//! completely or not at all.

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
/// Maximum time by which a snapshot may be ahead of the wall clock, which may have been set back
/// since.
const MAX_CLOCK_SKEW_MS: u64 = 5 * 60 * 1_000;

/// The process to which a snapshot belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotOwner<'a> {
    /// The name of the fleet.
    pub fleet: &'a str,
    /// The name of the process.
    pub process: &'a str,
}

/// The body of a snapshot, encoded with postcard: the order of the fields is the format.
#[derive(Serialize, Deserialize)]
struct SnapshotBody {
    fleet: String,
    process: String,
    /// The time at which the snapshot was taken, in Unix milliseconds.
    taken_ms: u64,
    deltas: Vec<Delta>,
}

/// The reason why a snapshot is rejected. The messages complete a sentence that names the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file is empty.
    #[error("it is empty")]
    Empty,
    /// The bytes are not a snapshot, or one that was truncated or modified.
    #[error("it is corrupt or not a snapshot")]
    Malformed,
    /// The snapshot has the format of another version of the program.
    #[error("it has format version {version}, but this program reads version {FORMAT_VERSION}")]
    UnknownVersion {
        /// The format version of the snapshot.
        version: u8,
    },
    /// The snapshot belongs to another fleet or process.
    #[error("it belongs to process {process} of fleet {fleet}")]
    OtherOwner {
        /// The fleet's name in the snapshot.
        fleet: String,
        /// The process's name in the snapshot.
        process: String,
    },
    /// The snapshot is ahead of the wall clock by more than the tolerance of 5 minutes.
    #[error("it is {} s ahead of the clock", ahead_ms / 1_000)]
    FromFuture {
        /// The difference in milliseconds.
        ahead_ms: u64,
    },
    /// The snapshot is older than [`TOMBSTONE_TTL_US`], and could restore withdrawn orders.
    #[error("it is {} h old, too old to be merged", age_ms / 3_600_000)]
    Stale {
        /// The age of the snapshot in milliseconds.
        age_ms: u64,
    },
}

/// Serializes a store. `taken_ms` is the wall-clock time in Unix milliseconds.
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

/// Merges a snapshot into a store, and returns the number of entries that it added. `now_ms` is the
/// wall-clock time in Unix milliseconds.
///
/// # Errors
///
/// Returns a [`SnapshotError`] if the snapshot is malformed, belongs to another owner, or was not
/// taken within the last 24 hours. The store is then unchanged.
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

/// Verifies and decodes a snapshot.
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

/// Returns the age of a snapshot, or an error if it must not be merged.
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
