//! A TOML reader that processes one key at a time and reports all faults of a file at once, each
//! with its line, column and key path.

mod section;
mod source;
mod units;

pub(crate) use section::{read_table, Section};
pub use source::Fault;
pub(crate) use source::{Located, Source};
pub(crate) use units::{HOUR, MILLISECOND};
