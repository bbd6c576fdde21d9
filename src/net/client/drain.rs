//! Whether this process takes new work.

use dewrun_admin::{ConnectionsToClose, ShutdownPlan};
use std::cell::Cell;
use std::time::Instant;

/// In service, draining (which can be undone), or shutting down (which cannot).
#[derive(Default)]
pub struct DrainState {
    started: Cell<Option<(ShutdownPlan, Instant)>>,
    is_shutting_down: Cell<bool>,
}

impl DrainState {
    /// Begins to drain; false if this process drains already.
    pub fn begin(&self, plan: ShutdownPlan) -> bool {
        if self.is_draining() {
            return false;
        }
        self.started.set(Some((plan, Instant::now())));
        true
    }

    /// Takes new work again; false if this process does not drain, or is shutting down.
    pub fn cancel(&self) -> bool {
        !self.is_shutting_down.get() && self.started.take().is_some()
    }

    /// Whether this process drains or shuts down.
    pub fn is_draining(&self) -> bool {
        self.started.get().is_some()
    }

    /// Begins the shutdown, whose plan replaces that of a drain.
    pub(super) fn begin_shutdown(&self, plan: ShutdownPlan) {
        self.is_shutting_down.set(true);
        self.started.set(Some((plan, Instant::now())));
    }

    /// Which connections the plan has come to.
    pub(super) fn due(&self) -> ConnectionsToClose {
        let started = self.started.get();
        started.map_or_else(ConnectionsToClose::default, |(plan, at)| {
            plan.connections_to_close(at.elapsed())
        })
    }
}
