//! Broadcast of urgent entries.
//!
//! A process sends an urgent entry to all peers, or to a sample of them in a large fleet, and
//! repeats it after [`REPEAT_DELAY_US`]. Receivers forward an entry that is new to them.
//! Anti-entropy delivers it to processes that none of these messages reach.

use super::message::{Envelope, Message};
use crate::entry::Delta;
use crate::store::Store;
use crate::{Micros, Timestamp};
use rand::Rng;

/// Maximum number of peers to which a process sends an urgent entry or a probe at once.
pub(super) const BROADCAST_FANOUT: usize = 24;
/// Number of peers to which a process forwards an urgent entry that is new to it.
const FORWARD_FANOUT: usize = 4;
/// The delay before a broadcast is repeated, for peers that did not receive it.
const REPEAT_DELAY_US: Micros = 60_000;
/// Maximum number of pending repeats; further broadcasts are not repeated.
const MAX_PENDING_REPEATS: usize = 256;

/// Broadcasts to be repeated.
#[derive(Default)]
pub(super) struct PendingRepeats {
    repeats: Vec<Repeat>,
}

struct Repeat {
    due_at: Timestamp,
    delta: Delta,
}

impl PendingRepeats {
    /// Schedules the repeat of a broadcast.
    pub fn add(&mut self, now: Timestamp, delta: Delta) {
        if self.repeats.len() < MAX_PENDING_REPEATS {
            let due_at = now + REPEAT_DELAY_US;
            self.repeats.push(Repeat { due_at, delta });
        }
    }

    /// Removes and returns the broadcasts whose repeat is due, with the current ages of their
    /// entries.
    pub fn take_due(&mut self, now: Timestamp, store: &Store) -> Vec<Delta> {
        let (due, later): (Vec<Repeat>, Vec<Repeat>) = std::mem::take(&mut self.repeats)
            .into_iter()
            .partition(|repeat| now >= repeat.due_at);
        self.repeats = later;
        let due = due.into_iter().map(|repeat| repeat.delta).collect();
        refresh_ages(store, now, due)
    }
}

/// Sends a delta to all peers, or to a sample of [`BROADCAST_FANOUT`] peers.
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

/// Forwards an urgent entry that was new to this process to a sample of peers without its sender.
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

/// Sets the ages of the deltas' entries to their current ages in the store.
pub(super) fn refresh_ages(store: &Store, now: Timestamp, mut deltas: Vec<Delta>) -> Vec<Delta> {
    for delta in &mut deltas {
        for entry in &mut delta.entries {
            if let Some(stored) = store.get(delta.origin, &entry.key) {
                entry.age_us = stored.age_us(now);
            }
        }
    }
    deltas
}

/// Returns all peers, or `max_peers` distinct ones drawn at random.
pub(super) fn sample_peers<P: Clone>(peers: &[P], max_peers: usize, rng: &mut impl Rng) -> Vec<P> {
    if peers.len() <= max_peers {
        return peers.to_vec();
    }
    let drawn = rand::seq::index::sample(rng, peers.len(), max_peers);
    drawn.into_iter().map(|n| peers[n].clone()).collect()
}
