//! The cost of budgets and of the replicated store per process by the size of the fleet, in simulated
//! time. The simulation runs dewrun's own code, but without sockets, hashes of packets and the event
//! loop, whose cost is therefore not included.

use super::report::Axis;
use super::Sampling;
use dewrun_simulation::budgets::{cost, Cost, Load};
use dewrun_simulation::changes::{
    drain_reported_by_all, order_among_origins, orders_at_rate, restart_among_origins, ChangeCost,
};
use dewrun_simulation::replication::{measure_catch_up, measure_orders};
use std::thread;

const BUDGET_COUNTS: [usize; 8] = [1, 5, 10, 25, 50, 100, 150, 200];
/// Processes on the axis of budgets.
const BUDGET_AXIS_PROCESSES: usize = 100;
/// Orders in one run on the store's axis of processes.
const ORDERS_PER_RUN: usize = 5;
const CATCH_UP_ENTRY_COUNTS: [usize; 7] = [50, 100, 200, 400, 800, 1_500, 10_000];
const ORDER_RATES_PER_S: [usize; 6] = [1, 2, 5, 10, 20, 50];
/// Processes on the axis of order rates.
const ORDER_RATE_PROCESSES: usize = 200;
const ORIGIN_COUNTS: [usize; 7] = [50, 100, 200, 400, 800, 1_500, 3_000];
/// Processes among which one is restarted.
const RESTART_PROCESSES: usize = 100;
/// Processes on the axis of one order by origins.
const ORDER_PROCESSES: usize = 400;

const BYTES_PER_S: &str = "bytes/s";
const MESSAGES_PER_S: &str = "messages/s";
const US_PER_S: &str = "us/s";
const BYTES: &str = "bytes";
const MS: &str = "ms";

/// Runs one seed after another, for simulations that take much memory.
fn run_sequentially<T>(sampling: &Sampling, simulate: impl Fn(u64) -> T) -> Vec<T> {
    (1..=sampling.runs as u64).map(simulate).collect()
}

/// Runs each seed on a thread of its own.
fn run_in_parallel<T: Send>(sampling: &Sampling, simulate: impl Fn(u64) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let simulate = &simulate;
        let threads: Vec<_> = (1..=sampling.runs as u64)
            .map(|seed| scope.spawn(move || simulate(seed)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("a simulation does not panic"))
            .collect()
    })
}

/// Measures the cost of leases, by processes with one budget and by budgets with a hundred processes.
pub fn budgets(sampling: &Sampling) -> Vec<Axis> {
    let mut processes = Axis::new(
        "budgets by processes",
        "processes",
        "one budget, asked for at all, 3 voters",
    );
    for count in sampling.default_points() {
        run_in_parallel(sampling, |seed| cost(count, 1, seed))
            .iter()
            .for_each(|cost| add_lease_cost(&mut processes, count, cost));
    }
    let setting = "100 processes, one budget asked for at all, the others rest, 3 voters";
    let mut budgets = Axis::new("budgets by budgets", "budgets", setting);
    for count in sampling.points(&BUDGET_COUNTS) {
        let costs = run_in_parallel(sampling, |seed| cost(BUDGET_AXIS_PROCESSES, count, seed));
        costs
            .iter()
            .for_each(|cost| add_lease_cost(&mut budgets, count, cost));
    }
    vec![processes.with_fits(), budgets.with_fits()]
}

fn add_lease_cost(axis: &mut Axis, x: usize, cost: &Cost) {
    let x = x as f64;
    let Cost {
        holder,
        voter,
        grantor,
        recovery_s,
        ..
    } = cost;
    axis.add_run("a holder sends", MESSAGES_PER_S, x, holder.messages_out);
    axis.add_run("a holder sends, bytes", BYTES_PER_S, x, holder.bytes_out);
    axis.add_run("a holder is sent, bytes", BYTES_PER_S, x, holder.bytes_in);
    axis.add_run("a holder works", US_PER_S, x, holder.cpu_us);
    axis.add_run("a voter sends, bytes", BYTES_PER_S, x, voter.bytes_out);
    axis.add_run("a voter works", US_PER_S, x, voter.cpu_us);
    let Load {
        messages_out,
        bytes_out,
        bytes_in,
        cpu_us,
        ..
    } = grantor;
    axis.add_run("the grantor sends", MESSAGES_PER_S, x, *messages_out);
    axis.add_run("the grantor sends, bytes", BYTES_PER_S, x, *bytes_out);
    axis.add_run("the grantor is sent, bytes", BYTES_PER_S, x, *bytes_in);
    axis.add_run("the grantor works", US_PER_S, x, *cpu_us);
    if let Some(seconds) = recovery_s {
        axis.add_run(
            "0.95 is spent again after a tenth has died",
            "s",
            x,
            *seconds,
        );
    }
}

/// Measures, by processes, the cost of the replicated store at rest and of one order, and, by
/// entries, the cost of the catch-up of a process that starts.
pub fn entries(sampling: &Sampling) -> Vec<Axis> {
    let setting = "orders, each at another process, up to 10 ms on the way, nothing lost";
    let mut processes = Axis::new("store by processes", "processes", setting);
    for count in sampling.default_points() {
        for cost in run_in_parallel(sampling, |seed| {
            measure_orders(count, 0.0, ORDERS_PER_RUN, seed)
        }) {
            let x = count as f64;
            processes.add_run(
                "each sends at rest",
                BYTES_PER_S,
                x,
                cost.bytes_per_s_at_rest,
            );
            processes.add_run("each sends for one order", BYTES, x, cost.bytes_per_order);
            processes.add_run("everywhere after, median", MS, x, cost.delays.median_ms);
            processes.add_run("everywhere after, most", MS, x, cost.delays.max_ms);
        }
    }
    let setting = "one of twelve starts with nothing, entries of twelve writers, nothing lost";
    let mut catch_up = Axis::new("catch-up by entries", "entries", setting);
    for count in sampling.points(&CATCH_UP_ENTRY_COUNTS) {
        for cost in run_in_parallel(sampling, |seed| measure_catch_up(count, 0.0, seed)) {
            let x = count as f64;
            catch_up.add_run("caught up after", MS, x, cost.duration_ms);
            catch_up.add_run("all send meanwhile", BYTES, x, cost.bytes as f64);
            catch_up.add_run("processor time for one entry", "ns", x, cost.merge_ns);
        }
    }
    vec![processes.with_fits(), catch_up.with_fits()]
}

/// Measures the cost of changes: orders at a rate, one order and one restart while the store holds
/// entries of many origins, and a drain that every process learns from its own list.
pub fn changes(sampling: &Sampling) -> Vec<Axis> {
    let setting = "200 processes, orders for 10 s, each at a process drawn by chance";
    let mut rates = Axis::new("orders by rate", "orders a second", setting);
    for rate in sampling.points(&ORDER_RATES_PER_S) {
        let costs = run_in_parallel(sampling, |seed| {
            orders_at_rate(ORDER_RATE_PROCESSES, rate as f64, seed)
        });
        costs
            .iter()
            .for_each(|cost| add_change_cost(&mut rates, rate, cost));
    }
    let setting =
        "400 processes, one order in 10 s, while so many writers of one entry each are remembered";
    let mut origins = Axis::new("one order by writers remembered", "writers", setting);
    for count in sampling.points(&ORIGIN_COUNTS) {
        let costs = run_in_parallel(sampling, |seed| {
            order_among_origins(ORDER_PROCESSES, count, seed)
        });
        costs
            .iter()
            .for_each(|cost| add_change_cost(&mut origins, count, cost));
    }
    let setting =
        "100 processes, one is killed and starts with nothing while so many writers are remembered; 10 s";
    let mut restarts = Axis::new("one start by writers remembered", "writers", setting);
    for count in sampling.points(&ORIGIN_COUNTS) {
        let costs = run_in_parallel(sampling, |seed| {
            restart_among_origins(RESTART_PROCESSES, count, seed)
        });
        costs
            .iter()
            .for_each(|cost| add_change_cost(&mut restarts, count, cost));
    }
    let setting = "every process hears of one member's drain from its own list within 100 ms, and tells the others; 10 s";
    let mut drains = Axis::new("one drain heard by all", "processes", setting);
    for count in sampling.default_points() {
        let costs = run_sequentially(sampling, |seed| drain_reported_by_all(count, seed));
        costs
            .iter()
            .for_each(|cost| add_change_cost(&mut drains, count, cost));
    }
    vec![
        rates.with_fits(),
        origins.with_fits(),
        restarts.with_fits(),
        drains.with_fits(),
    ]
}

fn add_change_cost(axis: &mut Axis, x: usize, cost: &ChangeCost) {
    let x = x as f64;
    axis.add_run("each sends in 10 s", BYTES, x, cost.bytes_each);
    axis.add_run(
        "each sends in 10 s, messages",
        "messages",
        x,
        cost.messages_each,
    );
    axis.add_run(
        "the most that one sends in 10 s",
        BYTES,
        x,
        cost.max_bytes_in_10_s,
    );
    axis.add_run("everywhere after, median", MS, x, cost.delays.median_ms);
    axis.add_run("everywhere after, most", MS, x, cost.delays.max_ms);
    axis.add_run("entries held by each", "entries", x, cost.entries as f64);
    axis.add_run("each works in 10 s", "us", x, cost.cpu_us_each);
}
