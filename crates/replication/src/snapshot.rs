//! A copy as bytes, to be kept over a restart: a mark, a version, a checksum, whose it is and when
//! it was taken. What is torn, of another fleet or process, from another version or from the future
//! is told apart and not trusted.

use crate::store::{Delta, Store};
use crate::{Micros, TOMBSTONE_TTL_US};
use serde::{Deserialize, Serialize};
use std::fmt;

const MAGIC: [u8; 8] = *b"dewrun-r";
const VERSION: u8 = 1;
const HASH: usize = 32;
/// Entries in one piece.
const PIECE: usize = 1_000;
/// A wall clock may be set back by as much between two lives.
const AHEAD_MS: u64 = 5 * 60 * 1_000;

#[derive(Serialize, Deserialize)]
struct Kept {
    fleet: String,
    name: String,
    taken_ms: u64,
    deltas: Vec<Delta>,
}

/// Why a snapshot is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// There is nothing in it.
    Empty,
    /// It is no snapshot, or was cut or changed.
    Torn,
    /// Another version of the program made it.
    Version(u8),
    /// It is of this fleet and process.
    Foreign(String, String),
    /// It is of so many milliseconds ahead of the clock.
    Future(u64),
    /// It is so many milliseconds old: more than what is withdrawn is remembered.
    Stale(u64),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Empty => f.write_str("it is empty"),
            Unfit::Torn => f.write_str("it is torn, or no snapshot"),
            Unfit::Version(version) => {
                write!(
                    f,
                    "it is of version {version}, and this program reads {VERSION}"
                )
            }
            Unfit::Foreign(fleet, name) => write!(f, "it is of {name} of fleet {fleet}"),
            Unfit::Future(ms) => write!(f, "it is {} s ahead of the clock", ms / 1_000),
            Unfit::Stale(ms) => write!(f, "it is {} h old, too old to be merged", ms / 3_600_000),
        }
    }
}

/// The bytes of a copy.
pub fn write(store: &Store, now: Micros, (fleet, name): (&str, &str), taken_ms: u64) -> Vec<u8> {
    let kept = Kept {
        fleet: fleet.into(),
        name: name.into(),
        taken_ms,
        deltas: store.deltas(now, PIECE),
    };
    let body = postcard::to_stdvec(&kept).unwrap_or_default();
    let mut bytes = MAGIC.to_vec();
    bytes.push(VERSION);
    bytes.extend_from_slice(blake3::hash(&body).as_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads a copy into an empty one, and gives how many entries it had. All of it is taken, or
/// nothing.
pub fn read(
    store: &mut Store,
    now: Micros,
    bytes: &[u8],
    (fleet, name): (&str, &str),
    now_ms: u64,
) -> Result<usize, Unfit> {
    if bytes.is_empty() {
        return Err(Unfit::Empty);
    }
    let rest = bytes.strip_prefix(&MAGIC).ok_or(Unfit::Torn)?;
    let (version, rest) = rest.split_first().ok_or(Unfit::Torn)?;
    if *version != VERSION {
        return Err(Unfit::Version(*version));
    }
    let (hash, body) = rest.split_at_checked(HASH).ok_or(Unfit::Torn)?;
    if blake3::hash(body).as_bytes() != hash {
        return Err(Unfit::Torn);
    }
    let kept: Kept = postcard::from_bytes(body).map_err(|_| Unfit::Torn)?;
    if (kept.fleet.as_str(), kept.name.as_str()) != (fleet, name) {
        return Err(Unfit::Foreign(kept.fleet, kept.name));
    }
    if kept.taken_ms > now_ms + AHEAD_MS {
        return Err(Unfit::Future(kept.taken_ms - now_ms));
    }
    let old_ms = now_ms.saturating_sub(kept.taken_ms);
    if old_ms >= TOMBSTONE_TTL_US / 1_000 {
        return Err(Unfit::Stale(old_ms));
    }
    let before = store.len();
    for mut delta in kept.deltas {
        // It has aged on the disk.
        delta
            .items
            .iter_mut()
            .for_each(|item| item.age = item.age.saturating_add(old_ms * 1_000));
        store.merge(now, delta);
    }
    Ok(store.len() - before)
}

#[cfg(test)]
mod tests;
