//! Choice among the idle connections to an endpoint by the times at which they may be reused.

use crate::net::upstream::EndpointConnection;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An idle connection.
pub(in crate::net::upstream) struct IdleConnection {
    pub(super) conn: EndpointConnection,
    pub(super) address: SocketAddr,
    pub(super) since: Instant,
    /// Time until which the last response may turn out to be that of an earlier request.
    pub(super) doubtful_until: Option<Instant>,
}

/// The idle connections to an endpoint, in the order in which they became idle, as one request finds
/// them. Connections to another address are ignored.
pub(super) struct ReusableConnections<'a> {
    pub(super) list: &'a VecDeque<IdleConnection>,
    pub(super) address: SocketAddr,
    /// Time that a connection stays idle before it is reused.
    pub(super) reuse_delay: Duration,
    pub(super) now: Instant,
}

/// The connection that may be reused next.
pub(super) struct NextReusable {
    /// Position in the list.
    pub(super) position: usize,
    /// How long it takes until it may be reused.
    pub(super) remaining: Duration,
}

impl ReusableConnections<'_> {
    /// Returns the position of the connection that was used last among those that may be reused.
    pub(super) fn most_recent(&self) -> Option<usize> {
        let rested = self
            .list
            .partition_point(|idle| self.idle_time(idle) >= self.reuse_delay);
        self.list
            .range(..rested)
            .rposition(|idle| idle.address == self.address && self.remaining(idle).is_zero())
    }

    /// Returns the position of the connection that has been idle longest if its reuse delay is over,
    /// even if its last response is doubtful.
    pub(super) fn longest_idle(&self) -> Option<usize> {
        let first = self
            .list
            .iter()
            .position(|idle| idle.address == self.address)?;
        (self.idle_time(&self.list[first]) >= self.reuse_delay).then_some(first)
    }

    /// Returns the connection that may be reused next.
    pub(super) fn next(&self) -> Option<NextReusable> {
        self.list
            .iter()
            .enumerate()
            .filter(|(_, idle)| idle.address == self.address)
            .map(|(position, idle)| NextReusable {
                position,
                remaining: self.remaining(idle),
            })
            .min_by_key(|next| next.remaining)
    }

    fn idle_time(&self, idle: &IdleConnection) -> Duration {
        self.now.saturating_duration_since(idle.since)
    }

    /// Returns how long it takes until a connection may be reused.
    fn remaining(&self, idle: &IdleConnection) -> Duration {
        let rest = self.reuse_delay.saturating_sub(self.idle_time(idle));
        let doubt = idle.doubtful_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(self.now)
        });
        rest.max(doubt)
    }
}
