//! Costs of replication in simulated time: the delay of an order to all processes, the time that a
//! restarted process takes to catch up, and the traffic of an idle fleet. The simulated code is
//! that of `dewrun-replication`.

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

/// Delays of changes to all processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delays {
    /// Median delay in milliseconds.
    pub median_ms: f64,
    /// Longest delay in milliseconds.
    pub max_ms: f64,
}

impl Delays {
    /// Returns the median and the longest of some delays in milliseconds; 0 if there are none.
    pub(crate) fn of(mut delays_ms: Vec<f64>) -> Delays {
        delays_ms.sort_by(f64::total_cmp);
        let at = |n: usize| delays_ms.get(n).copied().unwrap_or(0.0);
        Delays {
            median_ms: at(delays_ms.len() / 2),
            max_ms: at(delays_ms.len().saturating_sub(1)),
        }
    }
}

/// Costs of orders in a fleet of some size.
#[derive(Clone, Copy, Debug)]
pub struct OrderCost {
    /// Number of processes in the fleet.
    pub processes: usize,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Delays from an order to the last process that holds it.
    pub delays: Delays,
    /// Bytes per second that each process sends while the fleet is idle.
    pub bytes_per_s_at_rest: f64,
    /// Mean number of bytes that each process sends for one order, without the idle traffic.
    pub bytes_per_order: f64,
}

/// Places orders, each at another process, and measures their delays and traffic.
pub fn measure_orders(processes: usize, loss: f64, orders: usize, seed: u64) -> OrderCost {
    let mut fleet = Fleet::new(processes, seed);
    fleet.loss = loss;
    fleet.max_delay_us = 10 * MS;
    fleet.run(5 * S);
    let mut delays_ms = Vec::new();
    let mut sent = 0;
    for n in 0..orders {
        let (from, sent_before) = (fleet.now(), fleet.sent.bytes);
        delays_ms.push(place_order_everywhere(&mut fleet, n));
        fleet.run(from + 2 * S - fleet.now().min(from + 2 * S));
        sent += fleet.sent.bytes - sent_before;
    }
    let bytes_per_s_at_rest = measure_idle_traffic(&mut fleet);
    let bytes_each = sent as f64 / orders as f64 / processes as f64;
    OrderCost {
        processes,
        loss,
        delays: Delays::of(delays_ms),
        bytes_per_s_at_rest,
        // The traffic of each order was counted over two seconds.
        bytes_per_order: bytes_each - 2.0 * bytes_per_s_at_rest,
    }
}

/// Places the order with a number and runs until all processes hold it. Returns the delay in
/// milliseconds.
fn place_order_everywhere(fleet: &mut Fleet, n: usize) -> f64 {
    let (at, target) = (n * 7_919 % fleet.processes.len(), format!("shop/{n}"));
    let from = fleet.now();
    let order = NewOrder {
        target: &target,
        desired_state: DesiredState::Drain,
        operator: "ann",
        given_at_ms: 0,
    };
    fleet.write(at, |store, now| Some(place_order(store, now, order)));
    let is_everywhere = |fleet: &Fleet| {
        let mut processes = fleet.processes.iter().flatten();
        processes.all(|process| process.store.len() == n + 1)
    };
    while !is_everywhere(fleet) && fleet.now() < from + 30 * S {
        fleet.run(5 * MS);
    }
    (fleet.now() - from) as f64 / 1e3
}

/// Returns the bytes per second that each process of an idle fleet sends.
fn measure_idle_traffic(fleet: &mut Fleet) -> f64 {
    fleet.run(3 * S);
    let sent_before = fleet.sent.bytes;
    fleet.run(5 * S);
    (fleet.sent.bytes - sent_before) as f64 / 5.0 / fleet.processes.len() as f64
}

/// Costs of catching up for a process that starts with an empty store.
#[derive(Clone, Copy, Debug)]
pub struct CatchUpCost {
    /// Number of entries that its peers hold.
    pub entries: usize,
    /// Time from its start until it has caught up, in milliseconds.
    pub duration_ms: f64,
    /// Bytes that all processes sent in this time.
    pub bytes: u64,
    /// Real time to merge one entry, in nanoseconds.
    pub merge_ns: f64,
}

/// Restarts one of twelve processes and measures how it catches up.
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

/// Returns a fleet of twelve processes that all hold this number of entries.
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

/// Returns the real time to merge deltas into an empty store, in nanoseconds.
fn merge_ns(deltas: Vec<Delta>) -> f64 {
    let mut store = Store::new(Origin(1), StoreLimits::DEFAULT);
    let started_at = Instant::now();
    for delta in deltas {
        store.merge(0, delta);
    }
    started_at.elapsed().as_nanos() as f64
}
