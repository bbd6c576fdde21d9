//! Bootstrapping of a starting process: it queries seeds while it knows no other member, then
//! random members, and introduces itself to some of the members that it learns of.

use super::super::message::{Body, BucketSet};
use super::{Membership, Micros, Output, Timestamp};
use crate::membership::{MILLISECOND_US, SECOND_US};
use rand::Rng;
use std::net::SocketAddr;

/// The maximum delay of a starting process's first query.
pub(super) const START_JITTER_US: Micros = 150 * MILLISECOND_US;
/// The timeout of the first seed query, after which the next seed is queried.
pub(super) const INITIAL_SEED_RETRY_US: Micros = 600 * MILLISECOND_US;
/// The backoff factor of the timeout of each further seed query: all processes of a large fleet may
/// be querying the few seeds.
const SEED_RETRY_FACTOR: Micros = 2;
/// The maximum timeout of a seed query.
const MAX_SEED_RETRY_US: Micros = 4 * SECOND_US;
/// The number of members that are drawn to find one that is not a seed.
const PEER_CANDIDATES: usize = 4;
/// The probability that a seed may be chosen like any other member: the members that each seed
/// knows have to reach the other seeds.
const SEED_PEER_PROBABILITY: f64 = 0.1;
/// The number of new members in a packet of entries to which a starting process introduces itself.
const INTRODUCTIONS_PER_PACKET: usize = 2;
/// The time after its start for which a process introduces itself to new members.
const INTRODUCTIONS_PERIOD_US: Micros = 2 * SECOND_US;

impl Membership {
    /// Draws a live member to compare views with. A seed is rarely chosen if others are known, as
    /// all starting processes know the seeds.
    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        let candidates = self.random_live_peers(PEER_CANDIDATES, None);
        let may_be_seed = self.rng.random_bool(SEED_PEER_PROBABILITY);
        let preferred = candidates
            .iter()
            .find(|address| may_be_seed || !self.seeds.contains(address));
        preferred.or(candidates.first()).copied()
    }

    /// Queries a random seed, while no other member is known.
    pub(super) fn query_random_seed(&mut self, now: Timestamp, output: &mut Output) {
        let jitter_us = self.rng.random_range(0..START_JITTER_US);
        let retry_us = self.synchronization.seed_retry_us;
        let next_at = now + retry_us + 2 * jitter_us;
        self.synchronization.schedule.set_next(next_at);
        self.synchronization.seed_retry_us = (retry_us * SEED_RETRY_FACTOR).min(MAX_SEED_RETRY_US);
        let is_other = |seed: &SocketAddr| *seed != self.local_member.address;
        let others: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_other).collect();
        if others.is_empty() {
            return;
        }
        let seed = others[self.rng.random_range(0..others.len())];
        let request = self.compare_request(now, BucketSet::ALL, true);
        self.send(now, seed, Body::Compare(request), output);
    }

    /// Introduces a starting process to some of the members that it has learned of: they may know
    /// no other member yet.
    pub(super) fn introduce_to_new_members(
        &mut self,
        now: Timestamp,
        members: &[SocketAddr],
        output: &mut Output,
    ) {
        if now >= self.synchronization.started_at + INTRODUCTIONS_PERIOD_US {
            return;
        }
        // All starting processes query the seeds, so the seeds know them already.
        let is_not_seed = |address: &SocketAddr| !self.seeds.contains(address);
        let others: Vec<SocketAddr> = members.iter().copied().filter(is_not_seed).collect();
        let drawn = others.len().min(INTRODUCTIONS_PER_PACKET);
        for index in rand::seq::index::sample(&mut self.rng, others.len(), drawn) {
            let updates = Vec::new();
            self.send(now, others[index], Body::Gossip { updates }, output);
        }
    }
}
