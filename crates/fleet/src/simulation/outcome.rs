//! What a case came to, as measured.

use super::case::Case;
use super::network::PacketCounts;
use super::traffic::Rates;
use super::views::{Summary, Views};
use super::{Region, Settings};
use crate::membership::Micros;

/// What was done to the fleet at the beginning of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// All processes were started.
    AllStarted,
    /// Some were killed.
    Killed,
    /// All that were killed were started again.
    StartedAgain,
    /// One was killed and started again at once.
    OneRestarted,
    /// One was restarted while its wall clock was ahead.
    OneRestartedAhead,
    /// That one was restarted with its wall clock right again.
    OneRestartedCorrected,
    /// The regions were cut off from each other.
    Partitioned,
    /// The partition was ended.
    Healed,
    /// One after the other was restarted, all the time.
    RollingRestarts,
}

impl Event {
    /// The name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Event::AllStarted => "all started",
            Event::Killed => "killed",
            Event::StartedAgain => "started again",
            Event::OneRestarted => "one restarted",
            Event::OneRestartedAhead => "restarted, clock ahead",
            Event::OneRestartedCorrected => "restarted, clock right",
            Event::Partitioned => "cut",
            Event::Healed => "joined",
            Event::RollingRestarts => "restarts",
        }
    }
}

/// What a case came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The case.
    pub case: Case,
    /// What it was run with.
    pub settings: Settings,
    /// The views before the fleet was disturbed; `None` if the case begins with its start.
    pub settled: Option<Views>,
    /// What followed, in order.
    pub stages: Vec<Stage>,
    /// What became of all packets.
    pub packets: PacketCounts,
}

/// What followed on one event.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// The event.
    pub event: Event,
    /// The fleet at fixed times after the event.
    pub moments: Vec<Moment>,
    /// How long after the event all processes first had exactly the running ones in view, each in
    /// its current incarnation.
    pub converged_after: Option<Micros>,
    /// How long after the event no process had a dead one in view any more.
    pub dead_removed_after: Option<Micros>,
    /// What concerns the process that was restarted, if the event was about one.
    pub restarted: Option<RestartedProcess>,
    /// The views in each region at the end of a partition.
    pub regions: Vec<RegionViews>,
    /// What was seen at many moments, in place of [`Stage::moments`].
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
    /// How long after the stage's event.
    pub after: Micros,
    /// What all processes had in view.
    pub views: Views,
    /// What concerns the process that was restarted, if the event was about one.
    pub restarted: Option<RestartedProcessMoment>,
    /// Bytes a second that each running process sent on average since the moment before.
    pub mean_send_bytes_per_s: f64,
}

/// How long a restarted process and the others took to find each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartedProcess {
    /// The index of the process.
    pub process: usize,
    /// How long it took until the process had exactly the running ones in view.
    pub has_all_in_view_after: Option<Micros>,
    /// How long it took until all had the new incarnation in view.
    pub known_to_all_after: Option<Micros>,
}

/// A restarted process and the others at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartedProcessMoment {
    /// How many running members the process has in view, itself included.
    pub in_view: usize,
    /// How many processes have the new incarnation in view, itself included.
    pub known_by: usize,
}

/// The processes of one region while the region is cut off.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionViews {
    /// The region.
    pub region: Region,
    /// What its processes have in view against the processes of the same region.
    pub views: Views,
}

/// Views at many moments.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Samples {
    /// Running members that a process had in view in no incarnation.
    pub missing: Summary,
    /// Running members that a process had in view in a past incarnation.
    pub outdated: Summary,
}

impl Samples {
    pub(super) fn add(&mut self, views: &Views) {
        self.missing += views.missing;
        self.outdated += views.outdated;
    }
}
