//! Responses of endpoints: what a head implies, and the body, buffered or streamed.

use super::exchange::{BodyFailure, Exchange};
use super::message::outcome;
use super::{Attempt, AttemptHooks};
use crate::net::limits::{
    Body, ResourceReservation, MAX_BODY_BYTES, RELAYED_RESPONSE_IDLE_TIMEOUT,
    UNRELAYED_RESPONSE_IDLE_TIMEOUT,
};
use crate::net::stream::{ResponseBody, ResponsePart, StreamedResponseBody};
use crate::net::upstream::{AttemptOutcome, EndpointResponse, UpstreamProtocol};
use bytes::{Bytes, BytesMut};
use dewrun_admin::IncompleteResponse;
use dewrun_balancer::{Outcome, Report};
use dewrun_forwarding::{body_length, BodyLength};
use hyper::body::{Body as _, Incoming};
use hyper::header;
use hyper::http::response::Parts as Head;
use hyper::{Method, Response, StatusCode};
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// A response whose head has arrived.
pub(super) struct Received {
    pub(super) exchange: Exchange,
    pub(super) response: Response<Incoming>,
    /// Time until which the body may arrive, if it is buffered: the client's deadline. An earlier
    /// timeout of the attempt ends with the head, as the endpoint is then known to respond.
    pub(super) until: Instant,
    /// Part of the latency that the endpoint did not cause.
    pub(super) excluded_latency: Duration,
}

/// Conclusions from the head of a response.
struct Verdict {
    outcome: Outcome,
    /// Outcome if the body is cut off.
    outcome_if_truncated: Outcome,
    /// Whether the body is forwarded to the client. On the platform only a response with outcome Ok
    /// has such a body.
    is_forwarded: bool,
    report: Report,
    /// Status of a response that rejects the request itself.
    client_error: Option<StatusCode>,
}

impl Verdict {
    fn ended(&self, outcome: Outcome) -> AttemptOutcome {
        AttemptOutcome {
            report: self.report,
            client_error: self.client_error,
            ..AttemptOutcome::ended_now(outcome)
        }
    }
}

/// Result of buffering a body.
enum BufferResult {
    Complete(Body),
    /// The body is longer than the buffer: it is streamed, starting with the bytes that were read,
    /// whose memory stays reserved.
    TooLong(Bytes, ResourceReservation),
    Ended(Box<AttemptOutcome>),
}

impl Attempt<'_> {
    fn is_http(&self) -> bool {
        self.upstream.protocol == UpstreamProtocol::Http
    }

    /// Buffers a response until it is complete, or streams it.
    pub(super) async fn receive<CheckPermission, IsEndpointReady, BeginResponse>(
        &self,
        received: Received,
        hooks: AttemptHooks<CheckPermission, IsEndpointReady, BeginResponse>,
    ) -> AttemptOutcome
    where
        IsEndpointReady: Fn() -> bool,
        BeginResponse: FnOnce(EndpointResponse),
    {
        let Received {
            mut exchange,
            response,
            until,
            excluded_latency,
        } = received;
        let (head, mut body) = response.into_parts();
        let verdict = self.verdict(&head);
        let Some(length) = self.trusted_length(&head) else {
            return AttemptOutcome {
                incomplete: Some(IncompleteResponse::MalformedLength),
                ..verdict.ended(verdict.outcome_if_truncated)
            };
        };
        if !verdict.is_forwarded && ends_with_connection(&head, length) {
            // Neither the body nor the connection can be used.
            return verdict.ended(verdict.outcome);
        }
        let is_empty = body.is_end_stream() || self.client_request.method == Method::HEAD;
        let mut first = Bytes::new();
        let mut first_reservation = None;
        if let Some(memory) = self.reserve_buffer(&length, is_empty, verdict.outcome) {
            let buffered = self
                .buffer(&mut exchange, &mut body, until, memory, &verdict)
                .await;
            let at = exchange.conn.socket.last_read() - excluded_latency;
            match buffered {
                BufferResult::Complete(body) => {
                    self.upstream
                        .return_to_pool(self.target, exchange, &hooks.is_endpoint_ready)
                        .await;
                    let body = ResponseBody::Buffered(body);
                    return answered(verdict, EndpointResponse::new(head, length, body), at);
                }
                BufferResult::TooLong(read, memory) => {
                    first = read;
                    first_reservation = Some(memory);
                }
                BufferResult::Ended(ended) => return *ended,
            }
        }
        if !verdict.is_forwarded {
            return verdict.ended(verdict.outcome);
        }
        let (to, body_stream) = StreamedResponseBody::new(length);
        let body_begun = Instant::now();
        let streamed_body = ResponseBody::Streamed(body_stream);
        (hooks.begin_response)(EndpointResponse::new(head, length, streamed_body));
        if !first.is_empty() {
            // The channel is empty, so this cannot fail.
            let _ = to.try_send(ResponsePart::Data(first));
        }
        let counted = self.upstream.limits.max_buffered_body_bytes;
        let streamed = exchange
            .stream_body(&mut body, &to, counted, self.upstream.response_timeouts)
            .await;
        // The client need not wait until the connection has returned to the pool.
        drop(to);
        // The client may have read the first bytes late.
        drop(first_reservation);
        if streamed.failure.is_none() {
            self.upstream
                .return_to_pool(self.target, exchange, &hooks.is_endpoint_ready)
                .await;
        }
        let arrived_at = streamed
            .at
            .checked_sub(streamed.client_wait)
            .unwrap_or(body_begun);
        AttemptOutcome {
            at: arrived_at.max(body_begun) - excluded_latency,
            report: verdict.report,
            incomplete: streamed.incomplete,
            ..AttemptOutcome::ended_now(streamed.failure.unwrap_or(verdict.outcome))
        }
    }

    fn verdict(&self, head: &Head) -> Verdict {
        let outcome = outcome(self.upstream.protocol, head.status, &head.headers);
        let is_forwarded = self.is_http() || outcome == Outcome::Ok;
        Verdict {
            outcome,
            outcome_if_truncated: if is_forwarded {
                Outcome::Reset
            } else {
                outcome
            },
            is_forwarded,
            report: self.upstream.report(&head.headers),
            client_error: Some(head.status).filter(|_| outcome == Outcome::Cancelled),
        }
    }

    /// Returns the length of a response if its head is plausible. On the platform chunks exclude a
    /// `Content-Length`. A body with neither is complete if the connection is closed, and truncated
    /// if it is reset.
    fn trusted_length(&self, head: &Head) -> Option<BodyLength> {
        let length = body_length(&head.headers)?;
        let is_plausible = match length {
            BodyLength::Known(length) => length <= MAX_BODY_BYTES,
            BodyLength::Unknown => !head.headers.contains_key(header::CONTENT_LENGTH),
        };
        (self.is_http() || is_plausible).then_some(length)
    }

    /// Reserves memory for a response that is buffered: a failure response, since another attempt
    /// may follow, and on the platform any response that fits, since it can be retried if it is cut
    /// off. Returns `None` if the response is streamed.
    fn reserve_buffer(
        &self,
        length: &BodyLength,
        is_empty: bool,
        outcome: Outcome,
    ) -> Option<ResourceReservation> {
        let max = self.upstream.limits.max_buffered_body_bytes as u64;
        let expected = match length {
            _ if is_empty => Some(0),
            BodyLength::Known(length) => Some(*length).filter(|length| *length <= max),
            BodyLength::Unknown => Some(max).filter(|_| !self.is_http() || outcome != Outcome::Ok),
        };
        expected.and_then(|length| self.upstream.limits.bytes.try_reserve(length as usize))
    }

    async fn buffer(
        &self,
        exchange: &mut Exchange,
        body: &mut Incoming,
        until: Instant,
        memory: ResourceReservation,
        verdict: &Verdict,
    ) -> BufferResult {
        let max = self.upstream.limits.max_buffered_body_bytes;
        let pause = match self.upstream.protocol {
            UpstreamProtocol::Http => self.upstream.response_timeouts.endpoint_idle,
            UpstreamProtocol::Platform if verdict.is_forwarded => RELAYED_RESPONSE_IDLE_TIMEOUT,
            UpstreamProtocol::Platform => UNRELAYED_RESPONSE_IDLE_TIMEOUT,
        };
        let mut read = BytesMut::new();
        let collected = exchange.collect(body, max, pause, &mut read);
        let collected = timeout_at(until.into(), collected).await;
        let failure = match collected.unwrap_or(Err(BodyFailure::Stalled)) {
            Ok(true) => return BufferResult::Complete(Body::new(read.freeze(), memory)),
            Ok(false) => return BufferResult::TooLong(read.freeze(), memory),
            Err(failure) => failure,
        };
        let ended = match failure {
            BodyFailure::Truncated => {
                self.upstream.record_broken(self.target.endpoint);
                verdict.ended(verdict.outcome_if_truncated)
            }
            BodyFailure::Stalled if verdict.is_forwarded => {
                self.upstream
                    .close_idle_since(self.target.endpoint, self.started);
                AttemptOutcome::ended_now(Outcome::Timeout)
            }
            BodyFailure::Stalled => verdict.ended(verdict.outcome),
        };
        BufferResult::Ended(Box::new(AttemptOutcome {
            incomplete: Some(failure.cause()),
            ..ended
        }))
    }
}

/// Returns whether a body of this length ends with its connection.
fn ends_with_connection(head: &Head, length: BodyLength) -> bool {
    length == BodyLength::Unknown && !head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the result of an attempt with a complete response.
fn answered(verdict: Verdict, response: EndpointResponse, at: Instant) -> AttemptOutcome {
    if !verdict.is_forwarded {
        return AttemptOutcome {
            at,
            ..verdict.ended(verdict.outcome)
        };
    }
    AttemptOutcome::with_response(verdict.outcome, at, verdict.report, response)
}
