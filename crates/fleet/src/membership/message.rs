//! The messages of the membership protocol: when each is sent, and how its receiver reacts.
//!
//! Messages are encoded with `postcard`, which writes fields and variants by position: the order of
//! fields and variants is the wire format, their names are not.

use super::entries::Entries;
use super::member::{IncarnationTag, Member};
use super::view::BUCKETS;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The overhead of each message in bytes: the IPv4 and UDP headers (28) and the fields that
/// [`crate::packet`] adds (magic, hash, sender, kind of body), rounded up.
pub const MESSAGE_OVERHEAD_BYTES: usize = 68;

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The destination address.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's incarnation.
    pub incarnation: IncarnationTag,
    /// The sender's refutation count.
    pub refutations: u32,
    /// The digest of all members that the sender considers live. Equal views have equal digests; a
    /// receiver with a different view compares the two by [`Body::Buckets`] or [`Body::Compare`].
    pub view_digest: u64,
    /// The full description of the sender, sent for a while after its start and in answer to
    /// [`Body::WhoAreYou`]. The receiver adds it to its members.
    pub introduction: Option<Member>,
    /// The kind of message and its content.
    pub body: Body,
}

impl Message {
    /// Returns the encoded size of this message in bytes, without [`MESSAGE_OVERHEAD_BYTES`].
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// The kinds of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Sent to the probed member. The receiver answers with [`Body::Ack`].
    Ping {
        /// The sequence number, which the answer repeats.
        sequence: u32,
        /// Updates that are being disseminated. A ping of a member that is not considered alive
        /// starts with that state, so that the member can refute it.
        updates: Vec<Update>,
    },
    /// Sent to random members when a probed member has not answered, as the path between the two
    /// may be broken. The receiver pings the target and forwards its answer as [`Body::Ack`].
    PingRequest {
        /// The sequence number, which the answer repeats.
        sequence: u32,
        /// The member to ping.
        target: SocketAddr,
    },
    /// The answer to [`Body::Ping`] or [`Body::PingRequest`]. The receiver completes its probe.
    Ack {
        /// The sequence number of the ping or of the request.
        sequence: u32,
        /// Updates that are being disseminated, as in [`Body::Ping`].
        updates: Vec<Update>,
    },
    /// Sent to random members while updates are queued; to a member that is suspected or stale, so
    /// that it refutes that state; and without updates, as an introduction. The receiver applies
    /// the updates and disseminates those that are new to it.
    Gossip {
        /// The updates to apply.
        updates: Vec<Update>,
    },
    /// Sent to a member whose incarnation is unknown. The receiver introduces itself.
    WhoAreYou,
    /// Sent by a member of a large fleet to one whose view differs. The receiver answers with
    /// [`Body::Compare`] for the buckets that differ.
    Buckets(BucketDigests),
    /// Sent to a member whose view differs. The receiver answers with the [`Body::Entries`] that
    /// the sender is missing, and may send a [`Body::Compare`] for those that it is missing itself.
    Compare(CompareRequest),
    /// The answer to [`Body::Compare`]. The receiver adds the members.
    Entries(Entries),
}

/// A statement about one member that is disseminated between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Describes in full a live member that the receiver may not know.
    Full(Member),
    /// A statement about an incarnation that the receiver is expected to know; ignored if it does
    /// not.
    Brief(BriefUpdate),
}

/// A statement about a known incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BriefUpdate {
    /// The member's address.
    pub address: SocketAddr,
    /// The incarnation that the statement is about.
    pub incarnation: IncarnationTag,
    /// The refutation count that the statement is about. A higher count refutes it.
    pub refutations: u32,
    /// The reported state of the incarnation.
    pub state: ReportedState,
}

/// The states of an incarnation that a process can report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedState {
    /// The incarnation is live.
    Alive,
    /// The incarnation did not answer the process that the report originates from.
    Suspect,
    /// The sender has declared the incarnation dead. The receiver only suspects it.
    Dead,
    /// The incarnation has announced that it leaves.
    Left,
}

impl Update {
    /// Creates a brief update about a member.
    pub(super) fn brief(member: &Member, state: ReportedState) -> Update {
        Update::Brief(BriefUpdate {
            address: member.address,
            incarnation: member.tag(),
            refutations: member.refutations,
            state,
        })
    }

    /// Returns the address of the member that the update is about.
    pub(super) fn address(&self) -> SocketAddr {
        match self {
            Update::Full(member) => member.address,
            Update::Brief(update) => update.address,
        }
    }

    /// Estimates the size of the update in a message, in bytes.
    pub(super) fn estimated_size(&self) -> usize {
        /// The fields of a member other than its name and site.
        const FULL_FIXED_BYTES: usize = 30;
        const BRIEF_BYTES: usize = 17;
        match self {
            Update::Full(member) => FULL_FIXED_BYTES + member.name.len() + member.site.len(),
            Update::Brief(_) => BRIEF_BYTES,
        }
    }
}

/// Digests of the sender's view, one for each bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BucketDigests {
    /// A salt that is drawn anew for each message: buckets that differ but have equal digests
    /// differ with the next salt.
    pub salt: u64,
    /// The digests in the order of the buckets.
    pub digests: Vec<[u8; 2]>,
}

/// A set of buckets, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSet(pub u64);

impl BucketSet {
    /// The set of all buckets.
    pub(super) const ALL: BucketSet = BucketSet(u64::MAX);

    pub(super) fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub(super) fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    pub(super) fn contains(self, bucket: usize) -> bool {
        self.0 & (1 << bucket) != 0
    }

    pub(super) fn insert(&mut self, bucket: usize) {
        self.0 |= 1 << bucket;
    }

    /// Iterates over the buckets in ascending order.
    pub(super) fn iter(self) -> impl Iterator<Item = usize> {
        (0..BUCKETS).filter(move |bucket| self.contains(*bucket))
    }
}

/// The fingerprints of the sender's members in some buckets, and a request for the members that it
/// is missing there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompareRequest {
    /// A salt that is drawn anew for each message: two members with the same fingerprint differ
    /// with the next salt.
    pub salt: u64,
    /// The buckets to compare.
    pub buckets: BucketSet,
    /// The fingerprints of each of these buckets, in ascending order of the buckets; empty if the
    /// sender knows no other member yet.
    pub fingerprints: Vec<Vec<u8>>,
    /// The maximum size of the entries in the answer, in bytes.
    pub max_answer_bytes: u32,
    /// Whether the receiver may send a request of its own in answer.
    pub may_request_back: bool,
}

impl CompareRequest {
    /// Returns whether the sender knows no other member yet.
    pub(super) fn is_from_newcomer(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// Iterates over the compared buckets and their fingerprints. Yields nothing if the lengths of
    /// the two lists do not match.
    pub(super) fn by_bucket(&self) -> impl Iterator<Item = (usize, &[u8])> {
        let is_consistent =
            self.is_from_newcomer() || self.buckets.len() == self.fingerprints.len();
        let buckets = if is_consistent {
            self.buckets
        } else {
            BucketSet::default()
        };
        buckets.iter().enumerate().map(|(at, bucket)| {
            let fingerprints = self.fingerprints.get(at);
            (bucket, fingerprints.map_or(&[][..], Vec::as_slice))
        })
    }
}
