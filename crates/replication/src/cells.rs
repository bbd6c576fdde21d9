//! Which group of members a keyed request goes to: the one that will drop its repeat, also if that
//! comes to another process. By the key and the list alone, so that nothing has to be told before a
//! request is sent, and nothing is lost with a process. A key that moves, as a group comes or is
//! lost, goes nowhere for as long as a repeat of what was sent to its last group may still come:
//! whether a request is one can't be told.

use std::collections::BTreeMap;

/// Milliseconds on a clock that never goes back.
pub type Millis = f64;

#[derive(Clone, Copy, Debug)]
struct Seen {
    since: Millis,
    /// When it had no ready member any more.
    lost: Option<Millis>,
}

/// The groups (cells) of one pool, as its list has told them.
#[derive(Clone, Debug, Default)]
pub struct Cells {
    seen: BTreeMap<u16, Seen>,
}

impl Cells {
    /// Takes in which groups have a ready member. Those of the first list count as known for long.
    /// `longest`: for which repeats are dropped at the most.
    pub fn list(&mut self, now: Millis, ready: impl Iterator<Item = u16>, longest: Millis) {
        let ready: Vec<u16> = ready.collect();
        for (cell, seen) in &mut self.seen {
            if !ready.contains(cell) {
                seen.lost.get_or_insert(now);
            }
        }
        self.seen
            .retain(|_, seen| seen.lost.is_none_or(|lost| now < lost + longest));
        let since = if self.seen.is_empty() { f64::MIN } else { now };
        for cell in ready {
            self.seen
                .entry(cell)
                .or_insert(Seen { since, lost: None })
                .lost = None;
        }
    }

    /// The group of a key whose repeats are dropped for `window`; none if there are no groups. It
    /// may be one that is lost, or none that there is: then nothing may be sent for it.
    pub fn of_key(&self, now: Millis, key: u64, window: Millis) -> Option<u16> {
        // One that is lost keeps its keys until no repeat of what it had can come.
        let counts = |seen: &Seen| seen.lost.is_none_or(|lost| now < lost + window);
        let counting = self.seen.iter().filter(|(_, seen)| counts(seen));
        let (cell, seen) = counting.max_by_key(|(cell, _)| weigh(key, **cell))?;
        // One that is new waits until no repeat of what its key's last group had can come.
        let settled = now >= seen.since + window;
        Some(if settled { *cell } else { self.nowhere() })
    }

    /// A number that no group has.
    fn nowhere(&self) -> u16 {
        (0..=u16::MAX)
            .rev()
            .find(|cell| !self.seen.contains_key(cell))
            .unwrap_or_default()
    }
}

/// How much a group is a key's own (rendezvous hashing, by SplitMix64's finish).
fn weigh(key: u64, cell: u16) -> u64 {
    let mut z = key ^ (u64::from(cell) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
