//! The peer that was asked for its versions, and what it has answered so far.

use crate::version_vector::{Origin, OriginRange};

/// One exchange of versions with a peer.
pub(super) struct Exchange<P> {
    /// The peer that was asked.
    peer: Option<P>,
    /// Whether a peer that was asked has sent entries that were new here, since
    /// [`Exchange::take_peer_with_more`] last gave a peer. Closing the exchange does not clear it,
    /// so the next peer may be asked twice.
    has_new_entries: bool,
    /// The ranges of origins of which the peer has said that it knows no more than this process.
    covered: Vec<OriginRange>,
}

impl<P: PartialEq> Exchange<P> {
    /// No exchange.
    pub fn none() -> Exchange<P> {
        Exchange {
            peer: None,
            has_new_entries: false,
            covered: Vec::new(),
        }
    }

    /// A peer is asked.
    pub fn open(&mut self, peer: P) {
        self.peer = Some(peer);
        self.covered.clear();
    }

    /// The exchange has ended, or its peer is given up.
    pub fn close(&mut self) {
        self.peer = None;
    }

    pub fn is_open(&self) -> bool {
        self.peer.is_some()
    }

    /// Whether this peer was asked.
    pub fn is_with(&self, peer: &P) -> bool {
        self.peer.as_ref() == Some(peer)
    }

    /// Notes that the peer has sent entries that were new here.
    pub fn record_new_entries(&mut self) {
        self.has_new_entries = true;
    }

    /// The peer of the exchange if it has sent new entries and is still alive: it may have more,
    /// and is asked again. The exchange ends.
    pub fn take_peer_with_more(&mut self, peers: &[P]) -> Option<P> {
        let has_new_entries = &mut self.has_new_entries;
        self.peer
            .take_if(|_| std::mem::take(has_new_entries))
            .filter(|peer| peers.contains(peer))
    }

    /// Notes that the peer knows no more of a range than this process does.
    pub fn record_covered(&mut self, range: OriginRange) {
        self.covered.push(range);
    }

    /// Whether the ranges that are covered make up all origins.
    pub fn covers_all_origins(&mut self) -> bool {
        self.covered.sort_unstable();
        let mut next = Origin(0);
        for range in &self.covered {
            if range.first > next {
                return false;
            }
            match range.last.0.checked_add(1) {
                Some(after) => next = next.max(Origin(after)),
                None => return true,
            }
        }
        false
    }
}
