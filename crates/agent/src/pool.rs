//! What the agent needs of the pools of its process, and what it tells them.

use dewrun_replication::member_status;
use rustc_hash::FxHashMap;

/// Members by name that are held out of a pool: each up to starts of this Unix time in
/// milliseconds. One that started later is not.
pub type HeldMembers = FxHashMap<String, f64>;

/// What holds members of a pool out.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    /// Operators' orders.
    pub ordered: HeldMembers,
    /// What other processes have heard of members.
    pub by_news: HeldMembers,
}

/// How many members a pool has.
#[derive(Clone, Copy, Debug)]
pub struct MemberCounts {
    /// Listed.
    pub listed: usize,
    /// Listed, and sent next to nothing.
    pub avoided: usize,
}

/// What a pool's own list says of a member.
#[derive(Clone, Copy, Debug)]
pub struct ListedMember<'a> {
    /// Its name.
    pub name: &'a str,
    /// How it is.
    pub state: member_status::MemberState,
    /// When it started, in Unix milliseconds.
    pub started_ms: f64,
}

/// A pool of this process, as the agent sees it.
pub trait Pool {
    /// Whether a member is listed.
    fn lists(&self, member: &str) -> bool;

    /// How many members it has.
    fn member_counts(&self) -> MemberCounts;

    /// What it has learned of its members, for another process's pool of this name.
    fn learned(&self) -> String;

    /// Goes on from what another process's pool has learned. Tells whether it could.
    fn resume(&self, learned: &str) -> bool;

    /// Holds members out, in place of those that were held out before.
    fn hold(&self, holds: Holds);
}
