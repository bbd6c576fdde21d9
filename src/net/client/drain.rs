//! The drain state of this process.

use dewrun_admin::{ConnectionsToClose, ShutdownPlan};
use std::cell::Cell;
use std::time::Instant;

/// Whether this process is in service, draining (which can be cancelled), or shutting down (which
/// cannot).
#[derive(Default)]
pub struct DrainState {
    started: Cell<Option<(ShutdownPlan, Instant)>>,
    is_shutting_down: Cell<bool>,
}

impl DrainState {
    /// Begins a drain; returns false if this process is draining or shutting down already.
    pub fn begin(&self, plan: ShutdownPlan) -> bool {
        if self.is_draining() {
            return false;
        }
        self.started.set(Some((plan, Instant::now())));
        true
    }

    /// Cancels a drain; returns false if this process is not draining, or is shutting down.
    pub fn cancel(&self) -> bool {
        !self.is_shutting_down.get() && self.started.take().is_some()
    }

    /// Whether this process is draining or shutting down.
    pub fn is_draining(&self) -> bool {
        self.started.get().is_some()
    }

    /// Begins a shutdown, whose plan replaces that of a drain.
    pub(super) fn begin_shutdown(&self, plan: ShutdownPlan) {
        self.is_shutting_down.set(true);
        self.started.set(Some((plan, Instant::now())));
    }

    /// Returns which connections the plan closes by now.
    pub(super) fn connections_to_close(&self) -> ConnectionsToClose {
        let started = self.started.get();
        started.map_or_else(ConnectionsToClose::default, |(plan, at)| {
            plan.connections_to_close(at.elapsed())
        })
    }
}
