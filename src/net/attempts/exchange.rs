//! One exchange with an endpoint: the response head, and the body buffered or streamed.

use crate::net::stream::{OutboundBody, PartSender, ResponsePart};
use crate::net::upstream::{
    classify_protocol_end, AttemptTimes, ClientRequest, EndpointConnection, RequestBody,
    ResponseTimeouts, Reuse,
};
use bytes::{Bytes, BytesMut};
use dewrun_admin::IncompleteResponse;
use dewrun_balancer::Outcome;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::time::{Duration, Instant};
use tokio::time::error::Elapsed;
use tokio::time::{timeout, timeout_at};

/// Why the body of a response ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFailure {
    /// The connection ended, or what came on it is malformed.
    Truncated,
    /// The endpoint sent nothing for too long.
    Stalled,
}

impl BodyFailure {
    pub(super) fn cause(self) -> IncompleteResponse {
        match self {
            BodyFailure::Truncated => IncompleteResponse::CutOff,
            BodyFailure::Stalled => IncompleteResponse::Stalled,
        }
    }
}

/// One request and its response on one connection.
pub(super) struct Exchange {
    pub(super) conn: EndpointConnection,
    /// How the protocol ended, if it has: the connection cannot carry another request then.
    pub(super) protocol_end: Option<Reuse>,
}

impl Exchange {
    /// Creates an exchange on an idle connection.
    pub(super) fn new(conn: EndpointConnection) -> Exchange {
        Exchange {
            conn,
            protocol_end: None,
        }
    }

    /// Sends a request and waits for the response head. Returns `None` if the connection ended.
    pub(super) async fn send_request(
        &mut self,
        request: Request<OutboundBody>,
    ) -> Option<Response<Incoming>> {
        let response = self.conn.sender.send_request(request);
        tokio::pin!(response);
        tokio::select! {
            biased;
            response = &mut response => response.ok(),
            // A response that the protocol has read before its end is still available.
            end = &mut self.conn.protocol => {
                self.protocol_end = Some(classify_protocol_end(&end));
                response.await.ok()
            }
        }
    }

    /// Waits for the response head. Returns it if it arrives in time, and the client's deadline,
    /// until which the body of the response may arrive. A client whose body is streamed may set its
    /// response timeout from the end of that body; the deadline holds for the body itself. A request
    /// that is not completely written by [`AttemptTimes::write_by`] is abandoned then, and so was not
    /// executed.
    pub(super) async fn await_head(
        &mut self,
        request: Request<OutboundBody>,
        client_request: &ClientRequest,
        (until, times): (Instant, AttemptTimes),
    ) -> (Result<Option<Response<Incoming>>, Elapsed>, Instant) {
        let socket = self.conn.socket.clone();
        let head = self.send_request(request);
        tokio::pin!(head);
        let (RequestBody::Streamed(_, upload), Some(response_timeout)) =
            (&client_request.body, client_request.response_timeout)
        else {
            if let Some(by) = times.write_by.filter(|by| *by < until) {
                let response = timeout_at(by.into(), &mut head).await;
                if response.is_ok() || !socket.is_request_written() {
                    return (response, times.deadline);
                }
            }
            return (timeout_at(until.into(), head).await, times.deadline);
        };
        let ended = tokio::select! {
            biased;
            response = timeout_at(times.deadline.into(), &mut head) => {
                return (response, Instant::now() + response_timeout);
            }
            ended = upload.ended() => ended,
        };
        let until = ended + response_timeout.min(times.timeout);
        let deadline = ended + response_timeout;
        (timeout_at(until.into(), head).await, deadline)
    }

    /// Reads the next bytes of a body. Returns `None` at its end.
    async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, BodyFailure> {
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                end = &mut self.conn.protocol, if self.protocol_end.is_none() => {
                    self.protocol_end = Some(classify_protocol_end(&end));
                    continue;
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(BodyFailure::Truncated),
                // Trailers are not forwarded.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    Err(_) => {}
                },
            }
        }
    }

    /// Reads up to `max_bytes` bytes. Returns true if that was the complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut off, or pauses for more than `pause`.
    pub(super) async fn collect(
        &mut self,
        body: &mut Incoming,
        max_bytes: usize,
        pause: Duration,
        buffer: &mut BytesMut,
    ) -> Result<bool, BodyFailure> {
        while buffer.len() <= max_bytes {
            match timeout(pause, self.next_chunk(body))
                .await
                .unwrap_or(Err(BodyFailure::Stalled))?
            {
                Some(data) => buffer.extend_from_slice(&data),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Streams a body to its client until it ends, is cut off, or the client disconnects. Latency
    /// is measured over the first `counted_bytes` bytes.
    pub(super) async fn stream_body(
        &mut self,
        body: &mut Incoming,
        to: &PartSender,
        counted_bytes: usize,
        times: ResponseTimeouts,
    ) -> StreamResult {
        let mut streamed = StreamResult {
            failure: None,
            incomplete: None,
            at: Instant::now(),
            client_wait: Duration::ZERO,
        };
        let mut bytes = 0;
        loop {
            let wait_started = Instant::now();
            let Ok(Ok(permit)) = timeout(times.client_idle, to.reserve()).await else {
                return streamed.abandoned();
            };
            let waited = wait_started.elapsed();
            let part = tokio::select! {
                biased;
                part = timeout(times.endpoint_idle, self.next_chunk(body)) => {
                    part.unwrap_or(Err(BodyFailure::Stalled))
                }
                () = to.closed() => return streamed.abandoned(),
            };
            // Neither the wait for a slow client nor the length of a long response counts as
            // latency of the endpoint.
            if bytes <= counted_bytes {
                streamed.at = Instant::now();
                streamed.client_wait += waited;
            }
            match part {
                Ok(Some(data)) => {
                    bytes += data.len();
                    permit.send(ResponsePart::Data(data));
                }
                Ok(None) => {
                    permit.send(ResponsePart::End);
                    return streamed;
                }
                Err(failure) => {
                    streamed.incomplete = Some(failure.cause());
                    streamed.failure = Some(match failure {
                        BodyFailure::Truncated => Outcome::Reset,
                        BodyFailure::Stalled => Outcome::Timeout,
                    });
                    return streamed;
                }
            }
        }
    }
}

/// Result of streaming a body.
pub(super) struct StreamResult {
    /// Outcome, if it differs from that of the head.
    pub(super) failure: Option<Outcome>,
    /// Why the response was not relayed completely.
    pub(super) incomplete: Option<IncompleteResponse>,
    /// Time at which the last counted byte arrived.
    pub(super) at: Instant,
    /// Time that was spent waiting for the client within the counted bytes.
    pub(super) client_wait: Duration,
}

impl StreamResult {
    /// Returns the result of a response that its client does not read to the end.
    fn abandoned(self) -> StreamResult {
        StreamResult {
            failure: Some(Outcome::Cancelled),
            incomplete: Some(IncompleteResponse::Unread),
            ..self
        }
    }
}
