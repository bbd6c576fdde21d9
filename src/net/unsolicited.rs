//! What each endpoint has shown of unsolicited bytes, such as a second response, by which the reuse
//! delay of its connections is chosen.
//!
//! HTTP/1.1 does not name the request that a response belongs to. A second response that comes once
//! the connection carries the next request is taken for the response to that one. So an endpoint
//! earns short reuse delays by long ones without a byte, and connections to one that has sent
//! unsolicited bytes carry one request each.

use dewrun_admin::Counter;
use dewrun_balancer::EndpointId;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// For this long after unsolicited bytes the connections of their endpoint carry one request each.
const SINGLE_USE_TIME: Duration = Duration::from_secs(30);
/// Long reuse delays without a byte that earn short ones.
const MIN_QUIET_DELAYS: u32 = 3;
/// What an endpoint has earned is forgotten when none of its connections was reused for so long.
const QUIET_RECORD_TTL: Duration = Duration::from_secs(600);

/// What an endpoint has shown. One that is not recorded has shown nothing.
#[derive(Clone, Copy)]
enum Evidence {
    /// So many long reuse delays brought no byte; with the time of the last reuse of a connection.
    QuietDelays { count: u32, last: Instant },
    /// It has sent unsolicited bytes, the last ones then.
    Unsolicited { last: Instant },
}

impl Evidence {
    fn is_expired(self, now: Instant) -> bool {
        let (last, ttl) = match self {
            Evidence::QuietDelays { last, .. } => (last, QUIET_RECORD_TTL),
            Evidence::Unsolicited { last } => (last, SINGLE_USE_TIME),
        };
        now.saturating_duration_since(last) >= ttl
    }
}

/// See the module's text.
#[derive(Default)]
pub struct UnsolicitedBytes {
    evidence: RefCell<FxHashMap<EndpointId, Evidence>>,
    counter: Counter,
}

impl UnsolicitedBytes {
    /// Counts with a counter of the caller's.
    pub fn counting(counter: Counter) -> UnsolicitedBytes {
        UnsolicitedBytes {
            counter,
            ..UnsolicitedBytes::default()
        }
    }

    /// An endpoint has sent bytes on a connection that carried no request.
    pub fn record(&self, endpoint: EndpointId, address: SocketAddr, now: Instant) {
        self.counter.inc();
        if !self.is_single_use(endpoint, now) {
            tracing::warn!(
                %address,
                "an endpoint sent bytes that no request asked for: its connections carry one request each for {} s",
                SINGLE_USE_TIME.as_secs()
            );
        }
        let evidence = Evidence::Unsolicited { last: now };
        self.evidence.borrow_mut().insert(endpoint, evidence);
    }

    /// A connection is reused after a delay without a byte; a long one counts.
    pub fn record_quiet_delay(&self, endpoint: EndpointId, is_long: bool, now: Instant) {
        let before = match self.evidence(endpoint, now) {
            Some(Evidence::QuietDelays { count, .. }) => count,
            Some(Evidence::Unsolicited { .. }) => return,
            None => 0,
        };
        let count = before.saturating_add(u32::from(is_long));
        let evidence = Evidence::QuietDelays { count, last: now };
        self.evidence.borrow_mut().insert(endpoint, evidence);
    }

    /// Whether the connections of an endpoint are to carry one request each.
    pub fn is_single_use(&self, endpoint: EndpointId, now: Instant) -> bool {
        matches!(
            self.evidence(endpoint, now),
            Some(Evidence::Unsolicited { .. })
        )
    }

    /// Whether the connections of an endpoint need no long reuse delays.
    pub fn has_earned_short_delays(&self, endpoint: EndpointId, now: Instant) -> bool {
        matches!(
            self.evidence(endpoint, now),
            Some(Evidence::QuietDelays { count, .. }) if count >= MIN_QUIET_DELAYS
        )
    }

    /// Forgets what an endpoint has earned that left, restarted or moved to another address.
    pub fn forget_quiet_delays(&self, endpoint: EndpointId) {
        let mut evidence = self.evidence.borrow_mut();
        if let Some(Evidence::QuietDelays { .. }) = evidence.get(&endpoint) {
            evidence.remove(&endpoint);
        }
    }

    /// Forgets what is no longer recent.
    pub fn expire(&self, now: Instant) {
        self.evidence
            .borrow_mut()
            .retain(|_, evidence| !evidence.is_expired(now));
    }

    fn evidence(&self, endpoint: EndpointId, now: Instant) -> Option<Evidence> {
        let evidence = self.evidence.borrow().get(&endpoint).copied();
        evidence.filter(|evidence| !evidence.is_expired(now))
    }
}

#[cfg(test)]
mod tests;
