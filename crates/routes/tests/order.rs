//! The order of rules, by a table of cases and by comparison with a matcher that tries all rules.

use dewrun_routes::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cmp::Ordering;

fn rule(host: &str, path: &str, methods: &[&str], headers: &[(&str, Option<&str>)]) -> Rule {
    let condition = |(name, value): &(&str, Option<&str>)| HeaderCondition {
        name: name.to_string(),
        value: value.map(str::to_string),
    };
    Rule {
        host: HostPattern::parse(host).expect("a host"),
        path: PathPattern::parse(path).expect("a path"),
        methods: methods.iter().map(|m| m.to_string()).collect(),
        headers: headers.iter().map(condition).collect(),
    }
}

fn find(
    table: &Table,
    host: Option<&str>,
    path: &str,
    method: &str,
    headers: &[(&str, &str)],
) -> Lookup {
    let header = |name: &str, value: Option<&str>| {
        headers
            .iter()
            .any(|(n, v)| *n == name && value.is_none_or(|value| value == *v))
    };
    table.find(&Query {
        host,
        path,
        method,
        header: &header,
    })
}

#[test]
fn the_most_specific_rule_wins() {
    let rules = vec![
        rule("*", "/*", &[], &[]),
        rule("*", "/a/*", &[], &[]),
        rule("*", "/a", &[], &[]),
        rule("*", "/a/{x}", &[], &[]),
        rule("*", "/a/b", &[], &[]),
        rule("*", "/a/b", &["POST"], &[]),
        rule("*", "/a/b", &[], &[("x-beta", Some("1"))]),
        rule("*.example", "/*", &[], &[]),
        rule("*.shop.example", "/*", &[], &[]),
        rule("www.shop.example", "/c/*", &[], &[]),
        rule("*", "/a/{x}/c/{y}/*", &["GET"], &[]),
    ];
    let table = Table::build(rules).expect("no conflicts");
    assert!(table.len() == 11 && !table.is_empty());
    type Case<'a> = (
        Option<&'a str>,
        &'a str,
        &'a str,
        &'a [(&'a str, &'a str)],
        usize,
    );
    let cases: [Case; 21] = [
        (None, "/", "GET", &[], 0),
        (None, "/ab", "GET", &[], 0),
        (None, "/a", "GET", &[], 2),
        (None, "/a/", "GET", &[], 1),
        (None, "/a/x", "GET", &[], 3),
        (None, "/a/b", "GET", &[], 4),
        (None, "/a/b", "POST", &[], 5),
        (None, "/a/b", "POST", &[("x-beta", "1")], 5),
        (None, "/a/b", "GET", &[("x-beta", "1")], 6),
        (None, "/a/b", "GET", &[("x-beta", "2")], 4),
        (None, "/a/b/c", "GET", &[], 1),
        (None, "/a/b/c/d", "GET", &[], 10),
        (None, "/a/b/c/d/e/f", "HEAD", &[], 10),
        (None, "/a/b/c/d", "PUT", &[], 1),
        (Some("example"), "/", "GET", &[], 0),
        (Some("x.example"), "/", "GET", &[], 7),
        (Some("shop.example"), "/a/b", "GET", &[], 7),
        (Some("x.y.shop.example"), "/", "GET", &[], 8),
        (Some("www.shop.example"), "/c", "GET", &[], 9),
        (Some("www.shop.example"), "/d", "GET", &[], 8),
        (Some("notexample"), "/", "GET", &[], 0),
    ];
    for (host, path, method, headers, expected) in cases {
        match find(&table, host, path, method, headers) {
            Lookup::Found(found) => {
                assert_eq!(found.rule, expected, "{host:?} {method} {path} {headers:?}")
            }
            other => panic!("{host:?} {method} {path}: {other:?}"),
        }
    }
}

#[test]
fn parameters_are_returned_from_left_to_right() {
    let rules = vec![
        rule("*", "/{a}/x/{b}/*", &[], &[]),
        rule("*", "/{a}/{b}/y", &[], &[]),
    ];
    let table = Table::build(rules).expect("no conflicts");
    let lookup = |path| match find(&table, None, path, "GET", &[]) {
        Lookup::Found(found) => (found.rule, found.parameters),
        other => panic!("{path}: {other:?}"),
    };
    assert_eq!(
        lookup("/1/x/2/3"),
        (0, vec!["1".to_string(), "2".to_string()])
    );
    // The branch of the first rule fails at its third segment, and its parameters are discarded.
    assert_eq!(
        lookup("/1/z/y"),
        (1, vec!["1".to_string(), "z".to_string()])
    );
    assert_eq!(
        find(&table, None, "//x/2", "GET", &[]),
        Lookup::NotFound,
        "an empty segment matches no parameter"
    );
}

#[test]
fn a_path_with_other_methods_is_distinguished_from_an_unknown_path() {
    let rules = vec![
        rule("*", "/a", &["PUT", "GET"], &[]),
        rule("*", "/a", &["POST"], &[]),
    ];
    let table = Table::build(rules).expect("no conflicts");
    let methods = ["GET", "POST", "PUT"].map(String::from).to_vec();
    assert_eq!(
        find(&table, None, "/a", "DELETE", &[]),
        Lookup::MethodNotAllowed(methods)
    );
    assert_eq!(find(&table, None, "/b", "DELETE", &[]), Lookup::NotFound);
}

#[test]
fn all_conflicts_of_equally_specific_rules_are_reported() {
    let one = Some("1");
    let rules = vec![
        rule("*", "/a/{x}", &[], &[]),
        rule("*", "/a/{y}", &[], &[]),
        rule("*", "/b", &["GET"], &[]),
        rule("*", "/b", &["HEAD", "PUT"], &[]),
        rule("*", "/c", &[], &[("k", one)]),
        rule("*", "/c", &[], &[("k", Some("2"))]),
        rule("*", "/c", &[], &[("l", one)]),
        rule("*.a", "/a/{x}", &[], &[]),
        rule("*", "/a/*", &[], &[]),
    ];
    let conflicts = Table::build(rules).err().expect("conflicts");
    let pairs: Vec<_> = conflicts.iter().map(|f| (f.first, f.second)).collect();
    assert_eq!(pairs, [(0, 1), (2, 3), (4, 6), (5, 6)]);
}

/// Compares the specificity of two rules, as a second implementation of the order.
fn compare_specificity(a: &Rule, b: &Rule) -> Ordering {
    let host = |r: &Rule| match &r.host {
        HostPattern::Exact(_) => (2, 0),
        HostPattern::Suffix(s) => (1, s.len()),
        HostPattern::Any => (0, 0),
    };
    let path = |r: &Rule| {
        let kind = |s: &Segment| {
            if matches!(s, Segment::Literal(_)) {
                2
            } else {
                1
            }
        };
        let mut kinds: Vec<i32> = r.path.segments.iter().map(kind).collect();
        kinds.push(if r.path.prefix { 0 } else { 3 });
        kinds
    };
    let key = |r: &Rule| (host(r), path(r), !r.methods.is_empty(), r.headers.len());
    key(a).cmp(&key(b))
}

/// Returns whether a rule matches a request.
fn matches_request(
    rule: &Rule,
    host: Option<&str>,
    path: &str,
    method: &str,
    headers: &[(&str, &str)],
) -> bool {
    let host_matches = match &rule.host {
        HostPattern::Any => true,
        HostPattern::Exact(name) => host == Some(name),
        HostPattern::Suffix(name) => host.is_some_and(|h| h.ends_with(&format!(".{name}"))),
    };
    let segments: Vec<&str> = path[1..].split('/').collect();
    let length_matches = match rule.path.prefix {
        true => segments.len() >= rule.path.segments.len(),
        false => segments.len() == rule.path.segments.len(),
    };
    let path_matches = length_matches
        && rule
            .path
            .segments
            .iter()
            .zip(&segments)
            .all(|(expected, actual)| match expected {
                Segment::Literal(text) => text == actual,
                Segment::Parameter(_) => !actual.is_empty(),
            });
    let method_matches = rule.methods.is_empty()
        || rule
            .methods
            .iter()
            .any(|m| m == method || (m == "GET" && method == "HEAD"));
    let is_met = |c: &HeaderCondition| {
        headers
            .iter()
            .any(|(n, v)| *n == c.name && c.value.as_deref().is_none_or(|expected| expected == *v))
    };
    host_matches && path_matches && method_matches && rule.headers.iter().all(is_met)
}

fn any_rule() -> impl Strategy<Value = Rule> {
    let host = prop::sample::select(vec!["*", "a", "b.a", "*.a", "*.b.a", "c.b.a"]);
    let segment = prop::sample::select(vec!["x", "y", "{}", ""]);
    let path = (prop::collection::vec(segment, 0..4), any::<bool>()).prop_map(|(parts, prefix)| {
        let mut path = String::new();
        for (i, part) in parts.iter().enumerate() {
            // An empty segment is normal only at the end.
            match *part {
                "" => {}
                "{}" => path.push_str(&format!("/{{p{i}}}")),
                literal => path.push_str(&format!("/{literal}")),
            }
        }
        match (prefix, parts.last()) {
            (true, _) => path + "/*",
            (false, Some(&"") | None) => path + "/",
            _ => path,
        }
    });
    let methods = prop::sample::subsequence(vec!["GET", "HEAD", "POST"], 0..3);
    let values = prop::sample::select(vec![None, Some("1"), Some("2")]);
    let headers = prop::collection::btree_map(prop::sample::select(vec!["k", "l"]), values, 0..3);
    (host, path, methods, headers).prop_map(|(host, path, methods, headers)| {
        rule(
            host,
            &path,
            &methods,
            &headers.into_iter().collect::<Vec<_>>(),
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_lookup_agrees_with_a_matcher_that_tries_all_rules(
        rules in prop::collection::vec(any_rule(), 1..12),
        host in prop::sample::select(vec![None, Some("a"), Some("b.a"), Some("c.b.a"), Some("z.c.b.a"), Some("q")]),
        parts in prop::collection::vec(prop::sample::select(vec!["x", "y", "z"]), 0..4),
        slash in any::<bool>(),
        method in prop::sample::select(vec!["GET", "HEAD", "POST", "PUT"]),
        headers in prop::sample::subsequence(vec![("k", "1"), ("k", "2"), ("l", "1")], 0..3),
    ) {
        let mut path: String = parts.iter().map(|p| format!("/{p}")).collect();
        if slash || path.is_empty() {
            path.push('/');
        }
        let matching = |rules: &[Rule]| -> Vec<usize> {
            (0..rules.len()).filter(|i| matches_request(&rules[*i], host, &path, method, &headers)).collect()
        };
        match Table::build(rules.clone()) {
            Ok(table) => {
                let all = matching(&rules);
                let best = all.iter().copied().max_by(|a, b| compare_specificity(&rules[*a], &rules[*b]));
                let ties = all.iter().filter(|i| compare_specificity(&rules[**i], &rules[best.unwrap()]).is_eq()).count();
                prop_assert!(ties <= 1, "two equally specific rules match");
                let found = match find(&table, host, &path, method, &headers) {
                    Lookup::Found(found) => Some(found.rule),
                    _ => None,
                };
                prop_assert_eq!(found, best);
            }
            Err(conflicts) => {
                for conflict in conflicts {
                    let (a, b) = (&rules[conflict.first], &rules[conflict.second]);
                    prop_assert!(conflict.first != conflict.second && compare_specificity(a, b).is_eq());
                }
            }
        }
    }

    #[test]
    fn normalization_is_idempotent_and_removes_ambiguous_segments(path in "[/.%2eEfF;a\\\\-]{0,24}") {
        if let Ok(normal) = normalize_path(&path) {
            let again = normalize_path(&normal);
            prop_assert_eq!(again.as_deref(), Ok(&*normal));
            prop_assert!(normal.starts_with('/') && !normal.contains("//") && !normal.contains('\\'));
            prop_assert!(!normal.split('/').any(|s| s == "." || s == ".." || s.starts_with("..;")));
        }
    }

    #[test]
    fn arbitrary_text_causes_no_panic(text in any::<String>()) {
        let _ = (PathPattern::parse(&text), HostPattern::parse(&text), normalize_host(&text), normalize_path(&text));
    }
}
