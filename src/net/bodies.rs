//! How callers' bodies are taken in: kept whole up to a size, so that a request can go again, and
//! else passed on as they come.

use super::client::RequestError;
use super::limits::{self, ResourceLimit};
use super::stream::{StreamedRequestBody, Upload};
use super::upstream::RequestBody;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};

/// When the rate of a body is first looked at.
const RATE_CHECK_DELAY: Duration = Duration::from_secs(2);

/// What is taken in, and in which time.
#[derive(Clone, Copy)]
pub struct BodyLimits {
    /// Bodies up to here are kept, or refused for want of room.
    pub max_buffered_bytes: u64,
    /// Bodies up to here are kept while there is ample room.
    pub max_buffered_with_headroom_bytes: u64,
    /// Larger ones are refused.
    pub max_bytes: u64,
    /// Longest wait for the next bytes.
    pub idle_timeout: Duration,
    /// Longest time for all of a body that is kept.
    pub buffering_timeout: Duration,
    /// The fewest bytes a second that a body which is kept may come at.
    pub min_bytes_per_s: u64,
}

/// Why a body was not taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyError {
    /// There is no room for it now.
    NoRoom,
    /// It is larger than any that is taken.
    TooLarge,
    /// It was broken off, or came too slowly.
    Interrupted,
    /// Its framing is wrong, or its connection ended.
    Malformed,
}

impl BodyError {
    /// The response to its client.
    pub fn request_error(self) -> RequestError {
        match self {
            BodyError::NoRoom => RequestError::new(
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
    /// Reads a body to its end, if it is small enough to be kept.
    pub async fn read_body(
        &self,
        bytes: &Rc<ResourceLimit>,
        mut body: Incoming,
    ) -> Result<RequestBody, BodyError> {
        let exact = body.size_hint().exact();
        if exact.is_some_and(|length| length > self.max_bytes) {
            return Err(BodyError::TooLarge);
        }
        let mut first = BytesMut::new();
        if exact.is_none_or(|length| length <= self.max_buffered_with_headroom_bytes) {
            let sure = exact
                .unwrap_or(self.max_buffered_bytes)
                .min(self.max_buffered_bytes) as usize;
            let mut reservation = bytes.try_reserve(sure).ok_or(BodyError::NoRoom)?;
            let begun = Instant::now();
            let whole = loop {
                let over = first.len().saturating_sub(reservation.amount());
                if over > 0 {
                    let fits = first.len() as u64 <= self.max_buffered_with_headroom_bytes
                        && bytes.has_headroom();
                    if !fits || !reservation.try_grow(over) {
                        break false;
                    }
                }
                let passed = begun.elapsed();
                if passed > RATE_CHECK_DELAY
                    && (first.len() as f64) < self.min_bytes_per_s as f64 * passed.as_secs_f64()
                {
                    return Err(BodyError::Interrupted);
                }
                let wait = timeout(self.idle_timeout, body.frame());
                match timeout_at((begun + self.buffering_timeout).into(), wait).await {
                    Ok(Ok(None)) => break true,
                    Ok(Ok(Some(Ok(frame)))) => {
                        first.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
                    }
                    Ok(Ok(Some(Err(_)))) => return Err(BodyError::Malformed),
                    Ok(Err(_)) | Err(_) => return Err(BodyError::Interrupted),
                }
            };
            if whole {
                return Ok(RequestBody::Buffered(limits::Body::new(
                    first.freeze(),
                    reservation,
                )));
            }
        }
        if first.len() as u64 > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let upload = Rc::<Upload>::default();
        let streamed = StreamedRequestBody::new(
            first.freeze(),
            body,
            exact,
            self.max_bytes,
            self.idle_timeout,
            upload.clone(),
        );
        Ok(RequestBody::Streamed(Cell::new(Some(streamed)), upload))
    }
}
