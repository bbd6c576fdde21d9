//! The cell of members that a request with an idempotency key goes to.
//!
//! A cell is a group of members that share a deduplication window: a member drops the repeat of a
//! request that another member of its cell had. Every process chooses the cell by the key and the
//! endpoint list alone (rendezvous hashing), so a retry at another process goes to the same cell,
//! nothing has to be replicated before a request is sent, and nothing is lost with a process.
//!
//! A key moves when a cell comes or is lost. It then goes to no cell until the window of what was
//! sent to its last cell has passed, as a retry can't be told from a first attempt.

use std::collections::BTreeMap;

/// Milliseconds on a monotonic clock.
pub type Millis = f64;

/// What is known of one cell.
#[derive(Clone, Copy, Debug)]
struct Cell {
    first_listed_at: Millis,
    /// When the cell had no ready member any more.
    lost_at: Option<Millis>,
}

impl Cell {
    /// Whether the cell keeps its keys: a lost cell does until no retry of what it had can come.
    fn keeps_keys(&self, now: Millis, window: Millis) -> bool {
        self.lost_at.is_none_or(|lost_at| now < lost_at + window)
    }

    /// Whether the cell may be sent its keys: a new cell waits until no retry of what their last
    /// cell had can come.
    fn takes_keys(&self, now: Millis, window: Millis) -> bool {
        now >= self.first_listed_at + window
    }
}

/// The cells of one pool, as its endpoint list names them.
#[derive(Clone, Debug, Default)]
pub struct Cells {
    cells: BTreeMap<u16, Cell>,
}

impl Cells {
    /// Takes in which cells have a ready member. Where no cell was known before, as at the start,
    /// all count as listed long ago. `max_window`: the longest deduplication window of any request.
    pub fn update(&mut self, now: Millis, ready: impl Iterator<Item = u16>, max_window: Millis) {
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
            let cell = self.cells.entry(id).or_insert(Cell {
                first_listed_at,
                lost_at: None,
            });
            cell.lost_at = None;
        }
    }

    /// The cell of a key with a deduplication window; `None` if there are no cells. The cell may be
    /// lost, or a number that no cell has: the request may not be sent then.
    pub fn cell_of_key(&self, now: Millis, key: u64, window: Millis) -> Option<u16> {
        let keeping = self
            .cells
            .iter()
            .filter(|(_, cell)| cell.keeps_keys(now, window));
        let (id, cell) = keeping.max_by_key(|(id, _)| rendezvous_weight(key, **id))?;
        if cell.takes_keys(now, window) {
            Some(*id)
        } else {
            Some(self.unused_id())
        }
    }

    /// A number that no cell has.
    fn unused_id(&self) -> u16 {
        (0..=u16::MAX)
            .rev()
            .find(|id| !self.cells.contains_key(id))
            .unwrap_or_default()
    }
}

/// The weight of a cell for a key; a key goes to the cell of the highest (rendezvous hashing, with
/// the finalizer of `SplitMix64`).
fn rendezvous_weight(key: u64, cell: u16) -> u64 {
    let mut z = key ^ (u64::from(cell) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
