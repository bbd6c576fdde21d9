//! One simulated process in one of its lives. The only module of the simulation that touches the
//! interface of [`Membership`].

pub(super) use crate::membership::Message;
use crate::membership::{Member, Membership, Micros, OutgoingMessage};
use crate::packet;
use std::net::SocketAddr;

use super::MILLISECOND;

/// How often a process looks for what is due, as the daemon does.
const TICK_EVERY: Micros = 10 * MILLISECOND;

/// Bytes that a packet adds to a message of the members: version, hash, the sender's address (IPv4)
/// and the kind of the body.
const SEALED_HEAD: usize = 4 + 16 + 7 + 1;
/// The largest message that fits a packet. What is larger is never sent.
pub const LARGEST_MESSAGE: usize = packet::MAX_PACKET_BYTES - SEALED_HEAD;

/// A running process.
pub(super) struct Peer {
    members: Membership,
    clock: Clock,
}

/// The monotonic clock of one process, and its ticks.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    /// How far the clock is ahead of simulated time.
    pub(super) ahead: Micros,
    /// When the process ticks, as the rest of simulated time divided by the time between two
    /// ticks.
    pub(super) phase: Micros,
}

impl Clock {
    /// The first tick later than `now`, in simulated time.
    fn tick_after(self, now: Micros) -> Micros {
        let phase = self.phase % TICK_EVERY;
        let ticks_before = (now + TICK_EVERY - phase) / TICK_EVERY;
        ticks_before * TICK_EVERY + phase
    }
}

impl Peer {
    pub(super) fn start(
        now: Micros,
        me: Member,
        seeds: &[SocketAddr],
        clock: Clock,
        seed: u64,
    ) -> Peer {
        Peer {
            members: Membership::new(now + clock.ahead, me, seeds, seed),
            clock,
        }
    }

    /// Takes a message that another process sent.
    pub(super) fn take(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: Message,
    ) -> Vec<OutgoingMessage> {
        self.members
            .on_message(now + self.clock.ahead, from, message)
            .messages
    }

    pub(super) fn tick(&mut self, now: Micros) -> Vec<OutgoingMessage> {
        self.members.tick(now + self.clock.ahead).messages
    }

    /// When this process ticks next: at the first of its looks at the clock at which something is
    /// due.
    pub(super) fn next_tick(&self, now: Micros) -> Micros {
        let due = self.members.next_due().saturating_sub(self.clock.ahead);
        self.clock.tick_after(due.saturating_sub(1).max(now))
    }

    /// The members that this process takes for up, itself included.
    pub(super) fn view(&self) -> Vec<&Member> {
        self.members.iter_up().collect()
    }
}
