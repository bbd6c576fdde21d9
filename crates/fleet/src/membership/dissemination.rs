//! Dissemination: each update goes out a number of times that grows with the logarithm of the
//! fleet's size, with pings, with their answers, and in gossip of its own.

use super::message::{Body, Update};
use super::{Membership, Micros, Output, Timestamp, MILLISECOND_US};

/// The time between two rounds of gossip while there are updates.
const GOSSIP_INTERVAL_US: Micros = 200 * MILLISECOND_US;
/// To how many members a round goes.
const GOSSIP_FAN_OUT: usize = 3;
/// The most bytes of updates in one message of gossip.
const MAX_GOSSIP_BYTES: usize = 1_000;
/// The most bytes of updates that go with a ping or its answer.
const MAX_PIGGYBACK_BYTES: usize = 300;
/// What has to be left of the send allowance, in bytes: anti-entropy, which carries many members
/// at once, goes first.
const SEND_RESERVE_BYTES: f64 = 16_000.0;
/// The most updates that wait to be sent.
const MAX_UPDATES: usize = 1_024;
/// The most of these that describe a member in full. Further new members are left to anti-entropy,
/// which carries many at far less cost.
const MAX_FULL_UPDATES: usize = 16;
/// How often an update is sent beyond the logarithm of the fleet's size.
const EXTRA_TRANSMISSIONS: u32 = 5;

/// An update that is being disseminated.
struct QueuedUpdate {
    update: Update,
    transmissions: u32,
}

/// The updates that are being disseminated.
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

    /// When [`Membership::gossip_if_due`] has something to do.
    pub(super) fn next_due(&self) -> Timestamp {
        if self.queue.is_empty() {
            Timestamp::MAX
        } else {
            self.next_round_at
        }
    }

    /// Disseminates an update in place of an earlier one about the same member. Without effect if
    /// too many are waiting.
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

    /// Updates for one message: those first that were sent least often.
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
    /// How often an update is sent, so that all members receive it with near certainty.
    fn max_transmissions(&self) -> u32 {
        let size = self.table.live_peers().len() + 2;
        (size as f64).ln().ceil() as u32 + EXTRA_TRANSMISSIONS
    }

    /// Updates to go with a ping or its answer.
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

    /// Sends a round of gossip if it is time.
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
