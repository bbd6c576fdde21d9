//! A subscriber's watch on discovery, without I/O: [`Watch`] says when to call, to hang up and to rest, so that what changed
//! is known within [`TOLD`] whatever fails on the way, and [`Values`] takes a watch's bytes apart.

mod values;
mod watch;

pub use values::{Garbled, Piece, Values};
pub use watch::{Action, Event, Mode, Watch, TOLD};
