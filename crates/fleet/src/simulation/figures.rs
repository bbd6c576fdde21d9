//! The conversion of an outcome into rows of measured figures, with bounds that hold for any fleet
//! size.

use super::network::PacketCounts;
use super::outcome::{
    Event, Moment, Outcome, RegionViews, RestartedProcess, RestartedProcessMoment, Samples, Stage,
};
use super::row::{Bound, Row, Unit};
use super::topology::Region;
use super::traffic::Rates;
use super::views::Views;
use super::{Settings, SECOND_US};
use crate::membership::Micros;

/// The packet loss from which on all time bounds are multiplied by [`LOSSY_TIME_FACTOR`].
const LOSSY_FROM_FRACTION: f64 = 0.1;
/// The factor of all time bounds from [`LOSSY_FROM_FRACTION`] on.
const LOSSY_TIME_FACTOR: Micros = 2;

/// The time after a cold start by which all views must be correct.
const START_CONVERGENCE_US: Micros = 15 * SECOND_US;
/// The time after its restart by which a process must have all members in view.
const RESTARTED_COMPLETE_VIEW_US: Micros = 2 * SECOND_US;
/// The time after its restart by which all members must know a process.
const RESTARTED_KNOWN_US: Micros = 5 * SECOND_US;
/// The time by which dead members must be removed from all views.
const DEAD_REMOVAL_US: Micros = 15 * SECOND_US;
/// The time after the end of a partition by which all views must be correct.
const HEAL_CONVERGENCE_US: Micros = 30 * SECOND_US;
/// The maximum rate of each process in each direction over any ten seconds.
const MAX_PEAK_BYTES_PER_S: f64 = 10_000.0;
/// The limit on the mean send rate of each process in an idle fleet.
const MAX_IDLE_BYTES_PER_S: f64 = 500.0;

impl Outcome {
    /// Returns all figures in chronological order.
    pub fn rows(&self) -> Vec<Row> {
        let mut rows = RowBuilder {
            settings: self.settings,
            event: "settled",
            after: None,
            rows: Vec::new(),
        };
        if let Some(views) = &self.settled {
            rows.add_view_sizes(views);
        }
        for stage in &self.stages {
            rows.add_stage(stage);
        }
        rows.event = "all the time";
        rows.add_packets(&self.packets);
        rows.rows
    }
}

/// Accumulates rows.
struct RowBuilder {
    settings: Settings,
    /// The event of the rows being added.
    event: &'static str,
    /// The time after the event of the rows being added, if they belong to a fixed time.
    after: Option<Micros>,
    rows: Vec<Row>,
}

impl RowBuilder {
    // ---- single rows ----

    fn add(
        &mut self,
        quantity: &'static str,
        unit: Unit,
        measured: Option<f64>,
        bound: Option<Bound>,
    ) {
        let after_s = self.after.map(in_seconds);
        self.rows.push(Row {
            event: self.event,
            after_s,
            quantity,
            unit,
            bound,
            measured,
        });
    }

    fn add_mean(&mut self, quantity: &'static str, mean: f64) {
        self.add(quantity, Unit::Members, Some(mean), None);
    }

    fn add_count(&mut self, quantity: &'static str, count: usize) {
        self.add_bounded_count(quantity, count, None);
    }

    fn add_bounded_count(&mut self, quantity: &'static str, count: usize, bound: Option<Bound>) {
        self.add(quantity, Unit::Members, Some(count as f64), bound);
    }

    fn add_time(&mut self, quantity: &'static str, time: Option<Micros>, bound: Option<Bound>) {
        self.add(quantity, Unit::Seconds, time.map(in_seconds), bound);
    }

    fn add_rate(&mut self, quantity: &'static str, bytes_per_s: f64, bound: Option<Bound>) {
        self.add(quantity, Unit::BytesPerSecond, Some(bytes_per_s), bound);
    }

    // ---- bounds ----

    /// Returns the time bound for something that may take `time` without much packet loss.
    fn scaled_for_loss(&self, time: Micros) -> Micros {
        if self.settings.loss >= LOSSY_FROM_FRACTION {
            time * LOSSY_TIME_FACTOR
        } else {
            time
        }
    }

    fn max_time(&self, time: Micros) -> Option<Bound> {
        Some(Bound::AtMost(in_seconds(self.scaled_for_loss(time))))
    }

    /// Returns the bound if it applies at exactly this moment.
    fn bound_at(&self, time: Micros, bound: Bound) -> Option<Bound> {
        (self.after == Some(self.scaled_for_loss(time))).then_some(bound)
    }

    /// Returns the bound if it applies from this moment or an earlier one on.
    fn bound_from(&self, time: Micros, bound: Bound) -> Option<Bound> {
        let holds = self
            .after
            .is_some_and(|after| after >= self.scaled_for_loss(time));
        holds.then_some(bound)
    }

    fn all_members(&self) -> Bound {
        Bound::AtLeast(self.settings.processes as f64)
    }

    // ---- a stage ----

    fn add_stage(&mut self, stage: &Stage) {
        self.event = stage.event.name();
        for moment in &stage.moments {
            self.after = Some(moment.after);
            self.add_moment(stage.event, moment);
        }
        self.after = None;
        for region in &stage.regions {
            self.add_region(region);
        }
        if let Some(samples) = &stage.samples {
            self.add_samples(samples);
        }
        if let Some(restarted) = &stage.restarted {
            self.add_restarted(restarted);
        }
        self.add_convergence(stage);
        if stage.event == Event::AllStarted {
            self.add_start_rates(&stage.moments);
        }
        self.add_rates(&stage.rates);
    }

    fn add_moment(&mut self, event: Event, moment: &Moment) {
        let views = &moment.views;
        if let Some(restarted) = &moment.restarted {
            self.add_restarted_moment(restarted);
        }
        match event {
            Event::Killed => self.add_after_kill(views),
            Event::AllStarted => self.add_view_sizes_from(views, START_CONVERGENCE_US),
            Event::Healed => self.add_view_sizes_from(views, HEAL_CONVERGENCE_US),
            Event::KilledRestarted => self.add_after_return(views),
            _ => {}
        }
    }

    fn add_view_sizes(&mut self, views: &Views) {
        self.add_count("fewest in view", views.current.min);
        self.add_count("median in view", views.current.median);
    }

    /// Adds the sizes of views, which must contain all members from `convergence` on.
    fn add_view_sizes_from(&mut self, views: &Views, convergence: Micros) {
        let bound = self.bound_from(convergence, self.all_members());
        self.add_bounded_count("fewest in view", views.current.min, bound);
        self.add_count("median in view", views.current.median);
    }

    fn add_after_kill(&mut self, views: &Views) {
        let none = self.bound_from(DEAD_REMOVAL_US, Bound::AtMost(0.0));
        self.add_mean("dead in view, mean", views.unexpected.mean());
        self.add_bounded_count("dead in view, most", views.unexpected.max, none);
        self.add_mean("running, not in view, mean", views.missing.mean());
        self.add_bounded_count("running, not in view, most", views.missing.max, none);
    }

    fn add_after_return(&mut self, views: &Views) {
        self.add_view_sizes(views);
        let outdated = views.outdated.mean();
        self.add_mean("running, in view in a past life, mean", outdated);
        self.add_mean("dead in view, mean", views.unexpected.mean());
    }

    fn add_restarted_moment(&mut self, restarted: &RestartedProcessMoment) {
        let complete = self.bound_at(RESTARTED_COMPLETE_VIEW_US, self.all_members());
        self.add_bounded_count("the restarted one has in view", restarted.in_view, complete);
        let known = self.bound_at(RESTARTED_KNOWN_US, self.all_members());
        self.add_bounded_count("know its new life", restarted.known_by, known);
    }

    fn add_restarted(&mut self, restarted: &RestartedProcess) {
        let complete = self.max_time(RESTARTED_COMPLETE_VIEW_US);
        let after = restarted.complete_view_after;
        self.add_time("the restarted one has all in view after", after, complete);
        let known = self.max_time(RESTARTED_KNOWN_US);
        let after = restarted.known_to_all_after;
        self.add_time("all know its new life after", after, known);
    }

    fn add_region(&mut self, region: &RegionViews) {
        let event = self.event;
        self.event = match region.region {
            Region::East => "cut, in the east at its end",
            Region::West => "cut, in the west at its end",
        };
        let views = &region.views;
        self.add_count("run on this side", views.expected);
        self.add_count("of this side, fewest in view", views.current.min);
        self.add_count("of this side, median in view", views.current.median);
        self.add_count("of this side, most in view", views.current.max);
        self.add_mean("of this side, not in view, mean", views.missing.mean());
        self.add_count("of this side, not in view, most", views.missing.max);
        self.add_mean("of the other side, in view, mean", views.unexpected.mean());
        self.add_count("of the other side, in view, most", views.unexpected.max);
        self.event = event;
    }

    fn add_samples(&mut self, samples: &Samples) {
        let Samples { missing, outdated } = samples;
        self.add_mean("running, not in view, mean", missing.mean());
        self.add_count("running, not in view, most", missing.max);
        self.add_mean("running, in view in a past life, mean", outdated.mean());
        self.add_count("running, in view in a past life, most", outdated.max);
    }

    fn add_convergence(&mut self, stage: &Stage) {
        let bound = match stage.event {
            Event::Partitioned | Event::RollingRestarts => return,
            Event::AllStarted => self.max_time(START_CONVERGENCE_US),
            Event::Healed => self.max_time(HEAL_CONVERGENCE_US),
            _ => None,
        };
        if stage.event == Event::Killed {
            let removal = self.max_time(DEAD_REMOVAL_US);
            let after = stage.dead_removed_after;
            self.add_time("dead gone everywhere after", after, removal);
        }
        self.add_time("whole everywhere after", stage.converged_after, bound);
    }

    // ---- traffic ----

    /// Adds the send rates while a fleet starts and while it is idle.
    fn add_start_rates(&mut self, moments: &[Moment]) {
        if let [first, .., last] = moments {
            self.add_rate(
                "sent by each in the first 5 s, mean",
                first.mean_send_bytes_per_s,
                None,
            );
            let bound = Some(Bound::Below(MAX_IDLE_BYTES_PER_S));
            self.add_rate(
                "sent by each in the last 30 s, mean",
                last.mean_send_bytes_per_s,
                bound,
            );
        }
    }

    fn add_rates(&mut self, rates: &Rates) {
        let bound = Some(Bound::AtMost(MAX_PEAK_BYTES_PER_S));
        self.add_rate("sent by each, mean", rates.mean_send_bytes_per_s, None);
        let sent = rates.peak_send_rate.bytes_per_second;
        self.add_rate("most sent by one over any 10 s", sent, bound);
        let received = rates.peak_receive_rate.bytes_per_second;
        self.add_rate("most received by one over any 10 s", received, bound);
    }

    fn add_packets(&mut self, counts: &PacketCounts) {
        let sent = Some(counts.sent as f64);
        self.add("packets sent", Unit::Packets, sent, None);
        let too_large = Some(counts.too_large as f64);
        self.add(
            "too large for a packet, not sent",
            Unit::Packets,
            too_large,
            None,
        );
    }
}

fn in_seconds(time: Micros) -> f64 {
    time as f64 / SECOND_US as f64
}
