//! The idle connections to endpoints, and when each may carry the next request.

use super::{AttemptTimes, EndpointConnection, Reuse, Upstream, UpstreamProtocol};
use crate::net::attempts::Target;
use dewrun_balancer::EndpointId;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// How long a connection stays idle after a response before it is reused: bytes behind a response
/// must be seen first, or they would be taken for the next one.
const REUSE_DELAY: Duration = Duration::from_millis(2);
/// On the platform a second response may come some milliseconds late, and requests take hundreds of
/// them.
const PLATFORM_REUSE_DELAY: Duration = Duration::from_millis(10);
/// The reuse delay of an endpoint that has not earned a short one. A system delays
/// acknowledgements by up to 40 ms, and the endpoint's may hold a second response back for as long;
/// the remainder is for an endpoint that is late itself.
const INITIAL_REUSE_DELAY: Duration = Duration::from_millis(50);
/// A connection's first exchange shows little: systems do not delay the acknowledgement of its
/// first bytes.
const MIN_EXCHANGES_FOR_EVIDENCE: u32 = 2;

/// A connection that carries nothing.
pub(super) struct Idle {
    conn: EndpointConnection,
    address: SocketAddr,
    since: Instant,
}

/// A request that waits until a connection to an endpoint may be reused.
struct Wait<'a> {
    upstream: &'a Upstream,
    endpoint: EndpointId,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.upstream.waiting.borrow_mut().remove(&self.endpoint);
    }
}

impl Upstream {
    /// How long a connection to an endpoint stays idle before it is reused.
    fn reuse_delay(&self, endpoint: EndpointId, now: Instant) -> Duration {
        if self.unsolicited.has_earned_short_delays(endpoint, now) {
            self.short_reuse_delay()
        } else {
            self.initial_reuse_delay()
        }
    }

    fn short_reuse_delay(&self) -> Duration {
        match self.protocol {
            UpstreamProtocol::Http => REUSE_DELAY,
            UpstreamProtocol::Platform => PLATFORM_REUSE_DELAY,
        }
    }

    /// Where idle connections are dropped early, the delay must leave time to reuse them.
    fn initial_reuse_delay(&self) -> Duration {
        INITIAL_REUSE_DELAY
            .min(self.max_idle_time / 2)
            .max(self.short_reuse_delay())
    }

    /// An endpoint has sent more than what it was asked for. Its other connections may hold such
    /// bytes too.
    pub(in crate::net) fn record_unsolicited(&self, endpoint: EndpointId, address: SocketAddr) {
        self.unsolicited.record(endpoint, address, Instant::now());
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Puts a connection back into the pool, if its endpoint's connections may be reused. On the
    /// platform a second response that the endpoint's system holds back must come before the
    /// connection is reused.
    pub(in crate::net) fn put_idle(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        mut conn: EndpointConnection,
    ) {
        let now = Instant::now();
        if self.unsolicited.is_single_use(endpoint, now) {
            return;
        }
        conn.exchanges = conn.exchanges.saturating_add(1);
        if self.protocol == UpstreamProtocol::Platform {
            conn.socket.acknowledge();
        }
        let idle = Idle {
            conn,
            address,
            since: now,
        };
        self.idle
            .borrow_mut()
            .entry(endpoint)
            .or_default()
            .push(idle);
    }

    /// Drops the idle connections to an endpoint that has left, restarted or moved, and what it has
    /// earned.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.unsolicited.forget_quiet_delays(endpoint);
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Drops what has been idle for long, or was closed at the other end.
    pub fn close_expired_idle(&self) {
        let now = Instant::now();
        self.unsolicited.expire(now);
        let mut unsolicited = Vec::new();
        self.idle.borrow_mut().retain(|endpoint, list| {
            list.retain(|idle| {
                let reuse = idle.conn.reuse();
                if reuse == Reuse::Unsolicited {
                    unsolicited.push((*endpoint, idle.address));
                }
                now.duration_since(idle.since) < self.max_idle_time && reuse == Reuse::Possible
            });
            !list.is_empty()
        });
        for (endpoint, address) in unsolicited {
            self.record_unsolicited(endpoint, address);
        }
    }

    /// Drops the connection that has been idle longest; false if there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(id, list)| Some((list.first()?.since, *id)))
            .min();
        let Some(list) = oldest.and_then(|(_, id)| idle.get_mut(&id)) else {
            return false;
        };
        list.remove(0);
        true
    }

    /// Drops the idle connections to an endpoint that carried nothing since then.
    pub(in crate::net) fn close_idle_since(&self, endpoint: EndpointId, then: Instant) {
        if let Some(list) = self.idle.borrow_mut().get_mut(&endpoint) {
            list.retain(|idle| idle.since > then);
        }
    }

    /// The connection to an endpoint that was used last and may be reused, if one is alive. Where
    /// none may yet, the one that may first is waited for; or none is, if a new one may be opened
    /// instead, or the wait would take over half of the time until the write deadline.
    pub(in crate::net) async fn take_idle(
        &self,
        target: Target,
        times: AttemptTimes,
    ) -> Option<EndpointConnection> {
        let endpoint = target.endpoint;
        loop {
            let now = Instant::now();
            if self.unsolicited.is_single_use(endpoint, now) {
                self.idle.borrow_mut().remove(&endpoint);
                return None;
            }
            let reuse_delay = self.reuse_delay(endpoint, now);
            let idle = self.choose_idle(target, times, reuse_delay)?;
            // Even a sleep of no length waits for the runtime's next millisecond.
            let left = reuse_delay.saturating_sub(idle.since.elapsed());
            if !left.is_zero() {
                self.wait_for_reuse(endpoint, &idle.conn, left).await;
            }
            if self.is_usable(endpoint, &idle) {
                return Some(idle.conn);
            }
        }
    }

    /// Takes out the idle connection that [`Upstream::take_idle`] uses, or waits for.
    fn choose_idle(
        &self,
        Target { endpoint, address }: Target,
        times: AttemptTimes,
        reuse_delay: Duration,
    ) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&endpoint)?;
        list.retain(|idle| idle.address == address);
        let reusable = list
            .iter()
            .rposition(|idle| idle.since.elapsed() >= reuse_delay);
        if let Some(reusable) = reusable {
            return Some(list.remove(reusable));
        }
        let left = reuse_delay.saturating_sub(list.first()?.since.elapsed());
        let time_to_write = times
            .write_deadline()
            .saturating_duration_since(Instant::now());
        let waits = left <= time_to_write / 2 && !self.opens_another(endpoint, times, reuse_delay);
        waits.then(|| list.remove(0))
    }

    /// Waits until a connection may be reused; in an installation no longer than until its endpoint
    /// closes it.
    async fn wait_for_reuse(
        &self,
        endpoint: EndpointId,
        conn: &EndpointConnection,
        left: Duration,
    ) {
        match self.protocol {
            UpstreamProtocol::Platform => sleep(left).await,
            UpstreamProtocol::Http => {
                let _waiting = self.begin_wait(endpoint);
                let _ = timeout(left, conn.socket.closed()).await;
            }
        }
    }

    /// Whether to open another connection rather than wait until one may be reused. In an
    /// installation one request at a time waits at an endpoint: requests in a row share a
    /// connection, those at one time are not held up while there is room for connections.
    fn opens_another(
        &self,
        endpoint: EndpointId,
        times: AttemptTimes,
        reuse_delay: Duration,
    ) -> bool {
        if self.protocol == UpstreamProtocol::Platform {
            return false;
        }
        let is_short_wait = reuse_delay <= REUSE_DELAY;
        if !is_short_wait && !times.may_wait_for_reuse {
            return true;
        }
        let is_other_waiting = self.waiting.borrow().contains(&endpoint);
        (is_short_wait || is_other_waiting) && self.limits.upstream.has_headroom()
    }

    /// Has [`Upstream::opens_another`] know of a wait until the result is dropped.
    fn begin_wait(&self, endpoint: EndpointId) -> Wait<'_> {
        self.waiting.borrow_mut().insert(endpoint);
        Wait {
            upstream: self,
            endpoint,
        }
    }

    /// Whether a connection can be reused after its delay; what it brought meanwhile is recorded.
    fn is_usable(&self, endpoint: EndpointId, idle: &Idle) -> bool {
        let now = Instant::now();
        let idle_time = now.saturating_duration_since(idle.since);
        match idle.conn.reuse() {
            Reuse::Possible if idle_time < self.max_idle_time => {
                let is_long = idle_time >= self.initial_reuse_delay()
                    && idle.conn.exchanges >= MIN_EXCHANGES_FOR_EVIDENCE;
                self.unsolicited.record_quiet_delay(endpoint, is_long, now);
                // Another of its endpoint's connections may have brought bytes meanwhile.
                !self.unsolicited.is_single_use(endpoint, now)
            }
            Reuse::Possible | Reuse::Closed => false,
            Reuse::Unsolicited => {
                self.record_unsolicited(endpoint, idle.address);
                false
            }
        }
    }
}
