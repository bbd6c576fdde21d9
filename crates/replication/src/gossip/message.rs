//! The messages that synchronize the stores of processes.
//!
//! They are encoded with postcard, which writes neither field names nor variant names: the order of
//! fields and variants is the wire format.

use crate::entry::Delta;
use crate::version_vector::{Digest, Dot, OriginRange};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Opens a round of anti-entropy with a random peer while the sender has no indication that
    /// stores differ. The receiver answers [`Message::InSync`], or its [`Versions`] if its digest
    /// differs.
    Digest {
        /// The digest of the sender's version vector.
        digest: Digest,
    },
    /// Reports the sender's versions. Opens a round while stores differ, and answers a digest that
    /// differs or a request for versions. The receiver sends the entries that the sender lacks.
    Versions(Versions),
    /// Transfers entries that the receiver lacks, or broadcasts a new entry. The receiver merges
    /// them, and forwards a single entry that is new to it.
    Deltas {
        /// The entries, grouped by origin.
        deltas: Vec<Delta>,
    },
    /// Answers a [`Message::Digest`] that equals the digest of the answering process. A receiver
    /// whose digest is still the same considers the stores equal.
    InSync {
        /// The digest to which this is the answer.
        digest: Digest,
    },
    /// Sent by a starting process to find a peer to catch up from. The receiver answers
    /// [`Message::CatchUpReply`].
    CatchUpProbe,
    /// Answers [`Message::CatchUpProbe`]. The receiver catches up from the sender unless the sender
    /// is starting too.
    CatchUpReply {
        /// Whether the sender has not caught up yet.
        is_starting: bool,
    },
}

/// The error of a message that can be decoded but that no process sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidMessage {
    /// [`Versions::range`] ends before it begins.
    #[error("versions.range ends before it begins")]
    ReversedRange,
}

impl Message {
    /// Checks the fields of a received message.
    ///
    /// # Errors
    ///
    /// Returns an [`InvalidMessage`] that names the invalid field.
    pub fn validate(&self) -> Result<(), InvalidMessage> {
        match self {
            Message::Versions(versions) if versions.range.is_reversed() => {
                Err(InvalidMessage::ReversedRange)
            }
            _ => Ok(()),
        }
    }
}

/// The part of the sender's version vector for a range of origins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The range of origins that the message covers.
    pub range: OriginRange,
    /// For each origin known to the sender, the version up to which it knows all writes.
    pub versions: Vec<Dot>,
    /// Whether the receiver has to answer with its own versions of the range.
    pub is_reply_requested: bool,
}

/// An outgoing message with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope<P> {
    /// The receiver.
    pub to: P,
    /// The message to send.
    pub message: Message,
}

/// A received message with its sender.
#[derive(Clone, Debug)]
pub struct Received<'a, P> {
    /// The sender.
    pub from: P,
    /// The received message.
    pub message: Message,
    /// The processes that are alive; the receiver may be among them.
    pub peers: &'a [P],
}
