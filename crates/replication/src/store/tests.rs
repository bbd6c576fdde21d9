//! Tests of merging.

use super::{Store, StoreLimits};
use crate::entry::{Delta, DeltaEntry, Key};
use crate::kind::Kind;
use crate::orders::{orders_in_force, place_order, DesiredState, NewOrder};
use crate::test_fleet::store;
use crate::version_vector::Origin;
use proptest::prelude::{any, prop, prop_assert_eq, proptest};

#[test]
fn malformed_deltas_and_entries_beyond_the_limits_are_rejected() {
    let mut store = Store::new(
        Origin(1),
        StoreLimits {
            max_entries: 3,
            max_origins: 2,
            max_bytes: 20,
        },
    );
    let entry = |version, kind, name: &str| DeltaEntry {
        version,
        key: Key {
            kind,
            name: name.into(),
        },
        value: vec![0; 4],
        age_us: 0,
    };
    let delta = |origin, after, up_to, entries| Delta {
        origin: Origin(origin),
        after,
        up_to,
        entries,
    };
    for malformed in [
        delta(2, 5, 5, vec![]),
        delta(2, 5, 4, vec![]),
        delta(2, 0, u64::MAX, vec![entry(1, Kind::MEMBER_STATUS, "a")]),
        delta(2, 3, 9, vec![entry(3, Kind::MEMBER_STATUS, "a")]),
        delta(2, 3, 9, vec![entry(10, Kind::MEMBER_STATUS, "a")]),
    ] {
        assert_eq!(store.merge(0, malformed), vec![]);
    }
    assert!(store.version_vector().is_empty());
    let many = (1..=10)
        .map(|n| entry(n, Kind::MEMBER_STATUS, &format!("m{n}")))
        .collect();
    assert_eq!(store.merge(0, delta(2, 0, 10, many)).len(), 3);
    assert_eq!(
        store
            .merge(0, delta(2, 10, 11, vec![entry(11, Kind::ORDER, "o")]))
            .len(),
        1,
        "an order is accepted"
    );
    let long = "x".repeat(21);
    assert!(store
        .merge(0, delta(2, 11, 12, vec![entry(12, Kind::ORDER, &long)]))
        .is_empty());
    store.merge(0, delta(3, 0, 1, vec![entry(1, Kind::MEMBER_STATUS, "a")]));
    store.merge(0, delta(4, 0, 1, vec![entry(1, Kind::MEMBER_STATUS, "a")]));
    assert_eq!((store.version_vector().len(), store.len()), (2, 4));
    assert_eq!(store.rejected_entries(), 1 + 1 + 1 + 7 + 1 + 1 + 1);
}

/// Entries of a kind that this version does not know are stored and forwarded unchanged.
#[test]
fn entries_of_unknown_kinds_are_forwarded_unchanged() {
    let (mut newer, mut own, mut third) = (store(1), store(2), store(3));
    let key = Key {
        kind: Kind(200),
        name: "x".into(),
    };
    own.merge(0, newer.write(0, key.clone(), vec![1, 2, 3]));
    for delta in own.deltas(0, 10) {
        third.merge(0, delta);
    }
    assert_eq!(
        third.get(Origin(1), &key).map(|entry| entry.value.clone()),
        Some(vec![1, 2, 3])
    );
}

/// Places orders at three stores, and returns deltas of single entries and of several entries.
fn deltas_of(writes: &[(u64, u8, bool)]) -> Vec<Delta> {
    let mut stores: Vec<Store> = (0..3).map(store).collect();
    let mut all = Vec::new();
    for (n, (origin, target, drain)) in writes.iter().enumerate() {
        let at = (*origin % 3) as usize;
        let desired_state = if *drain {
            DesiredState::Drain
        } else {
            DesiredState::Return
        };
        let delta = place_order(
            &mut stores[at],
            n as u64,
            NewOrder {
                target: &format!("p/{}", target % 3),
                desired_state,
                operator: "a",
                given_at_ms: 0,
            },
        );
        if n % 2 == 0 {
            let other = (at + 1) % 3;
            stores[other].merge(n as u64, delta.clone());
        }
        all.push(delta);
        if n % 3 == 0 {
            all.extend(stores[at].deltas(n as u64, 2));
        }
    }
    all.extend(
        stores
            .iter()
            .flat_map(|store| store.deltas(writes.len() as u64, 3)),
    );
    all
}

fn merged(all: &[Delta]) -> Store {
    let mut store = store(99);
    all.iter()
        .for_each(|delta| _ = store.merge(0, delta.clone()));
    store
}

proptest! {
    /// Deltas merged in any order, any number of times and in any grouping result in the same
    /// orders in force and the same known writes.
    #[test]
    fn merging_is_commutative_associative_and_idempotent(
        writes in prop::collection::vec((0u64..3, 0u8..3, any::<bool>()), 1..12),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        cut in any::<prop::sample::Index>(),
    ) {
        let all = deltas_of(&writes);
        let in_order = merged(&all);
        // A random selection with duplicates, followed by all deltas in reverse order.
        let mut shuffled: Vec<Delta> = picks.iter().map(|pick| all[pick.index(all.len())].clone()).collect();
        shuffled.extend(all.iter().rev().cloned());
        // Finally all deltas in their original order, which merges those that arrived before their
        // predecessors.
        shuffled.extend(all.iter().cloned());
        let other = merged(&shuffled);
        prop_assert_eq!(orders_in_force(&in_order), orders_in_force(&other));
        prop_assert_eq!(in_order.digest(), other.digest());
        // Two stores with different groups of deltas, of which one is merged into the other.
        let at = cut.index(all.len());
        let (mut left, right) = (merged(&all[..at]), merged(&all));
        right.deltas(0, 2).into_iter().for_each(|delta| _ = left.merge(0, delta));
        prop_assert_eq!(orders_in_force(&in_order), orders_in_force(&left));
        prop_assert_eq!(in_order.digest(), left.digest());
    }
}
