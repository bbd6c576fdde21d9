//! Selects the route of a request by its host, path, method and headers, without I/O, a clock or
//! randomness.
//!
//! A [`Table`] is built once from [`Rule`]s and is immutable afterwards. [`Table::find`] returns
//! the most specific rule that matches a request. The order of rules is total: if two rules could
//! match the same request and neither is more specific, [`Table::build`] reports a
//! [`RuleConflict`].
//!
//! The crate `config` builds the table from the operator's file; the proxy's gateway looks up the
//! route of each request.
//!
//! # The order of rules
//!
//! Rules are compared by these criteria; the first difference decides:
//!
//! 1. **Host**: an exact name, then `*.suffix` (the longer suffix first), then any host.
//! 2. **Path**, segment by segment from the left: a literal segment, then a parameter, then the end
//!    of a prefix (`/*`). Where both patterns end, the exact path precedes the prefix.
//! 3. **Method**: rules with methods, then rules without. A rule with `GET` also
//!    matches `HEAD` (RFC 9110, 9.3.2).
//! 4. **Headers**: more conditions before fewer.
//!
//! # Requirements on the caller
//!
//! Paths are matched in the form that [`normalize_path`] returns, and must be forwarded in that
//! form: an endpoint that resolved the original differently could serve a path that no rule
//! allowed. Hosts are matched in the form that [`normalize_host`] returns.
//!
//! # Cost
//!
//! The cost of a lookup grows with the number of path segments and host labels, not with the number
//! of rules: literal segments and hosts are found by hash. Only rules with the same host and path,
//! which differ in methods or headers, are compared one by one.

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

mod error;
mod normalize;
mod pattern;
mod rule;
mod table;

pub use error::{PathError, PatternError, RuleConflict};
pub use normalize::{normalize_host, normalize_path};
pub use pattern::{HostPattern, PathPattern, Segment};
pub use rule::{HeaderCondition, Rule};
pub use table::{Lookup, Match, Query, Table};
