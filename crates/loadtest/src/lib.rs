//! Load for dewrun and for what it is compared with, on loopback sockets, bounded in count and
//! time.
//!
//! [`load`] asks in a closed loop, or in an open one at a fixed rate with intended send times, so
//! that a stall is not hidden by the callers that wait for it (coordinated omission). [`baseline`]
//! has what the path costs without dewrun: a relay of bytes, and a forwarder of the same libraries
//! without decisions. [`audit`] checks the four rules from outside, from what callers and backends
//! wrote down. [`capacity`] measures how cost grows with size. [`drill`] plays fleets of real
//! processes with faults between them, [`hollow`] large fleets of a few real processes among many
//! that are a control-plane agent alone. [`soak`] plays schedules drawn from seeds against real
//! processes, and judges them from outside.

pub mod audit;
pub mod baseline;
pub mod capacity;
pub mod drill;
pub mod hollow;
pub mod load;
pub mod soak;
