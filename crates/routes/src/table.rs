//! The table of rules and the lookup.

use crate::pattern::{HostPattern, PathPattern, Segment};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::fmt;

/// A condition on one header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderCondition {
    /// Its name, in lower case.
    pub name: String,
    /// The value that it must have, or `None` if it need only be there.
    pub value: Option<String>,
}

/// One rule: which requests it takes. Its place in the list given to [`Table::build`] is its
/// number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The hosts.
    pub host: HostPattern,
    /// The paths.
    pub path: PathPattern,
    /// The methods, in capitals; empty for all.
    pub methods: Vec<String>,
    /// Conditions that must all hold.
    pub headers: Vec<HeaderCondition>,
}

impl Rule {
    fn takes_method(&self, method: &str) -> bool {
        let named = |m: &String| m == method || (m == "GET" && method == "HEAD");
        self.methods.is_empty() || self.methods.iter().any(named)
    }

    /// The order among rules with one host and one path; the lesser goes first.
    fn rank(&self) -> (bool, Reverse<usize>) {
        (self.methods.is_empty(), Reverse(self.headers.len()))
    }

    /// Whether one request could fit both, given that host and path are the same and so is
    /// [`Rule::rank`].
    fn overlaps(&self, other: &Rule) -> bool {
        let methods = self.methods.is_empty()
            || self.methods.iter().any(|m| other.takes_method(m))
            || other.methods.iter().any(|m| self.takes_method(m));
        let clash = |a: &HeaderCondition| {
            other.headers.iter().any(|b| {
                a.name == b.name && a.value.is_some() && b.value.is_some() && a.value != b.value
            })
        };
        methods && !self.headers.iter().any(clash)
    }
}

/// Two rules that could both fit one request, neither of them more specific.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The number of the earlier rule.
    pub first: usize,
    /// The number of the later one.
    pub second: usize,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rules {} and {} fit the same requests and neither is more specific",
            self.first, self.second
        )
    }
}

impl std::error::Error for Fault {}

/// What a rule is looked up for.
pub struct Query<'a> {
    /// The host in its normal form; `None` if the request names none.
    pub host: Option<&'a str>,
    /// The path in its normal form.
    pub path: &'a str,
    /// The method.
    pub method: &'a str,
    /// Whether the request has a header of this name (in lower case) that meets the condition on
    /// its value.
    pub header: &'a dyn Fn(&str, Option<&str>) -> bool,
}

/// The rule that fits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Match {
    /// Its number.
    pub rule: usize,
    /// What stands in place of the parameters, from the left.
    pub parameters: Vec<String>,
}

/// What a lookup gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Find {
    /// The most specific rule that fits.
    Rule(Match),
    /// Rules fit but for the method; these are the methods that they name, sorted.
    OtherMethods(Vec<String>),
    /// No rule fits.
    Nothing,
}

#[derive(Default)]
struct Node {
    literals: FxHashMap<Box<str>, usize>,
    parameter: Option<usize>,
    /// Rules whose path ends here, in order.
    exact: Vec<usize>,
    /// Rules whose prefix ends here, in order.
    prefix: Vec<usize>,
}

/// Rules in a form for lookups. See the crate's text for the order.
pub struct Table {
    rules: Vec<Rule>,
    nodes: Vec<Node>,
    exact: FxHashMap<Box<str>, usize>,
    suffixes: FxHashMap<Box<str>, usize>,
    any: usize,
}

impl Table {
    /// Builds a table, or gives every pair of rules between which it could not choose.
    pub fn build(rules: Vec<Rule>) -> Result<Table, Vec<Fault>> {
        let mut table = Table {
            nodes: vec![Node::default()],
            exact: FxHashMap::default(),
            suffixes: FxHashMap::default(),
            any: 0,
            rules: Vec::new(),
        };
        for (number, rule) in rules.iter().enumerate() {
            let mut at = table.root(&rule.host);
            for segment in &rule.path.segments {
                at = table.child(at, segment);
            }
            let node = &mut table.nodes[at];
            if rule.path.prefix {
                &mut node.prefix
            } else {
                &mut node.exact
            }
            .push(number);
        }
        let mut faults = Vec::new();
        for node in &mut table.nodes {
            for list in [&mut node.exact, &mut node.prefix] {
                list.sort_by_key(|number| rules[*number].rank());
                for (i, first) in list.iter().enumerate() {
                    let same = list[i + 1..]
                        .iter()
                        .take_while(|n| rules[**n].rank() == rules[*first].rank());
                    let both = same.filter(|second| rules[*first].overlaps(&rules[**second]));
                    faults.extend(both.map(|second| Fault {
                        first: *first,
                        second: *second,
                    }));
                }
            }
        }
        faults.sort_by_key(|fault| (fault.first, fault.second));
        table.rules = rules;
        if faults.is_empty() {
            Ok(table)
        } else {
            Err(faults)
        }
    }

    fn root(&mut self, host: &HostPattern) -> usize {
        let fresh = self.nodes.len();
        let at = match host {
            HostPattern::Any => self.any,
            HostPattern::Exact(name) => *self.exact.entry(name.as_str().into()).or_insert(fresh),
            HostPattern::Suffix(name) => {
                *self.suffixes.entry(name.as_str().into()).or_insert(fresh)
            }
        };
        self.grow_to(at);
        at
    }

    fn child(&mut self, at: usize, segment: &Segment) -> usize {
        let fresh = self.nodes.len();
        let next = match segment {
            Segment::Literal(text) => *self.nodes[at]
                .literals
                .entry(text.as_str().into())
                .or_insert(fresh),
            Segment::Parameter(_) => *self.nodes[at].parameter.get_or_insert(fresh),
        };
        self.grow_to(next);
        next
    }

    fn grow_to(&mut self, at: usize) {
        if at == self.nodes.len() {
            self.nodes.push(Node::default());
        }
    }

    /// How many rules there are.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Whether there is no rule at all.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Finds the most specific rule that fits.
    pub fn find(&self, query: &Query<'_>) -> Find {
        let mut search = Search {
            table: self,
            query,
            parameters: Vec::new(),
            methods: Vec::new(),
        };
        let host = query.host.unwrap_or_default();
        let suffixes = host
            .match_indices('.')
            .filter_map(|(at, _)| self.suffixes.get(&host[at + 1..]));
        // The leftmost dot gives the longest suffix.
        let roots = self
            .exact
            .get(host)
            .into_iter()
            .chain(suffixes)
            .chain([&self.any]);
        let path = query.path.strip_prefix('/').unwrap_or(query.path);
        for root in roots {
            if let Some(rule) = search.descend(*root, Some(path)) {
                let parameters = search.parameters.into_iter().map(str::to_string).collect();
                return Find::Rule(Match { rule, parameters });
            }
        }
        let mut methods = search.methods;
        if methods.is_empty() {
            return Find::Nothing;
        }
        methods.sort_unstable();
        methods.dedup();
        Find::OtherMethods(methods.into_iter().map(str::to_string).collect())
    }
}

struct Search<'a> {
    table: &'a Table,
    query: &'a Query<'a>,
    parameters: Vec<&'a str>,
    methods: Vec<&'a str>,
}

impl<'a> Search<'a> {
    /// Looks below a node for the rest of the path, `None` at its end; the most specific way first.
    fn descend(&mut self, at: usize, rest: Option<&'a str>) -> Option<usize> {
        let node = &self.table.nodes[at];
        let Some(rest) = rest else {
            return self.first(&node.exact).or_else(|| self.first(&node.prefix));
        };
        let (segment, rest) = match rest.split_once('/') {
            Some((segment, rest)) => (segment, Some(rest)),
            None => (rest, None),
        };
        if let Some(next) = node.literals.get(segment) {
            if let Some(rule) = self.descend(*next, rest) {
                return Some(rule);
            }
        }
        if let Some(next) = node.parameter.filter(|_| !segment.is_empty()) {
            self.parameters.push(segment);
            if let Some(rule) = self.descend(next, rest) {
                return Some(rule);
            }
            self.parameters.pop();
        }
        self.first(&node.prefix)
    }

    fn first(&mut self, rules: &'a [usize]) -> Option<usize> {
        for number in rules {
            let rule = &self.table.rules[*number];
            if rule
                .headers
                .iter()
                .all(|c| (self.query.header)(&c.name, c.value.as_deref()))
            {
                if rule.takes_method(self.query.method) {
                    return Some(*number);
                }
                self.methods.extend(rule.methods.iter().map(String::as_str));
            }
        }
        None
    }
}
