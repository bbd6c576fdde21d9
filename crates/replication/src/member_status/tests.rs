//! Tests of the precedence and expiry of reports.

use super::{report_status, status_from_peers, MemberState, MemberStatus, MEMBER_STATUS_TTL_US};
use crate::expiry::remove_expired;
use crate::test_fleet::store;

fn status(started_ms: u64, state: MemberState) -> MemberStatus {
    MemberStatus { started_ms, state }
}

#[test]
fn the_report_with_the_latest_start_then_the_most_restrictive_takes_precedence_until_it_expires() {
    let mut own = store(9);
    let reports = [
        (1, status(10, MemberState::Gone)),
        (2, status(20, MemberState::Ready)),
        (3, status(20, MemberState::Draining)),
    ];
    for (origin, report) in reports {
        let mut other = store(origin);
        let delta = report_status(&mut other, 0, "shop/a", report).expect("a changed report");
        assert_eq!(
            report_status(&mut other, 5, "shop/a", report),
            None,
            "the report is unchanged"
        );
        own.merge(1, delta);
    }
    report_status(&mut own, 1, "shop/a", status(99, MemberState::Gone));
    let status_of_peers = status_from_peers(&own, 2, "shop/a");
    let expected = status(20, MemberState::Draining);
    assert_eq!(status_of_peers, Some(expected), "the own report is ignored");
    assert_eq!(
        status_from_peers(&own, 2 + MEMBER_STATUS_TTL_US, "shop/a"),
        None
    );
    remove_expired(&mut own, 2 + MEMBER_STATUS_TTL_US);
    assert_eq!(
        own.len(),
        0,
        "the own report of a member that is gone is removed too"
    );
    report_status(&mut own, 1, "shop/a", status(99, MemberState::Draining));
    remove_expired(&mut own, 2 + MEMBER_STATUS_TTL_US);
    assert_eq!(own.len(), 1, "the own report of an existing member is kept");
}
