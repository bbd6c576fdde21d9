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
//! distinguished from a first attempt. Classes have different windows, so their keys move at different
//! times, and [`CellsByClass`] keeps a history for each.

use std::collections::BTreeMap;

/// Milliseconds on a monotonic clock.
pub type Millis = f64;

/// The listing history of one cell.
#[derive(Clone, Copy, Debug)]
struct Cell {
    first_listed_at: Millis,
    /// The time at which the cell lost its last ready member.
    lost_at: Option<Millis>,
}

impl Cell {
    /// Returns whether the cell keeps its keys. A lost cell keeps them until no retry of a request
    /// that it received can arrive.
    fn keeps_keys(&self, now: Millis, window: Millis) -> bool {
        self.lost_at.is_none_or(|lost_at| now < lost_at + window)
    }

    /// Returns whether requests may be sent to the cell. A new cell waits until no retry of a
    /// request that the keys' previous cell received can arrive.
    fn accepts_requests(&self, now: Millis, window: Millis) -> bool {
        now >= self.first_listed_at + window
    }
}

/// A deduplication window of earlier settings.
#[derive(Clone, Copy, Debug, Default)]
struct EarlierWindow {
    window: Millis,
    /// The time from which no request of the earlier settings can have a retry within it.
    until: Millis,
}

/// The cells of one pool by the numbers in its endpoint list, as the keys of one class see them.
#[derive(Clone, Debug, Default)]
pub struct Cells {
    cells: BTreeMap<u16, Cell>,
    earlier: EarlierWindow,
}

impl Cells {
    /// Changes the deduplication window of the class. A longer window counts for as long as there
    /// may be retries of requests that were sent under it.
    pub fn change_window(&mut self, now: Millis, before: Millis, after: Millis) {
        let in_force = before.max(self.earlier_window(now));
        // The keys of a cell that was lost for longer have moved, also if the window grows.
        self.cells.retain(|_, cell| cell.keeps_keys(now, in_force));
        if after < before {
            self.earlier = EarlierWindow {
                window: in_force,
                until: self.earlier.until.max(now + before),
            };
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
    /// all count as listed long ago. `window` is the deduplication window of the class.
    pub fn update(&mut self, now: Millis, ready: impl Iterator<Item = u16>, window: Millis) {
        let window = window.max(self.earlier_window(now));
        let ready: Vec<u16> = ready.collect();
        for (id, cell) in &mut self.cells {
            if !ready.contains(id) {
                cell.lost_at.get_or_insert(now);
            }
        }
        self.cells.retain(|_, cell| cell.keeps_keys(now, window));
        let first_listed_at = if self.cells.is_empty() { f64::MIN } else { now };
        for id in ready {
            let cell = self.cells.entry(id).or_insert(Cell {
                first_listed_at,
                lost_at: None,
            });
            cell.lost_at = None;
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

/// The cells for one class of requests.
#[derive(Clone, Debug, Default)]
struct ClassCells {
    /// The deduplication window; 0 for a class that the settings have left out.
    window: Millis,
    cells: Cells,
}

impl ClassCells {
    fn set_window(&mut self, now: Millis, window: Millis) {
        self.cells.change_window(now, self.window, window);
        self.window = window;
    }

    /// Returns the longest window that counts.
    fn window_in_force(&self, now: Millis) -> Millis {
        self.window.max(self.cells.earlier_window(now))
    }
}

/// The cells of one pool for each class whose keys are bound to a cell, by name. Each class has a
/// history of its own, as its keys move by its own window.
#[derive(Clone, Debug, Default)]
pub struct CellsByClass {
    classes: BTreeMap<String, ClassCells>,
}

impl CellsByClass {
    /// Sets the classes of new settings, with their deduplication windows. A class with a new name
    /// may have the keys of one that is left out, so it takes over the cells of that one; of several,
    /// of the one with the longest window.
    pub fn set_windows(&mut self, now: Millis, windows: &BTreeMap<String, Millis>) {
        for (name, class) in &mut self.classes {
            class.set_window(now, windows.get(name).copied().unwrap_or_default());
        }
        self.classes
            .retain(|_, class| class.window_in_force(now) > 0.0);
        let left_out = self.classes.values().filter(|class| class.window == 0.0);
        let predecessor = left_out
            .max_by(|a, b| a.window_in_force(now).total_cmp(&b.window_in_force(now)))
            .cloned()
            .unwrap_or_default();
        for (name, window) in windows {
            let class = self.classes.entry(name.clone());
            let class = class.or_insert_with(|| predecessor.clone());
            class.window = *window;
        }
    }

    /// Updates the cells that have a ready member, as [`Cells::update`] does.
    pub fn update(&mut self, now: Millis, ready: impl Iterator<Item = u16> + Clone) {
        for class in self.classes.values_mut() {
            class.cells.update(now, ready.clone(), class.window);
        }
    }

    /// Returns the cell of a key of a class, as [`Cells::cell_of_key`] does.
    pub fn cell_of_key(&self, now: Millis, class: &str, key: u64) -> Option<u16> {
        let class = self.classes.get(class)?;
        class.cells.cell_of_key(now, key, class.window)
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
