//! Reads TOML key by key, so that all faults of a file are reported at once, each with its line,
//! column and key path.

mod section;
mod source;
mod units;

pub(crate) use section::{section, Section};
pub use source::Fault;
pub(crate) use source::{Located, Source};
pub(crate) use units::{HOUR, MILLISECOND};
