//! Splits a byte stream into JSON objects of any layout and the empty lines between them.

use thiserror::Error;

/// An item of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// A complete object, as the bytes that were received.
    Object(Vec<u8>),
    /// A line end between two objects, which serves as a heartbeat.
    EmptyLine,
}

/// An error in the stream. The rest of the stream cannot be parsed: the caller closes the
/// connection and opens another.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// A byte other than `{` or white space was received between two objects.
    #[error("garbled list: not an object")]
    NotAnObject,
    /// An object is longer than `max_object_bytes`.
    #[error("a list is too long")]
    TooLarge,
    /// The stream ended inside an object.
    #[error("a list is cut")]
    Truncated,
}

/// An incremental splitter, which reads each byte once and buffers at most one object.
#[derive(Debug)]
pub struct ObjectStream {
    /// The bytes of the incomplete object.
    object: Vec<u8>,
    /// The number of unclosed braces and brackets; 0 between two objects.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
    max_object_bytes: usize,
}

impl ObjectStream {
    /// Returns a splitter for the start of a stream with objects of up to `max_object_bytes`.
    pub fn new(max_object_bytes: usize) -> ObjectStream {
        ObjectStream {
            object: Vec::new(),
            depth: 0,
            in_string: false,
            is_escaped: false,
            max_object_bytes,
        }
    }

    /// Processes the next bytes of the stream, and passes each item that they complete to
    /// `on_item`.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::NotAnObject`] or [`StreamError::TooLarge`] after passing on the items
    /// that precede the error.
    pub fn push(
        &mut self,
        bytes: &[u8],
        mut on_item: impl FnMut(StreamItem),
    ) -> Result<(), StreamError> {
        for byte in bytes.iter().copied() {
            let completed = if self.depth == 0 {
                self.push_between_objects(byte)?
            } else {
                self.push_in_object(byte)?
            };
            if let Some(item) = completed {
                on_item(item);
            }
        }
        Ok(())
    }

    fn push_between_objects(&mut self, byte: u8) -> Result<Option<StreamItem>, StreamError> {
        match byte {
            b'{' => {
                self.depth = 1;
                self.object.push(byte);
                Ok(None)
            }
            b'\n' => Ok(Some(StreamItem::EmptyLine)),
            _ if byte.is_ascii_whitespace() => Ok(None),
            _ => Err(StreamError::NotAnObject),
        }
    }

    fn push_in_object(&mut self, byte: u8) -> Result<Option<StreamItem>, StreamError> {
        if self.object.len() == self.max_object_bytes {
            return Err(StreamError::TooLarge);
        }
        self.object.push(byte);
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' if self.in_string => self.is_escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        let is_complete = self.depth == 0;
        Ok(is_complete.then(|| StreamItem::Object(std::mem::take(&mut self.object))))
    }

    /// Checks that the stream may end here.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError::Truncated`] if an object is incomplete.
    pub fn finish(&self) -> Result<(), StreamError> {
        if self.depth == 0 {
            Ok(())
        } else {
            Err(StreamError::Truncated)
        }
    }
}
