//! The table of rules, and the lookup.

use crate::error::RuleConflict;
use crate::pattern::{HostPattern, Segment};
use crate::rule::Rule;
use rustc_hash::FxHashMap;

/// The properties of a request that determine its rule.
pub struct Query<'a> {
    /// The host in its normal form; `None` if the request names none.
    pub host: Option<&'a str>,
    /// The path in its normal form.
    pub path: &'a str,
    /// The method, in the case in which it was sent.
    pub method: &'a str,
    /// Returns whether the request has a header with a name (in lower case) and, if one is given, a
    /// value.
    pub header: &'a dyn Fn(&str, Option<&str>) -> bool,
}

/// The rule that matches a request, and the request's parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Match {
    /// The rule's index.
    pub rule: usize,
    /// The path segments that the parameters matched, from left to right.
    pub parameters: Vec<String>,
}

/// The result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The most specific rule that matches the request.
    Found(Match),
    /// Rules match except for the method. The value lists their methods in sorted order.
    MethodNotAllowed(Vec<String>),
    /// No rule matches.
    NotFound,
}

/// The index of a node in [`Table::nodes`].
type NodeIndex = usize;

/// A node of the tree of path segments.
#[derive(Default)]
struct Node {
    literals: FxHashMap<Box<str>, NodeIndex>,
    parameter: Option<NodeIndex>,
    /// The rules with an exact path that ends at this node, the most specific first.
    exact: Vec<usize>,
    /// The rules with a prefix that ends at this node, the most specific first.
    prefix: Vec<usize>,
}

/// An index of rules, with one tree of path segments for each host pattern. See the crate's
/// documentation for the order of rules.
pub struct Table {
    rules: Vec<Rule>,
    nodes: Vec<Node>,
    /// The roots of the trees of exact hosts.
    exact_hosts: FxHashMap<Box<str>, NodeIndex>,
    /// The roots of the trees of host suffixes.
    host_suffixes: FxHashMap<Box<str>, NodeIndex>,
    /// The root of the tree of rules that match any host.
    any_host: NodeIndex,
}

impl Table {
    /// Builds a table from rules.
    ///
    /// # Errors
    ///
    /// Returns every pair of equally specific rules that could match the same request, in the order
    /// of the rules.
    pub fn build(rules: Vec<Rule>) -> Result<Table, Vec<RuleConflict>> {
        let mut table = Table {
            nodes: vec![Node::default()],
            exact_hosts: FxHashMap::default(),
            host_suffixes: FxHashMap::default(),
            any_host: 0,
            rules: Vec::new(),
        };
        for (index, rule) in rules.iter().enumerate() {
            table.insert(index, rule);
        }
        let mut conflicts = Vec::new();
        for node in &mut table.nodes {
            for list in [&mut node.exact, &mut node.prefix] {
                list.sort_by_key(|index| rules[*index].rank());
                collect_conflicts(&rules, list, &mut conflicts);
            }
        }
        conflicts.sort_by_key(|conflict| (conflict.first, conflict.second));
        table.rules = rules;
        if conflicts.is_empty() {
            Ok(table)
        } else {
            Err(conflicts)
        }
    }

    fn insert(&mut self, index: usize, rule: &Rule) {
        let mut at = self.root(&rule.host);
        for segment in &rule.path.segments {
            at = self.child(at, segment);
        }
        let node = &mut self.nodes[at];
        let list = if rule.path.prefix {
            &mut node.prefix
        } else {
            &mut node.exact
        };
        list.push(index);
    }

    /// Returns the root of a host's tree, and creates it if necessary.
    fn root(&mut self, host: &HostPattern) -> NodeIndex {
        let next_index = self.nodes.len();
        let root = match host {
            HostPattern::Any => self.any_host,
            HostPattern::Exact(name) => *self
                .exact_hosts
                .entry(name.as_str().into())
                .or_insert(next_index),
            HostPattern::Suffix(name) => *self
                .host_suffixes
                .entry(name.as_str().into())
                .or_insert(next_index),
        };
        self.ensure_node(root);
        root
    }

    /// Returns the child of a node for a segment, and creates it if necessary.
    fn child(&mut self, at: NodeIndex, segment: &Segment) -> NodeIndex {
        let next_index = self.nodes.len();
        let child = match segment {
            Segment::Literal(text) => *self.nodes[at]
                .literals
                .entry(text.as_str().into())
                .or_insert(next_index),
            Segment::Parameter(_) => *self.nodes[at].parameter.get_or_insert(next_index),
        };
        self.ensure_node(child);
        child
    }

    /// Adds a node if the index is the next unused one.
    fn ensure_node(&mut self, index: NodeIndex) {
        if index == self.nodes.len() {
            self.nodes.push(Node::default());
        }
    }

    /// Returns the number of rules.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Returns whether the table has no rules.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Finds the most specific rule that matches a request.
    pub fn find(&self, query: &Query<'_>) -> Lookup {
        let mut search = Search {
            table: self,
            query,
            parameters: Vec::new(),
            other_methods: Vec::new(),
        };
        let path = query.path.strip_prefix('/').unwrap_or(query.path);
        for root in self.roots(query.host.unwrap_or_default()) {
            if let Some(rule) = search.descend(root, Some(path)) {
                let parameters = search.parameters.into_iter().map(str::to_string).collect();
                return Lookup::Found(Match { rule, parameters });
            }
        }
        let mut methods = search.other_methods;
        if methods.is_empty() {
            return Lookup::NotFound;
        }
        methods.sort_unstable();
        methods.dedup();
        Lookup::MethodNotAllowed(methods.into_iter().map(str::to_string).collect())
    }

    /// Returns the roots of the trees that match a host, the most specific first.
    fn roots<'a>(&'a self, host: &'a str) -> impl Iterator<Item = NodeIndex> + 'a {
        // The leftmost dot gives the longest suffix.
        let suffixes = host
            .match_indices('.')
            .filter_map(|(at, _)| self.host_suffixes.get(&host[at + 1..]));
        self.exact_hosts
            .get(host)
            .into_iter()
            .chain(suffixes)
            .chain([&self.any_host])
            .copied()
    }
}

/// Adds the conflicts among rules with the same host and path, which are sorted by rank.
fn collect_conflicts(rules: &[Rule], sorted: &[usize], conflicts: &mut Vec<RuleConflict>) {
    for (position, first) in sorted.iter().enumerate() {
        let first_rule = &rules[*first];
        let overlapping = sorted[position + 1..]
            .iter()
            .take_while(|other| rules[**other].rank() == first_rule.rank())
            .filter(|other| first_rule.overlaps(&rules[**other]));
        conflicts.extend(overlapping.map(|second| RuleConflict {
            first: *first,
            second: *second,
        }));
    }
}

/// A lookup in progress.
struct Search<'a> {
    table: &'a Table,
    query: &'a Query<'a>,
    /// The path segments that the parameters on the way to the current node matched.
    parameters: Vec<&'a str>,
    /// The methods of rules that match except for the method.
    other_methods: Vec<&'a str>,
}

impl<'a> Search<'a> {
    /// Searches the subtree of a node for the rest of the path, in the order of specificity. The
    /// rest is `None` at the end of the path.
    fn descend(&mut self, at: NodeIndex, rest: Option<&'a str>) -> Option<usize> {
        let node = &self.table.nodes[at];
        let Some(rest) = rest else {
            return self
                .first_match(&node.exact)
                .or_else(|| self.first_match(&node.prefix));
        };
        let (segment, rest) = match rest.split_once('/') {
            Some((segment, rest)) => (segment, Some(rest)),
            None => (rest, None),
        };
        if let Some(child) = node.literals.get(segment) {
            if let Some(rule) = self.descend(*child, rest) {
                return Some(rule);
            }
        }
        if let Some(child) = node.parameter.filter(|_| !segment.is_empty()) {
            self.parameters.push(segment);
            if let Some(rule) = self.descend(child, rest) {
                return Some(rule);
            }
            self.parameters.pop();
        }
        self.first_match(&node.prefix)
    }

    /// Returns the first rule whose headers and method match, and collects the methods of rules
    /// that match except for the method.
    fn first_match(&mut self, rules: &'a [usize]) -> Option<usize> {
        for index in rules {
            let rule = &self.table.rules[*index];
            if !self.headers_match(rule) {
                continue;
            }
            if rule.matches_method(self.query.method) {
                return Some(*index);
            }
            self.other_methods
                .extend(rule.methods.iter().map(String::as_str));
        }
        None
    }

    fn headers_match(&self, rule: &Rule) -> bool {
        rule.headers
            .iter()
            .all(|condition| (self.query.header)(&condition.name, condition.value.as_deref()))
    }
}
