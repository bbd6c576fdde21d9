use super::*;
use proptest::prelude::*;

fn note(process_id: u32, written_at_ms: f64, in_flight: &[f64]) -> Note {
    Note::new(
        process_id,
        written_at_ms,
        "a",
        in_flight.to_vec(),
        format!("of {process_id}"),
    )
}

fn reader(serves: &str, now_ms: f64) -> Reader<'_> {
    Reader {
        process_id: 1,
        serves,
        now_ms,
    }
}

#[test]
fn attempts_of_siblings_count_while_they_live() {
    let foreign = Note {
        serves: "b".into(),
        ..note(5, 9_900.0, &[50.0, 50.0])
    };
    let notes = [
        note(1, 9_990.0, &[7.0, 7.0]),
        note(2, 9_900.0, &[3.0, 1.0]),
        note(3, 9_500.0, &[2.0, 0.5]),
        note(4, 8_000.0, &[90.0, 90.0]),
        foreign,
        note(6, 9_900.0, &[1.0]),
        note(7, 12_000.0, &[9.0, 9.0]),
    ];
    let found = siblings(&notes, &reader("a", 10_000.0), 2);
    assert_eq!(
        found,
        Siblings {
            count: 2,
            in_flight: vec![5.0, 1.5]
        },
        "own, expired, foreign, mismatched and future notes are ignored"
    );
    assert_eq!(
        siblings(&[], &reader("a", 0.0), 2),
        Siblings {
            count: 0,
            in_flight: vec![0.0; 2]
        }
    );
}

#[test]
fn a_successor_restores_the_latest_note_that_is_not_its_own() {
    let mut notes = vec![
        note(1, 9_990.0, &[]),
        note(2, 4_000.0, &[]),
        note(3, 9_000.0, &[]),
    ];
    notes.push(Note {
        learned_state: String::new(),
        ..note(4, 9_900.0, &[])
    });
    let found = |now_ms| predecessor(&notes, &reader("a", now_ms)).map(|note| note.process_id);
    assert_eq!(found(10_000.0), Some(3));
    assert_eq!(found(23_000.0), Some(3));
    assert_eq!(found(30_000.0), None, "all notes have expired");
    assert_eq!(predecessor(&notes, &reader("b", 10_000.0)), None);
}

#[test]
fn an_invalid_note_is_rejected_with_the_name_of_the_field() {
    let valid = note(2, 5.0, &[1.0]).to_json();
    assert_eq!(Note::parse(&valid).ok(), Some(note(2, 5.0, &[1.0])));
    for (invalid, expected_error) in [
        (String::new(), "not a note: "),
        (valid[..valid.len() - 1].to_string(), "not a note: "),
        (
            valid.replace("\"form\":1", "\"form\":2"),
            "field form: format version 2 is not 1",
        ),
        (
            valid.replace("[1.0]", "[-1.0]"),
            "field out: element 0 is -1, which is not a number of attempts",
        ),
        (valid.replace("[1.0]", "[null]"), "not a note: "),
        (valid.replace("5.0", "1e999"), "not a note: "),
        ("[]".to_string(), "not a note: "),
    ] {
        let error = Note::parse(&invalid).expect_err(&invalid).to_string();
        assert!(error.starts_with(expected_error), "{invalid}: {error}");
    }
}

proptest! {
    #[test]
    fn any_text_is_parsed_or_rejected_without_a_panic(text in ".{0,200}") {
        let _ = Note::parse(&text);
    }

    #[test]
    fn a_written_note_is_parsed(
        process_id: u32,
        written_at_ms in 0.0..1e13f64,
        in_flight in prop::collection::vec(0.0..1e6f64, 0..6),
        learned_state in ".{0,60}",
    ) {
        let note = Note::new(process_id, written_at_ms, "a", in_flight, learned_state);
        prop_assert_eq!(Note::parse(&note.to_json()).ok(), Some(note));
    }
}
