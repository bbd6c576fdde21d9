//! What the agent needs of the pools of its process, and what it tells them.

use dewrun_replication::member_status;
use rustc_hash::FxHashMap;

/// Drained members of a pool by name, each with the latest start that the drain applies to, in Unix
/// milliseconds: a member that started later is served again.
pub type DrainedMembers = FxHashMap<String, f64>;

/// Which members of a pool are drained in spite of its list.
#[derive(Clone, Debug, Default)]
pub struct Drains {
    /// By operators' orders.
    pub by_operators: DrainedMembers,
    /// By what other processes of the fleet report of their own lists.
    pub by_peers: DrainedMembers,
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

    /// Drains members, in place of those that were drained before.
    fn set_drains(&self, drains: Drains);
}
