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
use dewrun_replication::cells::Cells;

/// The state of a driver that the one which replaces it needs.
pub struct CarriedState {
    /// The clock of the times in the state.
    pub(super) clock: Clock,
    pub(super) cells: Cells,
}

impl Default for CarriedState {
    fn default() -> CarriedState {
        CarriedState {
            clock: Clock::new(),
            cells: Cells::default(),
        }
    }
}

impl Driver {
    /// Returns the state for a driver that replaces this one with other settings.
    pub fn carried_state(&self, settings: &Settings) -> CarriedState {
        let now = self.clock.now();
        let mut cells = self.state.borrow().cells.clone();
        for (name, before) in self.classes.iter().zip(&self.cell_windows) {
            if let Some(before) = before {
                cells.change_window(now, *before, window_of_class(settings, name));
            }
        }
        CarriedState {
            clock: self.clock,
            cells,
        }
    }
}

/// Returns the deduplication window of the keys that settings bind to cells in a class; 0 if there
/// is none.
fn window_of_class(settings: &Settings, name: &str) -> Millis {
    let classes = settings.classes.iter().filter(|class| class.name == name);
    classes.filter_map(cell_window).fold(0.0, Millis::max)
}
