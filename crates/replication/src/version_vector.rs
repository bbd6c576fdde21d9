//! Identities of writes (origins, versions, dots) and version vectors.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The identity of a writer of entries: one incarnation of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin(pub u64);

/// The sequence number of a write at its origin, from 1; 0 means no write.
pub type Version = u64;

/// The identity of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Dot {
    /// The origin of the write.
    pub origin: Origin,
    /// The version of the write at its origin.
    pub version: Version,
}

/// The knowledge of a store: for each origin, the version up to which all writes are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector(BTreeMap<Origin, Version>);

impl VersionVector {
    /// Returns the number of known origins.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the version up to which an origin's writes are known; 0 if none is.
    pub fn version(&self, origin: Origin) -> Version {
        self.0.get(&origin).copied().unwrap_or_default()
    }

    /// Returns whether a write, and thus all earlier ones of its origin, is known.
    pub fn includes(&self, dot: Dot) -> bool {
        let known = self.0.get(&dot.origin);
        known.is_some_and(|known| *known >= dot.version)
    }

    /// Marks all writes of an origin up to this one as known.
    pub fn include(&mut self, dot: Dot) {
        let known = self.0.entry(dot.origin).or_default();
        *known = dot.version.max(*known);
    }

    /// Returns the last known write of each origin.
    pub fn dots(&self) -> impl Iterator<Item = Dot> + '_ {
        self.dots_in(OriginRange::ALL)
    }

    /// Returns the last known write of each origin in a range; none if the range is reversed.
    pub fn dots_in(&self, range: OriginRange) -> impl Iterator<Item = Dot> + '_ {
        let known = self.0.range(range.first..);
        let known = known.take_while(move |(origin, _)| **origin <= range.last);
        known.map(|(origin, version)| Dot {
            origin: *origin,
            version: *version,
        })
    }

    /// Returns the digest of the vector.
    pub fn digest(&self) -> Digest {
        Digest::of(self)
    }

    /// Removes the lowest origins until at most `max_origins` remain.
    pub(crate) fn limit_origins(&mut self, max_origins: usize) {
        while self.0.len() > max_origins {
            self.0.pop_first();
        }
    }
}

impl FromIterator<Dot> for VersionVector {
    fn from_iter<I: IntoIterator<Item = Dot>>(dots: I) -> VersionVector {
        let known = dots.into_iter().map(|dot| (dot.origin, dot.version));
        VersionVector(known.collect())
    }
}

/// An inclusive range of origins. A version vector that does not fit into a packet is sent in
/// several parts, one per range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OriginRange {
    /// The first origin of the range.
    pub first: Origin,
    /// The last origin of the range.
    pub last: Origin,
}

impl OriginRange {
    /// The range of all origins.
    pub const ALL: OriginRange = OriginRange {
        first: Origin(0),
        last: Origin(u64::MAX),
    };

    /// Returns whether the range ends before it begins. No process sends such a range.
    pub(crate) fn is_reversed(&self) -> bool {
        self.last < self.first
    }
}

/// A hash of a version vector. Two stores with the same digest know the same writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    /// Computes the digest. Origins without a known write are left out.
    fn of(vector: &VersionVector) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for dot in vector.dots().filter(|dot| dot.version > 0) {
            hasher.update(&dot.origin.0.to_le_bytes());
            hasher.update(&dot.version.to_le_bytes());
        }
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Digest(u64::from_le_bytes(prefix))
    }
}
