//! The lines between the chunks of a chunked body (RFC 9112, 7.1), byte by byte.

use crate::error::FramingError;
use crate::head::is_control;

/// The most bytes of chunk extensions in one chunk.
const MAX_EXTENSION_BYTES: usize = 256;
/// The most hexadecimal digits of a chunk size: more would not fit 64 bits.
const MAX_SIZE_DIGITS: u8 = 16;

/// Where in the framing of a chunk the connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkLine {
    /// In the size, of which so many digits were read.
    Size { digits: u8, size: u64 },
    /// In the extensions behind the size, of which so many bytes were read.
    Extension { size: u64, length: usize },
    /// Behind the CR that ends the line of the size.
    SizeLf { size: u64 },
    /// Behind the data, before its CR.
    DataCr,
    /// Behind the CR that follows the data.
    DataLf,
}

/// What follows a byte of a chunk's framing.
pub(crate) enum AfterChunkByte {
    /// More of the framing.
    Line(ChunkLine),
    /// So many bytes of data.
    Data(u64),
    /// The trailers: the chunk was the last.
    Trailers,
}

impl ChunkLine {
    /// The start of a chunk.
    pub(crate) const START: ChunkLine = ChunkLine::Size { digits: 0, size: 0 };

    /// Takes the next byte.
    pub(crate) fn take(self, byte: u8) -> Result<AfterChunkByte, FramingError> {
        let line = match (self, byte) {
            (ChunkLine::Size { digits, size }, byte) => take_size_byte(digits, size, byte)?,
            (ChunkLine::SizeLf { size: 0 }, b'\n') => return Ok(AfterChunkByte::Trailers),
            (ChunkLine::SizeLf { size }, b'\n') => return Ok(AfterChunkByte::Data(size)),
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
        Ok(AfterChunkByte::Line(line))
    }
}

fn take_size_byte(digits: u8, size: u64, byte: u8) -> Result<ChunkLine, FramingError> {
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
