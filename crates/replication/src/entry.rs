//! Entries in their stored form and in their wire form.

use crate::kind::Kind;
use crate::version_vector::{Dot, Origin, Version};
use crate::{Micros, Timestamp};
use serde::{Deserialize, Serialize};

/// The key of an entry. An origin's newer entry replaces its older one with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The kind of the entry.
    pub kind: Kind,
    /// The name within the kind. For the known kinds it is a target, see [`crate::target`].
    pub name: String,
}

/// A time on this process's clock in microseconds. It is negative for times before the clock's
/// origin.
pub type SignedTimestamp = i64;

/// An entry in a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The version of the write at its origin.
    pub version: Version,
    /// The value, encoded as the kind defines.
    pub value: Vec<u8>,
    /// The time of the write.
    pub written_at: SignedTimestamp,
}

impl Entry {
    /// Returns the time since the entry was written.
    pub fn age_us(&self, now: Timestamp) -> Micros {
        (now as i64).saturating_sub(self.written_at).max(0) as Micros
    }

    /// Converts the entry to its wire form.
    pub(crate) fn to_delta_entry(&self, now: Timestamp, key: &Key) -> DeltaEntry {
        DeltaEntry {
            version: self.version,
            key: key.clone(),
            value: self.value.clone(),
            age_us: self.age_us(now),
        }
    }
}

/// An entry of a store with its origin and key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredEntry<'a> {
    /// The origin that wrote the entry.
    pub origin: Origin,
    /// The key of the entry.
    pub key: &'a Key,
    /// The stored entry.
    pub entry: &'a Entry,
}

impl StoredEntry<'_> {
    /// Returns the identity of the write.
    pub fn dot(&self) -> Dot {
        Dot {
            origin: self.origin,
            version: self.entry.version,
        }
    }
}

/// An entry in its wire form. It has an age instead of a time, so that the clocks of processes need
/// not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaEntry {
    /// The version of the write at its origin.
    pub version: Version,
    /// The key of the entry.
    pub key: Key,
    /// The value, encoded as the kind defines.
    pub value: Vec<u8>,
    /// The time since the entry was written, without the time that it spent on the network.
    pub age_us: Micros,
}

impl DeltaEntry {
    /// Converts the entry to its stored form.
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

/// Entries of one origin to be merged: all remaining entries with versions above `after` and up to
/// `up_to`. A receiver that knows the origin up to `after` knows it up to `up_to` after the merge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The origin that wrote the entries.
    pub origin: Origin,
    /// The version before the first covered one.
    pub after: Version,
    /// The last covered version.
    pub up_to: Version,
    /// The entries in ascending order of version.
    pub entries: Vec<DeltaEntry>,
}

impl Delta {
    /// Returns whether the range of versions is not empty and includes the versions of all entries.
    /// The highest version is reserved, because an origin could write nothing after it.
    pub(crate) fn is_well_formed(&self) -> bool {
        let covers = |entry: &DeltaEntry| self.after < entry.version && entry.version <= self.up_to;
        self.after < self.up_to && self.up_to < Version::MAX && self.entries.iter().all(covers)
    }
}
