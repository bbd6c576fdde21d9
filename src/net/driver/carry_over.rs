//! What a driver takes over from the one that it replaces at a reload. The replaced driver keeps its
//! open requests, with their attempts, and its connections.
//!
//! | state | at a reload that replaces the driver |
//! | --- | --- |
//! | cells that were lost or have come, deduplication windows | taken over: within a window a key must not move |
//! | start times of members | taken over by the pool, which lists them |
//! | drains by operators and by reports of other processes | the agent tells them again |
//! | budgets, and what open requests hold of them | kept by the agent, by name |
//! | connections that broke, unsolicited bytes | dropped with the connections that they are about |
//! | limits, ejections, retry budgets | dropped: classes, tenants and limits may be others |

use super::clock::Clock;
use super::{cell_window, Driver};
use dewrun_balancer::{Millis, Settings};
use dewrun_replication::cells::CellsByClass;
use std::collections::BTreeMap;

/// The state of a driver that the one which replaces it needs.
pub struct CarriedState {
    /// The clock of the times in the state.
    pub(super) clock: Clock,
    pub(super) cells: CellsByClass,
}

impl Default for CarriedState {
    fn default() -> CarriedState {
        CarriedState {
            clock: Clock::new(),
            cells: CellsByClass::default(),
        }
    }
}

impl Driver {
    /// Returns the state for a driver that replaces this one.
    pub fn carried_state(&self) -> CarriedState {
        CarriedState {
            clock: self.clock,
            cells: self.state.borrow().cells.clone(),
        }
    }
}

/// Returns the deduplication window of each class whose keys settings bind to a cell.
pub(super) fn cell_windows(settings: &Settings) -> BTreeMap<String, Millis> {
    let classes = settings.classes.iter();
    classes
        .filter_map(|class| Some((class.name.clone(), cell_window(class)?)))
        .collect()
}
