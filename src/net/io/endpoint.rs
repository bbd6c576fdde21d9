//! A connection to an endpoint as hyper reads and writes it.

use super::validated::{Framing, ValidatedIo};
use super::TrackedSocket;
use dewrun_framing::ResponseValidator;
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;

/// How the request line of a HEAD begins.
const HEAD_REQUEST: &[u8] = b"HEAD ";

/// A connection to an endpoint whose bytes pass a [`ResponseValidator`] before hyper reads them. In
/// place of the rest of a malformed response hyper gets an error, which fails the attempt.
pub type EndpointIo = ValidatedIo<ResponseFraming>;

/// The framing of an endpoint's responses.
pub struct ResponseFraming(ResponseValidator);

impl EndpointIo {
    /// Guards a socket, for response heads up to a size.
    pub fn new(socket: Rc<TrackedSocket>, max_head_bytes: usize) -> EndpointIo {
        ValidatedIo::with_framing(
            socket,
            ResponseFraming(ResponseValidator::new(max_head_bytes)),
        )
    }
}

impl Framing for ResponseFraming {
    /// No more is read than hyper takes: bytes behind a response must stay on the socket, where they
    /// are seen before the connection is reused.
    fn read_capacity(&self, capacity: usize) -> usize {
        capacity
    }

    fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        self.0.push(bytes, out);
    }

    fn reject(&self, _: &mut Vec<u8>) -> Result<()> {
        match self.0.error() {
            Some(error) => Err(Error::new(ErrorKind::InvalidData, error)),
            None => Ok(()),
        }
    }

    fn begin_message(&mut self, start: &[u8]) {
        self.0.expect_response(start.starts_with(HEAD_REQUEST));
    }
}
