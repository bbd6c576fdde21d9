//! An incremental parser of the framing between the chunks of a chunked body (RFC 9112, 7.1).

use crate::error::FramingError;
use crate::head::is_control;

/// The maximum length of the extensions of one chunk, in bytes.
const MAX_EXTENSION_BYTES: usize = 256;
/// The maximum number of hexadecimal digits of a chunk size: more would not fit into 64 bits.
const MAX_SIZE_DIGITS: u8 = 16;

/// The position of the connection in the framing of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkLine {
    /// In the size, after `digits` digits with the value `size`.
    Size { digits: u8, size: u64 },
    /// In the extensions after the size, after `length` bytes of them.
    Extension { size: u64, length: usize },
    /// After the CR of the size line, before its LF.
    SizeLf { size: u64 },
    /// After the data, before the CR that follows it.
    DataCr,
    /// After the CR that follows the data, before its LF.
    DataLf,
}

/// The position of the connection after a byte of a chunk's framing.
pub(crate) enum ChunkStep {
    /// In the framing, where more bytes follow.
    Line(ChunkLine),
    /// Before this many bytes of data.
    Data(u64),
    /// Before the trailers, because the chunk was the last.
    Trailers,
}

impl ChunkLine {
    /// The start of a chunk.
    pub(crate) const START: ChunkLine = ChunkLine::Size { digits: 0, size: 0 };

    /// Processes the next byte.
    pub(crate) fn advance(self, byte: u8) -> Result<ChunkStep, FramingError> {
        let line = match (self, byte) {
            (ChunkLine::Size { digits, size }, byte) => advance_size(digits, size, byte)?,
            (ChunkLine::SizeLf { size: 0 }, b'\n') => return Ok(ChunkStep::Trailers),
            (ChunkLine::SizeLf { size }, b'\n') => return Ok(ChunkStep::Data(size)),
            (ChunkLine::Extension { size, .. }, b'\r') => ChunkLine::SizeLf { size },
            (ChunkLine::Extension { size, length }, byte)
                if !is_control(byte) && length < MAX_EXTENSION_BYTES =>
            {
                ChunkLine::Extension {
                    size,
                    length: length + 1,
                }
            }
            (ChunkLine::DataCr, b'\r') => ChunkLine::DataLf,
            (ChunkLine::DataLf, b'\n') => ChunkLine::START,
            _ => return Err(FramingError::Chunk),
        };
        Ok(ChunkStep::Line(line))
    }
}

fn advance_size(digits: u8, size: u64, byte: u8) -> Result<ChunkLine, FramingError> {
    match char::from(byte).to_digit(16) {
        Some(digit) if digits < MAX_SIZE_DIGITS => Ok(ChunkLine::Size {
            digits: digits + 1,
            size: size * 16 + u64::from(digit),
        }),
        None if digits > 0 && byte == b'\r' => Ok(ChunkLine::SizeLf { size }),
        None if digits > 0 && byte == b';' => Ok(ChunkLine::Extension { size, length: 0 }),
        _ => Err(FramingError::Chunk),
    }
}
