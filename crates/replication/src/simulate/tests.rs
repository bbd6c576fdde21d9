use super::*;
use crate::kinds::{
    orders, place_order, report_status, status_from_peers, DesiredState, MemberState, MemberStatus,
};
use crate::store::{DeltaEntry, Key};
use crate::TOMBSTONE_TTL_US;
use proptest::prelude::*;
use rand_xoshiro::Xoshiro256PlusPlus;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
type Net = World<Xoshiro256PlusPlus>;

fn store(origin: u64) -> Store {
    Store::new(Origin(origin), Bounds::USUAL)
}

fn order(world: &mut Net, at: usize, target: &str, wish: DesiredState) {
    world.write(at, |store, now| {
        Some(place_order(store, now, target, wish, "ann", 0))
    });
}

fn wish(world: &Net, at: usize, target: &str) -> Option<DesiredState> {
    let store = &world.processes[at].as_ref()?.store;
    orders(store).get(target).map(|given| given[0].order.wish)
}

#[test]
fn an_order_is_everywhere_soon_though_a_fifth_is_lost() {
    let mut times = Vec::new();
    for seed in 0..40 {
        let mut world = Net::new(12, seed);
        world.loss = 0.2;
        world.delay = 20 * MS;
        world.run(3 * S);
        order(
            &mut world,
            seed as usize % 12,
            "shop/a",
            DesiredState::Drain,
        );
        let from = world.now();
        while (0..12).any(|at| wish(&world, at, "shop/a") != Some(DesiredState::Drain)) {
            world.run(5 * MS);
            assert!(world.now() < from + 10 * S, "seed {seed}");
        }
        times.push(world.now() - from);
    }
    times.sort_unstable();
    println!(
        "everywhere after {} ms in the median, {} ms at the most",
        times[20] / MS,
        times[39] / MS
    );
    assert!(times[20] < 250 * MS && times[39] < S, "{times:?}");
}

#[test]
fn one_that_returns_catches_up_and_knows_it() {
    let mut world = Net::new(12, 3);
    world.run(S);
    for n in 0..10_000u64 {
        let at = n as usize % 12;
        world.write(at, |store, now| {
            let news = MemberStatus {
                started_ms: n,
                state: MemberState::Ready,
            };
            report_status(store, now, &format!("shop/member-{n}"), news);
            None
        });
    }
    world.run(20 * S);
    assert!(world.are_equal());
    world.kill(5);
    world.start(5);
    let (from, sent) = (world.now(), world.sent);
    let caught_up = |world: &Net| {
        world.processes[5]
            .as_ref()
            .is_some_and(|p| p.gossip.is_caught_up())
    };
    while !caught_up(&world) {
        world.run(5 * MS);
        assert!(
            world.now() < from + 2 * S,
            "{}",
            world.processes[5].as_ref().map_or(0, |p| p.store.len())
        );
    }
    println!(
        "10000 entries in {} ms, {} bytes",
        (world.now() - from) / MS,
        world.sent.0 - sent.0
    );
    assert_eq!(
        world.processes[5].as_ref().map(|p| p.store.len()),
        Some(10_000)
    );
    assert!(world.now() - from < S);
}

#[test]
fn a_fleet_that_starts_at_once_waits_for_nobody() {
    for processes in [1, 2, 12, 100] {
        let mut world = Net::new(processes, 8);
        world.run(S);
        let caught_up = |p: &&Process| p.gossip.is_caught_up();
        assert_eq!(
            world.processes.iter().flatten().filter(caught_up).count(),
            processes
        );
    }
}

#[test]
fn at_rest_little_is_said() {
    let mut world = Net::new(12, 4);
    for n in 0..300 {
        order(
            &mut world,
            n % 12,
            &format!("shop/{n}"),
            DesiredState::Drain,
        );
    }
    world.run(10 * S);
    let before = world.sent.0;
    world.run(30 * S);
    let each = (world.sent.0 - before) as f64 / 30.0 / 12.0;
    println!("{each:.0} bytes a second each");
    assert!(each < 500.0, "{each}");
}

#[test]
fn halves_that_gave_opposite_orders_go_by_the_more_careful_until_one_decides() {
    let mut world = Net::new(6, 5);
    order(&mut world, 0, "shop/a", DesiredState::Drain);
    order(&mut world, 0, "shop/b", DesiredState::Drain);
    world.run(3 * S);
    for (a, b) in (0..3).flat_map(|a| (3..6).map(move |b| (a, b))) {
        world.cut(a, b, true);
    }
    order(&mut world, 1, "shop/a", DesiredState::Return);
    order(&mut world, 4, "shop/a", DesiredState::Drain);
    order(&mut world, 4, "shop/b", DesiredState::Return);
    world.run(60 * S);
    assert_eq!(
        [1, 4].map(|at| wish(&world, at, "shop/a")),
        [Some(DesiredState::Return), Some(DesiredState::Drain)]
    );
    for (a, b) in (0..3).flat_map(|a| (3..6).map(move |b| (a, b))) {
        world.cut(a, b, false);
    }
    world.run(5 * S);
    for at in 0..6 {
        assert_eq!(
            wish(&world, at, "shop/a"),
            Some(DesiredState::Drain),
            "the more careful"
        );
        assert_eq!(
            wish(&world, at, "shop/b"),
            Some(DesiredState::Return),
            "one that knew of the other"
        );
        let store = &world.processes[at].as_ref().expect("it is up").store;
        assert_eq!(orders(store)["shop/a"].len(), 2, "both are shown");
    }
    order(&mut world, 2, "shop/a", DesiredState::Return);
    world.run(3 * S);
    world.forget_ended();
    world.run(3 * S);
    for at in 0..6 {
        let store = &world.processes[at].as_ref().expect("it is up").store;
        assert_eq!(wish(&world, at, "shop/a"), Some(DesiredState::Return));
        assert_eq!(orders(store)["shop/a"].len(), 1);
    }
}

#[test]
fn nothing_forgotten_comes_back() {
    // One holds an order that all others have replaced twice and forgotten; the chain between is
    // gone.
    for forget in [false, true] {
        let mut world = Net::new(4, 6);
        order(&mut world, 0, "shop/a", DesiredState::Drain);
        world.run(3 * S);
        (0..3).for_each(|at| world.cut(at, 3, true));
        order(&mut world, 1, "shop/a", DesiredState::Drain);
        world.run(3 * S);
        if forget {
            // The one who decides knows of the second order alone.
            world.forget_ended();
        }
        order(&mut world, 2, "shop/a", DesiredState::Return);
        world.run(3 * S);
        if forget {
            world.forget_ended();
        }
        // And one that never heard of any of it.
        world.kill(0);
        world.start(0);
        (0..3).for_each(|at| world.cut(at, 3, false));
        world.run(5 * S);
        for at in 0..4 {
            assert_eq!(
                wish(&world, at, "shop/a"),
                Some(DesiredState::Return),
                "at {at}, forgotten: {forget}"
            );
        }
        assert!(world.are_equal());
    }
    // One that was away for longer than a withdrawal is remembered replaces its copy whole.
    let mut away = store(1);
    place_order(&mut away, 0, "shop/a", DesiredState::Drain, "ann", 0);
    let mut other = store(2);
    for delta in away.deltas(0, 100) {
        other.merge(0, delta);
    }
    place_order(&mut other, 1, "shop/a", DesiredState::Return, "ann", 0);
    kinds::forget_ended(&mut other, 2);
    assert_eq!(other.len(), 1, "what it replaced is forgotten");
    for delta in away.deltas(3, 100) {
        assert_eq!(other.merge(3, delta), vec![], "and does not come back");
    }
    kinds::forget_ended(&mut other, TOMBSTONE_TTL_US + 2);
    assert_eq!(
        orders(&other).get("shop/a"),
        None,
        "the withdrawal has had its time"
    );
    let mut back = store(3);
    for delta in away.deltas(TOMBSTONE_TTL_US + 3, 100) {
        back.merge(TOMBSTONE_TTL_US + 3, delta);
    }
    place_order(&mut back, 2, "shop/c", DesiredState::Drain, "ann", 0);
    place_order(
        &mut back,
        TOMBSTONE_TTL_US + 3,
        "shop/b",
        DesiredState::Drain,
        "ann",
        0,
    );
    back.replace_whole(TOMBSTONE_TTL_US + 3);
    assert_eq!(
        orders(&back).len(),
        1,
        "what was ordered there meanwhile is kept"
    );
    for delta in back.deltas(TOMBSTONE_TTL_US + 4, 100) {
        other.merge(TOMBSTONE_TTL_US + 4, delta);
    }
    assert_eq!(orders(&other).get("shop/a"), None);
}

#[test]
fn of_news_the_later_start_counts_then_the_more_careful_and_for_a_while() {
    let mut own = store(9);
    let said = [
        (
            1,
            MemberStatus {
                started_ms: 10,
                state: MemberState::Gone,
            },
        ),
        (
            2,
            MemberStatus {
                started_ms: 20,
                state: MemberState::Ready,
            },
        ),
        (
            3,
            MemberStatus {
                started_ms: 20,
                state: MemberState::Draining,
            },
        ),
    ];
    for (origin, news) in said {
        let mut other = store(origin);
        let delta = report_status(&mut other, 0, "shop/a", news).expect("it is new");
        assert_eq!(
            report_status(&mut other, 5, "shop/a", news),
            None,
            "nothing new"
        );
        own.merge(1, delta);
    }
    report_status(
        &mut own,
        1,
        "shop/a",
        MemberStatus {
            started_ms: 99,
            state: MemberState::Gone,
        },
    );
    let held = status_from_peers(&own, 2, "shop/a");
    let wanted = MemberStatus {
        started_ms: 20,
        state: MemberState::Draining,
    };
    assert_eq!(held, Some(wanted), "of others, not one's own");
    assert_eq!(
        status_from_peers(&own, 2 + kinds::MEMBER_STATUS_TTL_US, "shop/a"),
        None
    );
    kinds::forget_ended(&mut own, 2 + kinds::MEMBER_STATUS_TTL_US);
    assert_eq!(own.len(), 0, "nor one's own of what is gone");
    report_status(
        &mut own,
        1,
        "shop/a",
        MemberStatus {
            started_ms: 99,
            state: MemberState::Draining,
        },
    );
    kinds::forget_ended(&mut own, 2 + kinds::MEMBER_STATUS_TTL_US);
    assert_eq!(own.len(), 1, "one's own of what is there is known still");
}

#[test]
fn what_is_too_much_or_malformed_changes_nothing() {
    let mut store = Store::new(
        Origin(1),
        Bounds {
            entries: 3,
            origins: 2,
            bytes: 20,
        },
    );
    let item = |version, kind, name: &str| DeltaEntry {
        version,
        key: Key {
            kind,
            name: name.into(),
        },
        value: vec![0; 4],
        age: 0,
    };
    let delta = |origin, after, upto, items| Delta {
        origin: Origin(origin),
        after,
        upto,
        items,
    };
    for bad in [
        delta(2, 5, 5, vec![]),
        delta(2, 5, 4, vec![]),
        delta(2, 0, u64::MAX, vec![item(1, 2, "a")]),
        delta(2, 3, 9, vec![item(3, 2, "a")]),
        delta(2, 3, 9, vec![item(10, 2, "a")]),
    ] {
        assert_eq!(store.merge(0, bad), vec![]);
    }
    assert!(store.known().is_empty());
    let many = (1..=10).map(|n| item(n, 2, &format!("m{n}"))).collect();
    assert_eq!(store.merge(0, delta(2, 0, 10, many)).len(), 3);
    assert_eq!(
        store
            .merge(0, delta(2, 10, 11, vec![item(11, kinds::ORDER, "o")]))
            .len(),
        1,
        "an order is taken"
    );
    let long = "x".repeat(21);
    assert!(store
        .merge(0, delta(2, 11, 12, vec![item(12, kinds::ORDER, &long)]))
        .is_empty());
    store.merge(0, delta(3, 0, 1, vec![item(1, 2, "a")]));
    store.merge(0, delta(4, 0, 1, vec![item(1, 2, "a")]));
    assert_eq!((store.known().len(), store.len()), (2, 4));
    assert_eq!(store.left_out(), 1 + 1 + 1 + 7 + 1 + 1 + 1);
}

/// A kind that this version does not know is held and passed on as it came.
#[test]
fn what_a_later_version_says_is_passed_on() {
    let (mut later, mut own, mut third) = (store(1), store(2), store(3));
    let key = Key {
        kind: 200,
        name: "x".into(),
    };
    own.merge(0, later.write(0, key.clone(), vec![1, 2, 3]));
    for delta in own.deltas(0, 10) {
        third.merge(0, delta);
    }
    assert_eq!(
        third.get(Origin(1), &key).map(|entry| entry.value.clone()),
        Some(vec![1, 2, 3])
    );
}

/// What some origins write, as the pieces in which it may be sent: single entries and spans.
fn deltas(writes: &[(u64, u8, bool)]) -> Vec<Delta> {
    let mut stores: Vec<Store> = (0..3).map(store).collect();
    let mut all = Vec::new();
    for (n, (origin, target, drain)) in writes.iter().enumerate() {
        let at = (*origin % 3) as usize;
        let wish = if *drain {
            DesiredState::Drain
        } else {
            DesiredState::Return
        };
        let delta = place_order(
            &mut stores[at],
            n as u64,
            &format!("p/{}", target % 3),
            wish,
            "a",
            0,
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

fn after(all: &[Delta]) -> Store {
    let mut store = store(99);
    all.iter()
        .for_each(|delta| _ = store.merge(0, delta.clone()));
    store
}

proptest! {
    /// In any order, any number of times, in any grouping: the same orders hold and the same is
    /// known.
    #[test]
    fn merges_commute_associate_and_repeat(
        writes in prop::collection::vec((0u64..3, 0u8..3, any::<bool>()), 1..12),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        cut in any::<prop::sample::Index>(),
    ) {
        let all = deltas(&writes);
        let straight = after(&all);
        // Some come in another order, some twice; then all of them.
        let mut shuffled: Vec<Delta> = picks.iter().map(|pick| all[pick.index(all.len())].clone()).collect();
        shuffled.extend(all.iter().rev().cloned());
        // The last pass fills what came before its time.
        shuffled.extend(all.iter().cloned());
        let other = after(&shuffled);
        prop_assert_eq!(orders(&straight), orders(&other));
        prop_assert_eq!(straight.summary(), other.summary());
        // Two groups, each merged by itself, then one into the other.
        let at = cut.index(all.len());
        let (mut left, right) = (after(&all[..at]), after(&all));
        right.deltas(0, 2).into_iter().for_each(|delta| _ = left.merge(0, delta));
        prop_assert_eq!(orders(&straight), orders(&left));
        prop_assert_eq!(straight.summary(), left.summary());
    }

    /// Random cuts, losses and restarts: once messages flow all copies are equal, and the last
    /// order that knew of all holds.
    #[test]
    fn copies_are_equal_once_messages_flow(
        seed in any::<u64>(),
        steps in prop::collection::vec((0u8..6, 0usize..5, 0usize..5), 1..25),
    ) {
        let mut world = Net::new(5, seed);
        world.loss = 0.2;
        for (what, a, b) in steps {
            match what {
                0 => order(&mut world, a, "p/a", DesiredState::Drain),
                1 => order(&mut world, a, "p/a", DesiredState::Return),
                2 if a != b => world.cut(a, b, true),
                3 => world.start(a),
                4 => world.forget_ended(),
                _ => (0..5).for_each(|to| world.cut(a, to, false)),
            }
            world.run(100 * MS);
        }
        for (a, b) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))) {
            world.cut(a, b, false);
        }
        world.loss = 0.0;
        world.run(8 * S);
        prop_assert!(world.are_equal());
        let wishes: Vec<_> = (0..5).map(|at| wish(&world, at, "p/a")).collect();
        prop_assert!(wishes.iter().all(|wish| *wish == wishes[0]), "{:?}", wishes);
    }
}
