//! The validation of the framing on one client connection.

use crate::body::BodyValidator;
use crate::error::{FramingError, MessagePart, Rejection};
use crate::head::check_request_head;
use crate::head_buffer::{HeadBuffer, EMPTY_LINE};

/// The part of the connection that the next byte belongs to.
enum State {
    Head(HeadBuffer),
    Body(BodyValidator),
    Rejected(Rejection),
}

/// Validates the framing of the requests on one client connection. See the crate's documentation.
pub struct RequestValidator {
    state: State,
    max_head_bytes: usize,
}

impl RequestValidator {
    /// Returns a validator for a new connection. Heads and trailers of more than `max_head_bytes`
    /// are rejected.
    pub fn new(max_head_bytes: usize) -> RequestValidator {
        RequestValidator {
            state: State::Head(HeadBuffer::new(max_head_bytes)),
            max_head_bytes,
        }
    }

    /// Returns the first error of the connection. No byte is passed on after it.
    pub fn rejection(&self) -> Option<Rejection> {
        match self.state {
            State::Rejected(rejection) => Some(rejection),
            _ => None,
        }
    }

    /// Processes bytes in the order in which they were read, and appends to `out` those that the
    /// parser may read. If [`RequestValidator::rejection`] returns an error after the call, the
    /// connection must be closed.
    pub fn push(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
        while !bytes.is_empty() && self.rejection().is_none() {
            let part = match self.state {
                State::Head(_) => MessagePart::Head,
                _ => MessagePart::Body,
            };
            match self.step(bytes, out) {
                Ok(consumed) => bytes = &bytes[consumed..],
                Err(error) => self.state = State::Rejected(Rejection { error, part }),
            }
        }
    }

    /// Processes at least one of the bytes, and returns how many it processed.
    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        match &mut self.state {
            State::Head(buffer) => {
                let Some(complete) = buffer.push(bytes)? else {
                    return Ok(bytes.len());
                };
                // RFC 9112, 2.2: an empty line before a request is skipped.
                if complete.head.as_ref() != EMPTY_LINE {
                    let framing = check_request_head(&complete.head)?;
                    out.extend_from_slice(&complete.head);
                    if let Some(body) = BodyValidator::new(framing, self.max_head_bytes) {
                        self.state = State::Body(body);
                    }
                }
                Ok(complete.consumed)
            }
            State::Body(body) => {
                let step = body.push(bytes, out)?;
                if step.is_complete {
                    self.state = State::Head(HeadBuffer::new(self.max_head_bytes));
                }
                Ok(step.consumed)
            }
            State::Rejected(rejection) => Err(rejection.error),
        }
    }
}
