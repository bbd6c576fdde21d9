//! The messages of membership: who sends each when, and what its receiver does.
//!
//! Messages are encoded in `postcard`, which writes fields and variants by their order: the order
//! is the wire format, the names are not.

use super::entries::Entries;
use super::member::{IncarnationTag, Member};
use super::view::BUCKETS;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes that go with every message: the headers of IPv4 and UDP (28), and what [`crate::packet`]
/// adds (magic, hash, sender, kind of body), rounded up.
pub const MESSAGE_OVERHEAD_BYTES: usize = 68;

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The receiver.
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
    /// A digest of all members that the sender takes for up. Equal views have equal digests; a
    /// receiver with another view compares the two by [`Body::Buckets`] or [`Body::Compare`].
    pub view_digest: u64,
    /// The sender in full: while it has just started, and in answer to [`Body::WhoAreYou`]. The
    /// receiver adds it to its members.
    pub introduction: Option<Member>,
    /// What the message is about.
    pub body: Body,
}

impl Message {
    /// The bytes of this message as encoded, without [`MESSAGE_OVERHEAD_BYTES`].
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// The kinds of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Sent to the member that is probed. The receiver answers with [`Body::Ack`].
    Ping {
        /// The number that the answer repeats.
        sequence: u32,
        /// Updates that are being disseminated. To a member that is not held to be alive, that
        /// state comes first, so that it can refute it.
        updates: Vec<Update>,
    },
    /// Sent to random members when a probed member has not answered: the path between the two may
    /// be broken. The receiver pings the target, and passes its answer on as [`Body::Ack`].
    PingRequest {
        /// The number that the answer repeats.
        sequence: u32,
        /// The member to be pinged.
        target: SocketAddr,
    },
    /// The answer to [`Body::Ping`], or to [`Body::PingRequest`]. The receiver ends its probe.
    Ack {
        /// The number of the ping or of the request.
        sequence: u32,
        /// As in [`Body::Ping`].
        updates: Vec<Update>,
    },
    /// Sent to random members while there are updates to disseminate, to a member that is suspected
    /// or outranked, so that it refutes that, and, without updates, as an introduction. The receiver
    /// applies the updates and disseminates those that are new to it.
    Gossip {
        /// The updates.
        updates: Vec<Update>,
    },
    /// Sent to a member whose incarnation is not known. The receiver introduces itself.
    WhoAreYou,
    /// Sent by a large fleet's member to one whose view differs. The receiver answers with
    /// [`Body::Compare`] for the buckets that differ.
    Buckets(BucketDigests),
    /// Sent to a member whose view differs. The receiver answers with [`Body::Entries`] that the
    /// sender lacks, and may send a [`Body::Compare`] of its own for what it lacks.
    Compare(CompareRequest),
    /// The answer to [`Body::Compare`]. The receiver adds the members.
    Entries(Entries),
}

/// A statement about one member that is passed on from process to process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// A member is alive that the receiver may not know.
    Full(Member),
    /// About an incarnation that the receiver should know; ignored if it does not.
    Brief(BriefUpdate),
}

/// A statement about a known incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BriefUpdate {
    /// The member's address.
    pub address: SocketAddr,
    /// The incarnation.
    pub incarnation: IncarnationTag,
    /// The refutation count that the statement is about. A higher count refutes it.
    pub refutations: u32,
    /// What is said of the incarnation.
    pub state: ReportedState,
}

/// What may be said of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedState {
    /// It is up.
    Alive,
    /// It did not answer the process that this comes from.
    Suspect,
    /// The sender takes it for dead. The receiver does not, but suspects it.
    Dead,
    /// It has announced that it leaves.
    Left,
}

impl Update {
    /// A brief update about a member.
    pub(super) fn brief(member: &Member, state: ReportedState) -> Update {
        Update::Brief(BriefUpdate {
            address: member.address,
            incarnation: member.tag(),
            refutations: member.refutations,
            state,
        })
    }

    /// The address of the member that the update is about.
    pub(super) fn address(&self) -> SocketAddr {
        match self {
            Update::Full(member) => member.address,
            Update::Brief(update) => update.address,
        }
    }

    /// About how many bytes the update takes in a message.
    pub(super) fn estimated_size(&self) -> usize {
        /// A member but for its name and site.
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
    /// Drawn anew for each message: buckets that differ and have the same digest differ with the
    /// next salt.
    pub salt: u64,
    /// In the order of the buckets.
    pub digests: Vec<[u8; 2]>,
}

/// A set of buckets, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSet(pub u64);

impl BucketSet {
    /// All buckets.
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

    /// The buckets in ascending order.
    pub(super) fn iter(self) -> impl Iterator<Item = usize> {
        (0..BUCKETS).filter(move |bucket| self.contains(*bucket))
    }
}

/// Fingerprints of the sender's members in some buckets, and a request for those that it lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompareRequest {
    /// Drawn anew for each message: two members with the same fingerprint differ with the next salt.
    pub salt: u64,
    /// The buckets that are compared.
    pub buckets: BucketSet,
    /// The fingerprints in each of these buckets, in ascending order of the buckets; empty if the
    /// sender knows no other member yet.
    pub fingerprints: Vec<Vec<u8>>,
    /// The most bytes of entries that the sender wants in answer.
    pub max_answer_bytes: u32,
    /// Whether the receiver may send a request of its own in answer.
    pub may_request_back: bool,
}

impl CompareRequest {
    /// Whether the sender knows no other member yet.
    pub(super) fn is_from_newcomer(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// Each compared bucket with its fingerprints. Nothing if the two lists do not fit each other.
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
