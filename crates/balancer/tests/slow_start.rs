//! Slow start over a fleet: all processes together must not overload a cold endpoint, for any
//! number of processes and any distribution of traffic.

mod common;
use common::*;
use dewrun_balancer::*;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

const WARM_ENDPOINTS: u32 = 4;
const COLD_ENDPOINT: EndpointId = 99;
/// Requests per second that a warm endpoint serves, one after another.
const CAPACITY_PER_S: f64 = 5.0;
/// Timeout of a request at its endpoint.
const REQUEST_TIMEOUT_MS: Millis = 2_000.0;
const TICK_MS: Millis = 5.0;
/// Start time of the cold endpoint, and length of the simulation after it.
const STARTED_AT_MS: Millis = 16_000.0;
const WATCH_MS: Millis = 9_000.0;

/// Distribution of traffic over processes and time.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    processes: u32,
    /// Whether all processes get the same traffic, instead of weights from 0.3 to 4.
    is_even: bool,
    /// Time after the start at which the load rises from a quarter to one and a half of the
    /// capacity.
    burst_after_ms: Option<Millis>,
    /// Whether half of the processes restart without state when the endpoint starts.
    restarts: bool,
    /// Fleet size in the settings.
    fleet_size: u32,
    /// Number of warm endpoints that remain when the cold endpoint starts.
    remaining_warm: u32,
}

/// Runs the simulation. Returns the times at which the cold endpoint got requests, relative to its
/// start.
fn simulate(traffic: Traffic, seed: u64) -> Vec<Millis> {
    let tier = Tier {
        warm: WARM_ENDPOINTS,
        capacity: CAPACITY_PER_S,
        load: 1.0,
        tick: TICK_MS,
    };
    simulate_with_restarts(traffic, tier, seed, |at| {
        (traffic.restarts && at % 2 == 0).then_some(traffic.fleet_size)
    })
}

/// A tier of endpoints and its load.
#[derive(Clone, Copy, Debug)]
struct Tier {
    /// Number of warm endpoints before the start of the cold one.
    warm: u32,
    /// Requests per second that a warm endpoint serves.
    capacity: f64,
    /// Load as a multiple of the usual load.
    load: f64,
    /// Time step, in which a process gets at most one request.
    tick: Millis,
}

/// Runs the simulation for any tier. `restarts` returns the fleet size that membership reports to a
/// process that restarts, and `None` for other processes.
fn simulate_with_restarts(
    traffic: Traffic,
    tier: Tier,
    seed: u64,
    restarts: impl Fn(usize) -> Option<u32>,
) -> Vec<Millis> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let fleet = Settings {
        fleet_size: traffic.fleet_size,
        ..settings()
    };
    let cold = EndpointInfo {
        started_at: Some(STARTED_AT_MS),
        ..endpoint(COLD_ENDPOINT)
    };
    let new_process = |rank: u32, seed: u64, list: &[EndpointInfo]| {
        Proxy::seeded(
            Settings {
                rank: rank % traffic.fleet_size,
                ..fleet.clone()
            },
            seed,
            list,
        )
    };
    let mut processes: Vec<Proxy> = (0..traffic.processes)
        .map(|rank| new_process(rank, random.random(), &endpoints(tier.warm)))
        .collect();
    let weights: Vec<f64> = processes
        .iter()
        .map(|_| {
            if traffic.is_even {
                1.0
            } else {
                random.random_range(0.3..4.0)
            }
        })
        .collect();
    let sum: f64 = weights.iter().sum();
    let notified_at: Vec<Millis> = processes
        .iter()
        .map(|_| STARTED_AT_MS + random.random_range(0.0..1_500.0))
        .collect();
    let (mut notified, mut in_flight, mut sent_at) =
        (vec![false; processes.len()], Vec::new(), Vec::new());
    let mut free_at = std::collections::BTreeMap::new();
    // Returns the end time and the outcome of a request.
    let mut serve = |to: EndpointId, now: Millis| {
        let service = 1_000.0
            / (tier.capacity
                * if to == COLD_ENDPOINT {
                    slow_start_factor(now - STARTED_AT_MS)
                } else {
                    1.0
                });
        let free: &mut Millis = free_at.entry(to).or_insert(0.0);
        let end = free.max(now) + service;
        if end > now + REQUEST_TIMEOUT_MS {
            return (now + REQUEST_TIMEOUT_MS, Outcome::Timeout);
        }
        *free = end;
        (end, Outcome::Ok)
    };
    let full = tier.load * f64::from(tier.warm) * tier.capacity;
    let mut now = 1_000.0;
    while now < STARTED_AT_MS + WATCH_MS {
        let rate = match traffic.burst_after_ms {
            Some(after) if now < STARTED_AT_MS + after => 0.25 * full,
            Some(_) => 1.5 * full,
            None => 0.9 * full,
        };
        type InFlight = (usize, Sent, (Millis, Outcome));
        let (ended, remaining): (Vec<InFlight>, Vec<InFlight>) = in_flight
            .into_iter()
            .partition(|(_, _, (end, _))| *end <= now);
        in_flight = remaining;
        for (i, sent, (_, outcome)) in ended {
            processes[i].now = now;
            processes[i].end(sent, outcome);
        }
        for i in 0..processes.len() {
            processes[i].now = now;
            if now >= notified_at[i] && !std::mem::replace(&mut notified[i], true) {
                let list: Vec<EndpointInfo> = endpoints(traffic.remaining_warm)
                    .into_iter()
                    .chain([cold])
                    .collect();
                if let Some(size) = restarts(i) {
                    in_flight.retain(|(at, ..)| *at != i);
                    processes[i] = new_process(i as u32, random.random(), &[]);
                    processes[i].now = now;
                    processes[i]
                        .balancer
                        .set_fleet_position(i as u32 % size, size);
                }
                processes[i].list(ListKind::Full, &list);
            }
            if random.random_bool((rate * weights[i] / sum * tier.tick / 1_000.0).min(1.0)) {
                if let Some(sent) = processes[i].request(0, 0, 4_000.0) {
                    if sent.to == COLD_ENDPOINT {
                        sent_at.push(now - STARTED_AT_MS);
                    }
                    in_flight.push((i, sent, serve(sent.to, now)));
                }
            }
        }
        now += tier.tick;
    }
    sent_at
}

/// Returns the fraction of its capacity that the cold endpoint has at a time after its start.
fn slow_start_factor(elapsed_ms: Millis) -> f64 {
    let rules = settings().rules;
    (rules.slow_start_from + (1.0 - rules.slow_start_from) * elapsed_ms / rules.slow_start_ms)
        .min(1.0)
}

/// Returns the requests that the rules permit in a window that begins at a time after the start.
fn overload_limit(elapsed_ms: Millis) -> f64 {
    overload_limit_of(CAPACITY_PER_S, elapsed_ms)
}

fn overload_limit_of(capacity: f64, elapsed_ms: Millis) -> f64 {
    let rules = settings().rules;
    rules.overload_multiple * slow_start_factor(elapsed_ms) * capacity * rules.overload_ms / 1_000.0
}

#[test]
fn slow_start_holds_for_fleets_of_any_size() {
    let window_ms = settings().rules.overload_ms;
    for processes in [1, 3, 10, 30, 100, 300] {
        let usual = Traffic {
            processes,
            is_even: true,
            burst_after_ms: None,
            restarts: false,
            fleet_size: processes,
            remaining_warm: 1,
        };
        for traffic in [
            usual,
            Traffic {
                is_even: false,
                ..usual
            },
            Traffic {
                burst_after_ms: Some(3_000.0),
                ..usual
            },
            Traffic {
                is_even: false,
                burst_after_ms: Some(5_000.0),
                ..usual
            },
            Traffic {
                is_even: false,
                restarts: true,
                ..usual
            },
            Traffic {
                restarts: true,
                burst_after_ms: Some(2_000.0),
                ..usual
            },
            Traffic {
                fleet_size: processes.div_ceil(2),
                ..usual
            },
            Traffic {
                remaining_warm: WARM_ENDPOINTS,
                ..usual
            },
            Traffic {
                remaining_warm: 0,
                ..usual
            },
            Traffic {
                remaining_warm: 0,
                is_even: false,
                burst_after_ms: Some(2_000.0),
                ..usual
            },
        ] {
            let mut served = 0;
            for seed in 0..3 {
                let sent_at = simulate(traffic, seed);
                served += sent_at.len();
                for from in &sent_at {
                    let count = sent_at
                        .iter()
                        .filter(|at| *at >= from && **at < from + window_ms)
                        .count();
                    let overload_limit = overload_limit(*from);
                    let limit = overload_limit + 2.0 * overload_limit.sqrt() + 2.0;
                    assert!(
                        count as f64 <= limit,
                        "{traffic:?}, seed {seed}: {count} in the window from {from:.0} ms, {limit:.1} permitted"
                    );
                }
            }
            assert!(
                served >= 3 * 4,
                "{traffic:?}: {served} requests in three runs to the cold endpoint"
            );
        }
    }
}

/// Returns the number of requests in the window that is fullest relative to its limit, and that
/// limit, which includes an allowance for chance.
fn fullest_window(sent_at: &[Millis], capacity: f64) -> (usize, f64) {
    let window_ms = settings().rules.overload_ms;
    let mut fullest = (0, f64::INFINITY);
    let mut end = 0;
    for (n, from) in sent_at.iter().enumerate() {
        while end < sent_at.len() && sent_at[end] < from + window_ms {
            end += 1;
        }
        let overload_limit = overload_limit_of(capacity, *from);
        let limit = overload_limit + 2.0 * overload_limit.sqrt() + 2.0;
        if (end - n) as f64 / limit > f64::from(fullest.0) / fullest.1 {
            fullest = ((end - n) as u32, limit);
        }
    }
    (fullest.0 as usize, fullest.1)
}

/// Tests the overload rule where the response rate of a cold endpoint proves its capacity, in tiers
/// in which none, one or all warm endpoints remain.
#[test]
fn slow_start_holds_where_responses_prove_the_capacity() {
    let tier = Tier {
        warm: WARM_ENDPOINTS,
        capacity: 1_000.0,
        load: 1.0,
        tick: 0.5,
    };
    let slow_start_ms = settings().rules.slow_start_ms;
    for processes in [3, 5] {
        for remaining_warm in [0, 1, WARM_ENDPOINTS] {
            for burst_after_ms in [None, Some(2_000.0)] {
                let traffic = Traffic {
                    processes,
                    is_even: true,
                    burst_after_ms,
                    restarts: false,
                    fleet_size: processes,
                    remaining_warm,
                };
                for seed in 0..2 {
                    let sent_at = simulate_with_restarts(traffic, tier, seed, |_| None);
                    let while_cold = sent_at.into_iter().filter(|at| *at < slow_start_ms);
                    let while_cold: Vec<Millis> = while_cold.collect();
                    let (count, limit) = fullest_window(&while_cold, tier.capacity);
                    let case = format!("{traffic:?}, seed {seed}: {count}, {limit:.1} permitted");
                    println!("{case}");
                    assert!(count as f64 <= limit, "{case}");
                }
            }
        }
    }
}

/// A process that starts sees few members of a large fleet at first. The fleet size determines its
/// share of a cold endpoint's budget, so it uses the size reported by its sponsor until its own
/// view is complete.
#[test]
fn slow_start_holds_for_1500_processes_while_100_restart() {
    const PROCESSES: u32 = 1_500;
    const RESTARTED: usize = 100;
    /// Fleet sizes of incomplete views: members seen at first out of 1,500, and a process that sees
    /// only itself.
    const SEEN_AT_FIRST: [u32; 2] = [214, 1];
    let every = PROCESSES as usize / RESTARTED;
    let sparse = Tier {
        warm: WARM_ENDPOINTS,
        capacity: CAPACITY_PER_S,
        load: 1.0,
        tick: TICK_MS,
    };
    // The service has one in 46 of 1,500 endpoints, and each process gets one request per second.
    let dense = Tier {
        warm: 33,
        capacity: 50.0,
        load: 1.0,
        tick: TICK_MS,
    };
    for tier in [sparse, dense] {
        let usual = Traffic {
            processes: PROCESSES,
            is_even: true,
            burst_after_ms: None,
            restarts: false,
            fleet_size: PROCESSES,
            remaining_warm: tier.warm,
        };
        for traffic in [
            usual,
            Traffic {
                burst_after_ms: Some(1_500.0),
                ..usual
            },
            Traffic {
                remaining_warm: 1,
                ..usual
            },
        ] {
            for size in [PROCESSES].into_iter().chain(SEEN_AT_FIRST) {
                for seed in 0..2 {
                    let restarts = |at: usize| (at % every == 0).then_some(size);
                    let sent_at = simulate_with_restarts(traffic, tier, seed, restarts);
                    let (count, limit) = fullest_window(&sent_at, tier.capacity);
                    let exceeded = if count as f64 > limit {
                        "exceeded"
                    } else {
                        "met"
                    };
                    println!(
                        "fleet size {size}: {} of {} warm endpoints remain, burst after {:?}, seed {seed}: {count} in the \
                         fullest window, {limit:.1} permitted: {exceeded}",
                        traffic.remaining_warm, tier.warm, traffic.burst_after_ms
                    );
                    if size == PROCESSES {
                        assert!(
                            count as f64 <= limit,
                            "{traffic:?}, seed {seed}: {count}, {limit:.1} permitted"
                        );
                        assert!(
                            !sent_at.is_empty(),
                            "{traffic:?}, seed {seed}: the cold endpoint gets no requests"
                        );
                    }
                }
            }
        }
    }
}

/// Processes with little traffic under a load far above the capacity of the tier: the budget of
/// each is so small that the measured throughput of the tier determines it. Requests count until
/// slow start is over, because the rule concerns cold endpoints; a warm endpoint gets its share of
/// the load.
#[test]
fn slow_start_holds_for_1500_processes_at_twenty_times_the_load() {
    let tier = Tier {
        warm: WARM_ENDPOINTS,
        capacity: CAPACITY_PER_S,
        load: 20.0,
        tick: TICK_MS,
    };
    let usual = Traffic {
        processes: 1_500,
        is_even: true,
        burst_after_ms: None,
        restarts: false,
        fleet_size: 1_500,
        remaining_warm: WARM_ENDPOINTS,
    };
    let slow_start_ms = settings().rules.slow_start_ms;
    for seed in 0..3 {
        let sent_at = simulate_with_restarts(usual, tier, seed, |_| None);
        let (while_cold, once_warm): (Vec<Millis>, Vec<Millis>) =
            sent_at.into_iter().partition(|at| *at < slow_start_ms);
        let (count, limit) = fullest_window(&while_cold, tier.capacity);
        assert!(
            count as f64 <= limit,
            "seed {seed}: {count} in the fullest window, {limit:.1} permitted"
        );
        assert!(
            !while_cold.is_empty(),
            "seed {seed}: the endpoint gets no requests while it is cold"
        );
        // The budget limited the endpoint's requests, not a lack of traffic.
        assert!(
            once_warm.len() > 2 * while_cold.len(),
            "seed {seed}: {} once warm",
            once_warm.len()
        );
    }
}
