//! The validation of one message body.

use crate::chunk::{ChunkLine, ChunkStep};
use crate::error::FramingError;
use crate::head::check_trailers;
use crate::head_buffer::HeadBuffer;

/// How the body after a head is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// The message has no body.
    None,
    /// The body has this many bytes, at least one.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// The part of the body that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A body of which `remaining` bytes remain.
    Length {
        remaining: u64,
    },
    ChunkLine(ChunkLine),
    /// A chunk's data of which `remaining` bytes remain.
    ChunkData {
        remaining: u64,
    },
    Trailers,
    UntilClose,
}

/// Whether a body goes on after the bytes that were processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyStep {
    /// The number of bytes that were processed, at least one.
    pub(crate) consumed: usize,
    /// Whether they complete the body.
    pub(crate) is_complete: bool,
}

/// Validates the framing of one body. The framing between chunks is passed on line by line, so that
/// no byte of a malformed line is.
pub(crate) struct BodyValidator {
    state: State,
    /// The bytes of an incomplete line between chunks.
    line: Vec<u8>,
    trailers: HeadBuffer,
}

impl BodyValidator {
    /// Returns a validator for a body; `None` if there is none. Trailers of more than
    /// `max_trailer_bytes` are rejected.
    pub(crate) fn new(framing: BodyFraming, max_trailer_bytes: usize) -> Option<BodyValidator> {
        let state = match framing {
            BodyFraming::None => return None,
            BodyFraming::Length(remaining) => State::Length { remaining },
            BodyFraming::Chunked => State::ChunkLine(ChunkLine::START),
            BodyFraming::UntilClose => State::UntilClose,
        };
        Some(BodyValidator {
            state,
            line: Vec::new(),
            trailers: HeadBuffer::new(max_trailer_bytes),
        })
    }

    /// Processes at least one of the bytes, which must not be empty, and appends to `out` those
    /// that may be passed on.
    pub(crate) fn push(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<BodyStep, FramingError> {
        match self.state {
            State::Length { remaining } => {
                let consumed = pass_on(bytes, remaining, out);
                let remaining = remaining - consumed as u64;
                self.state = State::Length { remaining };
                Ok(BodyStep {
                    consumed,
                    is_complete: remaining == 0,
                })
            }
            State::ChunkData { remaining } => {
                let consumed = pass_on(bytes, remaining, out);
                self.state = match remaining - consumed as u64 {
                    0 => State::ChunkLine(ChunkLine::DataCr),
                    remaining => State::ChunkData { remaining },
                };
                Ok(BodyStep::incomplete(consumed))
            }
            State::ChunkLine(line) => {
                self.push_chunk_line(line, bytes[0], out)?;
                Ok(BodyStep::incomplete(1))
            }
            State::Trailers => self.push_trailers(bytes, out),
            State::UntilClose => {
                out.extend_from_slice(bytes);
                Ok(BodyStep::incomplete(bytes.len()))
            }
        }
    }

    fn push_chunk_line(
        &mut self,
        line: ChunkLine,
        byte: u8,
        out: &mut Vec<u8>,
    ) -> Result<(), FramingError> {
        let step = line.advance(byte)?;
        self.line.push(byte);
        self.state = match step {
            ChunkStep::Line(line) => State::ChunkLine(line),
            ChunkStep::Data(remaining) => State::ChunkData { remaining },
            ChunkStep::Trailers => State::Trailers,
        };
        let is_line_complete = !matches!(step, ChunkStep::Line(line) if line != ChunkLine::START);
        if is_line_complete {
            out.append(&mut self.line);
        }
        Ok(())
    }

    fn push_trailers(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<BodyStep, FramingError> {
        let Some(complete) = self.trailers.push(bytes)? else {
            return Ok(BodyStep::incomplete(bytes.len()));
        };
        check_trailers(&complete.head)?;
        out.extend_from_slice(&complete.head);
        Ok(BodyStep {
            consumed: complete.consumed,
            is_complete: true,
        })
    }
}

impl BodyStep {
    fn incomplete(consumed: usize) -> BodyStep {
        BodyStep {
            consumed,
            is_complete: false,
        }
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
