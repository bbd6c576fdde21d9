//! Which route a request takes, by its host, path, method and headers. Pure: no I/O, no clock, no
//! randomness.
//!
//! A [`Table`] is built once from [`Rule`]s and then only read. [`Table::find`] gives the most
//! specific rule that fits a request. The order is total; where two rules could both fit one
//! request and neither is more specific, [`Table::build`] reports a fault, so that a table never
//! has to guess.
//!
//! # The order
//!
//! Compared one after another, the first difference decides:
//!
//! 1. **Host**: an exact name, then `*.suffix` (the longer suffix first), then no host.
//! 2. **Path**, segment by segment from the left: a literal segment, then a parameter, then the end
//!    of a prefix (`/*`). Where both patterns end, the exact path goes before the prefix.
//! 3. **Method**: rules that name methods, then rules that name none. A rule that names `GET` takes
//!    `HEAD` too (RFC 9110, 9.3.2).
//! 4. **Headers**: more conditions before fewer.
//!
//! A path is matched, and must be passed on, in the form that [`normalise`] gives it; see there for
//! what is decided about dot segments, escapes and slashes. A host is matched as [`normalise_host`]
//! gives it.
//!
//! The cost of a lookup grows with the segments of the path and the labels of the host, and not
//! with the number of rules: literal segments and exact hosts are found by hash. Only rules that
//! share host and path exactly, and differ in methods or headers, are looked at one by one.

mod pattern;
mod table;

pub use pattern::{
    normalise, normalise_host, HostPattern, PathFault, PathPattern, PatternFault, Segment,
};
pub use table::{Fault, Find, HeaderCondition, Match, Query, Rule, Table};
