//! The packets that processes of a fleet exchange, and how they are encoded, sealed and opened.
//!
//! A packet consists of four bytes that identify the protocol and its version, 16 bytes of a keyed
//! BLAKE3 hash over the rest, and a [`Packet`] encoded with `postcard`. The key is derived from the
//! fleet's name and its secret, so the hash detects damaged packets and packets of another fleet or
//! secret; the data after the hash is decoded only if the hash is valid. A fleet without a secret
//! is protected against accidents, not against attackers.
//!
//! Replayed packets are harmless: a lease response is valid only for the last request of one
//! incarnation, a vote for one epoch, and membership orders updates by start time and refutation
//! count.

use dewrun_budgets::message::Message;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The first bytes of every packet, which identify the protocol and its version.
const MAGIC: [u8; 4] = *b"DWF3";
/// The size of the keyed hash in a packet.
const HASH_BYTES: usize = 16;
/// The maximum size of a packet that is sent or accepted: a path with an MTU of 1,500 bytes carries
/// it with all headers.
pub const MAX_PACKET_BYTES: usize = 1_400;
/// The key derivation context, which separates this use of the secret from others.
const KEY_CONTEXT: &str = "dewrun fleet 2026-12 packets";

/// The decoded content of a packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's address as known to all members. The source address of the datagram may be that
    /// of a relay.
    pub from: SocketAddr,
    /// The messages.
    pub body: Body,
}

/// The messages in a packet, by the component that handles them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Messages for [`crate::membership`].
    Membership(crate::membership::Message),
    /// Messages about budgets and leases for `dewrun_budgets`.
    Budgets(Vec<Message>),
    /// Messages about replicated orders and member status for `dewrun_replication`.
    Replication(dewrun_replication::gossip::message::Message),
}

/// The reason why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The packet is too long, too short, or does not begin with the protocol's magic bytes.
    #[error("not a packet of this protocol")]
    NotAPacket,
    /// The hash is invalid: the packet is from another fleet or secret, or was damaged in transit.
    #[error("packet is from another fleet or secret, or is damaged")]
    WrongHash,
    /// The hash is valid and the rest cannot be decoded: the packet is from another protocol
    /// version.
    #[error("packet is from another protocol version")]
    OtherVersion,
    /// The packet can be decoded but contains a message that no process sends.
    #[error("invalid message: {0}")]
    Invalid(#[from] InvalidContent),
}

/// An invalid message, by the component that it is addressed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidContent {
    /// An invalid budget message.
    #[error("budgets: {0}")]
    Budgets(#[from] dewrun_budgets::message::InvalidMessage),
    /// An invalid replication message.
    #[error("replication: {0}")]
    Replication(#[from] dewrun_replication::gossip::message::InvalidMessage),
}

impl Body {
    /// Validates the fields of received messages. Membership validates its messages as it processes
    /// them.
    fn validate(&self) -> Result<(), InvalidContent> {
        match self {
            Body::Membership(_) => {}
            Body::Budgets(messages) => {
                for message in messages {
                    message.validate()?;
                }
            }
            Body::Replication(message) => message.validate()?,
        }
        Ok(())
    }
}

/// The reason why a packet cannot be sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The packet would be longer than [`MAX_PACKET_BYTES`].
    #[error(
        "message needs a packet of {bytes} bytes, more than the maximum of {MAX_PACKET_BYTES}"
    )]
    TooLarge {
        /// The size that the packet would have.
        bytes: usize,
    },
    /// The packet cannot be encoded.
    #[error("message cannot be encoded")]
    NotEncodable,
}

/// The result of packing several messages.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PackedMessages {
    /// The sealed packets.
    pub packets: Vec<Vec<u8>>,
    /// One error for each message that does not fit a packet by itself and was omitted.
    pub errors: Vec<SealError>,
}

/// Seals and opens the packets of one fleet.
#[derive(Clone)]
pub struct Seal {
    key: [u8; 32],
}

impl Seal {
    /// Creates the seal of the fleet with this name and secret; an empty secret means none.
    pub fn new(fleet: &str, secret: &[u8]) -> Seal {
        // The length separates a name and secret from a longer name with a shorter secret.
        let mut material = (fleet.len() as u64).to_le_bytes().to_vec();
        material.extend_from_slice(fleet.as_bytes());
        material.extend_from_slice(secret);
        Seal {
            key: blake3::derive_key(KEY_CONTEXT, &material),
        }
    }

    /// Encodes and seals a packet.
    ///
    /// # Errors
    ///
    /// Returns [`SealError::TooLarge`] if the sealed packet is larger than [`MAX_PACKET_BYTES`].
    pub fn seal(&self, packet: &Packet) -> Result<Vec<u8>, SealError> {
        let body = postcard::to_stdvec(packet).map_err(|_| SealError::NotEncodable)?;
        let bytes = self.seal_body(&body);
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(SealError::TooLarge { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// Prefixes a body of any content and length with the magic bytes and its hash.
    pub fn seal_body(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAGIC.len() + HASH_BYTES + body.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&self.hash(body));
        bytes.extend_from_slice(body);
        bytes
    }

    /// Verifies and decodes a packet.
    ///
    /// # Errors
    ///
    /// Returns an [`OpenError`] with the reason to drop the packet. The hash is verified before any
    /// data after it is decoded.
    pub fn open(&self, bytes: &[u8]) -> Result<Packet, OpenError> {
        let sealed = bytes
            .strip_prefix(&MAGIC)
            .filter(|_| bytes.len() <= MAX_PACKET_BYTES)
            .ok_or(OpenError::NotAPacket)?;
        let (hash, body) = sealed
            .split_at_checked(HASH_BYTES)
            .ok_or(OpenError::NotAPacket)?;
        if !is_equal_in_constant_time(hash, &self.hash(body)) {
            return Err(OpenError::WrongHash);
        }
        let Ok((packet, [])) = postcard::take_from_bytes::<Packet>(body) else {
            return Err(OpenError::OtherVersion);
        };
        packet.body.validate()?;
        Ok(packet)
    }

    /// Computes a hexadecimal proof that its creator knows the secret. The proof covers a message,
    /// its kind, and the nonce that was issued for it.
    pub fn proof(&self, kind: &str, nonce: &str, text: &[u8]) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher
            .update(kind.as_bytes())
            .update(b" ")
            .update(nonce.as_bytes())
            .update(b" ")
            .update(text);
        hasher.finalize().to_hex()[..2 * HASH_BYTES].to_string()
    }

    /// Seals budget messages for one process into as few packets as they fit.
    pub fn pack(&self, from: SocketAddr, messages: &[Message]) -> PackedMessages {
        let mut packed = PackedMessages::default();
        self.pack_into(&mut packed, from, messages);
        packed
    }

    fn pack_into(&self, packed: &mut PackedMessages, from: SocketAddr, messages: &[Message]) {
        let packet = Packet {
            from,
            body: Body::Budgets(messages.to_vec()),
        };
        match self.seal(&packet) {
            Ok(bytes) => packed.packets.push(bytes),
            Err(_) if messages.len() > 1 => {
                let (first, second) = messages.split_at(messages.len() / 2);
                self.pack_into(packed, from, first);
                self.pack_into(packed, from, second);
            }
            Err(error) => packed.errors.push(error),
        }
    }

    fn hash(&self, body: &[u8]) -> [u8; HASH_BYTES] {
        let mut hash = [0; HASH_BYTES];
        hash.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..HASH_BYTES]);
        hash
    }
}

/// Compares a received hash with the expected one. The comparison time does not depend on how many
/// bytes match, so a sender cannot find the hash byte by byte.
fn is_equal_in_constant_time(received: &[u8], expected: &[u8; HASH_BYTES]) -> bool {
    let difference = received
        .iter()
        .zip(expected)
        .fold(0, |difference, (a, b)| difference | (a ^ b));
    difference == 0
}

#[cfg(test)]
mod tests;
