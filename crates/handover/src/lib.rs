//! Notes between processes that serve as one proxy for a while: one that is to end, and its
//! successor, which was started beside it. Pure: text in, text out, and the clock passed in.
//!
//! Each process writes a [`Note`] about itself, over and over, and reads those of the others. A
//! note says what its writer has out, so that the others count it against what they learned that
//! the backends bear: two processes that each send as much as one may would push the backends over
//! together. And it holds what its writer has learned, which a successor takes over in place of
//! starting blind. A note is only as good as it is young: a process that was killed leaves one.

use serde::{Deserialize, Serialize};

/// The form of the notes; others are not read.
const FORM: u32 = 1;
/// A note older than this speaks of a process that has ended, or is not served any more.
const ALIVE_MS: f64 = 1_000.0;
/// What was learned longer ago than this is not taken over: the backends have changed since.
const LEARNED_MS: f64 = 15_000.0;
/// A note from the future by more than this was written by another clock.
const AHEAD_MS: f64 = 1_000.0;

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Note {
    form: u32,
    /// Who writes: its process id.
    pub process: u32,
    /// When, in milliseconds of Unix time.
    pub at_ms: f64,
    /// What it serves. Notes of others who serve something else say nothing here.
    pub serves: String,
    /// Calls it has out, by what its limits count.
    pub out: Vec<f64>,
    /// What it has learned, in its own words.
    pub learned: String,
}

/// What the others have out together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Beside {
    /// How many others there are.
    pub others: usize,
    /// Calls they have out, as in [`Note::out`].
    pub out: Vec<f64>,
}

impl Note {
    /// A note.
    pub fn new(process: u32, at_ms: f64, serves: &str, out: Vec<f64>, learned: String) -> Note {
        Note {
            form: FORM,
            process,
            at_ms,
            serves: serves.to_string(),
            out,
            learned,
        }
    }

    /// Its text.
    pub fn text(&self) -> String {
        // Numbers and strings alone: that does not fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a note; `None` if it is none, is cut short, has another form, or says what can't be.
    pub fn read(text: &str) -> Option<Note> {
        let note: Note = serde_json::from_str(text).ok()?;
        let sound = note.form == FORM && note.at_ms.is_finite();
        (sound && note.out.iter().all(|n| n.is_finite() && *n >= 0.0)).then_some(note)
    }

    fn age_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.at_ms
    }

    fn speaks_to(&self, process: u32, serves: &str, now_ms: f64, most_ms: f64) -> bool {
        let age = self.age_ms(now_ms);
        self.process != process && self.serves == serves && (-AHEAD_MS..=most_ms).contains(&age)
    }
}

/// What the other processes that live have out, of those that count the same.
pub fn beside(notes: &[Note], process: u32, serves: &str, limits: usize, now_ms: f64) -> Beside {
    let mut beside = Beside {
        others: 0,
        out: vec![0.0; limits],
    };
    let alive = |note: &&Note| note.speaks_to(process, serves, now_ms, ALIVE_MS);
    for note in notes
        .iter()
        .filter(alive)
        .filter(|note| note.out.len() == limits)
    {
        beside.others += 1;
        beside
            .out
            .iter_mut()
            .zip(&note.out)
            .for_each(|(sum, n)| *sum += n);
    }
    beside
}

/// The youngest note that a successor goes on from.
pub fn predecessor<'a>(
    notes: &'a [Note],
    process: u32,
    serves: &str,
    now_ms: f64,
) -> Option<&'a Note> {
    let fit = notes
        .iter()
        .filter(|note| note.speaks_to(process, serves, now_ms, LEARNED_MS));
    fit.filter(|note| !note.learned.is_empty())
        .max_by(|a, b| a.at_ms.total_cmp(&b.at_ms))
}

#[cfg(test)]
mod tests;
