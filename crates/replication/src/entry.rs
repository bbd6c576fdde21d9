//! Entries: what an origin writes, as a store holds it and as it travels.

use crate::kind::Kind;
use crate::version_vector::{Dot, Origin, Version};
use crate::{Micros, Timestamp};
use serde::{Deserialize, Serialize};

/// What an entry is about. An origin's newer entry replaces its older one of the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// What the entry is about.
    pub kind: Kind,
    /// The subject, in the form that the kind uses; for the known kinds a target, see
    /// [`crate::target`].
    pub name: String,
}

/// An instant on this process's clock, in microseconds; negative for before the clock began.
pub type SignedTimestamp = i64;

/// An entry as a store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The number of the write at its origin.
    pub version: Version,
    /// What the entry says, in its kind's form.
    pub value: Vec<u8>,
    /// When it was written.
    pub written_at: SignedTimestamp,
}

impl Entry {
    /// How long ago the entry was written.
    pub fn age_us(&self, now: Timestamp) -> Micros {
        (now as i64).saturating_sub(self.written_at).max(0) as Micros
    }

    /// The entry as it travels.
    pub(crate) fn to_delta_entry(&self, now: Timestamp, key: &Key) -> DeltaEntry {
        DeltaEntry {
            version: self.version,
            key: key.clone(),
            value: self.value.clone(),
            age_us: self.age_us(now),
        }
    }
}

/// An entry of a store, with who wrote it and what it is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredEntry<'a> {
    /// Who wrote it.
    pub origin: Origin,
    /// What it is about.
    pub key: &'a Key,
    /// The entry.
    pub entry: &'a Entry,
}

impl StoredEntry<'_> {
    /// The name of the entry's write.
    pub fn dot(&self) -> Dot {
        Dot {
            origin: self.origin,
            version: self.entry.version,
        }
    }
}

/// An entry as it travels. It carries its age instead of a time, so that clocks need not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaEntry {
    /// The number of the write at its origin.
    pub version: Version,
    /// What the entry is about.
    pub key: Key,
    /// What the entry says, in its kind's form.
    pub value: Vec<u8>,
    /// How long ago it was written, without the time that it spent in packets.
    pub age_us: Micros,
}

impl DeltaEntry {
    /// The entry as a store holds it.
    pub(crate) fn into_entry(self, now: Timestamp) -> Entry {
        const MAX_AGE_US: i64 = i64::MAX / 2;
        let age_us = i64::try_from(self.age_us).unwrap_or(MAX_AGE_US);
        Entry {
            version: self.version,
            value: self.value,
            written_at: now as i64 - age_us.min(MAX_AGE_US),
        }
    }
}

/// Entries of one origin on their way: all that still exist with versions above `after` and up to
/// `up_to`. A receiver that knows the origin up to `after` knows it up to `up_to` afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Who wrote the entries.
    pub origin: Origin,
    /// The version before the first that is covered.
    pub after: Version,
    /// The last version that is covered.
    pub up_to: Version,
    /// The entries, by rising version.
    pub entries: Vec<DeltaEntry>,
}

impl Delta {
    /// Whether the delta covers versions, and no others than those of its entries. The highest
    /// version is reserved, as an origin could write nothing after it.
    pub(crate) fn is_well_formed(&self) -> bool {
        let covers = |entry: &DeltaEntry| self.after < entry.version && entry.version <= self.up_to;
        self.after < self.up_to && self.up_to < Version::MAX && self.entries.iter().all(covers)
    }
}
