//! The replicated state of a fleet: operators' orders and the status of members, held by every
//! process.
//!
//! # What it guarantees
//!
//! - **Eventual consistency without coordination.** The store is a delta-state CRDT. A process
//!   writes entries as its own [`Origin`] and nobody else's, so a merge keeps the newest version of
//!   each origin's key; merging commutes, is associative and idempotent. Once messages flow, all
//!   stores know the same writes and every reader settles them alike. A minority that is cut off
//!   can still give orders.
//! - **An operator's knowledge counts, clocks do not.** An order supersedes the orders that were
//!   known where it was given. Of concurrent orders the most careful holds, until an operator gives
//!   another ([`orders`]).
//! - **What is forgotten does not come back.** A version vector remembers removed writes, and
//!   withdrawals are kept as tombstones for [`TOMBSTONE_TTL_US`] ([`expiry`]).
//! - **Bounded cost.** A store has [`store::StoreLimits`]; orders are exempt from its capacity.
//!   Answers to peers are bounded by packets in a time.
//!
//! # What it assumes
//!
//! - An [`Origin`] is used by one incarnation of a process only: the caller draws it at random.
//! - Clocks run at about the same rate. They need not agree: entries travel with their age.
//! - Messages arrive whole or not at all; they may be lost, late, repeated or out of order. The
//!   fleet's packets check that they come from a process that has the secret.
//! - The caller resets the store ([`store::Store::reset_after_isolation`]) after hearing no peer
//!   for [`TOMBSTONE_TTL_US`].
//!
//! # The messages
//!
//! [`gossip::message::Message`] says who sends each and when. Rounds: `Digest`, answered by
//! `InSync` or `Versions`; `Versions` are answered by `Deltas`. Broadcast: `Deltas` with a single
//! entry. Start: `CatchUpProbe` and `CatchUpReply`.
//!
//! # Who calls it
//!
//! The crate does no I/O: time, random numbers and messages are passed in. `crates/agent` owns the
//! sockets and timers, acts on orders and statuses, and writes [`snapshot`]s; `crates/fleet` seals
//! messages into packets. The proxy uses [`cells`] alone, which shares no state with the rest.
//!
//! # Modules
//!
//! | module | job |
//! | --- | --- |
//! | [`version_vector`] | origins, versions, and what a store knows of them |
//! | [`entry`], [`kind`], [`target`] | entries and deltas; their kinds; names of members |
//! | [`store`] | entries by origin, merged by version |
//! | [`orders`], [`member_status`] | what several entries of a kind amount to |
//! | [`expiry`] | what may be forgotten when |
//! | [`gossip`] | anti-entropy, broadcast, catch-up |
//! | [`snapshot`] | a store as bytes |
//! | [`cells`] | the cell of members for a request with an idempotency key |
//! | [`simulation`] | a fleet in simulated time, for tests and figures |
//!
//! `docs/design/replication.md` has the reasons and the figures.

#![forbid(unsafe_code)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::type_complexity,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::enum_glob_use,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

pub mod cells;
pub mod entry;
pub mod expiry;
pub mod gossip;
pub mod kind;
pub mod member_status;
pub mod orders;
mod origin_log;
pub mod simulation;
pub mod snapshot;
pub mod store;
pub mod target;
#[cfg(test)]
mod test_fleet;
pub mod version_vector;

pub use dewrun_budgets::{Micros, Timestamp};
pub use expiry::TOMBSTONE_TTL_US;
pub use version_vector::{Dot, Origin};
