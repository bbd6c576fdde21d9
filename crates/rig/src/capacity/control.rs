//! What control costs one real proxy in memory and processor time: what it holds and works with `[fleet]` in its file beyond
//! what it does without. It is the only process of its fleet, so what others send it is not in these figures.

use super::proxy::{FleetSetup, Proxy, Setup, FLEET, NAME};
use super::report::Axis;
use super::Sizes;
use dewrun_replica::kinds::{News, State, NEWS};
use dewrun_replica::snapshot;
use dewrun_replica::store::{Bounds, Item, Key, Piece, Store};
use dewrun_replica::Origin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MEMBERS: usize = 33;
/// Entries that are held. Above 1,500 each of 1,500 writers has several.
const ENTRIES: [usize; 8] = [0, 50, 100, 200, 400, 800, 1_500, 10_000];
const WRITERS_MOST: usize = 1_500;
const BUDGETS: [usize; 6] = [0, 1, 10, 50, 100, 200];
const REST: Duration = Duration::from_secs(3);

/// By the entries of the replicated store, each of another writer, and by budgets.
pub fn control(program: &str, sizes: &Sizes) -> Vec<Axis> {
    let setting =
        "a proxy with [fleet] that holds so many entries, less one without [fleet]; 33 members, nobody asks";
    let mut entries = Axis::new("control by entries", "entries", setting);
    for count in sizes.of(&ENTRIES) {
        for _ in 0..sizes.runs {
            let fleet = FleetSetup { budgets: 0, snapshot: (count > 0).then(|| snapshot_of(count)) };
            measure(program, fleet, count as f64, &mut entries);
        }
    }
    let setting = "a proxy with [fleet] that grants itself so many budgets, less one without [fleet]";
    let mut budgets = Axis::new("control by budgets", "budgets", setting);
    for count in sizes.of(&BUDGETS) {
        for _ in 0..sizes.runs {
            let fleet = FleetSetup { budgets: count, snapshot: None };
            measure(program, fleet, count as f64, &mut budgets);
        }
    }
    vec![entries.fitted(), budgets.fitted()]
}

fn measure(program: &str, fleet: FleetSetup, x: f64, axis: &mut Axis) {
    let without = Setup::one_service(MEMBERS);
    let with = Setup { fleet: Some(fleet), ..without.clone() };
    let plain = Proxy::start(program, &without);
    let (plain_mb, plain_cores) = (plain.figures().resident_mb(), plain.rest(REST));
    drop(plain);
    let proxy = Proxy::start(program, &with);
    let is_taken = !proxy.log().contains("is not taken");
    assert!(is_taken, "the snapshot is not taken: {}", proxy.log());
    let cores = proxy.rest(REST);
    axis.add("resident memory of control", "MB", x, proxy.figures().resident_mb() - plain_mb);
    axis.add("processor time of control at rest", "cores", x, cores - plain_cores);
}

/// A snapshot of a copy that holds so many news of members, of as many writers as there may be.
fn snapshot_of(entries: usize) -> Vec<u8> {
    let mut store = Store::new(Origin(0), Bounds::USUAL);
    let news = |n: usize| News { started_ms: n as u64, state: State::Draining };
    for n in 0..entries {
        let (writer, version) = (n % WRITERS_MOST, (n / WRITERS_MOST) as u64 + 1);
        let key = Key { kind: NEWS, name: format!("service-{}/member-{n}", n % 46) };
        let value = encoded(&news(n));
        let item = Item { version, key, value, age: 0 };
        let origin = Origin(1 + writer as u64);
        store.merge(0, Piece { origin, after: version - 1, upto: version, items: vec![item] });
    }
    assert_eq!(store.len(), entries, "all entries are held");
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    snapshot::write(&store, 0, (FLEET, NAME), now_ms)
}

/// News in the form in which the store keeps them.
fn encoded(news: &News) -> Vec<u8> {
    let mut store = Store::new(Origin(0), Bounds::USUAL);
    let piece = dewrun_replica::kinds::tell(&mut store, 0, "a/b", *news);
    piece.and_then(|piece| piece.items.into_iter().next()).map(|item| item.value).unwrap_or_default()
}
