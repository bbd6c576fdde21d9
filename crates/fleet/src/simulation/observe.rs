//! Runs a fleet on after an event and measures at fixed moments; in between it looks for the moment
//! when all is well.

use super::fleet::Fleet;
use super::outcome::{Event, Focus, FocusMoment, Moment, Stage};
use super::traffic::Rates;
use super::{MILLISECOND, SECOND};
use crate::membership::Micros;

/// How exactly it is told when something came to hold.
const POLL_EVERY: Micros = 100 * MILLISECOND;

/// Something that comes to hold for all processes at some time.
#[derive(Default)]
struct Milestone {
    /// A process for which it did not hold at the last look. It is looked at first, so that a look
    /// costs little.
    witness: usize,
    reached_after: Option<Micros>,
}

impl Milestone {
    fn poll(&mut self, fleet: &Fleet, after: Micros, holds: impl Fn(usize) -> bool) {
        if self.reached_after.is_some() {
            return;
        }
        let processes = fleet.topology().processes;
        let mut in_turn = (self.witness..processes).chain(0..self.witness);
        match in_turn.find(|process| !holds(*process)) {
            Some(process) => self.witness = process,
            None => self.reached_after = Some(after),
        }
    }
}

#[derive(Default)]
struct Milestones {
    whole: Milestone,
    gone: Milestone,
    focus_sees_all: Milestone,
    focus_known: Milestone,
}

impl Milestones {
    fn poll(&mut self, fleet: &Fleet, after: Micros, focus: Option<usize>) {
        self.whole
            .poll(fleet, after, |process| fleet.sees_right(process));
        self.gone
            .poll(fleet, after, |process| !fleet.sees_dead(process));
        let Some(focus) = focus else { return };
        self.focus_sees_all.poll(fleet, after, |process| {
            process != focus || fleet.sees_right(focus)
        });
        self.focus_known.poll(fleet, after, |process| {
            !fleet.runs(process) || fleet.knows(process, focus)
        });
    }
}

/// Counts what is sent from its making on.
pub(super) struct Counter {
    began: Micros,
    sent_before: u64,
}

impl Counter {
    pub(super) fn start(fleet: &mut Fleet) -> Counter {
        fleet.traffic_mut().reset_peaks();
        Counter::since_now(fleet)
    }

    fn since_now(fleet: &Fleet) -> Counter {
        Counter {
            began: fleet.now(),
            sent_before: fleet.traffic().total_sent(),
        }
    }

    fn mean_sent(&self, fleet: &Fleet) -> f64 {
        let seconds = (fleet.now() - self.began) as f64 / SECOND as f64;
        let sent = fleet.traffic().total_sent() - self.sent_before;
        sent as f64 / seconds / fleet.running().max(1) as f64
    }

    pub(super) fn rates(&self, fleet: &Fleet) -> Rates {
        Rates {
            mean_sent: self.mean_sent(fleet),
            most_sent: fleet.traffic().most_sent(),
            most_received: fleet.traffic().most_received(),
        }
    }
}

/// Runs on to the last of some moments, given as times from now in ascending order. `focus` is the
/// process that the event was about, if it was about one.
pub(super) fn observe(
    fleet: &mut Fleet,
    event: Event,
    moments: &[Micros],
    focus: Option<usize>,
) -> Stage {
    let began = fleet.now();
    let whole_stage = Counter::start(fleet);
    let mut milestones = Milestones::default();
    let mut seen = Vec::new();
    for moment in moments {
        let since_last = Counter::since_now(fleet);
        while fleet.now() < began + moment {
            fleet.run_until((fleet.now() + POLL_EVERY).min(began + moment));
            milestones.poll(fleet, fleet.now() - began, focus);
        }
        seen.push(Moment {
            after: *moment,
            views: fleet.views(),
            focus: focus.map(|process| look_at(fleet, process)),
            mean_sent: since_last.mean_sent(fleet),
        });
    }
    Stage {
        moments: seen,
        whole_after: milestones.whole.reached_after,
        gone_after: milestones.gone.reached_after,
        focus: focus.map(|process| Focus {
            process,
            sees_all_after: milestones.focus_sees_all.reached_after,
            known_by_all_after: milestones.focus_known.reached_after,
        }),
        rates: whole_stage.rates(fleet),
        ..Stage::of(event)
    }
}

fn look_at(fleet: &Fleet, process: usize) -> FocusMoment {
    let processes = 0..fleet.topology().processes;
    FocusMoment {
        sees: fleet.seen_by(process),
        known_by: processes
            .filter(|other| fleet.knows(*other, process))
            .count(),
    }
}
