//! Groups of members by key.

use dewrun_replication::cells::*;
use proptest::prelude::*;

const W: Millis = 5_000.0;

fn of(cells: &Cells, now: Millis) -> Vec<Option<u16>> {
    (0..400)
        .map(|key| cells.of_key(now, key * 7_919, W))
        .collect()
}

#[test]
fn all_copies_choose_alike_and_evenly() {
    let (mut one, mut other) = (Cells::default(), Cells::default());
    one.list(0.0, [1, 2, 3, 4].into_iter(), W);
    other.list(99.0, [4, 2, 1, 3].into_iter(), W);
    assert_eq!(of(&one, 1.0), of(&other, 100.0));
    for cell in 1..=4 {
        let n = of(&one, 1.0).iter().filter(|of| **of == Some(cell)).count();
        assert!((70..130).contains(&n), "{cell}: {n} of 400");
    }
    assert_eq!(Cells::default().of_key(0.0, 1, W), None);
}

#[test]
fn a_key_moves_only_when_no_repeat_of_it_can_come() {
    let mut cells = Cells::default();
    cells.list(0.0, [1, 2].into_iter(), W);
    let before = of(&cells, 10.0);
    cells.list(100.0, [1, 2, 3].into_iter(), W);
    let during = of(&cells, 100.0 + W - 1.0);
    let after = of(&cells, 100.0 + W);
    assert!(after.contains(&Some(3)));
    for ((before, during), after) in before.iter().zip(&during).zip(&after) {
        let moves = *after == Some(3);
        assert_eq!(moves, before != after, "only to the new one");
        assert_eq!(
            *during,
            if moves { Some(u16::MAX) } else { *before },
            "those that move go nowhere meanwhile"
        );
    }
    cells.list(9_000.0, [2, 3].into_iter(), W);
    assert_eq!(
        of(&cells, 9_000.0 + W - 1.0),
        after,
        "one that is lost keeps its own"
    );
    let without = of(&cells, 9_000.0 + W);
    assert!(!without.contains(&Some(1)));
    assert!(
        after
            .iter()
            .zip(&without)
            .all(|(a, b)| *a == Some(1) || a == b),
        "the others' stay"
    );
    cells.list(9_500.0, [1, 2, 3].into_iter(), W);
    assert_eq!(of(&cells, 9_501.0), after, "one that is back soon goes on");
}

proptest! {
    /// Whatever comes and goes: within a window a key has one group that is ready at most.
    #[test]
    fn no_two_groups_within_a_window(
        lists in prop::collection::vec((0.0f64..4_000.0, prop::collection::btree_set(0u16..4, 0..4)), 1..20),
        key in any::<u64>(),
    ) {
        let mut cells = Cells::default();
        let mut now = 0.0;
        let mut sent: Vec<(Millis, u16)> = Vec::new();
        for (gap, ready) in lists {
            cells.list(now, ready.iter().copied(), W);
            for at in [now, now + gap * 0.9] {
                if let Some(cell) = cells.of_key(at, key, W).filter(|cell| ready.contains(cell)) {
                    let moved = sent.iter().any(|(before, to)| *to != cell && at - before < W);
                    prop_assert!(!moved, "{cell} at {at} after {:?}", sent);
                    sent.push((at, cell));
                }
            }
            now += gap;
        }
    }
}
