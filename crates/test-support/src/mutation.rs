//! Seeded mutations of external input: packets, texts and files.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};

/// Environment variable that overrides the number of mutated texts of a test.
const COUNT_VARIABLE: &str = "DEWRUN_MUTATIONS";
/// Maximum number of changes to one original.
const MAX_CHANGES: usize = 4;
/// Maximum length of the part of a text that is repeated.
const MAX_REPEATED_BYTES: usize = 200;
/// Numbers at the limits of number types, where arithmetic and conversions fail.
const EXTREME_NUMBERS: [&str; 20] = [
    "0",
    "-0.0",
    "-1",
    "1",
    "0.1e-300",
    "5e-324",
    "1e300",
    "-1e300",
    "1.7976931348623157e308",
    "1e999",
    "255",
    "256",
    "65536",
    "2147483648",
    "4294967295",
    "4294967296",
    "-9223372036854775808",
    "9223372036854775807",
    "18446744073709551615",
    "340282366920938463463374607431768211456",
];

/// Returns the number of mutated texts that a test checks.
pub fn mutation_count(default: usize) -> usize {
    let count = std::env::var(COUNT_VARIABLE).ok();
    count.map_or(default, |text| text.parse().expect("a number"))
}

/// Mutates originals, deterministically for a seed.
pub struct Mutator(Xoshiro256PlusPlus);

impl Mutator {
    /// Creates a mutator from a seed.
    pub fn new(seed: u64) -> Mutator {
        Mutator(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// Returns a random original.
    pub fn choose<'a, T>(&mut self, originals: &'a [T]) -> &'a T {
        originals.choose(&mut self.0).expect("originals")
    }

    /// Changes some bytes: replaces them by extreme or random values, inserts, truncates or swaps.
    pub fn mutate_bytes(&mut self, body: &mut Vec<u8>) {
        let rng = &mut self.0;
        for _ in 0..rng.random_range(1..=MAX_CHANGES) {
            let at = rng.random_range(0..body.len());
            match rng.random_range(0..6) {
                0 => body[at] = *[0, 1, 0x7f, 0x80, 0xff].choose(rng).expect("one of them"),
                1 => body[at] = rng.random(),
                2 => drop(body.splice(at..at, [0xff; 9].into_iter().chain([1]))),
                3 => body.truncate(at.max(1)),
                4 => body.insert(at, rng.random()),
                _ => {
                    let other = rng.random_range(0..body.len());
                    body.swap(at, other);
                }
            }
        }
    }

    /// Changes a text: mostly replaces numbers by extreme ones, so that the text can still be
    /// parsed; otherwise repeats a part or changes single bytes.
    pub fn mutate_text(&mut self, text: &mut Vec<u8>) {
        match self.0.random_range(0..8) {
            0 => self.mutate_bytes(text),
            1 => self.repeat_part(text),
            _ => {
                for _ in 0..self.0.random_range(1..=MAX_CHANGES) {
                    self.replace_number(text);
                }
            }
        }
    }

    fn repeat_part(&mut self, text: &mut Vec<u8>) {
        let start = self.0.random_range(0..text.len());
        let end = text.len().min(start + MAX_REPEATED_BYTES);
        let end = self.0.random_range(start..=end);
        let part = text[start..end].to_vec();
        let at = self.0.random_range(0..=text.len());
        drop(text.splice(at..at, part));
    }

    fn replace_number(&mut self, text: &mut Vec<u8>) {
        let numbers = numbers_in(text);
        let Some((start, end)) = numbers.choose(&mut self.0).copied() else {
            return;
        };
        let extreme = EXTREME_NUMBERS.choose(&mut self.0).expect("one of them");
        drop(text.splice(start..end, extreme.bytes()));
    }

    /// Passes `count` mutated texts to a check, and prints the text at which the check panics.
    pub fn play_texts(
        &mut self,
        originals: &[Vec<u8>],
        count: usize,
        mut check: impl FnMut(&[u8]),
    ) {
        for number in 0..count {
            let mut text = self.choose(originals).clone();
            self.mutate_text(&mut text);
            let checked = catch_unwind(AssertUnwindSafe(|| check(&text)));
            if let Err(panic) = checked {
                eprintln!("mutation {number}: {}", String::from_utf8_lossy(&text));
                resume_unwind(panic);
            }
        }
    }
}

/// Returns the byte ranges of the numbers in a text, including signs and exponents.
fn numbers_in(text: &[u8]) -> Vec<(usize, usize)> {
    let is_number_byte =
        |byte: &u8| byte.is_ascii_digit() || matches!(byte, b'.' | b'-' | b'+' | b'e' | b'E');
    let mut numbers = Vec::new();
    let mut at = 0;
    while at < text.len() {
        let length = text[at..].iter().take_while(|b| is_number_byte(b)).count();
        if text[at..at + length].iter().any(u8::is_ascii_digit) {
            numbers.push((at, at + length));
        }
        at += length.max(1);
    }
    numbers
}
