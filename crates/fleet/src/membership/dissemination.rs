//! Dissemination of updates: each update is sent a number of times that grows with the logarithm of
//! the fleet's size, in pings, in their answers, and in gossip messages.

use super::message::{Body, Update};
use super::{Membership, Micros, Output, Timestamp, MILLISECOND_US};

/// The interval between two rounds of gossip while updates are queued.
const GOSSIP_INTERVAL_US: Micros = 200 * MILLISECOND_US;
/// The number of members that a round of gossip is sent to.
const GOSSIP_FAN_OUT: usize = 3;
/// The maximum size of the updates in one gossip message, in bytes.
const MAX_GOSSIP_BYTES: usize = 1_000;
/// The maximum size of the updates in a ping or its answer, in bytes.
const MAX_PIGGYBACK_BYTES: usize = 300;
/// The part of the send allowance that gossip leaves unspent, in bytes: anti-entropy, which carries
/// many members at once, has priority.
const SEND_RESERVE_BYTES: f64 = 16_000.0;
/// The maximum number of queued updates.
const MAX_UPDATES: usize = 1_024;
/// The maximum number of queued updates that describe a member in full. Further new members are
/// left to anti-entropy, which carries many at a far lower cost.
const MAX_FULL_UPDATES: usize = 16;
/// The number of transmissions of an update in addition to the logarithm of the fleet's size.
const EXTRA_TRANSMISSIONS: u32 = 5;

/// A queued update and the number of times it was sent.
struct QueuedUpdate {
    update: Update,
    transmissions: u32,
}

/// The queue of updates to disseminate.
pub(super) struct Dissemination {
    queue: Vec<QueuedUpdate>,
    next_round_at: Timestamp,
}

impl Dissemination {
    pub(super) fn new(now: Timestamp) -> Dissemination {
        Dissemination {
            queue: Vec::new(),
            next_round_at: now,
        }
    }

    /// Returns when [`Membership::gossip_if_due`] next has something to do.
    pub(super) fn next_due(&self) -> Timestamp {
        if self.queue.is_empty() {
            Timestamp::MAX
        } else {
            self.next_round_at
        }
    }

    /// Queues an update in place of an earlier one about the same member. Has no effect if the
    /// queue is full.
    pub(super) fn push(&mut self, update: Update) {
        let address = update.address();
        self.queue
            .retain(|queued| queued.update.address() != address);
        let is_full = matches!(update, Update::Full(_));
        let has_room =
            self.queue.len() < MAX_UPDATES && !(is_full && self.full_updates() >= MAX_FULL_UPDATES);
        if has_room {
            self.queue.push(QueuedUpdate {
                update,
                transmissions: 0,
            });
        }
    }

    fn full_updates(&self) -> usize {
        self.queue
            .iter()
            .filter(|queued| matches!(queued.update, Update::Full(_)))
            .count()
    }

    /// Selects the updates for one message, those with the fewest transmissions first.
    fn take_updates(&mut self, max_bytes: usize, max_transmissions: u32) -> Vec<Update> {
        self.queue.sort_by_key(|queued| queued.transmissions);
        let mut bytes = 0;
        let mut updates = Vec::new();
        for queued in &mut self.queue {
            let size = queued.update.estimated_size();
            if bytes + size > max_bytes {
                break;
            }
            bytes += size;
            queued.transmissions += 1;
            updates.push(queued.update.clone());
        }
        self.queue
            .retain(|queued| queued.transmissions < max_transmissions);
        updates
    }
}

impl Membership {
    /// Returns the number of transmissions after which all members have received an update with
    /// near certainty.
    fn max_transmissions(&self) -> u32 {
        let size = self.table.live_peers().len() + 2;
        (size as f64).ln().ceil() as u32 + EXTRA_TRANSMISSIONS
    }

    /// Returns the updates to attach to a ping or its answer.
    pub(super) fn piggyback(&mut self, now: Timestamp) -> Vec<Update> {
        if self.dissemination.queue.is_empty()
            || self.send_allowance.available(now) < SEND_RESERVE_BYTES
        {
            return Vec::new();
        }
        let max_transmissions = self.max_transmissions();
        self.dissemination
            .take_updates(MAX_PIGGYBACK_BYTES, max_transmissions)
    }

    /// Sends a round of gossip if one is due.
    pub(super) fn gossip_if_due(&mut self, now: Timestamp, output: &mut Output) {
        if now < self.dissemination.next_due() {
            return;
        }
        self.dissemination.next_round_at = now + GOSSIP_INTERVAL_US;
        let max_transmissions = self.max_transmissions();
        for to in self.random_live_peers(GOSSIP_FAN_OUT, None) {
            if self.send_allowance.available(now) < SEND_RESERVE_BYTES {
                return;
            }
            let updates = self
                .dissemination
                .take_updates(MAX_GOSSIP_BYTES, max_transmissions);
            if updates.is_empty() {
                return;
            }
            self.send(now, to, Body::Gossip { updates }, output);
        }
    }
}
