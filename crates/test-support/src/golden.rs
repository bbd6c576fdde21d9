//! Comparison with golden files: output of an earlier build that is committed beside the tests.

use std::fmt::Write as _;
use std::path::Path;

/// Environment variable that a developer sets to `1` to rewrite the golden files after an intended
/// change of a format. CI never sets it.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN_FILES";

/// Compares a text with a golden file, byte for byte.
///
/// # Panics
///
/// Panics if the file cannot be read or differs.
pub fn assert_golden(file: &Path, actual: &str) {
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        std::fs::write(file, actual).expect("the golden file is written");
        return;
    }
    let expected =
        std::fs::read_to_string(file).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
    let first_difference = expected
        .lines()
        .zip(actual.lines())
        .position(|(a, b)| a != b);
    assert!(
        expected == actual,
        "{} differs, first in line {:?}\nexpected:\n{expected}\nactual:\n{actual}",
        file.display(),
        first_difference.map(|line| line + 1)
    );
}

/// Returns bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Decodes the output of [`hex`].
///
/// # Panics
///
/// Panics if the text is not hexadecimal.
pub fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).expect("hexadecimal digits");
        u8::from_str_radix(pair, 16).expect("hexadecimal digits")
    };
    digits.map(byte).collect()
}
