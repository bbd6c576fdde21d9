//! The admin address: health check, metrics, drain and undrain over HTTP.
//!
//! Each connection carries one request. The admin address has file descriptors of its own, so that
//! it responds under any number of clients. When too many admin connections are open, the oldest is
//! closed for a new one.

use super::handler::PlatformHandler;
use crate::net::client::{plain_response, ClientResponse, DrainState};
use crate::net::io::{ClientIo, TrackedSocket};
use crate::net::limits::MAX_READ_AHEAD_BYTES;
use crate::net::stream::ClientResponseBody;
use bytes::Bytes;
use dewrun_admin::{AdminError, AdminRequest, ShutdownPlan};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};
use tracing::info;

/// The maximum number of open connections; the oldest is closed for a further one.
const MAX_CONNECTIONS: usize = 12;
/// The maximum duration of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// The wait after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
const METRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

/// Serves the admin address.
pub struct AdminServer {
    handler: Rc<PlatformHandler>,
    drain: Rc<DrainState>,
}

impl AdminServer {
    /// Creates a server that reports the health and metrics of `handler`, and starts and cancels
    /// drains in `drain`.
    pub fn new(handler: Rc<PlatformHandler>, drain: Rc<DrainState>) -> Rc<AdminServer> {
        Rc::new(AdminServer { handler, drain })
    }

    /// Accepts connections for ever.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let mut open: VecDeque<AbortHandle> = VecDeque::with_capacity(MAX_CONNECTIONS);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of file descriptors, or the client has closed its connection already.
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            open.retain(|task| !task.is_finished());
            if open.len() >= MAX_CONNECTIONS {
                if let Some(oldest) = open.pop_front() {
                    oldest.abort();
                }
            }
            let server = self.clone();
            let serving = spawn_local(async move {
                timeout(CONNECTION_TIMEOUT, server.serve_connection(stream)).await
            });
            open.push_back(serving.abort_handle());
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let response = self.respond(&request);
            async move { Ok::<_, Infallible>(response) }
        });
        let socket = ClientIo::new(TrackedSocket::new(stream), MAX_READ_AHEAD_BYTES);
        // An error means that the client disconnected, or that its request was malformed, to which
        // hyper responds itself.
        let _ = http1::Builder::new()
            .keep_alive(false)
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .serve_connection(socket, service)
            .await;
    }

    fn respond(&self, request: &Request<Incoming>) -> ClientResponse {
        match AdminRequest::route(request.method().as_str(), request.uri().path()) {
            Ok(AdminRequest::HealthCheck) => self.handler.health_response(),
            Ok(AdminRequest::Metrics) => self.metrics(),
            Ok(AdminRequest::Drain) => self.drain(),
            Ok(AdminRequest::Undrain) => self.undrain(),
            Err(AdminError::NotFound) => plain_response(StatusCode::NOT_FOUND, "no such call\n"),
            Err(AdminError::MethodNotAllowed { allowed }) => method_not_allowed(allowed),
        }
    }

    fn metrics(&self) -> ClientResponse {
        let text = Bytes::from(self.handler.metrics());
        let mut response = Response::new(ClientResponseBody::from(Full::new(text)));
        response
            .headers_mut()
            .insert(CONTENT_TYPE, METRICS_CONTENT_TYPE);
        response
    }

    fn drain(&self) -> ClientResponse {
        if self.drain.begin(ShutdownPlan::DRAIN) {
            info!("draining by an admin request: client connections are being closed");
        }
        plain_response(StatusCode::OK, "leaving service\n")
    }

    fn undrain(&self) -> ClientResponse {
        if self.drain.cancel() {
            info!("drain cancelled by an admin request: back in service");
        }
        plain_response(StatusCode::OK, "in service\n")
    }
}

fn method_not_allowed(allowed: &'static str) -> ClientResponse {
    let mut response = plain_response(StatusCode::METHOD_NOT_ALLOWED, "not by this method\n");
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allowed));
    response
}
