//! What is done to a fleet while it is looked at.

use super::fleet::HollowFleet;
use clap::ValueEnum;
use serde::Serialize;

/// The part of packets that is lost.
const LOSS: f64 = 0.1;
/// Of the hollow processes one in so many is killed.
const KILLED: usize = 10;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// One real process ends in order and starts again
    Restart,
    /// A tenth of the hollow processes are killed, and start again later
    Kill,
    /// A zone without real processes is cut off, and joins again
    CutZone,
    /// A region without real processes, a third of all, is cut off, and joins again
    CutRegion,
    /// A tenth of the packets to and from hollow processes is lost for a while
    Loss,
}

impl Fault {
    /// All of them, in the order in which they are played.
    pub const ALL: [Fault; 5] = [
        Fault::Restart,
        Fault::Kill,
        Fault::CutZone,
        Fault::CutRegion,
        Fault::Loss,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Restart => "restart",
            Fault::Kill => "kill",
            Fault::CutZone => "cut-zone",
            Fault::CutRegion => "cut-region",
            Fault::Loss => "loss",
        }
    }

    /// The real process that it concerns, by number.
    pub fn concerns(self, fleet: &HollowFleet) -> Option<usize> {
        (self == Fault::Restart).then(|| fleet.processes.len().saturating_sub(1))
    }

    /// Brings it about. Tells how many members every real process is to see while it lasts.
    pub fn begin(self, fleet: &mut HollowFleet) -> usize {
        let all = fleet.running();
        match self {
            Fault::Restart => {
                if let Some(last) = fleet.processes.last_mut() {
                    last.restart();
                }
                all
            }
            Fault::Kill => {
                let hollow = all - fleet.processes.len();
                all - fleet.kill_hollow(hollow / KILLED).len()
            }
            Fault::CutZone => {
                let cut_off = fleet.zone();
                let left = all - cut_off.len();
                fleet.network.cut(cut_off);
                left
            }
            Fault::CutRegion => {
                let cut_off = fleet.region();
                let left = all - cut_off.len();
                fleet.network.cut(cut_off);
                left
            }
            Fault::Loss => {
                fleet.network.lose(LOSS);
                all
            }
        }
    }

    /// Ends it.
    pub fn mend(self, fleet: &mut HollowFleet) -> Result<(), String> {
        match self {
            Fault::Restart => Ok(()),
            Fault::Kill => fleet.start_killed(),
            Fault::CutZone | Fault::CutRegion | Fault::Loss => {
                fleet.network.mend();
                Ok(())
            }
        }
    }
}
