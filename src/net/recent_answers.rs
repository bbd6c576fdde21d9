//! The last answers of one connection, to tell a second copy of one from the answer to the next
//! request.
//!
//! An answer has no name, and answers come in the order of their requests: a second copy that comes
//! after the next request was written is read as the answer to that one, and the true answer is
//! still to come. No more can be known than that the copy is the same as an answer shortly before.

use hyper::StatusCode;
use rustc_hash::FxHasher;
use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::{Duration, Instant};

/// How long after an answer the same one may be its copy. Copies come some milliseconds late, and
/// a busy machine adds some tens.
const COPY_WINDOW: Duration = Duration::from_millis(100);
/// Answers that are remembered; connections rest between two, so more hardly fit the window.
const MAX_ANSWERS: usize = 8;
/// Bytes of a body that are compared, beside its length.
const COMPARED_BODY_BYTES: usize = 512;

/// What is remembered of an answer.
#[derive(Clone, Copy)]
struct Fingerprint {
    at: Instant,
    hash: u64,
}

/// The answers that a connection has brought within [`COPY_WINDOW`].
#[derive(Default)]
pub struct RecentAnswers {
    answers: VecDeque<Fingerprint>,
}

impl RecentAnswers {
    /// Remembers an answer; true if it may be the copy of one before, so that the answer to its
    /// request may be still to come.
    pub fn record(&mut self, at: Instant, status: StatusCode, body: &[u8]) -> bool {
        let hash = fingerprint(status, body);
        while self.answers.front().is_some_and(|answer| {
            self.answers.len() >= MAX_ANSWERS
                || at.saturating_duration_since(answer.at) > COPY_WINDOW
        }) {
            self.answers.pop_front();
        }
        let may_be_copy = self.answers.iter().any(|answer| answer.hash == hash);
        self.answers.push_back(Fingerprint { at, hash });
        may_be_copy
    }
}

fn fingerprint(status: StatusCode, body: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u16(status.as_u16());
    hasher.write_usize(body.len());
    hasher.write(&body[..body.len().min(COMPARED_BODY_BYTES)]);
    hasher.finish()
}

#[cfg(test)]
mod tests;
