//! Learned state, as an earlier build stored it.

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

/// A balancer that has seen successes, failures of each kind, and a restart.
fn experienced() -> Proxy {
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
            .filter_map(|n| proxy.ask(n % 3, u16::from(n % 2), 4_000.0))
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
            while let Some(again) = next {
                next = proxy.end(again, Outcome::Ok);
            }
        }
    }
    proxy
}

#[test]
fn learned_state_keeps_its_form_and_is_taken_over() {
    let learned = experienced().balancer.snapshot();
    assert_golden(&golden("learned.json"), &format!("{learned}\n"));
    let kept = std::fs::read_to_string(golden("learned.json")).expect("the golden file");
    let mut heir = experienced();
    assert!(heir.balancer.restore(kept.trim_end()));
    assert_eq!(heir.balancer.snapshot(), kept.trim_end());
    assert!(
        !heir
            .balancer
            .restore(&kept.replace("\"tier\"", "\"other\"")),
        "a field that is missing"
    );
}
