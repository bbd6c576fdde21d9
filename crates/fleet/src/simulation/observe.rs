//! Runs a fleet after an event, measures it at fixed times, and polls in between for the times at
//! which goals are reached.

use super::fleet::Fleet;
use super::outcome::{Event, Moment, RestartedProcess, RestartedProcessMoment, Stage};
use super::traffic::Rates;
use super::{MILLISECOND_US, SECOND_US};
use crate::membership::{Micros, Timestamp};

/// The interval at which goals are polled, which is the resolution of the times at which they are
/// reached.
const POLL_INTERVAL_US: Micros = 100 * MILLISECOND_US;

/// A goal that all processes reach at some time.
#[derive(Default)]
struct Goal {
    /// A process that had not reached the goal at the last poll. It is checked first, so that most
    /// polls are cheap.
    last_missing: usize,
    reached_after: Option<Micros>,
}

impl Goal {
    fn poll(&mut self, fleet: &Fleet, after: Micros, has_reached: impl Fn(usize) -> bool) {
        if self.reached_after.is_some() {
            return;
        }
        let processes = fleet.topology().processes;
        let mut in_turn = (self.last_missing..processes).chain(0..self.last_missing);
        match in_turn.find(|process| !has_reached(*process)) {
            Some(process) => self.last_missing = process,
            None => self.reached_after = Some(after),
        }
    }
}

/// The goals of a stage.
#[derive(Default)]
struct Goals {
    converged: Goal,
    dead_removed: Goal,
    restarted_has_complete_view: Goal,
    restarted_known_to_all: Goal,
}

impl Goals {
    fn poll(&mut self, fleet: &Fleet, after: Micros, restarted: Option<usize>) {
        self.converged
            .poll(fleet, after, |process| fleet.has_exact_view(process));
        self.dead_removed
            .poll(fleet, after, |process| !fleet.has_dead_in_view(process));
        let Some(restarted) = restarted else { return };
        self.restarted_has_complete_view
            .poll(fleet, after, |process| {
                process != restarted || fleet.has_exact_view(restarted)
            });
        self.restarted_known_to_all.poll(fleet, after, |process| {
            !fleet.is_running(process) || fleet.has_in_view(process, restarted)
        });
    }
}

/// Counts the bytes sent since the counter was started.
pub(super) struct TrafficCounter {
    began_at: Timestamp,
    sent_before: u64,
}

impl TrafficCounter {
    /// Starts a counter and resets the peaks.
    pub(super) fn start(fleet: &mut Fleet) -> TrafficCounter {
        fleet.traffic_mut().reset_peaks();
        TrafficCounter::since_now(fleet)
    }

    fn since_now(fleet: &Fleet) -> TrafficCounter {
        TrafficCounter {
            began_at: fleet.now(),
            sent_before: fleet.traffic().total_sent(),
        }
    }

    fn mean_send_bytes_per_s(&self, fleet: &Fleet) -> f64 {
        let seconds = (fleet.now() - self.began_at) as f64 / SECOND_US as f64;
        let sent = fleet.traffic().total_sent() - self.sent_before;
        sent as f64 / seconds / fleet.running_count().max(1) as f64
    }

    /// Returns the traffic since the counter was started.
    pub(super) fn rates(&self, fleet: &Fleet) -> Rates {
        Rates {
            mean_send_bytes_per_s: self.mean_send_bytes_per_s(fleet),
            peak_send_rate: fleet.traffic().peak_send_rate(),
            peak_receive_rate: fleet.traffic().peak_receive_rate(),
        }
    }
}

/// Runs a fleet until the last of `moments`, which are times from now in ascending order.
/// `restarted` is the process that the event restarted, if it restarted a single one.
pub(super) fn observe(
    fleet: &mut Fleet,
    event: Event,
    moments: &[Micros],
    restarted: Option<usize>,
) -> Stage {
    let began_at = fleet.now();
    let whole_stage = TrafficCounter::start(fleet);
    let mut goals = Goals::default();
    let mut measured = Vec::new();
    for after in moments {
        let since_last = TrafficCounter::since_now(fleet);
        while fleet.now() < began_at + after {
            fleet.run_until((fleet.now() + POLL_INTERVAL_US).min(began_at + after));
            goals.poll(fleet, fleet.now() - began_at, restarted);
        }
        measured.push(Moment {
            after: *after,
            views: fleet.views(),
            restarted: restarted.map(|process| observe_restarted(fleet, process)),
            mean_send_bytes_per_s: since_last.mean_send_bytes_per_s(fleet),
        });
    }
    Stage {
        moments: measured,
        converged_after: goals.converged.reached_after,
        dead_removed_after: goals.dead_removed.reached_after,
        restarted: restarted.map(|process| RestartedProcess {
            process,
            complete_view_after: goals.restarted_has_complete_view.reached_after,
            known_to_all_after: goals.restarted_known_to_all.reached_after,
        }),
        rates: whole_stage.rates(fleet),
        ..Stage::of(event)
    }
}

fn observe_restarted(fleet: &Fleet, process: usize) -> RestartedProcessMoment {
    let processes = 0..fleet.topology().processes;
    RestartedProcessMoment {
        in_view: fleet.count_in_view(process),
        known_by: processes
            .filter(|other| fleet.has_in_view(*other, process))
            .count(),
    }
}
