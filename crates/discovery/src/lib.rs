//! The subscriber's side of a discovery service, as pure state machines without I/O, a clock or a
//! random number generator.
//!
//! [`Watch`] decides when to connect to discovery, when to disconnect and how long to back off.
//! [`ObjectStream`] splits the bytes of a watch into JSON objects. The caller (the proxy's
//! `net/discovery` module) owns the connection, the timer and the endpoint list.
//!
//! # Guarantees
//!
//! - Staleness: once discovery is reachable again, a watch is connected within [`MAX_STALENESS`],
//!   whatever failed before that.
//! - Load: consecutive failed calls are spaced by a jittered exponential backoff or by a fixed
//!   interval. A silent watch is closed before its replacement is opened, so there is at most one
//!   call or watch at any time.
//! - Memory: an [`ObjectStream`] buffers at most one object, whose size is bounded.
//!
//! # Assumptions
//!
//! - Discovery sends a list or an empty line (a heartbeat) on each open watch every 2 s.
//! - The caller reports each event when it happens, and [`Event::TimerElapsed`] no later than
//!   [`Watch::next_deadline`].
//!
//! # Behavior while discovery is down
//!
//! The proxy keeps using the last endpoint list that it received; entries of the list do not
//! expire.
//!
//! - [`Mode::Pushed`]: the next call starts after a backoff of 50 ms, doubled with each further
//!   failure up to 800 ms, times a random factor from 0.5 to 1 (the `BACKOFF_...` constants in
//!   `watch.rs`). A call times out after 1 s, or after up to 2.5 s following
//!   failures. A watch that is silent for 2.6 s is replaced immediately. The [`Watch`] retries
//!   without limit.
//! - [`Mode::Polled`]: a call times out after 2.5 s. The first call of a process starts within 1 s.
//!   The first call after a watch that received something starts after a random wait of up to
//!   3.4 s. Calls that fail start 3.4 to 3.6 s apart, whatever the failure. The [`Watch`] retries
//!   without limit here too.
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

mod stream;
mod watch;

pub use stream::{ObjectStream, StreamError, StreamItem};
pub use watch::{Action, Event, Mode, Watch, MAX_STALENESS};
