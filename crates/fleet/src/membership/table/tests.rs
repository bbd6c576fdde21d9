//! Tests of the bucket digests.

use super::super::hash::hash_member;
use super::*;
use dewrun_budgets::Incarnation;

const TIMES: TransitionTimes = TransitionTimes {
    now: 0,
    suspicion_deadline: 0,
};

fn member(n: u16, started_ms: u64) -> Member {
    let (address, name) = (SocketAddr::from(([127, 0, 0, 1], n)), format!("m{n}"));
    Member {
        address,
        name,
        site: String::new(),
        started_ms,
        incarnation: Incarnation(u64::from(n)),
        refutations: 0,
    }
}

#[test]
fn salted_bucket_digests_detect_a_member_whose_hash_has_leading_zeros() {
    const SALTS: u64 = 50;
    // The hash of this member has two leading zero bytes, as that of one member in 65,536, so it
    // does not change the first two bytes of a sum.
    let member_with_zero_prefix = (0..2_000_000)
        .map(|started| member(2, started))
        .find(|member| hash_member(member) >> 48 == 0);
    let member_with_zero_prefix =
        member_with_zero_prefix.expect("one member in 65,536 has such a hash");
    let mut with = MemberTable::new(&member(1, 1));
    let without = MemberTable::new(&member(1, 1));
    let mut events = Vec::new();
    assert_eq!(
        with.apply_full(member_with_zero_prefix, TIMES, &mut events),
        UpdateOutcome::NewIncarnation
    );
    let detections = (0..SALTS)
        .filter(|salt| with.view().bucket_digests(*salt) != without.view().bucket_digests(*salt));
    assert!(detections.count() as u64 >= SALTS - 1);
}
