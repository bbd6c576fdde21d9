//! What it costs that all processes of a fleet hold alike, in simulated time: how long an order
//! takes to be everywhere, what one that starts takes and how long that lasts, and what is said at
//! rest. The code is `dewrun-replication`'s.

use dewrun_replication::kinds::{
    place_order, report_status, DesiredState, MemberState, MemberStatus,
};
use dewrun_replication::simulate::World;
use dewrun_replication::store::{Bounds, Store};
use dewrun_replication::{Micros, Origin};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Instant;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
type Net = World<Xoshiro256PlusPlus>;

/// How one size of a fleet does.
#[derive(Clone, Copy, Debug)]
pub struct Growth {
    /// How many processes.
    pub processes: usize,
    /// The part of the messages that is lost.
    pub loss: f64,
    /// From an order to the last process that has it, in milliseconds: the median, and the most.
    pub everywhere_ms: (f64, f64),
    /// Bytes a second that each sends at rest.
    pub at_rest: f64,
    /// Bytes that all sent for one order, by process.
    pub for_one: f64,
}

/// Plays orders, each at another process.
pub fn grow(processes: usize, loss: f64, orders: usize, seed: u64) -> Growth {
    let mut world = Net::new(processes, seed);
    world.loss = loss;
    world.delay = 10 * MS;
    world.run(5 * S);
    let mut times = Vec::new();
    let mut sent = 0;
    for n in 0..orders {
        let (at, target) = (n * 7_919 % processes, format!("shop/{n}"));
        let (from, before) = (world.now(), world.sent.0);
        world.write(at, |store, now| {
            Some(place_order(
                store,
                now,
                &target,
                DesiredState::Drain,
                "ann",
                0,
            ))
        });
        let has = |world: &Net| {
            world
                .processes
                .iter()
                .flatten()
                .all(|process| process.store.len() == n + 1)
        };
        while !has(&world) && world.now() < from + 30 * S {
            world.run(5 * MS);
        }
        times.push((world.now() - from) as f64 / 1e3);
        world.run(from + 2 * S - world.now().min(from + 2 * S));
        sent += world.sent.0 - before;
    }
    world.run(3 * S);
    let before = world.sent.0;
    world.run(5 * S);
    let at_rest = (world.sent.0 - before) as f64 / 5.0 / processes as f64;
    times.sort_by(f64::total_cmp);
    let for_one = sent as f64 / orders as f64 / processes as f64 - 2.0 * at_rest;
    let everywhere_ms = (times[times.len() / 2], times[times.len() - 1]);
    Growth {
        processes,
        loss,
        everywhere_ms,
        at_rest,
        for_one,
    }
}

/// How one that starts with nothing catches up.
#[derive(Clone, Copy, Debug)]
pub struct CatchUp {
    /// How many entries there are.
    pub entries: usize,
    /// How long it took, in milliseconds.
    pub ms: f64,
    /// What was sent in all meanwhile.
    pub bytes: u64,
    /// What taking one entry in costs here, in nanoseconds of processor time.
    pub merge_ns: f64,
}

/// Plays one start among twelve.
pub fn catch_up(entries: usize, loss: f64, seed: u64) -> CatchUp {
    let mut world = Net::new(12, seed);
    world.delay = 2 * MS;
    for n in 0..entries {
        world.write(n % 12, |store, now| {
            let news = MemberStatus {
                started_ms: n as u64,
                state: MemberState::Ready,
            };
            report_status(store, now, &format!("shop/member-{n}"), news);
            None
        });
    }
    let equal = |world: &Net| world.are_equal();
    while !equal(&world) {
        world.run(S);
    }
    world.run(5 * S);
    world.loss = loss;
    world.kill(5);
    world.start(5);
    let (from, sent) = (world.now(), world.sent.0);
    let is_caught_up = |world: &Net| {
        world.processes[5]
            .as_ref()
            .is_some_and(|p| p.gossip.is_caught_up())
    };
    while !is_caught_up(&world) && world.now() < from + 60 * S {
        world.run(5 * MS);
    }
    let deltas = world.processes[5]
        .as_ref()
        .map(|p| p.store.deltas(0, 40))
        .unwrap_or_default();
    let mut copy = Store::new(Origin(1), Bounds::USUAL);
    let begun = Instant::now();
    deltas
        .into_iter()
        .for_each(|delta| _ = copy.merge(0, delta));
    let merge_ns = begun.elapsed().as_nanos() as f64 / entries as f64;
    CatchUp {
        entries,
        ms: (world.now() - from) as f64 / 1e3,
        bytes: world.sent.0 - sent,
        merge_ns,
    }
}
