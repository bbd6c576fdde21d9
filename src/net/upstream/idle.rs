//! Idle connections to endpoints and their reuse delays.

mod reusable;

use super::{AttemptTimes, EndpointConnection, Reuse, Upstream, UpstreamProtocol};
use crate::net::attempts::Target;
use dewrun_balancer::EndpointId;
use reusable::ReusableConnections;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

pub(super) use reusable::IdleConnection;

/// Time that a connection stays idle after a response before it is reused: bytes that follow a
/// response must be seen first, or they would be taken for the next response. A second response may
/// be some milliseconds late.
const REUSE_DELAY: Duration = Duration::from_millis(25);
/// Reuse delay of an operator's pool while descriptors are scarce, where requests take a millisecond.
const MIN_REUSE_DELAY: Duration = Duration::from_millis(2);
/// Reuse delay on the platform while descriptors are scarce. Requests take hundreds of milliseconds.
const MIN_PLATFORM_REUSE_DELAY: Duration = Duration::from_millis(10);
/// Reuse delay of an endpoint that has not earned a short one. A system delays acknowledgements by
/// up to 40 ms, and the endpoint's system may hold a second response back for as long; the
/// remainder allows for an endpoint that is late itself.
const INITIAL_REUSE_DELAY: Duration = Duration::from_millis(50);
/// Longest time that a request waits until a connection may be reused, instead of opening another.
const MAX_REUSE_WAIT: Duration = INITIAL_REUSE_DELAY;
/// Exchanges after which a quiet delay counts. The first one shows little, since systems do not
/// delay the acknowledgement of a connection's first bytes.
const MIN_EXCHANGES_FOR_EVIDENCE: u32 = 2;

/// The conditions under which a request reuses connections to an endpoint.
#[derive(Clone, Copy)]
struct ReusePolicy {
    /// Time that a connection stays idle before it is reused.
    delay: Duration,
    /// Whether descriptors are plentiful.
    has_headroom: bool,
}

impl ReusePolicy {
    /// Returns whether the delay is one that the endpoint has earned.
    fn is_delay_short(self) -> bool {
        self.delay <= REUSE_DELAY
    }
}

/// An idle connection that a request uses after a wait, which may be zero.
struct ChosenConnection {
    idle: IdleConnection,
    wait: Duration,
}

/// A wait until a connection to an endpoint may be reused.
struct PossibleWait {
    endpoint: EndpointId,
    /// How long it would take.
    remaining: Duration,
}

/// A request that waits until a connection to an endpoint may be reused.
struct ReuseWait<'a> {
    upstream: &'a Upstream,
    endpoint: EndpointId,
}

impl Drop for ReuseWait<'_> {
    fn drop(&mut self) {
        self.upstream
            .awaited_endpoints
            .borrow_mut()
            .remove(&self.endpoint);
    }
}

impl Upstream {
    fn reuse_policy(&self, endpoint: EndpointId, now: Instant) -> ReusePolicy {
        let has_headroom = self.limits.upstream.has_headroom();
        let delay = if !self.unsolicited.has_earned_short_delays(endpoint, now) {
            self.initial_reuse_delay()
        } else if has_headroom {
            REUSE_DELAY
        } else {
            self.min_reuse_delay()
        };
        ReusePolicy {
            delay,
            has_headroom,
        }
    }

    fn min_reuse_delay(&self) -> Duration {
        match self.protocol {
            UpstreamProtocol::Http => MIN_REUSE_DELAY,
            UpstreamProtocol::Platform => MIN_PLATFORM_REUSE_DELAY,
        }
    }

    /// Returns the reuse delay of an endpoint without evidence. If idle connections are closed
    /// early, the delay leaves time to reuse them.
    fn initial_reuse_delay(&self) -> Duration {
        INITIAL_REUSE_DELAY
            .min(self.max_idle_time / 2)
            .max(REUSE_DELAY)
    }

    /// Records that an endpoint has sent unsolicited bytes, and closes its idle connections, which
    /// may hold such bytes too.
    pub(in crate::net) fn record_unsolicited(&self, endpoint: EndpointId, address: SocketAddr) {
        self.unsolicited.record(endpoint, address, Instant::now());
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Returns a connection to the pool if its endpoint's connections may be reused. Received bytes
    /// are acknowledged at once, so that a second response that the endpoint's system holds back
    /// arrives before the connection is reused.
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
        conn.socket.acknowledge();
        let doubtful_until = self.doubtful_until(endpoint, &conn);
        conn.exchanges = conn.exchanges.saturating_add(1);
        let idle = IdleConnection {
            conn,
            address,
            since: now,
            doubtful_until,
        };
        self.idle
            .borrow_mut()
            .entry(endpoint)
            .or_default()
            .push_back(idle);
    }

    /// Returns until when the response that a connection has just carried may turn out to be that of
    /// an earlier request, whose place a second response had taken: the true response is then still
    /// to come.
    fn doubtful_until(&self, endpoint: EndpointId, conn: &EndpointConnection) -> Option<Instant> {
        let response_time = conn.socket.response_time()?;
        let doubt = self.response_times.doubt(endpoint, response_time);
        self.response_times.record(endpoint, response_time);
        // On a new connection there is no earlier request.
        let doubt = doubt.filter(|_| conn.exchanges > 0)?;
        Some(conn.socket.last_written() + doubt)
    }

    /// Closes the idle connections to an endpoint that was removed, restarted or moved, and forgets
    /// its earned reuse delay and its response times.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.unsolicited.forget_quiet_delays(endpoint);
        self.response_times.forget(endpoint);
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes the connections that have been idle for too long or that the endpoint has closed.
    pub fn close_expired_idle(&self) {
        let now = Instant::now();
        self.unsolicited.expire(now);
        self.expire_broken(now);
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

    /// Closes the connection that has been idle longest. Returns false if there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(id, list)| Some((list.front()?.since, *id)))
            .min();
        let Some(list) = oldest.and_then(|(_, id)| idle.get_mut(&id)) else {
            return false;
        };
        list.pop_front().is_some()
    }

    /// Closes the idle connections to an endpoint that have carried no response since a time.
    pub(in crate::net) fn close_idle_since(&self, endpoint: EndpointId, since: Instant) {
        if let Some(list) = self.idle.borrow_mut().get_mut(&endpoint) {
            list.retain(|idle| idle.since > since);
        }
    }

    /// Takes the most recently used connection to an endpoint that is open and may be reused. If
    /// none may be reused yet, waits for the first one that may. Returns `None` if a new connection
    /// may be opened instead, or if the wait would take over [`MAX_REUSE_WAIT`] or over half
    /// of the time until the write deadline.
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
            let policy = self.reuse_policy(endpoint, now);
            let ChosenConnection { idle, wait } = self.choose_idle(target, times, policy)?;
            // Even a sleep of zero length waits for the next millisecond of the runtime.
            if !wait.is_zero() {
                self.wait_for_reuse(endpoint, &idle.conn, wait).await;
            }
            if self.is_usable(endpoint, &idle) {
                return Some(idle.conn);
            }
        }
    }

    /// Removes the idle connection that [`Upstream::take_idle`] uses or waits for.
    fn choose_idle(
        &self,
        Target { endpoint, address }: Target,
        times: AttemptTimes,
        policy: ReusePolicy,
    ) -> Option<ChosenConnection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&endpoint)?;
        let now = Instant::now();
        let connections = ReusableConnections {
            list,
            address,
            reuse_delay: policy.delay,
            now,
        };
        let reusable = if policy.has_headroom {
            connections.most_recent()
        } else {
            // Another connection instead of a doubtful one could not be opened.
            connections.longest_idle()
        };
        if let Some(reusable) = reusable {
            let idle = list.remove(reusable)?;
            let wait = Duration::ZERO;
            return Some(ChosenConnection { idle, wait });
        }
        let next = connections.next()?;
        let wait = PossibleWait {
            endpoint,
            remaining: next.remaining,
        };
        let time_to_write = times.write_deadline().saturating_duration_since(now);
        let max_wait = MAX_REUSE_WAIT.min(time_to_write / 2);
        if wait.remaining > max_wait || self.should_open_another(&wait, policy, times) {
            return None;
        }
        let idle = list.remove(next.position)?;
        let wait = wait.remaining;
        Some(ChosenConnection { idle, wait })
    }

    /// Waits until a connection may be reused; with ordinary HTTP only until its endpoint closes
    /// it.
    async fn wait_for_reuse(
        &self,
        endpoint: EndpointId,
        conn: &EndpointConnection,
        remaining: Duration,
    ) {
        let _waiting = self.begin_wait(endpoint);
        match self.protocol {
            UpstreamProtocol::Platform => sleep(remaining).await,
            UpstreamProtocol::Http => {
                let _ = timeout(remaining, conn.socket.closed()).await;
            }
        }
    }

    /// Returns whether to open another connection instead of waiting until one may be reused. One
    /// request at a time waits per endpoint: sequential requests share a connection, and concurrent
    /// requests are not delayed while there is room for connections.
    fn should_open_another(
        &self,
        wait: &PossibleWait,
        policy: ReusePolicy,
        times: AttemptTimes,
    ) -> bool {
        let is_other_waiting = self.awaited_endpoints.borrow().contains(&wait.endpoint);
        match self.protocol {
            // Endpoints accept few connections, and requests take hundreds of milliseconds.
            UpstreamProtocol::Platform => {
                policy.is_delay_short()
                    && wait.remaining > MIN_PLATFORM_REUSE_DELAY
                    && is_other_waiting
                    && policy.has_headroom
            }
            UpstreamProtocol::Http if !policy.is_delay_short() && !times.may_wait_for_reuse => true,
            UpstreamProtocol::Http => {
                (policy.is_delay_short() || is_other_waiting) && policy.has_headroom
            }
        }
    }

    /// Marks an endpoint as waited for, for [`Upstream::should_open_another`], until the result is
    /// dropped.
    fn begin_wait(&self, endpoint: EndpointId) -> ReuseWait<'_> {
        self.awaited_endpoints.borrow_mut().insert(endpoint);
        ReuseWait {
            upstream: self,
            endpoint,
        }
    }

    /// Returns whether a connection can be reused after its delay, and records what the delay has
    /// shown.
    fn is_usable(&self, endpoint: EndpointId, idle: &IdleConnection) -> bool {
        let now = Instant::now();
        let idle_time = now.saturating_duration_since(idle.since);
        match idle.conn.reuse() {
            Reuse::Possible if idle_time < self.max_idle_time => {
                let is_long = idle_time >= self.initial_reuse_delay()
                    && idle.conn.exchanges >= MIN_EXCHANGES_FOR_EVIDENCE;
                self.unsolicited.record_quiet_delay(endpoint, is_long, now);
                // Another connection to the endpoint may have received unsolicited bytes meanwhile.
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
