//! What changes of the replicated store cost a large fleet, in simulated time: a steady stream of
//! orders, one order among many known origins, and one member status that every process reports.

use crate::thread_time;
use dewrun_replication::entry::{Delta, DeltaEntry, Key};
use dewrun_replication::kind::Kind;
use dewrun_replication::member_status::{report_status, MemberState, MemberStatus};
use dewrun_replication::orders::{order_key, place_order, DesiredState, NewOrder};
use dewrun_replication::simulation::{SimulatedFleet, Traffic};
use dewrun_replication::{Micros, Origin};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// The time between two checks of which processes hold what.
const CHECK_INTERVAL_US: Micros = 5 * MS;
/// After this time a change that has not reached all processes is given up.
const ORDER_TIMEOUT_US: Micros = 30 * S;
/// The longest time that a message takes.
const MAX_DELAY_US: Micros = 10 * MS;
/// The time, in seconds, for which the most that one process sends is taken.
const WINDOW_S: usize = 10;
type Fleet = SimulatedFleet<Xoshiro256PlusPlus>;

/// What changes cost, and how soon all processes held them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Changed {
    /// From a change to the last process that holds it, in milliseconds: the median, and the
    /// longest. Infinite for a change that did not reach all within 30 s.
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

/// Records what a fleet sends, second by second.
struct Watch {
    begun: Duration,
    from: Micros,
    before: Traffic,
    sent_by_second: Vec<Vec<u64>>,
}

impl Watch {
    fn start(fleet: &Fleet) -> Watch {
        let sent_by_second = vec![fleet.sent_bytes_by_process.clone()];
        Watch {
            begun: thread_time(),
            from: fleet.now(),
            before: fleet.sent,
            sent_by_second,
        }
    }

    /// Runs the fleet for a time no longer than a second.
    fn run(&mut self, fleet: &mut Fleet, span: Micros) {
        fleet.run(span);
        if fleet.now() >= self.from + self.sent_by_second.len() as Micros * S {
            self.sent_by_second
                .push(fleet.sent_bytes_by_process.clone());
        }
    }

    /// The most that one process sent in ten seconds, or in all if that was shorter.
    fn most_in_window(&self, fleet: &Fleet) -> u64 {
        let mut all: Vec<&Vec<u64>> = self.sent_by_second.iter().collect();
        all.push(&fleet.sent_bytes_by_process);
        let ends = (0..all.len()).map(|end| (all[end.saturating_sub(WINDOW_S)], all[end]));
        let most = ends.flat_map(|(from, to)| from.iter().zip(to).map(|(from, to)| to - from));
        most.max().unwrap_or(0)
    }

    fn end(self, fleet: &Fleet, mut times_ms: Vec<f64>) -> Changed {
        let processes = fleet.processes.iter().flatten().count() as f64;
        times_ms.sort_by(f64::total_cmp);
        let median = times_ms.get(times_ms.len() / 2).copied().unwrap_or(0.0);
        let entries = fleet
            .processes
            .iter()
            .flatten()
            .next()
            .map_or(0, |process| process.store.len());
        Changed {
            everywhere_ms: (median, times_ms.last().copied().unwrap_or(0.0)),
            bytes_each: (fleet.sent.bytes - self.before.bytes) as f64 / processes,
            messages_each: (fleet.sent.messages - self.before.messages) as f64 / processes,
            most_in_10_s: self.most_in_window(fleet) as f64,
            entries,
            cpu_us_each: (thread_time() - self.begun).as_secs_f64() * 1e6 / processes,
        }
    }
}

fn settled_fleet(processes: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(processes, seed);
    fleet.max_delay_us = MAX_DELAY_US;
    fleet.run(5 * S);
    fleet
}

/// An order that has not reached all processes: when it was given, by which origin, and its key.
struct PendingOrder {
    at: Micros,
    origin: Origin,
    key: Key,
}

impl PendingOrder {
    fn is_everywhere(&self, fleet: &Fleet) -> bool {
        fleet
            .processes
            .iter()
            .flatten()
            .all(|process| process.store.get(self.origin, &self.key).is_some())
    }
}

/// Gives an order at one process.
fn order(fleet: &mut Fleet, at: usize, target: &str) -> PendingOrder {
    let mut origin = Origin(0);
    fleet.write(at, |store, now| {
        origin = store.origin();
        Some(place_order(
            store,
            now,
            NewOrder {
                target,
                desired_state: DesiredState::Drain,
                operator: "ann",
                given_at_ms: 0,
            },
        ))
    });
    PendingOrder {
        at: fleet.now(),
        origin,
        key: order_key(target),
    }
}

/// Takes out the orders that have reached all processes, and records how long each took.
fn record_arrivals(fleet: &Fleet, pending: &mut Vec<PendingOrder>, times_ms: &mut Vec<f64>) {
    pending.retain(|order| {
        let is_everywhere = order.is_everywhere(fleet);
        if is_everywhere {
            times_ms.push((fleet.now() - order.at) as f64 / 1e3);
        }
        !is_everywhere
    });
}

/// Gives orders at a steady rate for ten seconds, each at a process drawn at random.
pub fn orders_at_rate(processes: usize, per_s: f64, seed: u64) -> Changed {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut fleet = settled_fleet(processes, seed);
    let mut watch = Watch::start(&fleet);
    let (mut pending, mut times_ms) = (Vec::new(), Vec::new());
    let (from, span) = (fleet.now(), WINDOW_S as Micros * S);
    let mut given = 0;
    while fleet.now() < from + span {
        while given as f64 <= (fleet.now() - from) as f64 / 1e6 * per_s {
            let at = (rng.next_u64() % processes as u64) as usize;
            pending.push(order(&mut fleet, at, &format!("shop/{given}")));
            given += 1;
        }
        watch.run(&mut fleet, CHECK_INTERVAL_US);
        record_arrivals(&fleet, &mut pending, &mut times_ms);
    }
    let last = fleet.now();
    let changed = watch.end(&fleet, Vec::new());
    while !pending.is_empty() && fleet.now() < last + ORDER_TIMEOUT_US {
        fleet.run(CHECK_INTERVAL_US);
        record_arrivals(&fleet, &mut pending, &mut times_ms);
    }
    times_ms.extend(pending.iter().map(|_| f64::INFINITY));
    times_ms.sort_by(f64::total_cmp);
    let median = times_ms.get(times_ms.len() / 2).copied().unwrap_or(0.0);
    Changed {
        everywhere_ms: (median, times_ms.last().copied().unwrap_or(0.0)),
        ..changed
    }
}

/// Gives one order in a fleet that knows so many origins, of one entry each: a version vector names
/// all of them.
pub fn order_among_origins(processes: usize, origins: usize, seed: u64) -> Changed {
    let mut fleet = fleet_that_remembers(processes, origins, seed);
    let mut watch = Watch::start(&fleet);
    let mut pending = vec![order(&mut fleet, 0, "shop/a")];
    let mut times_ms = Vec::new();
    let from = fleet.now();
    while fleet.now() < from + WINDOW_S as Micros * S {
        watch.run(&mut fleet, CHECK_INTERVAL_US);
        record_arrivals(&fleet, &mut pending, &mut times_ms);
    }
    times_ms.extend(pending.iter().map(|_| f64::INFINITY));
    watch.end(&fleet, times_ms)
}

/// Restarts one process of a fleet that knows so many origins. The times are those until it has
/// caught up.
pub fn start_among_origins(processes: usize, origins: usize, seed: u64) -> Changed {
    let mut fleet = fleet_that_remembers(processes, origins, seed);
    let started = processes / 2;
    fleet.kill(started);
    let mut watch = Watch::start(&fleet);
    fleet.start(started);
    let from = fleet.now();
    let mut took_ms = f64::INFINITY;
    while fleet.now() < from + WINDOW_S as Micros * S {
        watch.run(&mut fleet, CHECK_INTERVAL_US);
        let is_caught_up = fleet.processes[started]
            .as_ref()
            .is_some_and(|process| process.gossip.is_caught_up());
        if is_caught_up && took_ms.is_infinite() {
            took_ms = (fleet.now() - from) as f64 / 1e3;
        }
    }
    watch.end(&fleet, vec![took_ms])
}

/// A fleet at rest that holds one entry of each of so many origins that are gone.
fn fleet_that_remembers(processes: usize, origins: usize, seed: u64) -> Fleet {
    let mut fleet = settled_fleet(processes, seed);
    for process in fleet.processes.iter_mut().flatten() {
        for n in 0..origins {
            process.store.merge(0, delta_of(n as u64));
        }
    }
    fleet.run(10 * S);
    fleet
}

/// One entry of an origin that is not a process of the fleet.
fn delta_of(n: u64) -> Delta {
    let key = Key {
        kind: Kind::MEMBER_STATUS,
        name: format!("shop/member-{n}"),
    };
    let entry = DeltaEntry {
        version: 1,
        key,
        value: vec![0, 0],
        age_us: 0,
    };
    Delta {
        origin: Origin(u64::MAX / 2 + n),
        after: 0,
        up_to: 1,
        entries: vec![entry],
    }
}

/// Every process reads that a member drains in its own endpoint list, within 100 ms, and reports
/// it.
pub fn drain_heard_by_all(processes: usize, seed: u64) -> Changed {
    const REPORT_SPREAD_US: Micros = 100 * MS;
    let mut fleet = settled_fleet(processes, seed);
    let mut watch = Watch::start(&fleet);
    let from = fleet.now();
    for at in 0..processes {
        let due = from + REPORT_SPREAD_US * at as Micros / processes as Micros;
        if due > fleet.now() {
            let span = due - fleet.now();
            watch.run(&mut fleet, span);
        }
        let status = MemberStatus {
            started_ms: 0,
            state: MemberState::Draining,
        };
        fleet.write(at, |store, now| report_status(store, now, "shop/a", status));
    }
    let holds_all = |fleet: &Fleet| {
        fleet
            .processes
            .iter()
            .flatten()
            .all(|process| process.store.len() == processes)
    };
    while !holds_all(&fleet) && fleet.now() < from + ORDER_TIMEOUT_US {
        watch.run(&mut fleet, CHECK_INTERVAL_US);
    }
    let took_ms = if holds_all(&fleet) {
        (fleet.now() - from) as f64 / 1e3
    } else {
        f64::INFINITY
    };
    while fleet.now() < from + WINDOW_S as Micros * S {
        watch.run(&mut fleet, CHECK_INTERVAL_US);
    }
    watch.end(&fleet, vec![took_ms])
}
