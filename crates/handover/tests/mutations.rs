//! Notes with mutated contents, as another build or a full disk may leave them.

use dewrun_handover::{predecessor, siblings, Note, NoteError, Reader};
use dewrun_test_support::{mutation_count, Mutator};
use std::path::Path;

const SEED: u64 = 20_261_203;
const DEFAULT_NOTES: usize = 5_000;

/// Guards against a corrupt note that terminates the task that reads it, or that is accepted with
/// invalid values.
#[test]
fn mutated_notes_are_accepted_or_rejected_with_the_name_of_the_field() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/note.json");
    let golden = std::fs::read(file).expect("the golden file");
    let (mut accepted, mut rejected) = (0, 0);
    let count = mutation_count(DEFAULT_NOTES);
    Mutator::new(SEED).play_texts(&[golden], count, |bytes| {
        match Note::parse(&String::from_utf8_lossy(bytes)) {
            Ok(note) => {
                accepted += 1;
                assert_usable(note);
            }
            Err(NoteError::Malformed(error)) => {
                rejected += 1;
                assert!(!error.to_string().is_empty());
            }
            Err(error) => {
                rejected += 1;
                let text = error.to_string();
                assert!(text.starts_with("field "), "{text}");
            }
        }
    });
    assert!(accepted > 0 && rejected > 0, "{accepted} {rejected}");
}

fn assert_usable(note: Note) {
    let reader = Reader {
        process_id: note.process_id.wrapping_add(1),
        serves: &note.serves.clone(),
        now_ms: note.written_at_ms,
    };
    let limit_count = note.in_flight.len();
    let notes = [note.clone(), note];
    let found = siblings(&notes, &reader, limit_count);
    assert_eq!(found.count, notes.len());
    assert!(found.in_flight.iter().all(|attempts| *attempts >= 0.0));
    let _ = predecessor(&notes, &reader);
}
