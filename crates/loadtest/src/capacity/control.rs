//! What replication and budgets cost one real proxy in memory and processor time: the difference
//! between a proxy with `[fleet]` in its file and one without. The proxy is the only process of its
//! fleet, so the figures leave out what peers send.

use super::proxy::{FleetSetup, Proxy, Setup, FLEET, NAME};
use super::report::Axis;
use super::Sizes;
use dewrun_replication::entry::{Delta, DeltaEntry, Key};
use dewrun_replication::kind::Kind;
use dewrun_replication::member_status::{report_status, MemberState, MemberStatus};
use dewrun_replication::snapshot::{self, SnapshotOwner};
use dewrun_replication::store::{Store, StoreLimits};
use dewrun_replication::Origin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MEMBERS: usize = 33;
/// Entries that are held. Above 1,500 each of 1,500 origins has several.
const ENTRIES: [usize; 8] = [0, 50, 100, 200, 400, 800, 1_500, 10_000];
const MAX_ORIGINS: usize = 1_500;
const BUDGETS: [usize; 6] = [0, 1, 10, 50, 100, 200];
/// Longer than the time between two searches for expired entries.
const REST: Duration = Duration::from_millis(5_500);

/// Cost by entries of the replicated store, each of another origin, and by budgets.
pub fn control(program: &str, sizes: &Sizes) -> Vec<Axis> {
    let without: Vec<IdleFigures> = (0..sizes.runs)
        .map(|_| IdleFigures::measure(program))
        .collect();
    let setting =
        "a proxy with [fleet] that holds so many entries, less one without [fleet]; 33 members, nobody asks";
    let mut entries = Axis::new("control by entries", "entries", setting);
    for count in sizes.of(&ENTRIES) {
        for plain in &without {
            let fleet = FleetSetup {
                budgets: 0,
                snapshot: (count > 0).then(|| snapshot_of(count)),
            };
            measure(program, plain, fleet, count as f64, &mut entries);
        }
    }
    let setting =
        "a proxy with [fleet] that grants itself so many budgets, less one without [fleet]";
    let mut budgets = Axis::new("control by budgets", "budgets", setting);
    for count in sizes.of(&BUDGETS) {
        for plain in &without {
            let fleet = FleetSetup {
                budgets: count,
                snapshot: None,
            };
            measure(program, plain, fleet, count as f64, &mut budgets);
        }
    }
    vec![entries.fitted(), budgets.fitted()]
}

/// What a proxy costs while no request comes.
struct IdleFigures {
    resident_mb: f64,
    start_ms: f64,
    rest_cores: f64,
}

impl IdleFigures {
    fn measure(program: &str) -> IdleFigures {
        IdleFigures::of(&Proxy::start(program, &Setup::one_service(MEMBERS)))
    }

    fn of(proxy: &Proxy) -> IdleFigures {
        let start_ms = proxy.figures().processor_time().as_secs_f64() * 1e3;
        let rest_cores = proxy.rest(REST);
        IdleFigures {
            resident_mb: proxy.figures().resident_mb(),
            start_ms,
            rest_cores,
        }
    }
}

fn measure(program: &str, plain: &IdleFigures, fleet: FleetSetup, x: f64, axis: &mut Axis) {
    let proxy = Proxy::start(
        program,
        &Setup {
            fleet: Some(fleet),
            ..Setup::one_service(MEMBERS)
        },
    );
    assert!(
        !proxy.log().contains("is ignored"),
        "the snapshot is ignored: {}",
        proxy.log()
    );
    let with = IdleFigures::of(&proxy);
    axis.add(
        "resident memory of control",
        "MB",
        x,
        with.resident_mb - plain.resident_mb,
    );
    axis.add(
        "processor time of control at the start",
        "ms",
        x,
        with.start_ms - plain.start_ms,
    );
    axis.add(
        "processor time of control at rest",
        "cores",
        x,
        with.rest_cores - plain.rest_cores,
    );
}

/// A snapshot of a store that holds so many status reports, of as many origins as there may be.
fn snapshot_of(entries: usize) -> Vec<u8> {
    let mut store = Store::new(Origin(0), StoreLimits::DEFAULT);
    for n in 0..entries {
        store.merge(0, report_delta(n));
    }
    assert_eq!(store.len(), entries, "all entries are held");
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let owner = SnapshotOwner {
        fleet: FLEET,
        process: NAME,
    };
    snapshot::write(&store, 0, owner, now_ms)
}

/// The status report of a number, as its origin would send it.
fn report_delta(n: usize) -> Delta {
    let version = (n / MAX_ORIGINS) as u64 + 1;
    let status = MemberStatus {
        started_ms: n as u64,
        state: MemberState::Draining,
    };
    let entry = DeltaEntry {
        version,
        key: Key {
            kind: Kind::MEMBER_STATUS,
            name: format!("service-{}/member-{n}", n % 46),
        },
        value: encode_status(&status),
        age_us: 0,
    };
    Delta {
        origin: Origin(1 + (n % MAX_ORIGINS) as u64),
        after: version - 1,
        up_to: version,
        entries: vec![entry],
    }
}

/// A status in the form in which the store keeps it.
fn encode_status(status: &MemberStatus) -> Vec<u8> {
    let mut store = Store::new(Origin(0), StoreLimits::DEFAULT);
    let delta = report_status(&mut store, 0, "a/b", *status);
    delta
        .and_then(|delta| delta.entries.into_iter().next())
        .map(|entry| entry.value)
        .unwrap_or_default()
}
