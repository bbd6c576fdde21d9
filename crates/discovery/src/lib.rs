//! A subscriber's watch on discovery, without I/O: [`Watch`] says when to connect, to disconnect
//! and to back off, so that what changed is known within [`STALENESS_MOST`] whatever fails on the
//! way; [`ObjectStream`] takes a watch's bytes apart.

mod stream;
mod watch;

pub use stream::{Garbled, ObjectStream, Piece};
pub use watch::{Action, Event, Mode, Watch, STALENESS_MOST};
