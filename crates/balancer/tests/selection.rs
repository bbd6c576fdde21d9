//! Selection: which endpoints a process draws from, and how it weights them.

mod common;
use common::*;
use dewrun_balancer::*;
use std::collections::{BTreeMap, BTreeSet};

/// Returns how many of `n` sequential requests each endpoint gets.
fn count_by_endpoint(p: &mut Proxy, n: usize) -> BTreeMap<EndpointId, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..n {
        let sent = p.request(0, 0, 4_000.0).expect("sent");
        *counts.entry(sent.to).or_default() += 1;
        p.now += 20.0;
        p.end(sent, Outcome::Ok);
    }
    counts
}

#[test]
fn a_process_uses_a_subset_and_all_processes_cover_the_tier() {
    // Many processes that each draw from all endpoints fill every endpoint's connection table.
    let mut covered = BTreeSet::new();
    for rank in 0..50 {
        let mut p = Proxy::new(
            Settings {
                tier: 1,
                rank,
                fleet_size: 50,
                ..settings()
            },
            &endpoints(60),
        );
        let used = count_by_endpoint(&mut p, 200);
        assert!(used.len() <= 12, "process {rank} uses {} of 60", used.len());
        covered.extend(used.into_keys());
    }
    assert_eq!(covered.len(), 60);
}

#[test]
fn requests_cross_zones_at_a_price_only_if_the_own_zone_fails() {
    let list: Vec<_> = (1..=6)
        .map(|id| EndpointInfo {
            zone: (id % 2) as u16,
            ..endpoint(id)
        })
        .collect();
    let mut priced = settings();
    priced.prices.cross_zone = 0.01;
    let mut p = Proxy::new(priced, &list);
    let crossed = |counts: &BTreeMap<EndpointId, usize>| -> usize {
        counts
            .iter()
            .filter(|(id, _)| *id % 2 == 1)
            .map(|(_, n)| n)
            .sum()
    };
    assert!(
        crossed(&count_by_endpoint(&mut p, 300)) < 30,
        "without failures, the own zone gets the requests"
    );
    for _ in 0..60 {
        let mut next = p.request(0, 0, 4_000.0);
        while let Some(sent) = next {
            p.now += 5.0;
            let fails = sent.to % 2 == 0;
            next = p.end(
                sent,
                if fails {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                },
            );
        }
    }
    let counts = {
        let mut counts = BTreeMap::new();
        for _ in 0..60 {
            let sent = p.request(0, 0, 4_000.0).expect("sent");
            *counts.entry(sent.to).or_default() += 1usize;
            p.end(
                sent,
                if sent.to % 2 == 0 {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                },
            );
        }
        counts
    };
    assert!(
        crossed(&counts) > 40,
        "own zone failed: {} of 60 requests sent to the other zone",
        crossed(&counts)
    );
}

#[test]
fn a_loaded_endpoint_gets_almost_no_requests_while_another_is_idle() {
    let mut p = Proxy::new(settings(), &endpoints(4));
    let mut attempts_by_endpoint = BTreeMap::<EndpointId, usize>::new();
    for _ in 0..16 {
        *attempts_by_endpoint
            .entry(p.request(0, 0, 4_000.0).expect("sent").to)
            .or_default() += 1;
    }
    let max_attempts = attempts_by_endpoint.values().max().expect("some");
    assert!(
        *max_attempts <= 6,
        "distribution of 16 requests over 4 idle endpoints: {attempts_by_endpoint:?}"
    );
}

#[test]
fn a_slow_endpoint_gets_far_fewer_requests_than_others() {
    let mut p = Proxy::new(settings(), &endpoints(4));
    let mut sent_to_slow = 0;
    for n in 0..400 {
        let sent = p.request(0, 0, 4_000.0).expect("sent");
        p.now += if sent.to == 2 { 120.0 } else { 40.0 };
        sent_to_slow += usize::from(n >= 100 && sent.to == 2);
        p.end(sent, Outcome::Ok);
    }
    assert!(
        (1..20).contains(&sent_to_slow),
        "{sent_to_slow} of 300 requests to an endpoint three times as slow as the others"
    );
}

#[test]
fn successes_of_other_classes_do_not_hide_a_failing_class() {
    let classes = vec![class(EffectClass::NonIdempotent, DeduplicationScope::All); 2];
    let mut p = Proxy::new(
        Settings {
            classes,
            ..settings()
        },
        &endpoints(4),
    );
    let mut sent_to_failing = [0, 0];
    for n in 0..400 {
        let class = (n % 2) as u8;
        let sent = p.request(class, 0, 4_000.0).expect("sent");
        p.now += 20.0;
        let fails = sent.to == 2 && class == 0;
        sent_to_failing[usize::from(class)] += usize::from(sent.to == 2);
        p.end(sent, if fails { Outcome::Error } else { Outcome::Ok });
    }
    let [failing, served] = sent_to_failing;
    assert!(
        failing < 20,
        "{failing} of 200 requests of the class that it fails"
    );
    assert!(
        served > 2 * failing,
        "{served} requests of the class that it serves, {failing} of the other class"
    );
}

#[test]
fn endpoints_with_extreme_weights_can_be_selected() {
    // Weights from discovery may be too large to be summed up.
    for weight in [
        1e308,
        f64::MAX,
        f64::MIN_POSITIVE,
        0.0,
        -1.0,
        f64::NAN,
        f64::INFINITY,
    ] {
        let invalid: Vec<EndpointInfo> = endpoints(3)
            .into_iter()
            .map(|b| EndpointInfo { weight, ..b })
            .collect();
        for list in [
            invalid.clone(),
            [&invalid[..1], &endpoints(3)[1..]].concat(),
        ] {
            let mut proxy = Proxy::new(settings(), &list);
            for _ in 0..20 {
                proxy.now += 50.0;
                let sent = proxy
                    .request(0, 0, 4_000.0)
                    .unwrap_or_else(|| panic!("weight {weight}: nothing sent"));
                proxy.end(sent, Outcome::Ok);
            }
        }
    }
}
