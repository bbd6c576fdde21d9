//! A connection whose bytes are validated before hyper reads them.

use super::passed::PassedBytes;
use super::{Io, TrackedSocket, CHUNK_BYTES};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The validation of the messages that a peer sends.
pub trait Framing: Unpin {
    /// Returns how many bytes may be read at once, if hyper takes `capacity` bytes.
    fn read_capacity(&self, capacity: usize) -> usize;

    /// Processes bytes of the peer, and appends those that hyper may read to `out`.
    fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>);

    /// Appends what hyper gets in place of the rest of a malformed message, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if hyper gets an error in place of that rest.
    fn reject(&self, out: &mut Vec<u8>) -> Result<()>;

    /// Records that a message to the peer was begun with the first bytes of `start`.
    fn begin_message(&mut self, start: &[u8]);
}

/// A [`TrackedSocket`] whose bytes pass a [`Framing`] before hyper reads them.
pub struct ValidatedIo<F> {
    io: Io,
    framing: F,
    passed: PassedBytes,
}

impl<F: Framing> ValidatedIo<F> {
    /// Guards a socket.
    pub(super) fn with_framing(socket: Rc<TrackedSocket>, framing: F) -> ValidatedIo<F> {
        ValidatedIo {
            io: Io(socket),
            framing,
            passed: PassedBytes::default(),
        }
    }
}

impl<F: Framing> Read for ValidatedIo<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let me = &mut *self;
        while me.passed.is_empty() {
            me.framing.reject(me.passed.buffer())?;
            if !me.passed.is_empty() {
                break;
            }
            let mut chunk = [0; CHUNK_BYTES];
            let capacity = me.framing.read_capacity(buf.remaining()).min(CHUNK_BYTES);
            let n = ready!(me.io.0.poll_read_into(cx, &mut chunk[..capacity]))?;
            if n == 0 {
                return Poll::Ready(Ok(()));
            }
            me.framing.push(&chunk[..n], me.passed.buffer());
        }
        me.passed.read_into(&mut buf);
        Poll::Ready(Ok(()))
    }
}

impl<F: Framing> Write for ValidatedIo<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let begins_message = !self.io.0.has_begun_request();
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        if begins_message && written > 0 {
            self.framing.begin_message(buf);
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
