//! The file that preserves the replicated state across a restart of all processes.

use dewrun_budgets::{Micros, Timestamp};
use dewrun_replication::snapshot::{self, SnapshotOwner};
use dewrun_replication::store::Store;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tracing::{info, warn};

/// The shortest interval between two snapshots, in microseconds.
pub(crate) const MIN_SNAPSHOT_INTERVAL_US: Micros = 100_000;
/// The time after which an unchanged snapshot is rewritten, in microseconds, because a snapshot
/// that is a day old is ignored at the start.
const REFRESH_INTERVAL_US: Micros = 3_600_000_000;
/// The name of the snapshot file in the state folder.
const FILE_NAME: &str = "copy";

/// The snapshot file of the replicated state.
pub(crate) struct SnapshotFile {
    file: PathBuf,
    fleet: String,
    name: String,
    /// The time at which the scheduled write is due.
    due_at: Option<Timestamp>,
    written_at: Timestamp,
    /// Whether a write is in progress.
    is_writing: Arc<AtomicBool>,
    /// The error of the last write; empty if it succeeded.
    last_error: Arc<Mutex<String>>,
    logged_error: String,
}

impl SnapshotFile {
    /// Creates the state of the file in a folder, for a process of a fleet. Does no I/O.
    pub fn new(now: Timestamp, folder: &Path, fleet: &str, name: &str) -> SnapshotFile {
        SnapshotFile {
            file: folder.join(FILE_NAME),
            fleet: fleet.into(),
            name: name.into(),
            due_at: None,
            written_at: now,
            is_writing: Arc::default(),
            last_error: Arc::default(),
            logged_error: String::new(),
        }
    }

    /// Returns the owner of the snapshots.
    fn owner(&self) -> SnapshotOwner<'_> {
        SnapshotOwner {
            fleet: &self.fleet,
            process: &self.name,
        }
    }

    /// Restores the store from the file if it is valid, and logs the result.
    pub fn read(&self, store: &mut Store, now: Timestamp, now_ms: u64) {
        let file = self.file.display();
        match std::fs::read(&self.file) {
            Ok(bytes) => match snapshot::read(store, now, &bytes, self.owner(), now_ms) {
                Ok(count) => info!("fleet: restored {count} entries from {file}"),
                Err(error) => warn!("fleet: state file {file} is ignored: {error}"),
            },
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
                info!("fleet: state file {file} does not exist yet");
            }
            Err(e) => {
                warn!("fleet: cannot read state file {file}: {e}; starting without its state")
            }
        }
    }

    /// Schedules a write within `within` microseconds.
    pub fn schedule(&mut self, now: Timestamp, within: Micros) {
        let due_at = now + within;
        self.due_at = Some(self.due_at.map_or(due_at, |earlier| earlier.min(due_at)));
    }

    /// Returns whether the file must be rewritten, because a snapshot that is a day old is ignored.
    pub fn needs_refresh(&self, now: Timestamp) -> bool {
        now >= self.written_at + REFRESH_INTERVAL_US
    }

    /// Writes the file if a write is due, on a separate thread, so that no request waits for a
    /// disk. `at_end` writes a scheduled snapshot at once on the calling thread, for a process that
    /// ends.
    pub fn write(&mut self, store: &Store, now: Timestamp, now_ms: u64, at_end: bool) {
        self.log_error();
        let is_time = self.due_at.is_some_and(|due_at| {
            now >= due_at && now >= self.written_at + MIN_SNAPSHOT_INTERVAL_US
        });
        let is_due = is_time || at_end && self.due_at.is_some();
        if !is_due || self.is_writing.load(Ordering::SeqCst) {
            return;
        }
        (self.due_at, self.written_at) = (None, now);
        let bytes = snapshot::write(store, now, self.owner(), now_ms);
        let file = self.file.clone();
        let (is_writing, last_error) = (self.is_writing.clone(), self.last_error.clone());
        let write = move || {
            let error = replace(&file, &bytes)
                .err()
                .map_or_else(String::new, |e| e.to_string());
            *last_error.lock().unwrap_or_else(PoisonError::into_inner) = error;
            is_writing.store(false, Ordering::SeqCst);
        };
        self.is_writing.store(true, Ordering::SeqCst);
        if at_end {
            write();
        } else if let Err(e) = std::thread::Builder::new()
            .name("state".into())
            .spawn(write)
        {
            self.is_writing.store(false, Ordering::SeqCst);
            warn!("fleet: cannot start the thread that writes the state file: {e}");
        }
    }

    fn log_error(&mut self) {
        let error = self
            .last_error
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if error == self.logged_error {
            return;
        }
        let file = self.file.display();
        match error.as_str() {
            "" => info!("fleet: state file {file} can be written again"),
            error => warn!("fleet: cannot write state file {file}: {error}; orders are lost if all processes restart"),
        }
        self.logged_error = error;
    }
}

/// Replaces a file atomically, by writing a temporary file and renaming it.
fn replace(file: &Path, bytes: &[u8]) -> std::io::Result<()> {
    use std::io::Write;
    if let Some(folder) = file.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let temporary = file.with_extension("new");
    let mut out = std::fs::File::create(&temporary)?;
    out.write_all(bytes)?;
    out.sync_all()?;
    std::fs::rename(&temporary, file)
}
