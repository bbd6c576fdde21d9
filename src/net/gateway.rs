//! The gateway of an operator's installation. It forwards each HTTP/1.1 request to the pool of its
//! route, and relays the endpoint's response to the client.

mod headers;
mod response;
mod routing;

use self::headers::REQUEST_ID;
use self::response::{retry_after_seconds, ForwardedRequest};
use self::routing::WeightedBudgets;
use super::bodies::{BodyError, BodyLimits};
use super::client::{
    plain_response, ClientConnection, ClientResponse, RequestError, RequestHandler,
    OVERLOAD_RETRY_AFTER_MS,
};
use super::headers::single_header;
use super::installation::ActiveInstallation;
use super::io::{ClientIo, TrackedSocket};
use super::limits::MAX_READ_AHEAD_BYTES;
use super::pool::{Pool, PoolContext};
use super::stream::ClientResponseBody;
use super::trace::step;
use super::upstream::{ClientRequest, RequestBody};
use bytes::Bytes;
use dewrun_agent::{OverBudget, Reservation};
use dewrun_config::Installation;
use dewrun_forwarding::is_upgrade;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// Handles the requests of an installation's clients.
pub struct Gateway {
    current: RefCell<Rc<ActiveInstallation>>,
    /// Replaced installations, which exist for as long as they have requests in progress.
    superseded: RefCell<Vec<Weak<ActiveInstallation>>>,
    context: PoolContext,
    generated_ids: Cell<u64>,
}

/// The body of a request, buffered or ready to be streamed.
struct ReceivedBody {
    body: RequestBody,
    /// The start of the request's timeout.
    timeout_start: Instant,
}

/// A response to a request that was not forwarded.
enum EarlyResponse {
    Error(RequestError),
    Response(Box<ClientResponse>),
}

impl From<ClientResponse> for EarlyResponse {
    fn from(response: ClientResponse) -> EarlyResponse {
        EarlyResponse::Response(Box::new(response))
    }
}

impl From<RequestError> for EarlyResponse {
    fn from(error: RequestError) -> EarlyResponse {
        EarlyResponse::Error(error)
    }
}

impl Gateway {
    /// Creates a gateway that serves an installation, and starts its pools.
    pub fn new(config: Installation, context: PoolContext) -> Rc<Gateway> {
        let current = RefCell::new(ActiveInstallation::start(config, &context));
        Rc::new(Gateway {
            current,
            superseded: RefCell::default(),
            context,
            generated_ids: Cell::new(0),
        })
    }

    /// Replaces the installation by one from another file. Requests in progress end under the
    /// installation that they began with.
    pub fn reload(&self, config: Installation) {
        let next = self.current.borrow().reloaded(config, &self.context);
        let (pools, routes) = (next.pools.len(), next.config.routes.len());
        let previous = self.current.replace(next);
        self.superseded.borrow_mut().push(Rc::downgrade(&previous));
        drop(previous);
        self.superseded
            .borrow_mut()
            .retain(|superseded| superseded.strong_count() > 0);
        tracing::info!("reloaded: {pools} pools, {routes} routes");
    }

    /// Returns the installation in force.
    pub fn installation(&self) -> Rc<ActiveInstallation> {
        self.current.borrow().clone()
    }

    /// Calls `visit` with each pool in force, and with each replaced pool that still has requests
    /// in progress.
    fn for_each_pool(&self, mut visit: impl FnMut(&Pool)) {
        let superseded: Vec<Rc<ActiveInstallation>> = self
            .superseded
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .collect();
        for installation in superseded.iter().chain([&self.installation()]) {
            installation.pools.iter().for_each(|pool| visit(pool));
        }
    }

    /// Serves a request: finds its route, reserves its share of the budgets, receives its body,
    /// forwards it, and returns the response.
    async fn serve(
        &self,
        connection: &ClientConnection,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, EarlyResponse> {
        let installation = self.installation();
        let (mut head, body) = request.into_parts();
        if let Some(response) = respond_without_route(&head)? {
            return Ok(response);
        }
        let mut route = self.route(&installation, connection, &head)?;
        connection.begin_request();
        if let Some(fleet) = &installation.fleet {
            fleet.wait_while_catching_up().await;
        }
        let reservation = self.reserve(&installation, route.budgets, &head)?;
        let received = self
            .receive_body(&installation, connection, body, route.timeout)
            .await?;
        let deadline = received.timeout_start + route.timeout;
        route.attributes.deadline = deadline;
        let is_head = head.method == Method::HEAD;
        self.prepare_headers(&installation, connection, &mut head);
        let client_request = ClientRequest {
            method: head.method,
            path: route.path,
            headers: head.headers,
            body: received.body,
            response_timeout: None,
        };
        let upload = client_request.body.upload();
        connection.set_upload(upload.clone());
        let driver = &installation.pools[route.pool].driver;
        let Some((guard, response)) = driver.request(route.attributes, client_request) else {
            return Ok(self.rejection_response(OVERLOAD_RETRY_AFTER_MS));
        };
        let final_response = guard.await_response(response, deadline).await;
        let forwarded = ForwardedRequest {
            installation: &installation,
            connection,
            is_head,
            deadline,
            is_upload_interrupted: upload.is_some_and(|upload| upload.is_interrupted()),
            reservation,
        };
        Ok(self.final_response(forwarded, final_response)?)
    }

    /// Reserves a request's share of the budgets that it counts against, or rejects the request
    /// without forwarding it.
    fn reserve(
        &self,
        installation: &ActiveInstallation,
        budgets: Option<WeightedBudgets>,
        head: &Parts,
    ) -> Result<Option<Reservation>, EarlyResponse> {
        let (Some(fleet), Some(weighted)) = (&installation.fleet, budgets) else {
            return Ok(None);
        };
        let OverBudget {
            budget,
            retry_after_ms,
        } = match fleet.spend(&weighted.budgets.requests, weighted.weight) {
            Ok(reservation) => return Ok(Some(reservation)),
            Err(over) => over,
        };
        let id = single_header(&head.headers, REQUEST_ID.as_str()).unwrap_or("-");
        step!(
            event = "answer",
            id,
            answer = "refused",
            why = "over a budget",
            budget = budget
        );
        let response = plain_response(StatusCode::TOO_MANY_REQUESTS, "refused: over a budget");
        let mut response = self.with_proxy_error(response, "http_request_denied");
        response
            .headers_mut()
            .insert(RETRY_AFTER, retry_after_seconds(retry_after_ms));
        Err(response.into())
    }

    /// Receives a body: buffers it if the limits allow, otherwise prepares it for streaming.
    async fn receive_body(
        &self,
        installation: &ActiveInstallation,
        connection: &ClientConnection,
        body: Incoming,
        request_timeout: Duration,
    ) -> Result<ReceivedBody, EarlyResponse> {
        let limits = &installation.config.limits;
        let body_limits = BodyLimits {
            max_buffered_bytes: limits.max_buffered_body,
            max_buffered_with_headroom_bytes: limits.max_buffered_body,
            max_bytes: limits.max_body,
            idle_timeout: limits.request_body_timeout,
            buffering_timeout: request_timeout.max(limits.request_body_timeout),
            min_bytes_per_s: 0,
        };
        match body_limits
            .read_body(&self.context.limits.bytes, &connection.socket, body)
            .await
        {
            Ok(body) => {
                let timeout_start = match &body {
                    RequestBody::Buffered(_) => connection.request_completed_at(),
                    RequestBody::Streamed(..) => Instant::now(),
                };
                Ok(ReceivedBody {
                    body,
                    timeout_start,
                })
            }
            Err(BodyError::InsufficientMemory) => {
                Err(self.rejection_response(OVERLOAD_RETRY_AFTER_MS).into())
            }
            Err(error) => Err(error.request_error().into()),
        }
    }
}

/// Responds to requests that need no route: `OPTIONS *`, and protocols that are not supported.
fn respond_without_route(head: &Parts) -> Result<Option<ClientResponse>, RequestError> {
    if is_upgrade(&head.method, &head.headers) {
        return Err(RequestError::new(
            StatusCode::NOT_IMPLEMENTED,
            "neither CONNECT nor an upgrade is served",
        ));
    }
    if head.method == Method::OPTIONS && head.uri.path() == "*" {
        let empty = ClientResponseBody::from(Full::new(Bytes::new()));
        return Ok(Some(Response::new(empty)));
    }
    Ok(None)
}

impl RequestHandler for Gateway {
    type Io = ClientIo;

    fn io(&self, socket: Rc<TrackedSocket>) -> ClientIo {
        ClientIo::new(socket, MAX_READ_AHEAD_BYTES)
    }

    async fn handle(
        self: &Rc<Self>,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, RequestError> {
        match self.serve(connection, request).await {
            Ok(response) => Ok(response),
            Err(EarlyResponse::Response(response)) => Ok(*response),
            Err(EarlyResponse::Error(error)) => Err(error),
        }
    }

    fn error_response(&self, error: RequestError) -> ClientResponse {
        self.with_proxy_error(
            plain_response(error.status, error.text),
            "http_request_error",
        )
    }

    fn evict_idle_upstream(&self) -> bool {
        let mut is_closed = false;
        self.for_each_pool(|pool| is_closed = is_closed || pool.upstream.close_oldest_idle());
        is_closed
    }

    fn reap_idle_upstream(&self) {
        self.for_each_pool(|pool| pool.upstream.close_expired_idle());
    }

    fn close_all(&self) {
        self.for_each_pool(|pool| pool.driver.close_all());
    }
}
