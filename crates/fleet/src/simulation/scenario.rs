//! Runs a case: starts a fleet, injects faults, and measures the effects.

use super::case::Case;
use super::fleet::Fleet;
use super::observe::{observe, TrafficCounter};
use super::outcome::{Event, Outcome, RegionViews, Samples, Stage};
use super::timing::{
    AFTER_HEAL_US, AFTER_KILL_US, AFTER_OUTAGE_US, AFTER_RESTART_US, AFTER_START_US,
    LONG_PARTITION_US, RESTARTS, RESTART_DOWN_US, RESTART_INTERVAL_US, RESTART_SAMPLE_US,
    SETTLING_US, SHORT_PARTITION_US, START_SPREAD_US,
};
use super::topology::{Region, Topology, REGIONS};
use super::Settings;
use crate::membership::Micros;

/// The number of processes of which one is killed in [`Case::TenthKilled`].
const KILLED_DIVISOR: usize = 10;
/// The rack that is killed, which contains no seed.
const LOST_RACK: usize = 7;
/// The zone that is killed, which contains one of the seeds.
const LOST_ZONE: usize = 3;
/// The approximate number of processes whose views are sampled after each rolling restart.
const RESTART_OBSERVERS: usize = 100;
/// The error of a wall clock that is ahead.
const CLOCK_AHEAD_MS: u64 = 3_600_000;

/// Runs one case and returns its measurements.
pub fn run_case(case: Case, settings: Settings) -> Outcome {
    let mut fleet = Fleet::new(settings);
    let mut settled = None;
    if case == Case::ColdStart {
        fleet.start_all();
    } else {
        fleet.start_spread_over(START_SPREAD_US);
        fleet.run_until(SETTLING_US);
        settled = Some(fleet.views());
    }
    let stages = run_stages(case, &mut fleet);
    Outcome {
        case,
        settings,
        settled,
        stages,
        packets: fleet.packets(),
    }
}

/// Injects the faults of a case into a fleet and measures each stage.
fn run_stages(case: Case, fleet: &mut Fleet) -> Vec<Stage> {
    match case {
        Case::ColdStart => vec![observe(fleet, Event::AllStarted, &AFTER_START_US, None)],
        Case::SingleRestart => vec![restart_one(fleet)],
        Case::TenthKilled => vec![kill_tenth(fleet)],
        Case::RackLost => kill_and_restart(fleet, |topology, process| {
            topology.rack(process) == LOST_RACK
        }),
        Case::ZoneLost => kill_and_restart(fleet, |topology, process| {
            topology.zone(process) == LOST_ZONE
        }),
        Case::ShortPartition => partition_regions(fleet, SHORT_PARTITION_US),
        Case::LongPartition => partition_regions(fleet, LONG_PARTITION_US),
        Case::RollingRestarts => vec![restart_many(fleet)],
        Case::ClockSkew => skew_clock(fleet),
    }
}

/// Draws a process that is not a seed, unless all are.
fn random_non_seed(fleet: &mut Fleet) -> usize {
    let topology = fleet.topology();
    match topology.processes - topology.seed_count() {
        0 => topology.processes - 1,
        others => topology.seed_count() + fleet.random_below(others),
    }
}

fn restart_one(fleet: &mut Fleet) -> Stage {
    let process = random_non_seed(fleet);
    restart_and_observe(fleet, process, Event::OneRestarted)
}

fn restart_and_observe(fleet: &mut Fleet, process: usize, event: Event) -> Stage {
    fleet.kill(process);
    fleet.start(process);
    observe(fleet, event, &AFTER_RESTART_US, Some(process))
}

fn kill_tenth(fleet: &mut Fleet) -> Stage {
    let processes = fleet.topology().processes;
    let survivors = processes - (processes / KILLED_DIVISOR).max(1);
    while fleet.running_count() > survivors {
        let process = fleet.random_below(processes);
        fleet.kill(process);
    }
    observe(fleet, Event::Killed, &AFTER_KILL_US, None)
}

fn kill_and_restart(fleet: &mut Fleet, is_killed: impl Fn(Topology, usize) -> bool) -> Vec<Stage> {
    let topology = fleet.topology();
    let killed: Vec<usize> = (0..topology.processes)
        .filter(|process| is_killed(topology, *process))
        .collect();
    killed.iter().for_each(|process| fleet.kill(*process));
    let after_kill = observe(fleet, Event::Killed, &AFTER_OUTAGE_US, None);
    killed.iter().for_each(|process| fleet.start(*process));
    let after_restart = observe(fleet, Event::KilledRestarted, &AFTER_KILL_US, None);
    vec![after_kill, after_restart]
}

fn partition_regions(fleet: &mut Fleet, duration: Micros) -> Vec<Stage> {
    let topology = fleet.topology();
    let counter = TrafficCounter::start(fleet);
    let [east, west] = REGIONS.map(|region| region as u8);
    fleet.set_groups(|process| topology.region(process) as u8);
    fleet.cut(east, west);
    fleet.cut(west, east);
    fleet.run_until(fleet.now() + duration);
    let partitioned = Stage {
        regions: REGIONS.map(|region| views_in(fleet, region)).into(),
        rates: counter.rates(fleet),
        ..Stage::of(Event::Partitioned)
    };
    fleet.heal();
    let healed = observe(fleet, Event::Healed, &AFTER_HEAL_US, None);
    vec![partitioned, healed]
}

fn views_in(fleet: &Fleet, region: Region) -> RegionViews {
    let topology = fleet.topology();
    let is_inside = |process| topology.region(process) == region;
    RegionViews {
        region,
        views: fleet.views_of(is_inside, is_inside),
    }
}

fn restart_many(fleet: &mut Fleet) -> Stage {
    let counter = TrafficCounter::start(fleet);
    let processes = fleet.topology().processes;
    let observer_interval = processes.div_ceil(RESTART_OBSERVERS);
    let mut samples = Samples::default();
    for _ in 0..RESTARTS {
        let began_at = fleet.now();
        let process = fleet.random_below(processes);
        fleet.kill(process);
        fleet.run_until(began_at + RESTART_DOWN_US);
        fleet.start(process);
        fleet.run_until(began_at + RESTART_SAMPLE_US);
        let views = fleet.views_of(|process| process % observer_interval == 0, |_| true);
        samples.add(&views);
        fleet.run_until(began_at + RESTART_INTERVAL_US);
    }
    Stage {
        samples: Some(samples),
        rates: counter.rates(fleet),
        ..Stage::of(Event::RollingRestarts)
    }
}

fn skew_clock(fleet: &mut Fleet) -> Vec<Stage> {
    let process = random_non_seed(fleet);
    fleet.set_wall_clock_ahead(process, CLOCK_AHEAD_MS);
    let ahead = restart_and_observe(fleet, process, Event::OneRestartedAhead);
    fleet.set_wall_clock_ahead(process, 0);
    let corrected = restart_and_observe(fleet, process, Event::OneRestartedCorrected);
    vec![ahead, corrected]
}
