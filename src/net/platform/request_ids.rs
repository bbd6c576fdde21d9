//! The ids of requests that must not be served a second time: those in progress, and those whose
//! client left while they may have run.

use super::id_claims::IdClaims;
use crate::net::client::RequestError;
use crate::net::discovery::stable_hash;
use hyper::StatusCode;
use rustc_hash::FxHashSet;
use std::cell::{OnceCell, RefCell};
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

/// Abandoned ids, the oldest first.
#[derive(Default)]
struct AbandonedIds {
    by_age: VecDeque<AbandonedId>,
    hashes: FxHashSet<u64>,
}

impl AbandonedIds {
    fn push(&mut self, hash: u64) {
        let at = Instant::now();
        self.by_age.push_back(AbandonedId { hash, at });
        self.hashes.insert(hash);
    }

    /// Removes and returns the oldest id if it has expired or there are too many.
    fn pop_excess(&mut self) -> Option<u64> {
        let oldest = self.by_age.front()?;
        let is_excess = oldest.at.elapsed() >= ABANDONED_ID_TTL;
        if !is_excess && self.by_age.len() <= MAX_ABANDONED_IDS {
            return None;
        }
        let hash = self.by_age.pop_front()?.hash;
        self.hashes.remove(&hash);
        Some(hash)
    }
}

/// The ids of the requests of one process.
#[derive(Default)]
pub struct RequestIds {
    open: RefCell<FxHashSet<String>>,
    abandoned: RefCell<AbandonedIds>,
    claims: OnceCell<Rc<IdClaims>>,
}

impl RequestIds {
    /// Makes the ids known to the other processes that serve as the same proxy.
    pub fn share(&self, claims: Rc<IdClaims>) {
        // A process serves at one address, so there is one set of claims.
        let _ = self.claims.set(claims);
    }

    /// Reserves the id of a request for as long as the result exists.
    ///
    /// # Errors
    ///
    /// Fails if a request with the id is in progress at this process, or may have run for a client
    /// that left.
    pub(super) fn begin(self: &Rc<Self>, id: &str) -> Result<RequestIdGuard, RequestError> {
        self.remove_excess();
        let hash = stable_hash(id.as_bytes());
        if self.abandoned.borrow().hashes.contains(&hash) {
            return Err(ABANDONED);
        }
        if !self.open.borrow_mut().insert(id.to_string()) {
            return Err(IN_USE);
        }
        Ok(RequestIdGuard {
            ids: self.clone(),
            id: id.to_string(),
            hash,
            state: IdState::Unclaimed,
        })
    }

    fn claim(&self, hash: u64) -> bool {
        self.claims.get().is_none_or(|claims| claims.claim(hash))
    }

    fn release(&self, hash: u64) {
        if let Some(claims) = self.claims.get() {
            claims.release(hash);
        }
    }

    fn abandon(&self, hash: u64) {
        self.abandoned.borrow_mut().push(hash);
        self.remove_excess();
    }

    fn remove_excess(&self) {
        let mut abandoned = self.abandoned.borrow_mut();
        while let Some(hash) = abandoned.pop_excess() {
            self.release(hash);
        }
    }
}

/// What is known of the request with an id.
#[derive(Clone, Copy, PartialEq)]
enum IdState {
    /// It has not been forwarded, or may run twice.
    Unclaimed,
    /// It must not run twice and may have run.
    MayHaveRun,
    /// It has ended for its client.
    Answered,
}

/// The reservation of the id of a request in progress. If it is dropped after
/// [`RequestIdGuard::claim`] and before [`RequestIdGuard::answered`], the client has left.
pub(super) struct RequestIdGuard {
    ids: Rc<RequestIds>,
    id: String,
    hash: u64,
    state: IdState,
}

impl RequestIdGuard {
    /// Claims the id of a request that must not run twice and may run from now on.
    ///
    /// # Errors
    ///
    /// Fails if a request with the id is in progress, or may have run, at another process that
    /// serves as the same proxy.
    pub(super) fn claim(&mut self) -> Result<(), RequestError> {
        if !self.ids.claim(self.hash) {
            return Err(IN_USE);
        }
        self.state = IdState::MayHaveRun;
        Ok(())
    }

    /// Records that the client has its final response.
    pub(super) fn answered(&mut self) {
        if self.state == IdState::MayHaveRun {
            self.state = IdState::Answered;
        }
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.ids.open.borrow_mut().remove(&self.id);
        match self.state {
            IdState::Unclaimed => {}
            IdState::MayHaveRun => self.ids.abandon(self.hash),
            IdState::Answered => self.ids.release(self.hash),
        }
    }
}

#[cfg(test)]
mod tests;
