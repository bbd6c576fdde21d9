//! Network traffic and processor time of the processes of a simulation.

use crate::message::{Envelope, Message};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of each packet besides its messages: the protocol's magic number, the hash, the sender's
/// address, two tags, and the UDP and IPv4 headers.
const PACKET_HEADER_BYTES: usize = 4 + 16 + 8 + 2 + 28;
/// Maximum bytes of messages in one packet.
const MAX_PAYLOAD_BYTES: usize = 1_400 - 30;

/// The traffic and processor time of one process since the start of the simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Number of messages sent.
    pub messages_out: u64,
    /// Bytes of the packets sent, including UDP and IPv4 headers.
    pub bytes_out: u64,
    /// Number of messages sent to the process, including lost ones.
    pub messages_in: u64,
    /// Bytes of the packets sent to the process.
    pub bytes_in: u64,
    /// Processor time spent by the process's budgets; zero unless
    /// [`processor_clock`](super::SimulatedFleet::processor_clock) is set.
    pub processor_time: Duration,
}

/// Counts the messages of one step; all messages to the same process share packets.
pub(super) fn count_packets(traffic: &mut [Traffic], from: usize, out: &[Envelope]) {
    let mut sizes: BTreeMap<usize, (u64, usize)> = BTreeMap::new();
    for Envelope { to, message } in out {
        let (messages, size) = sizes.entry(to.0 as usize).or_default();
        *messages += 1;
        *size += encoded_size(message);
    }
    for (to, (messages, size)) in sizes {
        let packets = size.div_ceil(MAX_PAYLOAD_BYTES);
        let bytes = (size + packets * PACKET_HEADER_BYTES) as u64;
        traffic[from].messages_out += messages;
        traffic[from].bytes_out += bytes;
        if let Some(receiver) = traffic.get_mut(to) {
            receiver.messages_in += messages;
            receiver.bytes_in += bytes;
        }
    }
}

fn encoded_size(message: &Message) -> usize {
    postcard::serialize_with_flavor(message, postcard::ser_flavors::Size::default()).unwrap_or(0)
}
