//! Selection of the cell of members for a request with an idempotency key.
//!
//! A cell is a group of members that share a deduplication window: a member drops a retry of a
//! request that another member of its cell has received. Every process chooses the cell by the key
//! and the endpoint list alone (rendezvous hashing), so a retry through another process goes to the
//! same cell, no state has to be replicated before a request is sent, and no state is lost with a
//! process.
//!
//! A key moves when a cell is added or lost. It then has no usable cell until the deduplication
//! window of the requests sent to its previous cell has passed, because a retry cannot be
//! distinguished from a first attempt. A cell that returns is as good as added to the keys that moved
//! while it was lost, which are those with a window as long as its absence, or a shorter one.

use std::collections::BTreeMap;

/// Milliseconds on a monotonic clock.
pub type Millis = f64;

/// A time without a ready member, after which a cell returned.
#[derive(Clone, Copy, Debug)]
struct Absence {
    returned_at: Millis,
    duration: Millis,
}

impl Absence {
    /// Returns whether keys moved to another cell meanwhile: those of requests with this
    /// deduplication window or a shorter one.
    fn has_moved_keys(&self, window: Millis) -> bool {
        self.duration >= window
    }
}

/// The listing history of one cell.
#[derive(Clone, Debug)]
struct Cell {
    first_listed_at: Millis,
    /// The time at which the cell lost its last ready member.
    lost_at: Option<Millis>,
    /// Windows up to this one whose keys have moved since the cell was lost, although its absence is
    /// shorter: settings had a shorter window meanwhile.
    moved_window: Millis,
    /// Earlier absences that still count, the latest and shortest last.
    absences: Vec<Absence>,
}

impl Cell {
    /// Returns a cell that has been listed since a time.
    fn listed_at(first_listed_at: Millis) -> Cell {
        Cell {
            first_listed_at,
            lost_at: None,
            moved_window: 0.0,
            absences: Vec::new(),
        }
    }

    /// Records that the cell has a ready member.
    fn record_ready(&mut self, now: Millis) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let duration = std::mem::take(&mut self.moved_window).max(now - lost_at);
        let is_past = |absence: &Absence| now >= absence.returned_at + absence.duration;
        self.absences
            .retain(|absence| absence.duration > duration && !is_past(absence));
        self.absences.push(Absence {
            returned_at: now,
            duration,
        });
    }

    /// Returns since when the cell has been listed for the keys of requests with a deduplication
    /// window: a cell from which they moved in an absence is as good as new to them.
    fn listed_since(&self, window: Millis) -> Millis {
        let moving = self.absences.iter().filter(|a| a.has_moved_keys(window));
        let returned_at = moving.map(|absence| absence.returned_at);
        returned_at.fold(self.first_listed_at, Millis::max)
    }

    /// Returns whether the cell keeps its keys. A lost cell keeps them until no retry of a request
    /// that it received can arrive.
    fn keeps_keys(&self, now: Millis, window: Millis) -> bool {
        self.lost_at
            .is_none_or(|lost_at| now < lost_at + window && self.moved_window < window)
    }

    /// Records that a window grows: keys that have moved by the shorter one stay where they are.
    fn lengthen_window(&mut self, now: Millis, before: Millis, after: Millis) {
        if self.lost_at.is_some_and(|lost_at| now >= lost_at + before) {
            self.moved_window = self.moved_window.max(after);
        }
        let moving = self.absences.iter_mut();
        for absence in moving.filter(|absence| absence.has_moved_keys(before)) {
            absence.duration = absence.duration.max(after);
        }
    }

    /// Returns whether requests may be sent to the cell. A new cell waits until no retry of a
    /// request that the keys' previous cell received can arrive.
    fn accepts_requests(&self, now: Millis, window: Millis) -> bool {
        now >= self.listed_since(window) + window
    }
}

/// A deduplication window of earlier settings.
#[derive(Clone, Copy, Debug, Default)]
struct EarlierWindow {
    window: Millis,
    /// The time from which no request of the earlier settings can have a retry within it.
    until: Millis,
}

/// The cells of one pool by the numbers in its endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Cells {
    cells: BTreeMap<u16, Cell>,
    earlier: EarlierWindow,
}

impl Cells {
    /// Changes the deduplication window of a class. 0 stands for a class whose keys are not bound to
    /// a cell. A longer window counts for as long as there may be retries of requests that were sent
    /// under it.
    pub fn change_window(&mut self, now: Millis, before: Millis, after: Millis) {
        let in_force = before.max(self.earlier_window(now));
        if after < before {
            self.earlier = EarlierWindow {
                window: in_force,
                until: self.earlier.until.max(now + before),
            };
        } else if after > in_force && in_force > 0.0 {
            for cell in self.cells.values_mut() {
                cell.lengthen_window(now, in_force, after);
            }
        }
    }

    /// Returns the longest deduplication window of earlier settings that still counts; 0 if none
    /// does.
    fn earlier_window(&self, now: Millis) -> Millis {
        if now < self.earlier.until {
            self.earlier.window
        } else {
            0.0
        }
    }

    /// Updates the cells that have a ready member. If no cell was known before, as at the start,
    /// all count as listed long ago. `max_window` is the longest deduplication window of any
    /// request; if it is 0, no cell needs to be known.
    pub fn update(&mut self, now: Millis, ready: impl Iterator<Item = u16>, max_window: Millis) {
        let max_window = max_window.max(self.earlier_window(now));
        if max_window == 0.0 {
            self.cells.clear();
            return;
        }
        let ready: Vec<u16> = ready.collect();
        for (id, cell) in &mut self.cells {
            if !ready.contains(id) {
                cell.lost_at.get_or_insert(now);
            }
        }
        self.cells
            .retain(|_, cell| cell.keeps_keys(now, max_window));
        let first_listed_at = if self.cells.is_empty() { f64::MIN } else { now };
        for id in ready {
            let cell = self.cells.entry(id);
            let cell = cell.or_insert_with(|| Cell::listed_at(first_listed_at));
            cell.record_ready(now);
        }
    }

    /// Returns the cell of a key for a deduplication window; `None` if there are no cells. If the
    /// result is a lost cell or a number that no cell has, the request must not be sent.
    pub fn cell_of_key(&self, now: Millis, key: u64, window: Millis) -> Option<u16> {
        let window = window.max(self.earlier_window(now));
        let keeping = self
            .cells
            .iter()
            .filter(|(_, cell)| cell.keeps_keys(now, window));
        let (id, cell) = keeping.max_by_key(|(id, _)| rendezvous_weight(key, **id))?;
        if cell.accepts_requests(now, window) {
            Some(*id)
        } else {
            Some(self.unused_id())
        }
    }

    /// Returns a number that no cell has.
    fn unused_id(&self) -> u16 {
        (0..=u16::MAX)
            .rev()
            .find(|id| !self.cells.contains_key(id))
            .unwrap_or_default()
    }
}

/// Returns the weight of a cell for a key. A key belongs to the cell with the highest weight
/// (rendezvous hashing with the finalizer of `SplitMix64`).
fn rendezvous_weight(key: u64, cell: u16) -> u64 {
    let mut z = key ^ (u64::from(cell) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
