//! Splits a byte stream into JSON objects, whatever their layout, with empty lines between them.

use thiserror::Error;

/// An item of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// A complete object: its bytes as they were sent.
    Object(Vec<u8>),
    /// The end of a line between two objects: a heartbeat.
    EmptyLine,
}

/// Why the stream cannot be read. Nothing that follows in it can be trusted: the caller closes the
/// connection and opens another.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// Something other than an object where one should begin.
    #[error("garbled list: not an object")]
    NotAnObject,
    /// An object of more than `max_object_bytes`.
    #[error("a list is too long")]
    TooLarge,
    /// The stream ended within an object.
    #[error("a list is cut")]
    Truncated,
}

/// An incremental splitter. It looks at each byte once and buffers one object at most.
#[derive(Debug)]
pub struct ObjectStream {
    object: Vec<u8>,
    /// Open braces and brackets; 0 between two objects.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
    max_object_bytes: usize,
}

impl ObjectStream {
    /// A splitter at the start of a stream, for objects of up to `max_object_bytes`.
    pub fn new(max_object_bytes: usize) -> ObjectStream {
        ObjectStream {
            object: Vec::new(),
            depth: 0,
            in_string: false,
            is_escaped: false,
            max_object_bytes,
        }
    }

    /// Takes the next bytes of the stream, and passes each item that they complete to `on_item`.
    ///
    /// # Errors
    ///
    /// [`StreamError::NotAnObject`] or [`StreamError::TooLarge`], after the items before the fault
    /// were passed on.
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
    /// [`StreamError::Truncated`] if an object has begun and is not complete.
    pub fn finish(&self) -> Result<(), StreamError> {
        if self.depth == 0 {
            Ok(())
        } else {
            Err(StreamError::Truncated)
        }
    }
}
