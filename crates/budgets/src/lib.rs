//! Limits that apply to a whole fleet (*budgets*), divided among its processes by leases.
//!
//! # Guarantee
//!
//! At every instant the sum of the shares that the processes believe they may spend is at most the
//! budget's total. The sum includes processes that were killed, suspended or partitioned from the
//! network, and processes that no other process knows of. For a rate limit, the fleet admits at
//! most `rate * T + burst` requests in any window of `T` seconds.
//!
//! # Assumptions
//!
//! - Each process measures durations on its own monotonic clock, which keeps running while the
//!   machine is suspended.
//! - Two clocks drift apart by less than [`CLOCK_DRIFT_BOUND_PERCENT`] over the length of a lease.
//! - Each incarnation (one run of a process) has a unique random number.
//! - While a configuration is rolled out, the voter lists in use differ by at most one voter.
//!
//! The guarantee does not depend on wall clocks, on the order or delivery of messages, or on a
//! disk.
//! [`SafetyRule`] lists the rules that uphold the guarantee, each with its reason.
//!
//! # Protocol
//!
//! 1. A majority of the voters elects one process, the *grantor*, for a limited term
//!    ([`election`]).
//! 2. Every process requests a share of each budget from the grantor. The grantor divides the total
//!    by demand and grants a *lease*: a share that may be spent until it expires ([`lease`]).
//! 3. Each request is admitted against the local share alone, without a message ([`limiter`]).
//!
//! | message | sender | receiver |
//! | --- | --- | --- |
//! | `VoteRequest` | a candidate, or the grantor to extend its term | a voter |
//! | `VoteResponse` | the voter | the candidate |
//! | `LeaseRequest` | a lease holder, every 0.3 s to 0.4 s | the grantor |
//! | `LeaseResponse` | the grantor | the lease holder |
//! | `Recall` | the grantor, when a holder has more than its target and another has less | the lease holder |
//! | `NotLeader` | a process that receives a `LeaseRequest` and is not the grantor | the lease holder |
//!
//! # Use
//!
//! The crate is sans-I/O: its user passes in the time and a random generator, and transports the
//! messages. `crates/agent` owns a [`node::BudgetNode`] and calls `tick` every few milliseconds,
//! `receive` for each message, and `spend` and `release` for each request. `crates/fleet` encodes
//! the messages.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`node`] | the budgets of one process: admission, and the timing of lease requests and campaigns |
//! | [`participant`] | the protocol state of one process: dispatches each message |
//! | [`election`] | voters, candidates and the grantor's term |
//! | [`lease`] | granting, holding and dividing leases |
//! | [`limiter`] | the token bucket and the in-flight limit that enforce a share |
//! | [`message`] | the messages between processes |
//! | [`safety`], [`settings`] | the safety rules; the durations and the constraints between them |
//! | [`simulation`] | fleets in simulated time, for tests and `dewrun-simulate` |
//!
//! `docs/design/budgets.md` describes the design and its measurements. The tests check this code by
//! exhaustive state exploration (`model`), and repeat the check with each safety rule disabled.

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

pub mod election;
pub mod ids;
pub mod lease;
pub mod limiter;
pub mod message;
pub mod node;
pub mod participant;
pub mod safety;
pub mod settings;
pub mod share;
pub mod simulation;

#[cfg(test)]
mod model;

pub use ids::{BudgetKey, Epoch, Incarnation, ProcessId};
pub use safety::{EnforcedRules, SafetyRule};
pub use settings::{LeaseDurations, LeaseSettings, CLOCK_DRIFT_BOUND_PERCENT};
pub use share::{Share, Units, TOKEN_UNITS};

/// An instant on a process's own monotonic clock, in microseconds.
pub type Timestamp = u64;

/// A span of time, in microseconds.
pub type Micros = u64;
