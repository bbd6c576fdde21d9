//! Packs deltas into packets.

use crate::entry::Delta;
use crate::version_vector::Version;
use serde::Serialize;

#[cfg(test)]
mod tests;

/// Entries in one packet. A delta counts as one more.
pub(super) const MAX_ENTRIES_PER_PACKET: usize = 40;
/// Bytes of deltas in one packet, as encoded. A packet has 1,400 bytes, of which its hash, the
/// sender's address and the message's kind take up to 50; the largest entry that a store takes in
/// is about 1,080 with its delta.
const MAX_DELTA_BYTES_PER_PACKET: usize = 1_200;
/// Bytes of the longest number of entries in a packet, as encoded.
const MAX_ENTRY_COUNT_BYTES: usize = 2;

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

    /// Counts a delta without its entries, in the next packet if this one is full.
    fn start_delta(&mut self, delta: &Delta) {
        let bytes = encoded_bytes(delta) + MAX_ENTRY_COUNT_BYTES;
        if !self.has_space_for(bytes, self.packet.is_empty()) {
            self.close_packet();
        }
        self.entries += 1;
        self.bytes += bytes;
    }

    /// Whether something further fits. An entry that is too large for any packet gets its own.
    fn has_space_for(&self, bytes: usize, is_first_of_delta: bool) -> bool {
        let is_alone = self.packet.is_empty() && is_first_of_delta;
        let has_bytes = self.bytes + bytes <= MAX_DELTA_BYTES_PER_PACKET;
        is_alone || (has_bytes && self.entries < MAX_ENTRIES_PER_PACKET)
    }

    /// Ends the packet with a delta up to before a version, and gives the rest of the delta, in the
    /// next packet.
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

/// The length of a value in a packet.
fn encoded_bytes(value: &impl Serialize) -> usize {
    // Plain data can always be encoded.
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 2)
}
