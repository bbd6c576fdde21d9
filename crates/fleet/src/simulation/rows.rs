//! An outcome as rows: what was measured beside what is wanted.

use super::network::PacketCounts;
use super::outcome::{Event, Focus, FocusMoment, Moment, Outcome, Samples, Side, Stage};
use super::topology::Region;
use super::traffic::Rates;
use super::views::Views;
use super::{Settings, SECOND};
use crate::membership::Micros;
use serde::Serialize;

/// From this part of lost packets on, everything may take [`LOSSY_PATIENCE`] times as long.
const LOSSY_FROM: f64 = 0.1;
const LOSSY_PATIENCE: Micros = 2;

const START_WHOLE_WITHIN: Micros = 15 * SECOND;
const RESTARTED_SEES_ALL_WITHIN: Micros = 2 * SECOND;
const RESTARTED_KNOWN_WITHIN: Micros = 5 * SECOND;
const DEAD_GONE_WITHIN: Micros = 15 * SECOND;
const JOINED_WHOLE_WITHIN: Micros = 30 * SECOND;
/// Bytes a second over any ten seconds, of each process in each direction.
const MOST_BYTES: f64 = 10_000.0;
/// Bytes a second that each process sends on average while nothing happens.
const BYTES_AT_REST: f64 = 500.0;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Unit {
    /// Members, or processes.
    #[serde(rename = "members")]
    Members,
    /// Seconds.
    #[serde(rename = "s")]
    Seconds,
    /// Bytes a second of each process.
    #[serde(rename = "bytes/s")]
    BytesPerSecond,
    /// Packets of all processes.
    #[serde(rename = "packets")]
    Packets,
}

/// What a measured figure has to keep to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// This or more.
    AtLeast(f64),
    /// This or less.
    AtMost(f64),
    /// Less than this.
    Below(f64),
}

impl Bound {
    fn holds(self, measured: f64) -> bool {
        match self {
            Bound::AtLeast(bound) => measured >= bound,
            Bound::AtMost(bound) => measured <= bound,
            Bound::Below(bound) => measured < bound,
        }
    }
}

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What was done to the fleet.
    pub event: &'static str,
    /// How many seconds after it this was measured, if at a fixed time.
    pub after_s: Option<f64>,
    /// What was measured.
    pub what: &'static str,
    /// In which unit.
    pub unit: Unit,
    /// What it has to keep to, if anything.
    pub wanted: Option<Bound>,
    /// The figure; `None` for a time that had not come at the end of the stage.
    pub measured: Option<f64>,
}

impl Row {
    /// Whether the figure keeps to its bound; `None` if it has none.
    pub fn passed(&self) -> Option<bool> {
        let wanted = self.wanted?;
        Some(self.measured.is_some_and(|measured| wanted.holds(measured)))
    }
}

impl Outcome {
    /// All figures, in the order in which they came about.
    pub fn rows(&self) -> Vec<Row> {
        let mut table = Table {
            settings: self.settings,
            event: "settled",
            after: None,
            rows: Vec::new(),
        };
        if let Some(views) = &self.settled {
            table.settled(views);
        }
        for stage in &self.stages {
            table.stage(stage);
        }
        table.event = "all the time";
        table.packets(&self.packets);
        table.rows
    }
}

/// Rows in the making.
struct Table {
    settings: Settings,
    event: &'static str,
    after: Option<Micros>,
    rows: Vec<Row>,
}

impl Table {
    fn row(
        &mut self,
        what: &'static str,
        unit: Unit,
        measured: Option<f64>,
        wanted: Option<Bound>,
    ) {
        let after_s = self.after.map(in_seconds);
        self.rows.push(Row {
            event: self.event,
            after_s,
            what,
            unit,
            wanted,
            measured,
        });
    }

    fn members(&mut self, what: &'static str, measured: f64) {
        self.row(what, Unit::Members, Some(measured), None);
    }

    fn members_bound(&mut self, what: &'static str, measured: usize, wanted: Option<Bound>) {
        self.row(what, Unit::Members, Some(measured as f64), wanted);
    }

    fn time(&mut self, what: &'static str, measured: Option<Micros>, wanted: Option<Bound>) {
        self.row(what, Unit::Seconds, measured.map(in_seconds), wanted);
    }

    fn bytes(&mut self, what: &'static str, measured: f64, wanted: Option<Bound>) {
        self.row(what, Unit::BytesPerSecond, Some(measured), wanted);
    }

    /// How long something may take that may take `time` while little is lost.
    fn patient(&self, time: Micros) -> Micros {
        if self.settings.loss >= LOSSY_FROM {
            time * LOSSY_PATIENCE
        } else {
            time
        }
    }

    fn within(&self, time: Micros) -> Option<Bound> {
        Some(Bound::AtMost(in_seconds(self.patient(time))))
    }

    /// The bound if this moment is the one by which it has to hold.
    fn at(&self, time: Micros, bound: Bound) -> Option<Bound> {
        (self.after == Some(self.patient(time))).then_some(bound)
    }

    /// The bound if it has to hold by this moment.
    fn from(&self, time: Micros, bound: Bound) -> Option<Bound> {
        self.after
            .is_some_and(|after| after >= self.patient(time))
            .then_some(bound)
    }

    fn all(&self) -> Bound {
        Bound::AtLeast(self.settings.processes as f64)
    }

    fn settled(&mut self, views: &Views) {
        self.members("fewest in view", views.seen.fewest as f64);
        self.members("median in view", views.seen.median as f64);
    }

    fn stage(&mut self, stage: &Stage) {
        self.event = stage.event.name();
        for moment in &stage.moments {
            self.after = Some(moment.after);
            self.moment(stage.event, moment);
        }
        self.after = None;
        stage.sides.iter().for_each(|side| self.side(side));
        if let Some(samples) = &stage.samples {
            self.samples(samples);
        }
        if let Some(focus) = &stage.focus {
            self.focus(focus);
        }
        self.milestones(stage);
        if stage.event == Event::AllStarted {
            self.start_rates(&stage.moments);
        }
        self.rates(&stage.rates);
    }

    fn moment(&mut self, event: Event, moment: &Moment) {
        let views = &moment.views;
        if let Some(focus) = &moment.focus {
            self.focus_moment(focus);
        }
        match event {
            Event::Killed => self.after_kill(views),
            Event::AllStarted => self.in_view(views, START_WHOLE_WITHIN),
            Event::Joined => self.in_view(views, JOINED_WHOLE_WITHIN),
            Event::StartedAgain => {
                self.settled(views);
                self.members(
                    "running, in view in a past life, mean",
                    views.outdated.mean(),
                );
                self.members("dead in view, mean", views.unexpected.mean());
            }
            _ => {}
        }
    }

    fn in_view(&mut self, views: &Views, whole_within: Micros) {
        let wanted = self.from(whole_within, self.all());
        self.members_bound("fewest in view", views.seen.fewest, wanted);
        self.members("median in view", views.seen.median as f64);
    }

    fn after_kill(&mut self, views: &Views) {
        let none = self.from(DEAD_GONE_WITHIN, Bound::AtMost(0.0));
        self.members("dead in view, mean", views.unexpected.mean());
        self.members_bound("dead in view, most", views.unexpected.most, none);
        self.members("running, not in view, mean", views.missing.mean());
        self.members_bound("running, not in view, most", views.missing.most, none);
    }

    fn focus_moment(&mut self, focus: &FocusMoment) {
        let sees = self.at(RESTARTED_SEES_ALL_WITHIN, self.all());
        self.members_bound("the restarted one has in view", focus.sees, sees);
        let known = self.at(RESTARTED_KNOWN_WITHIN, self.all());
        self.members_bound("know its new life", focus.known_by, known);
    }

    fn focus(&mut self, focus: &Focus) {
        let sees = self.within(RESTARTED_SEES_ALL_WITHIN);
        self.time(
            "the restarted one has all in view after",
            focus.sees_all_after,
            sees,
        );
        let known = self.within(RESTARTED_KNOWN_WITHIN);
        self.time(
            "all know its new life after",
            focus.known_by_all_after,
            known,
        );
    }

    fn side(&mut self, side: &Side) {
        let event = self.event;
        self.event = match side.region {
            Region::East => "cut, in the east at its end",
            Region::West => "cut, in the west at its end",
        };
        let views = &side.views;
        self.members("run on this side", views.expected as f64);
        self.members("of this side, fewest in view", views.seen.fewest as f64);
        self.members("of this side, median in view", views.seen.median as f64);
        self.members("of this side, most in view", views.seen.most as f64);
        self.members("of this side, not in view, mean", views.missing.mean());
        self.members("of this side, not in view, most", views.missing.most as f64);
        self.members("of the other side, in view, mean", views.unexpected.mean());
        self.members(
            "of the other side, in view, most",
            views.unexpected.most as f64,
        );
        self.event = event;
    }

    fn samples(&mut self, samples: &Samples) {
        self.members("running, not in view, mean", samples.missing.mean());
        self.members("running, not in view, most", samples.missing.most as f64);
        self.members(
            "running, in view in a past life, mean",
            samples.outdated.mean(),
        );
        self.members(
            "running, in view in a past life, most",
            samples.outdated.most as f64,
        );
    }

    fn milestones(&mut self, stage: &Stage) {
        let whole = "whole everywhere after";
        match stage.event {
            Event::AllStarted => {
                self.time(whole, stage.whole_after, self.within(START_WHOLE_WITHIN))
            }
            Event::Joined => self.time(whole, stage.whole_after, self.within(JOINED_WHOLE_WITHIN)),
            Event::Killed => {
                let gone = self.within(DEAD_GONE_WITHIN);
                self.time("dead gone everywhere after", stage.gone_after, gone);
                self.time(whole, stage.whole_after, None);
            }
            Event::Cut | Event::Restarts => {}
            _ => self.time(whole, stage.whole_after, None),
        }
    }

    /// What is said while a fleet starts, and while nothing happens any more.
    fn start_rates(&mut self, moments: &[Moment]) {
        if let [first, .., last] = moments {
            self.bytes("sent by each in the first 5 s, mean", first.mean_sent, None);
            let at_rest = Some(Bound::Below(BYTES_AT_REST));
            self.bytes(
                "sent by each in the last 30 s, mean",
                last.mean_sent,
                at_rest,
            );
        }
    }

    fn packets(&mut self, counts: &PacketCounts) {
        let too_large = Some(counts.too_large as f64);
        self.row(
            "packets sent",
            Unit::Packets,
            Some(counts.sent as f64),
            None,
        );
        self.row(
            "too large for a packet, not sent",
            Unit::Packets,
            too_large,
            None,
        );
    }

    fn rates(&mut self, rates: &Rates) {
        let bound = Some(Bound::AtMost(MOST_BYTES));
        self.bytes("sent by each, mean", rates.mean_sent, None);
        self.bytes(
            "most sent by one over any 10 s",
            rates.most_sent.bytes_per_second,
            bound,
        );
        self.bytes(
            "most received by one over any 10 s",
            rates.most_received.bytes_per_second,
            bound,
        );
    }
}

fn in_seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}
