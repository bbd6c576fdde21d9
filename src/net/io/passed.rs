//! Bytes between a framing validator and hyper.

use hyper::rt::ReadBufCursor;

/// Bytes that a validator has passed on and hyper has not read yet.
#[derive(Default)]
pub(super) struct PassedBytes {
    bytes: Vec<u8>,
    read: usize,
}

impl PassedBytes {
    /// Returns whether hyper has read all bytes.
    pub(super) fn is_empty(&self) -> bool {
        self.read == self.bytes.len()
    }

    /// Returns the buffer to which a validator appends.
    pub(super) fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Moves as many bytes as fit to hyper's buffer.
    pub(super) fn read_into(&mut self, buf: &mut ReadBufCursor<'_>) {
        let end = self.bytes.len().min(self.read + buf.remaining());
        buf.put_slice(&self.bytes[self.read..end]);
        self.read = end;
        if self.is_empty() {
            // An idle connection keeps no buffer.
            *self = PassedBytes::default();
        }
    }
}
