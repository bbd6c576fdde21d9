//! Notes to and from other processes that serve as this proxy, in the folder that the platform has
//! them share.

use crate::net::driver::Driver;
use dewrun_handover::{beside, predecessor, Note};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;
use tracing::{info, warn};

/// How often a note is written and the others' are read.
const EVERY: Duration = Duration::from_millis(100);
const PREFIX: &str = "dewrun-note-";
/// The largest note that is read; a fleet of 1,000 backends and 5 classes takes less.
const NOTE_MOST: u64 = 4 << 20;

/// Writes and reads notes.
pub struct Notes {
    folder: PathBuf,
    serves: String,
    driver: Rc<Driver>,
}

fn now_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1_000.0
}

impl Notes {
    /// Goes on from what a predecessor has learned, if there is one. `serves` names what this proxy
    /// serves.
    pub fn start(folder: &Path, serves: String, driver: Rc<Driver>) -> Notes {
        let notes = Notes {
            folder: folder.to_path_buf(),
            serves,
            driver,
        };
        let all = notes.read();
        if let Some(note) = predecessor(&all, std::process::id(), &notes.serves, now_ms()) {
            let (process, age_ms) = (note.process, (now_ms() - note.at_ms).round());
            if notes.driver.resume(&note.learned) {
                info!(
                    process,
                    age_ms, "goes on from what a predecessor has learned"
                );
            } else {
                warn!(
                    process,
                    age_ms, "a predecessor's note does not fit: starts with nothing learned"
                );
            }
        }
        notes
    }

    /// Tells and is told, for ever.
    pub async fn keep(self) {
        let process = std::process::id();
        let mut others = 0;
        let mut complained = false;
        loop {
            let out = self.driver.in_flight();
            let found = beside(&self.read(), process, &self.serves, out.len(), now_ms());
            self.driver.beside(found.others, &found.out);
            if std::mem::replace(&mut others, found.others) != found.others {
                info!(others, "other processes serve as this proxy too");
            }
            let note = Note::new(process, now_ms(), &self.serves, out, self.driver.learned());
            if let Err(e) = self.write(&note) {
                if !std::mem::replace(&mut complained, true) {
                    warn!("no note for a successor: {}: {e}", self.folder.display());
                }
            }
            sleep(EVERY).await;
        }
    }

    /// Takes this process's own note away: it is about to end.
    pub fn end(folder: &Path) {
        let _ = std::fs::remove_file(folder.join(own_name()));
    }

    fn read(&self) -> Vec<Note> {
        let Ok(entries) = std::fs::read_dir(&self.folder) else {
            return Vec::new();
        };
        let named = entries.flatten().filter(|entry| {
            let name = entry.file_name();
            name.to_str()
                .is_some_and(|name| name.starts_with(PREFIX) && name != own_name())
        });
        let small = named.filter(|entry| {
            entry
                .metadata()
                .is_ok_and(|data| data.is_file() && data.len() <= NOTE_MOST)
        });
        small
            .filter_map(|entry| Note::read(&std::fs::read_to_string(entry.path()).ok()?))
            .collect()
    }

    /// Writes it whole and moves it into place, so that nobody reads a half.
    fn write(&self, note: &Note) -> std::io::Result<()> {
        let fresh = self.folder.join(format!(".{}", own_name()));
        std::fs::write(&fresh, note.text())?;
        std::fs::rename(&fresh, self.folder.join(own_name()))
    }
}

fn own_name() -> String {
    format!("{PREFIX}{}", std::process::id())
}
