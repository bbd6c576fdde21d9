//! Attempts: one request sent to one endpoint, and the result.
//!
//! The phases of [`Upstream::attempt`]:
//!
//! 1. take an idle connection, or open one;
//! 2. call [`AttemptHooks::check_permission`] once more, which may wait, write the request, and
//!    wait for the response head (`Attempt::send`);
//! 3. buffer the response until it is complete, or pass its head to
//!    [`AttemptHooks::begin_response`] and stream its body (`Attempt::receive` in `response`).
//!
//! Whether a failed request may have been executed is judged more carefully for an operator's
//! endpoints than for the platform's, which start a request with its last byte: an ordinary server
//! may act on the request head alone.
//!
//! Dropping the future of an attempt closes its connection, so that no part of it stays in flight.

mod exchange;
mod message;
mod response;

use super::limits::UNRELAYED_RESPONSE_IDLE_TIMEOUT;
use super::stream::OutboundBody;
use super::upstream::{
    AttemptOutcome, AttemptTimes, ClientRequest, EndpointConnection, EndpointResponse, RequestBody,
    Reuse, Upstream, UpstreamProtocol,
};
use bytes::BytesMut;
use dewrun_balancer::{EndpointId, Outcome};
use exchange::Exchange;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header;
use hyper::{Request, Response, StatusCode};
use message::{outbound_request, remaining_ms};
use response::Received;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::error::Elapsed;
use tokio::time::timeout_at;

/// Maximum size of a health check response that is read.
const MAX_PROBE_RESPONSE_BYTES: usize = 4 * 1024;

/// Time for which [`AttemptHooks::check_permission`] stays valid. After it, for example if the
/// process was suspended, the hook is called again.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(100);

/// Target of an attempt.
#[derive(Clone, Copy)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// Callbacks to the owner of a request during an attempt.
pub struct AttemptHooks<CheckPermission, IsEndpointReady, BeginResponse> {
    /// Called before a connection is taken, and directly before the first byte is written. It may
    /// wait first, and returns the time as of which the attempt may start. An error is the outcome
    /// of the attempt, which was not executed.
    pub check_permission: CheckPermission,
    /// Called before the connection returns to the pool; returns whether the endpoint is still
    /// ready.
    pub is_endpoint_ready: IsEndpointReady,
    /// Called with a streamed response and its head: from then on the request is answered and is
    /// not retried.
    pub begin_response: BeginResponse,
}

impl Upstream {
    /// Makes one attempt, which ends at the deadline of the request or after its timeout. A
    /// response that can be buffered is part of the result; another is passed to
    /// [`AttemptHooks::begin_response`], and this returns when its body has ended. On return the
    /// request is not in flight on any open connection.
    pub async fn attempt<CheckPermission, IsEndpointReady, BeginResponse>(
        &self,
        target: Target,
        client_request: &ClientRequest,
        times: AttemptTimes,
        hooks: AttemptHooks<CheckPermission, IsEndpointReady, BeginResponse>,
    ) -> AttemptOutcome
    where
        CheckPermission: AsyncFn() -> Result<Instant, Outcome>,
        IsEndpointReady: Fn() -> bool,
        BeginResponse: FnOnce(EndpointResponse),
    {
        let started = Instant::now();
        if let Err(outcome) = (hooks.check_permission)().await {
            return AttemptOutcome::ended_now(outcome);
        }
        let mut idle = self.idle_connection(target, client_request, times).await;
        let mut attempt = Attempt {
            upstream: self,
            target,
            client_request,
            times,
            started,
            // A wait for an idle connection counts neither towards the timeout nor as the
            // endpoint's latency.
            reuse_wait: started.elapsed(),
            until: times.deadline.min(Instant::now() + times.timeout),
        };
        loop {
            let is_pooled = idle.is_some();
            let conn = match idle.take() {
                Some(conn) => conn,
                None => match self
                    .connect(target.address, attempt.until, times.connect_timeout)
                    .await
                {
                    Ok(conn) => conn,
                    Err(outcome) => {
                        if outcome == Outcome::ConnectFailed {
                            self.record_broken(target.endpoint);
                        }
                        return AttemptOutcome::ended_now(outcome);
                    }
                },
            };
            let permitted_at = match (hooks.check_permission)().await {
                Ok(at) => at,
                Err(outcome) => return AttemptOutcome::ended_now(outcome),
            };
            attempt.restart_elapsed_timeout();
            match attempt.send(conn, is_pooled, permitted_at).await {
                SendResult::Response(response) => return attempt.receive(response, hooks).await,
                // No byte of the request was sent, so a new connection can be used.
                SendResult::StaleConnection | SendResult::StalePermission => {}
                SendResult::Ended(ended) => return ended,
            }
        }
    }

    /// Takes an idle connection for a request. A streamed body could not be sent again on a new
    /// connection if the pooled one turned out to be closed.
    async fn idle_connection(
        &self,
        target: Target,
        client_request: &ClientRequest,
        times: AttemptTimes,
    ) -> Option<EndpointConnection> {
        if matches!(client_request.body, RequestBody::Streamed(..)) {
            return None;
        }
        self.take_idle(target, times).await
    }

    /// Sends one health check to an endpoint on a new connection.
    pub async fn probe(&self, address: SocketAddr, path: &'static str) -> AttemptOutcome {
        let until = Instant::now() + self.connect_timeout * 2;
        let conn = match self.connect(address, until, self.connect_timeout).await {
            Ok(conn) => conn,
            Err(outcome) => return AttemptOutcome::ended_now(outcome),
        };
        let request = Request::get(path).header(header::HOST, address.to_string());
        let request = request
            .body(OutboundBody::Buffered(Full::default()))
            .expect("a fixed path and an address are valid");
        let mut exchange = Exchange::new(conn);
        let response = match timeout_at(until.into(), exchange.send_request(request)).await {
            Err(_) => return AttemptOutcome::ended_now(Outcome::Timeout),
            Ok(None) => return AttemptOutcome::ended_now(Outcome::Reset),
            Ok(Some(response)) => response,
        };
        let (head, mut body) = response.into_parts();
        let mut report = self.report(&head.headers);
        if report.len == 0 {
            let mut text = BytesMut::new();
            let complete = exchange.collect(
                &mut body,
                MAX_PROBE_RESPONSE_BYTES,
                UNRELAYED_RESPONSE_IDLE_TIMEOUT,
                &mut text,
            );
            if let Ok(Ok(true)) = timeout_at(until.into(), complete).await {
                report = self.parse_report(std::str::from_utf8(&text).unwrap_or_default());
            }
        }
        let outcome = if head.status == StatusCode::OK {
            Outcome::Ok
        } else {
            Outcome::Error
        };
        AttemptOutcome {
            at: exchange.conn.socket.last_read(),
            report,
            ..AttemptOutcome::ended_now(outcome)
        }
    }

    /// Returns a connection to the pool if it can carry another request.
    async fn return_to_pool(
        &self,
        target: Target,
        mut exchange: Exchange,
        is_endpoint_ready: impl Fn() -> bool,
    ) {
        let reuse = match exchange.protocol_end {
            Some(end) => end,
            None => exchange.conn.settle().await,
        };
        match reuse {
            Reuse::Possible if is_endpoint_ready() => {
                self.put_idle(target.endpoint, target.address, exchange.conn);
            }
            Reuse::Possible | Reuse::Closed => {}
            Reuse::Unsolicited => self.record_unsolicited(target.endpoint, target.address),
        }
    }
}

/// An attempt in progress.
struct Attempt<'a> {
    upstream: &'a Upstream,
    target: Target,
    client_request: &'a ClientRequest,
    times: AttemptTimes,
    started: Instant,
    reuse_wait: Duration,
    /// Time at which the attempt times out.
    until: Instant,
}

/// Result of sending the request.
enum SendResult {
    Response(Received),
    /// The pooled connection was closed before a byte was sent.
    StaleConnection,
    /// No byte was sent before the permission expired.
    StalePermission,
    Ended(AttemptOutcome),
}

impl Attempt<'_> {
    /// Restarts a timeout that elapsed before the first byte could be written, on a busy machine or
    /// after a slow connection: the request has time left, and the endpoint is not at fault.
    fn restart_elapsed_timeout(&mut self) {
        let now = Instant::now();
        if now >= self.until {
            self.until = self.times.deadline.min(now + self.times.timeout);
        }
    }

    /// Writes the request, which was permitted at `permitted_at`, and waits for the response head.
    async fn send(
        &self,
        conn: EndpointConnection,
        is_pooled: bool,
        permitted_at: Instant,
    ) -> SendResult {
        let upstream = self.upstream;
        let request = remaining_ms(self.until).and_then(|remaining_ms| {
            outbound_request(
                upstream.protocol,
                self.client_request,
                self.target.address,
                remaining_ms,
            )
        });
        let Some(request) = request else {
            return SendResult::Ended(AttemptOutcome::ended_now(Outcome::NotSent));
        };
        // Without a known length, the end of the body cannot be detected on the socket: the request
        // is written once the upload has ended.
        let bytes = request.body().size_hint().exact();
        let bytes = bytes.map_or(usize::MAX, |bytes| bytes as usize);
        let begun = Instant::now();
        let first_byte_by = permitted_at + MAX_WRITE_DELAY;
        conn.socket
            .begin_request(bytes, first_byte_by, upstream.written_attempts.clone());
        let mut exchange = Exchange::new(conn);
        let (answered, until) = exchange
            .await_head(request, self.client_request, (self.until, self.times))
            .await;
        let upload_ended_at = self.end_upload(&exchange);
        // If the client waits from the end of its upload, the duration of the upload is not latency
        // of the endpoint.
        let upload_end = upload_ended_at.filter(|_| self.client_request.response_timeout.is_some());
        let upload_duration =
            upload_end.map_or(Duration::ZERO, |at| at.saturating_duration_since(begun));
        match answered {
            Ok(Some(response)) => SendResult::Response(Received {
                exchange,
                response,
                until,
                excluded_latency: self.reuse_wait + upload_duration,
            }),
            Ok(None) if exchange.conn.socket.is_first_byte_late() => SendResult::StalePermission,
            Ok(None) if is_pooled && !exchange.conn.socket.has_begun_request() => {
                self.record_if_unsolicited(&exchange);
                SendResult::StaleConnection
            }
            ended => SendResult::Ended(self.without_response(&exchange, ended)),
        }
    }

    /// Records bytes that arrived between the last check of a connection and the first byte of a
    /// request; no request asked for them.
    fn record_if_unsolicited(&self, exchange: &Exchange) {
        if exchange.protocol_end == Some(Reuse::Unsolicited) {
            let Target { endpoint, address } = self.target;
            self.upstream.record_unsolicited(endpoint, address);
        }
    }

    /// Returns the time at which a streamed body ended, if it has, and marks the request as
    /// written.
    fn end_upload(&self, exchange: &Exchange) -> Option<Instant> {
        let RequestBody::Streamed(_, upload) = &self.client_request.body else {
            return None;
        };
        let ended_at = upload.ended_at();
        if ended_at.is_some() {
            exchange.conn.socket.end_request();
        }
        ended_at
    }

    /// Returns the result of an attempt without a response.
    fn without_response(
        &self,
        exchange: &Exchange,
        ended: Result<Option<Response<Incoming>>, Elapsed>,
    ) -> AttemptOutcome {
        if self.client_request.body.is_interrupted() {
            // The client broke off the body, which says nothing about the endpoint.
            return AttemptOutcome::ended_now(Outcome::Cancelled);
        }
        if ended.is_err() {
            // A machine that lost its network sends nothing, and pooled connections to it look open
            // forever. A new connection fails soon without sending a request. A connection that has
            // carried a response since is alive.
            self.upstream
                .close_idle_since(self.target.endpoint, self.started);
        }
        if ended.is_ok() {
            self.upstream.record_broken(self.target.endpoint);
        }
        let socket = &exchange.conn.socket;
        let may_have_been_executed = match self.upstream.protocol {
            UpstreamProtocol::Platform => socket.is_request_written(),
            UpstreamProtocol::Http => socket.is_request_head_written(),
        };
        AttemptOutcome::ended_now(match (may_have_been_executed, ended) {
            (false, _) => Outcome::ConnectFailed,
            (true, Ok(_)) => Outcome::Reset,
            (true, Err(_)) => Outcome::Timeout,
        })
    }
}

#[cfg(test)]
mod tests;
