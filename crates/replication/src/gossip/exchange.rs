//! The exchange of versions with one peer, and the answers received so far.

use crate::version_vector::{Origin, OriginRange};

/// An exchange of versions with at most one peer at a time.
pub(super) struct Exchange<P> {
    /// The peer whose versions were requested; `None` if no exchange is open.
    peer: Option<P>,
    /// Whether the peer of an exchange has sent new entries since [`Exchange::take_peer_with_more`]
    /// last returned a peer. Closing the exchange does not clear the flag, so the next peer may be
    /// queried twice.
    has_new_entries: bool,
    /// The ranges of origins for which the peer has reported no write unknown to this process.
    covered: Vec<OriginRange>,
}

impl<P: PartialEq> Exchange<P> {
    /// Creates the state without an open exchange.
    pub fn none() -> Exchange<P> {
        Exchange {
            peer: None,
            has_new_entries: false,
            covered: Vec::new(),
        }
    }

    /// Opens an exchange with a peer.
    pub fn open(&mut self, peer: P) {
        self.peer = Some(peer);
        self.covered.clear();
    }

    /// Closes the exchange, because it is complete or abandoned.
    pub fn close(&mut self) {
        self.peer = None;
    }

    pub fn is_open(&self) -> bool {
        self.peer.is_some()
    }

    /// Returns whether an exchange with this peer is open.
    pub fn is_with(&self, peer: &P) -> bool {
        self.peer.as_ref() == Some(peer)
    }

    /// Records that the peer has sent entries that were new to this process.
    pub fn record_new_entries(&mut self) {
        self.has_new_entries = true;
    }

    /// Returns the peer of the exchange if it has sent new entries and is still alive, so that it
    /// is queried for more. Closes the exchange if the peer has sent new entries.
    pub fn take_peer_with_more(&mut self, peers: &[P]) -> Option<P> {
        let has_new_entries = &mut self.has_new_entries;
        self.peer
            .take_if(|_| std::mem::take(has_new_entries))
            .filter(|peer| peers.contains(peer))
    }

    /// Records that the peer knows no write of a range that this process does not know.
    pub fn record_covered(&mut self, range: OriginRange) {
        self.covered.push(range);
    }

    /// Returns whether the covered ranges together include all origins.
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
