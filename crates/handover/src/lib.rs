//! Notes that coordinate processes which serve as one proxy during a handover: a process that is
//! shutting down and its successor, which shares its listening socket.
//!
//! Every process writes a [`Note`] about itself into a shared folder every 100 ms and reads the
//! notes of the others (the proxy's `net/platform/handover.rs` does the file I/O). The notes have
//! two purposes:
//!
//! - [`siblings`]: the attempts that other live processes have in flight count against the endpoint
//!   capacity that each process has learned. Otherwise two processes that each use all of it would
//!   overload the endpoints.
//! - [`predecessor`]: a starting process restores the learned state of the process that it
//!   replaces, instead of starting without any.
//!
//! # Guarantees
//!
//! - The crate does no I/O and reads no clock; it maps text to text, and the caller passes in the
//!   time.
//! - A note that is truncated, has another format version, or has an invalid value is rejected
//!   completely, with a [`NoteError`] that names the field.
//! - Notes expire, because a killed process leaves its last note behind. A note counts as a live
//!   sibling for 1 s and as a predecessor for 15 s.
//!
//! # Assumptions
//!
//! - A note file is replaced atomically (written to a temporary file and renamed), and only by the
//!   process that it describes.
//! - The wall clocks of the processes agree to within 1 s.
//! - Processes with equal `serves` have the same limits in the same order.
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::type_complexity,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::enum_glob_use,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The format version of the notes; other versions are rejected.
const FORMAT_VERSION: u32 = 1;
/// Maximum age of a sibling's note, in milliseconds. The writer of an older note has ended or no
/// longer serves requests.
const SIBLING_NOTE_TTL_MS: f64 = 1_000.0;
/// Maximum age of a learned state, in milliseconds. An older one is not restored, because the
/// endpoints may have changed since.
const LEARNED_STATE_TTL_MS: f64 = 15_000.0;
/// Maximum distance of a note into the future, in milliseconds. A later note was written with
/// another clock.
const MAX_CLOCK_SKEW_MS: f64 = 1_000.0;

/// The note that a process writes about itself. The JSON field names have been the same in all
/// format versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Note {
    #[serde(rename = "form")]
    format_version: u32,
    /// The writer's process id.
    #[serde(rename = "process")]
    pub process_id: u32,
    /// When the note was written, in milliseconds of Unix time.
    #[serde(rename = "at_ms")]
    pub written_at_ms: f64,
    /// A description of what the writer serves. Processes with another value have other limits, so
    /// their notes are ignored.
    pub serves: String,
    /// Attempts in flight for each of the writer's concurrency limits, in their order.
    #[serde(rename = "out")]
    pub in_flight: Vec<f64>,
    /// The writer's learned state as a snapshot of the balancer; empty if there is none.
    #[serde(rename = "learned")]
    pub learned_state: String,
}

/// The reason why a text is rejected as a note. Readers skip the file and continue with the others.
#[derive(Debug, Error)]
pub enum NoteError {
    /// The text is not the complete JSON of a note; the source names the field or the position.
    #[error("not a note: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The field `form` names another format.
    #[error("field form: format version {found} is not {FORMAT_VERSION}")]
    FormatVersion {
        /// The version in the note.
        found: u32,
    },
    /// The field `at_ms` is not a time.
    #[error("field at_ms: {found} is not a time")]
    WrittenAt {
        /// The value in the note.
        found: f64,
    },
    /// An element of the field `out` is negative or not finite.
    #[error("field out: element {index} is {found}, which is not a number of attempts")]
    InFlight {
        /// The index of the element.
        index: usize,
        /// The value of the element.
        found: f64,
    },
}

/// The process that reads the notes, and the time of reading.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    /// The reader's process id; its own notes are ignored.
    pub process_id: u32,
    /// A description of what the reader serves; notes with another value are ignored.
    pub serves: &'a str,
    /// The current time, in milliseconds of Unix time.
    pub now_ms: f64,
}

/// A summary of the other live processes that serve as the same proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Siblings {
    /// The number of such processes.
    pub count: usize,
    /// The sum of their attempts in flight, as in [`Note::in_flight`].
    pub in_flight: Vec<f64>,
}

impl Note {
    /// Creates a note in the current format version.
    pub fn new(
        process_id: u32,
        written_at_ms: f64,
        serves: &str,
        in_flight: Vec<f64>,
        learned_state: String,
    ) -> Note {
        Note {
            format_version: FORMAT_VERSION,
            process_id,
            written_at_ms,
            serves: serves.to_string(),
            in_flight,
            learned_state,
        }
    }

    /// Returns the note as JSON on one line.
    pub fn to_json(&self) -> String {
        // Serializing numbers and strings into memory cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses and validates a note.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] that names the first invalid field.
    pub fn parse(json: &str) -> Result<Note, NoteError> {
        let note: Note = serde_json::from_str(json)?;
        if note.format_version != FORMAT_VERSION {
            return Err(NoteError::FormatVersion {
                found: note.format_version,
            });
        }
        if !note.written_at_ms.is_finite() {
            return Err(NoteError::WrittenAt {
                found: note.written_at_ms,
            });
        }
        let is_invalid = |attempts: &f64| !attempts.is_finite() || *attempts < 0.0;
        if let Some(index) = note.in_flight.iter().position(is_invalid) {
            return Err(NoteError::InFlight {
                index,
                found: note.in_flight[index],
            });
        }
        Ok(note)
    }

    /// Returns whether another process with equal `serves` wrote the note at most `ttl_ms` ago.
    fn is_current_for(&self, reader: &Reader, ttl_ms: f64) -> bool {
        let age_ms = reader.now_ms - self.written_at_ms;
        self.process_id != reader.process_id
            && self.serves == reader.serves
            && (-MAX_CLOCK_SKEW_MS..=ttl_ms).contains(&age_ms)
    }
}

/// Summarizes the live processes other than the reader. The reader has `limit_count` concurrency
/// limits; notes with another number of limits are ignored.
pub fn siblings(notes: &[Note], reader: &Reader, limit_count: usize) -> Siblings {
    let mut siblings = Siblings {
        count: 0,
        in_flight: vec![0.0; limit_count],
    };
    let live = notes.iter().filter(|note| {
        note.is_current_for(reader, SIBLING_NOTE_TTL_MS) && note.in_flight.len() == limit_count
    });
    for note in live {
        siblings.count += 1;
        for (sum, attempts) in siblings.in_flight.iter_mut().zip(&note.in_flight) {
            *sum += attempts;
        }
    }
    siblings
}

/// Returns the latest note whose learned state the reader may restore, if there is any.
pub fn predecessor<'a>(notes: &'a [Note], reader: &Reader) -> Option<&'a Note> {
    notes
        .iter()
        .filter(|note| note.is_current_for(reader, LEARNED_STATE_TTL_MS))
        .filter(|note| !note.learned_state.is_empty())
        .max_by(|a, b| a.written_at_ms.total_cmp(&b.written_at_ms))
}

#[cfg(test)]
mod tests;
