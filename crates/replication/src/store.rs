//! The replicated store: entries by origin, merged by version.
//!
//! Merging is commutative, associative and idempotent: for each origin the newest entry of a key is
//! kept. Entries of several origins for one key are resolved by the readers of the kind
//! ([`crate::orders`], [`crate::member_status`]).

use crate::entry::{Delta, DeltaEntry, Entry, Key, StoredEntry};
use crate::kind::Kind;
use crate::origin_log::OriginLog;
use crate::version_vector::{Digest, Dot, Origin, OriginRange, VersionVector};
use crate::{Micros, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Upper bounds of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Maximum total number of entries. A full store accepts replacements and exempt kinds
    /// ([`Kind::is_exempt_from_capacity`]), and rejects other entries.
    pub max_entries: usize,
    /// Maximum number of origins. Deltas of further origins are rejected.
    pub max_origins: usize,
    /// Maximum length of a key's name, and of a value, in bytes.
    pub max_bytes: usize,
}

impl StoreLimits {
    /// The limits that the proxy uses.
    pub const DEFAULT: StoreLimits = StoreLimits {
        max_entries: 100_000,
        max_origins: 20_000,
        max_bytes: 512,
    };

    /// Returns whether a new entry is accepted by a store with `stored_entries` entries. An entry
    /// that replaces a stored one needs no additional capacity.
    fn admits(&self, entry: &DeltaEntry, stored_entries: usize, is_replacement: bool) -> bool {
        let has_capacity = stored_entries < self.max_entries
            || is_replacement
            || entry.key.kind.is_exempt_from_capacity();
        has_capacity
            && entry.key.name.len() <= self.max_bytes
            && entry.value.len() <= self.max_bytes
    }
}

/// An entry that a merge has added to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergedEntry {
    /// The identity of the write.
    pub dot: Dot,
    /// The key of the entry.
    pub key: Key,
}

/// The part of this store that a peer lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MissingDeltas {
    /// The deltas to send.
    pub deltas: Vec<Delta>,
    /// Whether the peer lacks more than the deltas contain, because of the entry limit.
    pub is_truncated: bool,
}

/// One process's replica of the fleet's entries.
#[derive(Clone, Debug)]
pub struct Store {
    origin: Origin,
    logs: BTreeMap<Origin, OriginLog>,
    limits: StoreLimits,
    entry_count: usize,
    rejected_entries: u64,
}

impl Store {
    /// Creates an empty store that writes its own entries as `origin`.
    pub fn new(origin: Origin, limits: StoreLimits) -> Store {
        Store {
            origin,
            logs: BTreeMap::new(),
            limits,
            entry_count: 0,
            rejected_entries: 0,
        }
    }

    /// Returns the origin of this process's writes.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the number of stored entries.
    pub fn len(&self) -> usize {
        self.entry_count
    }

    /// Returns whether the store has no entries.
    pub fn is_empty(&self) -> bool {
        self.entry_count == 0
    }

    /// Returns the number of entries rejected so far, for lack of capacity, for their size, or
    /// because their delta was malformed.
    pub fn rejected_entries(&self) -> u64 {
        self.rejected_entries
    }

    /// Writes an entry as this process's origin, and returns the delta that replicates it.
    pub fn write(&mut self, now: Timestamp, key: Key, value: Vec<u8>) -> Delta {
        let log = self.logs.entry(self.origin).or_default();
        let (after, entries_before) = (log.known_up_to(), log.entries().len());
        let version = log.append(now, key.clone(), value.clone());
        self.entry_count = self.entry_count + log.entries().len() - entries_before;
        Delta {
            origin: self.origin,
            after,
            up_to: version,
            entries: vec![DeltaEntry {
                version,
                key,
                value,
                age_us: 0,
            }],
        }
    }

    /// Returns the version up to which each origin's writes are known.
    pub fn version_vector(&self) -> VersionVector {
        let logs = self.logs.iter();
        logs.map(|(origin, log)| Dot {
            origin: *origin,
            version: log.known_up_to(),
        })
        .collect()
    }

    /// Returns the digest of the version vector.
    pub fn digest(&self) -> Digest {
        self.version_vector().digest()
    }

    /// Returns the writes of a range of origins that a peer with this version vector lacks, with at
    /// most `max_entries` entries.
    pub fn deltas_missing_at(
        &self,
        now: Timestamp,
        peer: &VersionVector,
        range: OriginRange,
        max_entries: usize,
    ) -> MissingDeltas {
        let mut missing = MissingDeltas::default();
        let mut remaining_entries = max_entries;
        let logs = self.logs.range(range.first..);
        for (origin, log) in logs.take_while(|(origin, _)| **origin <= range.last) {
            let after = peer.version(*origin);
            if after >= log.known_up_to() {
                continue;
            }
            if remaining_entries == 0 {
                missing.is_truncated = true;
                break;
            }
            let delta = log.delta_after(now, *origin, after, remaining_entries);
            // A delta takes up space in a packet even if all its entries have expired.
            remaining_entries = remaining_entries.saturating_sub(delta.entries.len() + 1);
            missing.is_truncated = delta.up_to < log.known_up_to();
            missing.deltas.push(delta);
            if missing.is_truncated {
                break;
            }
        }
        missing
    }

    /// Merges a delta, and returns the entries that were new to this store. Entries of a malformed
    /// delta and entries beyond the limits are rejected. The versions of the latter are marked as
    /// known, so that peers do not resend them in each round.
    pub fn merge(&mut self, now: Timestamp, delta: Delta) -> Vec<MergedEntry> {
        let origin = delta.origin;
        let is_new_origin = !self.logs.contains_key(&origin);
        let is_over_limit = is_new_origin && self.logs.len() >= self.limits.max_origins;
        if is_over_limit || !delta.is_well_formed() {
            self.rejected_entries += delta.entries.len() as u64;
            return Vec::new();
        }
        let log = self.logs.entry(origin).or_default();
        let mut merged = Vec::new();
        for entry in delta.entries {
            if log.has_seen(entry.version, &entry.key) {
                continue;
            }
            let is_replacement = log.entries().contains_key(&entry.key);
            if !self.limits.admits(&entry, self.entry_count, is_replacement) {
                self.rejected_entries += 1;
                continue;
            }
            if !is_replacement {
                self.entry_count += 1;
            }
            let (key, version) = (entry.key.clone(), entry.version);
            let stored = entry.into_entry(now);
            log.put(now, key.clone(), stored);
            let dot = Dot { origin, version };
            merged.push(MergedEntry { dot, key });
        }
        log.mark_known(now, delta.after, delta.up_to);
        merged
    }

    /// Removes an entry. Its version stays known, so a peer that still has it does not restore it.
    pub fn remove(&mut self, origin: Origin, key: &Key) {
        if let Some(log) = self.logs.get_mut(&origin) {
            let entries_before = log.entries().len();
            log.remove(key);
            self.entry_count = self.entry_count + log.entries().len() - entries_before;
        }
    }

    /// Removes origins that have no entries and have not changed for `idle_us`. This process's own
    /// origin is kept.
    pub fn remove_idle_origins(&mut self, now: Timestamp, idle_us: Micros) {
        let own = self.origin;
        self.logs.retain(|origin, log| {
            *origin == own
                || !log.entries().is_empty()
                || now.saturating_sub(log.changed_at()) < idle_us
        });
    }

    /// Removes everything except the entries that this process wrote since `last_contact_at`, the
    /// time of the last message from a peer. Used after an isolation longer than the tombstone TTL:
    /// older entries could restore orders whose withdrawals the peers have already removed.
    pub fn reset_after_isolation(&mut self, last_contact_at: Timestamp) {
        let own = self.origin;
        self.logs.retain(|origin, _| *origin == own);
        for log in self.logs.values_mut() {
            log.remove_written_before(last_contact_at);
        }
        self.entry_count = self.logs.values().map(|log| log.entries().len()).sum();
    }

    /// Returns all entries of a kind.
    pub fn entries_of_kind(&self, kind: Kind) -> impl Iterator<Item = StoredEntry<'_>> {
        let first = Key {
            kind,
            name: String::new(),
        };
        self.logs.iter().flat_map(move |(origin, log)| {
            let from_first = log.entries().range(first.clone()..);
            from_first
                .take_while(move |(key, _)| key.kind == kind)
                .map(|(key, entry)| StoredEntry {
                    origin: *origin,
                    key,
                    entry,
                })
        })
    }

    /// Returns the entries of all origins for one key.
    pub fn entries_of_key<'a>(&'a self, key: &'a Key) -> impl Iterator<Item = StoredEntry<'a>> {
        self.logs.iter().filter_map(move |(origin, log)| {
            Some(StoredEntry {
                origin: *origin,
                key,
                entry: log.entries().get(key)?,
            })
        })
    }

    /// Returns the entry of one origin for one key.
    pub fn get(&self, origin: Origin, key: &Key) -> Option<&Entry> {
        self.logs.get(&origin)?.entries().get(key)
    }

    /// Returns all known writes as deltas with at most `max_entries` entries each; 0 counts as 1.
    pub fn deltas(&self, now: Timestamp, max_entries: usize) -> Vec<Delta> {
        let mut deltas = Vec::new();
        for (origin, log) in &self.logs {
            let mut after = 0;
            while after < log.known_up_to() {
                let delta = log.delta_after(now, *origin, after, max_entries.max(1));
                after = delta.up_to;
                deltas.push(delta);
            }
        }
        deltas
    }
}
