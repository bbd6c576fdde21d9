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

/// A fault in a request, which is not served. The connection closes after the error response, as
/// the following bytes may be part of the faulty request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The status of the error response.
    pub status: StatusCode,
    /// The body of the error response: a description of the fault.
    pub text: &'static str,
}

impl RequestError {
    /// Creates an error with its status and description.
    pub const fn new(status: StatusCode, text: &'static str) -> RequestError {
        RequestError { status, text }
    }

    /// Creates an error with status 400.
    pub const fn bad_request(text: &'static str) -> RequestError {
        RequestError::new(StatusCode::BAD_REQUEST, text)
    }
}

/// Interprets and forwards requests. The implementations are the platform's handler and the gateway
/// of an operator's installation.
pub trait RequestHandler: 'static {
    /// The I/O type through which hyper reads and writes a client connection.
    type Io: Read + Write + Unpin + 'static;

    /// Wraps the socket of a client connection.
    fn io(&self, socket: Rc<TrackedSocket>) -> Self::Io;

    /// Handles one request and returns its response. The future is dropped if the client
    /// disconnects, which cancels the request.
    fn handle(
        self: &Rc<Self>,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<ClientResponse, RequestError>>;

    /// Returns the response to a faulty request.
    fn error_response(&self, error: RequestError) -> ClientResponse {
        plain_response(error.status, error.text)
    }

    /// Closes the longest idle connection to an endpoint; returns false if there is none.
    fn evict_idle_upstream(&self) -> bool;

    /// Closes connections to endpoints that have been idle for too long or were closed by the peer.
    fn reap_idle_upstream(&self);

    /// Fails all requests in progress and rejects all further ones, as the process is about to end.
    fn close_all(&self);
}
