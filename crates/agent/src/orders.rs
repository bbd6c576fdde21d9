//! Orders of operators and news of members: how this process gives them, and how it catches up with
//! what others hold.

use crate::pool::ListedMember;
use crate::replica::HoldChange;
use crate::state::{State, SECOND};
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

/// How often one that waits looks again: a request, and a process that starts.
const LOOK_AWAKE: Duration = Duration::from_millis(5);
const LOOK_CAUGHT_UP: Duration = Duration::from_millis(10);

impl Agent {
    /// Tells the others what a list has said of its members, where that is not known. `given`: the
    /// list is an operator's, and its times are of this process.
    pub fn report_members<'a>(
        &self,
        pool: &str,
        given: bool,
        members: impl Iterator<Item = ListedMember<'a>>,
    ) {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        let State { replica, rng, .. } = state;
        let mut out = Vec::new();
        for ListedMember {
            name,
            state: member_state,
            started_ms,
        } in members
        {
            let target = target::target_name(pool, name);
            if member_state == MemberState::Ready
                && member_status::reported_status(&replica.store, &target).is_none()
            {
                // As all take a member to be of which nothing is said.
                continue;
            }
            let news = MemberStatus {
                started_ms: if given { 0 } else { started_ms as u64 },
                state: member_state,
            };
            if let Some(delta) =
                member_status::report_status(&mut replica.store, now, &target, news)
            {
                replica.tell(now, delta, rng, &mut out);
            }
        }
        self.send_replica(state, out);
    }

    /// Gives an order of an operator; every process that is reached has it at once.
    pub fn order(&self, target: &str, wish: DesiredState, by: &str) -> Result<(), String> {
        self.enter_order(target, wish, by)?;
        self.apply_holds();
        Ok(())
    }

    fn enter_order(&self, target: &str, wish: DesiredState, by: &str) -> Result<(), String> {
        let state = &mut *self.state.borrow_mut();
        let State { replica, rng, .. } = state;
        let is_listed = replica.pools().into_iter().any(|(name, pool)| {
            target::member_of(target, &name).is_some_and(|member| pool.lists(member))
        });
        let has_orders = !orders::orders_in_force_for(&replica.store, target).is_empty();
        let withdraws = has_orders && wish == DesiredState::Return;
        if !is_listed && !withdraws {
            return Err(format!(
                "no member {target} is listed here; name it as POOL/MEMBER"
            ));
        }
        let now = clock::now();
        let delta = orders::place_order(
            &mut replica.store,
            now,
            NewOrder {
                target,
                desired_state: wish,
                operator: by,
                given_at_ms: clock::wall_ms(),
            },
        );
        replica.entered(
            now,
            &Key {
                kind: Kind::ORDER,
                name: target.into(),
            },
        );
        let mut out = Vec::new();
        replica.tell(now, delta, rng, &mut out);
        self.send_replica(state, out);
        Ok(())
    }

    /// Has pools act on what has changed. The agent's state is not borrowed meanwhile: a pool may
    /// ask.
    pub(crate) fn apply_holds(&self) {
        let changes = self.state.borrow_mut().replica.hold_changes();
        for HoldChange { pools, holds } in changes {
            for pool in pools.iter().filter_map(Weak::upgrade) {
                pool.set_drains(holds.clone());
            }
        }
    }

    /// Waits while this process asks what it missed, as after a sleep; no longer than a moment.
    pub async fn wait_while_catching_up(&self) {
        while self.is_catching_up() {
            sleep(LOOK_AWAKE).await;
        }
    }

    fn is_catching_up(&self) -> bool {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        // The loop looks every few milliseconds, unless it slept: then this may come first.
        if now.saturating_sub(state.ticked_at) > SECOND {
            state.woke_up(now);
            state.ticked_at = now;
        }
        state.replica.is_catching_up(now)
    }

    /// Waits until this process holds what one other held, or has asked for as long as it may.
    /// Tells whether it does.
    pub async fn caught_up(&self, most: Duration) -> bool {
        let end = Instant::now() + most;
        loop {
            if self.state.borrow().replica.gossip.is_caught_up() {
                return true;
            }
            if Instant::now() >= end {
                self.state.borrow_mut().replica.gossip.abandon_catch_up();
                return false;
            }
            sleep(LOOK_CAUGHT_UP).await;
        }
    }

    /// The other processes that are up, by the addresses that lead to them.
    pub fn peer_routes(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        state
            .replica
            .peers
            .iter()
            .map(|address| state.route(*address))
            .collect()
    }
}
