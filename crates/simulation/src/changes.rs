//! Costs of changes to the replicated store in a large fleet, in simulated time: a steady stream of
//! orders, one order among many known origins, and one member status that every process reports.

use crate::replication::Delays;
use crate::thread_time;
use dewrun_replication::entry::{Delta, DeltaEntry, Key};
use dewrun_replication::kind::Kind;
use dewrun_replication::member_status::{report_status, MemberState, MemberStatus};
use dewrun_replication::orders::{order_key, place_order, DesiredState, NewOrder};
use dewrun_replication::simulation::{SimulatedFleet, Traffic};
use dewrun_replication::{Micros, Origin, Timestamp};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Interval of the checks whether all processes hold a change.
const CHECK_INTERVAL_US: Micros = 5 * MS;
/// Time after which a change that has not reached all processes counts as lost.
const ORDER_TIMEOUT_US: Micros = 30 * S;
/// Longest delay of a message.
const MAX_DELAY_US: Micros = 10 * MS;
/// Window in which the maximum traffic of a process is measured, in seconds.
const WINDOW_S: usize = 10;
type Fleet = SimulatedFleet<Xoshiro256PlusPlus>;

/// Costs of changes, and their delays to all processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeCost {
    /// Delays from a change to the last process that holds it; infinite for a change that did not
    /// reach all processes within 30 s.
    pub delays: Delays,
    /// Mean number of bytes that each process sent in total.
    pub bytes_each: f64,
    /// Mean number of messages that each process sent in total.
    pub messages_each: f64,
    /// Maximum number of bytes that one process sent in 10 s.
    pub max_bytes_in_10_s: f64,
    /// Number of entries that a process holds at the end.
    pub entries: usize,
    /// Total processor time per process in microseconds, including that of the simulation.
    pub cpu_us_each: f64,
}

/// A recorder of the traffic of a fleet in each second.
struct TrafficRecorder {
    thread_time_before: Duration,
    from: Timestamp,
    sent_before: Traffic,
    sent_by_second: Vec<Vec<u64>>,
}

impl TrafficRecorder {
    fn start(fleet: &Fleet) -> TrafficRecorder {
        let sent_by_second = vec![fleet.sent_bytes_by_process.clone()];
        TrafficRecorder {
            thread_time_before: thread_time(),
            from: fleet.now(),
            sent_before: fleet.sent,
            sent_by_second,
        }
    }

    /// Runs the fleet for at most one second and records its traffic.
    fn run(&mut self, fleet: &mut Fleet, duration_us: Micros) {
        fleet.run(duration_us);
        if fleet.now() >= self.from + self.sent_by_second.len() as Micros * S {
            self.sent_by_second
                .push(fleet.sent_bytes_by_process.clone());
        }
    }

    /// Returns the maximum number of bytes that one process sent in ten seconds, or in total if the
    /// recording is shorter.
    fn max_bytes_in_window(&self, fleet: &Fleet) -> u64 {
        let mut all: Vec<&Vec<u64>> = self.sent_by_second.iter().collect();
        all.push(&fleet.sent_bytes_by_process);
        let ends = (0..all.len()).map(|end| (all[end.saturating_sub(WINDOW_S)], all[end]));
        let sent = ends.flat_map(|(from, to)| from.iter().zip(to).map(|(from, to)| to - from));
        sent.max().unwrap_or(0)
    }

    fn end(self, fleet: &Fleet, delays_ms: Vec<f64>) -> ChangeCost {
        let processes = fleet.processes.iter().flatten().count() as f64;
        let entries = fleet
            .processes
            .iter()
            .flatten()
            .next()
            .map_or(0, |process| process.store.len());
        ChangeCost {
            delays: Delays::of(delays_ms),
            bytes_each: (fleet.sent.bytes - self.sent_before.bytes) as f64 / processes,
            messages_each: (fleet.sent.messages - self.sent_before.messages) as f64 / processes,
            max_bytes_in_10_s: self.max_bytes_in_window(fleet) as f64,
            entries,
            cpu_us_each: (thread_time() - self.thread_time_before).as_secs_f64() * 1e6 / processes,
        }
    }
}

fn settled_fleet(processes: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(processes, seed);
    fleet.max_delay_us = MAX_DELAY_US;
    fleet.run(5 * S);
    fleet
}

/// An order that has not reached all processes.
struct PendingOrder {
    placed_at: Timestamp,
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

/// Places an order at one process.
fn place_order_at(fleet: &mut Fleet, at: usize, target: &str) -> PendingOrder {
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
        placed_at: fleet.now(),
        origin,
        key: order_key(target),
    }
}

/// Removes the orders that have reached all processes, and records their delays.
fn record_arrivals(fleet: &Fleet, pending: &mut Vec<PendingOrder>, delays_ms: &mut Vec<f64>) {
    pending.retain(|order| {
        let is_everywhere = order.is_everywhere(fleet);
        if is_everywhere {
            delays_ms.push((fleet.now() - order.placed_at) as f64 / 1e3);
        }
        !is_everywhere
    });
}

/// Places orders at a steady rate for ten seconds, each at a random process.
pub fn orders_at_rate(processes: usize, per_s: f64, seed: u64) -> ChangeCost {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut fleet = settled_fleet(processes, seed);
    let mut recorder = TrafficRecorder::start(&fleet);
    let (mut pending, mut delays_ms) = (Vec::new(), Vec::new());
    let (from, span) = (fleet.now(), WINDOW_S as Micros * S);
    let mut order_count = 0;
    while fleet.now() < from + span {
        while order_count as f64 <= (fleet.now() - from) as f64 / 1e6 * per_s {
            let at = (rng.next_u64() % processes as u64) as usize;
            pending.push(place_order_at(
                &mut fleet,
                at,
                &format!("shop/{order_count}"),
            ));
            order_count += 1;
        }
        recorder.run(&mut fleet, CHECK_INTERVAL_US);
        record_arrivals(&fleet, &mut pending, &mut delays_ms);
    }
    let last = fleet.now();
    let cost = recorder.end(&fleet, Vec::new());
    while !pending.is_empty() && fleet.now() < last + ORDER_TIMEOUT_US {
        fleet.run(CHECK_INTERVAL_US);
        record_arrivals(&fleet, &mut pending, &mut delays_ms);
    }
    delays_ms.extend(pending.iter().map(|_| f64::INFINITY));
    ChangeCost {
        delays: Delays::of(delays_ms),
        ..cost
    }
}

/// Places one order in a fleet that knows this number of origins, with one entry each. A version
/// vector names all of them.
pub fn order_among_origins(processes: usize, origins: usize, seed: u64) -> ChangeCost {
    let mut fleet = fleet_with_origins(processes, origins, seed);
    let mut recorder = TrafficRecorder::start(&fleet);
    let mut pending = vec![place_order_at(&mut fleet, 0, "shop/a")];
    let mut delays_ms = Vec::new();
    let from = fleet.now();
    while fleet.now() < from + WINDOW_S as Micros * S {
        recorder.run(&mut fleet, CHECK_INTERVAL_US);
        record_arrivals(&fleet, &mut pending, &mut delays_ms);
    }
    delays_ms.extend(pending.iter().map(|_| f64::INFINITY));
    recorder.end(&fleet, delays_ms)
}

/// Restarts one process of a fleet that knows this number of origins. The delays are those until
/// the process has caught up.
pub fn restart_among_origins(processes: usize, origins: usize, seed: u64) -> ChangeCost {
    let mut fleet = fleet_with_origins(processes, origins, seed);
    let restarted = processes / 2;
    fleet.kill(restarted);
    let mut recorder = TrafficRecorder::start(&fleet);
    fleet.start(restarted);
    let from = fleet.now();
    let mut delay_ms = f64::INFINITY;
    while fleet.now() < from + WINDOW_S as Micros * S {
        recorder.run(&mut fleet, CHECK_INTERVAL_US);
        let is_caught_up = fleet.processes[restarted]
            .as_ref()
            .is_some_and(|process| process.gossip.is_caught_up());
        if is_caught_up && delay_ms.is_infinite() {
            delay_ms = (fleet.now() - from) as f64 / 1e3;
        }
    }
    recorder.end(&fleet, vec![delay_ms])
}

/// Returns an idle fleet that holds one entry of each of this number of removed origins.
fn fleet_with_origins(processes: usize, origins: usize, seed: u64) -> Fleet {
    let mut fleet = settled_fleet(processes, seed);
    for process in fleet.processes.iter_mut().flatten() {
        for n in 0..origins {
            process.store.merge(0, delta_of(n as u64));
        }
    }
    fleet.run(10 * S);
    fleet
}

/// Returns a delta with one entry of an origin that is not a process of the fleet.
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

/// Measures a member status that every process reports: within 100 ms, each process reads in its
/// own endpoint list that a member is draining.
pub fn drain_reported_by_all(processes: usize, seed: u64) -> ChangeCost {
    let mut fleet = settled_fleet(processes, seed);
    let mut recorder = TrafficRecorder::start(&fleet);
    let from = fleet.now();
    report_drain_at_all(&mut fleet, &mut recorder);
    while !all_hold(&fleet, processes) && fleet.now() < from + ORDER_TIMEOUT_US {
        recorder.run(&mut fleet, CHECK_INTERVAL_US);
    }
    let delay_ms = if all_hold(&fleet, processes) {
        (fleet.now() - from) as f64 / 1e3
    } else {
        f64::INFINITY
    };
    while fleet.now() < from + WINDOW_S as Micros * S {
        recorder.run(&mut fleet, CHECK_INTERVAL_US);
    }
    recorder.end(&fleet, vec![delay_ms])
}

/// Lets the processes report the drain of one member, evenly distributed over 100 ms.
fn report_drain_at_all(fleet: &mut Fleet, recorder: &mut TrafficRecorder) {
    const REPORT_SPREAD_US: Micros = 100 * MS;
    let (from, processes) = (fleet.now(), fleet.processes.len());
    for at in 0..processes {
        let due = from + REPORT_SPREAD_US * at as Micros / processes as Micros;
        if due > fleet.now() {
            let duration_us = due - fleet.now();
            recorder.run(fleet, duration_us);
        }
        let status = MemberStatus {
            started_ms: 0,
            state: MemberState::Draining,
        };
        fleet.write(at, |store, now| report_status(store, now, "shop/a", status));
    }
}

/// Returns whether all processes hold this number of entries.
fn all_hold(fleet: &Fleet, entries: usize) -> bool {
    let mut processes = fleet.processes.iter().flatten();
    processes.all(|process| process.store.len() == entries)
}
