//! The validation of the framing on one client connection.

use crate::chunk::{ChunkLine, ChunkStep};
use crate::error::FramingError;
use crate::head::{check_head, check_trailers, find_head_end, BodyFraming};

/// The part of the connection that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// A body of which `remaining` bytes remain.
    Body {
        remaining: u64,
    },
    ChunkLine(ChunkLine),
    /// A chunk's data of which `remaining` bytes remain.
    ChunkData {
        remaining: u64,
    },
    Trailers,
    Rejected(FramingError),
}

/// Validates the framing of the requests on one client connection. See the crate's documentation.
pub struct FramingValidator {
    state: State,
    /// The bytes of an incomplete head or of incomplete trailers.
    buffered: Vec<u8>,
    max_head_bytes: usize,
}

impl FramingValidator {
    /// Returns a validator for a new connection. Heads and trailers of more than `max_head_bytes`
    /// are rejected.
    pub fn new(max_head_bytes: usize) -> FramingValidator {
        FramingValidator {
            state: State::Head,
            buffered: Vec::new(),
            max_head_bytes,
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
    /// parser may read. If [`FramingValidator::error`] returns an error after the call, the
    /// connection must be closed.
    pub fn push(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
        while !bytes.is_empty() && self.error().is_none() {
            match self.step(bytes, out) {
                Ok(consumed) => bytes = &bytes[consumed..],
                Err(error) => {
                    self.buffered = Vec::new();
                    self.state = State::Rejected(error);
                }
            }
        }
    }

    /// Processes at least one of the bytes, and returns how many it processed.
    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        match self.state {
            State::Head => self.push_head(bytes, out),
            State::Trailers => self.push_trailers(bytes, out),
            State::Body { remaining } => {
                let consumed = pass_on(bytes, remaining, out);
                self.state = match remaining - consumed as u64 {
                    0 => State::Head,
                    remaining => State::Body { remaining },
                };
                Ok(consumed)
            }
            State::ChunkData { remaining } => {
                let consumed = pass_on(bytes, remaining, out);
                self.state = match remaining - consumed as u64 {
                    0 => State::ChunkLine(ChunkLine::DataCr),
                    remaining => State::ChunkData { remaining },
                };
                Ok(consumed)
            }
            State::ChunkLine(line) => {
                self.state = match line.advance(bytes[0])? {
                    ChunkStep::Line(line) => State::ChunkLine(line),
                    ChunkStep::Data(remaining) => State::ChunkData { remaining },
                    ChunkStep::Trailers => State::Trailers,
                };
                out.push(bytes[0]);
                Ok(1)
            }
            State::Rejected(error) => Err(error),
        }
    }

    fn push_head(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        let buffered_before = self.buffered.len();
        // The bytes are copied only if the head is split over several calls.
        let head: &[u8] = if buffered_before == 0 {
            bytes
        } else {
            self.buffered.extend_from_slice(bytes);
            &self.buffered
        };
        // RFC 9112, 2.2: an empty line before a request is skipped.
        if head.starts_with(b"\r\n") {
            self.buffered.clear();
            return Ok(2 - buffered_before);
        }
        let Some(end) = find_head_end(head, buffered_before, self.max_head_bytes)? else {
            if buffered_before == 0 {
                self.buffered = bytes.to_vec();
            }
            return Ok(bytes.len());
        };
        let body = check_head(&head[..end])?;
        out.extend_from_slice(&head[..end]);
        self.buffered = Vec::new();
        self.state = match body {
            BodyFraming::None => State::Head,
            BodyFraming::Length(remaining) => State::Body { remaining },
            BodyFraming::Chunked => State::ChunkLine(ChunkLine::START),
        };
        Ok(end - buffered_before)
    }

    fn push_trailers(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        let buffered_before = self.buffered.len();
        self.buffered.extend_from_slice(bytes);
        // Without trailers, a single CRLF ends the body.
        let end = if self.buffered.starts_with(b"\r\n") {
            Some(2)
        } else {
            find_head_end(&self.buffered, buffered_before, self.max_head_bytes)?
        };
        let Some(end) = end else {
            return Ok(bytes.len());
        };
        check_trailers(&self.buffered[..end])?;
        out.extend_from_slice(&self.buffered[..end]);
        self.buffered = Vec::new();
        self.state = State::Head;
        Ok(end - buffered_before)
    }
}

/// Appends the bytes to `out`, up to the `remaining` bytes of a body or chunk, and returns how
/// many.
fn pass_on(bytes: &[u8], remaining: u64, out: &mut Vec<u8>) -> usize {
    let consumed = usize::try_from(remaining)
        .unwrap_or(usize::MAX)
        .min(bytes.len());
    out.extend_from_slice(&bytes[..consumed]);
    consumed
}
