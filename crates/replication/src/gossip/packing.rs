//! Groups deltas into packets, and splits deltas that do not fit.

use crate::entry::Delta;
use crate::version_vector::Version;
use serde::Serialize;

#[cfg(test)]
mod tests;

/// Maximum number of entries in one packet. Each delta counts as one additional entry.
pub(super) const MAX_ENTRIES_PER_PACKET: usize = 40;
/// Maximum encoded size of the deltas in one packet. A packet has 1,400 bytes, of which its hash,
/// the sender's address and the message's kind take up to 50. The largest entry that a store
/// accepts has about 1,080 bytes together with its delta.
const MAX_DELTA_BYTES_PER_PACKET: usize = 1_200;
/// Maximum encoded size of a delta's number of entries.
const MAX_ENTRY_COUNT_BYTES: usize = 2;

/// Groups deltas so that each group fits into a packet. A delta that does not fit is split.
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
    /// The packet that is being filled.
    packet: Vec<Delta>,
    /// The number of entries in the current packet, with one for each delta.
    entries: usize,
    /// The encoded size of the current packet.
    bytes: usize,
}

impl Packer {
    fn add(&mut self, delta: Delta) {
        let mut part = Delta {
            entries: Vec::new(),
            ..delta
        };
        self.start_delta(&part);
        for entry in delta.entries {
            let bytes = encoded_bytes(&entry);
            if !self.has_space_for(bytes, part.entries.is_empty()) {
                part = self.split_before(part, entry.version);
            }
            self.entries += 1;
            self.bytes += bytes;
            part.entries.push(entry);
        }
        self.packet.push(part);
    }

    /// Counts a delta without its entries. Starts the next packet if the current one is full.
    fn start_delta(&mut self, delta: &Delta) {
        let bytes = encoded_bytes(delta) + MAX_ENTRY_COUNT_BYTES;
        if !self.has_space_for(bytes, self.packet.is_empty()) {
            self.close_packet();
        }
        self.entries += 1;
        self.bytes += bytes;
    }

    /// Returns whether a delta or an entry of this size fits into the packet. An entry that is too
    /// large for any packet gets a packet of its own.
    fn has_space_for(&self, bytes: usize, is_first_of_delta: bool) -> bool {
        let is_alone = self.packet.is_empty() && is_first_of_delta;
        let has_bytes = self.bytes + bytes <= MAX_DELTA_BYTES_PER_PACKET;
        is_alone || (has_bytes && self.entries < MAX_ENTRIES_PER_PACKET)
    }

    /// Closes the packet with the part of a delta before a version, and returns the rest of the
    /// delta for the next packet.
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
        self.start_delta(&rest);
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

/// Returns the encoded size of a value.
fn encoded_bytes(value: &impl Serialize) -> usize {
    // Encoding plain data does not fail.
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 2)
}
