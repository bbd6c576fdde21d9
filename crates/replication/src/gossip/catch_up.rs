//! How a starting process finds a peer to catch up from.
//!
//! The process probes its peers until one answers that has caught up itself, and asks that one for
//! all that it lacks. If all peers have answered and all are starting too, as after a restart of
//! the whole fleet, no peer knows more and nobody waits.

use super::broadcast::{sample_peers, BROADCAST_FANOUT};
use super::message::{Envelope, Message};
use rand::Rng;

#[cfg(test)]
mod tests;

/// How far a process has caught up with its peers.
pub(super) enum CatchUp<P> {
    /// The process may lack entries that its peers hold.
    InProgress {
        /// The last answer of each peer that was probed.
        replies: Vec<ProbeReply<P>>,
    },
    /// The process holds what a peer held, or no peer can tell it more.
    Done,
}

/// A peer's answer to a probe.
pub(super) struct ProbeReply<P> {
    peer: P,
    is_starting: bool,
}

impl<P: Clone + PartialEq> CatchUp<P> {
    /// A process that has asked nobody yet.
    pub fn start() -> CatchUp<P> {
        CatchUp::InProgress {
            replies: Vec::new(),
        }
    }

    pub fn is_done(&self) -> bool {
        matches!(self, CatchUp::Done)
    }

    /// Notes a peer's answer to a probe. True if the process can catch up from the peer.
    pub fn record_reply(&mut self, peer: P, is_starting: bool, peers: &[P]) -> bool {
        let CatchUp::InProgress { replies } = self else {
            return false;
        };
        replies.retain(|reply| reply.peer != peer);
        if !peers.contains(&peer) {
            return false;
        }
        replies.push(ProbeReply { peer, is_starting });
        !is_starting
    }

    /// A peer that has caught up, to ask for what is missing. If none is known, probes those that
    /// have not answered; if all have, nobody knows more and the process has caught up.
    pub fn choose_peer(
        &mut self,
        local: &P,
        peers: &[P],
        rng: &mut impl Rng,
        out: &mut Vec<Envelope<P>>,
    ) -> Option<P> {
        let CatchUp::InProgress { replies } = self else {
            return None;
        };
        replies.retain(|reply| peers.contains(&reply.peer));
        let caught_up: Vec<&P> = replies
            .iter()
            .filter(|reply| !reply.is_starting)
            .map(|reply| &reply.peer)
            .collect();
        if !caught_up.is_empty() {
            return Some(caught_up[rng.random_range(0..caught_up.len())].clone());
        }
        let has_replied = |peer: &P| replies.iter().any(|reply| reply.peer == *peer);
        let silent = peers
            .iter()
            .filter(|peer| *peer != local && !has_replied(peer));
        let silent: Vec<P> = silent.cloned().collect();
        if silent.is_empty() {
            *self = CatchUp::Done;
        }
        let probed = sample_peers(&silent, BROADCAST_FANOUT, rng);
        out.extend(probed.into_iter().map(|to| Envelope {
            to,
            message: Message::CatchUpProbe,
        }));
        None
    }
}
