//! Memory and CPU time that replication and budgets cost one real proxy, as the difference between a
//! proxy with `[fleet]` in its configuration and one without. The proxy is the only process of its
//! fleet, so the cost of messages from peers is not included.

use super::proxy::{FleetSetup, Proxy, Setup, FLEET, NAME};
use super::report::Axis;
use super::Sampling;
use dewrun_replication::entry::{Delta, DeltaEntry, Key};
use dewrun_replication::kind::Kind;
use dewrun_replication::member_status::{report_status, MemberState, MemberStatus};
use dewrun_replication::snapshot::{self, SnapshotOwner};
use dewrun_replication::store::{Store, StoreLimits};
use dewrun_replication::Origin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MEMBERS: usize = 33;
/// Numbers of entries in the store. Above 1,500 entries, each of 1,500 origins has several.
const ENTRY_COUNTS: [usize; 8] = [0, 50, 100, 200, 400, 800, 1_500, 10_000];
const MAX_ORIGINS: usize = 1_500;
const BUDGET_COUNTS: [usize; 6] = [0, 1, 10, 50, 100, 200];
/// Period without requests over which CPU time is measured. It is longer than the interval between
/// two searches for expired entries.
const IDLE_PERIOD: Duration = Duration::from_millis(5_500);

/// Measures the cost by the number of entries in the replicated store, spread over up to 1,500
/// origins, and by the number of budgets.
pub fn control(program: &str, sampling: &Sampling) -> Vec<Axis> {
    let baselines: Vec<IdleCost> = (0..sampling.runs)
        .map(|_| IdleCost::measure_without_fleet(program))
        .collect();
    let setting =
        "a proxy with [fleet] that holds so many entries, less one without [fleet]; 33 members, nobody asks";
    let mut entries = Axis::new("control by entries", "entries", setting);
    for count in sampling.points(&ENTRY_COUNTS) {
        for baseline in &baselines {
            let fleet = FleetSetup {
                budgets: 0,
                snapshot: (count > 0).then(|| snapshot_with(count)),
            };
            measure_proxy(program, baseline, fleet, count as f64, &mut entries);
        }
    }
    let setting =
        "a proxy with [fleet] that grants itself so many budgets, less one without [fleet]";
    let mut budgets = Axis::new("control by budgets", "budgets", setting);
    for count in sampling.points(&BUDGET_COUNTS) {
        for baseline in &baselines {
            let fleet = FleetSetup {
                budgets: count,
                snapshot: None,
            };
            measure_proxy(program, baseline, fleet, count as f64, &mut budgets);
        }
    }
    vec![entries.with_fits(), budgets.with_fits()]
}

/// The cost of a proxy without requests.
struct IdleCost {
    resident_mb: f64,
    startup_cpu_ms: f64,
    idle_cores: f64,
}

impl IdleCost {
    fn measure_without_fleet(program: &str) -> IdleCost {
        IdleCost::measure(&Proxy::start(program, &Setup::one_service(MEMBERS)))
    }

    fn measure(proxy: &Proxy) -> IdleCost {
        let startup_cpu_ms = proxy.stats().cpu_time().as_secs_f64() * 1e3;
        let idle_cores = proxy.idle_cores(IDLE_PERIOD);
        IdleCost {
            resident_mb: proxy.stats().resident_mb(),
            startup_cpu_ms,
            idle_cores,
        }
    }
}

/// Measures a proxy with a fleet, and adds the differences from a proxy without one.
fn measure_proxy(program: &str, baseline: &IdleCost, fleet: FleetSetup, x: f64, axis: &mut Axis) {
    let proxy = Proxy::start(
        program,
        &Setup {
            fleet: Some(fleet),
            ..Setup::one_service(MEMBERS)
        },
    );
    assert!(
        !proxy.log().contains("is ignored"),
        "the proxy ignored the snapshot: {}",
        proxy.log()
    );
    let cost = IdleCost::measure(&proxy);
    axis.add_run(
        "resident memory of control",
        "MB",
        x,
        cost.resident_mb - baseline.resident_mb,
    );
    axis.add_run(
        "processor time of control at the start",
        "ms",
        x,
        cost.startup_cpu_ms - baseline.startup_cpu_ms,
    );
    axis.add_run(
        "processor time of control at rest",
        "cores",
        x,
        cost.idle_cores - baseline.idle_cores,
    );
}

/// Returns a snapshot of a store with this number of status reports, spread over up to
/// [`MAX_ORIGINS`] origins.
fn snapshot_with(entries: usize) -> Vec<u8> {
    let mut store = Store::new(Origin(0), StoreLimits::DEFAULT);
    for n in 0..entries {
        store.merge(0, report_delta(n));
    }
    assert_eq!(store.len(), entries, "the store holds all entries");
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

/// Returns status report number `n` as its origin would send it.
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

/// Encodes a status as the store does.
fn encode_status(status: &MemberStatus) -> Vec<u8> {
    let mut store = Store::new(Origin(0), StoreLimits::DEFAULT);
    let delta = report_status(&mut store, 0, "a/b", *status);
    delta
        .and_then(|delta| delta.entries.into_iter().next())
        .map(|entry| entry.value)
        .unwrap_or_default()
}
