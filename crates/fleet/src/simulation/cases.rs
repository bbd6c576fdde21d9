//! The cases: what is done to a fleet, and when it is looked at.

use super::fleet::Fleet;
use super::observe::{observe, Counter};
use super::outcome::{Event, Outcome, Samples, Side, Stage};
use super::topology::{Region, Topology, REGIONS};
use super::{Settings, SECOND};
use crate::membership::Micros;
use std::fmt;
use std::str::FromStr;

/// How long a fleet settles after its start before anything is done to it.
const SETTLES: Micros = 60 * SECOND;
/// Over what time the starts of its processes are spread then.
const STARTS_WITHIN: Micros = SECOND;

/// How many of the processes are killed in [`Case::TenthKilled`]: one of so many.
const KILLED_OF: usize = 10;
/// The rack that is lost. None of the seeds stands in it.
const LOST_RACK: usize = 7;
/// The zone that is lost, with one of the seeds in it.
const LOST_ZONE: usize = 3;
/// For how long a rack or a zone is lost.
const LOST_FOR: Micros = 30 * SECOND;

const SHORT_CUT: Micros = 300 * SECOND;
const LONG_CUT: Micros = 3_600 * SECOND;

const RESTARTS: usize = 240;
const RESTART_EVERY: Micros = 10 * SECOND;
/// How long one of them is down.
const RESTART_DOWN: Micros = SECOND;
/// How long after the kill the views are looked at: it is back for 4 s then, so that all run.
const RESTART_SAMPLED: Micros = 5 * SECOND;
/// How many processes' views are looked at each time.
const RESTART_OBSERVERS: usize = 100;

/// How far a wrong wall clock is ahead.
const CLOCK_AHEAD_MS: u64 = 3_600_000;

const AFTER_START: [Micros; 7] = seconds([5, 10, 15, 30, 60, 90, 120]);
const AFTER_RESTART: [Micros; 6] = seconds([1, 2, 4, 5, 10, 40]);
const AFTER_KILL: [Micros; 5] = seconds([5, 10, 15, 30, 60]);
const AFTER_LOSS: [Micros; 4] = seconds([5, 10, 15, LOST_FOR / SECOND]);
const AFTER_JOIN: [Micros; 5] = seconds([5, 15, 30, 60, 120]);

const fn seconds<const N: usize>(mut times: [Micros; N]) -> [Micros; N] {
    let mut at = 0;
    while at < N {
        times[at] *= SECOND;
        at += 1;
    }
    times
}

/// What is done to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// All processes start at once.
    StartAtOnce,
    /// One process is killed and started again at once, at its address.
    RestartOne,
    /// A tenth of the processes, chosen by chance, is killed.
    TenthKilled,
    /// A rack, a fifteenth of the processes, is killed, and started again 30 s later.
    RackLost,
    /// A zone, a fifth of the processes, is killed, and started again 30 s later.
    ZoneLost,
    /// The two regions are cut off from each other for 300 s.
    RegionsCutShort,
    /// The two regions are cut off from each other for an hour.
    RegionsCutLong,
    /// 240 restarts of processes chosen by chance, one each 10 s.
    Restarts,
    /// One process restarts while its wall clock is an hour ahead, and again when it is right.
    ClockOff,
}

impl Case {
    /// All cases.
    pub const ALL: [Case; 9] = [
        Case::StartAtOnce,
        Case::RestartOne,
        Case::TenthKilled,
        Case::RackLost,
        Case::ZoneLost,
        Case::RegionsCutShort,
        Case::RegionsCutLong,
        Case::Restarts,
        Case::ClockOff,
    ];

    /// As it stands in commands and tables.
    pub fn name(self) -> &'static str {
        match self {
            Case::StartAtOnce => "start-at-once",
            Case::RestartOne => "restart-one",
            Case::TenthKilled => "tenth-killed",
            Case::RackLost => "rack-lost",
            Case::ZoneLost => "zone-lost",
            Case::RegionsCutShort => "regions-cut-300s",
            Case::RegionsCutLong => "regions-cut-3600s",
            Case::Restarts => "restarts",
            Case::ClockOff => "clock-off",
        }
    }

    /// How long it lasts in simulated time, by which longer ones can be begun first.
    pub fn lasts(self) -> Micros {
        match self {
            Case::StartAtOnce => last(&AFTER_START),
            Case::RestartOne => SETTLES + last(&AFTER_RESTART),
            Case::TenthKilled => SETTLES + last(&AFTER_KILL),
            Case::RackLost | Case::ZoneLost => SETTLES + last(&AFTER_LOSS) + last(&AFTER_KILL),
            Case::RegionsCutShort => SETTLES + SHORT_CUT + last(&AFTER_JOIN),
            Case::RegionsCutLong => SETTLES + LONG_CUT + last(&AFTER_JOIN),
            Case::Restarts => SETTLES + RESTARTS as Micros * RESTART_EVERY,
            Case::ClockOff => SETTLES + 2 * last(&AFTER_RESTART),
        }
    }
}

fn last(moments: &[Micros]) -> Micros {
    moments.last().copied().unwrap_or_default()
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// There is no case of this name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownCase(pub String);

impl fmt::Display for UnknownCase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = Case::ALL.into_iter().map(Case::name).collect();
        write!(
            f,
            "no case is named {:?}; there are {}",
            self.0,
            names.join(", ")
        )
    }
}

impl std::error::Error for UnknownCase {}

impl FromStr for Case {
    type Err = UnknownCase;

    fn from_str(name: &str) -> Result<Case, UnknownCase> {
        let named = Case::ALL.into_iter().find(|case| case.name() == name);
        named.ok_or_else(|| UnknownCase(name.to_string()))
    }
}

/// Plays one case.
pub fn play(case: Case, settings: Settings) -> Outcome {
    let mut fleet = Fleet::new(settings);
    let mut settled = None;
    if case == Case::StartAtOnce {
        fleet.start_all();
    } else {
        fleet.start_within(STARTS_WITHIN);
        fleet.run_until(SETTLES);
        settled = Some(fleet.views());
    }
    let stages = disturb(case, &mut fleet);
    Outcome {
        case,
        settings,
        settled,
        stages,
        packets: fleet.packets(),
    }
}

/// Does to a fleet what the case is about.
fn disturb(case: Case, fleet: &mut Fleet) -> Vec<Stage> {
    match case {
        Case::StartAtOnce => vec![observe(fleet, Event::AllStarted, &AFTER_START, None)],
        Case::RestartOne => vec![restart_one(fleet)],
        Case::TenthKilled => vec![kill_tenth(fleet)],
        Case::RackLost => lose(fleet, |topology, process| {
            topology.rack(process) == LOST_RACK
        }),
        Case::ZoneLost => lose(fleet, |topology, process| {
            topology.zone(process) == LOST_ZONE
        }),
        Case::RegionsCutShort => cut_regions(fleet, SHORT_CUT),
        Case::RegionsCutLong => cut_regions(fleet, LONG_CUT),
        Case::Restarts => vec![restart_many(fleet)],
        Case::ClockOff => clock_off(fleet),
    }
}

/// A process that is none of the seeds, unless all are.
fn no_seed(fleet: &mut Fleet) -> usize {
    let topology = fleet.topology();
    match topology.processes - topology.seed_count() {
        0 => topology.processes - 1,
        others => topology.seed_count() + fleet.random_below(others),
    }
}

fn restart_one(fleet: &mut Fleet) -> Stage {
    let process = no_seed(fleet);
    fleet.kill(process);
    fleet.start(process);
    observe(fleet, Event::OneRestarted, &AFTER_RESTART, Some(process))
}

fn kill_tenth(fleet: &mut Fleet) -> Stage {
    let processes = fleet.topology().processes;
    let left = processes - (processes / KILLED_OF).max(1);
    while fleet.running() > left {
        let process = fleet.random_below(processes);
        fleet.kill(process);
    }
    observe(fleet, Event::Killed, &AFTER_KILL, None)
}

fn lose(fleet: &mut Fleet, is_lost: impl Fn(Topology, usize) -> bool) -> Vec<Stage> {
    let topology = fleet.topology();
    let lost: Vec<usize> = (0..topology.processes)
        .filter(|process| is_lost(topology, *process))
        .collect();
    lost.iter().for_each(|process| fleet.kill(*process));
    let killed = observe(fleet, Event::Killed, &AFTER_LOSS, None);
    lost.iter().for_each(|process| fleet.start(*process));
    let again = observe(fleet, Event::StartedAgain, &AFTER_KILL, None);
    vec![killed, again]
}

fn cut_regions(fleet: &mut Fleet, cut_for: Micros) -> Vec<Stage> {
    let topology = fleet.topology();
    let counter = Counter::start(fleet);
    let [east, west] = REGIONS.map(|region| region as u8);
    fleet.set_groups(|process| topology.region(process) as u8);
    fleet.cut(east, west);
    fleet.cut(west, east);
    fleet.run_until(fleet.now() + cut_for);
    let cut = Stage {
        sides: REGIONS.map(|region| side(fleet, region)).into(),
        rates: counter.rates(fleet),
        ..Stage::of(Event::Cut)
    };
    fleet.join();
    vec![cut, observe(fleet, Event::Joined, &AFTER_JOIN, None)]
}

fn side(fleet: &Fleet, region: Region) -> Side {
    let topology = fleet.topology();
    let inside = |process| topology.region(process) == region;
    Side {
        region,
        views: fleet.views_of(inside, inside),
    }
}

fn restart_many(fleet: &mut Fleet) -> Stage {
    let counter = Counter::start(fleet);
    let processes = fleet.topology().processes;
    let one_of = processes.div_ceil(RESTART_OBSERVERS);
    let mut samples = Samples::default();
    for _ in 0..RESTARTS {
        let began = fleet.now();
        let process = fleet.random_below(processes);
        fleet.kill(process);
        fleet.run_until(began + RESTART_DOWN);
        fleet.start(process);
        fleet.run_until(began + RESTART_SAMPLED);
        let views = fleet.views_of(|process| process % one_of == 0, |_| true);
        samples.take(&views);
        fleet.run_until(began + RESTART_EVERY);
    }
    Stage {
        samples: Some(samples),
        rates: counter.rates(fleet),
        ..Stage::of(Event::Restarts)
    }
}

fn clock_off(fleet: &mut Fleet) -> Vec<Stage> {
    let process = no_seed(fleet);
    fleet.set_wall_clock_ahead(process, CLOCK_AHEAD_MS);
    fleet.kill(process);
    fleet.start(process);
    let ahead = observe(
        fleet,
        Event::OneRestartedAhead,
        &AFTER_RESTART,
        Some(process),
    );
    fleet.set_wall_clock_ahead(process, 0);
    fleet.kill(process);
    fleet.start(process);
    let corrected = observe(
        fleet,
        Event::OneRestartedCorrected,
        &AFTER_RESTART,
        Some(process),
    );
    vec![ahead, corrected]
}
