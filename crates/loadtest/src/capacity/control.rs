//! What control costs one real proxy in memory and processor time: what it holds and works with
//! `[fleet]` in its file beyond what it does without. It is the only process of its fleet, so what
//! others send it is not in these figures.

use super::proxy::{FleetSetup, Proxy, Setup, FLEET, NAME};
use super::report::Axis;
use super::Sizes;
use dewrun_replication::kinds::{MemberState, MemberStatus, MEMBER_STATUS};
use dewrun_replication::snapshot;
use dewrun_replication::store::{Bounds, Delta, DeltaEntry, Key, Store};
use dewrun_replication::Origin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MEMBERS: usize = 33;
/// Entries that are held. Above 1,500 each of 1,500 writers has several.
const ENTRIES: [usize; 8] = [0, 50, 100, 200, 400, 800, 1_500, 10_000];
const WRITERS_MOST: usize = 1_500;
const BUDGETS: [usize; 6] = [0, 1, 10, 50, 100, 200];
/// Longer than from one look for entries that have ended to the next.
const REST: Duration = Duration::from_millis(5_500);

/// By the entries of the replicated store, each of another writer, and by budgets.
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

/// What a proxy costs while nobody asks.
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

/// A snapshot of a copy that holds so many news of members, of as many writers as there may be.
fn snapshot_of(entries: usize) -> Vec<u8> {
    let mut store = Store::new(Origin(0), Bounds::USUAL);
    let news = |n: usize| MemberStatus {
        started_ms: n as u64,
        state: MemberState::Draining,
    };
    for n in 0..entries {
        let (writer, version) = (n % WRITERS_MOST, (n / WRITERS_MOST) as u64 + 1);
        let key = Key {
            kind: MEMBER_STATUS,
            name: format!("service-{}/member-{n}", n % 46),
        };
        let value = encoded(&news(n));
        let item = DeltaEntry {
            version,
            key,
            value,
            age: 0,
        };
        let origin = Origin(1 + writer as u64);
        store.merge(
            0,
            Delta {
                origin,
                after: version - 1,
                upto: version,
                items: vec![item],
            },
        );
    }
    assert_eq!(store.len(), entries, "all entries are held");
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    snapshot::write(&store, 0, (FLEET, NAME), now_ms)
}

/// News in the form in which the store keeps them.
fn encoded(news: &MemberStatus) -> Vec<u8> {
    let mut store = Store::new(Origin(0), Bounds::USUAL);
    let delta = dewrun_replication::kinds::report_status(&mut store, 0, "a/b", *news);
    delta
        .and_then(|delta| delta.items.into_iter().next())
        .map(|item| item.value)
        .unwrap_or_default()
}
