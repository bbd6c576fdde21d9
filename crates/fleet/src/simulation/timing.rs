//! When a simulated fleet is disturbed, and when it is looked at.

use super::SECOND_US;
use crate::membership::Micros;

/// How long a fleet settles after its start before it is disturbed.
pub(super) const SETTLING_US: Micros = 60 * SECOND_US;
/// Over what time the starts of its processes are spread then.
pub(super) const START_SPREAD_US: Micros = SECOND_US;

/// For how long a rack or a zone is lost.
const LOSS_US: Micros = 30 * SECOND_US;
/// How long the partition of [`Case::ShortPartition`](super::Case::ShortPartition) lasts.
pub(super) const SHORT_PARTITION_US: Micros = 300 * SECOND_US;
/// How long the partition of [`Case::LongPartition`](super::Case::LongPartition) lasts.
pub(super) const LONG_PARTITION_US: Micros = 3_600 * SECOND_US;

/// How many restarts [`Case::RollingRestarts`](super::Case::RollingRestarts) has.
pub(super) const RESTARTS: usize = 240;
/// The time between two of these restarts.
pub(super) const RESTART_INTERVAL_US: Micros = 10 * SECOND_US;
/// How long a process is down in one of them.
pub(super) const RESTART_DOWN_US: Micros = SECOND_US;
/// When the views are looked at, counted from the kill: the process has been back for 4 s then, so
/// that all run.
pub(super) const RESTART_SAMPLE_US: Micros = 5 * SECOND_US;

/// When a fleet is looked at after a cold start.
pub(super) const AFTER_START_US: [Micros; 7] = seconds([5, 10, 15, 30, 60, 90, 120]);
/// After one process was restarted.
pub(super) const AFTER_RESTART_US: [Micros; 6] = seconds([1, 2, 4, 5, 10, 40]);
/// After processes were killed for good, or started again.
pub(super) const AFTER_KILL_US: [Micros; 5] = seconds([5, 10, 15, 30, 60]);
/// After processes were killed that start again.
pub(super) const AFTER_LOSS_US: [Micros; 4] = seconds([5, 10, 15, LOSS_US / SECOND_US]);
/// After the end of a partition.
pub(super) const AFTER_HEAL_US: [Micros; 5] = seconds([5, 15, 30, 60, 120]);

const fn seconds<const N: usize>(mut times: [Micros; N]) -> [Micros; N] {
    let mut at = 0;
    while at < N {
        times[at] *= SECOND_US;
        at += 1;
    }
    times
}

/// The last of some moments.
pub(super) fn last(moments: &[Micros]) -> Micros {
    moments.last().copied().unwrap_or_default()
}
