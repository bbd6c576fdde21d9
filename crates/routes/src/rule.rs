//! Rules, and their order among rules of the same host and path.

use crate::pattern::{HostPattern, PathPattern};
use std::cmp::Reverse;

/// A condition on a header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderCondition {
    /// The header's name, in lower case.
    pub name: String,
    /// The value that the header must have, or `None` if any value will do.
    pub value: Option<String>,
}

impl HeaderCondition {
    /// Whether no single header line can meet both conditions.
    fn contradicts(&self, other: &HeaderCondition) -> bool {
        self.name == other.name
            && self.value.is_some()
            && other.value.is_some()
            && self.value != other.value
    }
}

/// Which requests a route takes. A rule is identified by its index in the list given to
/// [`Table::build`](crate::Table::build).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The hosts.
    pub host: HostPattern,
    /// The paths.
    pub path: PathPattern,
    /// The methods, in upper case; empty for all.
    pub methods: Vec<String>,
    /// Conditions that must all hold.
    pub headers: Vec<HeaderCondition>,
}

/// How specific a rule is among rules of the same host and path; the lesser is more specific.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    takes_all_methods: bool,
    header_conditions: Reverse<usize>,
}

impl Rule {
    pub(crate) fn takes_method(&self, method: &str) -> bool {
        self.methods.is_empty()
            || self
                .methods
                .iter()
                .any(|named| named == method || (named == "GET" && method == "HEAD"))
    }

    pub(crate) fn rank(&self) -> Rank {
        Rank {
            takes_all_methods: self.methods.is_empty(),
            header_conditions: Reverse(self.headers.len()),
        }
    }

    /// Whether one request could match both rules, if their host, path and rank are the same.
    pub(crate) fn overlaps(&self, other: &Rule) -> bool {
        let share_a_method = self.methods.is_empty()
            || self.methods.iter().any(|m| other.takes_method(m))
            || other.methods.iter().any(|m| self.takes_method(m));
        let contradicts_other = |own: &HeaderCondition| {
            other
                .headers
                .iter()
                .any(|condition| own.contradicts(condition))
        };
        share_a_method && !self.headers.iter().any(contradicts_other)
    }
}
