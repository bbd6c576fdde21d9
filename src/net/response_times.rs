//! Usual response time of each endpoint, by which a response that comes too soon is doubted.
//!
//! Once a second response was taken for that of the next request, each response on its connection
//! answers the request before. The first one of them usually comes soon after its request, and the
//! true response follows about when the endpoint usually responds. Until then the connection is not
//! reused, so that the true response is seen as unsolicited bytes.

use dewrun_balancer::EndpointId;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::time::Duration;

/// Part of the usual response time below which a response is doubted.
const MIN_PLAUSIBLE_DIVISOR: u32 = 2;
/// Multiple of the usual response time in which the true response is expected.
const DOUBT_MULTIPLE: u32 = 2;
/// Longest doubt, so that a few long polls do not occupy the connections of short requests.
const MAX_DOUBT: Duration = Duration::from_secs(1);
/// Divisor of the weight of a new response time in the moving average.
const SMOOTHING_DIVISOR: u32 = 8;

/// Usual response times; see the module documentation.
#[derive(Default)]
pub struct ResponseTimes {
    usual: RefCell<FxHashMap<EndpointId, Duration>>,
}

impl ResponseTimes {
    /// Returns how long after its request a response may turn out to be that of another one, if it
    /// came too soon.
    pub fn doubt(&self, endpoint: EndpointId, response_time: Duration) -> Option<Duration> {
        let usual = self.usual.borrow().get(&endpoint).copied()?;
        let is_too_soon = response_time < usual / MIN_PLAUSIBLE_DIVISOR;
        is_too_soon.then(|| (usual * DOUBT_MULTIPLE).min(MAX_DOUBT))
    }

    /// Records the response time of a request.
    pub fn record(&self, endpoint: EndpointId, response_time: Duration) {
        let mut all = self.usual.borrow_mut();
        let usual = all.entry(endpoint).or_insert(response_time);
        *usual = *usual - *usual / SMOOTHING_DIVISOR + response_time / SMOOTHING_DIVISOR;
    }

    /// Forgets an endpoint that was removed, restarted or moved.
    pub fn forget(&self, endpoint: EndpointId) {
        self.usual.borrow_mut().remove(&endpoint);
    }
}

#[cfg(test)]
mod tests;
