//! One measured figure beside its bound.

use serde::Serialize;

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
    fn is_met_by(self, measured: f64) -> bool {
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
    /// How many seconds after the event this was measured, if at a fixed time.
    pub after_s: Option<f64>,
    /// What was measured.
    #[serde(rename = "what")]
    pub quantity: &'static str,
    /// In which unit.
    pub unit: Unit,
    /// What the figure has to keep to, if anything.
    #[serde(rename = "wanted")]
    pub bound: Option<Bound>,
    /// The figure; `None` for a time that had not come at the end of the stage.
    pub measured: Option<f64>,
}

impl Row {
    /// Whether the figure keeps to its bound; `None` if it has none.
    pub fn passed(&self) -> Option<bool> {
        let bound = self.bound?;
        let is_met = self.measured.is_some_and(|figure| bound.is_met_by(figure));
        Some(is_met)
    }
}
