//! Notes by which processes that serve as one proxy for a while coordinate: a process that is to
//! end, and its successor, which was started beside it on the same listening socket.
//!
//! Every process writes a [`Note`] about itself every 100 ms into a shared folder and reads the
//! notes of the others (the proxy's `net/platform/handover.rs` does the file I/O). A note serves
//! two purposes:
//!
//! - [`siblings`]: the attempts that other live processes have in flight count against what each
//!   process has learned of the endpoints' capacity. Two processes that each used all of it would
//!   overload the endpoints.
//! - [`predecessor`]: a starting process restores the learned state of the process that it
//!   replaces, instead of starting with nothing learned.
//!
//! # What it guarantees
//!
//! - Pure: text in, text out, and the wall clock passed in.
//! - A note that is truncated, of another format version, or has an impossible value is rejected as
//!   a whole, with a [`NoteError`] that names the field.
//! - A note expires: a process that was killed leaves its last note behind. It counts as a live
//!   sibling for 1 s and as a predecessor for 15 s.
//!
//! # What it assumes
//!
//! - A note is replaced as a whole (written beside and renamed), and only by its own process.
//! - The processes read one wall clock, to within 1 s.
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

/// The format of the notes; other versions are rejected.
const FORMAT_VERSION: u32 = 1;
/// The writer of an older note, in milliseconds, has ended or serves nothing any more.
const SIBLING_NOTE_TTL_MS: f64 = 1_000.0;
/// State that was learned longer ago, in milliseconds, is not restored: the endpoints have changed
/// since.
const LEARNED_STATE_TTL_MS: f64 = 15_000.0;
/// A note from further in the future, in milliseconds, was written by another clock.
const MAX_CLOCK_SKEW_MS: f64 = 1_000.0;

/// What a process writes about itself. The JSON field names are those of every format version so
/// far.
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
    /// What the writer serves. Processes with another value here have other limits, and their notes
    /// are ignored.
    pub serves: String,
    /// Attempts in flight, one number for each of the writer's concurrency limits, in their order.
    #[serde(rename = "out")]
    pub in_flight: Vec<f64>,
    /// The writer's learned state, as the balancer's snapshot; empty if there is none.
    #[serde(rename = "learned")]
    pub learned_state: String,
}

/// Why a text is not a note. Readers skip the file and go on with the others.
#[derive(Debug, Error)]
pub enum NoteError {
    /// Not the JSON of a note, or only a part of it; the source names the field or the place.
    #[error("not a note: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The field `form` names another format.
    #[error("field form: format version {found} is not {FORMAT_VERSION}")]
    FormatVersion {
        /// The version that the note has.
        found: u32,
    },
    /// The field `at_ms` is not a time.
    #[error("field at_ms: {found} is not a time")]
    WrittenAt {
        /// The value that the note has.
        found: f64,
    },
    /// An element of the field `out` is negative or not finite.
    #[error("field out: element {index} is {found}, which is not a number of attempts")]
    InFlight {
        /// The position of the element.
        index: usize,
        /// The value that the note has.
        found: f64,
    },
}

/// Who reads the notes, and when.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    /// The reader's process id: its own notes are ignored.
    pub process_id: u32,
    /// What the reader serves: notes with another value are ignored.
    pub serves: &'a str,
    /// The current time, in milliseconds of Unix time.
    pub now_ms: f64,
}

/// The other live processes that serve as the same proxy, together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Siblings {
    /// How many there are.
    pub count: usize,
    /// The sum of their attempts in flight, as in [`Note::in_flight`].
    pub in_flight: Vec<f64>,
}

impl Note {
    /// A note in the current format.
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

    /// The note as JSON on one line.
    pub fn to_json(&self) -> String {
        // Serializing numbers and strings into memory does not fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses and checks a note.
    ///
    /// # Errors
    ///
    /// A [`NoteError`] that names the first field at fault.
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
        let is_impossible = |attempts: &f64| !attempts.is_finite() || *attempts < 0.0;
        if let Some(index) = note.in_flight.iter().position(is_impossible) {
            return Err(NoteError::InFlight {
                index,
                found: note.in_flight[index],
            });
        }
        Ok(note)
    }

    /// Whether the note is of another process that serves the same, and no older than `ttl_ms`.
    fn is_current_for(&self, reader: &Reader, ttl_ms: f64) -> bool {
        let age_ms = reader.now_ms - self.written_at_ms;
        self.process_id != reader.process_id
            && self.serves == reader.serves
            && (-MAX_CLOCK_SKEW_MS..=ttl_ms).contains(&age_ms)
    }
}

/// The live processes beside the reader, which has `limit_count` concurrency limits; notes with
/// another number of limits are ignored.
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

/// The latest note whose learned state the reader may restore, if there is any.
pub fn predecessor<'a>(notes: &'a [Note], reader: &Reader) -> Option<&'a Note> {
    notes
        .iter()
        .filter(|note| note.is_current_for(reader, LEARNED_STATE_TTL_MS))
        .filter(|note| !note.learned_state.is_empty())
        .max_by(|a, b| a.written_at_ms.total_cmp(&b.written_at_ms))
}

#[cfg(test)]
mod tests;
