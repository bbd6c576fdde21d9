//! The ids of requests that must not be served a second time: those in progress, and those whose
//! client left while they may have run.

use crate::net::client::RequestError;
use crate::net::discovery::stable_hash;
use hyper::StatusCode;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an abandoned id is kept, which is far longer than clients wait for a response.
const ABANDONED_ID_TTL: Duration = Duration::from_secs(60);
/// Maximum number of abandoned ids of this process; the oldest is dropped for a further one.
const MAX_ABANDONED_IDS: usize = 4_096;

const IN_USE: RequestError = RequestError::new(StatusCode::CONFLICT, "the id is in use");
const ABANDONED: RequestError = RequestError::new(
    StatusCode::CONFLICT,
    "the id is of a request that may have run",
);

/// An abandoned id, by its hash.
struct AbandonedId {
    hash: u64,
    at: Instant,
}

/// The ids of the requests of one process, with what it knows of other processes that serve as the
/// same proxy.
#[derive(Default)]
pub struct RequestIds {
    open: RefCell<FxHashSet<String>>,
    /// The abandoned ids of this process, the oldest first.
    abandoned: RefCell<VecDeque<AbandonedId>>,
    /// The abandoned ids of other processes, with the time at which each was last heard of.
    abandoned_elsewhere: RefCell<FxHashMap<u64, Instant>>,
}

impl RequestIds {
    /// Reserves the id of a request for as long as the result exists.
    ///
    /// # Errors
    ///
    /// Fails if a request with the id is in progress, or may have run for a client that left.
    pub(super) fn begin(self: &Rc<Self>, id: &str) -> Result<RequestIdGuard, RequestError> {
        self.expire();
        let hash = stable_hash(id.as_bytes());
        let is_abandoned = self.abandoned.borrow().iter().any(|id| id.hash == hash)
            || self.abandoned_elsewhere.borrow().contains_key(&hash);
        if is_abandoned {
            return Err(ABANDONED);
        }
        if !self.open.borrow_mut().insert(id.to_string()) {
            return Err(IN_USE);
        }
        Ok(RequestIdGuard {
            ids: self.clone(),
            id: id.to_string(),
            may_run: false,
        })
    }

    /// Returns the hashes of the abandoned ids of this process, for other processes.
    pub fn abandoned(&self) -> Vec<u64> {
        self.expire();
        self.abandoned.borrow().iter().map(|id| id.hash).collect()
    }

    /// Records the hashes of the abandoned ids of other processes.
    pub fn record_abandoned_elsewhere(&self, hashes: &[u64]) {
        let now = Instant::now();
        let mut known = self.abandoned_elsewhere.borrow_mut();
        known.extend(hashes.iter().map(|hash| (*hash, now)));
    }

    fn abandon(&self, id: &str) {
        let mut abandoned = self.abandoned.borrow_mut();
        if abandoned.len() >= MAX_ABANDONED_IDS {
            abandoned.pop_front();
        }
        abandoned.push_back(AbandonedId {
            hash: stable_hash(id.as_bytes()),
            at: Instant::now(),
        });
    }

    fn expire(&self) {
        let mut abandoned = self.abandoned.borrow_mut();
        while abandoned
            .front()
            .is_some_and(|id| id.at.elapsed() >= ABANDONED_ID_TTL)
        {
            abandoned.pop_front();
        }
        self.abandoned_elsewhere
            .borrow_mut()
            .retain(|_, heard_at| heard_at.elapsed() < ABANDONED_ID_TTL);
    }
}

/// The reservation of the id of a request in progress. If it is dropped after
/// [`RequestIdGuard::forwarded`] and before [`RequestIdGuard::answered`], the client has left.
pub(super) struct RequestIdGuard {
    ids: Rc<RequestIds>,
    id: String,
    may_run: bool,
}

impl RequestIdGuard {
    /// Records that a request that must not run twice may run from now on.
    pub(super) fn forwarded(&mut self) {
        self.may_run = true;
    }

    /// Records that the request has its final response.
    pub(super) fn answered(&mut self) {
        self.may_run = false;
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.ids.open.borrow_mut().remove(&self.id);
        if self.may_run {
            self.ids.abandon(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;
