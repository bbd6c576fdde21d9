//! Which processes of a fleet are up, and the packets that they exchange.
//!
//! Everything here is pure: messages in, messages out, with the process's monotonic clock and its
//! randomness passed in. `dewrun-agent` has the sockets and timers, and is the only caller beside
//! simulations and load tests.
//!
//! # Modules
//!
//! * [`packet`] encodes, seals and opens packets. Messages about budgets (`dewrun_budgets`) and
//!   about replicated orders (`dewrun_replication`) travel in the same packets and are only
//!   carried here.
//! * [`membership`] is a SWIM implementation with anti-entropy: [`membership::Membership`] is one
//!   process's part in it.
//! * [`simulation`] runs whole fleets of [`membership`] in simulated time. No reader of the
//!   protocol needs it.
//!
//! # What membership guarantees
//!
//! * Completeness: a member that has died is soon out of every view. Its death is noticed by whoever
//!   probes it next, confirmed after a suspicion, and disseminated; the simulation asks for 15 s.
//! * Accuracy: a member that any other process can reach is not taken for dead, as it is probed
//!   through others and can refute a suspicion. A process that was suspended itself takes nobody
//!   for dead for what it has missed.
//! * Convergence: whatever messages were lost, views become equal again. The two sides of a partition
//!   find each other by pings of dead members, which are remembered for 24 h, and of missing seeds.
//! * Bounded traffic: all that is sent is paid from one allowance, and all that is requested from
//!   another: about 10 kB a second over any ten seconds, also while a whole fleet starts at once.
//! * Bounded memory: at most 10,000 members, with limits for each name.
//!
//! Views of different processes differ for some seconds after each change. **No safety rests on
//! them**: the lease of a member that is taken for dead is waited out all the same.
//!
//! # What membership assumes
//!
//! * Every process has one address, at which all others reach it, and an incarnation number that no
//!   other run of any process has.
//! * Each process is configured with some seeds, at least one of which is up at some time.
//! * Monotonic clocks run at about the same rate. Wall clocks may differ: they only order the
//!   incarnations of one address, and a process whose clock was set back corrects its start.
//! * Whoever knows the fleet's secret is honest; without a secret, everybody who can send packets.
//!   Updates that can't be true are rejected and counted, and limits keep damage within bounds.
//!
//! # Messages
//!
//! | message | sent | the receiver |
//! | --- | --- | --- |
//! | [`Ping`](membership::Body::Ping) | to one member after another | answers with an `Ack` |
//! | [`PingRequest`](membership::Body::PingRequest) | to three others, if a member does not answer | pings it, and passes its `Ack` on |
//! | [`Ack`](membership::Body::Ack) | in answer | ends the probe |
//! | [`Gossip`](membership::Body::Gossip) | to three random members while there are updates | applies them, and passes new ones on |
//! | [`WhoAreYou`](membership::Body::WhoAreYou) | to an unknown sender | introduces itself |
//! | [`Buckets`](membership::Body::Buckets) | to a member with another view, in a large fleet | answers with a `Compare` of what differs |
//! | [`Compare`](membership::Body::Compare) | to a member with another view; to a seed at the start | answers with the `Entries` that are lacking |
//! | [`Entries`](membership::Body::Entries) | in answer | adds the members |
//!
//! Every message carries its sender's incarnation, refutation count and a digest of its view.
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

/// The number that stands for a process's address in messages about budgets. Two addresses have the
/// same number with a probability of one in 2^64.
pub fn process_id(address: SocketAddr) -> dewrun_budgets::ProcessId {
    let hash = blake3::hash(address.to_string().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    dewrun_budgets::ProcessId(u64::from_le_bytes(first))
}
