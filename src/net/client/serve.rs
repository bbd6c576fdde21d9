//! HTTP/1.1 on one client connection.

use super::accept::REJECT_TIMEOUT;
use super::connection::{BusyGuard, ClientConnection, CloseRequest, TruncationGuard};
use super::responses::OVERLOAD_RESPONSE;
use super::{ClientResponse, ClientServer, RequestHandler};
use crate::net::limits::MAX_READ_AHEAD_BYTES;
use crate::net::stream::ClientResponseBody;
use crate::net::trace::step;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode, Version};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// How long a connection with a requested close may take to receive the head that it has begun.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connection is closed before HTTP has ended on it.
#[derive(Clone, Copy)]
enum ForcedClose {
    Evicted,
    IncompleteHead,
    StalledResponse,
}

impl ForcedClose {
    fn text(self) -> &'static str {
        match self {
            ForcedClose::Evicted => "gives way",
            ForcedClose::IncompleteHead => "does not end",
            ForcedClose::StalledResponse => "does not read",
        }
    }
}

impl<H: RequestHandler> ClientServer<H> {
    /// Serves a connection until it ends. Dropping the future closes the socket and cancels the
    /// request in progress.
    pub(super) async fn serve_connection(self: Rc<Self>, connection: Rc<ClientConnection>) {
        let forced = self.run_protocol(&connection).await;
        if matches!(forced, Some(ForcedClose::StalledResponse)) {
            // A client that gets no chunks would take the end of the stream for that of the body.
            connection.socket.reset_on_close();
        }
        // A request that arrives during a forced close gets a rejection rather than a reset.
        let has_request = connection.is_reading_body.get() || connection.socket.has_unread();
        let sends_rejection =
            forced.is_some() && !connection.socket.is_write_blocked() && has_request;
        if sends_rejection {
            let _ = timeout(
                REJECT_TIMEOUT,
                connection.socket.send_final_response(OVERLOAD_RESPONSE),
            )
            .await;
        }
        step!(
            event = "disconnected",
            connection = connection.number,
            why = forced.map_or("over", ForcedClose::text),
            asked = connection.valid_requests.get(),
            unread = sends_rejection
        );
        self.connections.borrow_mut().remove(&connection.number);
    }

    async fn run_protocol(
        self: &Rc<Self>,
        connection: &Rc<ClientConnection>,
    ) -> Option<ForcedClose> {
        let service = service_fn(|request| {
            let (server, connection) = (self.clone(), connection.clone());
            async move { Ok::<_, Infallible>(server.serve_request(&connection, request).await) }
        });
        let serving = http1::Builder::new()
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .serve_connection(self.handler.io(connection.socket.clone()), service);
        tokio::pin!(serving);
        loop {
            tokio::select! {
                biased;
                // An error means that the client disconnected or did not send HTTP; the connection
                // ends in either case.
                _ = &mut serving => {
                    self.linger(connection).await;
                    return None;
                }
                () = connection.close_requested.notified() => {
                    let is_immediate = connection.close_request.get() == CloseRequest::Immediate;
                    if is_immediate && connection.is_response_stalled(self.timeouts.response_idle) {
                        return Some(ForcedClose::StalledResponse);
                    }
                    if is_immediate && !connection.is_busy() {
                        return Some(ForcedClose::Evicted);
                    }
                    serving.as_mut().graceful_shutdown();
                }
                // hyper's graceful shutdown waits without a limit for a head that does not end. A
                // request whose head was completed in the meantime is served.
                () = sleep(CLOSE_TIMEOUT), if connection.close_request.get() != CloseRequest::None => {
                    if connection.is_response_stalled(self.timeouts.response_idle) {
                        return Some(ForcedClose::StalledResponse);
                    }
                    if !connection.is_busy() {
                        return Some(ForcedClose::IncompleteHead);
                    }
                }
            }
        }
    }

    /// Reads and discards what the client still sends: a close with unread bytes would reset the
    /// connection before the client has read the last response.
    async fn linger(&self, connection: &ClientConnection) {
        let limit = if connection.has_unread_upload() {
            self.timeouts.response_idle
        } else {
            self.timeouts.linger
        };
        if limit.is_zero() {
            return;
        }
        tokio::select! {
            _ = timeout(limit, connection.socket.drain()) => {}
            () = connection.close_requested.notified() => {}
        }
    }

    async fn serve_request(
        &self,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> ClientResponse {
        connection.response_memory.take();
        // Without chunks, a body of unknown length ends with the connection.
        let has_chunks = request.version() > Version::HTTP_10;
        let result = self.handler.handle(connection, request).await;
        let closes = result.is_err() || self.drain.connections_to_close().with_response;
        let mut response = result.unwrap_or_else(|error| self.handler.error_response(error));
        match response.body_mut() {
            ClientResponseBody::Buffered(_) => connection.finish_request(),
            ClientResponseBody::Streamed(body, guard) => {
                let truncation_guard = (!has_chunks).then(|| TruncationGuard {
                    connection: connection.clone(),
                    is_complete: body.completion_flag(),
                });
                let inner = std::mem::replace(guard, Box::new(()));
                *guard = Box::new((inner, truncation_guard, BusyGuard(connection.clone())));
            }
        }
        if closes {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        if response.status() != StatusCode::OK {
            // A client that retries immediately after a rejection must not starve the other
            // clients.
            yield_now().await;
        }
        step!(
            event = "answered",
            connection = connection.number,
            status = response.status().as_u16()
        );
        response
    }
}
