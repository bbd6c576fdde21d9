//! The file that keeps the replicated state over a restart of all processes.

use dewrun_budgets::{Micros, Timestamp};
use dewrun_replication::snapshot::{self, SnapshotOwner};
use dewrun_replication::store::Store;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tracing::{info, warn};

/// The shortest time between two snapshots, in microseconds.
pub(crate) const MIN_SNAPSHOT_INTERVAL_US: Micros = 100_000;
/// A snapshot is written again after this time, in microseconds, even if nothing has changed: one
/// that is a day old is ignored at a start.
const REFRESH_INTERVAL_US: Micros = 3_600_000_000;
/// The file in the folder for state.
const FILE_NAME: &str = "copy";

/// The snapshot file of the replicated state.
pub(crate) struct SnapshotFile {
    file: PathBuf,
    fleet: String,
    name: String,
    due: Option<Timestamp>,
    written: Timestamp,
    busy: Arc<AtomicBool>,
    /// The fault of the last write; empty if it succeeded.
    fault: Arc<Mutex<String>>,
    logged_fault: String,
}

impl SnapshotFile {
    /// The file in a folder, by the names of the fleet and of this process.
    pub fn new(now: Timestamp, folder: &Path, fleet: &str, name: &str) -> SnapshotFile {
        SnapshotFile {
            file: folder.join(FILE_NAME),
            fleet: fleet.into(),
            name: name.into(),
            due: None,
            written: now,
            busy: Arc::default(),
            fault: Arc::default(),
            logged_fault: String::new(),
        }
    }

    /// Whose snapshots they are.
    fn owner(&self) -> SnapshotOwner<'_> {
        SnapshotOwner {
            fleet: &self.fleet,
            process: &self.name,
        }
    }

    /// Restores the store from the file, if it is valid; a fault is logged.
    pub fn read(&self, store: &mut Store, now: Timestamp, now_ms: u64) {
        let file = self.file.display();
        match std::fs::read(&self.file) {
            Ok(bytes) => match snapshot::read(store, now, &bytes, self.owner(), now_ms) {
                Ok(n) => info!("fleet: restored {n} entries from {file}"),
                Err(why) => warn!("fleet: {file} is ignored: {why}"),
            },
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
                info!("fleet: no state file yet at {file}");
            }
            Err(e) => warn!("fleet: cannot read {file}: {e}; starting without its state"),
        }
    }

    /// Schedules a write within a time, in microseconds.
    pub fn schedule(&mut self, now: Timestamp, within: Micros) {
        self.due = Some(self.due.map_or(now + within, |due| due.min(now + within)));
    }

    /// Whether the file must be written again, as a snapshot that is a day old is ignored.
    pub fn is_old(&self, now: Timestamp) -> bool {
        now >= self.written + REFRESH_INTERVAL_US
    }

    /// Writes the file if a write is due, on a thread of its own, so that no request waits for a disk.
    /// At the end of the process the file is written at once.
    pub fn write(&mut self, store: &Store, now: Timestamp, now_ms: u64, at_end: bool) {
        self.log_fault();
        let due = self
            .due
            .is_some_and(|due| now >= due && now >= self.written + MIN_SNAPSHOT_INTERVAL_US);
        let is_due = due || at_end && self.due.is_some();
        if !is_due || self.busy.load(Ordering::SeqCst) {
            return;
        }
        (self.due, self.written) = (None, now);
        let bytes = snapshot::write(store, now, self.owner(), now_ms);
        let (file, busy, fault) = (self.file.clone(), self.busy.clone(), self.fault.clone());
        let write = move || {
            let why = replace(&file, &bytes)
                .err()
                .map_or_else(String::new, |e| e.to_string());
            *fault.lock().unwrap_or_else(PoisonError::into_inner) = why;
            busy.store(false, Ordering::SeqCst);
        };
        self.busy.store(true, Ordering::SeqCst);
        if at_end {
            write();
        } else if let Err(e) = std::thread::Builder::new()
            .name("state".into())
            .spawn(write)
        {
            self.busy.store(false, Ordering::SeqCst);
            warn!("fleet: cannot start a thread that writes the state file: {e}");
        }
    }

    fn log_fault(&mut self) {
        let fault = self
            .fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if fault == self.logged_fault {
            return;
        }
        let file = self.file.display();
        match fault.as_str() {
            "" => info!("fleet: {file} can be written again"),
            why => warn!("fleet: cannot write {file}: {why}; orders are not kept over a restart of all processes"),
        }
        self.logged_fault = fault;
    }
}

/// Replaces a file atomically.
fn replace(file: &Path, bytes: &[u8]) -> std::io::Result<()> {
    use std::io::Write;
    if let Some(folder) = file.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let fresh = file.with_extension("new");
    let mut out = std::fs::File::create(&fresh)?;
    out.write_all(bytes)?;
    out.sync_all()?;
    std::fs::rename(&fresh, file)
}
