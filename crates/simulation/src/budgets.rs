//! Ways to divide a whole among processes, played side by side: even parts by rank, escrow that
//! pairs hand on, and leases from one grantor (the code of `dewrun-budgets`). And what leases cost
//! as a fleet grows.

use crate::{thread_time, uniform};
use dewrun_budgets::node::{Budget, Limit};
use dewrun_budgets::simulation::{Network, SimulatedFleet, Traffic};
use dewrun_budgets::Micros;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Instant;

const S: Micros = 1_000_000;
const RATE: f64 = 200.0;
const PROCESSES: usize = 12;
/// Processes that vote in the plays of a fleet's cost.
const VOTERS: usize = 3;

/// What one way gave in one part of the play.
#[derive(Clone, Debug)]
pub struct Phase {
    /// What happens.
    pub what: &'static str,
    /// What was spent, as a part of the whole; all of it was asked for.
    pub used: f64,
    /// The most that all believed they may spend, as a part of the whole.
    pub risked: f64,
}

/// What is done at the start of a part, and when it is looked at.
struct Part {
    what: &'static str,
    demands: Vec<f64>,
    kill: Vec<usize>,
    start: Vec<usize>,
    cut: bool,
    loss: f64,
    /// From its start: when it is looked at, and when it ends.
    look: (Micros, Micros),
}

fn parts() -> Vec<Part> {
    let part = |what, demands: Vec<f64>| Part {
        what,
        demands,
        kill: Vec::new(),
        start: Vec::new(),
        cut: false,
        loss: 0.0,
        look: (6 * S, 10 * S),
    };
    let skewed = |at: usize| {
        (0..PROCESSES)
            .map(|n| if n == at { 300.0 } else { 5.0 })
            .collect()
    };
    let even = || vec![50.0; PROCESSES + 1];
    vec![
        part("even demand, at rest", even()),
        part("nearly all of it at one", skewed(0)),
        Part {
            look: (2 * S, 4 * S),
            ..part("the same 2 s after it moved", skewed(5))
        },
        Part {
            kill: vec![3, 4, 5],
            ..part("three of twelve killed, 6 s after", even())
        },
        Part {
            loss: 0.2,
            ..part("a fifth of the messages lost, demand at one", skewed(7))
        },
        Part {
            cut: true,
            ..part("two halves cut off, demand in both", even())
        },
        Part {
            start: vec![12],
            look: (S, 3 * S),
            ..part("mended, and one added, 1 s after", even())
        },
    ]
}

/// Even parts by rank: the file's number of processes is believed.
fn by_rank() -> Vec<Phase> {
    let mut alive = [true; PROCESSES + 1];
    alive[PROCESSES] = false;
    let share = RATE / PROCESSES as f64;
    let play = |part: Part| {
        part.kill.iter().for_each(|n| alive[*n] = false);
        part.start.iter().for_each(|n| alive[*n] = true);
        let there = alive
            .iter()
            .zip(part.demands.iter().chain([&0.0]))
            .filter(|(alive, _)| **alive);
        let used: f64 = there.map(|(_, demand)| demand.min(share)).sum();
        // Nobody can tell the dead from the living: who is added takes a part that was not there.
        let most =
            alive.iter().filter(|alive| **alive).count().max(PROCESSES) as f64 * share / RATE;
        let risked = if part.start.is_empty() {
            1.0
        } else {
            most + 1.0 / PROCESSES as f64
        };
        Phase {
            what: part.what,
            used: used / RATE,
            risked,
        }
    };
    parts().into_iter().map(play).collect()
}

/// Escrow: each owns a part and hands what it does not need to one that asks, in numbered gifts
/// that are sent until they are confirmed. What a dead process owned is gone for good: nobody can
/// know that it spends no more.
fn escrow(seed: u64) -> Vec<Phase> {
    const STEP: Micros = 100_000;
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut owned = vec![RATE / PROCESSES as f64; PROCESSES];
    owned.push(0.0);
    let mut alive = vec![true; PROCESSES];
    alive.push(false);
    let mut phases = Vec::new();
    for part in parts() {
        part.kill.iter().for_each(|n| alive[*n] = false);
        part.start.iter().for_each(|n| alive[*n] = true);
        let demand = |n: usize| part.demands.get(n).copied().unwrap_or(0.0);
        let (mut used, mut looks, mut now) = (0.0, 0.0, 0);
        while now < part.look.1 {
            for n in (0..alive.len()).filter(|n| alive[*n]) {
                let short = demand(n) - owned[n];
                let peer = (uniform(&mut rng) * alive.len() as f64) as usize;
                let apart = part.cut && (n % 2 != peer % 2);
                // A question or its answer may be lost; a gift that was made arrives in the end.
                let heard = uniform(&mut rng) >= part.loss && uniform(&mut rng) >= part.loss;
                if short > 0.0 && peer != n && alive[peer] && !apart && heard {
                    let even = (owned[peer] - demand(peer))
                        .max(0.0)
                        .max((owned[peer] - owned[n]) / 2.0);
                    let gift = even.min(short).max(0.0);
                    owned[peer] -= gift;
                    owned[n] += gift;
                }
            }
            now += STEP;
            if now > part.look.0 {
                let spent: f64 = (0..alive.len())
                    .filter(|n| alive[*n])
                    .map(|n| demand(n).min(owned[n]))
                    .sum();
                used += spent / RATE;
                looks += 1.0;
            }
        }
        phases.push(Phase {
            what: part.what,
            used: used / looks,
            risked: 1.0,
        });
    }
    phases
}

fn leases(seed: u64) -> Vec<Phase> {
    let limit = Limit::Rate {
        rate: RATE,
        burst: 40.0,
        floor: 0.0,
    };
    let mut world = SimulatedFleet::new(
        seed,
        3,
        vec![Budget {
            name: "whole".into(),
            member: String::new(),
            limit,
        }],
    );
    (0..PROCESSES).for_each(|n| world.start(n));
    let mut phases = Vec::new();
    for part in parts() {
        part.kill.iter().for_each(|n| world.kill(*n));
        part.start.iter().for_each(|n| world.start(*n));
        world.repair_network();
        world.network = Network {
            loss: part.loss,
            ..Network::RELIABLE
        };
        for a in 0..=PROCESSES {
            world.set_demand(a, part.demands.get(a).copied().unwrap_or(0.0));
            for b in (0..=PROCESSES).filter(|b| part.cut && a % 2 != b % 2) {
                world.set_cut(a, b, true);
            }
        }
        let begun = world.now();
        world.peak_share_sum = 0.0;
        world.run(begun + part.look.0);
        world.take_activity();
        world.run(begun + part.look.1);
        let span = (part.look.1 - part.look.0) as f64 / S as f64;
        let used = world.take_activity().admitted as f64 / span / RATE;
        phases.push(Phase {
            what: part.what,
            used,
            risked: world.peak_share_sum,
        });
    }
    phases
}

/// Each way by its name, through the same play.
pub fn ways(seed: u64) -> Vec<(&'static str, Vec<Phase>)> {
    vec![
        ("parts by rank", by_rank()),
        ("escrow", escrow(seed)),
        ("leases", leases(seed)),
    ]
}

/// What one process sends, is sent and works a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Messages that it sends.
    pub messages_out: f64,
    /// Bytes that it sends, with the headers of their packets.
    pub bytes_out: f64,
    /// Messages that are sent to it.
    pub messages_in: f64,
    /// Bytes that are sent to it.
    pub bytes_in: f64,
    /// Microseconds of processor time, without sockets and hashes.
    pub cpu_us: f64,
}

impl Load {
    /// From what was counted before and after a span of so many seconds.
    fn between(before: &Traffic, after: &Traffic, seconds: f64) -> Load {
        let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
        Load {
            messages_out: rate(before.messages_out, after.messages_out),
            bytes_out: rate(before.bytes_out, after.bytes_out),
            messages_in: rate(before.messages_in, after.messages_in),
            bytes_in: rate(before.bytes_in, after.bytes_in),
            cpu_us: (after.worked - before.worked).as_secs_f64() * 1e6 / seconds,
        }
    }

    /// The mean of some; nothing for none.
    fn mean(all: &[Load]) -> Load {
        let mean = |of: fn(&Load) -> f64| all.iter().map(of).sum::<f64>() / all.len().max(1) as f64;
        Load {
            messages_out: mean(|load| load.messages_out),
            bytes_out: mean(|load| load.bytes_out),
            messages_in: mean(|load| load.messages_in),
            bytes_in: mean(|load| load.bytes_in),
            cpu_us: mean(|load| load.cpu_us),
        }
    }
}

/// What a fleet of one size costs.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Processes.
    pub processes: usize,
    /// Budgets.
    pub budgets: usize,
    /// Messages a second that each process sends.
    pub messages: f64,
    /// Of the grantor alone, which answers them all: microseconds of processor time a second, with
    /// the simulation's own.
    pub cpu_us: f64,
    /// The grantor.
    pub grantor: Load,
    /// A voter that is not the grantor, in the mean.
    pub voter: Load,
    /// A process that neither votes nor grants, in the mean.
    pub holder: Load,
    /// How long it took until 0.95 of the whole was spent again after a tenth had died; `None` if
    /// it did not within 8 s.
    pub anew_s: Option<f64>,
}

/// Plays a fleet of a size. One budget is asked for at all processes; the others rest.
pub fn cost(processes: usize, budgets: usize, seed: u64) -> Cost {
    let rate = 20.0 * processes as f64;
    let limit = Limit::Rate {
        rate,
        burst: 4.0 * processes as f64,
        floor: 0.0,
    };
    let all = (0..budgets)
        .map(|n| Budget {
            name: format!("budget {n}"),
            member: String::new(),
            limit,
        })
        .collect();
    let mut world = SimulatedFleet::new(seed, VOTERS, all);
    world.is_audited = false;
    world.processor_clock = Some(thread_time);
    for n in 0..processes {
        world.start(n);
        world.set_demand(n, 40.0);
    }
    world.run(6 * S);
    world.take_activity();
    let before = world.traffic().to_vec();
    let begun = Instant::now();
    world.run(8 * S);
    let wall = begun.elapsed().as_secs_f64();
    let account = world.take_activity();
    let grantor = world.grantor();
    let loads: Vec<Load> = before
        .iter()
        .zip(world.traffic())
        .map(|(before, after)| Load::between(before, after, 2.0))
        .collect();
    let voters = loads
        .iter()
        .enumerate()
        .take(VOTERS)
        .filter(|(at, _)| Some(*at) != grantor);
    let voters: Vec<Load> = voters.map(|(_, load)| *load).collect();
    // None of the voters: the loss of a grantor is another matter.
    (processes - processes / 10..processes).for_each(|n| world.kill(n));
    let mut anew_s = None;
    for step in 1..=40 {
        world.run(8 * S + step * S / 5);
        let used = world.take_activity().admitted as f64 / 0.2 / rate;
        if used < 0.95 {
            anew_s = None;
        } else if anew_s.is_none() {
            anew_s = Some(step as f64 / 5.0);
        }
    }
    let each = processes as f64 * 2.0;
    Cost {
        processes,
        budgets,
        messages: account.messages as f64 / each,
        cpu_us: wall * 1e6 / each,
        grantor: grantor
            .and_then(|at| loads.get(at).copied())
            .unwrap_or_default(),
        voter: Load::mean(&voters),
        holder: Load::mean(loads.get(VOTERS..).unwrap_or_default()),
        anew_s,
    }
}
