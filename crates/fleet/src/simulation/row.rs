//! Measured figures and their bounds.

use serde::Serialize;

/// The unit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Unit {
    /// Members, or processes.
    #[serde(rename = "members")]
    Members,
    /// Seconds.
    #[serde(rename = "s")]
    Seconds,
    /// Bytes per second of each process.
    #[serde(rename = "bytes/s")]
    BytesPerSecond,
    /// Packets of all processes.
    #[serde(rename = "packets")]
    Packets,
}

/// The bound that a measured figure has to satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The figure is this value or more.
    AtLeast(f64),
    /// The figure is this value or less.
    AtMost(f64),
    /// The figure is less than this value.
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

/// One measured figure and its bound.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The event that the figure was measured after.
    pub event: &'static str,
    /// The seconds between the event and the measurement, if it was made at a fixed time.
    pub after_s: Option<f64>,
    /// The measured quantity.
    #[serde(rename = "what")]
    pub quantity: &'static str,
    /// The unit of the figure.
    pub unit: Unit,
    /// The bound of the figure, if it has one.
    #[serde(rename = "wanted")]
    pub bound: Option<Bound>,
    /// The figure; `None` for a duration that had not ended by the end of the stage.
    pub measured: Option<f64>,
}

impl Row {
    /// Returns whether the figure satisfies its bound; `None` if it has none.
    pub fn passed(&self) -> Option<bool> {
        let bound = self.bound?;
        let is_met = self.measured.is_some_and(|figure| bound.is_met_by(figure));
        Some(is_met)
    }
}
