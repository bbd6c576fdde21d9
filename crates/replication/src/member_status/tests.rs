//! Which reports count, and for how long.

use super::{report_status, status_from_peers, MemberState, MemberStatus, MEMBER_STATUS_TTL_US};
use crate::expiry::forget_expired;
use crate::test_fleet::store;

fn status(started_ms: u64, state: MemberState) -> MemberStatus {
    MemberStatus { started_ms, state }
}

#[test]
fn the_latest_start_then_the_most_careful_report_counts_until_it_expires() {
    let mut own = store(9);
    let reports = [
        (1, status(10, MemberState::Gone)),
        (2, status(20, MemberState::Ready)),
        (3, status(20, MemberState::Draining)),
    ];
    for (origin, report) in reports {
        let mut other = store(origin);
        let delta = report_status(&mut other, 0, "shop/a", report).expect("it is new");
        assert_eq!(
            report_status(&mut other, 5, "shop/a", report),
            None,
            "nothing new"
        );
        own.merge(1, delta);
    }
    report_status(&mut own, 1, "shop/a", status(99, MemberState::Gone));
    let held = status_from_peers(&own, 2, "shop/a");
    let wanted = status(20, MemberState::Draining);
    assert_eq!(held, Some(wanted), "of others, not one's own");
    assert_eq!(
        status_from_peers(&own, 2 + MEMBER_STATUS_TTL_US, "shop/a"),
        None
    );
    forget_expired(&mut own, 2 + MEMBER_STATUS_TTL_US);
    assert_eq!(own.len(), 0, "nor one's own of what is gone");
    report_status(&mut own, 1, "shop/a", status(99, MemberState::Draining));
    forget_expired(&mut own, 2 + MEMBER_STATUS_TTL_US);
    assert_eq!(own.len(), 1, "one's own of what is there is known still");
}
