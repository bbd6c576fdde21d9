//! Splits a version vector into messages that each fit into a packet.

use super::message::{Message, Versions};
use crate::store::Store;
use crate::version_vector::{Dot, Origin, OriginRange};

/// Maximum number of origins in one message.
const MAX_ORIGINS_PER_MESSAGE: usize = 60;

/// Returns the versions of a range of origins as messages whose ranges together cover the range.
pub(super) fn versions_messages(
    store: &Store,
    range: OriginRange,
    is_reply_requested: bool,
) -> Vec<Message> {
    let versions: Vec<Dot> = store.version_vector().dots_in(range).collect();
    let message = |range, versions: &[Dot]| {
        Message::Versions(Versions {
            range,
            versions: versions.to_vec(),
            is_reply_requested,
        })
    };
    let mut messages = Vec::new();
    let mut first = range.first;
    let mut chunks = versions.chunks(MAX_ORIGINS_PER_MESSAGE).peekable();
    while let Some(chunk) = chunks.next() {
        let last = match (chunk.last(), chunks.peek()) {
            (Some(dot), Some(_)) => dot.origin,
            _ => range.last,
        };
        messages.push(message(OriginRange { first, last }, chunk));
        first = Origin(last.0.saturating_add(1));
    }
    if messages.is_empty() {
        messages.push(message(range, &[]));
    }
    messages
}
