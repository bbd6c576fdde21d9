//! The faults of the simulated network.

use crate::Micros;
use rand::Rng;

/// The loss, duplication and delay of messages. Fractions are from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The fraction of messages that are lost.
    pub loss: f64,
    /// The fraction of messages that arrive twice.
    pub duplication: f64,
    /// The minimum delay.
    pub min_delay: Micros,
    /// The upper bound of the delay, which is drawn uniformly from `min_delay` up to this.
    pub max_delay: Micros,
    /// The fraction of messages that have an additional delay.
    pub late_fraction: f64,
    /// The upper bound of the additional delay, which is drawn uniformly from 0 up to this.
    pub max_lateness: Micros,
}

impl Network {
    /// A network without faults.
    pub const RELIABLE: Network = Network {
        loss: 0.0,
        duplication: 0.0,
        min_delay: 100,
        max_delay: 1_000,
        late_fraction: 0.0,
        max_lateness: 1,
    };

    /// Draws the delay of each copy of a message that arrives.
    pub(super) fn delays(&self, rng: &mut impl Rng) -> Vec<Micros> {
        if rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if rng.random_bool(self.duplication) {
            2
        } else {
            1
        };
        (0..copies).map(|_| self.delay(rng)).collect()
    }

    fn delay(&self, rng: &mut impl Rng) -> Micros {
        let delay = rng.random_range(self.min_delay..self.max_delay);
        if rng.random_bool(self.late_fraction) {
            delay + rng.random_range(0..self.max_lateness)
        } else {
            delay
        }
    }
}
