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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector(BTreeMap<Origin, Version>);

impl VersionVector {
    /// How many origins are known.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Up to which version an origin's writes are known; 0 for none.
    pub fn version(&self, origin: Origin) -> Version {
        self.0.get(&origin).copied().unwrap_or_default()
    }

    /// Whether a write, and so all of its origin before it, is known.
    pub fn includes(&self, dot: Dot) -> bool {
        let known = self.0.get(&dot.origin);
        known.is_some_and(|known| *known >= dot.version)
    }

    /// Notes that all writes of an origin up to this one are known.
    pub fn include(&mut self, dot: Dot) {
        let known = self.0.entry(dot.origin).or_default();
        *known = dot.version.max(*known);
    }

    /// The last known write of each origin.
    pub fn dots(&self) -> impl Iterator<Item = Dot> + '_ {
        self.dots_in(OriginRange::ALL)
    }

    /// The last known write of each origin in a range; none if the range ends before it begins.
    pub fn dots_in(&self, range: OriginRange) -> impl Iterator<Item = Dot> + '_ {
        let known = self.0.range(range.first..);
        let known = known.take_while(move |(origin, _)| **origin <= range.last);
        known.map(|(origin, version)| Dot {
            origin: *origin,
            version: *version,
        })
    }

    /// The vector as one number.
    pub fn digest(&self) -> Digest {
        Digest::of(self)
    }

    /// Forgets the lowest origins beyond a number of origins.
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

    /// Whether the range ends before it begins, as no process sends it.
    pub(crate) fn is_reversed(&self) -> bool {
        self.last < self.first
    }
}

/// A version vector as one number: two stores with the same digest know the same writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    /// Origins of which no write is known do not count.
    fn of(vector: &VersionVector) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for dot in vector.dots().filter(|dot| dot.version > 0) {
            hasher.update(&dot.origin.0.to_le_bytes());
            hasher.update(&dot.version.to_le_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Digest(u64::from_le_bytes(first))
    }
}
