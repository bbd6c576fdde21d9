//! The messages that processes send each other to make their stores equal.
//!
//! They travel as postcard, which writes neither the names of fields nor of variants: their order
//! is the wire format.

use crate::entry::Delta;
use crate::version_vector::{Digest, Dot, OriginRange};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Opens a round of anti-entropy with a random peer while the sender has no sign that stores
    /// differ. The receiver answers [`Message::InSync`], or with its [`Versions`] where its digest
    /// differs.
    Digest {
        /// The digest of the sender's version vector.
        digest: Digest,
    },
    /// Says what the sender knows: opens a round while stores differ, and answers a digest that
    /// differs or a request for versions. The receiver sends what the sender lacks.
    Versions(Versions),
    /// Entries: what the receiver lacks, or a new entry that is broadcast. The receiver merges
    /// them, and forwards a single entry that is new to it.
    Deltas {
        /// The entries, by origin.
        deltas: Vec<Delta>,
    },
    /// Answers [`Message::Digest`] where the receiver of the digest has the same. If the digest
    /// still is that of its store, the receiver takes the stores for equal.
    InSync {
        /// The digest that is answered.
        digest: Digest,
    },
    /// Sent by a starting process that looks for a peer to catch up from. The receiver answers
    /// [`Message::CatchUpReply`].
    CatchUpProbe,
    /// Answers [`Message::CatchUpProbe`]. The receiver catches up from a sender that is not
    /// starting itself.
    CatchUpReply {
        /// Whether the sender has not caught up itself.
        is_starting: bool,
    },
}

/// A message that can be decoded and that no process sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidMessage {
    /// [`Versions::range`].
    #[error("versions.range ends before it begins")]
    ReversedRange,
}

impl Message {
    /// Checks the fields of a message that has arrived.
    ///
    /// # Errors
    ///
    /// [`InvalidMessage`] names the field at fault.
    pub fn validate(&self) -> Result<(), InvalidMessage> {
        match self {
            Message::Versions(versions) if versions.range.is_reversed() => {
                Err(InvalidMessage::ReversedRange)
            }
            _ => Ok(()),
        }
    }
}

/// The part of the sender's version vector that lies in a range of origins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The origins that the message is about; it says nothing of others.
    pub range: OriginRange,
    /// Of each origin that the sender knows, the version up to which it knows all writes.
    pub versions: Vec<Dot>,
    /// Whether the receiver is to answer with its own versions of the range.
    pub is_reply_requested: bool,
}

/// A message to send, with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope<P> {
    /// To whom.
    pub to: P,
    /// What.
    pub message: Message,
}

/// A message that has arrived.
#[derive(Clone, Debug)]
pub struct Received<'a, P> {
    /// From whom.
    pub from: P,
    /// What.
    pub message: Message,
    /// The processes that are alive; the receiver may be among them.
    pub peers: &'a [P],
}
