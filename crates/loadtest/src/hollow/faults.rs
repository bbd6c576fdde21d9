//! The faults that are injected into a fleet.

use super::fleet::HollowFleet;
use clap::ValueEnum;
use serde::Serialize;

/// Fraction of packets that [`Fault::Loss`] drops.
const LOSS_FRACTION: f64 = 0.1;
/// [`Fault::Kill`] kills the number of hollow processes divided by this.
const KILL_DIVISOR: usize = 10;

/// A fault that is injected into a fleet for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Restart one real process gracefully
    Restart,
    /// Kill a tenth of the hollow processes, and start them again later
    Kill,
    /// Cut off a zone without real processes, and restore it later
    CutZone,
    /// Cut off a region without real processes, a third of the fleet, and restore it later
    CutRegion,
    /// Drop a tenth of the packets to and from hollow processes for a while
    Loss,
}

impl Fault {
    /// All faults, in the order in which a run injects them.
    pub const ALL: [Fault; 5] = [
        Fault::Restart,
        Fault::Kill,
        Fault::CutZone,
        Fault::CutRegion,
        Fault::Loss,
    ];

    /// Returns the name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Restart => "restart",
            Fault::Kill => "kill",
            Fault::CutZone => "cut-zone",
            Fault::CutRegion => "cut-region",
            Fault::Loss => "loss",
        }
    }

    /// Returns the index of the real process that the fault affects directly, if there is one.
    pub fn target_index(self, fleet: &HollowFleet) -> Option<usize> {
        (self == Fault::Restart).then(|| fleet.real_processes.len().saturating_sub(1))
    }

    /// Begins the fault. Returns the number of members that every real process must see while it
    /// lasts.
    pub fn begin(self, fleet: &mut HollowFleet) -> usize {
        let running = fleet.running_count();
        match self {
            Fault::Restart => {
                if let Some(last) = fleet.real_processes.last_mut() {
                    last.restart();
                }
                running
            }
            Fault::Kill => {
                let hollow = running - fleet.real_processes.len();
                running - fleet.kill_hollow(hollow / KILL_DIVISOR).len()
            }
            Fault::CutZone => {
                let cut_off = fleet.hollow_in_last_zone();
                let remaining = running - cut_off.len();
                fleet.network.cut(cut_off);
                remaining
            }
            Fault::CutRegion => {
                let cut_off = fleet.hollow_in_last_region();
                let remaining = running - cut_off.len();
                fleet.network.cut(cut_off);
                remaining
            }
            Fault::Loss => {
                fleet.network.set_loss(LOSS_FRACTION);
                running
            }
        }
    }

    /// Ends the fault: starts killed processes again, and repairs the network.
    pub fn end(self, fleet: &mut HollowFleet) -> Result<(), String> {
        match self {
            Fault::Restart => Ok(()),
            Fault::Kill => fleet.start_killed(),
            Fault::CutZone | Fault::CutRegion | Fault::Loss => {
                fleet.network.repair();
                Ok(())
            }
        }
    }
}
