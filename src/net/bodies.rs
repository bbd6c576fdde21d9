//! Reads request bodies: small ones are buffered, so that a request can be retried, and others are
//! streamed.

use super::client::RequestError;
use super::io::TrackedSocket;
use super::limits::{self, ResourceLimit, ResourceReservation};
use super::stream::{BodyStart, StreamedRequestBody};
use super::upload::UploadProgress;
use super::upstream::RequestBody;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};

/// Time after which the rate of a body is checked.
const RATE_CHECK_DELAY: Duration = Duration::from_secs(2);

/// Size and time limits of request bodies.
#[derive(Clone, Copy)]
pub struct BodyLimits {
    /// Bodies up to this size are buffered, or rejected if there is no memory.
    pub max_buffered_bytes: u64,
    /// Bodies up to this size are buffered while there is headroom.
    pub max_buffered_with_headroom_bytes: u64,
    /// Larger bodies are rejected.
    pub max_bytes: u64,
    /// Timeout for the next bytes.
    pub idle_timeout: Duration,
    /// Timeout for a complete buffered body.
    pub buffering_timeout: Duration,
    /// Minimum rate in bytes per second of a buffered body.
    pub min_bytes_per_s: u64,
}

/// Reason why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyError {
    /// There is no memory for the body now.
    InsufficientMemory,
    /// The body is larger than the maximum.
    TooLarge,
    /// The client broke off the body, or sent it too slowly.
    Interrupted,
    /// The framing of the body is malformed, or the connection ended.
    Malformed,
}

impl BodyError {
    /// Returns the response to the client.
    pub fn request_error(self) -> RequestError {
        match self {
            BodyError::InsufficientMemory => RequestError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "there is no room for the body",
            ),
            BodyError::TooLarge => {
                RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
            }
            BodyError::Interrupted => RequestError::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body was broken off, came too slowly or grew too large",
            ),
            BodyError::Malformed => RequestError::new(
                StatusCode::BAD_REQUEST,
                "the body is malformed or cut short",
            ),
        }
    }
}

impl BodyLimits {
    /// Reads a body to its end if it is small enough to be buffered, else returns it as a stream.
    ///
    /// # Errors
    ///
    /// Fails if the body exceeds a limit, is malformed or there is no memory for it.
    pub async fn read_body(
        &self,
        bytes: &Rc<ResourceLimit>,
        client: &Rc<TrackedSocket>,
        mut body: Incoming,
    ) -> Result<RequestBody, BodyError> {
        let exact = body.size_hint().exact();
        if exact.is_some_and(|length| length > self.max_bytes) {
            return Err(BodyError::TooLarge);
        }
        let mut start = BodyStart::default();
        if exact.is_none_or(|length| length <= self.max_buffered_with_headroom_bytes) {
            match self.buffer(bytes, &mut body, exact).await? {
                Buffered::Complete(body) => return Ok(RequestBody::Buffered(body)),
                Buffered::TooLarge(read) => start = read,
            }
        }
        let upload = UploadProgress::new(client.clone(), exact, start.remaining_bytes());
        let streamed = StreamedRequestBody::new(
            start,
            body,
            exact,
            self.max_bytes,
            self.idle_timeout,
            upload.clone(),
        );
        Ok(RequestBody::Streamed(Cell::new(Some(streamed)), upload))
    }

    /// Reads a body until it is complete or too large to be buffered now.
    async fn buffer(
        &self,
        bytes: &Rc<ResourceLimit>,
        body: &mut Incoming,
        exact: Option<u64>,
    ) -> Result<Buffered, BodyError> {
        let reserved_bytes = exact
            .unwrap_or(self.max_buffered_bytes)
            .min(self.max_buffered_bytes) as usize;
        let mut reservation = bytes
            .try_reserve(reserved_bytes)
            .ok_or(BodyError::InsufficientMemory)?;
        let mut read = BytesMut::new();
        let started = Instant::now();
        loop {
            if !self.has_memory(bytes, read.len(), &mut reservation) {
                if read.len() as u64 > self.max_bytes {
                    return Err(BodyError::TooLarge);
                }
                return Ok(Buffered::TooLarge(BodyStart::new(
                    read.freeze(),
                    reservation,
                )));
            }
            self.check_rate(read.len(), started.elapsed())?;
            let wait = timeout(self.idle_timeout, body.frame());
            match timeout_at((started + self.buffering_timeout).into(), wait).await {
                Ok(Ok(None)) => {
                    let body = limits::Body::new(read.freeze(), reservation);
                    return Ok(Buffered::Complete(body));
                }
                Ok(Ok(Some(Ok(frame)))) => {
                    read.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
                }
                Ok(Ok(Some(Err(_)))) => return Err(BodyError::Malformed),
                Ok(Err(_)) | Err(_) => return Err(BodyError::Interrupted),
            }
        }
    }

    /// Returns whether all bytes that were read are reserved, after more memory was reserved if
    /// that is needed and there is headroom.
    fn has_memory(
        &self,
        bytes: &ResourceLimit,
        read: usize,
        reservation: &mut ResourceReservation,
    ) -> bool {
        let excess = read.saturating_sub(reservation.amount());
        let fits = read as u64 <= self.max_buffered_with_headroom_bytes && bytes.has_headroom();
        excess == 0 || (fits && reservation.try_grow(excess))
    }

    /// Checks that a body does not arrive too slowly.
    fn check_rate(&self, read: usize, elapsed: Duration) -> Result<(), BodyError> {
        let is_slow = elapsed > RATE_CHECK_DELAY
            && (read as f64) < self.min_bytes_per_s as f64 * elapsed.as_secs_f64();
        if is_slow {
            return Err(BodyError::Interrupted);
        }
        Ok(())
    }
}

/// The result of buffering a body.
enum Buffered {
    Complete(limits::Body),
    /// The body is too large, or there is no more memory.
    TooLarge(BodyStart),
}
