use super::*;
use proptest::prelude::*;

fn note(process: u32, at_ms: f64, out: &[f64]) -> Note {
    Note::new(process, at_ms, "a", out.to_vec(), format!("of {process}"))
}

#[test]
fn what_others_have_out_counts_while_they_live() {
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
    let found = beside(&notes, 1, "a", 2, 10_000.0);
    assert_eq!(
        found,
        Beside {
            others: 2,
            out: vec![5.0, 1.5]
        },
        "not its own, no dead, foreign or odd one"
    );
    assert_eq!(
        beside(&[], 1, "a", 2, 0.0),
        Beside {
            others: 0,
            out: vec![0.0; 2]
        }
    );
}

#[test]
fn a_successor_goes_on_from_the_youngest_note_that_is_not_its_own() {
    let mut notes = vec![
        note(1, 9_990.0, &[]),
        note(2, 4_000.0, &[]),
        note(3, 9_000.0, &[]),
    ];
    notes.push(Note {
        learned: String::new(),
        ..note(4, 9_900.0, &[])
    });
    let found = |now| predecessor(&notes, 1, "a", now).map(|note| note.process);
    assert_eq!(found(10_000.0), Some(3));
    assert_eq!(found(23_000.0), Some(3));
    assert_eq!(found(30_000.0), None, "all too old");
    assert_eq!(predecessor(&notes, 1, "b", 10_000.0), None);
}

#[test]
fn what_is_no_note_is_not_read() {
    let good = note(2, 5.0, &[1.0]).text();
    assert_eq!(Note::read(&good), Some(note(2, 5.0, &[1.0])));
    for bad in [
        String::new(),
        good[..good.len() - 1].to_string(),
        good.replace("\"form\":1", "\"form\":2"),
        good.replace("[1.0]", "[-1.0]"),
        good.replace("[1.0]", "[null]"),
        good.replace("5.0", "1e999"),
        "[]".to_string(),
    ] {
        assert_eq!(Note::read(&bad), None, "{bad}");
    }
}

proptest! {
    #[test]
    fn any_text_is_read_or_not_without_harm(text in ".{0,200}") {
        let _ = Note::read(&text);
    }

    #[test]
    fn what_was_written_is_read(process: u32, at in 0.0..1e13f64, out in prop::collection::vec(0.0..1e6f64, 0..6), learned in ".{0,60}") {
        let note = Note::new(process, at, "a", out, learned);
        prop_assert_eq!(Note::read(&note.text()), Some(note));
    }
}
