//! The interface between client connections and request handling.

use super::{plain_response, ClientConnection};
use crate::net::io::TrackedSocket;
use crate::net::stream::ClientResponseBody;
use hyper::body::Incoming;
use hyper::rt::{Read, Write};
use hyper::{Request, Response, StatusCode};
use std::future::Future;
use std::rc::Rc;

/// A response to a client.
pub type ClientResponse = Response<ClientResponseBody>;

/// A request that is not served because of a fault in it. Its connection ends with the response:
/// what follows on it may be part of the faulty request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The status of the response.
    pub status: StatusCode,
    /// The text of the response: what was wrong.
    pub text: &'static str,
}

impl RequestError {
    /// A fault with its status.
    pub const fn new(status: StatusCode, text: &'static str) -> RequestError {
        RequestError { status, text }
    }

    /// A malformed request: 400.
    pub const fn bad_request(text: &'static str) -> RequestError {
        RequestError::new(StatusCode::BAD_REQUEST, text)
    }
}

/// What requests mean and where they go: the platform's handler, or the gateway of an operator's
/// installation.
pub trait RequestHandler: 'static {
    /// How a client's bytes are read and written.
    type Io: Read + Write + Unpin + 'static;

    /// Wraps the socket of a client connection.
    fn io(&self, socket: Rc<TrackedSocket>) -> Self::Io;

    /// Answers one request, exactly once. If the future is dropped before, the client has left, and
    /// the request is cancelled.
    fn handle(
        self: &Rc<Self>,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<ClientResponse, RequestError>>;

    /// The response to a faulty request.
    fn error_response(&self, error: RequestError) -> ClientResponse {
        plain_response(error.status, error.text)
    }

    /// Closes the connection to an endpoint that has been idle longest; false if there is none.
    fn evict_idle_upstream(&self) -> bool;

    /// Closes connections to endpoints that are idle for too long or were closed by their peer.
    fn reap_idle_upstream(&self);

    /// Fails all open requests and rejects all further ones: the process is about to end.
    fn close_all(&self);
}
