//! The pools of a process, as the agent sees them.

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

/// The number of members of a pool.
#[derive(Clone, Copy, Debug)]
pub struct MemberCounts {
    /// Members in the list.
    pub listed: usize,
    /// Listed members that are ejected or on probation for every class.
    pub avoided: usize,
}

/// What a pool's own list says of a member.
#[derive(Clone, Copy, Debug)]
pub struct ListedMember<'a> {
    /// The member's name.
    pub name: &'a str,
    /// The state by the list.
    pub state: member_status::MemberState,
    /// When the member last started, in Unix milliseconds; 0 for long ago.
    pub started_ms: f64,
}

/// A pool of this process, as the agent sees it.
pub trait Pool {
    /// Whether a member is listed.
    fn lists(&self, member: &str) -> bool;

    /// The number of members, listed and avoided.
    fn member_counts(&self) -> MemberCounts;

    /// The learned state of the pool's balancer, for the pool of this name in another process.
    fn learned_state(&self) -> String;

    /// Restores the learned state of another process's pool; false if it is of other settings.
    fn restore_learned_state(&self, learned: &str) -> bool;

    /// Drains members, in place of those that were drained before.
    fn set_drains(&self, drains: Drains);
}
