//! What a store holds of one origin: its entries, and which of its versions are known.
//!
//! A version that is known and has no entry was replaced or has expired, and is not taken in again.

use crate::entry::{Delta, Entry, Key};
use crate::version_vector::{Origin, Version};
use crate::Timestamp;
use std::collections::BTreeMap;

/// Spans of known versions beyond a gap that are remembered of one origin. Packets overtake each
/// other; a span that is not remembered is sent again.
const MAX_SPANS_AHEAD: usize = 256;

/// The entries of one origin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OriginLog {
    /// All versions up to this one are known.
    known_up_to: Version,
    /// Spans of known versions beyond a gap: from after the key up to the value.
    spans_ahead: BTreeMap<Version, Version>,
    entries: BTreeMap<Key, Entry>,
    keys_by_version: BTreeMap<Version, Key>,
    /// When the log last changed.
    changed_at: Timestamp,
}

impl OriginLog {
    /// All versions up to this one are known.
    pub fn known_up_to(&self) -> Version {
        self.known_up_to
    }

    /// The entries by key.
    pub fn entries(&self) -> &BTreeMap<Key, Entry> {
        &self.entries
    }

    /// When the log last changed.
    pub fn changed_at(&self) -> Timestamp {
        self.changed_at
    }

    /// Appends an entry as the log's own origin, and gives its version. Entries of this origin that
    /// came back from peers, beyond what this process knows to have written, go before it.
    pub fn append(&mut self, now: Timestamp, key: Key, value: Vec<u8>) -> Version {
        let last = self.keys_by_version.last_key_value();
        let last = last.map_or(0, |(version, _)| *version);
        // Only a forged delta of this origin brings versions so high; peers take no higher one.
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

    /// Takes in an entry, in place of an older one of its key.
    pub fn put(&mut self, now: Timestamp, key: Key, entry: Entry) {
        let version = entry.version;
        if let Some(replaced) = self.entries.insert(key.clone(), entry) {
            self.keys_by_version.remove(&replaced.version);
        }
        self.keys_by_version.insert(version, key);
        self.changed_at = now;
    }

    /// Whether a write is known here, or replaced by a newer one of its key.
    pub fn has_seen(&self, version: Version, key: &Key) -> bool {
        let is_replaced = |held: &Entry| held.version >= version;
        version <= self.known_up_to || self.entries.get(key).is_some_and(is_replaced)
    }

    /// Notes that all versions above `after` and up to `up_to` are known.
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

    /// Removes the entries that were written before an instant; their versions stay known.
    pub fn remove_written_before(&mut self, instant: Timestamp) {
        let is_older = |entry: &Entry| entry.written_at < instant as i64;
        let older = self.entries.iter().filter(|(_, entry)| is_older(entry));
        let older: Vec<Key> = older.map(|(key, _)| key.clone()).collect();
        older.iter().for_each(|key| self.remove(key));
    }

    /// The known writes above a version, with `max_entries` entries at most: the delta ends before
    /// the first entry that does not fit.
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
