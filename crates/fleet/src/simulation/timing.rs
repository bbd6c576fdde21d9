//! The times at which faults are injected into a simulated fleet and at which it is measured.

use super::SECOND_US;
use crate::membership::Micros;

/// The time for which a fleet settles after its start before faults are injected.
pub(super) const SETTLING_US: Micros = 60 * SECOND_US;
/// The time over which the starts of its processes are spread in that case.
pub(super) const START_SPREAD_US: Micros = SECOND_US;

/// The time for which a rack or a zone is down.
const OUTAGE_US: Micros = 30 * SECOND_US;
/// The duration of the partition of [`Case::ShortPartition`](super::Case::ShortPartition).
pub(super) const SHORT_PARTITION_US: Micros = 300 * SECOND_US;
/// The duration of the partition of [`Case::LongPartition`](super::Case::LongPartition).
pub(super) const LONG_PARTITION_US: Micros = 3_600 * SECOND_US;

/// The number of restarts in [`Case::RollingRestarts`](super::Case::RollingRestarts).
pub(super) const RESTARTS: usize = 240;
/// The interval between two of these restarts.
pub(super) const RESTART_INTERVAL_US: Micros = 10 * SECOND_US;
/// The time for which a process is down in each of these restarts.
pub(super) const RESTART_DOWN_US: Micros = SECOND_US;
/// The time after each kill at which views are sampled: the process has been running again for 4 s,
/// so all processes are running.
pub(super) const RESTART_SAMPLE_US: Micros = 5 * SECOND_US;

/// The sampling times after a cold start.
pub(super) const AFTER_START_US: [Micros; 7] = seconds([5, 10, 15, 30, 60, 90, 120]);
/// The sampling times after the restart of one process.
pub(super) const AFTER_RESTART_US: [Micros; 6] = seconds([1, 2, 4, 5, 10, 40]);
/// The sampling times after processes were killed permanently or restarted.
pub(super) const AFTER_KILL_US: [Micros; 5] = seconds([5, 10, 15, 30, 60]);
/// The sampling times after processes were killed that are restarted later.
pub(super) const AFTER_OUTAGE_US: [Micros; 4] = seconds([5, 10, 15, OUTAGE_US / SECOND_US]);
/// The sampling times after the end of a partition.
pub(super) const AFTER_HEAL_US: [Micros; 5] = seconds([5, 15, 30, 60, 120]);

const fn seconds<const N: usize>(mut times: [Micros; N]) -> [Micros; N] {
    let mut at = 0;
    while at < N {
        times[at] *= SECOND_US;
        at += 1;
    }
    times
}

/// Returns the last of the given times.
pub(super) fn last(moments: &[Micros]) -> Micros {
    moments.last().copied().unwrap_or_default()
}
