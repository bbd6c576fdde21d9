//! Handover between processes: learned state, overlapping processes, and limits that follow the
//! list.

mod common;
use common::*;
use dewrun_balancer::*;
use proptest::prelude::*;

/// Returns a process whose limit has decreased well below that of a new process.
fn process_with_decreased_limit() -> Proxy {
    let mut proxy = Proxy::new(settings(), &endpoints(10));
    proxy.rounds(6, 60, 3_000.0, Outcome::Ok);
    proxy
}

fn new_process() -> Proxy {
    let mut proxy = Proxy::new(settings(), &endpoints(10));
    // Both processes use the same clock.
    proxy.now = process_with_decreased_limit().now;
    proxy
}

/// Returns the number of requests that a process admits at once. They stay in flight.
fn admitted_at_once(mut proxy: Proxy) -> usize {
    (0..500)
        .filter(|_| proxy.request(0, 0, 4_000.0).is_some())
        .count()
}

#[test]
fn a_successor_admits_as_much_as_its_predecessor() {
    let (old, mut new) = (process_with_decreased_limit(), new_process());
    assert!(new.balancer.restore(&old.balancer.snapshot()));
    let (old, new, unlearned) = (
        admitted_at_once(old),
        admitted_at_once(new),
        admitted_at_once(new_process()),
    );
    assert!(old.abs_diff(new) <= 1, "{old} before, {new} after");
    assert!(
        unlearned > 2 * new,
        "a new process admits {unlearned}, so the test proves nothing"
    );
}

#[test]
fn a_successor_avoids_endpoints_that_its_predecessor_ejected() {
    let mut old = Proxy::new(settings(), &endpoints(4));
    for _ in 0..200 {
        old.now += 20.0;
        let mut next = old.request(0, 0, 4_000.0);
        while let Some(sent) = next {
            let outcome = if sent.to == 1 {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            };
            next = old.end(sent, outcome);
        }
    }
    let mut new = Proxy::new(settings(), &endpoints(4));
    new.now = old.now;
    assert!(new.balancer.restore(&old.balancer.snapshot()));
    assert_eq!(
        (
            old.balancer.unavailable_endpoint_count(old.now),
            new.balancer.unavailable_endpoint_count(new.now)
        ),
        (1, 1)
    );
    let to_ejected = (0..20)
        .filter(|_| new.request(0, 0, 4_000.0).is_some_and(|sent| sent.to == 1))
        .count();
    assert!(
        to_ejected <= 1,
        "{to_ejected} requests, of which one may be a probation request"
    );
    // The state of an endpoint from before its restart is dropped.
    let restarted = EndpointInfo {
        started_at: Some(old.now),
        ..endpoint(1)
    };
    let mut later = Proxy::new(settings(), &[&[restarted], &endpoints(4)[1..]].concat());
    assert!(later.balancer.restore(&old.balancer.snapshot()));
    assert_eq!(later.balancer.unavailable_endpoint_count(later.now), 0);
}

#[test]
fn requests_of_overlapping_processes_count_towards_the_limit() {
    let alone = admitted_at_once(process_with_decreased_limit());
    let requests = alone as f64 - 3.0;
    let admitted_with = |updates: &[(usize, &[f64])]| {
        let mut proxy = process_with_decreased_limit();
        updates.iter().for_each(|(others, in_flight)| {
            proxy.balancer.set_overlapping_processes(*others, in_flight)
        });
        admitted_at_once(proxy)
    };
    let in_flight = [requests, 0.0, requests];
    assert!(admitted_with(&[(1, &in_flight)]).abs_diff(3) <= 1);
    assert!(
        admitted_with(&[(1, &in_flight), (0, &[])]).abs_diff(alone) <= 1,
        "the other processes have ended"
    );
}

#[test]
fn limits_scale_with_the_capacity_of_the_list() {
    let all = admitted_at_once(process_with_decreased_limit());
    let with = |draining: usize| -> Vec<EndpointInfo> {
        let state = |n: usize| {
            if n < draining {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            }
        };
        endpoints(10)
            .into_iter()
            .enumerate()
            .map(|(n, b)| EndpointInfo {
                state: state(n),
                ..b
            })
            .collect()
    };
    let admitted_after = |lists: &[Vec<EndpointInfo>], later: Millis| {
        let mut proxy = process_with_decreased_limit();
        lists
            .iter()
            .for_each(|list| proxy.list(ListKind::Full, list));
        proxy.now += later;
        admitted_at_once(proxy)
    };
    let half = admitted_after(&[with(5)], 0.0);
    assert!(
        half.abs_diff(all / 2) <= 1,
        "{half} of {all} with half of the endpoints"
    );
    let restored = admitted_after(&[with(5), with(0)], 0.0);
    assert!(
        restored.abs_diff(all) <= 1,
        "{restored} of {all} after the endpoints returned"
    );
    // Five cold replacements have three tenths of their capacity and warm up to all of it.
    let start = process_with_decreased_limit().now;
    let cold = |n: u32| EndpointInfo {
        started_at: Some(start),
        ..endpoint(n + 20)
    };
    let replaced: Vec<EndpointInfo> = endpoints(5).into_iter().chain((1..=5).map(cold)).collect();
    let part = admitted_after(std::slice::from_ref(&replaced), 0.0) as f64 / all as f64;
    assert!(
        (0.45..0.8).contains(&part),
        "{part} of the limit while half of the endpoints are cold"
    );
    let warm = admitted_after(&[replaced], 9_000.0);
    assert!(
        warm.abs_diff(all) <= 1,
        "{warm} of {all} when all endpoints are warm"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn malformed_learned_state_is_rejected_or_usable(at in 0usize..5_000, byte in 0u8..128) {
        let learned = process_with_decreased_limit().balancer.snapshot();
        let mut malformed = learned.clone().into_bytes();
        let at = at % malformed.len();
        malformed[at] = byte;
        let malformed = String::from_utf8(malformed).expect("ASCII text");
        for text in [&malformed, &learned[..at]] {
            let mut proxy = new_process();
            if proxy.balancer.restore(text) {
                // The text is still valid learned state, so the process must serve requests with
                // it.
                proxy.rounds(40, 2, 100.0, Outcome::Ok);
                prop_assert!(proxy.admitted(4) > 0);
            } else {
                prop_assert_eq!(admitted_at_once(proxy), admitted_at_once(new_process()));
            }
        }
    }

    #[test]
    fn learned_state_of_other_settings_is_rejected(classes in 1usize..4, tenants in 0usize..3) {
        let learned = process_with_decreased_limit().balancer.snapshot();
        let settings = Settings {
            classes: vec![class(EffectClass::Idempotent, DeduplicationScope::All); classes],
            tenants: vec![tenant(10.0); tenants],
            ..settings()
        };
        let mut proxy = Proxy::new(settings, &endpoints(10));
        prop_assert_eq!(proxy.balancer.restore(&learned), classes == 1 && tenants == 0);
    }
}
