//! The members of the fleet: their identity, liveness and events.

use dewrun_budgets::Incarnation;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// One incarnation of a process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address at which other members reach the process.
    pub address: SocketAddr,
    /// The process's name in the fleet.
    pub name: String,
    /// The site of the process; empty if none is configured.
    pub site: String,
    /// The start time of the incarnation, in Unix milliseconds by the process's own wall clock. A
    /// process that finds its address claimed by an incarnation with a later start raises its own
    /// start above that.
    pub started_ms: u64,
    /// A random number that no other incarnation of any process has.
    pub incarnation: Incarnation,
    /// The number of suspicions that this incarnation has refuted. SWIM calls this count the
    /// incarnation number.
    pub refutations: u32,
}

impl Member {
    /// Returns the key that orders the incarnations of one address; the greater one is the later
    /// one.
    pub(crate) fn start_order(&self) -> StartOrder {
        StartOrder {
            started_ms: self.started_ms,
            incarnation: self.incarnation,
        }
    }

    /// Returns the short form of the incarnation that messages carry.
    pub(crate) fn tag(&self) -> IncarnationTag {
        IncarnationTag((self.incarnation.0 ^ self.started_ms.rotate_left(32)) as u32)
    }
}

/// The order of an incarnation among all incarnations of its address: by start time, then by
/// incarnation number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StartOrder {
    started_ms: u64,
    incarnation: Incarnation,
}

/// A four-byte identifier of an incarnation in messages. Two incarnations of one address have the
/// same tag with a probability of one in 2^32.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationTag(pub u32);

/// The liveness of a member as known to this process. JSON contains the names of the states that
/// operators see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Liveness {
    /// The member answers.
    #[serde(rename = "up")]
    Alive,
    /// The member did not answer and may still refute the suspicion. It counts as live until then.
    #[serde(rename = "suspected")]
    Suspected,
    /// The member has left or was declared dead.
    #[serde(rename = "left")]
    Gone,
}

impl fmt::Display for Liveness {
    /// Writes the name of the state that operators see, as in JSON.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Liveness::Alive => "up",
            Liveness::Suspected => "suspected",
            Liveness::Gone => "left",
        })
    }
}

/// A known member and its liveness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownMember {
    /// The member.
    pub member: Member,
    /// The liveness of the member.
    pub liveness: Liveness,
}

/// A change in the set of live members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The member became live.
    Up(Member),
    /// The member has left or was declared dead.
    Down(Member),
}
