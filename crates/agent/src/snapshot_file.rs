//! The file that keeps the replicated state over a restart of all processes, written beside the
//! event loop.

use dewrun_budgets::Micros;
use dewrun_replication::snapshot::{self, SnapshotOwner};
use dewrun_replication::store::Store;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tracing::{info, warn};

/// The shortest time from one snapshot to the next.
pub(crate) const SNAPSHOT_SOON: Micros = 100_000;
/// A snapshot that says what is still so is written again after this: one that is a day old is not
/// taken at a start.
const REFRESH: Micros = 3_600_000_000;
/// The file in the folder for state.
const FILE: &str = "copy";

/// See the module's text.
pub(crate) struct SnapshotFile {
    file: PathBuf,
    fleet: String,
    name: String,
    due: Option<Micros>,
    written: Micros,
    busy: Arc<AtomicBool>,
    /// What went wrong last.
    fault: Arc<Mutex<String>>,
    logged_fault: String,
}

impl SnapshotFile {
    /// The file in a folder, by the names of the fleet and of this process.
    pub fn new(now: Micros, folder: &Path, fleet: &str, name: &str) -> SnapshotFile {
        SnapshotFile {
            file: folder.join(FILE),
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

    /// Takes in what was written before, if it is sound.
    pub fn read(&self, store: &mut Store, now: Micros, now_ms: u64) {
        let file = self.file.display();
        match std::fs::read(&self.file) {
            Ok(bytes) => match snapshot::read(store, now, &bytes, self.owner(), now_ms) {
                Ok(n) => info!("fleet: {n} entries from {file}"),
                Err(why) => warn!("fleet: {file} is not taken: {why}"),
            },
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
                info!("fleet: nothing kept yet at {file}");
            }
            Err(e) => warn!("fleet: {file}: {e}; going on without what it holds"),
        }
    }

    /// Has it written within a time.
    pub fn due(&mut self, now: Micros, within: Micros) {
        self.due = Some(self.due.map_or(now + within, |due| due.min(now + within)));
    }

    /// Whether what stands there has grown old.
    pub fn is_old(&self, now: Micros) -> bool {
        now >= self.written + REFRESH
    }

    /// Writes it if that is due, on a thread of its own: no request waits for a disk. At the end of
    /// the process it is written at once.
    pub fn write(&mut self, store: &Store, now: Micros, now_ms: u64, at_end: bool) {
        self.log_fault();
        let due = self
            .due
            .is_some_and(|due| now >= due && now >= self.written + SNAPSHOT_SOON);
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
            warn!("fleet: no thread to write state with: {e}");
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
            "" => info!("fleet: {file} is written again"),
            why => warn!("fleet: {file}: {why}; orders are not kept over a restart of all"),
        }
        self.logged_fault = fault;
    }
}

/// Replaces a file whole, or not at all.
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
