//! One exchange with an endpoint: the head of a response, and its body held or streamed.

use crate::net::stream::{OutboundBody, Parts, TruncatedMessage};
use crate::net::upstream::{
    reuse_after, AttemptTimes, ClientRequest, EndpointConnection, RequestBody, ResponseTimeouts,
    Reuse,
};
use bytes::{Bytes, BytesMut};
use dewrun_balancer::Outcome;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::time::{Duration, Instant};
use tokio::time::error::Elapsed;
use tokio::time::{timeout, timeout_at};

/// One request and its response on one connection.
pub(super) struct Exchange {
    pub(super) conn: EndpointConnection,
    /// How the protocol ended, if it has: then the connection can't carry another request.
    pub(super) protocol_end: Option<Reuse>,
}

impl Exchange {
    /// An exchange on a connection that carries nothing.
    pub(super) fn new(conn: EndpointConnection) -> Exchange {
        Exchange {
            conn,
            protocol_end: None,
        }
    }

    /// Sends a request and waits for the head of its response; `None` if the connection ended.
    pub(super) async fn head(
        &mut self,
        request: Request<OutboundBody>,
    ) -> Option<Response<Incoming>> {
        let answer = self.conn.sender.send_request(request);
        tokio::pin!(answer);
        tokio::select! {
            biased;
            answer = &mut answer => answer.ok(),
            // What the protocol has read before its end is still to be had.
            end = &mut self.conn.protocol => {
                self.protocol_end = Some(reuse_after(&end));
                answer.await.ok()
            }
        }
    }

    /// The head of the response, if it arrives in time, and until when its body may arrive. A client
    /// whose body is streamed may say how long it waits from the end of that body; the deadline
    /// holds for the body itself. A request that is not completely written by
    /// [`AttemptTimes::write_by`] is given up then, and so has not run.
    pub(super) async fn answered(
        &mut self,
        request: Request<OutboundBody>,
        client_request: &ClientRequest,
        (until, times): (Instant, AttemptTimes),
    ) -> (Result<Option<Response<Incoming>>, Elapsed>, Instant) {
        let socket = self.conn.socket.clone();
        let head = self.head(request);
        tokio::pin!(head);
        let (RequestBody::Streamed(_, upload), Some(response_timeout)) =
            (&client_request.body, client_request.response_timeout)
        else {
            if let Some(by) = times.write_by.filter(|by| *by < until) {
                let answer = timeout_at(by.into(), &mut head).await;
                if answer.is_ok() || !socket.is_request_written() {
                    return (answer, until);
                }
            }
            return (timeout_at(until.into(), head).await, until);
        };
        let ended = tokio::select! {
            biased;
            answer = timeout_at(times.deadline.into(), &mut head) => {
                return (answer, Instant::now() + response_timeout);
            }
            ended = upload.ended() => ended,
        };
        let until = ended + response_timeout.min(times.most);
        (timeout_at(until.into(), head).await, until)
    }

    /// The next bytes of a body; `None` at its end.
    async fn part(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, TruncatedMessage> {
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                end = &mut self.conn.protocol, if self.protocol_end.is_none() => {
                    self.protocol_end = Some(reuse_after(&end));
                    continue;
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(TruncatedMessage),
                // Trailers end here.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Ok(Some(data)),
                    Err(_) => {}
                },
            }
        }
    }

    /// Reads up to `most` bytes; true if that was all. A pause of more than `pause` cuts it.
    pub(super) async fn collect(
        &mut self,
        body: &mut Incoming,
        most: usize,
        pause: Duration,
        into: &mut BytesMut,
    ) -> Result<bool, TruncatedMessage> {
        while into.len() <= most {
            match timeout(pause, self.part(body))
                .await
                .unwrap_or(Err(TruncatedMessage))?
            {
                Some(data) => into.extend_from_slice(&data),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Streams a body to its client until it ends, breaks, or the client leaves. Latency is counted
    /// over the first `counted` bytes.
    pub(super) async fn pass(
        &mut self,
        body: &mut Incoming,
        to: &Parts,
        counted: usize,
        times: ResponseTimeouts,
    ) -> Passed {
        let mut passed = Passed {
            broke: None,
            at: Instant::now(),
            waited: Duration::ZERO,
        };
        let mut bytes = 0;
        loop {
            let waits = Instant::now();
            let Ok(Ok(room)) = timeout(times.client_idle, to.reserve()).await else {
                passed.broke = Some(Outcome::Cancelled);
                return passed;
            };
            let waited = waits.elapsed();
            let part = tokio::select! {
                biased;
                part = timeout(times.endpoint_idle, self.part(body)) => part,
                () = to.closed() => {
                    passed.broke = Some(Outcome::Cancelled);
                    return passed;
                }
            };
            // What a slow caller costs is not the backend's; nor is the length of a long answer.
            if bytes <= counted {
                passed.at = Instant::now();
                passed.waited += waited;
            }
            match part {
                Ok(Ok(Some(data))) => {
                    bytes += data.len();
                    room.send(Ok(data));
                }
                Ok(Ok(None)) => return passed,
                Ok(Err(TruncatedMessage)) => {
                    room.send(Err(TruncatedMessage));
                    passed.broke = Some(Outcome::Reset);
                    return passed;
                }
                Err(_) => {
                    room.send(Err(TruncatedMessage));
                    passed.broke = Some(Outcome::Timeout);
                    return passed;
                }
            }
        }
    }
}

/// How the streaming of a body ended.
pub(super) struct Passed {
    /// The outcome, if it is not that of the head.
    pub(super) broke: Option<Outcome>,
    /// When the last counted byte arrived.
    pub(super) at: Instant,
    /// How long the client was waited for within the counted bytes.
    pub(super) waited: Duration,
}
