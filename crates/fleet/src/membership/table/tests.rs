//! Digests of buckets.

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
fn no_member_is_missed_by_the_digests_for_good() {
    const SALTS: u64 = 50;
    // Its hash adds nothing to the first two bytes of a sum: one member in 65,536.
    let faint = (0..2_000_000)
        .map(|started| member(2, started))
        .find(|member| hash_member(member) >> 48 == 0);
    let faint = faint.expect("one of so many");
    let mut with = MemberTable::new(&member(1, 1));
    let without = MemberTable::new(&member(1, 1));
    let mut events = Vec::new();
    assert_eq!(
        with.apply_full(faint, TIMES, &mut events),
        UpdateOutcome::NewIncarnation
    );
    let seen = (0..SALTS)
        .filter(|salt| with.view().bucket_digests(*salt) != without.view().bucket_digests(*salt));
    assert!(seen.count() as u64 >= SALTS - 1);
}
