//! The messages of membership, as they go over the wire in `postcard`.

use super::member::{IncarnationTag, Member};
use super::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What one process says to another about who is up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The life of the sender.
    pub incarnation: IncarnationTag,
    /// How often the sender has refuted its death.
    pub refutations: u32,
    /// A digest of all that the sender holds to be up. Two that hold the same have the same
    /// digest.
    pub view: u64,
    /// The sender in full, while it is new or if it was asked who it is.
    pub introduction: Option<Member>,
    /// See there.
    pub body: Body,
}

impl Message {
    /// The bytes of this message as encoded, without the heads of its packet.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// See [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping {
        /// What the answer repeats.
        sequence: u32,
        /// What is new.
        updates: Vec<Update>,
    },
    /// Asks the receiver to ping another for the sender: the way between those two may be broken.
    PingRequest {
        /// What the answer repeats.
        sequence: u32,
        /// Who is to be pinged.
        target: SocketAddr,
    },
    /// The answer to a ping, or to one that was made for the receiver.
    Ack {
        /// As it was asked.
        sequence: u32,
        /// What is new.
        updates: Vec<Update>,
    },
    /// What is new.
    Gossip(Vec<Update>),
    /// The sender does not know the receiver in this life.
    WhoAreYou,
    /// Digests of what the sender holds to be up, by bucket; where the receiver's differ it
    /// answers with [`Body::Compare`].
    Buckets(Buckets),
    /// Fingerprints of what the sender holds to be up in some buckets. The receiver answers with
    /// the entries that are not among them.
    Compare(Compare),
    /// Entries in answer to [`Body::Compare`].
    Entries(Entries),
}

/// Something new about one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// A member that the receiver may not know.
    Full(Member),
    /// About a life that the receiver should know; it means nothing to one that does not.
    Brief {
        /// The member's address.
        address: SocketAddr,
        /// The life.
        incarnation: IncarnationTag,
        /// The incarnation that the claim is about.
        refutations: u32,
        /// What is said of it.
        claim: ReportedState,
    },
}

impl Update {
    /// A brief update about a member.
    pub(super) fn brief(member: &Member, claim: ReportedState) -> Update {
        Update::Brief {
            address: member.address,
            incarnation: member.tag(),
            refutations: member.refutations,
            claim,
        }
    }

    /// Whom it is about.
    pub(super) fn address(&self) -> SocketAddr {
        match self {
            Update::Full(member) => member.address,
            Update::Brief { address, .. } => *address,
        }
    }

    /// About how many bytes it takes.
    pub(super) fn size(&self) -> usize {
        match self {
            Update::Full(member) => 30 + member.name.len() + member.site.len(),
            Update::Brief { .. } => 17,
        }
    }
}

/// What may be said of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedState {
    /// It is up.
    Alive,
    /// It did not answer the sender, or one whom the sender believes.
    Suspect,
    /// The sender has given it up. The receiver does not take this over, but suspects it.
    Dead,
    /// It has said itself that it leaves.
    Left,
}

/// Digests of all that the sender holds to be up, one for each bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Buckets {
    /// Chosen anew each time, so that two buckets that differ and have the same digest differ the
    /// next time.
    pub salt: u64,
    /// In the order of the buckets.
    pub digests: Vec<[u8; 2]>,
}

/// See [`Body::Compare`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    /// Chosen anew each time, so that two entries with the same fingerprint differ the next time.
    pub salt: u64,
    /// The buckets that are meant, a bit each.
    pub buckets: u64,
    /// Fingerprints of all entries in these buckets, by bucket; none at all from one that knows
    /// nobody yet.
    pub fingerprints: Vec<Vec<u8>>,
    /// The most bytes of entries that the sender wants in answer.
    pub most_bytes: u32,
    /// Whether the receiver may ask back for what it lacks itself.
    pub ask_back: bool,
}

/// See [`Body::Entries`]. Written in few bytes: sites by their place in a list, starts by their
/// distance from the first, names by what they share with the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entries {
    /// The sites that the entries name.
    sites: Vec<String>,
    /// When the first member started.
    first_started_ms: u64,
    /// The entries.
    entries: Vec<Entry>,
    /// How many members the sender holds to be up, itself included.
    pub members: u32,
    /// Whether this is the last packet of an answer.
    pub last: bool,
    /// Whether the sender's own view is whole, as far as it knows, and this answer held all that
    /// was lacking.
    pub whole: bool,
}

/// A member, beside the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Entry {
    site: u8,
    address: SocketAddr,
    /// How many bytes of the name before this begins with, and what follows them.
    shared: u8,
    name: String,
    started_ms: i64,
    incarnation: [u8; 8],
    refutations: u32,
}

impl Entries {
    /// An answer without entries so far.
    pub(super) fn new(members: usize) -> Entries {
        Entries {
            sites: Vec::new(),
            first_started_ms: 0,
            entries: Vec::new(),
            members: members as u32,
            last: false,
            whole: false,
        }
    }

    /// Adds a member behind `before`, the one that was added last.
    pub(super) fn push(&mut self, member: &Member, before: Option<&Member>) {
        let known = self.sites.iter().position(|site| *site == member.site);
        let site = known.unwrap_or_else(|| {
            self.sites.push(member.site.clone());
            self.sites.len() - 1
        });
        if before.is_none() {
            self.first_started_ms = member.started_ms;
        }
        let shared = before.map_or(0, |before| shared_prefix(&before.name, &member.name));
        self.entries.push(Entry {
            // A packet holds far fewer entries than there are numbers.
            site: site as u8,
            address: member.address,
            shared: shared as u8,
            name: member.name[shared..].to_string(),
            started_ms: member.started_ms.wrapping_sub(self.first_started_ms) as i64,
            incarnation: member.incarnation.to_le_bytes(),
            refutations: member.refutations,
        });
    }

    /// The members. An entry that names no site of the list is left out, and so is all behind one
    /// that shares more of a name than there is.
    pub(super) fn into_members(self) -> Vec<Member> {
        let mut members = Vec::with_capacity(self.entries.len());
        let mut name = String::new();
        for entry in self.entries {
            let Some(shared) = name.get(..usize::from(entry.shared)) else {
                break;
            };
            name = format!("{shared}{}", entry.name);
            let Some(site) = self.sites.get(usize::from(entry.site)) else {
                continue;
            };
            members.push(Member {
                address: entry.address,
                name: name.clone(),
                site: site.clone(),
                started_ms: self.first_started_ms.wrapping_add(entry.started_ms as u64),
                incarnation: u64::from_le_bytes(entry.incarnation),
                refutations: entry.refutations,
            });
        }
        members
    }

    /// About how many bytes a member adds.
    pub(super) fn cost(&self, member: &Member, before: Option<&Member>) -> usize {
        /// Address, life, start, incarnation and lengths.
        const FIXED: usize = 24;
        let site = if self.sites.contains(&member.site) {
            0
        } else {
            member.site.len() + 1
        };
        let shared = before.map_or(0, |before| shared_prefix(&before.name, &member.name));
        FIXED + member.name.len() - shared + site
    }
}

/// How many bytes two names begin with alike, up to what a byte can tell and to the last whole
/// character.
fn shared_prefix(before: &str, name: &str) -> usize {
    let alike = before
        .bytes()
        .zip(name.bytes())
        .take(usize::from(u8::MAX))
        .take_while(|(a, b)| a == b);
    let mut length = alike.count();
    while !name.is_char_boundary(length) {
        length -= 1;
    }
    length
}

/// A packet on its way: to whom, and what.
pub type Packets = Vec<(SocketAddr, Message)>;

/// Bytes that go with every message: IPv4 and UDP heads, and what `packet` adds (version, keyed
/// hash, sender).
pub const HEAD_BYTES: usize = 68;

/// How many bytes may be sent, or asked for, now: a token bucket.
#[derive(Clone, Debug)]
pub(super) struct Allowance {
    left: f64,
    at: Micros,
    most: f64,
    per_second: f64,
}

impl Allowance {
    /// A full one.
    pub(super) fn new(now: Micros, most: f64, per_second: f64) -> Allowance {
        Allowance {
            left: most,
            at: now,
            most,
            per_second,
        }
    }

    /// What is left, in bytes; below zero if more was spent than there was.
    pub(super) fn left(&mut self, now: Micros) -> f64 {
        let seconds = now.saturating_sub(self.at) as f64 / 1e6;
        self.left = (self.left + seconds * self.per_second).min(self.most);
        self.at = self.at.max(now);
        self.left
    }

    /// Takes bytes off, also more than are left.
    pub(super) fn spend(&mut self, now: Micros, bytes: usize) {
        self.left(now);
        self.left -= bytes as f64;
    }
}
