//! A connection to an endpoint as hyper reads and writes it.

use super::passed::PassedBytes;
use super::{Io, TrackedSocket, CHUNK_BYTES};
use dewrun_framing::ResponseValidator;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// How the request line of a HEAD begins.
const HEAD_REQUEST: &[u8] = b"HEAD ";

/// A [`TrackedSocket`] whose bytes pass a [`ResponseValidator`] before hyper reads them. In place of
/// the rest of a malformed response hyper gets an error, which fails the attempt.
pub struct EndpointIo {
    io: Io,
    validator: ResponseValidator,
    passed: PassedBytes,
}

impl EndpointIo {
    /// Guards a socket, for response heads up to a size.
    pub fn new(socket: Rc<TrackedSocket>, max_head_bytes: usize) -> EndpointIo {
        EndpointIo {
            io: Io(socket),
            validator: ResponseValidator::new(max_head_bytes),
            passed: PassedBytes::default(),
        }
    }
}

impl Read for EndpointIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let me = &mut *self;
        while me.passed.is_empty() {
            if let Some(error) = me.validator.error() {
                return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, error)));
            }
            let mut chunk = [0; CHUNK_BYTES];
            // No more than hyper takes at once: bytes behind a response must stay on the socket,
            // where they are seen before the connection is reused.
            let capacity = buf.remaining().min(CHUNK_BYTES);
            let n = ready!(me.io.0.poll_read_into(cx, &mut chunk[..capacity]))?;
            if n == 0 {
                return Poll::Ready(Ok(()));
            }
            me.validator.push(&chunk[..n], me.passed.buffer());
        }
        me.passed.read_into(&mut buf);
        Poll::Ready(Ok(()))
    }
}

impl Write for EndpointIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let begins_request = !self.io.0.has_begun_request();
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        if begins_request && written > 0 {
            self.validator
                .expect_response(buf.starts_with(HEAD_REQUEST));
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
