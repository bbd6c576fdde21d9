use super::*;
use std::net::{IpAddr, Ipv4Addr};

const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 80);
const ENDPOINT: EndpointId = 1;
const OTHER: EndpointId = 2;

fn earn(record: &UnsolicitedBytes, now: Instant) {
    for _ in 0..MIN_QUIET_DELAYS {
        assert!(!record.has_earned_short_delays(ENDPOINT, now));
        record.record_quiet_delay(ENDPOINT, true, now);
    }
    assert!(record.has_earned_short_delays(ENDPOINT, now));
}

/// Guards against a short reuse delay after the first responses of an endpoint.
#[test]
fn only_quiet_long_delays_earn_short_delays() {
    let (record, now) = (UnsolicitedBytes::default(), Instant::now());
    for _ in 0..100 {
        record.record_quiet_delay(ENDPOINT, false, now);
    }
    earn(&record, now);
    assert!(!record.has_earned_short_delays(OTHER, now));
}

/// Guards against a short reuse delay directly after the 30 s of single use: an endpoint whose
/// unsolicited bytes are forgotten has to earn it again.
#[test]
fn unsolicited_bytes_revoke_short_delays() {
    let (record, begun) = (UnsolicitedBytes::default(), Instant::now());
    earn(&record, begun);
    record.record(ENDPOINT, ADDRESS, begun);
    let last = begun + SINGLE_USE_DURATION - Duration::from_nanos(1);
    // This is a connection that was idle meanwhile.
    record.record_quiet_delay(ENDPOINT, true, last);
    assert!(record.is_single_use(ENDPOINT, last));
    assert!(!record.has_earned_short_delays(ENDPOINT, last));
    let forgotten = begun + SINGLE_USE_DURATION;
    assert!(!record.is_single_use(ENDPOINT, forgotten));
    earn(&record, forgotten);
}

/// Guards against short delays for a process that has replaced another, and against a record that
/// grows with each endpoint that ever existed.
#[test]
fn evidence_is_forgotten_when_an_endpoint_changes_or_it_expires() {
    let (record, now) = (UnsolicitedBytes::default(), Instant::now());
    earn(&record, now);
    record.forget_quiet_delays(ENDPOINT);
    earn(&record, now);
    record.expire(now + QUIET_RECORD_TTL - Duration::from_nanos(1));
    assert_eq!(record.evidence.borrow().len(), 1);
    record.expire(now + QUIET_RECORD_TTL);
    assert!(record.evidence.borrow().is_empty());
    record.record(ENDPOINT, ADDRESS, now);
    record.forget_quiet_delays(ENDPOINT);
    assert!(
        record.is_single_use(ENDPOINT, now),
        "unsolicited bytes are not forgotten"
    );
    record.expire(now + SINGLE_USE_DURATION);
    assert!(record.evidence.borrow().is_empty());
}
