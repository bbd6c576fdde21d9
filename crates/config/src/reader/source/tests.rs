use super::*;

#[test]
fn a_fault_has_its_line_and_character_column() {
    let source = Source::new("a = 1\nb = \"\u{20ac}\" x");
    source.add_fault(14, "b", "wrong");
    let faults = source.into_faults();
    assert_eq!(faults[0].to_string(), "2:7: b: wrong");
}
