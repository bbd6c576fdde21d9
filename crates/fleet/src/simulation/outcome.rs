//! The measurements of a case.

use super::case::Case;
use super::network::PacketCounts;
use super::traffic::Rates;
use super::views::{Summary, Views};
use super::{Region, Settings};
use crate::membership::Micros;

/// The event at the beginning of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// All processes were started.
    AllStarted,
    /// Some processes were killed.
    Killed,
    /// All killed processes were restarted.
    KilledRestarted,
    /// One process was killed and immediately restarted.
    OneRestarted,
    /// One process was restarted while its wall clock was ahead.
    OneRestartedAhead,
    /// The same process was restarted with its wall clock corrected.
    OneRestartedCorrected,
    /// The regions were partitioned from each other.
    Partitioned,
    /// The partition was healed.
    Healed,
    /// Processes were restarted one after the other throughout the stage.
    RollingRestarts,
}

impl Event {
    /// Returns the name of the event in tables.
    pub fn name(self) -> &'static str {
        match self {
            Event::AllStarted => "all started",
            Event::Killed => "killed",
            Event::KilledRestarted => "started again",
            Event::OneRestarted => "one restarted",
            Event::OneRestartedAhead => "restarted, clock ahead",
            Event::OneRestartedCorrected => "restarted, clock right",
            Event::Partitioned => "cut",
            Event::Healed => "joined",
            Event::RollingRestarts => "restarts",
        }
    }
}

/// The measurements of a case.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The case that was run.
    pub case: Case,
    /// The parameters of the run.
    pub settings: Settings,
    /// The views before the first fault; `None` if the case begins with the fleet's start.
    pub settled: Option<Views>,
    /// The stages of the case, in order.
    pub stages: Vec<Stage>,
    /// The packets of the whole run.
    pub packets: PacketCounts,
}

/// The measurements after one event.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// The event at the beginning of the stage.
    pub event: Event,
    /// The fleet at fixed times after the event.
    pub moments: Vec<Moment>,
    /// The time after the event until all processes had exactly the running processes in view, each
    /// in its current incarnation.
    pub converged_after: Option<Micros>,
    /// The time after the event until no process had a dead one in view.
    pub dead_removed_after: Option<Micros>,
    /// The measurements of the restarted process, if the event restarted a single one.
    pub restarted: Option<RestartedProcess>,
    /// The views in each region at the end of a partition.
    pub regions: Vec<RegionViews>,
    /// The aggregated views of many moments, in place of [`Stage::moments`].
    pub samples: Option<Samples>,
    /// The traffic of the whole stage.
    pub rates: Rates,
}

impl Stage {
    /// A stage without measurements.
    pub(super) fn of(event: Event) -> Stage {
        Stage {
            event,
            moments: Vec::new(),
            converged_after: None,
            dead_removed_after: None,
            restarted: None,
            regions: Vec::new(),
            samples: None,
            rates: Rates::default(),
        }
    }
}

/// The fleet at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Moment {
    /// The time after the stage's event.
    pub after: Micros,
    /// The views of all processes.
    pub views: Views,
    /// The measurements of the restarted process, if the event restarted a single one.
    pub restarted: Option<RestartedProcessMoment>,
    /// The mean rate at which a running process sent since the previous moment.
    pub mean_send_bytes_per_s: f64,
}

/// The time that a restarted process and the others took to discover each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartedProcess {
    /// The index of the process.
    pub process: usize,
    /// The time until the process had exactly the running processes in view.
    pub complete_view_after: Option<Micros>,
    /// The time until all processes had the new incarnation in view.
    pub known_to_all_after: Option<Micros>,
}

/// A restarted process and the others at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartedProcessMoment {
    /// The number of running members that the process has in view, itself included.
    pub in_view: usize,
    /// The number of processes that have the new incarnation in view, the restarted one included.
    pub known_by: usize,
}

/// The views within one region while it is partitioned from the other one.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionViews {
    /// The region.
    pub region: Region,
    /// The views of the region's processes, compared with the processes of the same region.
    pub views: Views,
}

/// The aggregated views of many moments.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Samples {
    /// The number of running members that a process had in view in no incarnation.
    pub missing: Summary,
    /// The number of running members that a process had in view in a past incarnation.
    pub outdated: Summary,
}

impl Samples {
    pub(super) fn add(&mut self, views: &Views) {
        self.missing += views.missing;
        self.outdated += views.outdated;
    }
}
