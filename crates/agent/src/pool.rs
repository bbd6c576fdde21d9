//! The agent's interface to the pools of a process.

use dewrun_replication::member_status;
use rustc_hash::FxHashMap;

/// Drained members of a pool by name, each with the latest start time to which the drain applies,
/// in Unix milliseconds. A member that started later gets requests again.
pub type DrainedMembers = FxHashMap<String, f64>;

/// The members of a pool that are drained although its endpoint list has them as ready.
#[derive(Clone, Debug, Default)]
pub struct Drains {
    /// Members drained by operators' orders.
    pub by_operators: DrainedMembers,
    /// Members drained by reports of other processes of the fleet on their own endpoint lists.
    pub by_peers: DrainedMembers,
}

/// Numbers of members of a pool.
#[derive(Clone, Copy, Debug)]
pub struct MemberCounts {
    /// Members in the endpoint list.
    pub listed: usize,
    /// Listed members that are ejected or on probation for every class.
    pub avoided: usize,
}

/// A member in a pool's own endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListedMember<'a> {
    /// The name of the member.
    pub name: &'a str,
    /// The state of the member in the list.
    pub state: member_status::MemberState,
    /// The last start of the member, in Unix milliseconds; 0 if it is unknown or long ago.
    pub started_ms: f64,
}

/// A pool of this process.
pub trait Pool {
    /// Returns whether the endpoint list has a member of this name.
    fn lists(&self, member: &str) -> bool;

    /// Returns the numbers of listed and avoided members.
    fn member_counts(&self) -> MemberCounts;

    /// Returns the learned state of the pool's balancer, for the pool of the same name in another
    /// process.
    fn learned_state(&self) -> String;

    /// Restores the learned state of another process's pool. Returns false if that pool has other
    /// settings.
    fn restore_learned_state(&self, learned: &str) -> bool;

    /// Replaces the pool's drains.
    fn set_drains(&self, drains: Drains);
}
