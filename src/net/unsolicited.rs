//! Record of unsolicited bytes per endpoint, such as a second response. It determines the reuse
//! delay of connections.
//!
//! HTTP/1.1 responses do not identify their request. If a second response arrives when the
//! connection already carries the next request, it is taken for the response to that one. So an
//! endpoint earns short reuse delays by long delays without unsolicited bytes, and connections to
//! an endpoint that has sent such bytes carry one request each.

use dewrun_admin::Counter;
use dewrun_balancer::EndpointId;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after unsolicited bytes during which the endpoint's connections carry one request each.
const SINGLE_USE_DURATION: Duration = Duration::from_secs(30);
/// Number of long reuse delays without unsolicited bytes that earn short ones.
const MIN_QUIET_DELAYS: u32 = 3;
/// Time without a reused connection after which earned delays are forgotten.
const QUIET_RECORD_TTL: Duration = Duration::from_secs(600);

/// Evidence about an endpoint. An endpoint without a record has shown nothing.
#[derive(Clone, Copy)]
enum Evidence {
    /// Number of long reuse delays without unsolicited bytes, and the time of the last reuse.
    QuietDelays { count: u32, last: Instant },
    /// The endpoint has sent unsolicited bytes, most recently at this time.
    Unsolicited { last: Instant },
}

impl Evidence {
    fn is_expired(self, now: Instant) -> bool {
        let (last, ttl) = match self {
            Evidence::QuietDelays { last, .. } => (last, QUIET_RECORD_TTL),
            Evidence::Unsolicited { last } => (last, SINGLE_USE_DURATION),
        };
        now.saturating_duration_since(last) >= ttl
    }
}

/// Evidence about all endpoints of a pool; see the module documentation.
#[derive(Default)]
pub struct UnsolicitedBytes {
    evidence: RefCell<FxHashMap<EndpointId, Evidence>>,
    counter: Counter,
}

impl UnsolicitedBytes {
    /// Creates an empty record that counts unsolicited bytes in the given counter.
    pub fn with_counter(counter: Counter) -> UnsolicitedBytes {
        UnsolicitedBytes {
            counter,
            ..UnsolicitedBytes::default()
        }
    }

    /// Records that an endpoint has sent bytes on a connection that carried no request.
    pub fn record(&self, endpoint: EndpointId, address: SocketAddr, now: Instant) {
        self.counter.inc();
        if !self.is_single_use(endpoint, now) {
            tracing::warn!(
                %address,
                "an endpoint sent bytes that no request asked for: its connections carry one request each for {} s",
                SINGLE_USE_DURATION.as_secs()
            );
        }
        let evidence = Evidence::Unsolicited { last: now };
        self.evidence.borrow_mut().insert(endpoint, evidence);
    }

    /// Records that a connection is reused after a delay without unsolicited bytes; only a long
    /// delay counts.
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

    /// Returns whether the connections to an endpoint carry one request each.
    pub fn is_single_use(&self, endpoint: EndpointId, now: Instant) -> bool {
        matches!(
            self.evidence(endpoint, now),
            Some(Evidence::Unsolicited { .. })
        )
    }

    /// Returns whether the endpoint has earned short reuse delays.
    pub fn has_earned_short_delays(&self, endpoint: EndpointId, now: Instant) -> bool {
        matches!(
            self.evidence(endpoint, now),
            Some(Evidence::QuietDelays { count, .. }) if count >= MIN_QUIET_DELAYS
        )
    }

    /// Forgets the earned delays of an endpoint that was removed, restarted or moved to another
    /// address.
    pub fn forget_quiet_delays(&self, endpoint: EndpointId) {
        let mut evidence = self.evidence.borrow_mut();
        if let Some(Evidence::QuietDelays { .. }) = evidence.get(&endpoint) {
            evidence.remove(&endpoint);
        }
    }

    /// Removes expired evidence.
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
