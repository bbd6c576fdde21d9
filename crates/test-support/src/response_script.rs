//! Responses that are framed, paced and ended in each way that HTTP/1.1 knows.

use crate::{Backend, Message};
use socket2::SockRef;
use std::io::{Result, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// A reset may discard what was written just before it, so it follows after this pause.
const PAUSE_BEFORE_RESET: Duration = Duration::from_millis(20);
/// Period of the bytes of a body: a prime, so that a missing part shows.
const BODY_PERIOD: usize = 251;

/// How a response tells where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// By a `Content-Length`.
    Length,
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl ResponseFraming {
    /// All framings.
    pub const ALL: [ResponseFraming; 3] = [
        ResponseFraming::Length,
        ResponseFraming::Chunked,
        ResponseFraming::UntilClose,
    ];
}

/// How the endpoint ends a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// It is complete. The connection stays open unless its end is that of the body.
    Complete,
    /// The connection is reset after half of the body.
    ResetAfterHalf,
    /// The connection is reset after all of the body.
    ResetAfterAll,
    /// The connection is closed after half of the body.
    CloseAfterHalf,
}

/// One response of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ResponseScript {
    /// Framing of the body.
    pub framing: ResponseFraming,
    /// Number of bytes of the complete body.
    pub body_bytes: usize,
    /// Number of parts in which the body is written.
    pub parts: usize,
    /// Pause before each part.
    pub pause: Duration,
    /// End of the response.
    pub end: ResponseEnd,
}

impl ResponseScript {
    /// Returns a complete response that is written at once.
    pub fn complete(framing: ResponseFraming, body_bytes: usize) -> ResponseScript {
        ResponseScript {
            framing,
            body_bytes,
            parts: 1,
            pause: Duration::ZERO,
            end: ResponseEnd::Complete,
        }
    }

    /// Returns the same response, written in parts with a pause before each.
    pub fn paced(self, parts: usize, pause: Duration) -> ResponseScript {
        ResponseScript {
            parts,
            pause,
            ..self
        }
    }

    /// Returns the same response with another end.
    pub fn ending(self, end: ResponseEnd) -> ResponseScript {
        ResponseScript { end, ..self }
    }

    /// Returns all ways in which a response of this size is cut off and its reader can tell: the
    /// close of a connection after a part of a body without a length cannot be told from its end.
    pub fn all_truncated(body_bytes: usize) -> Vec<ResponseScript> {
        use ResponseEnd::{CloseAfterHalf, ResetAfterAll, ResetAfterHalf};
        use ResponseFraming::{Chunked, Length, UntilClose};
        [
            (Length, ResetAfterHalf),
            (Length, CloseAfterHalf),
            (Chunked, ResetAfterHalf),
            (Chunked, CloseAfterHalf),
            (UntilClose, ResetAfterHalf),
            (UntilClose, ResetAfterAll),
        ]
        .into_iter()
        .map(|(framing, end)| ResponseScript::complete(framing, body_bytes).ending(end))
        .collect()
    }

    /// Returns the complete body.
    pub fn body(&self) -> Vec<u8> {
        (0..self.body_bytes)
            .map(|at| (at % BODY_PERIOD) as u8)
            .collect()
    }

    /// Returns whether a client's response is the complete one.
    pub fn is_answered_by(&self, response: Option<&Message>) -> bool {
        response.is_some_and(|response| response.status() == 200 && response.body == self.body())
    }

    /// Writes the response; returns whether the connection stays open.
    pub fn write(&self, stream: &mut TcpStream) -> bool {
        let is_written = self.write_parts(stream).is_ok();
        if matches!(
            self.end,
            ResponseEnd::ResetAfterHalf | ResponseEnd::ResetAfterAll
        ) {
            reset_on_close(stream);
        }
        is_written
            && self.end == ResponseEnd::Complete
            && self.framing != ResponseFraming::UntilClose
    }

    fn write_parts(&self, stream: &mut TcpStream) -> Result<()> {
        let length = match self.framing {
            ResponseFraming::Length => format!("Content-Length: {}\r\n", self.body_bytes),
            ResponseFraming::Chunked => "Transfer-Encoding: chunked\r\n".to_string(),
            ResponseFraming::UntilClose => String::new(),
        };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{length}\r\n").as_bytes())?;
        let mut body = self.body();
        if matches!(
            self.end,
            ResponseEnd::ResetAfterHalf | ResponseEnd::CloseAfterHalf
        ) {
            body.truncate(self.body_bytes / 2);
        }
        for part in body.chunks(self.body_bytes.div_ceil(self.parts)) {
            thread::sleep(self.pause);
            self.write_part(stream, part)?;
        }
        if self.framing == ResponseFraming::Chunked && self.end == ResponseEnd::Complete {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }

    fn write_part(&self, stream: &mut TcpStream, part: &[u8]) -> Result<()> {
        if self.framing != ResponseFraming::Chunked {
            return stream.write_all(part);
        }
        let size = format!("{:x}\r\n", part.len());
        stream.write_all(&[size.as_bytes(), part, b"\r\n"].concat())
    }
}

impl Backend {
    /// Starts an endpoint that answers its first requests with these responses, and all further ones
    /// with the last of them.
    pub fn with_scripts(scripts: Vec<ResponseScript>) -> Backend {
        Backend::start(move |number, stream| {
            let script = scripts.get(number).or(scripts.last());
            script.expect("a response").write(stream)
        })
    }
}

/// Lets the close of a connection be a reset, with no end of the stream before it.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    thread::sleep(PAUSE_BEFORE_RESET);
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
