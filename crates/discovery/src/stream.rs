//! A stream of JSON objects, however they are laid out, with empty lines between them.

use std::fmt;

/// A piece of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// A whole object, as it was written.
    Object(Vec<u8>),
    /// The end of a line between two objects: the other side is alive.
    EmptyLine,
}

/// What the stream holds can't be read, and nothing behind it can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Garbled {
    /// Something other than an object.
    NoObject,
    /// An object that is larger than the most.
    TooLarge,
    /// The stream ended within an object.
    Cut,
}

impl fmt::Display for Garbled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Garbled::NoObject => "garbled list: not an object",
            Garbled::TooLarge => "a list is too long",
            Garbled::Cut => "a list is cut",
        })
    }
}

impl std::error::Error for Garbled {}

/// Takes a stream apart as it comes. Each byte is looked at once.
#[derive(Debug)]
pub struct ObjectStream {
    object: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
    most: usize,
}

impl ObjectStream {
    /// For objects of up to `most` bytes.
    pub fn new(most: usize) -> ObjectStream {
        ObjectStream {
            object: Vec::new(),
            depth: 0,
            in_string: false,
            escaped: false,
            most,
        }
    }

    /// Takes bytes in and hands on each piece that they complete.
    pub fn feed(&mut self, bytes: &[u8], mut take: impl FnMut(Piece)) -> Result<(), Garbled> {
        for byte in bytes.iter().copied() {
            if self.depth == 0 {
                match byte {
                    b'{' => {
                        self.depth = 1;
                        self.object.push(byte);
                    }
                    b'\n' => take(Piece::EmptyLine),
                    _ if byte.is_ascii_whitespace() => {}
                    _ => return Err(Garbled::NoObject),
                }
                continue;
            }
            if self.object.len() == self.most {
                return Err(Garbled::TooLarge);
            }
            self.object.push(byte);
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        take(Piece::Object(std::mem::take(&mut self.object)));
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// The stream has ended.
    pub fn end(&self) -> Result<(), Garbled> {
        if self.depth == 0 {
            Ok(())
        } else {
            Err(Garbled::Cut)
        }
    }
}
