//! A copy that goes on from what another has learned, copies that serve as one for a while, and
//! counts that follow the list.

mod common;
use common::*;
use dewrun_balancer::*;
use proptest::prelude::*;

/// A copy with a count cut to well under what a fresh one admits.
fn taught() -> Proxy {
    let mut proxy = Proxy::new(settings(), &endpoints(10));
    proxy.rounds(6, 60, 3_000.0, Outcome::Ok);
    proxy
}

fn fresh() -> Proxy {
    let mut proxy = Proxy::new(settings(), &endpoints(10));
    // Both run by one clock.
    proxy.now = taught().now;
    proxy
}

/// How many calls it sends at once. They stay out, so a copy is asked once.
fn room(mut proxy: Proxy) -> usize {
    (0..500)
        .filter(|_| proxy.ask(0, 0, 4_000.0).is_some())
        .count()
}

#[test]
fn a_successor_admits_what_its_predecessor_would() {
    let (old, mut new) = (taught(), fresh());
    assert!(new.balancer.restore(&old.balancer.snapshot()));
    let (old, new, blind) = (room(old), room(new), room(fresh()));
    assert!(old.abs_diff(new) <= 1, "{old} before, {new} after");
    assert!(
        blind > 2 * new,
        "a copy that knows nothing admits {blind}: the test would show nothing"
    );
}

#[test]
fn a_successor_leaves_out_what_its_predecessor_did() {
    let mut old = Proxy::new(settings(), &endpoints(4));
    for _ in 0..200 {
        old.now += 20.0;
        let mut out = old.ask(0, 0, 4_000.0);
        while let Some(sent) = out {
            let outcome = if sent.to == 1 {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            };
            out = old.end(sent, outcome);
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
    let to_it = (0..20)
        .filter(|_| new.ask(0, 0, 4_000.0).is_some_and(|sent| sent.to == 1))
        .count();
    assert!(to_it <= 1, "{to_it} calls but for a trial");
    // One that has started anew since is not the one that failed.
    let restarted = EndpointInfo {
        started_at: Some(old.now),
        ..endpoint(1)
    };
    let mut later = Proxy::new(settings(), &[&[restarted], &endpoints(4)[1..]].concat());
    assert!(later.balancer.restore(&old.balancer.snapshot()));
    assert_eq!(later.balancer.unavailable_endpoint_count(later.now), 0);
}

#[test]
fn calls_elsewhere_count_while_they_are_told() {
    let alone = room(taught());
    let calls = alone as f64 - 3.0;
    let beside = |told: &[(usize, &[f64])]| {
        let mut proxy = taught();
        told.iter()
            .for_each(|(others, out)| proxy.balancer.set_overlapping_processes(*others, out));
        room(proxy)
    };
    let out = [calls, 0.0, calls];
    assert!(beside(&[(1, &out)]).abs_diff(3) <= 1);
    assert!(
        beside(&[(1, &out), (0, &[])]).abs_diff(alone) <= 1,
        "they have gone"
    );
}

#[test]
fn counts_follow_the_room_of_the_list_both_ways() {
    let all = room(taught());
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
    let told = |lists: &[Vec<EndpointInfo>], later: Millis| {
        let mut proxy = taught();
        lists
            .iter()
            .for_each(|list| proxy.list(ListKind::Full, list));
        proxy.now += later;
        room(proxy)
    };
    let half = told(&[with(5)], 0.0);
    assert!(
        half.abs_diff(all / 2) <= 1,
        "{half} of {all} with half of the endpoints"
    );
    let again = told(&[with(5), with(0)], 0.0);
    assert!(
        again.abs_diff(all) <= 1,
        "{again} of {all} when they are back"
    );
    // Successors of five that are cold have three tenths of their room, and grow into the rest.
    let start = taught().now;
    let cold = |n: u32| EndpointInfo {
        started_at: Some(start),
        ..endpoint(n + 20)
    };
    let replaced: Vec<EndpointInfo> = endpoints(5).into_iter().chain((1..=5).map(cold)).collect();
    let part = told(std::slice::from_ref(&replaced), 0.0) as f64 / all as f64;
    assert!(
        (0.45..0.8).contains(&part),
        "{part} of the room while half is cold"
    );
    let warm = told(&[replaced], 9_000.0);
    assert!(
        warm.abs_diff(all) <= 1,
        "{warm} of {all} when they are warm"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn what_does_not_fit_changes_nothing(at in 0usize..5_000, byte in 0u8..128) {
        let learned = taught().balancer.snapshot();
        let mut spoilt = learned.clone().into_bytes();
        let at = at % spoilt.len();
        spoilt[at] = byte;
        let spoilt = String::from_utf8(spoilt).expect("one byte of ASCII for another");
        for text in [&spoilt, &learned[..at]] {
            let mut proxy = fresh();
            if proxy.balancer.restore(text) {
                // It still reads as what a copy can know: it must serve with it, now or once calls
                // are answered in time.
                proxy.rounds(40, 2, 100.0, Outcome::Ok);
                prop_assert!(proxy.admitted(4) > 0);
            } else {
                prop_assert_eq!(room(proxy), room(fresh()));
            }
        }
    }

    #[test]
    fn other_settings_are_not_gone_on_from(classes in 1usize..4, tenants in 0usize..3) {
        let learned = taught().balancer.snapshot();
        let settings = Settings {
            classes: vec![class(EffectClass::Idempotent, DeduplicationScope::All); classes],
            tenants: vec![tenant(10.0); tenants],
            ..settings()
        };
        let mut proxy = Proxy::new(settings, &endpoints(10));
        prop_assert_eq!(proxy.balancer.restore(&learned), classes == 1 && tenants == 0);
    }
}
