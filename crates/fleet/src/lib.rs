//! The membership of a fleet of processes, and the packets that the processes exchange.
//!
//! The crate does no I/O: callers pass in received messages, the process's monotonic clock and its
//! randomness, and send the messages that are returned. `dewrun-agent` owns the sockets and timers
//! and is the only caller apart from simulations and load tests.
//!
//! # Modules
//!
//! * [`packet`] encodes, seals and opens packets. Messages about budgets (`dewrun_budgets`) and
//!   replicated orders (`dewrun_replication`) travel in the same packets; this crate only
//!   transports them.
//! * [`membership`] implements SWIM with anti-entropy. [`membership::Membership`] is the state of
//!   one process.
//! * [`simulation`] runs whole fleets of [`membership`] in simulated time. It is not part of the
//!   protocol.
//!
//! # What membership guarantees
//!
//! * Completeness: a dead member is soon removed from every view. The next process that probes it
//!   detects the failure, a suspicion period confirms it, and the update is disseminated. The
//!   simulation requires removal within 15 s.
//! * Accuracy: a member that any other process can reach is not declared dead, because it is also
//!   probed through other members and can refute a suspicion. A process that was itself suspended
//!   declares no member dead on account of messages that it missed.
//! * Convergence: views become equal again whichever messages were lost. The two sides of a
//!   partition find each other by pinging dead members, which are remembered for 24 h, and missing
//!   seeds.
//! * Bounded traffic: one allowance limits what is sent and another what is requested, each to
//!   about 10 kB/s over any ten seconds, even while a whole fleet starts at once.
//! * Bounded memory: the table holds at most 10,000 members, with a limit for each name.
//!
//! Views of different processes differ for some seconds after each change. **No safety property
//! depends on them**: the lease of a member that was declared dead is still waited out.
//!
//! # What membership assumes
//!
//! * Every process has one address, at which all others reach it, and an incarnation number that no
//!   other run of any process uses.
//! * Each process is configured with seeds, at least one of which is live at some time.
//! * Monotonic clocks run at about the same rate. Wall clocks may differ: they only order the
//!   incarnations of one address, and a process whose clock was set back raises its start time.
//! * Every holder of the fleet's secret is honest; without a secret, every host that can send
//!   packets is. Invalid updates are rejected and counted, and limits bound the damage.
//!
//! # Messages
//!
//! | message | sent | the receiver |
//! | --- | --- | --- |
//! | [`Ping`](membership::Body::Ping) | to each member in turn | answers with an `Ack` |
//! | [`PingRequest`](membership::Body::PingRequest) | to three other members, if a member does not answer | pings the member and forwards its `Ack` |
//! | [`Ack`](membership::Body::Ack) | in answer | ends the probe |
//! | [`Gossip`](membership::Body::Gossip) | to three random members while updates are queued | applies the updates and disseminates new ones |
//! | [`WhoAreYou`](membership::Body::WhoAreYou) | to an unknown sender | introduces itself |
//! | [`Buckets`](membership::Body::Buckets) | to a member with a different view, in a large fleet | answers with a `Compare` of the buckets that differ |
//! | [`Compare`](membership::Body::Compare) | to a member with a different view; to a seed at startup | answers with the `Entries` that the sender is missing |
//! | [`Entries`](membership::Body::Entries) | in answer | adds the members |
//!
//! Every message carries its sender's incarnation, refutation count and view digest.
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

pub mod membership;
pub mod packet;
pub mod simulation;

use std::net::SocketAddr;

/// Derives the process ID that identifies an address in budget messages. Two addresses collide with
/// a probability of one in 2^64.
pub fn process_id(address: SocketAddr) -> dewrun_budgets::ProcessId {
    let hash = blake3::hash(address.to_string().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    dewrun_budgets::ProcessId(u64::from_le_bytes(first))
}
