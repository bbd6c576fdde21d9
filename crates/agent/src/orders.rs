//! Writing of operators' orders and of member status reports to the replicated state, and waiting
//! until this process has caught up with the others.

use crate::error::OrderError;
use crate::pool::ListedMember;
use crate::replication::DrainChange;
use crate::state::{AgentState, SECOND_US};
use crate::{clock, Agent};
use dewrun_replication::entry::Key;
use dewrun_replication::kind::Kind;
use dewrun_replication::member_status::{self, MemberState, MemberStatus};
use dewrun_replication::orders::{self, DesiredState, NewOrder};
use dewrun_replication::target;
use std::net::SocketAddr;
use std::rc::Weak;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The interval at which a waiting request checks whether the process has caught up.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The interval at which a starting process checks whether it has caught up.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Agent {
    /// Reports the members' states by a pool's list to the fleet, unless they were reported before.
    /// `is_static` says that the list is from an operator's file, whose start times are those of
    /// this process and are not reported.
    pub fn report_members<'a>(
        &self,
        pool: &str,
        is_static: bool,
        members: impl Iterator<Item = ListedMember<'a>>,
    ) {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        let AgentState {
            replication, rng, ..
        } = state;
        let mut out = Vec::new();
        for ListedMember {
            name,
            state: member_state,
            started_ms,
        } in members
        {
            let target = target::target_name(pool, name);
            if member_state == MemberState::Ready
                && member_status::reported_status(&replication.store, &target).is_none()
            {
                // A member without a report is considered ready.
                continue;
            }
            let status = MemberStatus {
                started_ms: if is_static { 0 } else { started_ms as u64 },
                state: member_state,
            };
            if let Some(delta) =
                member_status::report_status(&mut replication.store, now, &target, status)
            {
                replication.disseminate(now, delta, rng, &mut out);
            }
        }
        self.send_replication(state, out);
    }

    /// Writes an operator's order, and sends it to the other processes.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError::NotListed`] if no pool of this process lists the member and there is
    /// no order to withdraw.
    pub fn place_order(
        &self,
        target: &str,
        desired_state: DesiredState,
        by: &str,
    ) -> Result<(), OrderError> {
        self.write_order(target, desired_state, by)?;
        self.apply_drains();
        Ok(())
    }

    fn write_order(
        &self,
        target: &str,
        desired_state: DesiredState,
        by: &str,
    ) -> Result<(), OrderError> {
        let state = &mut *self.state.borrow_mut();
        let AgentState {
            replication, rng, ..
        } = state;
        let is_listed = replication.pools().into_iter().any(|(name, pool)| {
            target::member_of(target, &name).is_some_and(|member| pool.lists(member))
        });
        let has_orders = !orders::orders_in_force_for(&replication.store, target).is_empty();
        let is_withdrawal = has_orders && desired_state == DesiredState::Return;
        if !is_listed && !is_withdrawal {
            return Err(OrderError::NotListed {
                target: target.into(),
            });
        }
        let now = clock::now();
        let delta = orders::place_order(
            &mut replication.store,
            now,
            NewOrder {
                target,
                desired_state,
                operator: by,
                given_at_ms: clock::wall_ms(),
            },
        );
        replication.handle_entry(
            now,
            &Key {
                kind: Kind::ORDER,
                name: target.into(),
            },
        );
        let mut out = Vec::new();
        replication.disseminate(now, delta, rng, &mut out);
        self.send_replication(state, out);
        Ok(())
    }

    /// Passes changed drains to their pools. The agent's state is not borrowed meanwhile, because a
    /// pool may call the agent.
    pub(crate) fn apply_drains(&self) {
        let changes = self.state.borrow_mut().replication.take_drain_changes();
        for DrainChange { pools, drains } in changes {
            for pool in pools.iter().filter_map(Weak::upgrade) {
                pool.set_drains(drains.clone());
            }
        }
    }

    /// Waits until this process has received the updates that it missed during a suspension, or at
    /// most 250 ms.
    pub async fn wait_while_catching_up(&self) {
        while self.is_catching_up() {
            sleep(CATCH_UP_POLL_INTERVAL).await;
        }
    }

    fn is_catching_up(&self) -> bool {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        // After a suspension a request may arrive before the periodic work detects the pause.
        if now.saturating_sub(state.ticked_at) > SECOND_US {
            state.handle_pause(now);
            state.ticked_at = now;
        }
        state.replication.is_catching_up(now)
    }

    /// Waits until this process has caught up with a peer. Returns false, and ends catching up, if
    /// it has not within `timeout`.
    pub async fn wait_until_caught_up(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        loop {
            if self.state.borrow().replication.gossip.is_caught_up() {
                return true;
            }
            if Instant::now() >= end {
                self.state
                    .borrow_mut()
                    .replication
                    .gossip
                    .abandon_catch_up();
                return false;
            }
            sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Returns the addresses to which packets for the other running processes are sent.
    pub fn peer_routes(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        state
            .replication
            .peers
            .iter()
            .map(|address| state.route(*address))
            .collect()
    }
}
