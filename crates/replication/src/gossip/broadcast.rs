//! Broadcast of urgent entries: to all peers at once, or a sample of a large fleet, and once more a
//! moment later. Receivers forward an entry that is new to them; anti-entropy brings it to those
//! that all of this misses.

use super::message::{Envelope, Message};
use crate::entry::Delta;
use crate::store::Store;
use crate::{Micros, Timestamp};
use rand::Rng;

/// The most peers that one process sends an urgent entry or a probe to at once.
pub(super) const BROADCAST_FANOUT: usize = 24;
/// The peers to which a process forwards an urgent entry that is new to it.
const FORWARD_FANOUT: usize = 4;
/// After this time a broadcast is repeated, for peers that lost it.
const REPEAT_DELAY_US: Micros = 60_000;
/// Repeats that are remembered; broadcasts beyond are not repeated.
const MAX_PENDING_REPEATS: usize = 256;

/// Broadcasts that are still to be repeated.
#[derive(Default)]
pub(super) struct PendingRepeats {
    repeats: Vec<Repeat>,
}

struct Repeat {
    due_at: Timestamp,
    delta: Delta,
}

impl PendingRepeats {
    /// Has a broadcast repeated.
    pub fn add(&mut self, now: Timestamp, delta: Delta) {
        if self.repeats.len() < MAX_PENDING_REPEATS {
            let due_at = now + REPEAT_DELAY_US;
            self.repeats.push(Repeat { due_at, delta });
        }
    }

    /// Takes out the broadcasts whose repeat is due, with the ages that their entries have by now.
    pub fn take_due(&mut self, now: Timestamp, store: &Store) -> Vec<Delta> {
        let (due, later): (Vec<Repeat>, Vec<Repeat>) = std::mem::take(&mut self.repeats)
            .into_iter()
            .partition(|repeat| now >= repeat.due_at);
        self.repeats = later;
        let due = due.into_iter().map(|repeat| repeat.delta).collect();
        refresh_ages(store, now, due)
    }
}

/// Sends a delta to the peers, or to a sample of them.
pub(super) fn send_to_peers<P: Clone>(
    delta: &Delta,
    peers: &[P],
    rng: &mut impl Rng,
    out: &mut Vec<Envelope<P>>,
) {
    let deltas = vec![delta.clone()];
    let message = Message::Deltas { deltas };
    let receivers = sample_peers(peers, BROADCAST_FANOUT, rng);
    out.extend(receivers.into_iter().map(|to| Envelope {
        to,
        message: message.clone(),
    }));
}

/// Forwards an urgent entry that was new here to some peers, but not to its sender.
pub(super) fn forward<P: Clone + PartialEq>(
    deltas: &[Delta],
    sender: &P,
    peers: &[P],
    rng: &mut impl Rng,
    out: &mut Vec<Envelope<P>>,
) {
    let deltas = deltas.to_vec();
    let message = Message::Deltas { deltas };
    let receivers = sample_peers(peers, FORWARD_FANOUT, rng);
    let receivers = receivers.into_iter().filter(|to| to != sender);
    out.extend(receivers.map(|to| Envelope {
        to,
        message: message.clone(),
    }));
}

/// Deltas with the ages that their entries have in this store now.
pub(super) fn refresh_ages(store: &Store, now: Timestamp, mut deltas: Vec<Delta>) -> Vec<Delta> {
    for delta in &mut deltas {
        for entry in &mut delta.entries {
            if let Some(held) = store.get(delta.origin, &entry.key) {
                entry.age_us = held.age_us(now);
            }
        }
    }
    deltas
}

/// All peers, or `max_peers` different ones drawn at random.
pub(super) fn sample_peers<P: Clone>(peers: &[P], max_peers: usize, rng: &mut impl Rng) -> Vec<P> {
    if peers.len() <= max_peers {
        return peers.to_vec();
    }
    let drawn = rand::seq::index::sample(rng, peers.len(), max_peers);
    drawn.into_iter().map(|n| peers[n].clone()).collect()
}
