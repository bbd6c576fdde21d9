//! The comparison of two views: by digests of buckets, then by fingerprints of members.

use super::super::message::{Body, BucketDigests, BucketSet, CompareRequest};
use super::super::view::BUCKETS;
use super::exchange::MAX_ANSWER_BYTES;
use super::{ExchangeEnd, Membership, Micros, Output, OutstandingExchange, Timestamp};
use crate::membership::MILLISECOND_US;
use rand::Rng;
use std::net::SocketAddr;

/// The timeout of an answer while the send allowance is spent; half of it applies while the
/// allowance is full.
const ANSWER_TIMEOUT_US: Micros = 300 * MILLISECOND_US;
/// The maximum number of fingerprints in one packet.
const MAX_FINGERPRINTS_PER_PACKET: usize = 520;
/// The maximum size of the entries requested from a process that has begun the exchange itself:
/// many processes may query one that is missing many members, and each would send as much as its
/// allowance permits.
const MAX_REQUESTED_BACK_BYTES: u32 = 6_000;
/// The send allowance that must be available to send a request, in bytes: answers have priority.
const REQUEST_RESERVE_BYTES: f64 = 8_000.0;
/// The receive allowance that must be available to send a request, in bytes.
const MIN_REQUESTED_BYTES: f64 = 1_000.0;

impl Membership {
    /// Begins an exchange with a peer, or postpones it if the allowances are spent.
    pub(super) fn begin_exchange(&mut self, now: Timestamp, peer: SocketAddr, output: &mut Output) {
        if !self.can_request(now) {
            self.synchronization.schedule.postpone(now);
            return;
        }
        let fits_one_packet = self.table.live_peers().len() < MAX_FINGERPRINTS_PER_PACKET;
        // If most buckets differ, their digests would show no more than that.
        let skips_digests = self.synchronization.schedule.has_large_difference();
        let timeout = ANSWER_TIMEOUT_US as f64 * (0.5 + 0.5 * self.spent_send_fraction(now));
        self.synchronization.outstanding = Some(OutstandingExchange {
            peer,
            deadline: now + timeout as Micros,
            entries_received: 0,
            covers_whole_view: fits_one_packet,
        });
        let body = if fits_one_packet || skips_digests {
            Body::Compare(self.compare_request(now, BucketSet::ALL, true))
        } else {
            Body::Buckets(self.bucket_digests())
        };
        self.send(now, peer, body, output);
    }

    /// Returns whether the allowances cover a request and its answer.
    fn can_request(&mut self, now: Timestamp) -> bool {
        self.receive_allowance.available(now) >= MIN_REQUESTED_BYTES
            && self.send_allowance.available(now) >= REQUEST_RESERVE_BYTES
    }

    fn bucket_digests(&mut self) -> BucketDigests {
        let salt = self.rng.random();
        BucketDigests {
            salt,
            digests: self.table.view().bucket_digests(salt),
        }
    }

    /// Builds a request for the members that this process is missing in as many of these buckets as
    /// fit one packet.
    pub(super) fn compare_request(
        &mut self,
        now: Timestamp,
        buckets: BucketSet,
        may_request_back: bool,
    ) -> CompareRequest {
        let buckets = self.buckets_for_one_packet(buckets);
        let salt = self.rng.random();
        let is_newcomer = self.table.live_peers().is_empty();
        let fingerprints = if is_newcomer {
            Vec::new()
        } else {
            let view = self.table.view();
            buckets
                .iter()
                .map(|bucket| view.fingerprints(bucket, salt))
                .collect()
        };
        let available = self.receive_allowance.available(now);
        CompareRequest {
            salt,
            buckets,
            fingerprints,
            max_answer_bytes: available.clamp(0.0, MAX_ANSWER_BYTES) as u32,
            may_request_back,
        }
    }

    /// Selects as many of these buckets as fit one packet, starting at a random one, and at least
    /// one.
    fn buckets_for_one_packet(&mut self, buckets: BucketSet) -> BucketSet {
        let first = self.rng.random_range(0..BUCKETS);
        let (mut chosen, mut bytes) = (BucketSet::default(), 0);
        for bucket in (first..BUCKETS)
            .chain(0..first)
            .filter(|bucket| buckets.contains(*bucket))
        {
            // Each fingerprint takes one byte, and so does their number.
            bytes += self.table.view().bucket_len(bucket) + 1;
            if !chosen.is_empty() && bytes > MAX_FINGERPRINTS_PER_PACKET + BUCKETS {
                break;
            }
            chosen.insert(bucket);
        }
        chosen
    }

    /// Answers digests with fingerprints of the buckets that differ.
    pub(in crate::membership) fn on_bucket_digests(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        theirs: &BucketDigests,
        output: &mut Output,
    ) {
        if theirs.digests.len() != BUCKETS {
            return;
        }
        let view = self.table.view();
        let differing = view.differing_buckets(theirs.salt, &theirs.digests);
        if differing.is_empty() {
            self.send_entries(now, from, Vec::new(), 0.0, output);
        } else if self.send_allowance.available(now) >= REQUEST_RESERVE_BYTES {
            let mut request = self.compare_request(now, differing, true);
            request.max_answer_bytes = request.max_answer_bytes.min(MAX_REQUESTED_BACK_BYTES);
            self.send(now, from, Body::Compare(request), output);
        }
    }

    /// Answers fingerprints with the members that are not among them, and requests those that are
    /// missing here.
    pub(in crate::membership) fn on_compare_request(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        request: &CompareRequest,
        output: &mut Output,
    ) {
        let difference = self.table.view().compare(request);
        // No answer is cheaper than an empty one, and makes the other process query another member.
        let Some(budget) = self.answer_budget(now, request.is_from_newcomer()) else {
            return;
        };
        let max_bytes = budget.min(f64::from(request.max_answer_bytes));
        let sends_members = !difference.missing_at_peer.is_empty();
        self.send_entries(now, from, difference.missing_at_peer, max_bytes, output);
        let is_missing_members = !difference.buckets_missing_locally.is_empty();
        if is_missing_members && request.may_request_back && self.can_request(now) {
            let request = self.compare_request(now, difference.buckets_missing_locally, false);
            self.send(now, from, Body::Compare(request), output);
        } else if request.may_request_back && self.synchronization.is_outstanding_with(from) {
            // This process has sent digests, and the other one has no members that are missing
            // here.
            let end = if sends_members {
                ExchangeEnd::Completed { entries: 0 }
            } else {
                ExchangeEnd::Inconclusive
            };
            self.end_exchange(now, end);
        }
    }
}
