//! The view of a process, that is, all members that it considers live, itself included, and the
//! digests of the view.
//!
//! Anti-entropy compares two views in three steps, each as small as can reveal a difference: one
//! digest of the whole view (8 bytes, in every message), one digest of each of [`BUCKETS`] buckets
//! (2 bytes each), and a fingerprint of each member in the buckets that differ (1 byte each). The
//! shorter digests are salted anew each time, so a difference that one salt hides is detected with
//! the next.

use super::hash::{hash_address, hash_member, salt_hash};
use super::member::Member;
use super::message::{BucketSet, CompareRequest};
use std::net::SocketAddr;

/// The number of buckets that members are divided into by address. A [`BucketSet`] has a bit for
/// each.
pub(super) const BUCKETS: usize = 64;

/// A member of a view.
struct ViewEntry {
    address: SocketAddr,
    hash: u64,
}

/// The live members by bucket, with incrementally updated digests.
pub(super) struct View {
    buckets: Vec<Vec<ViewEntry>>,
    /// The sum of the hashes of all entries in each bucket.
    digests: [u64; BUCKETS],
}

/// The differences of two views that their fingerprints reveal.
pub(super) struct ViewDifference {
    /// The members of this view that are missing from the other one.
    pub(super) missing_at_peer: Vec<SocketAddr>,
    /// The buckets in which the other view has members that this one is missing.
    pub(super) buckets_missing_locally: BucketSet,
}

impl View {
    pub(super) fn new() -> View {
        View {
            buckets: (0..BUCKETS).map(|_| Vec::new()).collect(),
            digests: [0; BUCKETS],
        }
    }

    /// Adds a member that is not in the view yet.
    pub(super) fn add(&mut self, member: &Member) {
        let (address, hash) = (member.address, hash_member(member));
        let bucket = bucket_of(address);
        self.buckets[bucket].push(ViewEntry { address, hash });
        self.digests[bucket] = self.digests[bucket].wrapping_add(hash);
    }

    /// Removes the member of this address, if there is one.
    pub(super) fn remove(&mut self, address: SocketAddr) {
        let bucket = bucket_of(address);
        let entries = &mut self.buckets[bucket];
        if let Some(at) = entries.iter().position(|entry| entry.address == address) {
            let removed = entries.remove(at);
            self.digests[bucket] = self.digests[bucket].wrapping_sub(removed.hash);
        }
    }

    /// Returns the digest of the whole view.
    pub(super) fn digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |sum, digest| sum.wrapping_mul(3).wrapping_add(*digest))
    }

    /// Returns the digests of all buckets. They are salted because a member whose hash begins with
    /// two zero bytes would otherwise change none of them and never be detected as missing.
    pub(super) fn bucket_digests(&self, salt: u64) -> Vec<[u8; 2]> {
        self.digests
            .iter()
            .map(|digest| ((salt_hash(*digest, salt) >> 48) as u16).to_le_bytes())
            .collect()
    }

    /// Returns the fingerprints of all members in a bucket.
    pub(super) fn fingerprints(&self, bucket: usize, salt: u64) -> Vec<u8> {
        let entries = self.buckets[bucket].iter();
        entries.map(|entry| fingerprint(entry.hash, salt)).collect()
    }

    /// Returns the number of members in a bucket.
    pub(super) fn bucket_len(&self, bucket: usize) -> usize {
        self.buckets[bucket].len()
    }

    /// Returns the buckets whose digests differ from `theirs`.
    pub(super) fn differing_buckets(&self, salt: u64, theirs: &[[u8; 2]]) -> BucketSet {
        let own = self.bucket_digests(salt);
        let mut differing = BucketSet::default();
        for (bucket, (own, theirs)) in own.iter().zip(theirs).enumerate() {
            if own != theirs {
                differing.insert(bucket);
            }
        }
        differing
    }

    /// Compares this view with the fingerprints of another one.
    pub(super) fn compare(&self, theirs: &CompareRequest) -> ViewDifference {
        let mut difference = ViewDifference {
            missing_at_peer: Vec::new(),
            buckets_missing_locally: BucketSet::default(),
        };
        for (bucket, known) in theirs.by_bucket() {
            let mut matched = 0;
            for entry in &self.buckets[bucket] {
                if known.contains(&fingerprint(entry.hash, theirs.salt)) {
                    matched += 1;
                } else {
                    difference.missing_at_peer.push(entry.address);
                }
            }
            if matched < known.len() {
                difference.buckets_missing_locally.insert(bucket);
            }
        }
        difference
    }
}

fn bucket_of(address: SocketAddr) -> usize {
    hash_address(address) as usize % BUCKETS
}

/// Computes a fingerprint of one byte. Among many members some that are missing from the other view
/// have the same fingerprint as another member by chance; the next comparison, with another salt,
/// detects them.
fn fingerprint(hash: u64, salt: u64) -> u8 {
    (salt_hash(hash, salt) >> 56) as u8
}
