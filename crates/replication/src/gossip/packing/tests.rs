//! Tests that packed deltas fit into packets.

use super::pack;
use crate::entry::Delta;
use crate::gossip::message::Message;
use crate::version_vector::Origin;

/// A packet has 1,400 bytes, including its header and the sender's address.
const MAX_MESSAGE_BYTES: usize = 1_350;

#[test]
fn packets_of_deltas_without_entries_do_not_exceed_the_packet_size() {
    let deltas: Vec<Delta> = (0..1_000)
        .map(|n| Delta {
            origin: Origin(u64::MAX - n),
            after: 0,
            up_to: 1_000_000,
            entries: Vec::new(),
        })
        .collect();
    let packets = pack(deltas.clone());
    assert_eq!(packets.concat(), deltas, "all deltas are packed in order");
    for deltas in packets {
        let message = Message::Deltas { deltas };
        let bytes = postcard::to_stdvec(&message).map_or(usize::MAX, |bytes| bytes.len());
        assert!(bytes <= MAX_MESSAGE_BYTES, "{bytes} bytes");
    }
}
