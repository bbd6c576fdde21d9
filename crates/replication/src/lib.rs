//! The replicated state of a fleet: operators' orders and the status of members. Every process has
//! a full replica.
//!
//! # Guarantees
//!
//! - **Eventual consistency without coordination.** The store is a delta-state CRDT. A process
//!   writes entries under its own [`Origin`] only, and a merge keeps the newest version of each
//!   origin's key, so merging is commutative, associative and idempotent. Once messages get
//!   through, all stores know the same writes and every reader resolves them alike. A minority that
//!   is partitioned from the others can still place orders.
//! - **Precedence by causality, not by clocks.** An order supersedes the orders that were known to
//!   the process that placed it. Of concurrent orders the most restrictive is in force until an
//!   operator places another ([`orders`]).
//! - **Removed entries do not reappear.** The version vector covers removed writes, and withdrawals
//!   are kept as tombstones for [`TOMBSTONE_TTL_US`] ([`expiry`]).
//! - **Bounded cost.** [`store::StoreLimits`] bound a store; orders are exempt from its capacity.
//!   The rate of packets that answer peers is bounded.
//!
//! # Assumptions
//!
//! - An [`Origin`] is used by one incarnation of a process only: the caller draws it at random.
//! - Clocks run at about the same rate. They need not agree, because entries are sent with their
//!   age.
//! - Messages arrive complete or not at all; they may be lost, delayed, duplicated or reordered.
//!   The fleet's packets verify that the sender has the secret.
//! - The caller resets the store ([`store::Store::reset_after_isolation`]) after it has received no
//!   message from a peer for [`TOMBSTONE_TTL_US`].
//!
//! # Messages
//!
//! [`gossip::message::Message`] documents the sender and the occasion of each message. In a round,
//! `Digest` is answered by `InSync` or `Versions`, and `Versions` by `Deltas`. A broadcast is
//! `Deltas` with a single entry. A starting process sends `CatchUpProbe` and receives
//! `CatchUpReply`.
//!
//! # Callers
//!
//! The crate does no I/O: time, random numbers and messages are passed in. `crates/agent` owns the
//! sockets and timers, acts on orders and statuses, and writes [`snapshot`]s; `crates/fleet` seals
//! messages into packets. The proxy uses only [`cells`], which shares no state with the rest.
//!
//! # Modules
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`version_vector`] | origins, versions, and the known versions of each origin |
//! | [`entry`], [`kind`], [`target`] | entries and deltas; kinds of entries; names of members |
//! | [`store`] | entries by origin, merged by version |
//! | [`orders`], [`member_status`] | resolution of several entries of one key |
//! | [`expiry`] | removal of entries that are no longer needed |
//! | [`gossip`] | anti-entropy, broadcast, catch-up |
//! | [`snapshot`] | serialization of a store for a file |
//! | [`cells`] | the cell of members for a request with an idempotency key |
//! | [`simulation`] | a fleet in simulated time, for tests and measurements |
//!
//! `docs/design/replication.md` explains the design and has the measurements.

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
