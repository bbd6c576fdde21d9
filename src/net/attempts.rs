//! Attempts at backends. An answer of any length goes out as it comes. For ordinary callers any
//! status is passed on, and what may have run is told more carefully than on the platform, whose
//! backends begin a request with its last byte: an ordinary service may act on a head alone.

use super::limits::{Body, ANSWER_PAUSE, MESSAGE_MOST};
use super::stream::{AnswerBody, Cut, OutBody, Parts, Passing};
use super::upstream::{
    Answer, AnswerTimes, AttemptTimes, Conn, Ended, InBody, Inbound, Manner, Upstream, NOT_STARTED,
    TIMEOUT_HEADER,
};
use bytes::{Bytes, BytesMut};
use dewrun_balancer::{EndpointId, Outcome};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::error::Elapsed;
use tokio::time::{timeout, timeout_at};

/// Headers that speak of one connection and stay on it, and those that are written anew.
const OWN_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// The most that is read of a probe's answer.
const PROBE_MOST: usize = 4 * 1024;

/// How an answer says how long it is (RFC 9112, 6.3).
enum Length {
    Known(u64),
    /// By chunks, or by the end of its connection.
    Open,
}

/// Reads an answer's length; `None` if it is told in a way that can't be trusted.
fn length(headers: &HeaderMap) -> Option<Length> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => {}
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            return Some(Length::Open)
        }
        _ => return None,
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(Length::Open),
        (Some(length), None) => length.to_str().ok()?.parse().ok().map(Length::Known),
        _ => None,
    }
}

/// What an answer's head says of the attempt.
fn outcome(manner: Manner, status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unseen = headers.get(NOT_STARTED).is_some_and(|value| value == "1");
    match (status, manner) {
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) if unseen => {
            Outcome::Full
        }
        (status, Manner::Ordinary) if status.is_server_error() => Outcome::Error,
        (_, Manner::Ordinary) | (StatusCode::OK, _) => Outcome::Ok,
        (StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS, _) => Outcome::Error,
        // The request's own fault: no word on the backend's health, and no claim that it never ran.
        (status, _) if status.is_client_error() => Outcome::Cancelled,
        _ => Outcome::Error,
    }
}

fn outbound(
    manner: Manner,
    inbound: &Inbound,
    address: SocketAddr,
    left_ms: u64,
) -> Option<Request<OutBody>> {
    let body = match &inbound.body {
        InBody::Kept(body) => OutBody::Whole(Full::new(body.bytes.clone())),
        InBody::Once(body, _) => OutBody::Stream(body.take()?),
    };
    let mut request = Request::new(body);
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = Uri::from(inbound.path.clone());
    let mut headers = inbound.headers.clone();
    if manner == Manner::Platform {
        OWN_HEADERS
            .iter()
            .for_each(|name| drop(headers.remove(name)));
        headers.remove("keep-alive");
    }
    // The length is told anew, by what the body knows of itself.
    headers.remove(header::CONTENT_LENGTH);
    headers.insert(TIMEOUT_HEADER, HeaderValue::from(left_ms));
    if !headers.contains_key(header::HOST) {
        headers.insert(
            header::HOST,
            HeaderValue::from_str(&address.to_string()).ok()?,
        );
    }
    *request.headers_mut() = headers;
    Some(request)
}

/// How many whole milliseconds are left, one at the least; `None` if the time is up. Guards against
/// an outage: what is left of a short time-out is no reason to give up as long as it is not over.
fn left_ms(until: Instant) -> Option<u64> {
    let left = until.saturating_duration_since(Instant::now());
    (!left.is_zero()).then(|| (left.as_millis() as u64).max(1))
}

/// One exchange on one connection, with what is known of its protocol.
struct Exchange<'a> {
    conn: &'a mut Conn,
    protocol_over: bool,
}

impl Exchange<'_> {
    async fn head(&mut self, request: Request<OutBody>) -> Option<Response<Incoming>> {
        let answer = self.conn.sender.send_request(request);
        tokio::pin!(answer);
        tokio::select! {
            biased;
            answer = &mut answer => answer.ok(),
            // What the protocol has read before its end is still to be had.
            _ = &mut self.conn.protocol => {
                self.protocol_over = true;
                answer.await.ok()
            }
        }
    }

    /// The head of an answer, if it comes in time, and until when the rest may come. A caller whose
    /// body goes out as it comes may say how long it waits from the end of that; what is left
    /// for the body itself is its deadline. A request that is not written whole when it must be
    /// is given up there, and so has not run.
    async fn answered(
        &mut self,
        request: Request<OutBody>,
        inbound: &Inbound,
        (until, times): (Instant, AttemptTimes),
    ) -> (Result<Option<Response<Incoming>>, Elapsed>, Instant) {
        let wire = self.conn.wire.clone();
        let head = self.head(request);
        tokio::pin!(head);
        let (InBody::Once(_, upload), Some(patience)) = (&inbound.body, inbound.patience) else {
            if let Some(by) = times.write_by.filter(|by| *by < until) {
                let answer = timeout_at(by.into(), &mut head).await;
                if answer.is_ok() || !wire.request_whole() {
                    return (answer, until);
                }
            }
            return (timeout_at(until.into(), head).await, until);
        };
        let ended = tokio::select! {
            biased;
            answer = timeout_at(times.deadline.into(), &mut head) => {
                return (answer, Instant::now() + patience);
            }
            ended = upload.ended() => ended,
        };
        let until = ended + patience.min(times.most);
        (timeout_at(until.into(), head).await, until)
    }

    /// The next bytes of a body; `None` at its end.
    async fn part(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Cut> {
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                _ = &mut self.conn.protocol, if !self.protocol_over => {
                    self.protocol_over = true;
                    continue;
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(Cut),
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
    async fn collect(
        &mut self,
        body: &mut Incoming,
        most: usize,
        pause: Duration,
        into: &mut BytesMut,
    ) -> Result<bool, Cut> {
        while into.len() <= most {
            match timeout(pause, self.part(body)).await.unwrap_or(Err(Cut))? {
                Some(data) => into.extend_from_slice(&data),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Passes a body on until its end, its break, or the caller's. Gives the outcome, if it is not
    /// the one of the head, and how much of the time went to waiting for the caller within the
    /// first `counted` bytes, and when those were there.
    async fn pass(
        &mut self,
        body: &mut Incoming,
        to: &Parts,
        counted: usize,
        times: AnswerTimes,
    ) -> Passed {
        let mut passed = Passed {
            broke: None,
            at: Instant::now(),
            waited: Duration::ZERO,
        };
        let mut bytes = 0;
        loop {
            let waits = Instant::now();
            let Ok(Ok(room)) = timeout(times.caller_idle, to.reserve()).await else {
                passed.broke = Some(Outcome::Cancelled);
                return passed;
            };
            let waited = waits.elapsed();
            let part = tokio::select! {
                biased;
                part = timeout(times.answer_idle, self.part(body)) => part,
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
                Ok(Err(Cut)) => {
                    room.send(Err(Cut));
                    passed.broke = Some(Outcome::Reset);
                    return passed;
                }
                Err(_) => {
                    room.send(Err(Cut));
                    passed.broke = Some(Outcome::Timeout);
                    return passed;
                }
            }
        }
    }
}

struct Passed {
    broke: Option<Outcome>,
    at: Instant,
    waited: Duration,
}

impl Upstream {
    /// One attempt of a request, which ends at its deadline or after its time. `may_begin` is asked
    /// before a connection is taken and directly before the first byte goes out, and what it
    /// objects is the outcome; `still_there` is asked before the connection is kept. An answer
    /// that can be held is given when this returns. Another is handed to `begin` with its head,
    /// and this returns when its body has ended; from then on the request is answered and nothing
    /// is tried again. When this returns, the request is no longer out on any open connection.
    pub async fn attempt(
        &self,
        (backend, address): (EndpointId, SocketAddr),
        inbound: &Inbound,
        times: AttemptTimes,
        may_begin: impl Fn() -> Result<(), Outcome>,
        still_there: impl Fn() -> bool,
        begin: impl FnOnce(Answer),
    ) -> Ended {
        let sent = Instant::now();
        if let Err(outcome) = may_begin() {
            return Ended::now(outcome);
        }
        // A body that goes out once can't follow a pooled connection that turns out to be dead to a
        // fresh one.
        let once = matches!(inbound.body, InBody::Once(..));
        let ordinary = self.manner == Manner::Ordinary;
        let mut idle = if once {
            None
        } else {
            self.take_idle(backend, address, ordinary).await
        };
        // A rest just now does not count, neither for the time-out nor as the backend's.
        let rested = sent.elapsed();
        let until = times.deadline.min(Instant::now() + times.most);
        loop {
            let pooled = idle.is_some();
            let mut conn = match idle.take() {
                Some(conn) => conn,
                None => match self.connect(address, until, times.connect).await {
                    Ok(conn) => conn,
                    Err(outcome) => return Ended::now(outcome),
                },
            };
            if let Err(outcome) = may_begin() {
                return Ended::now(outcome);
            }
            let Some(left) = left_ms(until) else {
                return Ended::now(Outcome::NotSent);
            };
            let Some(request) = outbound(self.manner, inbound, address, left) else {
                return Ended::now(Outcome::NotSent);
            };
            // A length that is not told can't be followed on the wire: such a body is out once it
            // has ended here.
            let bytes = request
                .body()
                .size_hint()
                .exact()
                .map_or(usize::MAX, |bytes| bytes as usize);
            conn.wire.begin_request(bytes, self.forwards.clone());
            let begun = Instant::now();
            let mut exchange = Exchange {
                conn: &mut conn,
                protocol_over: false,
            };
            let (answered, until) = exchange.answered(request, inbound, (until, times)).await;
            let ended_at = match &inbound.body {
                InBody::Once(_, upload) => upload.ended_at(),
                InBody::Kept(_) => None,
            };
            if ended_at.is_some() {
                exchange.conn.wire.end_request();
            }
            // The time in which a body came is its caller's, where that waits from its end.
            let uploaded = ended_at.filter(|_| inbound.patience.is_some());
            let not_its =
                rested + uploaded.map_or(Duration::ZERO, |at| at.saturating_duration_since(begun));
            let response = match answered {
                Ok(Some(response)) => response,
                Ok(None) if pooled && !conn.wire.request_begun() => {
                    // It died in the pool and not a byte of the request went out: a fresh one
                    // serves as well.
                    continue;
                }
                ended => {
                    if inbound.body.is_cut() {
                        // Its caller's fault: no word on the backend.
                        return Ended::now(Outcome::Cancelled);
                    }
                    // A machine that was cut off says nothing, and its pooled connections look
                    // alive for ever. A fresh one fails soon, and with nothing
                    // sent. What has carried an answer meanwhile is alive; and any
                    // other end speaks of its own connection alone.
                    if ended.is_err() {
                        self.close_idle_since(backend, sent);
                    }
                    let may_have_run = match self.manner {
                        Manner::Platform => conn.wire.request_whole(),
                        Manner::Ordinary => conn.wire.request_head_whole(),
                    };
                    return Ended::now(match (may_have_run, ended) {
                        (false, _) => Outcome::ConnectFailed,
                        (true, Ok(_)) => Outcome::Reset,
                        (true, Err(_)) => Outcome::Timeout,
                    });
                }
            };
            let (head, mut body) = response.into_parts();
            let report = self.report(&head.headers);
            let outcome = outcome(self.manner, head.status, &head.headers);
            // On the platform only a good answer has a body that anybody wants.
            let wanted = ordinary || outcome == Outcome::Ok;
            let spoilt = if wanted { Outcome::Reset } else { outcome };
            let rejected = Some(head.status).filter(|_| outcome == Outcome::Cancelled);
            let bodiless = body.is_end_stream() || inbound.method == Method::HEAD;
            let length = length(&head.headers).filter(|length| {
                // What only the connection's end ends can't be told from what was cut short, nor
                // which of two lengths is meant.
                let told = |name| head.headers.contains_key(name);
                let sound = match length {
                    Length::Known(length) => *length <= MESSAGE_MOST,
                    Length::Open => {
                        told(header::TRANSFER_ENCODING) && !told(header::CONTENT_LENGTH)
                    }
                };
                ordinary || sound
            });
            let Some(length) = length else {
                return Ended {
                    report,
                    rejected,
                    ..Ended::now(spoilt)
                };
            };
            let most = self.limits.body_most;
            // What fits is held: a backend's last word, since another attempt may follow it, and on
            // the platform any answer, since one that breaks off can then be tried
            // again.
            let expected = match length {
                _ if bodiless => Some(0),
                Length::Known(length) => Some(length).filter(|length| *length <= most as u64),
                Length::Open => Some(most as u64).filter(|_| !ordinary || outcome != Outcome::Ok),
            };
            let room = expected.and_then(|length| self.limits.bytes.take(length as usize));
            let mut first = BytesMut::new();
            if let Some(room) = room {
                let pause = if ordinary {
                    self.times.answer_idle
                } else {
                    ANSWER_PAUSE
                };
                let whole = exchange.collect(&mut body, most, pause, &mut first);
                let whole = timeout_at(until.into(), whole).await;
                let at = exchange.conn.wire.last_read() - not_its;
                match whole {
                    Ok(Ok(true)) => {
                        let over = exchange.protocol_over;
                        self.keep(backend, address, conn, over, &still_there).await;
                        if !wanted {
                            return Ended {
                                at,
                                report,
                                rejected,
                                ..Ended::now(outcome)
                            };
                        }
                        let body = AnswerBody::Whole(Body::new(first.freeze(), room));
                        let answer = Answer {
                            status: head.status,
                            headers: head.headers,
                            body,
                        };
                        return Ended::answered(outcome, at, report, answer);
                    }
                    // Too long to hold after all: it goes out as it comes.
                    Ok(Ok(false)) => {}
                    Ok(Err(Cut)) => {
                        return Ended {
                            report,
                            rejected,
                            ..Ended::now(spoilt)
                        }
                    }
                    Err(_) if wanted => {
                        self.close_idle_since(backend, sent);
                        return Ended::now(Outcome::Timeout);
                    }
                    Err(_) => {}
                }
            }
            if !wanted {
                return Ended {
                    report,
                    rejected,
                    ..Ended::now(outcome)
                };
            }
            let known = match length {
                Length::Known(length) => Some(length),
                Length::Open => None,
            };
            let (to, passing) = Passing::new(known);
            let body_begun = Instant::now();
            begin(Answer {
                status: head.status,
                headers: head.headers,
                body: AnswerBody::Passing(passing),
            });
            if !first.is_empty() {
                // There is room: nothing was put there yet.
                let _ = to.try_send(Ok(first.freeze()));
            }
            let passed = exchange.pass(&mut body, &to, most, self.times).await;
            let over = exchange.protocol_over;
            if passed.broke.is_none() {
                self.keep(backend, address, conn, over, &still_there).await;
            }
            let at = passed
                .at
                .checked_sub(passed.waited)
                .unwrap_or(body_begun)
                .max(body_begun)
                - not_its;
            let outcome = passed.broke.unwrap_or(outcome);
            return Ended {
                at,
                report,
                ..Ended::now(outcome)
            };
        }
    }

    /// Checks a backend once, on a connection of its own.
    pub async fn probe(&self, address: SocketAddr, path: &'static str) -> Ended {
        let until = Instant::now() + self.connect_timeout * 2;
        let mut conn = match self.connect(address, until, self.connect_timeout).await {
            Ok(conn) => conn,
            Err(outcome) => return Ended::now(outcome),
        };
        let request = Request::get(path).header(header::HOST, address.to_string());
        let request = request
            .body(OutBody::Whole(Full::default()))
            .expect("a fixed path and an address are valid");
        let mut exchange = Exchange {
            conn: &mut conn,
            protocol_over: false,
        };
        let response = match timeout_at(until.into(), exchange.head(request)).await {
            Err(_) => return Ended::now(Outcome::Timeout),
            Ok(None) => return Ended::now(Outcome::Reset),
            Ok(Some(response)) => response,
        };
        let (head, mut body) = response.into_parts();
        let mut report = self.report(&head.headers);
        if report.len == 0 {
            let mut text = BytesMut::new();
            let whole = exchange.collect(&mut body, PROBE_MOST, ANSWER_PAUSE, &mut text);
            if let Ok(Ok(true)) = timeout_at(until.into(), whole).await {
                report = self.parse_report(std::str::from_utf8(&text).unwrap_or_default());
            }
        }
        let outcome = if head.status == StatusCode::OK {
            Outcome::Ok
        } else {
            Outcome::Error
        };
        Ended {
            at: conn.wire.last_read(),
            report,
            ..Ended::now(outcome)
        }
    }

    /// Puts a connection back, if it can carry another request.
    async fn keep(
        &self,
        backend: EndpointId,
        address: SocketAddr,
        mut conn: Conn,
        protocol_over: bool,
        still_there: impl Fn() -> bool,
    ) {
        if !protocol_over && conn.settle().await && still_there() {
            self.put_idle(backend, address, conn);
        }
    }
}

#[cfg(test)]
mod tests;
