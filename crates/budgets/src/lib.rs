//! Limits that a whole fleet must not exceed (*budgets*), shared among its processes by leases.
//!
//! # Guarantee
//!
//! At every instant the sum of the shares that all processes believe they may spend is at most the
//! budget's total. *All* includes processes that were killed, suspended or cut off, and those that
//! no other process knows of. For a rate this means: in any window of `T` seconds the fleet admits
//! at most `rate * T + burst` requests.
//!
//! # Assumptions
//!
//! - Each process measures durations on its own monotonic clock, which goes on while the machine is
//!   suspended.
//! - Two clocks differ by less than [`CLOCK_DRIFT_BOUND_PERCENT`] over the length of a lease.
//! - An incarnation (one run of a process) has a random number that no other incarnation has.
//! - Lists of voters that differ, while a configuration is rolled out, differ by one voter.
//!
//! Nothing rests on wall clocks, on the order or the arrival of messages, or on a disk.
//! [`SafetyRule`] lists the rules that keep the guarantee, each with its reason.
//!
//! # Protocol
//!
//! 1. A majority of the voters elects one process, the *grantor*, for a while ([`election`]).
//! 2. Every process asks the grantor for a share of each budget. The grantor divides the total by
//!    demand and grants a *lease*: a share that may be spent until a time ([`lease`]).
//! 3. Each request is admitted against the local share alone, without a message ([`limiter`]).
//!
//! | message | sender | receiver |
//! | --- | --- | --- |
//! | `VoteRequest` | a candidate, or the grantor before its term expires | a voter |
//! | `VoteResponse` | the voter | the candidate |
//! | `LeaseRequest` | a lease holder, every 0.3 s to 0.4 s | the grantor |
//! | `LeaseResponse` | the grantor | the lease holder |
//! | `Recall` | the grantor, when others are due what a holder has | the lease holder |
//! | `NotLeader` | a process that is asked and is not the grantor | the lease holder |
//!
//! # Use
//!
//! The crate is sans-I/O: the caller passes the time and randomness in and carries the messages.
//! `crates/agent` owns a [`node::BudgetNode`] and calls `tick` every few milliseconds, `receive` for
//! each message, and `spend` and `release` for each request. `crates/fleet` encodes the messages.
//!
//! | module | job |
//! | --- | --- |
//! | [`node`] | the budgets of one process: admission, and when to ask and to campaign |
//! | [`participant`] | the protocol state of one process: dispatches each message |
//! | [`election`] | voters, candidates and the grantor's term |
//! | [`lease`] | granting, holding and dividing leases |
//! | [`limiter`] | the token bucket and the in-flight limit that spend a share |
//! | [`message`] | what processes send each other |
//! | [`safety`], [`settings`] | the safety rules; durations and their relations |
//! | [`simulation`] | fleets in simulated time, for tests and `dewrun-simulate` |
//!
//! `docs/design/budgets.md` has the design and the figures. The tests check the same code
//! exhaustively (`model`), and again with each safety rule taken out.

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
