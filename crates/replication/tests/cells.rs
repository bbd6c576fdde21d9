//! Tests of the assignment of keys to cells.

use dewrun_replication::cells::{Cells, Millis};
use proptest::prelude::{any, prop, prop_assert, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;

const WINDOW: Millis = 5_000.0;

fn cells_of_keys(cells: &Cells, now: Millis) -> Vec<Option<u16>> {
    (0..400)
        .map(|key| cells.cell_of_key(now, key * 7_919, WINDOW))
        .collect()
}

#[test]
fn all_processes_assign_keys_to_the_same_cells_evenly() {
    let (mut one, mut other) = (Cells::default(), Cells::default());
    one.update(0.0, [1, 2, 3, 4].into_iter(), WINDOW);
    other.update(99.0, [4, 2, 1, 3].into_iter(), WINDOW);
    assert_eq!(cells_of_keys(&one, 1.0), cells_of_keys(&other, 100.0));
    for cell in 1..=4 {
        let count = cells_of_keys(&one, 1.0)
            .iter()
            .filter(|of| **of == Some(cell))
            .count();
        assert!((70..130).contains(&count), "{cell}: {count} of 400");
    }
    assert_eq!(Cells::default().cell_of_key(0.0, 1, WINDOW), None);
}

#[test]
fn a_key_moves_only_after_the_deduplication_window() {
    let mut cells = Cells::default();
    cells.update(0.0, [1, 2].into_iter(), WINDOW);
    let before = cells_of_keys(&cells, 10.0);
    cells.update(100.0, [1, 2, 3].into_iter(), WINDOW);
    let during = cells_of_keys(&cells, 100.0 + WINDOW - 1.0);
    let after = cells_of_keys(&cells, 100.0 + WINDOW);
    assert!(after.contains(&Some(3)));
    for ((before, during), after) in before.iter().zip(&during).zip(&after) {
        let moves = *after == Some(3);
        assert_eq!(moves, before != after, "keys move only to the new cell");
        assert_eq!(
            *during,
            if moves { Some(u16::MAX) } else { *before },
            "keys that move have no usable cell during the window"
        );
    }
    cells.update(9_000.0, [2, 3].into_iter(), WINDOW);
    assert_eq!(
        cells_of_keys(&cells, 9_000.0 + WINDOW - 1.0),
        after,
        "a lost cell keeps its keys during the window"
    );
    let without = cells_of_keys(&cells, 9_000.0 + WINDOW);
    assert!(!without.contains(&Some(1)));
    assert!(
        after
            .iter()
            .zip(&without)
            .all(|(a, b)| *a == Some(1) || a == b),
        "the keys of the other cells do not move"
    );
    cells.update(9_500.0, [1, 2, 3].into_iter(), WINDOW);
    assert_eq!(
        cells_of_keys(&cells, 9_501.0),
        after,
        "a cell that returns within the window keeps its keys"
    );
}

/// Guards against a key that runs in two cells within its window: where another class has a longer
/// window, a cell that returned was still known, and took keys that had moved meanwhile.
#[test]
fn a_cell_that_returns_waits_for_the_keys_that_moved() {
    const LONGER_WINDOW: Millis = 4.0 * WINDOW;
    let mut cells = Cells::default();
    cells.update(0.0, [1, 2].into_iter(), LONGER_WINDOW);
    let before = cells_of_keys(&cells, 0.0);
    let longer = |cells: &Cells, now, key| cells.cell_of_key(now, key, LONGER_WINDOW);
    let key = (0..).find(|key| longer(&cells, 0.0, *key) == Some(1));
    let key = key.expect("a key of the cell");
    cells.update(100.0, [2].into_iter(), LONGER_WINDOW);
    let returned_at = 200.0 + WINDOW;
    assert!(!cells_of_keys(&cells, returned_at).contains(&Some(1)));
    cells.update(returned_at, [1, 2].into_iter(), LONGER_WINDOW);
    let moved = cells_of_keys(&cells, returned_at);
    assert!(!moved.contains(&Some(1)) && moved.contains(&Some(u16::MAX)));
    assert_eq!(
        longer(&cells, returned_at, key),
        Some(1),
        "it has not moved"
    );
    // A short absence meanwhile moves no key, and shortens no wait.
    cells.update(returned_at + 10.0, [2].into_iter(), LONGER_WINDOW);
    cells.update(returned_at + 20.0, [1, 2].into_iter(), LONGER_WINDOW);
    assert_eq!(cells_of_keys(&cells, returned_at + WINDOW - 1.0), moved);
    assert_eq!(cells_of_keys(&cells, returned_at + WINDOW), before);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, rng_seed: RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// The same where two classes have different windows.
    #[test]
    fn a_key_has_at_most_one_ready_cell_within_the_window_of_its_class(
        lists in prop::collection::vec((0.0f64..4_000.0, prop::collection::btree_set(0u16..4, 0..4)), 1..30),
        key in any::<u64>(),
    ) {
        for window in [1_000.0, 3_000.0, 8_000.0] {
            let mut cells = Cells::default();
            let mut now = 0.0;
            let mut sent: Vec<(Millis, u16)> = Vec::new();
            for (gap, ready) in &lists {
                cells.update(now, ready.iter().copied(), 8_000.0);
                for at in [now, now + gap * 0.9] {
                    if let Some(cell) = cells.cell_of_key(at, key, window).filter(|cell| ready.contains(cell)) {
                        let moved = sent.iter().any(|(before, to)| *to != cell && at - before < window);
                        prop_assert!(!moved, "{cell} at {at} after {:?}", sent);
                        sent.push((at, cell));
                    }
                }
                now += gap;
            }
        }
    }
}

#[test]
fn a_longer_window_of_earlier_settings_counts_until_it_has_passed() {
    let mut cells = Cells::default();
    cells.update(0.0, [1, 2].into_iter(), 2.0 * WINDOW);
    let before = cells_of_keys(&cells, 10.0);
    cells.change_window(10.0, 2.0 * WINDOW, WINDOW);
    cells.update(10.0, [2].into_iter(), WINDOW);
    // A further change neither ends nor prolongs it.
    cells.change_window(20.0, WINDOW, WINDOW / 2.0);
    let until = 10.0 + 2.0 * WINDOW;
    assert_eq!(cells_of_keys(&cells, until - 1.0), before);
    assert_eq!(cells_of_keys(&cells, until), vec![Some(2); before.len()]);
    cells.update(until, [].into_iter(), 0.0);
    assert_eq!(cells.cell_of_key(until, 1, WINDOW), None, "none is needed");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, rng_seed: RngSeed::Fixed(70), ..ProptestConfig::default() })]

    /// Within the window in which a key was sent it has at most one ready cell, whatever a series of
    /// reloads makes of the window and the cells.
    #[test]
    fn a_key_has_at_most_one_ready_cell_within_a_window_over_reloads(
        reloads in prop::collection::vec(
            (0.0f64..4_000.0, prop::collection::btree_set(0u16..4, 0..4), 0usize..4), 1..30),
        key in any::<u64>(),
    ) {
        const WINDOWS: [Millis; 4] = [0.0, 1_000.0, 3_000.0, 8_000.0];
        let mut cells = Cells::default();
        let mut now = 0.0;
        let mut window = 0.0;
        let mut sent: Vec<(Millis, Millis, u16)> = Vec::new();
        for (gap, ready, next) in reloads {
            cells.change_window(now, window, WINDOWS[next]);
            window = WINDOWS[next];
            cells.update(now, ready.iter().copied(), window);
            for at in [now, now + gap * 0.9] {
                if window == 0.0 {
                    continue;
                }
                if let Some(cell) = cells.cell_of_key(at, key, window).filter(|cell| ready.contains(cell)) {
                    let moved = sent.iter().any(|(before, window, to)| *to != cell && at - before < *window);
                    prop_assert!(!moved, "{cell} at {at}, window {window}, after {:?}", sent);
                    sent.push((at, window, cell));
                }
            }
            now += gap;
        }
    }
}

proptest! {
    /// Within a deduplication window a key has at most one ready cell, however cells are added and
    /// lost.
    #[test]
    fn a_key_has_at_most_one_ready_cell_within_a_window(
        lists in prop::collection::vec((0.0f64..4_000.0, prop::collection::btree_set(0u16..4, 0..4)), 1..20),
        key in any::<u64>(),
    ) {
        let mut cells = Cells::default();
        let mut now = 0.0;
        let mut sent: Vec<(Millis, u16)> = Vec::new();
        for (gap, ready) in lists {
            cells.update(now, ready.iter().copied(), WINDOW);
            for at in [now, now + gap * 0.9] {
                if let Some(cell) = cells.cell_of_key(at, key, WINDOW).filter(|cell| ready.contains(cell)) {
                    let moved = sent.iter().any(|(before, to)| *to != cell && at - before < WINDOW);
                    prop_assert!(!moved, "{cell} at {at} after {:?}", sent);
                    sent.push((at, cell));
                }
            }
            now += gap;
        }
    }
}
