use super::*;

/// Guards against memory that grows with each endpoint that leaves the list while an attempt is in
/// flight, whose connection breaks afterwards.
#[test]
fn a_broken_connection_is_forgotten_once_no_retry_can_follow() {
    const ENDPOINT: EndpointId = 7;
    let limits = Limits::new(1_024, 64 << 20, 64 << 10);
    let upstream = Upstream::new(limits, 1_000.0, 30_000.0, Vec::new());
    let sent = Instant::now();
    upstream.record_broken(ENDPOINT);
    let broken_at = Instant::now();
    upstream.expire_broken(broken_at);
    assert!(upstream.may_be_replaced_since(ENDPOINT, sent));
    upstream.expire_broken(broken_at + BROKEN_CONNECTION_TTL);
    assert!(!upstream.may_be_replaced_since(ENDPOINT, sent));
    assert!(upstream.broken_at.borrow().is_empty());
}
