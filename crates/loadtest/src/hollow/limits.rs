//! What the machine allows. Nothing of it is raised or worked round.

use dewrun_test_support::resident_kib_of;
use rustix::process::{getrlimit, Resource};

/// Descriptors beside those of hollow processes: for each real one its log, two callers and the
/// upstream's side of them, and who asks it; and those of threads and of the program itself.
const PER_REAL: usize = 16;
const OTHERS: usize = 200;

/// Whether so many hollow and real processes fit into this program's limit of descriptors.
pub fn check_descriptors(hollow: usize, real: usize) -> Result<(), String> {
    let needed = hollow + real * PER_REAL + OTHERS;
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if (needed as u64) > limit {
        return Err(format!(
            "{hollow} hollow and {real} real processes need some {needed} descriptors, and the limit is {limit} (ulimit -n)"
        ));
    }
    Ok(())
}

/// Half of the machine's memory.
pub fn memory_most_kib() -> usize {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("MemTotal:"));
    let total = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|kib| kib.parse().ok());
    total.map_or(usize::MAX, |total: usize| total / 2)
}

/// Resident memory of this program.
pub fn own_resident_kib() -> usize {
    resident_kib_of(std::process::id())
}
