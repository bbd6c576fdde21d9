//! Tests of writing and reading snapshots.

use super::{read, write, SnapshotError, SnapshotOwner, MAGIC};
use crate::kind::Kind;
use crate::orders::{orders_in_force, place_order, DesiredState, NewOrder};
use crate::store::{Store, StoreLimits};
use crate::Origin;

const OWNER: SnapshotOwner = SnapshotOwner {
    fleet: "prairie",
    process: "i0",
};
const DAY_MS: u64 = 24 * 3_600 * 1_000;

fn owner(fleet: &'static str, process: &'static str) -> SnapshotOwner<'static> {
    SnapshotOwner { fleet, process }
}

fn filled_store() -> Store {
    let mut store = Store::new(Origin(7), StoreLimits::DEFAULT);
    place_order(
        &mut store,
        5,
        NewOrder {
            target: "shop/a",
            desired_state: DesiredState::Drain,
            operator: "ann",
            given_at_ms: 99,
        },
    );
    place_order(
        &mut store,
        6,
        NewOrder {
            target: "shop/b",
            desired_state: DesiredState::Drain,
            operator: "ann",
            given_at_ms: 99,
        },
    );
    place_order(
        &mut store,
        7,
        NewOrder {
            target: "shop/a",
            desired_state: DesiredState::Return,
            operator: "bob",
            given_at_ms: 100,
        },
    );
    store
}

fn read_new(bytes: &[u8], owner: SnapshotOwner, now_ms: u64) -> Result<Store, SnapshotError> {
    let mut store = Store::new(Origin(8), StoreLimits::DEFAULT);
    read(&mut store, 0, bytes, owner, now_ms).map(|_| store)
}

#[test]
fn a_restored_snapshot_has_the_same_orders_with_increased_ages() {
    let bytes = write(&filled_store(), 10, OWNER, 1_000);
    let restored = read_new(&bytes, OWNER, 3_000).expect("a valid snapshot");
    assert_eq!(orders_in_force(&restored), orders_in_force(&filled_store()));
    let written_at = restored
        .entries_of_kind(Kind::ORDER)
        .map(|stored| stored.entry.written_at)
        .max();
    assert_eq!(
        written_at,
        Some(-2_000_003),
        "two seconds in the snapshot, and 3 us before it was taken"
    );
}

#[test]
fn a_snapshot_truncated_or_modified_at_any_byte_is_rejected() {
    let bytes = write(&filled_store(), 10, OWNER, 1_000);
    for end in 0..bytes.len() {
        assert!(
            read_new(&bytes[..end], OWNER, 1_000).is_err(),
            "truncated at {end} of {}",
            bytes.len()
        );
    }
    for at in 0..bytes.len() {
        let mut modified = bytes.clone();
        modified[at] ^= 0x10;
        assert!(
            read_new(&modified, OWNER, 1_000).is_err(),
            "modified at {at}"
        );
    }
    let longer = [&bytes[..], b"x"].concat();
    assert_eq!(
        read_new(&longer, OWNER, 1_000).err(),
        Some(SnapshotError::Malformed)
    );
}

#[test]
fn a_snapshot_of_another_owner_time_or_version_is_rejected() {
    let bytes = write(&filled_store(), 10, OWNER, DAY_MS);
    let rejection = |owner, now_ms| {
        read_new(&bytes, owner, now_ms)
            .err()
            .map(|error| error.to_string())
    };
    assert_eq!(rejection(OWNER, DAY_MS), None);
    assert_eq!(
        rejection(OWNER, DAY_MS - 60_000),
        None,
        "the clock was set back by a minute"
    );
    assert_eq!(
        rejection(owner("prairie", "i1"), DAY_MS).as_deref(),
        Some("it belongs to process i0 of fleet prairie")
    );
    assert_eq!(
        rejection(owner("plains", "i0"), DAY_MS).as_deref(),
        Some("it belongs to process i0 of fleet prairie")
    );
    assert_eq!(
        rejection(OWNER, DAY_MS - 3_600_000).as_deref(),
        Some("it is 3600 s ahead of the clock")
    );
    assert_eq!(
        rejection(OWNER, 2 * DAY_MS).as_deref(),
        Some("it is 24 h old, too old to be merged")
    );
    assert_eq!(read_new(&[], OWNER, 0).err(), Some(SnapshotError::Empty));
    let mut newer = bytes.clone();
    newer[MAGIC.len()] = 2;
    assert_eq!(
        read_new(&newer, OWNER, DAY_MS).err(),
        Some(SnapshotError::UnknownVersion { version: 2 })
    );
}
