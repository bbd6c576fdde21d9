//! The validation of the framing on one connection to an endpoint.

use crate::body::BodyValidator;
use crate::error::FramingError;
use crate::head_buffer::HeadBuffer;
use crate::response_head::{check_response_head, ResponseKind};

/// The part of the connection that the next byte belongs to.
enum State {
    /// No response is expected.
    Idle,
    Head {
        buffer: HeadBuffer,
        is_to_head: bool,
    },
    Body(BodyValidator),
    Rejected(FramingError),
}

/// Validates the framing of the responses on one connection to an endpoint.
///
/// Bytes that arrive while no response is expected are passed on as they are: what they mean is for
/// the owner of the connection to decide, who must see them at once.
pub struct ResponseValidator {
    state: State,
    max_head_bytes: usize,
}

impl ResponseValidator {
    /// Returns a validator for a new connection. Heads and trailers of more than `max_head_bytes`
    /// are rejected.
    pub fn new(max_head_bytes: usize) -> ResponseValidator {
        ResponseValidator {
            state: State::Idle,
            max_head_bytes,
        }
    }

    /// Expects the response to a request that is being written; `is_to_head` says whether that is a
    /// HEAD, whose response has no body.
    pub fn expect_response(&mut self, is_to_head: bool) {
        if matches!(self.state, State::Idle) {
            self.state = State::Head {
                buffer: HeadBuffer::new(self.max_head_bytes),
                is_to_head,
            };
        }
    }

    /// Returns the first error of the connection. No byte is passed on after it.
    pub fn error(&self) -> Option<FramingError> {
        match self.state {
            State::Rejected(error) => Some(error),
            _ => None,
        }
    }

    /// Processes bytes in the order in which they were read, and appends to `out` those that the
    /// parser may read. If [`ResponseValidator::error`] returns an error after the call, the
    /// connection must be closed.
    pub fn push(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
        while !bytes.is_empty() && self.error().is_none() {
            match self.step(bytes, out) {
                Ok(consumed) => bytes = &bytes[consumed..],
                Err(error) => self.state = State::Rejected(error),
            }
        }
    }

    /// Processes at least one of the bytes, and returns how many it processed.
    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        match &mut self.state {
            State::Idle => {
                out.extend_from_slice(bytes);
                Ok(bytes.len())
            }
            State::Head { buffer, is_to_head } => {
                let Some(complete) = buffer.push(bytes)? else {
                    return Ok(bytes.len());
                };
                let kind = check_response_head(&complete.head, *is_to_head)?;
                out.extend_from_slice(&complete.head);
                if let ResponseKind::Final(framing) = kind {
                    let body = BodyValidator::new(framing, self.max_head_bytes);
                    self.state = body.map_or(State::Idle, State::Body);
                }
                Ok(complete.consumed)
            }
            State::Body(body) => {
                let step = body.push(bytes, out)?;
                if step.is_complete {
                    self.state = State::Idle;
                }
                Ok(step.consumed)
            }
            State::Rejected(error) => Err(*error),
        }
    }
}
