//! HTTP/1.1 on one client connection.

use super::accept::REJECT_TIMEOUT;
use super::connection::{BusyGuard, ClientConnection, CloseRequest};
use super::responses::OVERLOAD_RESPONSE;
use super::{ClientResponse, ClientServer, RequestHandler};
use crate::net::limits::MAX_READ_AHEAD_BYTES;
use crate::net::stream::ClientResponseBody;
use crate::net::trace::step;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// How long a connection that is asked to close may take over what it has begun.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connection is closed before its protocol has ended.
#[derive(Clone, Copy)]
enum ForcedClose {
    Evicted,
    HeadNeverEnds,
}

impl ForcedClose {
    fn text(self) -> &'static str {
        match self {
            ForcedClose::Evicted => "gives way",
            ForcedClose::HeadNeverEnds => "does not end",
        }
    }
}

impl<H: RequestHandler> ClientServer<H> {
    /// Serves a connection until it ends. Dropping the future closes the socket, and cancels the
    /// request that is open on it.
    pub(super) async fn serve_connection(self: Rc<Self>, connection: Rc<ClientConnection>) {
        let forced = self.run_protocol(&connection).await;
        // A request that arrives while its connection is closed by force is rejected, not lost.
        let has_request = connection.is_reading_body.get() || connection.socket.has_unread();
        let rejects = forced.is_some() && !connection.socket.is_write_blocked() && has_request;
        if rejects {
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
            unread = rejects
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
                // An error is the client's leaving or not HTTP; either ends the connection.
                _ = &mut serving => {
                    self.linger(connection).await;
                    return None;
                }
                () = connection.close_requested.notified() => {
                    let is_immediate = connection.close_request.get() == CloseRequest::Immediate;
                    if is_immediate && !connection.has_open_request.get() {
                        return Some(ForcedClose::Evicted);
                    }
                    serving.as_mut().graceful_shutdown();
                }
                // hyper's graceful shutdown waits for a head that never ends. A request whose head
                // did end meanwhile is served.
                () = sleep(CLOSE_TIMEOUT), if connection.close_request.get() != CloseRequest::None => {
                    if !connection.has_open_request.get() {
                        return Some(ForcedClose::HeadNeverEnds);
                    }
                }
            }
        }
    }

    /// Reads what the client still sends, so that it sees the last response and not a reset.
    async fn linger(&self, connection: &ClientConnection) {
        if self.timeouts.linger.is_zero() {
            return;
        }
        tokio::select! {
            _ = timeout(self.timeouts.linger, connection.socket.drain()) => {}
            () = connection.close_requested.notified() => {}
        }
    }

    async fn serve_request(
        &self,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> ClientResponse {
        connection.response_memory.take();
        let result = self.handler.handle(connection, request).await;
        let closes = result.is_err() || self.drain.due().with_response;
        let mut response = result.unwrap_or_else(|error| self.handler.error_response(error));
        match response.body_mut() {
            ClientResponseBody::Buffered(_) => connection.finish_request(),
            ClientResponseBody::Streamed(_, held) => {
                let inner = std::mem::replace(held, Box::new(()));
                *held = Box::new((inner, BusyGuard(connection.clone())));
            }
        }
        if closes {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        if response.status() != StatusCode::OK {
            // A client that sends again as soon as it is rejected must not starve the others.
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
