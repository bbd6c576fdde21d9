//! The processes of a fleet, and what they say to each other. Pure: packets in, packets out, with
//! the process's clock and chance passed in.
//!
//! [`packet`] frames and proves packets, [`membership`] knows who is up (SWIM with anti-entropy). What
//! is said about budgets is [`dewrun_budgets`]' matter and is only carried here. [`simulation`] plays
//! whole fleets of [`membership`] in simulated time.

pub mod membership;
pub mod packet;
pub mod simulation;

use std::net::SocketAddr;

/// What an address stands for in the budgets' messages. Two addresses stand for the same by chance
/// of one in 2^64 at most.
pub fn process_id(address: SocketAddr) -> dewrun_budgets::ProcessId {
    let hash = blake3::hash(address.to_string().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    dewrun_budgets::ProcessId(u64::from_le_bytes(first))
}
