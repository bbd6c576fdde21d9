//! Selection of a peer from which a starting process catches up.
//!
//! The process probes its peers until one that has caught up answers, and requests all missing
//! entries from that peer. If all peers have answered and all are starting too, as after a restart
//! of the entire fleet, no peer has more entries and no process waits.

use super::broadcast::{sample_peers, BROADCAST_FANOUT};
use super::message::{Envelope, Message};
use rand::Rng;

#[cfg(test)]
mod tests;

/// The progress of catching up with the peers.
pub(super) enum CatchUp<P> {
    /// The process may lack entries that its peers have.
    InProgress {
        /// The last answer of each probed peer.
        replies: Vec<ProbeReply<P>>,
    },
    /// The process has all entries that a peer had, or no peer has more entries.
    Done,
}

/// A peer's answer to a probe.
pub(super) struct ProbeReply<P> {
    peer: P,
    is_starting: bool,
}

impl<P: Clone + PartialEq> CatchUp<P> {
    /// Creates the state of a process that has not probed any peer.
    pub fn start() -> CatchUp<P> {
        CatchUp::InProgress {
            replies: Vec::new(),
        }
    }

    pub fn is_done(&self) -> bool {
        matches!(self, CatchUp::Done)
    }

    /// Records a peer's answer to a probe. Returns whether the process can catch up from the peer.
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

    /// Returns a peer that has caught up. If none is known, probes the peers that have not
    /// answered; if all have answered, no peer has more entries and the process has caught up.
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
        let unanswered = peers
            .iter()
            .filter(|peer| *peer != local && !has_replied(peer));
        let unanswered: Vec<P> = unanswered.cloned().collect();
        if unanswered.is_empty() {
            *self = CatchUp::Done;
        }
        let probed = sample_peers(&unanswered, BROADCAST_FANOUT, rng);
        out.extend(probed.into_iter().map(|to| Envelope {
            to,
            message: Message::CatchUpProbe,
        }));
        None
    }
}
