//! The second address: whoever runs this proxy asks here how it does, and has it leave service and
//! come back. One call a connection. It has descriptors of its own, so that no crowd of callers
//! keeps it from answering, and a connection that brings no call gives way to one that may.

use super::handler::PlatformHandler;
use crate::net::client::{plain_response, ClientResponse, DrainState};
use crate::net::io::{Io, Wire};
use crate::net::limits::READ_AHEAD;
use crate::net::stream::ReplyBody;
use bytes::Bytes;
use dewrun_admin::{Call, Denied, Plan};
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

/// How many connections may be open here; the longest there gives way to the next.
const MOST: usize = 12;
/// How long one may take in all.
const CALL_TIME: Duration = Duration::from_secs(4);
const FIGURES_FORM: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

/// Answers calls.
pub struct Control {
    front: Rc<PlatformHandler>,
    drain: Rc<DrainState>,
}

impl Control {
    /// Answers for this front.
    pub fn new(front: Rc<PlatformHandler>, drain: Rc<DrainState>) -> Rc<Control> {
        Rc::new(Control { front, drain })
    }

    /// Accepts for ever.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut open: VecDeque<AbortHandle> = VecDeque::with_capacity(MOST);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, or its caller has left.
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            open.retain(|task| !task.is_finished());
            if open.len() >= MOST {
                if let Some(longest) = open.pop_front() {
                    longest.abort();
                }
            }
            let me = self.clone();
            let serving =
                spawn_local(async move { timeout(CALL_TIME, me.connection(stream)).await });
            open.push_back(serving.abort_handle());
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let reply = self.answer(&request);
            async move { Ok::<_, Infallible>(reply) }
        });
        let wire = Io(Wire::new(stream));
        // An error here is the caller's leaving, or nonsense, which hyper answers itself.
        let _ = http1::Builder::new()
            .keep_alive(false)
            .max_buf_size(READ_AHEAD)
            .serve_connection(wire, service)
            .await;
    }

    fn answer(&self, request: &Request<Incoming>) -> ClientResponse {
        match Call::read(request.method().as_str(), request.uri().path()) {
            Ok(Call::Healthy) => self.front.health(),
            Ok(Call::Stats) => {
                let mut reply = Response::new(ReplyBody::from(Full::new(Bytes::from(
                    self.front.figures(),
                ))));
                reply.headers_mut().insert(CONTENT_TYPE, FIGURES_FORM);
                reply
            }
            Ok(Call::Drain) => {
                if self.drain.begin(Plan::DRAIN) {
                    info!("told to leave service: callers are asked to go elsewhere");
                }
                plain_response(StatusCode::OK, "leaving service\n")
            }
            Ok(Call::Undrain) => {
                if self.drain.cancel() {
                    info!("told to take clients again");
                }
                plain_response(StatusCode::OK, "in service\n")
            }
            Err(Denied::NoSuchPath) => plain_response(StatusCode::NOT_FOUND, "no such call\n"),
            Err(Denied::Only(method)) => {
                let mut reply =
                    plain_response(StatusCode::METHOD_NOT_ALLOWED, "not by this method\n");
                reply
                    .headers_mut()
                    .insert(ALLOW, HeaderValue::from_static(method));
                reply
            }
        }
    }
}
