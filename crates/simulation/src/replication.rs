//! What replication costs, in simulated time: how long an order takes to reach all processes, how
//! long a process that starts takes to catch up, and what a fleet at rest sends. The code under
//! simulation is that of `dewrun-replication`.

use dewrun_replication::entry::Delta;
use dewrun_replication::member_status::{report_status, MemberState, MemberStatus};
use dewrun_replication::orders::{place_order, DesiredState, NewOrder};
use dewrun_replication::simulation::SimulatedFleet;
use dewrun_replication::store::{Store, StoreLimits};
use dewrun_replication::{Micros, Origin};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Instant;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
type Fleet = SimulatedFleet<Xoshiro256PlusPlus>;

/// How long changes took to reach all processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delays {
    /// The median, in milliseconds.
    pub median_ms: f64,
    /// The longest, in milliseconds.
    pub max_ms: f64,
}

impl Delays {
    /// The median and the longest of some delays in milliseconds; 0 if there are none.
    pub(crate) fn of(mut delays_ms: Vec<f64>) -> Delays {
        delays_ms.sort_by(f64::total_cmp);
        let at = |n: usize| delays_ms.get(n).copied().unwrap_or(0.0);
        Delays {
            median_ms: at(delays_ms.len() / 2),
            max_ms: at(delays_ms.len().saturating_sub(1)),
        }
    }
}

/// What orders cost a fleet of some size.
#[derive(Clone, Copy, Debug)]
pub struct OrderCost {
    /// Processes of the fleet.
    pub processes: usize,
    /// The probability that a message is lost.
    pub loss: f64,
    /// From an order to the last process that holds it.
    pub delays: Delays,
    /// Bytes a second that each process sends at rest.
    pub bytes_per_s_at_rest: f64,
    /// Bytes that each process sends for one order beyond those at rest, in the mean.
    pub bytes_per_order: f64,
}

/// Gives orders, each at another process.
pub fn measure_orders(processes: usize, loss: f64, orders: usize, seed: u64) -> OrderCost {
    let mut fleet = Fleet::new(processes, seed);
    fleet.loss = loss;
    fleet.max_delay_us = 10 * MS;
    fleet.run(5 * S);
    let mut delays_ms = Vec::new();
    let mut sent = 0;
    for n in 0..orders {
        let (from, sent_before) = (fleet.now(), fleet.sent.bytes);
        delays_ms.push(give_order(&mut fleet, n));
        fleet.run(from + 2 * S - fleet.now().min(from + 2 * S));
        sent += fleet.sent.bytes - sent_before;
    }
    let bytes_per_s_at_rest = measure_rest(&mut fleet);
    let bytes_each = sent as f64 / orders as f64 / processes as f64;
    OrderCost {
        processes,
        loss,
        delays: Delays::of(delays_ms),
        bytes_per_s_at_rest,
        // Each order has two seconds of its own.
        bytes_per_order: bytes_each - 2.0 * bytes_per_s_at_rest,
    }
}

/// Gives the order of a number, and runs until all processes hold it. Gives the delay in
/// milliseconds.
fn give_order(fleet: &mut Fleet, n: usize) -> f64 {
    let (at, target) = (n * 7_919 % fleet.processes.len(), format!("shop/{n}"));
    let from = fleet.now();
    let order = NewOrder {
        target: &target,
        desired_state: DesiredState::Drain,
        operator: "ann",
        given_at_ms: 0,
    };
    fleet.write(at, |store, now| Some(place_order(store, now, order)));
    let all_hold_it = |fleet: &Fleet| {
        let mut processes = fleet.processes.iter().flatten();
        processes.all(|process| process.store.len() == n + 1)
    };
    while !all_hold_it(fleet) && fleet.now() < from + 30 * S {
        fleet.run(5 * MS);
    }
    (fleet.now() - from) as f64 / 1e3
}

/// Bytes a second that each process sends once the fleet has come to rest.
fn measure_rest(fleet: &mut Fleet) -> f64 {
    fleet.run(3 * S);
    let sent_before = fleet.sent.bytes;
    fleet.run(5 * S);
    (fleet.sent.bytes - sent_before) as f64 / 5.0 / fleet.processes.len() as f64
}

/// How a process that starts with an empty store catches up.
#[derive(Clone, Copy, Debug)]
pub struct CatchUpCost {
    /// Entries that its peers hold.
    pub entries: usize,
    /// From its start until it has caught up, in milliseconds.
    pub duration_ms: f64,
    /// Bytes that all processes sent meanwhile.
    pub bytes: u64,
    /// Real time to merge one entry, in nanoseconds.
    pub merge_ns: f64,
}

/// Restarts one of twelve processes.
pub fn measure_catch_up(entries: usize, loss: f64, seed: u64) -> CatchUpCost {
    const RESTARTED: usize = 5;
    let mut fleet = converged_fleet(entries, seed);
    fleet.run(5 * S);
    fleet.loss = loss;
    fleet.kill(RESTARTED);
    fleet.start(RESTARTED);
    let (from, sent_before) = (fleet.now(), fleet.sent.bytes);
    let is_caught_up = |fleet: &Fleet| {
        fleet.processes[RESTARTED]
            .as_ref()
            .is_some_and(|process| process.gossip.is_caught_up())
    };
    while !is_caught_up(&fleet) && fleet.now() < from + 60 * S {
        fleet.run(5 * MS);
    }
    let deltas = fleet.processes[RESTARTED]
        .as_ref()
        .map(|process| process.store.deltas(0, 40))
        .unwrap_or_default();
    CatchUpCost {
        entries,
        duration_ms: (fleet.now() - from) as f64 / 1e3,
        bytes: fleet.sent.bytes - sent_before,
        merge_ns: merge_ns(deltas) / entries as f64,
    }
}

/// Twelve processes that all hold so many entries.
fn converged_fleet(entries: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(12, seed);
    fleet.max_delay_us = 2 * MS;
    for n in 0..entries {
        fleet.write(n % 12, |store, now| {
            let status = MemberStatus {
                started_ms: n as u64,
                state: MemberState::Ready,
            };
            report_status(store, now, &format!("shop/member-{n}"), status);
            None
        });
    }
    while !fleet.has_converged() {
        fleet.run(S);
    }
    fleet
}

/// Real time to merge deltas into an empty store, in nanoseconds.
fn merge_ns(deltas: Vec<Delta>) -> f64 {
    let mut store = Store::new(Origin(1), StoreLimits::DEFAULT);
    let begun = Instant::now();
    for delta in deltas {
        store.merge(0, delta);
    }
    begun.elapsed().as_nanos() as f64
}
