//! One incarnation of a simulated process: a [`Membership`] with its own clock.

use super::MILLISECOND_US;
use crate::membership::{Member, Membership, Message, Micros, OutgoingMessage, Timestamp};
use crate::packet::MAX_PACKET_BYTES;
use std::net::SocketAddr;

/// The interval at which a process checks for due actions, as in the agent.
const TICK_INTERVAL_US: Micros = 10 * MILLISECOND_US;
/// The bytes that a packet adds to a message: magic, hash, the sender's address (IPv4), and the
/// kind of the body.
const PACKET_HEADER_BYTES: usize = 4 + 16 + 7 + 1;
/// The maximum size of a message that fits a packet. Larger messages are never sent.
pub const MAX_MESSAGE_BYTES: usize = MAX_PACKET_BYTES - PACKET_HEADER_BYTES;

/// A running process.
pub(super) struct Peer {
    membership: Membership,
    clock: Clock,
}

/// The monotonic clock of one process, and its ticks.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    /// The offset by which the clock is ahead of simulated time.
    pub(super) offset_us: Micros,
    /// The phase of the ticks within the tick interval.
    pub(super) phase_us: Micros,
}

impl Clock {
    /// Returns the first tick later than `now`, in simulated time.
    fn tick_after(self, now: Timestamp) -> Timestamp {
        let phase_us = self.phase_us % TICK_INTERVAL_US;
        let ticks_before = (now + TICK_INTERVAL_US - phase_us) / TICK_INTERVAL_US;
        ticks_before * TICK_INTERVAL_US + phase_us
    }

    /// Converts simulated time to the time of this clock.
    fn read(self, now: Timestamp) -> Timestamp {
        now + self.offset_us
    }
}

impl Peer {
    pub(super) fn start(
        now: Timestamp,
        me: Member,
        seeds: &[SocketAddr],
        clock: Clock,
        random_seed: u64,
    ) -> Peer {
        Peer {
            membership: Membership::new(clock.read(now), me, seeds, random_seed),
            clock,
        }
    }

    /// Processes a message from another process.
    pub(super) fn on_message(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: Message,
    ) -> Vec<OutgoingMessage> {
        let now = self.clock.read(now);
        self.membership.on_message(now, from, message).messages
    }

    pub(super) fn tick(&mut self, now: Timestamp) -> Vec<OutgoingMessage> {
        self.membership.tick(self.clock.read(now)).messages
    }

    /// Returns when this process ticks next: at the first of its ticks at which an action is due.
    pub(super) fn next_tick(&self, now: Timestamp) -> Timestamp {
        let due = self.membership.next_due();
        let due = due.saturating_sub(self.clock.offset_us);
        self.clock.tick_after(due.saturating_sub(1).max(now))
    }

    /// Returns the members that this process considers live, itself included.
    pub(super) fn view(&self) -> Vec<&Member> {
        self.membership.iter_live_members().collect()
    }
}
