//! Compatibility with notes of earlier builds, from which a successor restores the learned state of
//! its predecessor.

use dewrun_handover::Note;
use dewrun_test_support::assert_golden;
use std::path::Path;

#[test]
fn a_note_keeps_its_json_and_is_parsed() {
    let learned = r#"[{"tier":1.5},["é\n"]]"#;
    let note = Note::new(
        4_711,
        1_700_000_000_123.25,
        "read,write once",
        vec![3.0, 0.5, 0.0],
        learned.into(),
    );
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/note.json");
    assert_golden(&file, &format!("{}\n", note.to_json()));
    let golden = std::fs::read_to_string(file).expect("the golden file");
    assert_eq!(Note::parse(golden.trim_end()).ok(), Some(note));
}
