//! Digests of a view: of all members that a process takes for up, itself included.
//!
//! Anti-entropy compares two views in three steps, each in as few bytes as find a difference:
//! one digest of the whole view (8 bytes, in every message), one of each of [`BUCKETS`] parts
//! (2 bytes each), and a fingerprint of each member in the parts that differ (1 byte each). The
//! shorter digests are salted anew each time, so a difference that one salt hides shows with the
//! next.

use super::hash::{hash_address, hash_member, salt_hash};
use super::member::Member;
use super::message::{BucketSet, CompareRequest};
use std::net::SocketAddr;

/// Into how many buckets members are divided by their addresses. A [`BucketSet`] has a bit for each.
pub(super) const BUCKETS: usize = 64;

/// A member in a view.
struct ViewEntry {
    address: SocketAddr,
    hash: u64,
}

/// The members that are up, by bucket, with digests that are kept as members come and go.
pub(super) struct View {
    buckets: Vec<Vec<ViewEntry>>,
    /// The sum of the hashes of all entries in each bucket.
    digests: [u64; BUCKETS],
}

/// What two views differ in, as far as fingerprints show.
pub(super) struct ViewDifference {
    /// Members of this view that the other one lacks.
    pub(super) missing_at_peer: Vec<SocketAddr>,
    /// Buckets in which the other view has members that this one lacks.
    pub(super) buckets_missing_locally: BucketSet,
}

impl View {
    pub(super) fn new() -> View {
        View {
            buckets: (0..BUCKETS).map(|_| Vec::new()).collect(),
            digests: [0; BUCKETS],
        }
    }

    /// Adds a member that is not in the view.
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

    /// A digest of the whole view.
    pub(super) fn digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |sum, digest| sum.wrapping_mul(3).wrapping_add(*digest))
    }

    /// Digests of all buckets. Unsalted, a member whose hash begins with two zero bytes would change
    /// none of them, and would never be missed.
    pub(super) fn bucket_digests(&self, salt: u64) -> Vec<[u8; 2]> {
        self.digests
            .iter()
            .map(|digest| ((salt_hash(*digest, salt) >> 48) as u16).to_le_bytes())
            .collect()
    }

    /// Fingerprints of all members in a bucket.
    pub(super) fn fingerprints(&self, bucket: usize, salt: u64) -> Vec<u8> {
        let entries = self.buckets[bucket].iter();
        entries.map(|entry| fingerprint(entry.hash, salt)).collect()
    }

    /// How many members a bucket has.
    pub(super) fn bucket_len(&self, bucket: usize) -> usize {
        self.buckets[bucket].len()
    }

    /// The buckets whose digests differ from these.
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

/// One byte. Among many members some that the other view lacks have the fingerprint of another
/// member by chance, and are found in the next comparison, with another salt.
fn fingerprint(hash: u64, salt: u64) -> u8 {
    (salt_hash(hash, salt) >> 56) as u8
}
