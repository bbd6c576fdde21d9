//! Packs deltas into packets.

use crate::entry::{Delta, DeltaEntry};
use crate::version_vector::Version;

#[cfg(test)]
mod tests;

/// Entries in one packet. A delta counts as one more.
pub(super) const MAX_ENTRIES_PER_PACKET: usize = 40;
/// Bytes of entries in one packet, by estimate; the rest of a packet is for its headers.
const MAX_ENTRY_BYTES_PER_PACKET: usize = 1_000;
/// Bytes of an entry beside its name and its value, by estimate.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// Bytes of a delta beside its entries, by estimate.
const DELTA_OVERHEAD_BYTES: usize = 24;

/// Groups deltas so that each group fits a packet. A delta that does not fit is split.
pub(super) fn pack(deltas: Vec<Delta>) -> Vec<Vec<Delta>> {
    let mut packer = Packer::default();
    for delta in deltas {
        packer.add(delta);
    }
    packer.close_packet();
    packer.packets
}

#[derive(Default)]
struct Packer {
    packets: Vec<Vec<Delta>>,
    /// The packet that is being filled, and how full it is.
    packet: Vec<Delta>,
    entries: usize,
    bytes: usize,
}

impl Packer {
    fn add(&mut self, delta: Delta) {
        let mut part = Delta {
            entries: Vec::new(),
            ..delta
        };
        for entry in delta.entries {
            let bytes = entry_bytes(&entry);
            if !self.has_space_for(bytes) {
                part = self.split_before(part, entry.version);
            }
            self.entries += 1;
            self.bytes += bytes;
            part.entries.push(entry);
        }
        self.entries += 1;
        self.bytes += DELTA_OVERHEAD_BYTES;
        self.packet.push(part);
    }

    /// Whether a further entry fits. An entry that is too large for any packet gets its own.
    fn has_space_for(&self, bytes: usize) -> bool {
        let has_bytes = self.bytes + bytes <= MAX_ENTRY_BYTES_PER_PACKET || self.entries == 0;
        self.entries < MAX_ENTRIES_PER_PACKET && has_bytes
    }

    /// Ends the packet with a delta up to before a version, and gives the rest of the delta.
    fn split_before(&mut self, mut delta: Delta, version: Version) -> Delta {
        let rest = Delta {
            after: version - 1,
            entries: Vec::new(),
            ..delta
        };
        if rest.after > delta.after {
            delta.up_to = rest.after;
            self.packet.push(delta);
        }
        self.close_packet();
        rest
    }

    fn close_packet(&mut self) {
        let packet = std::mem::take(&mut self.packet);
        if !packet.is_empty() {
            self.packets.push(packet);
        }
        (self.entries, self.bytes) = (0, 0);
    }
}

fn entry_bytes(entry: &DeltaEntry) -> usize {
    entry.key.name.len() + entry.value.len() + ENTRY_OVERHEAD_BYTES
}
