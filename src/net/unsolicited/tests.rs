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

/// Guards against a short delay behind the first answers of an endpoint.
#[test]
fn only_long_delays_without_a_byte_earn_short_ones() {
    let (record, now) = (UnsolicitedBytes::default(), Instant::now());
    for _ in 0..100 {
        record.record_quiet_delay(ENDPOINT, false, now);
    }
    earn(&record, now);
    assert!(!record.has_earned_short_delays(OTHER, now));
}

/// Guards against the first late copy in 30 s: an endpoint whose unsolicited bytes are forgotten
/// begins anew.
#[test]
fn unsolicited_bytes_take_short_delays_back() {
    let (record, begun) = (UnsolicitedBytes::default(), Instant::now());
    earn(&record, begun);
    record.record(ENDPOINT, ADDRESS, begun);
    let last = begun + SINGLE_USE_TIME - Duration::from_nanos(1);
    // Of a connection that was idle meanwhile.
    record.record_quiet_delay(ENDPOINT, true, last);
    assert!(record.is_single_use(ENDPOINT, last));
    assert!(!record.has_earned_short_delays(ENDPOINT, last));
    let forgotten = begun + SINGLE_USE_TIME;
    assert!(!record.is_single_use(ENDPOINT, forgotten));
    earn(&record, forgotten);
}

/// Guards against trust in a process that has taken the place of another, and against a list that
/// grows with each endpoint that ever was.
#[test]
fn what_an_endpoint_has_shown_is_forgotten() {
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
    assert!(record.is_single_use(ENDPOINT, now), "a proof outlasts it");
    record.expire(now + SINGLE_USE_TIME);
    assert!(record.evidence.borrow().is_empty());
}
