//! A client connection as hyper reads and writes it.

use super::validated::{Framing, ValidatedIo};
use super::{TrackedSocket, CHUNK_BYTES};
use dewrun_framing::{FramingError, MessagePart, RequestValidator};
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;

/// Bytes that hyper rejects as the start of a head, with status 400.
const MALFORMED_HEAD: &[u8] = b"\0\r\n\r\n";

/// A client connection whose bytes pass a [`RequestValidator`] before hyper reads them.
///
/// A rejected request ends here. If its head is rejected, hyper has read no byte of it and gets
/// bytes that it rejects itself, so that the client gets an error response. If its body is rejected,
/// hyper gets an error in place of further bytes: no bytes are malformed at every place of a body.
pub type ClientIo = ValidatedIo<RequestFraming>;

/// The framing of a client's requests.
pub struct RequestFraming(RequestValidator);

impl ClientIo {
    /// Guards a socket, for request heads up to a size.
    pub fn new(socket: Rc<TrackedSocket>, max_head_bytes: usize) -> ClientIo {
        ValidatedIo::with_framing(
            socket,
            RequestFraming(RequestValidator::new(max_head_bytes)),
        )
    }
}

impl Framing for RequestFraming {
    fn read_capacity(&self, _: usize) -> usize {
        CHUNK_BYTES
    }

    fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        self.0.push(bytes, out);
    }

    fn reject(&self, out: &mut Vec<u8>) -> Result<()> {
        let Some(rejection) = self.0.rejection() else {
            return Ok(());
        };
        match (rejection.part, rejection.error) {
            (MessagePart::Body, error) => return Err(Error::new(ErrorKind::InvalidData, error)),
            // These are more bytes than hyper accepts as a head.
            (MessagePart::Head, FramingError::TooLarge) => {
                out.extend_from_slice(&[b'x'; CHUNK_BYTES]);
            }
            (MessagePart::Head, _) => out.extend_from_slice(MALFORMED_HEAD),
        }
        Ok(())
    }

    fn begin_message(&mut self, _: &[u8]) {}
}
