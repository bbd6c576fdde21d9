use super::*;

#[test]
fn a_fault_is_told_by_line_and_character() {
    let source = Source::new("a = 1\nb = \"\u{20ac}\" x");
    source.fault(14, "b", "wrong");
    let faults = source.into_faults();
    assert_eq!(faults[0].to_string(), "2:7: b: wrong");
}
