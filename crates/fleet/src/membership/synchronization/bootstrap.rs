//! How a process that starts finds others: it asks a seed while it knows nobody, then random
//! members, and introduces itself to some of the members that it learns of.

use super::super::message::{Body, BucketSet};
use super::{Membership, Micros, Output, Timestamp};
use crate::membership::{MILLISECOND_US, SECOND_US};
use rand::Rng;
use std::net::SocketAddr;

/// The longest wait before a process that starts asks for the first time.
pub(super) const START_JITTER_US: Micros = 150 * MILLISECOND_US;
/// How long the answer of the first seed is waited for before the next is asked.
pub(super) const INITIAL_SEED_RETRY_US: Micros = 600 * MILLISECOND_US;
/// The factor by which each further seed is waited for longer: all of a large fleet may be asking
/// the few seeds.
const SEED_RETRY_FACTOR: Micros = 2;
/// The longest wait for a seed.
const MAX_SEED_RETRY_US: Micros = 4 * SECOND_US;
/// How many members are drawn to find one that is not a seed.
const PEER_CANDIDATES: usize = 4;
/// How often a seed is taken as well as any other member: what each seed knows has to reach the
/// others.
const SEED_PEER_PROBABILITY: f64 = 0.1;
/// To how many of the new members in a packet of entries a process that starts introduces itself.
const INTRODUCTIONS_PER_PACKET: usize = 2;
/// For how long after its start a process introduces itself so.
const INTRODUCTIONS_PERIOD_US: Micros = 2 * SECOND_US;

impl Membership {
    /// A random live member to compare views with. Seldom a seed where others are known: all that
    /// start know the seeds.
    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        let candidates = self.random_live_peers(PEER_CANDIDATES, None);
        let may_be_seed = self.rng.random_bool(SEED_PEER_PROBABILITY);
        let preferred = candidates
            .iter()
            .find(|address| may_be_seed || !self.seeds.contains(address));
        preferred.or(candidates.first()).copied()
    }

    /// Asks a random seed, while nobody is known.
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

    /// Introduces a process that starts to some of the members that it has learned of: they may know
    /// nobody yet.
    pub(super) fn introduce_to_new_members(
        &mut self,
        now: Timestamp,
        members: &[SocketAddr],
        output: &mut Output,
    ) {
        if now >= self.synchronization.started_at + INTRODUCTIONS_PERIOD_US {
            return;
        }
        // Seeds are asked by all that start, and know them.
        let is_not_seed = |address: &SocketAddr| !self.seeds.contains(address);
        let others: Vec<SocketAddr> = members.iter().copied().filter(is_not_seed).collect();
        let drawn = others.len().min(INTRODUCTIONS_PER_PACKET);
        for index in rand::seq::index::sample(&mut self.rng, others.len(), drawn) {
            let updates = Vec::new();
            self.send(now, others[index], Body::Gossip { updates }, output);
        }
    }
}
