//! Tests of the assignment of keys to cells.

use dewrun_replication::cells::{Cells, CellsByClass, Millis};
use proptest::prelude::{any, prop, prop_assert, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

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

fn cells_by_class(now: Millis, windows: &[(&str, Millis)]) -> CellsByClass {
    let mut cells = CellsByClass::default();
    cells.set_windows(now, &by_name(windows));
    cells
}

fn by_name(windows: &[(&str, Millis)]) -> BTreeMap<String, Millis> {
    let windows = windows.iter().filter(|(_, window)| *window > 0.0);
    windows
        .map(|(name, window)| (name.to_string(), *window))
        .collect()
}

fn cells_of_class(cells: &CellsByClass, now: Millis, class: &str) -> Vec<Option<u16>> {
    (0..400)
        .map(|key| cells.cell_of_key(now, class, key * 7_919))
        .collect()
}

/// Guards against a key that runs in two cells within its window: where another class has a longer
/// window, a cell that returned was still known, and took keys that had moved meanwhile.
#[test]
fn a_cell_that_returns_waits_for_the_keys_that_moved() {
    let mut cells = cells_by_class(0.0, &[("short", WINDOW), ("long", 4.0 * WINDOW)]);
    cells.update(0.0, [1, 2].into_iter());
    let before = cells_of_class(&cells, 0.0, "short");
    cells.update(100.0, [2].into_iter());
    let returned_at = 200.0 + WINDOW;
    assert!(!cells_of_class(&cells, returned_at, "short").contains(&Some(1)));
    cells.update(returned_at, [1, 2].into_iter());
    let moved = cells_of_class(&cells, returned_at, "short");
    assert!(!moved.contains(&Some(1)) && moved.contains(&Some(u16::MAX)));
    let long = cells_of_class(&cells, returned_at, "long");
    assert_eq!(long, before, "its keys have not moved");
    // A short absence meanwhile moves no key, and shortens no wait.
    cells.update(returned_at + 10.0, [2].into_iter());
    cells.update(returned_at + 20.0, [1, 2].into_iter());
    let until = returned_at + WINDOW;
    assert_eq!(cells_of_class(&cells, until - 1.0, "short"), moved);
    assert_eq!(cells_of_class(&cells, until, "short"), before);
}

#[test]
fn a_longer_window_of_earlier_settings_counts_until_it_has_passed() {
    let mut cells = cells_by_class(0.0, &[("a", 2.0 * WINDOW)]);
    cells.update(0.0, [1, 2].into_iter());
    let before = cells_of_class(&cells, 10.0, "a");
    cells.set_windows(10.0, &by_name(&[("a", WINDOW)]));
    cells.update(10.0, [2].into_iter());
    // A further change neither ends nor prolongs it.
    cells.set_windows(20.0, &by_name(&[("a", WINDOW / 2.0)]));
    let until = 10.0 + 2.0 * WINDOW;
    assert_eq!(cells_of_class(&cells, until - 1.0, "a"), before);
    assert_eq!(
        cells_of_class(&cells, until, "a"),
        vec![Some(2); before.len()]
    );
}

/// Guards against a renamed class whose keys go elsewhere within the window of its earlier name.
#[test]
fn a_class_with_a_new_name_takes_over_the_cells_of_one_that_is_left_out() {
    let mut cells = cells_by_class(0.0, &[("a", WINDOW), ("b", WINDOW / 2.0)]);
    cells.update(0.0, [1, 2].into_iter());
    let before = cells_of_class(&cells, 0.0, "a");
    cells.update(100.0, [2].into_iter());
    cells.set_windows(200.0, &by_name(&[("c", WINDOW / 2.0)]));
    cells.update(200.0, [2].into_iter());
    assert_eq!(cells_of_class(&cells, 99.0 + WINDOW, "c"), before);
    assert_eq!(cells_of_class(&cells, 200.0, "a"), before);
}

/// Sends a key of a class if it has a ready cell, and returns whether it has none in another one within
/// the window in which it was sent.
fn send_once(
    cells: &CellsByClass,
    (now, class, window): (Millis, &str, Millis),
    key: u64,
    ready: &BTreeSet<u16>,
    sent: &mut Vec<(Millis, Millis, u16)>,
) -> bool {
    let cell = cells.cell_of_key(now, class, key);
    let Some(cell) = cell.filter(|cell| window > 0.0 && ready.contains(cell)) else {
        return true;
    };
    let has_moved = |(at, window, to): &(Millis, Millis, u16)| *to != cell && now - at < *window;
    let is_single = !sent.iter().any(has_moved);
    sent.push((now, window, cell));
    is_single
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, rng_seed: RngSeed::Fixed(70), ..ProptestConfig::default() })]

    /// Within the window in which a key was sent it has at most one ready cell, whatever a series of
    /// reloads makes of the cells and of the windows of two classes.
    #[test]
    fn a_key_has_at_most_one_ready_cell_within_a_window_over_reloads(
        reloads in prop::collection::vec(
            (0.0f64..4_000.0, prop::collection::btree_set(0u16..4, 0..4), 0usize..4, 0usize..4), 1..30),
        key in any::<u64>(),
    ) {
        const WINDOWS: [Millis; 4] = [0.0, 1_000.0, 3_000.0, 8_000.0];
        let mut cells = CellsByClass::default();
        let mut now = 0.0;
        let mut sent = [Vec::new(), Vec::new()];
        for (gap, ready, a, b) in reloads {
            let windows = [("a", WINDOWS[a]), ("b", WINDOWS[b])];
            cells.set_windows(now, &by_name(&windows));
            cells.update(now, ready.iter().copied());
            for at in [now, now + gap * 0.9] {
                for ((class, window), sent) in windows.iter().zip(&mut sent) {
                    prop_assert!(send_once(&cells, (at, class, *window), key, &ready, sent), "{class} at {at}: {sent:?}");
                }
            }
            now += gap;
        }
    }

    /// The same without reloads, for three classes.
    #[test]
    fn a_key_has_at_most_one_ready_cell_within_the_window_of_its_class(
        lists in prop::collection::vec((0.0f64..4_000.0, prop::collection::btree_set(0u16..4, 0..4)), 1..30),
        key in any::<u64>(),
    ) {
        let windows = [("a", 1_000.0), ("b", 3_000.0), ("c", 8_000.0)];
        let mut cells = cells_by_class(0.0, &windows);
        let mut now = 0.0;
        let mut sent = [Vec::new(), Vec::new(), Vec::new()];
        for (gap, ready) in lists {
            cells.update(now, ready.iter().copied());
            for at in [now, now + gap * 0.9] {
                for ((class, window), sent) in windows.iter().zip(&mut sent) {
                    prop_assert!(send_once(&cells, (at, class, *window), key, &ready, sent), "{class} at {at}: {sent:?}");
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
