//! The cases of the simulation, with their names and durations.

use super::timing::{
    last, AFTER_HEAL_US, AFTER_KILL_US, AFTER_OUTAGE_US, AFTER_RESTART_US, AFTER_START_US,
    LONG_PARTITION_US, RESTARTS, RESTART_INTERVAL_US, SETTLING_US, SHORT_PARTITION_US,
};
use crate::membership::Micros;
use std::fmt;
use std::str::FromStr;

/// A scenario that a fleet is simulated in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// All processes start at once.
    ColdStart,
    /// One process is killed and immediately restarted at its address.
    SingleRestart,
    /// A tenth of the processes, chosen at random, are killed.
    TenthKilled,
    /// A rack, a fifteenth of the processes, is killed and restarted 30 s later.
    RackLost,
    /// A zone, a fifth of the processes, is killed and restarted 30 s later.
    ZoneLost,
    /// The two regions are partitioned from each other for 300 s.
    ShortPartition,
    /// The two regions are partitioned from each other for an hour.
    LongPartition,
    /// 240 restarts of processes chosen at random, one every 10 s.
    RollingRestarts,
    /// One process restarts while its wall clock is an hour ahead, and again with the correct time.
    ClockSkew,
}

impl Case {
    /// All cases.
    pub const ALL: [Case; 9] = [
        Case::ColdStart,
        Case::SingleRestart,
        Case::TenthKilled,
        Case::RackLost,
        Case::ZoneLost,
        Case::ShortPartition,
        Case::LongPartition,
        Case::RollingRestarts,
        Case::ClockSkew,
    ];

    /// Returns the name of the case in commands and tables.
    pub fn name(self) -> &'static str {
        match self {
            Case::ColdStart => "start-at-once",
            Case::SingleRestart => "restart-one",
            Case::TenthKilled => "tenth-killed",
            Case::RackLost => "rack-lost",
            Case::ZoneLost => "zone-lost",
            Case::ShortPartition => "regions-cut-300s",
            Case::LongPartition => "regions-cut-3600s",
            Case::RollingRestarts => "restarts",
            Case::ClockSkew => "clock-off",
        }
    }

    /// Returns the simulated duration of the case, so that callers can begin the longest cases
    /// first.
    pub fn duration(self) -> Micros {
        match self {
            Case::ColdStart => last(&AFTER_START_US),
            Case::SingleRestart => SETTLING_US + last(&AFTER_RESTART_US),
            Case::TenthKilled => SETTLING_US + last(&AFTER_KILL_US),
            Case::RackLost | Case::ZoneLost => {
                SETTLING_US + last(&AFTER_OUTAGE_US) + last(&AFTER_KILL_US)
            }
            Case::ShortPartition => SETTLING_US + SHORT_PARTITION_US + last(&AFTER_HEAL_US),
            Case::LongPartition => SETTLING_US + LONG_PARTITION_US + last(&AFTER_HEAL_US),
            Case::RollingRestarts => SETTLING_US + RESTARTS as Micros * RESTART_INTERVAL_US,
            Case::ClockSkew => SETTLING_US + 2 * last(&AFTER_RESTART_US),
        }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The error for a name that no case has.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown case {0:?}; expected one of {names}", names = case_names())]
pub struct UnknownCase(pub String);

fn case_names() -> String {
    Case::ALL.map(Case::name).join(", ")
}

impl FromStr for Case {
    type Err = UnknownCase;

    fn from_str(name: &str) -> Result<Case, UnknownCase> {
        let named = Case::ALL.into_iter().find(|case| case.name() == name);
        named.ok_or_else(|| UnknownCase(name.to_string()))
    }
}
