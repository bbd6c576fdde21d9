//! Handover notes between the processes that serve as this proxy: the file I/O around
//! `dewrun-handover`, in a directory that the processes share.

use crate::net::driver::Driver;
use dewrun_handover::{predecessor, siblings, Note, Reader};
use std::fs::DirEntry;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;
use tracing::{info, warn};

/// The interval at which a process writes its note and reads those of the others.
const NOTE_INTERVAL: Duration = Duration::from_millis(100);
/// The prefix of a note's file name; the process id follows.
const NOTE_FILE_PREFIX: &str = "dewrun-note-";
/// The largest note that is read; a note on 1,000 endpoints and 5 classes is smaller.
const MAX_NOTE_BYTES: u64 = 4 << 20;

/// Writes the notes of this process and reads those of the others.
pub struct NoteExchange {
    directory: PathBuf,
    serves: String,
    driver: Rc<Driver>,
}

fn unix_now_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1_000.0
}

impl NoteExchange {
    /// Creates the exchange, and restores the learned state of a predecessor if it left a note.
    /// `serves` names the listener, classes and tenants of this proxy.
    pub fn start(directory: &Path, serves: String, driver: Rc<Driver>) -> NoteExchange {
        let notes = NoteExchange {
            directory: directory.to_path_buf(),
            serves,
            driver,
        };
        notes.restore_learned_state();
        notes
    }

    fn restore_learned_state(&self) {
        let all = self.read_all();
        let Some(note) = predecessor(&all, &self.reader()) else {
            return;
        };
        let process = note.process_id;
        let age_ms = (unix_now_ms() - note.written_at_ms).round();
        if self.driver.restore_learned(&note.learned_state) {
            info!(
                process,
                age_ms, "restored the learned state of a predecessor"
            );
        } else {
            warn!(
                process,
                age_ms,
                "cannot restore the learned state of a predecessor with other settings; starting without learned state"
            );
        }
    }

    /// Exchanges notes with the other processes for ever.
    pub async fn run(self: Rc<Self>) {
        let mut sibling_count = 0;
        let mut has_logged_write_error = false;
        loop {
            let in_flight = self.driver.in_flight();
            let found = siblings(&self.read_all(), &self.reader(), in_flight.len());
            self.driver
                .set_overlapping_processes(found.count, &found.in_flight);
            if std::mem::replace(&mut sibling_count, found.count) != found.count {
                info!(
                    processes = found.count,
                    "the number of other processes of this proxy has changed"
                );
            }
            if let Err(e) = self.write(in_flight) {
                if !std::mem::replace(&mut has_logged_write_error, true) {
                    warn!(
                        "cannot write a handover note to {}: {e}",
                        self.directory.display()
                    );
                }
            }
            sleep(NOTE_INTERVAL).await;
        }
    }

    /// Removes the note of this process, which is about to end.
    pub fn remove_own(directory: &Path) {
        // A note that can't be removed expires.
        let _ = std::fs::remove_file(directory.join(own_file_name()));
    }

    fn reader(&self) -> Reader<'_> {
        Reader {
            process_id: std::process::id(),
            serves: &self.serves,
            now_ms: unix_now_ms(),
        }
    }

    /// Reads the notes of other processes. Files that cannot be parsed are skipped, as their
    /// processes write them again within [`NOTE_INTERVAL`].
    fn read_all(&self) -> Vec<Note> {
        let Ok(entries) = std::fs::read_dir(&self.directory) else {
            return Vec::new();
        };
        entries
            .flatten()
            .filter(is_note_of_another_process)
            .filter_map(|entry| Note::parse(&std::fs::read_to_string(entry.path()).ok()?).ok())
            .collect()
    }

    /// Replaces the note of this process atomically, so that no process reads a partial note.
    fn write(&self, in_flight: Vec<f64>) -> std::io::Result<()> {
        let note = Note::new(
            std::process::id(),
            unix_now_ms(),
            &self.serves,
            in_flight,
            self.driver.learned(),
        );
        let new_file = self.directory.join(format!(".{}", own_file_name()));
        std::fs::write(&new_file, note.to_json())?;
        std::fs::rename(&new_file, self.directory.join(own_file_name()))
    }
}

/// Whether a file is a note of another process, and small enough to be read.
fn is_note_of_another_process(entry: &DirEntry) -> bool {
    let name = entry.file_name();
    let is_other_note = name
        .to_str()
        .is_some_and(|name| name.starts_with(NOTE_FILE_PREFIX) && name != own_file_name());
    is_other_note
        && entry
            .metadata()
            .is_ok_and(|data| data.is_file() && data.len() <= MAX_NOTE_BYTES)
}

fn own_file_name() -> String {
    format!("{NOTE_FILE_PREFIX}{}", std::process::id())
}
