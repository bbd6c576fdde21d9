//! Rules, and their order among rules with the same host and path.

use crate::pattern::{HostPattern, PathPattern};
use std::cmp::Reverse;

/// A condition on a header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderCondition {
    /// The header's name, in lower case.
    pub name: String,
    /// The value that the header must have; `None` for any value.
    pub value: Option<String>,
}

impl HeaderCondition {
    /// Returns whether no single header line can satisfy both conditions.
    fn contradicts(&self, other: &HeaderCondition) -> bool {
        self.name == other.name
            && self.value.is_some()
            && other.value.is_some()
            && self.value != other.value
    }
}

/// The conditions for the requests of a route. A rule is identified by its index in the list that
/// is passed to [`Table::build`](crate::Table::build).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The hosts that the rule matches.
    pub host: HostPattern,
    /// The paths that the rule matches.
    pub path: PathPattern,
    /// The methods that the rule matches, in upper case; empty for all methods.
    pub methods: Vec<String>,
    /// Conditions on the headers, which must all be met.
    pub headers: Vec<HeaderCondition>,
}

/// The specificity of a rule among rules with the same host and path; the lesser rank is more
/// specific.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    matches_all_methods: bool,
    header_conditions: Reverse<usize>,
}

impl Rule {
    pub(crate) fn matches_method(&self, method: &str) -> bool {
        self.methods.is_empty()
            || self
                .methods
                .iter()
                .any(|named| named == method || (named == "GET" && method == "HEAD"))
    }

    pub(crate) fn rank(&self) -> Rank {
        Rank {
            matches_all_methods: self.methods.is_empty(),
            header_conditions: Reverse(self.headers.len()),
        }
    }

    /// Returns whether one request could match both rules, which have the same host, path and rank.
    pub(crate) fn overlaps(&self, other: &Rule) -> bool {
        let has_common_method = self.methods.is_empty()
            || self.methods.iter().any(|m| other.matches_method(m))
            || other.methods.iter().any(|m| self.matches_method(m));
        let contradicts_other = |own: &HeaderCondition| {
            other
                .headers
                .iter()
                .any(|condition| own.contradicts(condition))
        };
        has_common_method && !self.headers.iter().any(contradicts_other)
    }
}
