//! Compatibility with learned state that an earlier version stored.

mod common;

use common::{class, endpoints, settings, tenant, Proxy};
use dewrun_balancer::{DeduplicationScope, EffectClass, Outcome};
use dewrun_test_support::assert_golden;
use std::path::{Path, PathBuf};

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../tests/golden")
        .join(name)
}

/// Returns a balancer that has recorded successes, failures of each kind, and an endpoint restart.
fn learned_balancer() -> Proxy {
    let mut settings = settings();
    settings.classes = vec![
        class(EffectClass::Idempotent, DeduplicationScope::All),
        class(EffectClass::Keyed, DeduplicationScope::Cell),
        class(EffectClass::NonIdempotent, DeduplicationScope::All),
    ];
    settings.tenants = vec![tenant(20.0), tenant(0.5)];
    let mut list = endpoints(9);
    list[8].started_at = Some(500.0);
    let mut proxy = Proxy::new(settings, &list);
    for round in 0..60u32 {
        let sent: Vec<_> = (0..8)
            .filter_map(|n| proxy.request(n % 3, u16::from(n % 2), 4_000.0))
            .collect();
        proxy.now += 40.0 + f64::from(round % 7) * 60.0;
        for sent in sent {
            let outcome = match (sent.to, sent.request % 11) {
                (3, _) => Outcome::ConnectFailed,
                (5, 0..=6) => Outcome::Error,
                (_, 1) => Outcome::Timeout,
                (_, 2) => Outcome::Reset,
                _ => Outcome::Ok,
            };
            let mut next = proxy.end(sent, outcome);
            while let Some(retried) = next {
                next = proxy.end(retried, Outcome::Ok);
            }
        }
    }
    proxy
}

#[test]
fn stored_learned_state_is_unchanged_and_can_be_restored() {
    let learned = learned_balancer().balancer.snapshot();
    assert_golden(&golden("learned.json"), &format!("{learned}\n"));
    let stored = std::fs::read_to_string(golden("learned.json")).expect("the golden file");
    let mut successor = learned_balancer();
    assert!(successor.balancer.restore(stored.trim_end()));
    assert_eq!(successor.balancer.snapshot(), stored.trim_end());
    assert!(
        !successor
            .balancer
            .restore(&stored.replace("\"tier\"", "\"other\"")),
        "learned state with a missing field"
    );
}
