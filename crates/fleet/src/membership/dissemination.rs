//! Passing on what is new: each update goes out as often as the logarithm of the fleet's size asks
//! for, with pings, their answers, and packets of its own.

use super::message::{Body, Update};
use super::{Effects, Membership, Micros, MS};

/// How often packets go out while there is something new, to how many, and with how many bytes of
/// updates.
const EVERY: Micros = 200 * MS;
const FAN_OUT: usize = 3;
const BYTES_MOST: usize = 1_000;
/// Bytes of updates that go with a ping or its answer.
const PIGGYBACK_MOST: usize = 300;
/// What has to be left of the allowance: synchronization, which brings much at once, goes before.
const RESERVE: f64 = 16_000.0;
/// Updates that wait to be passed on. Those about new members beyond their number are left to
/// synchronization, which brings many at far less cost.
const UPDATES_MOST: usize = 1_024;
const NEW_MOST: usize = 16;

struct Waiting {
    update: Update,
    sent: u32,
}

/// The updates that are being passed on.
pub(super) struct Dissemination {
    waiting: Vec<Waiting>,
    at: Micros,
}

impl Dissemination {
    pub(super) fn new(now: Micros) -> Dissemination {
        Dissemination {
            waiting: Vec::new(),
            at: now,
        }
    }

    /// When it has something to do.
    pub(super) fn next_due(&self) -> Micros {
        if self.waiting.is_empty() {
            Micros::MAX
        } else {
            self.at
        }
    }

    /// Passes an update on from now on, in place of an earlier one about the same member.
    pub(super) fn push(&mut self, update: Update) {
        let address = update.address();
        self.waiting
            .retain(|waiting| waiting.update.address() != address);
        let is_new = matches!(update, Update::Full(_));
        let all_new = self
            .waiting
            .iter()
            .filter(|waiting| matches!(waiting.update, Update::Full(_)))
            .count();
        if self.waiting.len() < UPDATES_MOST && !(is_new && all_new >= NEW_MOST) {
            self.waiting.push(Waiting { update, sent: 0 });
        }
    }

    /// Updates for one packet: those first that went out least often.
    fn fill(&mut self, most_bytes: usize, most_sent: u32) -> Vec<Update> {
        self.waiting.sort_by_key(|waiting| waiting.sent);
        let mut bytes = 0;
        let mut updates = Vec::new();
        for waiting in &mut self.waiting {
            let size = waiting.update.size();
            if bytes + size > most_bytes {
                break;
            }
            bytes += size;
            waiting.sent += 1;
            updates.push(waiting.update.clone());
        }
        self.waiting.retain(|waiting| waiting.sent < most_sent);
        updates
    }
}

impl Membership {
    /// How often an update goes out: enough that all hear of it with near certainty, whatever the
    /// size.
    fn most_sent(&self) -> u32 {
        let size = self.table.live().len() + 2;
        (size as f64).ln().ceil() as u32 + 5
    }

    /// Updates to go with a ping or its answer.
    pub(super) fn piggyback(&mut self, now: Micros) -> Vec<Update> {
        if self.dissemination.waiting.is_empty() || self.sending.left(now) < RESERVE {
            return Vec::new();
        }
        let most_sent = self.most_sent();
        self.dissemination.fill(PIGGYBACK_MOST, most_sent)
    }

    /// Sends updates if it is time.
    pub(super) fn gossip_due(&mut self, now: Micros, effects: &mut Effects) {
        if now < self.dissemination.next_due() {
            return;
        }
        self.dissemination.at = now + EVERY;
        let most_sent = self.most_sent();
        for to in self.some_live(FAN_OUT, None) {
            if self.sending.left(now) < RESERVE {
                return;
            }
            let updates = self.dissemination.fill(BYTES_MOST, most_sent);
            if updates.is_empty() {
                return;
            }
            self.send(now, to, Body::Gossip(updates), effects);
        }
    }
}
