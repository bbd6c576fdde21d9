//! Heads and trailers that arrive in several reads.

use crate::error::FramingError;
use crate::head::find_head_end;
use std::borrow::Cow;

/// The empty line that ends a head or trailers. It stands alone where there are no trailers.
pub(crate) const EMPTY_LINE: &[u8] = b"\r\n";

/// Collects a head or trailers until the empty line that ends them.
pub(crate) struct HeadBuffer {
    /// The bytes of an incomplete head.
    bytes: Vec<u8>,
    max_bytes: usize,
}

/// A head or trailers up to the empty line that ends them.
pub(crate) struct CompleteHead<'a> {
    /// The head, with the empty line. It is the empty line alone if that comes first.
    pub(crate) head: Cow<'a, [u8]>,
    /// The number of bytes of the last read that belong to it.
    pub(crate) consumed: usize,
}

impl HeadBuffer {
    /// Returns an empty buffer. Heads of more than `max_bytes` are rejected.
    pub(crate) fn new(max_bytes: usize) -> HeadBuffer {
        HeadBuffer {
            bytes: Vec::new(),
            max_bytes,
        }
    }

    /// Adds the bytes of the next read, and returns the head if they complete it; if not, all of
    /// them belong to it.
    pub(crate) fn push<'a>(
        &mut self,
        bytes: &'a [u8],
    ) -> Result<Option<CompleteHead<'a>>, FramingError> {
        let buffered = self.bytes.len();
        // The bytes are copied only if the head is split over several reads.
        let head: Cow<'a, [u8]> = if buffered == 0 {
            Cow::Borrowed(bytes)
        } else {
            self.bytes.extend_from_slice(bytes);
            Cow::Owned(std::mem::take(&mut self.bytes))
        };
        let end = if head.starts_with(EMPTY_LINE) {
            Some(EMPTY_LINE.len())
        } else {
            find_head_end(&head, buffered, self.max_bytes)?
        };
        let Some(end) = end else {
            self.bytes = head.into_owned();
            return Ok(None);
        };
        Ok(Some(CompleteHead {
            head: truncate(head, end),
            consumed: end - buffered,
        }))
    }
}

fn truncate(bytes: Cow<'_, [u8]>, length: usize) -> Cow<'_, [u8]> {
    match bytes {
        Cow::Borrowed(bytes) => Cow::Borrowed(&bytes[..length]),
        Cow::Owned(mut bytes) => {
            bytes.truncate(length);
            Cow::Owned(bytes)
        }
    }
}
