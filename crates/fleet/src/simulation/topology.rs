//! The addresses, names, sites and racks of a simulated fleet's processes, all derived from a
//! process's index.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const ZONES: [(&str, Region); 5] = [
    ("east-1", Region::East),
    ("east-2", Region::East),
    ("east-3", Region::East),
    ("west-1", Region::West),
    ("west-2", Region::West),
];
const RACKS: usize = 15;
/// The maximum number of seeds, which all other processes query first. One is in each zone.
const SEEDS: usize = ZONES.len();

const FIRST_ADDRESS: u32 = u32::from_be_bytes([10, 0, 0, 1]);
const PORT: u16 = 7_100;

/// A group of zones that can be partitioned from the other region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Region {
    /// The larger region, of three zones.
    East,
    /// The smaller region, of two zones.
    West,
}

/// Both regions.
pub const REGIONS: [Region; 2] = [Region::East, Region::West];

/// The layout of a fleet of some size.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// The number of processes.
    pub processes: usize,
}

impl Topology {
    /// Returns the address of a process.
    pub fn address(self, process: usize) -> SocketAddr {
        let ip = Ipv4Addr::from(FIRST_ADDRESS + process as u32);
        SocketAddr::new(IpAddr::V4(ip), PORT)
    }

    /// Returns the process that has this address.
    pub fn process_at(self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let process = u32::from(ip).checked_sub(FIRST_ADDRESS)? as usize;
        (process < self.processes && address.port() == PORT).then_some(process)
    }

    /// Returns the name of a process.
    pub fn name(self, process: usize) -> String {
        format!("proxy-{process:04}")
    }

    /// Returns the index of a process's zone.
    pub fn zone(self, process: usize) -> usize {
        process % ZONES.len()
    }

    /// Returns the site of a process, which is the name of its zone.
    pub fn site(self, process: usize) -> &'static str {
        ZONES[self.zone(process)].0
    }

    /// Returns the region of a process.
    pub fn region(self, process: usize) -> Region {
        ZONES[self.zone(process)].1
    }

    /// Returns the index of a process's rack. All processes of a rack are in one zone.
    pub fn rack(self, process: usize) -> usize {
        process % RACKS
    }

    /// Returns the number of seeds.
    pub fn seed_count(self) -> usize {
        SEEDS.min(self.processes)
    }

    /// Returns the addresses of the seeds.
    pub fn seeds(self) -> Vec<SocketAddr> {
        (0..self.seed_count())
            .map(|process| self.address(process))
            .collect()
    }
}
