//! The network between hollow processes and all others: which packets pass. Packets between two
//! real processes are not its concern, so a cut puts all real ones on one side.

use dewrun_agent::transport::PacketFilter;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

/// See the module's text.
#[derive(Default)]
pub struct Network {
    /// Those that are cut off from all others, and not from each other.
    cut_off: RwLock<HashSet<SocketAddr>>,
    /// The part of packets that is lost, as bits of an `f64`.
    loss: AtomicU64,
}

impl Network {
    /// Cuts these off from all others.
    pub fn cut(&self, cut_off: HashSet<SocketAddr>) {
        *self.cut_off.write().unwrap_or_else(PoisonError::into_inner) = cut_off;
    }

    /// Has a part of the packets be lost.
    pub fn lose(&self, part: f64) {
        self.loss.store(part.to_bits(), Ordering::Relaxed);
    }

    /// Everything passes again.
    pub fn mend(&self) {
        self.cut(HashSet::new());
        self.lose(0.0);
    }

    fn connects(&self, a: SocketAddr, b: SocketAddr) -> bool {
        let cut_off = self.cut_off.read().unwrap_or_else(PoisonError::into_inner);
        cut_off.is_empty() || cut_off.contains(&a) == cut_off.contains(&b)
    }

    fn loss(&self) -> f64 {
        f64::from_bits(self.loss.load(Ordering::Relaxed))
    }
}

/// The network as one hollow process's socket has it.
pub struct Port {
    network: Arc<Network>,
    /// The real processes. What hollow ones send each other is lost at its sender alone.
    real: Arc<HashSet<SocketAddr>>,
    address: SocketAddr,
    chance: RefCell<Xoshiro256PlusPlus>,
}

impl Port {
    /// Of the process at this address.
    pub fn new(
        network: Arc<Network>,
        real: Arc<HashSet<SocketAddr>>,
        address: SocketAddr,
        seed: u64,
    ) -> Port {
        let chance = RefCell::new(Xoshiro256PlusPlus::seed_from_u64(seed));
        Port {
            network,
            real,
            address,
            chance,
        }
    }

    fn is_lost(&self) -> bool {
        let loss = self.network.loss();
        loss > 0.0 && self.chance.borrow_mut().random_bool(loss.min(1.0))
    }
}

impl PacketFilter for Port {
    fn sends(&self, to: SocketAddr) -> bool {
        self.network.connects(self.address, to) && !self.is_lost()
    }

    fn receives(&self, from: SocketAddr) -> bool {
        let lost = self.real.contains(&from) && self.is_lost();
        self.network.connects(from, self.address) && !lost
    }
}

#[cfg(test)]
mod tests;
