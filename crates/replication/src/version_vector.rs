//! Names of writes: origins, versions, dots, and what a store knows of each origin.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The incarnation of a process, as a writer of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin(pub u64);

/// The number of a write at its origin, from 1; 0 stands for none.
pub type Version = u64;

/// The name of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Dot {
    /// Who wrote it.
    pub origin: Origin,
    /// The number of the write at its origin.
    pub version: Version,
}

/// What a store knows: of each origin, all writes up to a version.
pub type VersionVector = BTreeMap<Origin, Version>;

/// Notes that the writes of a dot's origin are known up to the dot's version.
pub(crate) fn include(vector: &mut VersionVector, dot: Dot) {
    let known = vector.entry(dot.origin).or_default();
    *known = dot.version.max(*known);
}

/// Whether a version vector covers a write.
pub(crate) fn includes(vector: &VersionVector, dot: Dot) -> bool {
    vector
        .get(&dot.origin)
        .is_some_and(|known| *known >= dot.version)
}

/// The part of a version vector that lies in a range of origins.
pub(crate) fn dots_in(
    vector: &VersionVector,
    range: OriginRange,
) -> impl Iterator<Item = Dot> + '_ {
    vector
        .range(range.first..=range.last)
        .map(|(origin, version)| Dot {
            origin: *origin,
            version: *version,
        })
}

/// Origins from a first to a last, both included. A version vector that does not fit a packet is
/// sent as several parts, each for a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OriginRange {
    /// The first origin.
    pub first: Origin,
    /// The last origin.
    pub last: Origin,
}

impl OriginRange {
    /// All origins.
    pub const ALL: OriginRange = OriginRange {
        first: Origin(0),
        last: Origin(u64::MAX),
    };
}

/// A version vector as one number: two stores with the same digest know the same writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    /// The digest of a version vector. Origins of which no write is known do not count.
    pub fn of(vector: &VersionVector) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for (origin, version) in vector.iter().filter(|(_, version)| **version > 0) {
            hasher.update(&origin.0.to_le_bytes());
            hasher.update(&version.to_le_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Digest(u64::from_le_bytes(first))
    }
}
