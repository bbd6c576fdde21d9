//! Entries by origin. A copy knows all of an origin's entries up to a number, and maybe some beyond
//! it that came ahead. What it should know and does not hold was replaced or has ended, so it is
//! not taken again: nothing forgotten comes back.

use crate::{Dot, Micros, Origin, TOMBSTONE_TTL_US};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an entry is about: its kind, and its name there. Kinds that this version does not know are
/// kept and passed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// See [`crate::kinds`].
    pub kind: u8,
    /// Which of its kind.
    pub name: String,
}

/// An entry on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaEntry {
    /// Its number at its origin.
    pub version: u64,
    /// What it is about.
    pub key: Key,
    /// What it says, in its kind's form.
    pub value: Vec<u8>,
    /// How long ago it was written, in microseconds, as far as those who carried it could tell.
    pub age: Micros,
}

/// Entries of one origin: all that there are with numbers above `after` and up to `upto`, or one
/// that goes ahead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Whose.
    pub origin: Origin,
    /// See above.
    pub after: u64,
    /// See above.
    pub upto: u64,
    /// In the order of their numbers.
    pub items: Vec<DeltaEntry>,
}

/// An entry that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its number at its origin.
    pub version: u64,
    /// What it says.
    pub value: Vec<u8>,
    /// When it was written, on this process's clock, and signed: it may be from before that began.
    pub born: i64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Log {
    /// All entries up to this are known.
    known: u64,
    /// Spans beyond it of which all is known: packets overtake each other.
    ahead: BTreeMap<u64, u64>,
    entries: BTreeMap<Key, Entry>,
    by_version: BTreeMap<u64, Key>,
    /// When it last changed.
    touched: Micros,
}

impl Log {
    fn put(&mut self, key: Key, entry: Entry) {
        let version = entry.version;
        if let Some(before) = self.entries.insert(key.clone(), entry) {
            self.by_version.remove(&before.version);
        }
        self.by_version.insert(version, key);
    }

    /// All entries of a span are known; true if all up to some number are, that were not before.
    fn covers(&mut self, after: u64, upto: u64) -> bool {
        if after > self.known {
            let end = self.ahead.entry(after).or_insert(upto);
            *end = upto.max(*end);
            // The farthest is told again.
            while self.ahead.len() > AHEAD_MOST {
                self.ahead.pop_last();
            }
            return false;
        }
        let before = self.known;
        self.known = self.known.max(upto);
        while let Some(first) = self
            .ahead
            .first_entry()
            .filter(|first| *first.key() <= self.known)
        {
            self.known = self.known.max(first.remove());
        }
        self.known > before
    }

    fn forget(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.by_version.remove(&entry.version);
        }
    }
}

/// Spans of one origin that are kept in mind.
const AHEAD_MOST: usize = 256;

/// What is held at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Entries in all. Beyond it what is new is not taken, but for the kinds that must be.
    pub entries: usize,
    /// Origins.
    pub origins: usize,
    /// Bytes of a name and of a value.
    pub bytes: usize,
}

impl Bounds {
    /// Those of the program.
    pub const USUAL: Bounds = Bounds {
        entries: 100_000,
        origins: 20_000,
        bytes: 512,
    };
}

/// What a copy knows, by origin: all entries up to a number.
pub type VersionVector = BTreeMap<Origin, u64>;

/// See the module's text.
#[derive(Clone, Debug)]
pub struct Store {
    me: Origin,
    logs: BTreeMap<Origin, Log>,
    bounds: Bounds,
    entries: usize,
    /// Entries that were not taken for want of room, or that were too large.
    left_out: u64,
}

impl Store {
    /// An empty copy of this life.
    pub fn new(me: Origin, bounds: Bounds) -> Store {
        Store {
            me,
            logs: BTreeMap::new(),
            bounds,
            entries: 0,
            left_out: 0,
        }
    }

    /// Who writes here.
    pub fn me(&self) -> Origin {
        self.me
    }

    /// How many entries are held.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Entries that were not taken.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Writes an entry of this process's own; gives the piece that tells others at once.
    pub fn write(&mut self, now: Micros, key: Key, value: Vec<u8>) -> Delta {
        let log = self.logs.entry(self.me).or_default();
        let before = log.entries.len();
        // One that came back from others, after this life lost count, goes before.
        let last = log
            .by_version
            .last_key_value()
            .map_or(0, |(version, _)| *version);
        let version = log.known.max(last) + 1;
        log.put(
            key.clone(),
            Entry {
                version,
                value: value.clone(),
                born: now as i64,
            },
        );
        let after = log.known;
        log.known = version;
        log.touched = now;
        self.entries = self.entries + log.entries.len() - before;
        Delta {
            origin: self.me,
            after,
            upto: version,
            items: vec![DeltaEntry {
                version,
                key,
                value,
                age: 0,
            }],
        }
    }

    /// What is known here.
    pub fn known(&self) -> VersionVector {
        self.logs
            .iter()
            .map(|(origin, log)| (*origin, log.known))
            .collect()
    }

    /// The same as one number: two copies that know the same have the same.
    pub fn summary(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for (origin, log) in self.logs.iter().filter(|(_, log)| log.known > 0) {
            hasher.update(&origin.0.to_le_bytes());
            hasher.update(&log.known.to_le_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    /// What another lacks that knows as much: pieces with up to `most` entries in all, and whether
    /// that is everything. Origins outside of the span that was told are left out.
    pub fn lacking(
        &self,
        now: Micros,
        theirs: &VersionVector,
        span: (Origin, Origin),
        most: usize,
    ) -> (Vec<Delta>, bool) {
        let (mut deltas, mut left) = (Vec::new(), most);
        for (origin, log) in self.logs.range(span.0..=span.1) {
            let after = theirs.get(origin).copied().unwrap_or_default();
            if after >= log.known {
                continue;
            }
            if left == 0 {
                return (deltas, false);
            }
            let mut delta = Delta {
                origin: *origin,
                after,
                upto: log.known,
                items: Vec::new(),
            };
            for (version, key) in log.by_version.range(after + 1..=log.known) {
                if left == 0 {
                    // What comes behind is told next time.
                    delta.upto = *version - 1;
                    deltas.push(delta);
                    return (deltas, false);
                }
                let entry = &log.entries[key];
                delta.items.push(item(now, key, entry));
                left -= 1;
            }
            deltas.push(delta);
        }
        (deltas, true)
    }

    /// Takes a piece in. Gives the entries that are new here.
    pub fn merge(&mut self, now: Micros, delta: Delta) -> Vec<(Dot, Key)> {
        let Delta {
            origin,
            after,
            upto,
            items,
        } = delta;
        let sound = after < upto
            && upto < u64::MAX
            && items.iter().all(|i| i.version > after && i.version <= upto);
        if !sound || (!self.logs.contains_key(&origin) && self.logs.len() >= self.bounds.origins) {
            self.left_out += items.len() as u64;
            return Vec::new();
        }
        let log = self.logs.entry(origin).or_default();
        let mut news = Vec::new();
        for DeltaEntry {
            version,
            key,
            value,
            age,
        } in items
        {
            let older = log
                .entries
                .get(&key)
                .is_some_and(|held| held.version >= version);
            // What should be known here and is not held was replaced, or has ended.
            let over = version <= log.known;
            if older || over {
                continue;
            }
            let replaces = log.entries.contains_key(&key);
            let room = self.entries < self.bounds.entries
                || replaces
                || crate::kinds::is_exempt_from_capacity(key.kind);
            if !room || key.name.len() > self.bounds.bytes || value.len() > self.bounds.bytes {
                self.left_out += 1;
                continue;
            }
            let born = now as i64 - i64::try_from(age).unwrap_or(i64::MAX / 2).min(i64::MAX / 2);
            log.put(
                key.clone(),
                Entry {
                    version,
                    value,
                    born,
                },
            );
            self.entries += usize::from(!replaces);
            log.touched = now;
            news.push((Dot { origin, version }, key));
        }
        if log.covers(after, upto) {
            log.touched = now;
        }
        news
    }

    /// Takes an entry out that has ended; it is known still, so it does not come back.
    pub fn forget(&mut self, origin: Origin, key: &Key) {
        if let Some(log) = self.logs.get_mut(&origin) {
            let before = log.entries.len();
            log.forget(key);
            self.entries = self.entries + log.entries.len() - before;
        }
    }

    /// Forgets origins that have held nothing for as long as anything withdrawn is remembered.
    pub fn forget_origins(&mut self, now: Micros) {
        let me = self.me;
        self.logs.retain(|origin, log| {
            *origin == me
                || !log.entries.is_empty()
                || now.saturating_sub(log.touched) < TOMBSTONE_TTL_US
        });
    }

    /// Forgets all but what was written here since a time, when it was last in touch with another:
    /// a copy that was away for longer than what is withdrawn is remembered may not bring back
    /// what is gone.
    pub fn replace_whole(&mut self, since: Micros) {
        let me = self.me;
        self.logs.retain(|origin, _| *origin == me);
        for log in self.logs.values_mut() {
            let old = log
                .entries
                .iter()
                .filter(|(_, entry)| entry.born < since as i64);
            let old: Vec<Key> = old.map(|(key, _)| key.clone()).collect();
            old.iter().for_each(|key| log.forget(key));
        }
        self.entries = self.logs.values().map(|log| log.entries.len()).sum();
    }

    /// All entries of a kind: whose, about what, and what they say.
    pub fn of_kind(&self, kind: u8) -> impl Iterator<Item = (Origin, &Key, &Entry)> {
        let from = Key {
            kind,
            name: String::new(),
        };
        self.logs.iter().flat_map(move |(origin, log)| {
            let entries = log
                .entries
                .range(from.clone()..)
                .take_while(move |(key, _)| key.kind == kind);
            entries.map(|(key, entry)| (*origin, key, entry))
        })
    }

    /// What all origins say of one thing.
    pub fn of_key<'a>(&'a self, key: &'a Key) -> impl Iterator<Item = (Origin, &'a Entry)> {
        self.logs
            .iter()
            .filter_map(|(origin, log)| Some((*origin, log.entries.get(key)?)))
    }

    /// What one origin says of one thing.
    pub fn get(&self, origin: Origin, key: &Key) -> Option<&Entry> {
        self.logs.get(&origin)?.entries.get(key)
    }

    /// What one origin has written that is held, as pieces of up to so many entries: for a
    /// snapshot.
    pub fn deltas(&self, now: Micros, most: usize) -> Vec<Delta> {
        let mut all = Vec::new();
        for (origin, log) in &self.logs {
            let mut delta = Delta {
                origin: *origin,
                after: 0,
                upto: log.known,
                items: Vec::new(),
            };
            for (version, key) in log.by_version.range(..=log.known) {
                if delta.items.len() == most {
                    let rest = Delta {
                        after: *version - 1,
                        items: Vec::new(),
                        ..delta.clone()
                    };
                    delta.upto = *version - 1;
                    all.push(std::mem::replace(&mut delta, rest));
                }
                delta.items.push(item(now, key, &log.entries[key]));
            }
            all.push(delta);
        }
        all.retain(|delta| delta.upto > delta.after);
        all
    }
}

fn item(now: Micros, key: &Key, entry: &Entry) -> DeltaEntry {
    let age = (now as i64).saturating_sub(entry.born).max(0) as Micros;
    DeltaEntry {
        version: entry.version,
        key: key.clone(),
        value: entry.value.clone(),
        age,
    }
}
