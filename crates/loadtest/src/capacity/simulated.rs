//! What control costs each process of a fleet by the fleet's size, in simulated time: budgets and
//! the replicated store. The code is that of the program; sockets, hashes of packets and the event
//! loop are not in these figures.

use super::report::Axis;
use super::Sizes;
use dewrun_simulation::budgets::{cost, Cost, Load};
use dewrun_simulation::changes::{
    drain_reported_by_all, order_among_origins, orders_at_rate, restart_among_origins, ChangeCost,
};
use dewrun_simulation::replication::{measure_catch_up, measure_orders};
use std::thread;

const BUDGETS: [usize; 8] = [1, 5, 10, 25, 50, 100, 150, 200];
const BUDGET_PROCESSES: usize = 100;
/// Orders in a play of the store's growth.
const ORDERS: usize = 5;
const CATCH_UP_ENTRIES: [usize; 7] = [50, 100, 200, 400, 800, 1_500, 10_000];
const ORDER_RATES: [usize; 6] = [1, 2, 5, 10, 20, 50];
const CHANGE_PROCESSES: usize = 200;
const ORIGINS: [usize; 7] = [50, 100, 200, 400, 800, 1_500, 3_000];
const START_PROCESSES: usize = 100;
const ORIGIN_PROCESSES: usize = 400;

const BYTES_PER_S: &str = "bytes/s";
const MESSAGES_PER_S: &str = "messages/s";
const US_PER_S: &str = "us/s";
const BYTES: &str = "bytes";
const MS: &str = "ms";

/// Plays one seed after another: what takes much memory.
fn in_turn<T>(sizes: &Sizes, play: impl Fn(u64) -> T) -> Vec<T> {
    (1..=sizes.runs as u64).map(play).collect()
}

/// Plays each seed on a thread of its own.
fn by_seed<T: Send>(sizes: &Sizes, play: impl Fn(u64) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let play = &play;
        let plays: Vec<_> = (1..=sizes.runs as u64)
            .map(|seed| scope.spawn(move || play(seed)))
            .collect();
        plays
            .into_iter()
            .map(|play| play.join().expect("a play ends"))
            .collect()
    })
}

/// Leases, by processes with one budget and by budgets in a hundred processes.
pub fn budgets(sizes: &Sizes) -> Vec<Axis> {
    let mut processes = Axis::new(
        "budgets by processes",
        "processes",
        "one budget, asked for at all, 3 voters",
    );
    for count in sizes.usual() {
        by_seed(sizes, |seed| cost(count, 1, seed))
            .iter()
            .for_each(|it| add_cost(&mut processes, count, it));
    }
    let setting = "100 processes, one budget asked for at all, the others rest, 3 voters";
    let mut budgets = Axis::new("budgets by budgets", "budgets", setting);
    for count in sizes.of(&BUDGETS) {
        let costs = by_seed(sizes, |seed| cost(BUDGET_PROCESSES, count, seed));
        costs
            .iter()
            .for_each(|it| add_cost(&mut budgets, count, it));
    }
    vec![processes.fitted(), budgets.fitted()]
}

fn add_cost(axis: &mut Axis, x: usize, cost: &Cost) {
    let x = x as f64;
    let Cost {
        holder,
        voter,
        grantor,
        recovery_s,
        ..
    } = cost;
    axis.add("a holder sends", MESSAGES_PER_S, x, holder.messages_out);
    axis.add("a holder sends, bytes", BYTES_PER_S, x, holder.bytes_out);
    axis.add("a holder is sent, bytes", BYTES_PER_S, x, holder.bytes_in);
    axis.add("a holder works", US_PER_S, x, holder.cpu_us);
    axis.add("a voter sends, bytes", BYTES_PER_S, x, voter.bytes_out);
    axis.add("a voter works", US_PER_S, x, voter.cpu_us);
    let Load {
        messages_out,
        bytes_out,
        bytes_in,
        cpu_us,
        ..
    } = grantor;
    axis.add("the grantor sends", MESSAGES_PER_S, x, *messages_out);
    axis.add("the grantor sends, bytes", BYTES_PER_S, x, *bytes_out);
    axis.add("the grantor is sent, bytes", BYTES_PER_S, x, *bytes_in);
    axis.add("the grantor works", US_PER_S, x, *cpu_us);
    if let Some(seconds) = recovery_s {
        axis.add(
            "0.95 is spent again after a tenth has died",
            "s",
            x,
            *seconds,
        );
    }
}

/// The replicated store at rest and for one order, by processes, and what one that starts takes in,
/// by entries.
pub fn entries(sizes: &Sizes) -> Vec<Axis> {
    let setting = "orders, each at another process, up to 10 ms on the way, nothing lost";
    let mut processes = Axis::new("store by processes", "processes", setting);
    for count in sizes.usual() {
        for it in by_seed(sizes, |seed| measure_orders(count, 0.0, ORDERS, seed)) {
            let x = count as f64;
            processes.add("each sends at rest", BYTES_PER_S, x, it.bytes_per_s_at_rest);
            processes.add("each sends for one order", BYTES, x, it.bytes_per_order);
            processes.add("everywhere after, median", MS, x, it.delays.median_ms);
            processes.add("everywhere after, most", MS, x, it.delays.max_ms);
        }
    }
    let setting = "one of twelve starts with nothing, entries of twelve writers, nothing lost";
    let mut catching = Axis::new("catch-up by entries", "entries", setting);
    for count in sizes.of(&CATCH_UP_ENTRIES) {
        for it in by_seed(sizes, |seed| measure_catch_up(count, 0.0, seed)) {
            let x = count as f64;
            catching.add("caught up after", MS, x, it.duration_ms);
            catching.add("all send meanwhile", BYTES, x, it.bytes as f64);
            catching.add("processor time for one entry", "ns", x, it.merge_ns);
        }
    }
    vec![processes.fitted(), catching.fitted()]
}

/// Changes: orders at a rate, one order among many writers that are remembered, and a drain that
/// every process hears.
pub fn changes(sizes: &Sizes) -> Vec<Axis> {
    let setting = "200 processes, orders for 10 s, each at a process drawn by chance";
    let mut rates = Axis::new("orders by rate", "orders a second", setting);
    for rate in sizes.of(&ORDER_RATES) {
        let plays = by_seed(sizes, |seed| {
            orders_at_rate(CHANGE_PROCESSES, rate as f64, seed)
        });
        plays
            .iter()
            .for_each(|it| add_changed(&mut rates, rate, it));
    }
    let setting =
        "400 processes, one order in 10 s, while so many writers of one entry each are remembered";
    let mut origins = Axis::new("one order by writers remembered", "writers", setting);
    for count in sizes.of(&ORIGINS) {
        let plays = by_seed(sizes, |seed| {
            order_among_origins(ORIGIN_PROCESSES, count, seed)
        });
        plays
            .iter()
            .for_each(|it| add_changed(&mut origins, count, it));
    }
    let setting =
        "100 processes, one is killed and starts with nothing while so many writers are remembered; 10 s";
    let mut starts = Axis::new("one start by writers remembered", "writers", setting);
    for count in sizes.of(&ORIGINS) {
        let plays = by_seed(sizes, |seed| {
            restart_among_origins(START_PROCESSES, count, seed)
        });
        plays
            .iter()
            .for_each(|it| add_changed(&mut starts, count, it));
    }
    let setting = "every process hears of one member's drain from its own list within 100 ms, and tells the others; 10 s";
    let mut heard = Axis::new("one drain heard by all", "processes", setting);
    for count in sizes.usual() {
        let plays = in_turn(sizes, |seed| drain_reported_by_all(count, seed));
        plays
            .iter()
            .for_each(|it| add_changed(&mut heard, count, it));
    }
    vec![
        rates.fitted(),
        origins.fitted(),
        starts.fitted(),
        heard.fitted(),
    ]
}

fn add_changed(axis: &mut Axis, x: usize, changed: &ChangeCost) {
    let x = x as f64;
    axis.add("each sends in 10 s", BYTES, x, changed.bytes_each);
    axis.add(
        "each sends in 10 s, messages",
        "messages",
        x,
        changed.messages_each,
    );
    axis.add(
        "the most that one sends in 10 s",
        BYTES,
        x,
        changed.max_bytes_in_10_s,
    );
    axis.add("everywhere after, median", MS, x, changed.delays.median_ms);
    axis.add("everywhere after, most", MS, x, changed.delays.max_ms);
    axis.add("entries held by each", "entries", x, changed.entries as f64);
    axis.add("each works in 10 s", "us", x, changed.cpu_us_each);
}
