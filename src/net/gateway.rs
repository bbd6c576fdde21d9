//! The gateway of an operator's installation: any HTTP/1.1 request goes by its route to a pool, and
//! the endpoint's response goes back as it is.

mod headers;
mod response;
mod routing;

use self::headers::REQUEST_ID;
use self::response::{whole_seconds, Forwarded};
use self::routing::WeightedBudgets;
use super::bodies::{BodyError, BodyLimits};
use super::client::{
    plain_response, ClientConnection, ClientResponse, RequestError, RequestHandler,
    OVERLOAD_RETRY_AFTER_MS,
};
use super::headers::single_header;
use super::installation::Installed;
use super::io::{GuardedIo, TrackedSocket};
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
    current: RefCell<Rc<Installed>>,
    /// Those that were replaced, for as long as they hold requests.
    superseded: RefCell<Vec<Weak<Installed>>>,
    common: PoolContext,
    generated_ids: Cell<u64>,
}

/// A request's body, as far as it is to be read before the request goes on.
struct Taken {
    body: RequestBody,
    /// When the time of the request begins.
    from: Instant,
}

/// A response to a request that was not forwarded.
enum EarlyResponse {
    Error(RequestError),
    Response(Box<ClientResponse>),
}

impl From<ClientResponse> for EarlyResponse {
    fn from(reply: ClientResponse) -> EarlyResponse {
        EarlyResponse::Response(Box::new(reply))
    }
}

impl From<RequestError> for EarlyResponse {
    fn from(bad: RequestError) -> EarlyResponse {
        EarlyResponse::Error(bad)
    }
}

impl Gateway {
    /// A gateway that serves by an installation.
    pub fn new(config: Installation, common: PoolContext) -> Rc<Gateway> {
        let current = RefCell::new(Installed::start(config, &common));
        Rc::new(Gateway {
            current,
            superseded: RefCell::default(),
            common,
            generated_ids: Cell::new(0),
        })
    }

    /// Serves by another file from now on. Requests that are open end under the one they began
    /// with.
    pub fn reload(&self, config: Installation) {
        let next = self.current.borrow().replaced_by(config, &self.common);
        let (pools, routes) = (next.pools.len(), next.config.routes.len());
        let before = self.current.replace(next);
        self.superseded.borrow_mut().push(Rc::downgrade(&before));
        drop(before);
        self.superseded
            .borrow_mut()
            .retain(|superseded| superseded.strong_count() > 0);
        tracing::info!("reloaded: {pools} pools, {routes} routes");
    }

    /// The installation in force.
    pub fn installed(&self) -> Rc<Installed> {
        self.current.borrow().clone()
    }

    /// The pools in force, and those that were replaced and still hold requests.
    fn each_pool(&self, mut each: impl FnMut(&Pool)) {
        let superseded: Vec<Rc<Installed>> = self
            .superseded
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .collect();
        for installed in superseded.iter().chain([&self.installed()]) {
            installed.pools.iter().for_each(|pool| each(pool));
        }
    }

    /// Serves a request: route it, take its part of the budgets, take its body in, forward it, and
    /// respond.
    async fn serve(
        &self,
        connection: &ClientConnection,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, EarlyResponse> {
        let installed = self.installed();
        let (mut head, body) = request.into_parts();
        if let Some(response) = respond_without_route(&head)? {
            return Ok(response);
        }
        let mut routed = self.route(&installed, connection, &head)?;
        connection.begin_request();
        if let Some(fleet) = &installed.fleet {
            fleet.wait_while_catching_up().await;
        }
        let reservation = self.reserve(&installed, routed.budgets, &head)?;
        let taken = self
            .take_body(&installed, connection, body, routed.timeout)
            .await?;
        let deadline = taken.from + routed.timeout;
        routed.attributes.deadline = deadline;
        let is_head = head.method == Method::HEAD;
        self.prepare_headers(&installed, connection, &mut head);
        let client_request = ClientRequest {
            method: head.method,
            path: routed.path,
            headers: head.headers,
            body: taken.body,
            response_timeout: None,
        };
        let upload = client_request.body.upload();
        let driver = &installed.pools[routed.pool].driver;
        let Some((guard, answer)) = driver.request(routed.attributes, client_request) else {
            return Ok(self.rejected(OVERLOAD_RETRY_AFTER_MS));
        };
        let answer = guard.await_response(answer, deadline).await;
        let forwarded = Forwarded {
            installed: &installed,
            connection,
            is_head,
            deadline,
            is_upload_cut: upload.is_some_and(|upload| upload.is_interrupted()),
            reservation,
        };
        Ok(self.final_response(forwarded, answer)?)
    }

    /// Takes a request's part out of the budgets that it counts to, or rejects it: nothing of it
    /// has run.
    fn reserve(
        &self,
        installed: &Installed,
        budgets: Option<WeightedBudgets>,
        head: &Parts,
    ) -> Result<Option<Reservation>, EarlyResponse> {
        let (Some(fleet), Some(weighted)) = (&installed.fleet, budgets) else {
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
        let reply = plain_response(StatusCode::TOO_MANY_REQUESTS, "refused: over a budget");
        let mut reply = self.own(reply, "http_request_denied");
        reply
            .headers_mut()
            .insert(RETRY_AFTER, whole_seconds(retry_after_ms));
        Err(reply.into())
    }

    /// Takes a body in, as far as it is to be read before the request goes on.
    async fn take_body(
        &self,
        installed: &Installed,
        connection: &ClientConnection,
        body: Incoming,
        most_time: Duration,
    ) -> Result<Taken, EarlyResponse> {
        let limits = &installed.config.limits;
        let body_limits = BodyLimits {
            max_buffered_bytes: limits.max_buffered_body,
            max_buffered_with_headroom_bytes: limits.max_buffered_body,
            max_bytes: limits.max_body,
            idle_timeout: limits.request_body_timeout,
            buffering_timeout: most_time.max(limits.request_body_timeout),
            min_bytes_per_s: 0,
        };
        match body_limits.read_body(&self.common.limits.bytes, body).await {
            Ok(body) => {
                let from = match &body {
                    RequestBody::Buffered(_) => connection.request_completed_at(),
                    RequestBody::Streamed(..) => Instant::now(),
                };
                Ok(Taken { body, from })
            }
            Err(BodyError::InsufficientMemory) => {
                Err(self.rejected(OVERLOAD_RETRY_AFTER_MS).into())
            }
            Err(unfit) => Err(unfit.request_error().into()),
        }
    }
}

/// Responds to what needs no route: `OPTIONS *`, and protocols that are not served.
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
    type Io = GuardedIo;

    fn io(&self, socket: Rc<TrackedSocket>) -> GuardedIo {
        GuardedIo::new(socket, MAX_READ_AHEAD_BYTES)
    }

    async fn handle(
        self: &Rc<Self>,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, RequestError> {
        match self.serve(connection, request).await {
            Ok(reply) => Ok(reply),
            Err(EarlyResponse::Response(reply)) => Ok(*reply),
            Err(EarlyResponse::Error(bad)) => Err(bad),
        }
    }

    fn error_response(&self, error: RequestError) -> ClientResponse {
        self.own(
            plain_response(error.status, error.text),
            "http_request_error",
        )
    }

    fn evict_idle_upstream(&self) -> bool {
        let mut shed = false;
        self.each_pool(|pool| shed = shed || pool.upstream.close_oldest_idle());
        shed
    }

    fn reap_idle_upstream(&self) {
        self.each_pool(|pool| pool.upstream.close_expired_idle());
    }

    fn close_all(&self) {
        self.each_pool(|pool| pool.driver.close_all());
    }
}
