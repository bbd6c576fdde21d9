//! Who a member is, and how it is doing.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One process, in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    /// The site it stands in; empty if none is told.
    pub site: String,
    /// When it started, in Unix milliseconds, by its own clock. A process whose address is held by
    /// a life that claims to have started later raises its own above that.
    pub started_ms: u64,
    /// A random number that no other life has.
    pub incarnation: u64,
    /// How often this life has refuted that it is dead: SWIM's incarnation number.
    pub refutations: u32,
}

impl Member {
    /// What tells the later of two lives.
    pub(crate) fn birth(&self) -> (u64, u64) {
        (self.started_ms, self.incarnation)
    }

    /// What tells this life from others of the same address, in few bytes.
    pub(crate) fn tag(&self) -> IncarnationTag {
        IncarnationTag((self.incarnation ^ self.started_ms.rotate_left(32)) as u32)
    }
}

/// A short form of a life; two lives of one address have the same by a chance of one in 2^32.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationTag(pub u32);

/// How a member is doing, as far as it is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Liveness {
    /// It answers.
    Up,
    /// It does not, and has not said otherwise yet.
    Suspected,
    /// It has left, or is taken for dead.
    Left,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// One came up.
    Up(Member),
    /// One has left, or is taken for dead.
    Down(Member),
}
