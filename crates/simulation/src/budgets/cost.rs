//! The cost of leases by fleet size.

use super::SECOND;
use crate::thread_time;
use dewrun_budgets::node::{Budget, Limit};
use dewrun_budgets::simulation::{SimulatedFleet, Traffic};
use std::time::Instant;

/// Number of voters.
const VOTERS: usize = 3;
/// Total, burst and demand per process.
const RATE_PER_PROCESS: f64 = 20.0;
const BURST_PER_PROCESS: f64 = 4.0;
const DEMAND_PER_PROCESS: f64 = 40.0;
/// Time in which the fleet is observed, after it has settled.
const OBSERVED_SECONDS: f64 = 2.0;
/// Number of steps of 0.2 s that are observed after a tenth of the processes has failed.
const RECOVERY_STEPS: u64 = 40;
const STEPS_PER_SECOND: u64 = 5;
/// Fraction of the total at which the fleet counts as recovered.
const RECOVERED_FRACTION: f64 = 0.95;

/// Traffic and processor time of one process, per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Messages sent by the process.
    pub messages_out: f64,
    /// Bytes sent by the process, including the packet headers.
    pub bytes_out: f64,
    /// Messages that are sent to the process, including lost ones.
    pub messages_in: f64,
    /// Bytes of packets that are sent to the process.
    pub bytes_in: f64,
    /// Processor time in microseconds, without that of sockets and hashes.
    pub cpu_us: f64,
}

impl Load {
    /// Computes the load from the counters before and after a number of seconds.
    fn between(before: &Traffic, after: &Traffic, seconds: f64) -> Load {
        let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
        Load {
            messages_out: rate(before.messages_out, after.messages_out),
            bytes_out: rate(before.bytes_out, after.bytes_out),
            messages_in: rate(before.messages_in, after.messages_in),
            bytes_in: rate(before.bytes_in, after.bytes_in),
            cpu_us: (after.processor_time - before.processor_time).as_secs_f64() * 1e6 / seconds,
        }
    }

    /// Returns the mean of some loads, or zero if there are none.
    fn mean(loads: &[Load]) -> Load {
        let mean =
            |of: fn(&Load) -> f64| loads.iter().map(of).sum::<f64>() / loads.len().max(1) as f64;
        Load {
            messages_out: mean(|load| load.messages_out),
            bytes_out: mean(|load| load.bytes_out),
            messages_in: mean(|load| load.messages_in),
            bytes_in: mean(|load| load.bytes_in),
            cpu_us: mean(|load| load.cpu_us),
        }
    }
}

/// The costs of a fleet of one size.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Number of processes.
    pub processes: usize,
    /// Number of budgets.
    pub budgets: usize,
    /// Mean number of messages per second that each process sends.
    pub messages: f64,
    /// Processor time per process and second in microseconds, including that of the simulation.
    pub cpu_us: f64,
    /// Load of the grantor.
    pub grantor: Load,
    /// Mean load of the voters without the grantor.
    pub voter: Load,
    /// Mean load of the processes that are neither voter nor grantor.
    pub holder: Load,
    /// Time in seconds until 0.95 of the total was spent again after a tenth of the processes had
    /// died; `None` if that took more than 8 s.
    pub recovery_s: Option<f64>,
}

/// Simulates a fleet of one size. One budget has demand at all processes; the others have none.
pub fn cost(processes: usize, budgets: usize, seed: u64) -> Cost {
    let mut fleet = start_fleet(processes, budgets, seed);
    fleet.run(6 * SECOND);
    fleet.take_activity();
    let before = fleet.traffic().to_vec();
    let started_at = Instant::now();
    fleet.run(8 * SECOND);
    let wall = started_at.elapsed().as_secs_f64();
    let activity = fleet.take_activity();
    let grantor = fleet.grantor();
    let loads: Vec<Load> = before
        .iter()
        .zip(fleet.traffic())
        .map(|(before, after)| Load::between(before, after, OBSERVED_SECONDS))
        .collect();
    let other_voters: Vec<Load> = (0..VOTERS.min(loads.len()))
        .filter(|process| Some(*process) != grantor)
        .map(|process| loads[process])
        .collect();
    let process_seconds = processes as f64 * OBSERVED_SECONDS;
    Cost {
        processes,
        budgets,
        messages: activity.messages as f64 / process_seconds,
        cpu_us: wall * 1e6 / process_seconds,
        grantor: grantor
            .and_then(|process| loads.get(process).copied())
            .unwrap_or_default(),
        voter: Load::mean(&other_voters),
        holder: Load::mean(loads.get(VOTERS..).unwrap_or_default()),
        recovery_s: recovery_seconds(&mut fleet, processes),
    }
}

fn start_fleet(processes: usize, budgets: usize, seed: u64) -> SimulatedFleet {
    let limit = Limit::Rate {
        rate: RATE_PER_PROCESS * processes as f64,
        burst: BURST_PER_PROCESS * processes as f64,
        floor: 0.0,
    };
    let budget = |n: usize| Budget {
        name: format!("budget {n}"),
        member: String::new(),
        limit,
    };
    let mut fleet = SimulatedFleet::new(seed, VOTERS, (0..budgets).map(budget).collect());
    fleet.is_audited = false;
    fleet.processor_clock = Some(thread_time);
    for process in 0..processes {
        fleet.start(process);
        fleet.set_demand(process, DEMAND_PER_PROCESS);
    }
    fleet
}

/// Kills the last tenth of the processes, which contains no voter, and returns the time in seconds
/// after which the spent fraction of the total stayed recovered.
fn recovery_seconds(fleet: &mut SimulatedFleet, processes: usize) -> Option<f64> {
    (processes - processes / 10..processes).for_each(|process| fleet.kill(process));
    let rate = RATE_PER_PROCESS * processes as f64;
    let mut recovered_s = None;
    for step in 1..=RECOVERY_STEPS {
        fleet.run(8 * SECOND + step * SECOND / STEPS_PER_SECOND);
        let step_seconds = 0.2;
        let spent = fleet.take_activity().admitted as f64 / step_seconds / rate;
        if spent < RECOVERED_FRACTION {
            recovered_s = None;
        } else if recovered_s.is_none() {
            recovered_s = Some(step as f64 / STEPS_PER_SECOND as f64);
        }
    }
    recovered_s
}
