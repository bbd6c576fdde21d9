//! The cost of a lookup with 10, 1,000 and 100,000 routes, for exact paths, prefixes and
//! parameters: `cargo bench -p dewrun-routes`. Prints nanoseconds per lookup, as the median and
//! range of 21 rounds.

use dewrun_routes::*;
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: usize = 21;
const LOOKUPS: usize = 20_000;

fn rule(host: String, path: String) -> Rule {
    Rule {
        host: HostPattern::parse(&host).expect("a host"),
        path: PathPattern::parse(&path).expect("a path"),
        methods: Vec::new(),
        headers: Vec::new(),
    }
}

fn main() {
    println!("{LOOKUPS} lookups per round, {ROUNDS} rounds; ns per lookup: median (min to max)");
    for count in [10, 1_000, 100_000] {
        let third = count / 3 + 1;
        let mut rules = Vec::new();
        for n in 0..third {
            rules.push(rule(
                format!("h{}.example", n % 100),
                format!("/exact/{n}/page"),
            ));
            rules.push(rule("*.shop.example".into(), format!("/prefix/{n}/*")));
            rules.push(rule("*".into(), format!("/with/{n}/{{id}}/part")));
        }
        let table = Table::build(rules).expect("no conflicts");
        type Case = (&'static str, fn(usize) -> (String, String));
        let cases: [Case; 3] = [
            ("exact", |n| {
                (format!("h{}.example", n % 100), format!("/exact/{n}/page"))
            }),
            ("prefix", |n| {
                ("www.shop.example".into(), format!("/prefix/{n}/a/b/c"))
            }),
            ("parameter", |n| {
                ("else.example".into(), format!("/with/{n}/17/part"))
            }),
        ];
        for (kind, case) in cases {
            let queries: Vec<_> = (0..LOOKUPS)
                .map(|i| case(i.wrapping_mul(2_654_435_761) % third))
                .collect();
            let mut rounds: Vec<f64> = (0..ROUNDS)
                .map(|_| {
                    let started = Instant::now();
                    for (host, path) in &queries {
                        let query = Query {
                            host: Some(host),
                            path,
                            method: "GET",
                            header: &|_, _| false,
                        };
                        assert!(matches!(
                            black_box(table.find(black_box(&query))),
                            Lookup::Found(_)
                        ));
                    }
                    started.elapsed().as_nanos() as f64 / LOOKUPS as f64
                })
                .collect();
            rounds.sort_by(f64::total_cmp);
            let (min, median, max) = (rounds[0], rounds[ROUNDS / 2], rounds[ROUNDS - 1]);
            println!(
                "{:>7} routes, {kind:<9} {median:>7.0} ({min:.0} to {max:.0})",
                table.len()
            );
        }
    }
}
