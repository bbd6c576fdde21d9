//! Implements the control-plane agent's view of a driver: a pool whose members can be drained.

use super::{Directory, Driver, QueuedEvent};
use crate::net::discovery::DrainResult;
use dewrun_agent::pool::{Drains, ListedMember, MemberCounts, Pool};
use dewrun_balancer::{EndpointState, ListKind};
use dewrun_replication::member_status::MemberState;
use tracing::warn;

impl Pool for Driver {
    fn lists(&self, member: &str) -> bool {
        self.state
            .borrow()
            .directory
            .names()
            .any(|name| name == member)
    }

    fn member_counts(&self) -> MemberCounts {
        let (listed, avoided) = self.members();
        MemberCounts { listed, avoided }
    }

    fn learned_state(&self) -> String {
        Driver::learned(self)
    }

    fn restore_learned_state(&self, learned: &str) -> bool {
        Driver::restore_learned(self, learned)
    }

    fn set_drains(&self, drains: Drains) {
        let state = &mut *self.state.borrow_mut();
        let reported = drains.by_peers.len();
        let DrainResult {
            change,
            are_reports_ignored,
        } = state.directory.set_drains(drains);
        if are_reports_ignored {
            warn!(
                pool = self.name,
                "other processes report {reported} members as gone or draining, which is most of this pool: the reports are ignored"
            );
        }
        change
            .stale
            .into_iter()
            .for_each(|endpoint| self.upstream.close_idle(endpoint));
        self.update_cells(state);
        if !change.endpoints.is_empty() {
            let version = state.list_version.unwrap_or_default() as u32;
            self.handle(
                state,
                QueuedEvent::List(ListKind::Delta, version, change.endpoints),
            );
        }
    }
}

/// Returns the pool members of a driver's own list in the agent's types.
pub(super) fn listed_members(directory: &Directory) -> impl Iterator<Item = ListedMember<'_>> {
    directory.listed_endpoints().map(|endpoint| {
        let state = match endpoint.state {
            EndpointState::Ready => MemberState::Ready,
            EndpointState::Draining => MemberState::Draining,
            EndpointState::Removed => MemberState::Gone,
        };
        ListedMember {
            name: endpoint.name,
            state,
            started_ms: endpoint.started_ms,
        }
    })
}
