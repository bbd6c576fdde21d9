//! The limiters: token buckets and limits on requests in flight.

use dewrun_budgets::limiter::{InFlightLimit, RateLimit, TokenBucket};
use dewrun_budgets::Micros;
use proptest::prelude::*;

const S: Micros = 1_000_000;

fn rate_limit(per_second: f64, burst: f64) -> RateLimit {
    RateLimit { per_second, burst }
}

fn spent(bucket: &mut TokenBucket, from: Micros, to: Micros) -> usize {
    (from..to)
        .step_by(1_000)
        .filter(|now| bucket.spend(*now).is_ok())
        .count()
}

#[test]
fn a_lease_raises_the_capacity_and_brings_no_tokens() {
    let mut bucket = TokenBucket::new(0);
    bucket.set_lease(0, rate_limit(10.0, 5.0), 9 * S);
    assert!(bucket.spend(0).is_err());
    assert_eq!(
        spent(&mut bucket, 5 * S, 5 * S + 1_000 * 10),
        5,
        "after a rest it has its burst"
    );
    bucket.set_lease(5 * S + 10_000, rate_limit(20.0, 50.0), 9 * S);
    assert!(bucket.spend(5 * S + 10_000).is_err());
}

#[test]
fn nothing_is_spent_after_the_lease_expired() {
    let mut bucket = TokenBucket::new(0);
    bucket.set_lease(0, rate_limit(100.0, 50.0), 2 * S);
    assert!(bucket.spend(S).is_ok());
    assert!(bucket.spend(2 * S).is_err());
    assert!(bucket.spend(60 * S).is_err());
    bucket.set_lease(60 * S, rate_limit(100.0, 50.0), 62 * S);
    assert!(
        bucket.spend(60 * S).is_err(),
        "what was left did not outlive the lease"
    );
    assert!(bucket.spend(60 * S + 20_000).is_ok());
}

#[test]
fn the_floor_outlives_the_lease() {
    let mut bucket = TokenBucket::new(0);
    bucket.set_floor(0, rate_limit(10.0, 2.0));
    bucket.set_lease(0, rate_limit(90.0, 18.0), 2 * S);
    assert_eq!(spent(&mut bucket, 0, 2 * S), 199);
    assert_eq!(spent(&mut bucket, 2 * S, 12 * S), 100);
}

#[test]
fn requests_in_flight_go_on_when_the_lease_shrinks() {
    let mut limit = InFlightLimit::default();
    limit.set_floor(1);
    limit.set_lease(2, S);
    assert!([0, 0, 0].iter().all(|now| limit.acquire(*now)) && !limit.acquire(0));
    limit.release();
    assert!(limit.acquire(S - 1) && !limit.acquire(S));
    assert_eq!((limit.in_flight(), limit.in_flight_beyond_floor()), (3, 2));
    limit.set_lease(5, 3 * S);
    assert!(limit.acquire(2 * S));
}

proptest! {
    /// Whatever leases come and go, no window has more requests than rate and burst allow.
    #[test]
    fn no_window_has_more_than_rate_and_burst(
        changes in prop::collection::vec((0u64..2_000_000, 0.0f64..1.0, 0u64..3_000_000), 1..20),
        asks in prop::collection::vec(0u64..20_000, 1..400),
    ) {
        let (rate, burst) = (100.0, 20.0);
        let mut bucket = TokenBucket::new(0);
        let (mut now, mut at, mut times) = (0, 0, Vec::new());
        let mut changes = changes.into_iter();
        let mut next = changes.next();
        for gap in asks {
            now += gap;
            while let Some((after, fraction, lasts)) = next.filter(|(after, ..)| at + after <= now) {
                at += after;
                bucket.set_lease(at.max(now - gap), rate_limit(rate * fraction, burst * fraction), at + lasts);
                next = changes.next();
            }
            if bucket.spend(now).is_ok() {
                times.push(now);
            }
        }
        for (i, from) in times.iter().enumerate() {
            for (j, to) in times.iter().enumerate().skip(i) {
                let most = burst + rate * (to - from) as f64 / 1e6;
                prop_assert!((j - i + 1) as f64 <= most + 1e-6);
            }
        }
    }
}
