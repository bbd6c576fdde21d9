//! The driver as the control-plane agent of its process sees it: a pool whose members can be held
//! out.

use super::{Directory, Driver, Happening};
use dewrun_agent::pool::{Holds, ListedMember, MemberCounts, Pool};
use dewrun_balancer::{EndpointState, ListKind};
use dewrun_replication::kinds::MemberState;
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

    fn learned(&self) -> String {
        Driver::learned(self)
    }

    fn resume(&self, learned: &str) -> bool {
        Driver::resume(self, learned)
    }

    fn hold(&self, holds: Holds) {
        let state = &mut *self.state.borrow_mut();
        let heard = holds.by_news.len();
        let (infos, stale, passed_over) = state.directory.hold(holds.ordered, holds.by_news);
        if passed_over {
            warn!(
                pool = self.name,
                "other processes hold {heard} members for gone or draining, which are most here: passed over"
            );
        }
        stale
            .into_iter()
            .for_each(|backend| self.upstream.close_idle(backend));
        self.follow_cells(state);
        if !infos.is_empty() {
            let version = state.index.unwrap_or_default() as u32;
            self.handle(state, Happening::List(ListKind::Delta, version, infos));
        }
    }
}

/// What a pool's own list says of its members, in the agent's terms.
pub(super) fn listed_members(directory: &Directory) -> impl Iterator<Item = ListedMember<'_>> {
    directory.own().map(|(name, state, started_ms)| {
        let state = match state {
            EndpointState::Ready => MemberState::Ready,
            EndpointState::Draining => MemberState::Draining,
            EndpointState::Gone => MemberState::Gone,
        };
        ListedMember {
            name,
            state,
            started_ms,
        }
    })
}
