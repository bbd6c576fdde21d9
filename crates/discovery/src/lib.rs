//! A subscriber's side of a discovery service, as pure state machines: no I/O, no clock, no random
//! numbers of their own.
//!
//! [`Watch`] decides when to connect to discovery, when to disconnect and how long to back off.
//! [`ObjectStream`] splits the bytes of a watch into JSON objects. The caller (the proxy's
//! `net/discovery`) owns the connection, the timer and the endpoint list.
//!
//! # What it guarantees
//!
//! - Staleness: once discovery can be reached again, a connected watch exists within
//!   [`MAX_STALENESS`], whatever failed before and on the way.
//! - Load: calls that fail in a row are spaced, by a jittered exponential backoff or at a fixed
//!   interval, and a watch that is silent is replaced rather than joined: at any time there is one
//!   call or one watch.
//! - Memory: an [`ObjectStream`] holds one object of a bounded size.
//!
//! # What it assumes
//!
//! - Discovery sends a list or an empty line (a heartbeat) on each open watch every 2 s.
//! - The caller reports each event when it happens, and [`Event::TimerElapsed`] no later than
//!   [`Watch::next_deadline`].
//!
//! # When discovery is down
//!
//! The proxy keeps serving by the last endpoint list that it received; nothing in the list expires.
//!
//! - [`Mode::Pushed`]: the next call starts after a backoff of 50 ms, doubled with each further
//!   failure up to 800 ms, times a random factor from 0.5 to 1 (the `BACKOFF_...` constants in
//!   `watch.rs`). A call that hangs is given up after 1 s, or after up to 2.5 s following
//!   failures; a watch that is silent for 2.6 s is replaced at once. The [`Watch`] never gives up.
//! - [`Mode::Polled`]: a call has 2.5 s. The first call of a process starts within 1 s. The first
//!   call after a watch that worked starts after a random wait of up to 3.4 s, and calls that fail
//!   start 3.4 to 3.6 s apart, whatever they fail with. The [`Watch`] never gives up here either.
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
