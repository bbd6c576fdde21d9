//! Anti-entropy and broadcast, which synchronize the stores of all processes.
//!
//! In each round a process sends the digest of its version vector to one random peer. If the
//! digests differ, both send their version vectors, and each sends the writes that the other lacks
//! at a bounded rate. Urgent entries are also broadcast.
//!
//! [`Gossip`] does no I/O: the caller passes in the time, the random numbers and the received
//! messages, and sends the resulting messages. `P` identifies a peer, for example by its address.

mod broadcast;
mod catch_up;
mod exchange;
pub mod message;
mod packing;
mod send_limit;
mod version_parts;

use crate::entry::Delta;
use crate::store::{MergedEntry, Store};
use crate::version_vector::{Digest, OriginRange, VersionVector};
use crate::{Micros, Timestamp};
use broadcast::PendingRepeats;
use catch_up::CatchUp;
use exchange::Exchange;
use message::{Envelope, Message, Received, Versions};
use rand::Rng;
use send_limit::SendLimit;

#[cfg(test)]
mod tests;

/// The longest time between two rounds while stores seem equal. Each round starts after a random
/// time between half of this interval and the full interval.
const ROUND_INTERVAL_US: Micros = 1_000_000;
/// The longest time between two rounds while stores differ, or shortly after an urgent entry.
const SHORT_ROUND_INTERVAL_US: Micros = 100_000;
/// The time after an urgent entry for which the short interval applies.
const URGENT_PERIOD_US: Micros = 500_000;
/// The delay before a peer that has sent new entries is queried for more.
const REPEAT_QUERY_DELAY_US: Micros = 10_000;

/// The anti-entropy state of one process.
pub struct Gossip<P> {
    local: P,
    next_round_at: Timestamp,
    /// Whether this store is known to differ from a peer's.
    is_out_of_sync: bool,
    /// The end of the period in which the short interval applies.
    urgent_until: Timestamp,
    repeats: PendingRepeats,
    send_limit: SendLimit,
    catch_up: CatchUp<P>,
    exchange: Exchange<P>,
}

impl<P: Clone + PartialEq> Gossip<P> {
    /// Creates the state of a starting process, which has to catch up with its peers. `local` is
    /// the process itself; the lists of peers that are passed in may contain it.
    pub fn new(now: Timestamp, local: P) -> Gossip<P> {
        Gossip {
            local,
            next_round_at: now,
            is_out_of_sync: true,
            urgent_until: now,
            repeats: PendingRepeats::default(),
            send_limit: SendLimit::new(now),
            catch_up: CatchUp::start(),
            exchange: Exchange::none(),
        }
    }

    /// Returns whether this process has all entries that one peer had when it was queried, or has
    /// no peer from which it could get more.
    pub fn is_caught_up(&self) -> bool {
        self.catch_up.is_done()
    }

    /// Restarts catching up, after this process was suspended or has reset its store.
    pub fn restart_catch_up(&mut self, now: Timestamp) {
        self.catch_up = CatchUp::start();
        self.exchange.close();
        self.is_out_of_sync = true;
        self.next_round_at = now;
    }

    /// Ends catching up with the entries received so far, because no peer has answered in time.
    pub fn abandon_catch_up(&mut self) {
        self.catch_up = CatchUp::Done;
    }

    /// Sends the repeats of broadcasts that are due, and starts the next round if it is due.
    /// `peers` are the processes that are alive.
    pub fn on_tick(
        &mut self,
        now: Timestamp,
        store: &Store,
        peers: &[P],
        rng: &mut impl Rng,
        out: &mut Vec<Envelope<P>>,
    ) {
        for delta in self.repeats.take_due(now, store) {
            broadcast::send_to_peers(&delta, peers, rng, out);
        }
        if now < self.next_round_at || peers.is_empty() {
            return;
        }
        self.schedule_next_round(now, rng);
        match self.choose_peer(peers, rng, out) {
            Some(peer) if peer != self.local => self.start_round(store, peer, out),
            _ => {}
        }
    }

    fn schedule_next_round(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let interval_us = if self.is_out_of_sync || now < self.urgent_until {
            SHORT_ROUND_INTERVAL_US
        } else {
            ROUND_INTERVAL_US
        };
        self.next_round_at = now + rng.random_range(interval_us / 2..interval_us);
    }

    /// Chooses the peer of the next round. If it is this process itself, the round is skipped.
    fn choose_peer(
        &mut self,
        peers: &[P],
        rng: &mut impl Rng,
        out: &mut Vec<Envelope<P>>,
    ) -> Option<P> {
        if let Some(peer) = self.exchange.take_peer_with_more(peers) {
            return Some(peer);
        }
        if self.catch_up.is_done() {
            return Some(peers[rng.random_range(0..peers.len())].clone());
        }
        self.catch_up.choose_peer(&self.local, peers, rng, out)
    }

    fn start_round(&mut self, store: &Store, peer: P, out: &mut Vec<Envelope<P>>) {
        if self.is_out_of_sync {
            // This replaces an exchange whose peer has not answered and may be down.
            self.exchange.open(peer.clone());
            send_versions(store, OriginRange::ALL, true, &peer, out);
        } else {
            let digest = store.digest();
            let message = Message::Digest { digest };
            out.push(Envelope { to: peer, message });
        }
    }

    /// Handles a message, and returns the entries that were new to the store. An invalid message is
    /// ignored.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        store: &mut Store,
        received: Received<P>,
        rng: &mut impl Rng,
        out: &mut Vec<Envelope<P>>,
    ) -> Vec<MergedEntry> {
        let Received {
            from,
            message,
            peers,
        } = received;
        if message.validate().is_err() {
            return Vec::new();
        }
        match message {
            Message::Digest { digest } => on_digest(store, from, digest, out),
            Message::InSync { digest } => self.on_in_sync(store, digest),
            Message::CatchUpProbe => self.on_catch_up_probe(from, out),
            Message::CatchUpReply { is_starting } => {
                self.on_catch_up_reply(now, from, is_starting, peers);
            }
            Message::Versions(versions) => self.on_versions(now, store, from, versions, out),
            Message::Deltas { deltas } => {
                let urgent = is_urgent(&deltas).then(|| deltas.clone());
                let merged = self.on_deltas(now, store, &from, deltas);
                if let Some(urgent) = urgent.filter(|_| !merged.is_empty()) {
                    let urgent = broadcast::refresh_ages(store, now, urgent);
                    broadcast::forward(&urgent, &from, peers, rng, out);
                    self.shorten_rounds(now);
                }
                return merged;
            }
        }
        Vec::new()
    }

    fn on_in_sync(&mut self, store: &Store, digest: Digest) {
        if digest == store.digest() {
            self.is_out_of_sync = false;
        }
    }

    fn on_catch_up_probe(&self, from: P, out: &mut Vec<Envelope<P>>) {
        let is_starting = !self.catch_up.is_done();
        let message = Message::CatchUpReply { is_starting };
        out.push(Envelope { to: from, message });
    }

    fn on_catch_up_reply(&mut self, now: Timestamp, from: P, is_starting: bool, peers: &[P]) {
        let can_catch_up = self.catch_up.record_reply(from, is_starting, peers);
        if can_catch_up && !self.exchange.is_open() {
            self.next_round_at = now;
        }
    }

    /// Merges deltas. If an exchange with their sender is open and they had new entries, the next
    /// round, which queries the sender again, is brought forward.
    fn on_deltas(
        &mut self,
        now: Timestamp,
        store: &mut Store,
        from: &P,
        deltas: Vec<Delta>,
    ) -> Vec<MergedEntry> {
        let mut merged = Vec::new();
        for delta in deltas {
            merged.extend(store.merge(now, delta));
        }
        if !merged.is_empty() && self.is_out_of_sync && self.exchange.is_with(from) {
            self.exchange.record_new_entries();
            self.next_round_at = self.next_round_at.min(now + REPEAT_QUERY_DELAY_US);
        }
        merged
    }

    /// Sends the writes that the peer lacks, and this process's own versions if they are requested.
    fn on_versions(
        &mut self,
        now: Timestamp,
        store: &Store,
        from: P,
        versions: Versions,
        out: &mut Vec<Envelope<P>>,
    ) {
        let Versions {
            range,
            versions,
            is_reply_requested,
        } = versions;
        let peer_versions: VersionVector = versions.into_iter().collect();
        let peer_is_behind = self.send_missing(now, store, &from, &peer_versions, range, out);
        if is_reply_requested {
            send_versions(store, range, false, &from, out);
        }
        if is_behind(store, range, &peer_versions) {
            self.is_out_of_sync = true;
        } else if self.exchange.is_with(&from) && !is_reply_requested {
            self.on_range_covered(range);
        }
        self.is_out_of_sync |= peer_is_behind;
    }

    /// Sends a peer the writes of a range that it lacks. Returns whether it lacks any.
    fn send_missing(
        &mut self,
        now: Timestamp,
        store: &Store,
        peer: &P,
        peer_versions: &VersionVector,
        range: OriginRange,
        out: &mut Vec<Envelope<P>>,
    ) -> bool {
        let max_entries = self.send_limit.remaining_entries(now);
        let missing = store.deltas_missing_at(now, peer_versions, range, max_entries);
        let is_behind = !missing.deltas.is_empty() || missing.is_truncated;
        let packets = packing::pack(missing.deltas);
        self.send_limit.record(packets.len());
        out.extend(packets.into_iter().map(|deltas| Envelope {
            to: peer.clone(),
            message: Message::Deltas { deltas },
        }));
        is_behind
    }

    /// Records that this process knows all writes of a range that the peer of the exchange knows.
    /// Once that holds for all origins, this process has caught up with the peer.
    fn on_range_covered(&mut self, range: OriginRange) {
        self.exchange.record_covered(range);
        if self.exchange.covers_all_origins() {
            self.catch_up = CatchUp::Done;
            self.is_out_of_sync = false;
            self.exchange.close();
        }
    }

    /// Broadcasts an entry that this process has written.
    pub fn broadcast(
        &mut self,
        now: Timestamp,
        delta: Delta,
        peers: &[P],
        rng: &mut impl Rng,
        out: &mut Vec<Envelope<P>>,
    ) {
        self.shorten_rounds(now);
        broadcast::send_to_peers(&delta, peers, rng, out);
        self.repeats.add(now, delta);
    }

    fn shorten_rounds(&mut self, now: Timestamp) {
        self.urgent_until = now + URGENT_PERIOD_US;
        self.next_round_at = self.next_round_at.min(now + SHORT_ROUND_INTERVAL_US);
    }
}

fn on_digest<P>(store: &Store, from: P, digest: Digest, out: &mut Vec<Envelope<P>>)
where
    P: Clone,
{
    if digest == store.digest() {
        let message = Message::InSync { digest };
        out.push(Envelope { to: from, message });
    } else {
        send_versions(store, OriginRange::ALL, true, &from, out);
    }
}

fn send_versions<P: Clone>(
    store: &Store,
    range: OriginRange,
    is_reply_requested: bool,
    to: &P,
    out: &mut Vec<Envelope<P>>,
) {
    let messages = version_parts::versions_messages(store, range, is_reply_requested);
    out.extend(messages.into_iter().map(|message| Envelope {
        to: to.clone(),
        message,
    }));
}

/// Returns whether a peer's versions of a range include writes that this store does not know.
fn is_behind(store: &Store, range: OriginRange, peer: &VersionVector) -> bool {
    let known: VersionVector = store.version_vector().dots_in(range).collect();
    peer.dots().any(|dot| !known.includes(dot))
}

/// Returns whether the deltas are a broadcast, which has a single entry. Answers to version vectors
/// rarely are as small.
fn is_urgent(deltas: &[Delta]) -> bool {
    matches!(deltas, [delta] if delta.entries.len() == 1)
}
