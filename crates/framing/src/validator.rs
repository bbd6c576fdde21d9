//! The guard of one client connection.

use crate::chunk::{AfterChunkByte, ChunkLine};
use crate::error::FramingError;
use crate::head::{check_head, check_trailers, find_head_end, BodyFraming};

/// What the next byte of the connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// A body of which so many bytes are left.
    Body {
        left: u64,
    },
    ChunkLine(ChunkLine),
    /// A chunk's data of which so many bytes are left.
    ChunkData {
        left: u64,
    },
    Trailers,
    Rejected(FramingError),
}

/// Follows the requests of one client connection. See the crate's documentation.
pub struct FramingValidator {
    state: State,
    /// The bytes of an incomplete head, or of incomplete trailers.
    held: Vec<u8>,
    max_head_bytes: usize,
}

impl FramingValidator {
    /// A guard for a fresh connection. A head, or trailers, of more than `max_head_bytes` are
    /// rejected.
    pub fn new(max_head_bytes: usize) -> FramingValidator {
        FramingValidator {
            state: State::Head,
            held: Vec::new(),
            max_head_bytes,
        }
    }

    /// The first error of the connection. From then on no byte is passed on.
    pub fn error(&self) -> Option<FramingError> {
        match self.state {
            State::Rejected(error) => Some(error),
            _ => None,
        }
    }

    /// Takes bytes in the order in which they were read, and appends to `out` those that the parser
    /// may see. After the call, [`FramingValidator::error`] tells whether the connection is to be closed.
    pub fn push(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
        while !bytes.is_empty() && self.error().is_none() {
            match self.step(bytes, out) {
                Ok(used) => bytes = &bytes[used..],
                Err(error) => {
                    self.held = Vec::new();
                    self.state = State::Rejected(error);
                }
            }
        }
    }

    /// Takes at least one of the bytes, and returns how many it took.
    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        match self.state {
            State::Head => self.take_head(bytes, out),
            State::Trailers => self.take_trailers(bytes, out),
            State::Body { left } => {
                let used = pass_on(bytes, left, out);
                self.state = match left - used as u64 {
                    0 => State::Head,
                    left => State::Body { left },
                };
                Ok(used)
            }
            State::ChunkData { left } => {
                let used = pass_on(bytes, left, out);
                self.state = match left - used as u64 {
                    0 => State::ChunkLine(ChunkLine::DataCr),
                    left => State::ChunkData { left },
                };
                Ok(used)
            }
            State::ChunkLine(line) => {
                self.state = match line.take(bytes[0])? {
                    AfterChunkByte::Line(line) => State::ChunkLine(line),
                    AfterChunkByte::Data(left) => State::ChunkData { left },
                    AfterChunkByte::Trailers => State::Trailers,
                };
                out.push(bytes[0]);
                Ok(1)
            }
            State::Rejected(error) => Err(error),
        }
    }

    fn take_head(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        let held_before = self.held.len();
        // Bytes are copied together only if a head comes in several pieces.
        let head: &[u8] = if held_before == 0 {
            bytes
        } else {
            self.held.extend_from_slice(bytes);
            &self.held
        };
        // RFC 9112, 2.2: an empty line before a request is skipped.
        if head.starts_with(b"\r\n") {
            self.held.clear();
            return Ok(2 - held_before);
        }
        let Some(end) = find_head_end(head, held_before, self.max_head_bytes)? else {
            if held_before == 0 {
                self.held = bytes.to_vec();
            }
            return Ok(bytes.len());
        };
        let body = check_head(&head[..end])?;
        out.extend_from_slice(&head[..end]);
        self.held = Vec::new();
        self.state = match body {
            BodyFraming::None => State::Head,
            BodyFraming::Length(left) => State::Body { left },
            BodyFraming::Chunked => State::ChunkLine(ChunkLine::START),
        };
        Ok(end - held_before)
    }

    fn take_trailers(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        let held_before = self.held.len();
        self.held.extend_from_slice(bytes);
        // Without trailers, a single CRLF ends the body.
        let end = if self.held.starts_with(b"\r\n") {
            Some(2)
        } else {
            find_head_end(&self.held, held_before, self.max_head_bytes)?
        };
        let Some(end) = end else {
            return Ok(bytes.len());
        };
        check_trailers(&self.held[..end])?;
        out.extend_from_slice(&self.held[..end]);
        self.held = Vec::new();
        self.state = State::Head;
        Ok(end - held_before)
    }
}

/// Passes on as many bytes as are left of a body or a chunk, and returns how many.
fn pass_on(bytes: &[u8], left: u64, out: &mut Vec<u8>) -> usize {
    let used = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
    out.extend_from_slice(&bytes[..used]);
    used
}
