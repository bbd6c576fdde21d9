//! A client connection as hyper reads and writes it.

use super::passed::PassedBytes;
use super::{Io, TrackedSocket, CHUNK_BYTES};
use dewrun_framing::{FramingError, MessagePart, Rejection, RequestValidator};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// Bytes that hyper rejects as the start of a head, with status 400.
const MALFORMED_HEAD: &[u8] = b"\0\r\n\r\n";

/// A [`TrackedSocket`] whose bytes pass a [`RequestValidator`] before hyper reads them.
///
/// A rejected request ends here. If its head is rejected, hyper has read no byte of it and gets
/// bytes that it rejects itself, so that the client gets an error response. If its body is rejected,
/// hyper gets an error in place of further bytes: no bytes are malformed at every place of a body.
pub struct ClientIo {
    io: Io,
    validator: RequestValidator,
    passed: PassedBytes,
}

impl ClientIo {
    /// Guards a socket, for request heads up to a size.
    pub fn new(socket: Rc<TrackedSocket>, max_head_bytes: usize) -> ClientIo {
        ClientIo {
            io: Io(socket),
            validator: RequestValidator::new(max_head_bytes),
            passed: PassedBytes::default(),
        }
    }
}

/// Tells hyper of a rejected request.
fn reject(rejection: Rejection, passed: &mut PassedBytes) -> Result<()> {
    match (rejection.part, rejection.error) {
        (MessagePart::Body, error) => return Err(Error::new(ErrorKind::InvalidData, error)),
        // These are more bytes than hyper accepts as a head.
        (MessagePart::Head, FramingError::TooLarge) => {
            passed.buffer().extend_from_slice(&[b'x'; CHUNK_BYTES]);
        }
        (MessagePart::Head, _) => passed.buffer().extend_from_slice(MALFORMED_HEAD),
    }
    Ok(())
}

impl Read for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let me = &mut *self;
        while me.passed.is_empty() {
            if let Some(rejection) = me.validator.rejection() {
                reject(rejection, &mut me.passed)?;
                continue;
            }
            let mut chunk = [0; CHUNK_BYTES];
            let n = ready!(me.io.0.poll_read_into(cx, &mut chunk))?;
            if n == 0 {
                return Poll::Ready(Ok(()));
            }
            me.validator.push(&chunk[..n], me.passed.buffer());
        }
        me.passed.read_into(&mut buf);
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
