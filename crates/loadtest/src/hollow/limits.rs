//! The limits of the machine. A plan that exceeds them is rejected; none of them is raised or
//! circumvented.

use dewrun_test_support::resident_kib_of;
use rustix::process::{getrlimit, Resource};

/// Descriptors of this program for each real process: its log, the two load clients and the
/// backend's side of their connections, and status requests.
const DESCRIPTORS_PER_REAL_PROCESS: usize = 16;
/// Descriptors of the threads and of the program itself.
const OTHER_DESCRIPTORS: usize = 200;

/// Checks that the sockets and files for these numbers of processes fit into this program's limit
/// of open descriptors. Each hollow process has one socket.
pub fn check_descriptors(hollow: usize, real: usize) -> Result<(), String> {
    let needed = hollow + real * DESCRIPTORS_PER_REAL_PROCESS + OTHER_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if (needed as u64) > limit {
        return Err(format!(
            "{hollow} hollow and {real} real processes need about {needed} descriptors, and the limit is {limit} (ulimit -n)"
        ));
    }
    Ok(())
}

/// Returns the maximum resident memory of a run in KiB: half of the machine's memory.
pub fn memory_limit_kib() -> usize {
    let meminfo = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = meminfo.lines().find(|line| line.starts_with("MemTotal:"));
    let total = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|kib| kib.parse().ok());
    total.map_or(usize::MAX, |total: usize| total / 2)
}

/// Returns the resident memory of this program in KiB.
pub fn own_resident_kib() -> usize {
    resident_kib_of(std::process::id())
}
