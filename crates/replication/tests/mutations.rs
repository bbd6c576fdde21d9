//! Fuzzing of snapshots with a modified body and a valid checksum, as another build or manual
//! editing can produce them.

use dewrun_replication::member_status::status_from_peers;
use dewrun_replication::orders::{orders_in_force, place_order, DesiredState, NewOrder};
use dewrun_replication::snapshot::{self, SnapshotOwner};
use dewrun_replication::store::{Store, StoreLimits};
use dewrun_replication::Origin;
use dewrun_test_support::{mutation_count, unhex, Mutator};
use std::path::Path;

const SEED: u64 = 20_261_203;
const DEFAULT_SNAPSHOTS: usize = 5_000;
/// Size of the magic number and the format version.
const PREFIX_BYTES: usize = 9;
const CHECKSUM_BYTES: usize = 32;
const OWNER: SnapshotOwner = SnapshotOwner {
    fleet: "prairie",
    process: "i0",
};
/// One second after the golden snapshot was taken.
const NOW_MS: u64 = 1_700_000_001_000;
const NOW_US: u64 = 2_000_000;

fn golden() -> Vec<u8> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/snapshot.txt");
    let hex_digits = std::fs::read_to_string(file).expect("the golden file");
    unhex(hex_digits.trim())
}

/// Guards against a state file that prevents the process from starting or makes its agent panic
/// later.
#[test]
fn mutated_snapshots_are_restored_or_rejected() {
    let golden = golden();
    let mut mutator = Mutator::new(SEED);
    let (mut read, mut rejected) = (0, 0);
    for number in 0..mutation_count(DEFAULT_SNAPSHOTS) {
        let mut body = golden[PREFIX_BYTES + CHECKSUM_BYTES..].to_vec();
        mutator.mutate_bytes(&mut body);
        let mut bytes = golden[..PREFIX_BYTES].to_vec();
        bytes.extend_from_slice(blake3::hash(&body).as_bytes());
        bytes.extend_from_slice(&body);
        let mut store = Store::new(Origin(8), StoreLimits::DEFAULT);
        match snapshot::read(&mut store, NOW_US, &bytes, OWNER, NOW_MS) {
            Ok(_) => {
                read += 1;
                use_store(&mut store);
            }
            Err(error) => {
                rejected += 1;
                assert!(!error.to_string().is_empty(), "mutation {number}");
                assert_eq!(store.len(), 0, "mutation {number}");
            }
        }
    }
    assert!(read > 0 && rejected > 0, "{read} {rejected}");
}

/// Uses a restored store as the agent does.
fn use_store(store: &mut Store) {
    let _ = orders_in_force(store);
    let _ = status_from_peers(store, NOW_US, "shop/c");
    let order = NewOrder {
        target: "shop/a",
        desired_state: DesiredState::Drain,
        operator: "ann",
        given_at_ms: NOW_MS,
    };
    let mut other = Store::new(Origin(9), StoreLimits::DEFAULT);
    other.merge(NOW_US, place_order(store, NOW_US, order));
    let written = snapshot::write(store, NOW_US, OWNER, NOW_MS);
    let mut restored = Store::new(Origin(10), StoreLimits::DEFAULT);
    let read = snapshot::read(&mut restored, NOW_US, &written, OWNER, NOW_MS);
    assert!(read.is_ok(), "{read:?}");
}
