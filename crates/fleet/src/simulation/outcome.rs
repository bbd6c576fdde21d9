//! What a case came to, in figures.

use super::network::PacketCounts;
use super::traffic::Rates;
use super::views::{Tally, Views};
use super::{Case, Region, Settings};
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
    Cut,
    /// The regions were joined again.
    Joined,
    /// One after the other was restarted, all the time.
    Restarts,
}

impl Event {
    /// As it stands in tables.
    pub fn name(self) -> &'static str {
        match self {
            Event::AllStarted => "all started",
            Event::Killed => "killed",
            Event::StartedAgain => "started again",
            Event::OneRestarted => "one restarted",
            Event::OneRestartedAhead => "restarted, clock ahead",
            Event::OneRestartedCorrected => "restarted, clock right",
            Event::Cut => "cut",
            Event::Joined => "joined",
            Event::Restarts => "restarts",
        }
    }
}

/// What a case came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The case.
    pub case: Case,
    /// What it was played with.
    pub settings: Settings,
    /// The views before anything was done to the fleet; `None` if the case begins with its start.
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
    /// The fleet at fixed times after it.
    pub moments: Vec<Moment>,
    /// How long after it all processes first had just the running ones in view, each in its life.
    pub whole_after: Option<Micros>,
    /// How long after it no process had a dead one in view any more.
    pub gone_after: Option<Micros>,
    /// What concerns the one process that the event was about.
    pub focus: Option<Focus>,
    /// The regions' views at the end of a cut.
    pub sides: Vec<Side>,
    /// What was seen at many moments, in place of [`Stage::moments`].
    pub samples: Option<Samples>,
    /// What all of it cost.
    pub rates: Rates,
}

impl Stage {
    /// Nothing measured yet.
    pub(super) fn of(event: Event) -> Stage {
        Stage {
            event,
            moments: Vec::new(),
            whole_after: None,
            gone_after: None,
            focus: None,
            sides: Vec::new(),
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
    /// What concerns the one process that the event was about.
    pub focus: Option<FocusMoment>,
    /// Bytes a second that each running process sent on average since the moment before.
    pub mean_sent: f64,
}

/// How one restarted process and the others found each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Focus {
    /// Which process.
    pub process: usize,
    /// How long it took until it had just the running ones in view.
    pub sees_all_after: Option<Micros>,
    /// How long it took until all had its new life in view.
    pub known_by_all_after: Option<Micros>,
}

/// One restarted process and the others at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FocusMoment {
    /// How many running members it has in view, itself included.
    pub sees: usize,
    /// How many have its new life in view, itself included.
    pub known_by: usize,
}

/// The processes of one region while it is cut off.
#[derive(Clone, Debug, PartialEq)]
pub struct Side {
    /// The region.
    pub region: Region,
    /// What they have in view against those of the same region.
    pub views: Views,
}

/// Views at many moments.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Samples {
    /// Running members that a process had not in view in any life.
    pub missing: Tally,
    /// Running members that a process had in view in a past life.
    pub outdated: Tally,
}

impl Samples {
    pub(super) fn take(&mut self, views: &Views) {
        self.missing += views.missing;
        self.outdated += views.outdated;
    }
}
