//! The admin address: health check, metrics, drain and undrain over HTTP.
//!
//! Each connection carries one request. The admin address has file descriptors of its own, so that
//! no number of clients keeps it from answering, and its oldest connection is closed for a new one
//! when too many are open.

use super::handler::PlatformHandler;
use crate::net::client::{plain_response, ClientResponse, DrainState};
use crate::net::io::{Io, TrackedSocket};
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

/// Open connections beyond which the oldest is closed for the next.
const MAX_CONNECTIONS: usize = 12;
/// How long a connection may take in all.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// The wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
const METRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

/// Serves the admin address.
pub struct Control {
    front: Rc<PlatformHandler>,
    drain: Rc<DrainState>,
}

impl Control {
    /// Answers for this request handler, and drains by `drain`.
    pub fn new(front: Rc<PlatformHandler>, drain: Rc<DrainState>) -> Rc<Control> {
        Rc::new(Control { front, drain })
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
            let control = self.clone();
            let serving = spawn_local(async move {
                timeout(CONNECTION_TIMEOUT, control.serve_connection(stream)).await
            });
            open.push_back(serving.abort_handle());
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let reply = self.answer(&request);
            async move { Ok::<_, Infallible>(reply) }
        });
        let socket = Io(TrackedSocket::new(stream));
        // An error means that the client has gone, or sent what hyper answers itself.
        let _ = http1::Builder::new()
            .keep_alive(false)
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .serve_connection(socket, service)
            .await;
    }

    fn answer(&self, request: &Request<Incoming>) -> ClientResponse {
        match AdminRequest::route(request.method().as_str(), request.uri().path()) {
            Ok(AdminRequest::HealthCheck) => self.front.health(),
            Ok(AdminRequest::Metrics) => self.metrics(),
            Ok(AdminRequest::Drain) => self.drain(),
            Ok(AdminRequest::Undrain) => self.undrain(),
            Err(AdminError::NotFound) => plain_response(StatusCode::NOT_FOUND, "no such call\n"),
            Err(AdminError::MethodNotAllowed { allowed }) => method_not_allowed(allowed),
        }
    }

    fn metrics(&self) -> ClientResponse {
        let text = Bytes::from(self.front.metrics());
        let mut reply = Response::new(ClientResponseBody::from(Full::new(text)));
        reply
            .headers_mut()
            .insert(CONTENT_TYPE, METRICS_CONTENT_TYPE);
        reply
    }

    fn drain(&self) -> ClientResponse {
        if self.drain.begin(ShutdownPlan::DRAIN) {
            info!("draining by an admin request: clients are asked to connect elsewhere");
        }
        plain_response(StatusCode::OK, "leaving service\n")
    }

    fn undrain(&self) -> ClientResponse {
        if self.drain.cancel() {
            info!("no longer draining by an admin request: clients are taken again");
        }
        plain_response(StatusCode::OK, "in service\n")
    }
}

fn method_not_allowed(allowed: &'static str) -> ClientResponse {
    let mut reply = plain_response(StatusCode::METHOD_NOT_ALLOWED, "not by this method\n");
    reply
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allowed));
    reply
}
