//! Memory, CPU time, file descriptors and sockets of a running process, read from `/proc`.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

/// Reads resource usage of one process from `/proc`.
pub struct ProcessStats {
    folder: PathBuf,
}

impl ProcessStats {
    /// Creates a reader for the process with this id.
    pub fn new(process_id: u32) -> ProcessStats {
        ProcessStats {
            folder: PathBuf::from(format!("/proc/{process_id}")),
        }
    }

    /// Returns the resident memory (VmRSS) in MB of 1,000,000 bytes; not a number if it cannot be
    /// read.
    pub fn resident_mb(&self) -> f64 {
        let status = fs::read_to_string(self.folder.join("status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line
            .and_then(|line| line.split_whitespace().next())
            .and_then(|kib| kib.parse().ok());
        kib.map_or(f64::NAN, |kib: f64| kib * 1_024.0 / 1e6)
    }

    /// Returns the CPU time of all live threads. The scheduler's statistics have nanosecond
    /// resolution.
    pub fn cpu_time(&self) -> Duration {
        let threads = fs::read_dir(self.folder.join("task"))
            .into_iter()
            .flatten()
            .flatten();
        let times = threads.filter_map(|thread| {
            let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse::<u64>().ok()
        });
        Duration::from_nanos(times.sum())
    }

    /// Returns the number of open descriptors, and of sockets among them.
    pub fn descriptors(&self) -> (usize, usize) {
        let entries = fs::read_dir(self.folder.join("fd"))
            .into_iter()
            .flatten()
            .flatten();
        let targets: Vec<PathBuf> = entries
            .filter_map(|entry| fs::read_link(entry.path()).ok())
            .collect();
        let sockets = targets
            .iter()
            .filter(|target| target.to_string_lossy().starts_with("socket:"));
        (targets.len(), sockets.count())
    }
}

/// Describes the cores, memory and load of this machine in words.
pub fn describe_machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = memory
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"));
    let kib: u64 = total
        .and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split_whitespace().next().unwrap_or("?");
    format!(
        "{cores} cores, {} GiB, load {load} at the start",
        kib / 1_024 / 1_024
    )
}
