//! Messages with a byte that makes them malformed.

use std::ops::Range;

/// Bytes that make a message malformed wherever they are inserted: control bytes, and halves of a
/// line end.
const MALFORMED_BYTES: [u8; 5] = [0x00, 0x01, 0x7f, b'\n', b'\r'];

/// A malformed message.
pub struct MalformedMessage {
    /// The message.
    pub bytes: Vec<u8>,
    /// Where the byte was inserted, which byte, and behind what.
    pub description: String,
}

/// Returns the message with each of several bytes inserted at each place in a range of offsets. The
/// message needs a length or chunks, so that a byte in its body makes it malformed too.
pub fn malformed_at_every_place(message: &str, places: Range<usize>) -> Vec<MalformedMessage> {
    let mut malformed = Vec::new();
    for place in places {
        for byte in MALFORMED_BYTES {
            let (before, after) = message.split_at(place);
            malformed.push(MalformedMessage {
                bytes: [before.as_bytes(), &[byte], after.as_bytes()].concat(),
                description: format!("byte {byte:#04x} at {place}, behind {before:?}"),
            });
        }
    }
    malformed
}
