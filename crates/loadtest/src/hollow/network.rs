//! The simulated network of hollow processes, which drops packets between them and all others.
//! Packets between two real processes do not pass through it, so a cut must leave all real
//! processes on the same side.

use dewrun_agent::transport::PacketFilter;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

/// The state of the simulated network: at most one cut, and a loss rate.
#[derive(Default)]
pub struct Network {
    /// The processes that are cut off from all others, but not from each other.
    cut_off: RwLock<HashSet<SocketAddr>>,
    /// The fraction of packets that is lost, as the bits of an `f64`.
    loss: AtomicU64,
}

impl Network {
    /// Cuts these processes off from all others. Replaces an earlier cut.
    pub fn cut(&self, cut_off: HashSet<SocketAddr>) {
        *self.cut_off.write().unwrap_or_else(PoisonError::into_inner) = cut_off;
    }

    /// Sets the fraction of packets that is lost.
    pub fn set_loss(&self, fraction: f64) {
        self.loss.store(fraction.to_bits(), Ordering::Relaxed);
    }

    /// Restores all connections and stops packet loss.
    pub fn repair(&self) {
        self.cut(HashSet::new());
        self.set_loss(0.0);
    }

    fn connects(&self, a: SocketAddr, b: SocketAddr) -> bool {
        let cut_off = self.cut_off.read().unwrap_or_else(PoisonError::into_inner);
        cut_off.is_empty() || cut_off.contains(&a) == cut_off.contains(&b)
    }

    fn loss(&self) -> f64 {
        f64::from_bits(self.loss.load(Ordering::Relaxed))
    }
}

/// The packet filter of the socket of one hollow process.
pub struct SocketFilter {
    network: Arc<Network>,
    /// The addresses of the real processes. A hollow process applies loss to the packets that it
    /// receives from them, as they have no filter. Packets between hollow processes are dropped by
    /// the sender alone, so that loss is not applied twice.
    real_addresses: Arc<HashSet<SocketAddr>>,
    address: SocketAddr,
    random: RefCell<Xoshiro256PlusPlus>,
}

impl SocketFilter {
    /// Creates the filter of the hollow process at an address.
    pub fn new(
        network: Arc<Network>,
        real_addresses: Arc<HashSet<SocketAddr>>,
        address: SocketAddr,
        seed: u64,
    ) -> SocketFilter {
        let random = RefCell::new(Xoshiro256PlusPlus::seed_from_u64(seed));
        SocketFilter {
            network,
            real_addresses,
            address,
            random,
        }
    }

    /// Draws whether the next packet is lost.
    fn is_lost(&self) -> bool {
        let loss = self.network.loss();
        loss > 0.0 && self.random.borrow_mut().random_bool(loss.min(1.0))
    }
}

impl PacketFilter for SocketFilter {
    fn sends(&self, to: SocketAddr) -> bool {
        self.network.connects(self.address, to) && !self.is_lost()
    }

    fn receives(&self, from: SocketAddr) -> bool {
        let is_lost = self.real_addresses.contains(&from) && self.is_lost();
        self.network.connects(from, self.address) && !is_lost
    }
}

#[cfg(test)]
mod tests;
