//! The faults of the simulated network.

use crate::Micros;
use rand::Rng;

/// How the network delivers messages. Fractions are from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The fraction of messages that is lost.
    pub loss: f64,
    /// The fraction of messages that arrives twice.
    pub duplication: f64,
    /// The shortest delay.
    pub min_delay: Micros,
    /// The delay of each message is drawn evenly from `min_delay` up to this.
    pub max_delay: Micros,
    /// The fraction of messages that is delayed further.
    pub late_fraction: f64,
    /// The further delay is drawn evenly from 0 up to this.
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
