//! A member of the fleet: its identity, how it is doing, and events about it.

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
    /// When the incarnation started, in Unix milliseconds by the process's own wall clock. A process
    /// that finds its address held by an incarnation with a later start raises its own above that.
    pub started_ms: u64,
    /// A random number that no other incarnation of any process has.
    pub incarnation: Incarnation,
    /// How often this incarnation has refuted a suspicion. SWIM calls this count the incarnation
    /// number.
    pub refutations: u32,
}

impl Member {
    /// Orders the incarnations of one address: the greater one is the later one.
    pub(crate) fn start_order(&self) -> StartOrder {
        StartOrder {
            started_ms: self.started_ms,
            incarnation: self.incarnation,
        }
    }

    /// The short form of the incarnation that messages carry.
    pub(crate) fn tag(&self) -> IncarnationTag {
        IncarnationTag((self.incarnation.0 ^ self.started_ms.rotate_left(32)) as u32)
    }
}

/// The place of an incarnation among all incarnations of its address: by its start, then by its
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StartOrder {
    started_ms: u64,
    incarnation: Incarnation,
}

/// Four bytes that stand for an incarnation in messages. Two incarnations of one address have the
/// same tag with a probability of one in 2^32.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationTag(pub u32);

/// How a member is doing, as far as this process knows. JSON has the operators' names of the states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Liveness {
    /// The member answers.
    #[serde(rename = "up")]
    Alive,
    /// The member did not answer, and may still refute the suspicion. It counts as up until then.
    #[serde(rename = "suspected")]
    Suspected,
    /// The member has left, or is taken for dead.
    #[serde(rename = "left")]
    Gone,
}

impl fmt::Display for Liveness {
    /// The operators' name of the state, as in JSON.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Liveness::Alive => "up",
            Liveness::Suspected => "suspected",
            Liveness::Gone => "left",
        })
    }
}

/// A known member, and how it is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownMember {
    /// The member.
    pub member: Member,
    /// How it is doing.
    pub liveness: Liveness,
}

/// A change of who is up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member came up.
    Up(Member),
    /// A member has left, or is taken for dead.
    Down(Member),
}
