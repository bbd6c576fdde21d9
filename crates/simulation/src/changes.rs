//! What changes of the replicated store cost a large fleet, in simulated time: a steady stream of
//! orders, one change among many writers that are remembered, and one fact that every process hears
//! for itself.

use crate::thread_time;
use dewrun_replication::kinds::{
    place_order, report_status, DesiredState, MemberState, MemberStatus,
};
use dewrun_replication::simulate::World;
use dewrun_replication::store::{Delta, DeltaEntry, Key};
use dewrun_replication::{Micros, Origin};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// How often it is looked who holds what.
const LOOK: Micros = 5 * MS;
/// The longest that a change is waited for.
const PATIENCE: Micros = 30 * S;
/// The longest that a message is on its way.
const DELAY: Micros = 10 * MS;
/// The span over which the most that one process sends is looked for.
const WINDOW_S: usize = 10;
type Net = World<Xoshiro256PlusPlus>;

/// What a play cost, and how soon all held what was changed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Changed {
    /// From a change to the last process that holds it, in milliseconds: the median, and the most.
    /// Infinite if one was not everywhere within 30 s.
    pub everywhere_ms: (f64, f64),
    /// Bytes that each process sent in all, in the mean.
    pub bytes_each: f64,
    /// Messages that each process sent in all, in the mean.
    pub messages_each: f64,
    /// The most bytes that one process sent in 10 s.
    pub most_in_10_s: f64,
    /// Entries that each process holds at the end.
    pub entries: usize,
    /// Processor time of each process in all, in microseconds, with the simulation's own.
    pub cpu_us_each: f64,
}

/// Watches a world while it plays: what is sent, second by second.
struct Watch {
    begun: Duration,
    from: Micros,
    before: (u64, u64),
    sent_by_second: Vec<Vec<u64>>,
}

impl Watch {
    fn start(world: &Net) -> Watch {
        let sent_by_second = vec![world.sent_by.clone()];
        Watch {
            begun: thread_time(),
            from: world.now(),
            before: world.sent,
            sent_by_second,
        }
    }

    /// Plays a span no longer than a second.
    fn run(&mut self, world: &mut Net, span: Micros) {
        world.run(span);
        if world.now() >= self.from + self.sent_by_second.len() as Micros * S {
            self.sent_by_second.push(world.sent_by.clone());
        }
    }

    /// The most that one process sent in ten seconds, or in all if that was shorter.
    fn most_in_window(&self, world: &Net) -> u64 {
        let mut all: Vec<&Vec<u64>> = self.sent_by_second.iter().collect();
        all.push(&world.sent_by);
        let ends = (0..all.len()).map(|end| (all[end.saturating_sub(WINDOW_S)], all[end]));
        let most = ends.flat_map(|(from, to)| from.iter().zip(to).map(|(from, to)| to - from));
        most.max().unwrap_or(0)
    }

    fn end(self, world: &Net, mut times_ms: Vec<f64>) -> Changed {
        let processes = world.processes.iter().flatten().count() as f64;
        times_ms.sort_by(f64::total_cmp);
        let median = times_ms.get(times_ms.len() / 2).copied().unwrap_or(0.0);
        let entries = world
            .processes
            .iter()
            .flatten()
            .next()
            .map_or(0, |process| process.store.len());
        Changed {
            everywhere_ms: (median, times_ms.last().copied().unwrap_or(0.0)),
            bytes_each: (world.sent.0 - self.before.0) as f64 / processes,
            messages_each: (world.sent.1 - self.before.1) as f64 / processes,
            most_in_10_s: self.most_in_window(world) as f64,
            entries,
            cpu_us_each: (thread_time() - self.begun).as_secs_f64() * 1e6 / processes,
        }
    }
}

fn settled_world(processes: usize, seed: u64) -> Net {
    let mut world = Net::new(processes, seed);
    world.delay = DELAY;
    world.run(5 * S);
    world
}

/// An order that is on its way: when it was given, by which writer, and its key.
struct Given {
    at: Micros,
    origin: Origin,
    key: Key,
}

impl Given {
    fn is_everywhere(&self, world: &Net) -> bool {
        world
            .processes
            .iter()
            .flatten()
            .all(|process| process.store.get(self.origin, &self.key).is_some())
    }
}

/// Has one process order something.
fn order(world: &mut Net, at: usize, target: &str) -> Given {
    let mut origin = Origin(0);
    world.write(at, |store, now| {
        origin = store.me();
        Some(place_order(
            store,
            now,
            target,
            DesiredState::Drain,
            "ann",
            0,
        ))
    });
    Given {
        at: world.now(),
        origin,
        key: Key {
            kind: dewrun_replication::kinds::ORDER,
            name: target.into(),
        },
    }
}

/// Takes out the orders that are everywhere, and notes how long each took.
fn note_arrivals(world: &Net, on_their_way: &mut Vec<Given>, times_ms: &mut Vec<f64>) {
    on_their_way.retain(|given| {
        let is_everywhere = given.is_everywhere(world);
        if is_everywhere {
            times_ms.push((world.now() - given.at) as f64 / 1e3);
        }
        !is_everywhere
    });
}

/// Orders at a steady rate for ten seconds, each at a process drawn by chance.
pub fn orders_at_rate(processes: usize, per_s: f64, seed: u64) -> Changed {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut world = settled_world(processes, seed);
    let mut watch = Watch::start(&world);
    let (mut on_their_way, mut times_ms) = (Vec::new(), Vec::new());
    let (from, span) = (world.now(), WINDOW_S as Micros * S);
    let mut given = 0;
    while world.now() < from + span {
        while given as f64 <= (world.now() - from) as f64 / 1e6 * per_s {
            let at = (rng.next_u64() % processes as u64) as usize;
            on_their_way.push(order(&mut world, at, &format!("shop/{given}")));
            given += 1;
        }
        watch.run(&mut world, LOOK);
        note_arrivals(&world, &mut on_their_way, &mut times_ms);
    }
    let last = world.now();
    let changed = watch.end(&world, Vec::new());
    while !on_their_way.is_empty() && world.now() < last + PATIENCE {
        world.run(LOOK);
        note_arrivals(&world, &mut on_their_way, &mut times_ms);
    }
    times_ms.extend(on_their_way.iter().map(|_| f64::INFINITY));
    times_ms.sort_by(f64::total_cmp);
    let median = times_ms.get(times_ms.len() / 2).copied().unwrap_or(0.0);
    Changed {
        everywhere_ms: (median, times_ms.last().copied().unwrap_or(0.0)),
        ..changed
    }
}

/// One order while so many writers are remembered that have written one entry each: what copies
/// tell each other to find out what they lack names every one of them.
pub fn order_among_origins(processes: usize, origins: usize, seed: u64) -> Changed {
    let mut world = world_that_remembers(processes, origins, seed);
    let mut watch = Watch::start(&world);
    let mut on_its_way = vec![order(&mut world, 0, "shop/a")];
    let mut times_ms = Vec::new();
    let from = world.now();
    while world.now() < from + WINDOW_S as Micros * S {
        watch.run(&mut world, LOOK);
        note_arrivals(&world, &mut on_its_way, &mut times_ms);
    }
    times_ms.extend(on_its_way.iter().map(|_| f64::INFINITY));
    watch.end(&world, times_ms)
}

/// One of the processes is killed and starts with nothing, while so many writers are remembered.
/// The times are its own: until it holds what one other held.
pub fn start_among_origins(processes: usize, origins: usize, seed: u64) -> Changed {
    let mut world = world_that_remembers(processes, origins, seed);
    let started = processes / 2;
    world.kill(started);
    let mut watch = Watch::start(&world);
    world.start(started);
    let from = world.now();
    let mut took_ms = f64::INFINITY;
    while world.now() < from + WINDOW_S as Micros * S {
        watch.run(&mut world, LOOK);
        let is_caught_up = world.processes[started]
            .as_ref()
            .is_some_and(|it| it.gossip.is_caught_up());
        if is_caught_up && took_ms.is_infinite() {
            took_ms = (world.now() - from) as f64 / 1e3;
        }
    }
    watch.end(&world, vec![took_ms])
}

/// A world at rest in which each holds one entry of each of so many writers that are gone.
fn world_that_remembers(processes: usize, origins: usize, seed: u64) -> Net {
    let mut world = settled_world(processes, seed);
    for process in world.processes.iter_mut().flatten() {
        for n in 0..origins {
            process.store.merge(0, delta_of(n as u64));
        }
    }
    world.run(10 * S);
    world
}

/// One entry of a writer that is not of this world.
fn delta_of(n: u64) -> Delta {
    let key = Key {
        kind: dewrun_replication::kinds::MEMBER_STATUS,
        name: format!("shop/member-{n}"),
    };
    let item = DeltaEntry {
        version: 1,
        key,
        value: vec![0, 0],
        age: 0,
    };
    Delta {
        origin: Origin(u64::MAX / 2 + n),
        after: 0,
        upto: 1,
        items: vec![item],
    }
}

/// Every process hears of one member's drain from its own list, within 100 ms, and tells the
/// others.
pub fn drain_heard_by_all(processes: usize, seed: u64) -> Changed {
    const HEARD_WITHIN: Micros = 100 * MS;
    let mut world = settled_world(processes, seed);
    let mut watch = Watch::start(&world);
    let from = world.now();
    for at in 0..processes {
        let due = from + HEARD_WITHIN * at as Micros / processes as Micros;
        if due > world.now() {
            let span = due - world.now();
            watch.run(&mut world, span);
        }
        let news = MemberStatus {
            started_ms: 0,
            state: MemberState::Draining,
        };
        world.write(at, |store, now| report_status(store, now, "shop/a", news));
    }
    let holds_all = |world: &Net| {
        world
            .processes
            .iter()
            .flatten()
            .all(|process| process.store.len() == processes)
    };
    while !holds_all(&world) && world.now() < from + PATIENCE {
        watch.run(&mut world, LOOK);
    }
    let took_ms = if holds_all(&world) {
        (world.now() - from) as f64 / 1e3
    } else {
        f64::INFINITY
    };
    while world.now() < from + WINDOW_S as Micros * S {
        watch.run(&mut world, LOOK);
    }
    watch.end(&world, vec![took_ms])
}
