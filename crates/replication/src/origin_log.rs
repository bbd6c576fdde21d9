//! The part of a store that belongs to one origin: its entries and its known versions.
//!
//! A known version without an entry was replaced or has expired, and is not merged again.

use crate::entry::{Delta, Entry, Key};
use crate::version_vector::{Origin, Version};
use crate::Timestamp;
use std::collections::BTreeMap;

/// Maximum number of spans of known versions beyond a gap that are stored per origin. Packets may
/// be reordered; a span beyond this number is dropped and sent again.
const MAX_SPANS_AHEAD: usize = 256;

/// The entries and known versions of one origin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OriginLog {
    /// The version up to which all versions are known.
    known_up_to: Version,
    /// Spans of known versions beyond a gap. The key is exclusive, the value inclusive.
    spans_ahead: BTreeMap<Version, Version>,
    entries: BTreeMap<Key, Entry>,
    keys_by_version: BTreeMap<Version, Key>,
    /// The time of the last change.
    changed_at: Timestamp,
}

impl OriginLog {
    /// Returns the version up to which all versions are known.
    pub fn known_up_to(&self) -> Version {
        self.known_up_to
    }

    /// Returns the entries by key.
    pub fn entries(&self) -> &BTreeMap<Key, Entry> {
        &self.entries
    }

    /// Returns the time of the last change.
    pub fn changed_at(&self) -> Timestamp {
        self.changed_at
    }

    /// Appends an entry written by this log's origin, and returns its version. The version is
    /// higher than those of entries of this origin that peers have returned and that lie beyond the
    /// known versions.
    pub fn append(&mut self, now: Timestamp, key: Key, value: Vec<u8>) -> Version {
        let last = self.keys_by_version.last_key_value();
        let last = last.map_or(0, |(version, _)| *version);
        // The addition saturates only after a forged delta of this origin. Peers reject the
        // highest version.
        let version = self.known_up_to.max(last).saturating_add(1);
        let written_at = now as i64;
        self.put(
            now,
            key,
            Entry {
                version,
                value,
                written_at,
            },
        );
        self.known_up_to = version;
        version
    }

    /// Stores an entry, and replaces an older one with the same key.
    pub fn put(&mut self, now: Timestamp, key: Key, entry: Entry) {
        let version = entry.version;
        if let Some(replaced) = self.entries.insert(key.clone(), entry) {
            self.keys_by_version.remove(&replaced.version);
        }
        self.keys_by_version.insert(version, key);
        self.changed_at = now;
    }

    /// Returns whether a write is known, or was replaced by a newer one with the same key.
    pub fn has_seen(&self, version: Version, key: &Key) -> bool {
        let is_replaced = |stored: &Entry| stored.version >= version;
        version <= self.known_up_to || self.entries.get(key).is_some_and(is_replaced)
    }

    /// Marks all versions above `after` and up to `up_to` as known.
    pub fn mark_known(&mut self, now: Timestamp, after: Version, up_to: Version) {
        if after > self.known_up_to {
            let end = self.spans_ahead.entry(after).or_insert(up_to);
            *end = up_to.max(*end);
            while self.spans_ahead.len() > MAX_SPANS_AHEAD {
                self.spans_ahead.pop_last();
            }
            return;
        }
        let before = self.known_up_to;
        self.known_up_to = self.known_up_to.max(up_to);
        while let Some(span) = self.spans_ahead.first_entry() {
            if *span.key() > self.known_up_to {
                break;
            }
            self.known_up_to = self.known_up_to.max(span.remove());
        }
        if self.known_up_to > before {
            self.changed_at = now;
        }
    }

    /// Removes an entry; its version stays known.
    pub fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.keys_by_version.remove(&entry.version);
        }
    }

    /// Removes the entries written before `instant`; their versions stay known.
    pub fn remove_written_before(&mut self, instant: Timestamp) {
        let is_older = |entry: &Entry| entry.written_at < instant as i64;
        let older = self.entries.iter().filter(|(_, entry)| is_older(entry));
        let older: Vec<Key> = older.map(|(key, _)| key.clone()).collect();
        older.iter().for_each(|key| self.remove(key));
    }

    /// Returns the known writes above version `after`, with at most `max_entries` entries. The
    /// delta ends before the first entry that exceeds the limit.
    pub fn delta_after(
        &self,
        now: Timestamp,
        origin: Origin,
        after: Version,
        max_entries: usize,
    ) -> Delta {
        let mut delta = Delta {
            origin,
            after,
            up_to: self.known_up_to,
            entries: Vec::new(),
        };
        for (version, key) in self.keys_by_version.range(after + 1..=self.known_up_to) {
            if delta.entries.len() == max_entries {
                delta.up_to = *version - 1;
                break;
            }
            let entry = &self.entries[key];
            delta.entries.push(entry.to_delta_entry(now, key));
        }
        delta
    }
}
