//! SplitMix64, so that the random sequences of this test depend on no library.

/// A seeded random sequence.
pub struct Random(u64);

impl Random {
    /// Returns the sequence of a seed.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// Returns the next 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// Returns an integer from 0 up to, but not including, `end`.
    pub fn below(&mut self, end: usize) -> usize {
        (self.bits() % end as u64) as usize
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub fn fraction(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns `true` with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// Returns a random element.
    pub fn one_of<'a, T>(&mut self, all: &'a [T]) -> &'a T {
        &all[self.below(all.len())]
    }
}
