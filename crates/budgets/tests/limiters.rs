//! Tests of the limiters: token buckets and limits on requests in flight.

use dewrun_budgets::limiter::{InFlightLimit, RateLimit, TokenBucket};
use dewrun_budgets::Micros;
use proptest::prelude::*;

const SECOND_US: Micros = 1_000_000;

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
fn a_lease_raises_the_capacity_and_adds_no_tokens() {
    let mut bucket = TokenBucket::new(0);
    bucket.set_lease(0, rate_limit(10.0, 5.0), 9 * SECOND_US);
    assert!(bucket.spend(0).is_err());
    assert_eq!(
        spent(&mut bucket, 5 * SECOND_US, 5 * SECOND_US + 1_000 * 10),
        5,
        "an idle bucket fills up to its burst"
    );
    bucket.set_lease(
        5 * SECOND_US + 10_000,
        rate_limit(20.0, 50.0),
        9 * SECOND_US,
    );
    assert!(bucket.spend(5 * SECOND_US + 10_000).is_err());
}

#[test]
fn nothing_is_spent_after_the_lease_expired() {
    let mut bucket = TokenBucket::new(0);
    bucket.set_lease(0, rate_limit(100.0, 50.0), 2 * SECOND_US);
    assert!(bucket.spend(SECOND_US).is_ok());
    assert!(bucket.spend(2 * SECOND_US).is_err());
    assert!(bucket.spend(60 * SECOND_US).is_err());
    bucket.set_lease(60 * SECOND_US, rate_limit(100.0, 50.0), 62 * SECOND_US);
    assert!(
        bucket.spend(60 * SECOND_US).is_err(),
        "the remaining tokens expired with the lease"
    );
    assert!(bucket.spend(60 * SECOND_US + 20_000).is_ok());
}

#[test]
fn the_floor_outlives_the_lease() {
    let mut bucket = TokenBucket::new(0);
    bucket.set_floor(0, rate_limit(10.0, 2.0));
    bucket.set_lease(0, rate_limit(90.0, 18.0), 2 * SECOND_US);
    assert_eq!(spent(&mut bucket, 0, 2 * SECOND_US), 199);
    assert_eq!(spent(&mut bucket, 2 * SECOND_US, 12 * SECOND_US), 100);
}

#[test]
fn requests_in_flight_continue_when_the_lease_shrinks() {
    let mut limit = InFlightLimit::default();
    limit.set_floor(1);
    limit.set_lease(2, SECOND_US);
    assert!([0, 0, 0].iter().all(|now| limit.acquire(*now)) && !limit.acquire(0));
    limit.release();
    assert!(limit.acquire(SECOND_US - 1) && !limit.acquire(SECOND_US));
    assert_eq!((limit.in_flight(), limit.in_flight_beyond_floor()), (3, 2));
    limit.set_lease(5, 3 * SECOND_US);
    assert!(limit.acquire(2 * SECOND_US));
}

proptest! {
    /// No sequence of leases admits more requests in any window than rate and burst allow.
    #[test]
    fn no_window_has_more_than_rate_and_burst(
        changes in prop::collection::vec((0u64..2_000_000, 0.0f64..1.0, 0u64..3_000_000), 1..20),
        request_gaps in prop::collection::vec(0u64..20_000, 1..400),
    ) {
        let (rate, burst) = (100.0, 20.0);
        let mut bucket = TokenBucket::new(0);
        let (mut now, mut changed_at, mut times) = (0, 0, Vec::new());
        let mut changes = changes.into_iter();
        let mut next = changes.next();
        for gap in request_gaps {
            now += gap;
            while let Some((delay, fraction, ttl)) = next.filter(|(delay, ..)| changed_at + delay <= now) {
                changed_at += delay;
                let lease = rate_limit(rate * fraction, burst * fraction);
                bucket.set_lease(changed_at.max(now - gap), lease, changed_at + ttl);
                next = changes.next();
            }
            if bucket.spend(now).is_ok() {
                times.push(now);
            }
        }
        for (i, from) in times.iter().enumerate() {
            for (j, to) in times.iter().enumerate().skip(i) {
                let allowed = burst + rate * (to - from) as f64 / 1e6;
                prop_assert!((j - i + 1) as f64 <= allowed + 1e-6);
            }
        }
    }
}
