//! The header of a batch frame, and a reader that checks every field against the end of the frame.
//! Fields are big-endian and unpadded.

use crate::error::{FieldError, FrameError};
use dewrun_balancer::Millis;

/// Size of the header of a batch.
pub const BATCH_HEADER: usize = 20;
/// Size of the header of a reply.
pub const REPLY_HEADER: usize = 12;

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// Number of records in the body.
    pub records: u32,
    /// Size of the frame with its header, in bytes.
    pub size: u32,
    /// Time of the batch.
    pub now: Millis,
    /// Number of the batch, which its reply repeats.
    pub batch: u32,
}

impl Header {
    /// Parses a header, and checks that the size has room for the header and the records.
    ///
    /// # Errors
    ///
    /// Returns an error if the size is too small, or if the clock is not a finite number.
    pub fn parse(bytes: &[u8; BATCH_HEADER]) -> Result<Header, FrameError> {
        let mut reader = Reader { bytes };
        let header = Header {
            records: reader.u32()?,
            size: reader.u32()?,
            now: reader.f64()?,
            batch: reader.u32()?,
        };
        let body = (header.size as usize).checked_sub(BATCH_HEADER);
        match body {
            None => Err(FrameError::TooShort { size: header.size }),
            Some(body) if header.records as usize > body => Err(FrameError::TooManyRecords {
                records: header.records,
                body,
            }),
            Some(_) if !header.now.is_finite() => Err(FrameError::InvalidClock),
            Some(_) => Ok(header),
        }
    }
}

/// A cursor over the fields of a frame.
pub(crate) struct Reader<'a> {
    pub(crate) bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    pub(crate) fn take(&mut self, n: usize) -> Result<&'a [u8], FieldError> {
        if n > self.bytes.len() {
            return Err(FieldError::TruncatedField { bytes: n });
        }
        let (head, tail) = self.bytes.split_at(n);
        self.bytes = tail;
        Ok(head)
    }

    pub(crate) fn array<const N: usize>(&mut self) -> Result<[u8; N], FieldError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, FieldError> {
        Ok(self.array::<1>()?[0])
    }

    pub(crate) fn u16(&mut self) -> Result<u16, FieldError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    pub(crate) fn u32(&mut self) -> Result<u32, FieldError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    pub(crate) fn u64(&mut self) -> Result<u64, FieldError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    pub(crate) fn f32(&mut self) -> Result<f32, FieldError> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    pub(crate) fn f64(&mut self) -> Result<f64, FieldError> {
        Ok(f64::from_be_bytes(self.array()?))
    }
}
