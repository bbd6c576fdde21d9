//! The decision module: which requests are admitted, where each attempt goes, and what may be
//! retried.
//!
//! The module is pure. It has no clock, no sockets and no shared state: the embedding proxy passes
//! in [`Event`]s with the time, and performs the [`Action`]s that come back, in order. Equal
//! settings, seed and events give equal actions.

#![forbid(unsafe_code)]

mod api;
mod choice;

pub use api::*;
pub use choice::Balancer;
