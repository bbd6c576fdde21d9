//! The headers of a head that determine the end of its body.

use crate::error::FramingError;
use crate::head::{parse_content_length, Header, HttpVersion};

/// The length headers of a message, each of which may stand there once.
#[derive(Default)]
pub(crate) struct LengthHeaders {
    pub(crate) content_length: Option<u64>,
    pub(crate) is_chunked: bool,
}

impl LengthHeaders {
    /// Adds a header if it is a length header.
    pub(crate) fn add(
        &mut self,
        header: &Header,
        version: HttpVersion,
    ) -> Result<(), FramingError> {
        if header.is_named("content-length") {
            let length = parse_content_length(header.value)?;
            if self.content_length.replace(length).is_some() {
                return Err(FramingError::Length);
            }
        } else if header.is_named("transfer-encoding") {
            let is_allowed = !self.is_chunked && version == HttpVersion::Http11;
            if !is_allowed || !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(FramingError::Length);
            }
            self.is_chunked = true;
        }
        Ok(())
    }
}
