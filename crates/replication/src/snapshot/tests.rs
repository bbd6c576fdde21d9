//! Reading and writing snapshots.

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
fn a_snapshot_is_read_as_it_was_and_older() {
    let bytes = write(&filled_store(), 10, OWNER, 1_000);
    let back = read_new(&bytes, OWNER, 3_000).expect("it is sound");
    assert_eq!(orders_in_force(&back), orders_in_force(&filled_store()));
    let written_at = back
        .entries_of_kind(Kind::ORDER)
        .map(|stored| stored.entry.written_at)
        .max();
    assert_eq!(
        written_at,
        Some(-2_000_003),
        "two seconds on the disk, and 3 us before"
    );
}

#[test]
fn a_snapshot_cut_or_changed_at_any_byte_is_malformed() {
    let bytes = write(&filled_store(), 10, OWNER, 1_000);
    for end in 0..bytes.len() {
        assert!(
            read_new(&bytes[..end], OWNER, 1_000).is_err(),
            "cut at {end} of {}",
            bytes.len()
        );
    }
    for at in 0..bytes.len() {
        let mut other = bytes.clone();
        other[at] ^= 0x10;
        assert!(read_new(&other, OWNER, 1_000).is_err(), "changed at {at}");
    }
    let longer = [&bytes[..], b"x"].concat();
    assert_eq!(
        read_new(&longer, OWNER, 1_000).err(),
        Some(SnapshotError::Malformed)
    );
}

#[test]
fn a_snapshot_of_another_owner_time_or_version_is_not_read() {
    let bytes = write(&filled_store(), 10, OWNER, DAY_MS);
    let why = |owner, now_ms| {
        read_new(&bytes, owner, now_ms)
            .err()
            .map(|why| why.to_string())
    };
    assert_eq!(why(OWNER, DAY_MS), None);
    assert_eq!(
        why(OWNER, DAY_MS - 60_000),
        None,
        "a clock that was set back by a minute"
    );
    assert_eq!(
        why(owner("prairie", "i1"), DAY_MS).as_deref(),
        Some("it is of i0 of fleet prairie")
    );
    assert_eq!(
        why(owner("plains", "i0"), DAY_MS).as_deref(),
        Some("it is of i0 of fleet prairie")
    );
    assert_eq!(
        why(OWNER, DAY_MS - 3_600_000).as_deref(),
        Some("it is 3600 s ahead of the clock")
    );
    assert_eq!(
        why(OWNER, 2 * DAY_MS).as_deref(),
        Some("it is 24 h old, too old to be merged")
    );
    assert_eq!(read_new(&[], OWNER, 0).err(), Some(SnapshotError::Empty));
    let mut later = bytes.clone();
    later[MAGIC.len()] = 2;
    assert_eq!(
        read_new(&later, OWNER, DAY_MS).err(),
        Some(SnapshotError::UnknownVersion { version: 2 })
    );
}
