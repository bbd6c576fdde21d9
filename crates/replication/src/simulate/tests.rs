use super::*;
use crate::kinds::{give, news_of, orders, tell, News, State, Wish};
use crate::store::{Item, Key};
use crate::GRAVE;
use proptest::prelude::*;
use rand_xoshiro::Xoshiro256PlusPlus;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
type Net = World<Xoshiro256PlusPlus>;

fn store(origin: u64) -> Store {
    Store::new(Origin(origin), Bounds::USUAL)
}

fn order(world: &mut Net, at: usize, target: &str, wish: Wish) {
    world.write(at, |store, now| {
        Some(give(store, now, target, wish, "ann", 0))
    });
}

fn wish(world: &Net, at: usize, target: &str) -> Option<Wish> {
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
        order(&mut world, seed as usize % 12, "shop/a", Wish::Drain);
        let from = world.now();
        while (0..12).any(|at| wish(&world, at, "shop/a") != Some(Wish::Drain)) {
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
            let news = News {
                started_ms: n,
                state: State::Ready,
            };
            tell(store, now, &format!("shop/member-{n}"), news);
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
        order(&mut world, n % 12, &format!("shop/{n}"), Wish::Drain);
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
    order(&mut world, 0, "shop/a", Wish::Drain);
    order(&mut world, 0, "shop/b", Wish::Drain);
    world.run(3 * S);
    for (a, b) in (0..3).flat_map(|a| (3..6).map(move |b| (a, b))) {
        world.cut(a, b, true);
    }
    order(&mut world, 1, "shop/a", Wish::Return);
    order(&mut world, 4, "shop/a", Wish::Drain);
    order(&mut world, 4, "shop/b", Wish::Return);
    world.run(60 * S);
    assert_eq!(
        [1, 4].map(|at| wish(&world, at, "shop/a")),
        [Some(Wish::Return), Some(Wish::Drain)]
    );
    for (a, b) in (0..3).flat_map(|a| (3..6).map(move |b| (a, b))) {
        world.cut(a, b, false);
    }
    world.run(5 * S);
    for at in 0..6 {
        assert_eq!(
            wish(&world, at, "shop/a"),
            Some(Wish::Drain),
            "the more careful"
        );
        assert_eq!(
            wish(&world, at, "shop/b"),
            Some(Wish::Return),
            "one that knew of the other"
        );
        let store = &world.processes[at].as_ref().expect("it is up").store;
        assert_eq!(orders(store)["shop/a"].len(), 2, "both are shown");
    }
    order(&mut world, 2, "shop/a", Wish::Return);
    world.run(3 * S);
    world.forget_ended();
    world.run(3 * S);
    for at in 0..6 {
        let store = &world.processes[at].as_ref().expect("it is up").store;
        assert_eq!(wish(&world, at, "shop/a"), Some(Wish::Return));
        assert_eq!(orders(store)["shop/a"].len(), 1);
    }
}

#[test]
fn nothing_forgotten_comes_back() {
    // One holds an order that all others have replaced twice and forgotten; the chain between is
    // gone.
    for forget in [false, true] {
        let mut world = Net::new(4, 6);
        order(&mut world, 0, "shop/a", Wish::Drain);
        world.run(3 * S);
        (0..3).for_each(|at| world.cut(at, 3, true));
        order(&mut world, 1, "shop/a", Wish::Drain);
        world.run(3 * S);
        if forget {
            // The one who decides knows of the second order alone.
            world.forget_ended();
        }
        order(&mut world, 2, "shop/a", Wish::Return);
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
                Some(Wish::Return),
                "at {at}, forgotten: {forget}"
            );
        }
        assert!(world.are_equal());
    }
    // One that was away for longer than a withdrawal is remembered replaces its copy whole.
    let mut away = store(1);
    give(&mut away, 0, "shop/a", Wish::Drain, "ann", 0);
    let mut other = store(2);
    for piece in away.pieces(0, 100) {
        other.merge(0, piece);
    }
    give(&mut other, 1, "shop/a", Wish::Return, "ann", 0);
    kinds::forget_ended(&mut other, 2);
    assert_eq!(other.len(), 1, "what it replaced is forgotten");
    for piece in away.pieces(3, 100) {
        assert_eq!(other.merge(3, piece), vec![], "and does not come back");
    }
    kinds::forget_ended(&mut other, GRAVE + 2);
    assert_eq!(
        orders(&other).get("shop/a"),
        None,
        "the withdrawal has had its time"
    );
    let mut back = store(3);
    for piece in away.pieces(GRAVE + 3, 100) {
        back.merge(GRAVE + 3, piece);
    }
    give(&mut back, 2, "shop/c", Wish::Drain, "ann", 0);
    give(&mut back, GRAVE + 3, "shop/b", Wish::Drain, "ann", 0);
    back.replace_whole(GRAVE + 3);
    assert_eq!(
        orders(&back).len(),
        1,
        "what was ordered there meanwhile is kept"
    );
    for piece in back.pieces(GRAVE + 4, 100) {
        other.merge(GRAVE + 4, piece);
    }
    assert_eq!(orders(&other).get("shop/a"), None);
}

#[test]
fn of_news_the_later_start_counts_then_the_more_careful_and_for_a_while() {
    let mut own = store(9);
    let said = [
        (
            1,
            News {
                started_ms: 10,
                state: State::Gone,
            },
        ),
        (
            2,
            News {
                started_ms: 20,
                state: State::Ready,
            },
        ),
        (
            3,
            News {
                started_ms: 20,
                state: State::Draining,
            },
        ),
    ];
    for (origin, news) in said {
        let mut other = store(origin);
        let piece = tell(&mut other, 0, "shop/a", news).expect("it is new");
        assert_eq!(tell(&mut other, 5, "shop/a", news), None, "nothing new");
        own.merge(1, piece);
    }
    tell(
        &mut own,
        1,
        "shop/a",
        News {
            started_ms: 99,
            state: State::Gone,
        },
    );
    let held = news_of(&own, 2, "shop/a");
    let wanted = News {
        started_ms: 20,
        state: State::Draining,
    };
    assert_eq!(held, Some(wanted), "of others, not one's own");
    assert_eq!(news_of(&own, 2 + kinds::NEWS_COUNTS, "shop/a"), None);
    kinds::forget_ended(&mut own, 2 + kinds::NEWS_COUNTS);
    assert_eq!(own.len(), 0, "nor one's own of what is gone");
    tell(
        &mut own,
        1,
        "shop/a",
        News {
            started_ms: 99,
            state: State::Draining,
        },
    );
    kinds::forget_ended(&mut own, 2 + kinds::NEWS_COUNTS);
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
    let item = |version, kind, name: &str| Item {
        version,
        key: Key {
            kind,
            name: name.into(),
        },
        value: vec![0; 4],
        age: 0,
    };
    let piece = |origin, after, upto, items| Piece {
        origin: Origin(origin),
        after,
        upto,
        items,
    };
    for bad in [
        piece(2, 5, 5, vec![]),
        piece(2, 5, 4, vec![]),
        piece(2, 0, u64::MAX, vec![item(1, 2, "a")]),
        piece(2, 3, 9, vec![item(3, 2, "a")]),
        piece(2, 3, 9, vec![item(10, 2, "a")]),
    ] {
        assert_eq!(store.merge(0, bad), vec![]);
    }
    assert!(store.known().is_empty());
    let many = (1..=10).map(|n| item(n, 2, &format!("m{n}"))).collect();
    assert_eq!(store.merge(0, piece(2, 0, 10, many)).len(), 3);
    assert_eq!(
        store
            .merge(0, piece(2, 10, 11, vec![item(11, kinds::ORDER, "o")]))
            .len(),
        1,
        "an order is taken"
    );
    let long = "x".repeat(21);
    assert!(store
        .merge(0, piece(2, 11, 12, vec![item(12, kinds::ORDER, &long)]))
        .is_empty());
    store.merge(0, piece(3, 0, 1, vec![item(1, 2, "a")]));
    store.merge(0, piece(4, 0, 1, vec![item(1, 2, "a")]));
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
    for piece in own.pieces(0, 10) {
        third.merge(0, piece);
    }
    assert_eq!(
        third.get(Origin(1), &key).map(|entry| entry.value.clone()),
        Some(vec![1, 2, 3])
    );
}

/// What some origins write, as the pieces in which it may be sent: single entries and spans.
fn pieces(writes: &[(u64, u8, bool)]) -> Vec<Piece> {
    let mut stores: Vec<Store> = (0..3).map(store).collect();
    let mut all = Vec::new();
    for (n, (origin, target, drain)) in writes.iter().enumerate() {
        let at = (*origin % 3) as usize;
        let wish = if *drain { Wish::Drain } else { Wish::Return };
        let piece = give(
            &mut stores[at],
            n as u64,
            &format!("p/{}", target % 3),
            wish,
            "a",
            0,
        );
        if n % 2 == 0 {
            let other = (at + 1) % 3;
            stores[other].merge(n as u64, piece.clone());
        }
        all.push(piece);
        if n % 3 == 0 {
            all.extend(stores[at].pieces(n as u64, 2));
        }
    }
    all.extend(
        stores
            .iter()
            .flat_map(|store| store.pieces(writes.len() as u64, 3)),
    );
    all
}

fn after(all: &[Piece]) -> Store {
    let mut store = store(99);
    all.iter()
        .for_each(|piece| _ = store.merge(0, piece.clone()));
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
        let all = pieces(&writes);
        let straight = after(&all);
        // Some come in another order, some twice; then all of them.
        let mut shuffled: Vec<Piece> = picks.iter().map(|pick| all[pick.index(all.len())].clone()).collect();
        shuffled.extend(all.iter().rev().cloned());
        // The last pass fills what came before its time.
        shuffled.extend(all.iter().cloned());
        let other = after(&shuffled);
        prop_assert_eq!(orders(&straight), orders(&other));
        prop_assert_eq!(straight.summary(), other.summary());
        // Two groups, each merged by itself, then one into the other.
        let at = cut.index(all.len());
        let (mut left, right) = (after(&all[..at]), after(&all));
        right.pieces(0, 2).into_iter().for_each(|piece| _ = left.merge(0, piece));
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
                0 => order(&mut world, a, "p/a", Wish::Drain),
                1 => order(&mut world, a, "p/a", Wish::Return),
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
