//! Compatibility with the snapshot of an earlier build, so that an upgraded process keeps its
//! operators' orders.

use dewrun_replication::member_status::{
    report_status, status_from_peers, MemberState, MemberStatus,
};
use dewrun_replication::orders::{orders_in_force, place_order, DesiredState, NewOrder};
use dewrun_replication::snapshot::{self, SnapshotOwner};
use dewrun_replication::store::{Store, StoreLimits};
use dewrun_replication::Origin;
use dewrun_test_support::{assert_golden, hex, unhex};
use std::path::{Path, PathBuf};

const OWNER: SnapshotOwner = SnapshotOwner {
    fleet: "prairie",
    process: "i0",
};
const TAKEN_MS: u64 = 1_700_000_000_000;

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Creates a store with superseded orders, concurrent orders and reports of member status.
fn store() -> Store {
    let mut other = Store::new(Origin(9), StoreLimits::DEFAULT);
    let concurrent = place_order(
        &mut other,
        3,
        NewOrder {
            target: "shop/b",
            desired_state: DesiredState::Return,
            operator: "cid",
            given_at_ms: TAKEN_MS - 4_000,
        },
    );
    let report = report_status(
        &mut other,
        4,
        "shop/c",
        MemberStatus {
            started_ms: TAKEN_MS - 60_000,
            state: MemberState::Draining,
        },
    );
    let mut store = Store::new(Origin(7), StoreLimits::DEFAULT);
    place_order(
        &mut store,
        5,
        NewOrder {
            target: "shop/a",
            desired_state: DesiredState::Drain,
            operator: "ann",
            given_at_ms: TAKEN_MS - 3_000,
        },
    );
    place_order(
        &mut store,
        6,
        NewOrder {
            target: "shop/b",
            desired_state: DesiredState::Drain,
            operator: "ann",
            given_at_ms: TAKEN_MS - 2_000,
        },
    );
    place_order(
        &mut store,
        7,
        NewOrder {
            target: "shop/a",
            desired_state: DesiredState::Return,
            operator: "bob",
            given_at_ms: TAKEN_MS - 1_000,
        },
    );
    report_status(
        &mut store,
        8,
        "shop/d",
        MemberStatus {
            started_ms: 0,
            state: MemberState::Gone,
        },
    );
    store.merge(9, concurrent);
    store.merge(9, report.expect("a changed report"));
    store
}

#[test]
fn a_snapshot_has_the_golden_bytes_and_is_restored_from_them() {
    let bytes = snapshot::write(&store(), 1_000_000, OWNER, TAKEN_MS);
    assert_golden(&file("snapshot.txt"), &format!("{}\n", hex(&bytes)));
    let golden = std::fs::read_to_string(file("snapshot.txt")).expect("the golden file");
    let mut restored = Store::new(Origin(8), StoreLimits::DEFAULT);
    let read = snapshot::read(
        &mut restored,
        2_000_000,
        &unhex(golden.trim()),
        OWNER,
        TAKEN_MS + 1_000,
    );
    assert_eq!(read, Ok(5));
    assert_eq!(orders_in_force(&restored), orders_in_force(&store()));
    let reported = |target| status_from_peers(&restored, 2_000_000, target);
    assert_eq!(
        reported("shop/c"),
        Some(MemberStatus {
            started_ms: TAKEN_MS - 60_000,
            state: MemberState::Draining
        })
    );
    assert_eq!(
        reported("shop/d"),
        Some(MemberStatus {
            started_ms: 0,
            state: MemberState::Gone
        })
    );
    assert_eq!(reported("shop/e"), None);
}
