//! The gateway of an operator's installation: any HTTP/1.1 request goes by its route to a pool, and
//! the endpoint's response goes back as it is.

use super::bodies::{BodyError, Intake};
use super::client::{
    plain_response, rejection, ClientConnection, ClientResponse, RequestError, RequestHandler,
    OVERLOAD_RETRY_AFTER_MS,
};
use super::discovery::stable_hash;
use super::driver::{Asked, Final};
use super::headers::single_header;
use super::installation::Installed;
use super::io::{GuardedIo, Wire};
use super::limits::READ_AHEAD;
use super::pool::{Common, Pool};
use super::stream::{AnswerBody, ReplyBody};
use super::trace::step;
use super::upstream::{Answer, InBody, Inbound, TIMEOUT_HEADER};
use bytes::Bytes;
use dewrun_agent::{OverBudget, RequestBudgets, Reservation};
use dewrun_budgets::node::UNIT_WEIGHT;
use dewrun_config::{Effect, Installation, Route, TenantFrom};
use dewrun_forwarding::{
    append_proxy_status, append_via, is_upgrade, remove_hop_by_hop_headers, retry_safety,
    set_forwarded_headers, RetryRule,
};
use dewrun_routes::{normalize_host, normalize_path, Lookup, Match, Query};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, ALLOW, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Handles the requests of an installation's clients.
pub struct Gateway {
    current: RefCell<Rc<Installed>>,
    /// Those that were replaced, for as long as they hold requests.
    superseded: RefCell<Vec<Weak<Installed>>>,
    common: Common,
    made_ids: Cell<u64>,
}

/// What a request's head leads to.
struct Routed {
    asked: Asked,
    timeout: Duration,
    pool: usize,
    path: PathAndQuery,
    /// The budgets that it counts to, and what it is worth to them.
    budgets: Option<(Rc<RequestBudgets>, u32)>,
}

/// A request's body, as far as it is to be read before the request goes on.
struct Taken {
    body: InBody,
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
    pub fn new(config: Installation, common: Common) -> Rc<Gateway> {
        let current = RefCell::new(Installed::start(config, &common));
        Rc::new(Gateway {
            current,
            superseded: RefCell::default(),
            common,
            made_ids: Cell::new(0),
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

    /// An answer of this proxy's own, which says so (RFC 9209).
    fn own(&self, mut reply: ClientResponse, error: &str) -> ClientResponse {
        let name = self.installed().name().to_string();
        append_proxy_status(reply.headers_mut(), &name, &format!("error={error}"));
        reply
    }

    fn refused(&self, after_ms: f64) -> ClientResponse {
        let mut reply = self.own(rejection(0.0), "destination_unavailable");
        reply
            .headers_mut()
            .insert(RETRY_AFTER, whole_seconds(after_ms));
        reply
    }

    async fn serve(
        &self,
        connection: &ClientConnection,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, EarlyResponse> {
        let installed = self.installed();
        let (mut head, body) = request.into_parts();
        if is_upgrade(&head.method, &head.headers) {
            return Err(RequestError::new(
                StatusCode::NOT_IMPLEMENTED,
                "neither CONNECT nor an upgrade is served",
            )
            .into());
        }
        if head.method == Method::OPTIONS && head.uri.path() == "*" {
            return Ok(Response::new(ReplyBody::from(Full::new(Bytes::new()))));
        }
        let Routed {
            mut asked,
            timeout,
            pool,
            path,
            budgets,
        } = self.route(&installed, connection, &head)?;
        connection.begin_request();
        if let Some(fleet) = &installed.fleet {
            fleet.wait_while_catching_up().await;
        }
        let held = self.spend(&installed, budgets, &head)?;
        let Taken { body, from } = self
            .take_body(&installed, connection, body, timeout)
            .await?;
        asked.deadline = from + timeout;
        let deadline = asked.deadline;
        let of_head = head.method == Method::HEAD;
        self.ready_headers(&installed, connection, &mut head);
        let inbound = Inbound {
            method: head.method,
            path,
            headers: head.headers,
            body,
            patience: None,
        };
        let upload = inbound.body.upload();
        let Some((guard, answer)) = installed.pools[pool].driver.request(asked, inbound) else {
            return Ok(self.refused(OVERLOAD_RETRY_AFTER_MS));
        };
        let answer = guard.await_response(answer, deadline).await;
        Ok(match answer {
            Final::Served(answer) => relayed(&installed, connection, answer, of_head, held),
            Final::LastWord(answer) => {
                let status = answer.status.as_u16();
                let mut reply = relayed(&installed, connection, answer, of_head, held);
                let parameter = format!("received-status={status}");
                append_proxy_status(reply.headers_mut(), installed.name(), &parameter);
                reply
            }
            _ if upload.is_some_and(|upload| upload.is_cut()) => {
                return Err(BodyError::Cut.request_error().into())
            }
            Final::Rejected(after_ms) => self.refused(after_ms),
            Final::Failed | Final::FaultyRequest(_) if Instant::now() >= deadline => self.own(
                plain_response(StatusCode::GATEWAY_TIMEOUT, "failed: no answer in time"),
                "http_response_timeout",
            ),
            Final::Failed | Final::FaultyRequest(_) => self.own(
                plain_response(StatusCode::BAD_GATEWAY, "failed"),
                "connection_terminated",
            ),
        })
    }

    /// Finds where a request goes, by its head alone.
    fn route(
        &self,
        installed: &Installed,
        connection: &ClientConnection,
        head: &Parts,
    ) -> Result<Routed, EarlyResponse> {
        let bad = |why| EarlyResponse::Error(RequestError::bad_request(why));
        // The guard saw to it that there is one Host, or none in HTTP/1.0.
        let named = match head.headers.get(HOST) {
            None => None,
            Some(host) => {
                let text = host.to_str().map_err(|_| bad("malformed Host"))?;
                Some(normalize_host(text).ok_or(bad("malformed Host"))?)
            }
        };
        let target = head
            .uri
            .authority()
            .map(|a| normalize_host(a.as_str()).ok_or(bad("malformed target")));
        let target = target.transpose()?;
        if target.is_some() && named.is_some() && target != named {
            return Err(bad("the target and Host name different hosts"));
        }
        let path = match normalize_path(head.uri.path()) {
            Ok(path) => path,
            Err(_) => return Err(bad("the path can be read in more than one way")),
        };
        let header = |name: &str, wanted: Option<&str>| {
            let mut values = head.headers.get_all(name).iter();
            values.any(|value| wanted.is_none_or(|wanted| value.as_bytes() == wanted.as_bytes()))
        };
        let host = target.or(named);
        let query = Query {
            host: host.as_deref(),
            path: &path,
            method: head.method.as_str(),
            header: &header,
        };
        let found = match installed.config.table.find(&query) {
            Lookup::Found(found) => found,
            Lookup::NotFound => {
                let reply = plain_response(StatusCode::NOT_FOUND, "no route");
                return Err(self.own(reply, "destination_not_found").into());
            }
            Lookup::MethodNotAllowed(methods) => {
                let mut reply =
                    plain_response(StatusCode::METHOD_NOT_ALLOWED, "no route for this method");
                if let Ok(allow) = HeaderValue::from_str(&methods.join(", ")) {
                    reply.headers_mut().insert(ALLOW, allow);
                }
                return Err(self.own(reply, "http_request_denied").into());
            }
        };
        let route = &installed.config.routes[found.rule];
        let class = &installed.config.classes[route.class];
        let retry_rule = match class.effect {
            Effect::Method => RetryRule::SafeMethods,
            Effect::Repeatable => RetryRule::IdempotentMethods,
            Effect::Keyed => RetryRule::IdempotencyKey,
            Effect::Once => RetryRule::Never,
        };
        // Two keys are none: which of them a backend goes by can't be known.
        let key = single_header(&head.headers, IDEMPOTENCY_KEY).filter(|key| !key.is_empty());
        let told = single_header(&head.headers, TIMEOUT_HEADER.as_str())
            .and_then(|text| text.parse::<u32>().ok());
        let timeout = told.map_or(route.timeout, |ms| {
            route.timeout.min(Duration::from_millis(ms.into()))
        });
        let mut asked = Asked {
            class: installed.kind(
                route.class,
                retry_safety(retry_rule, &head.method, key.is_some()),
            ),
            tenant: tenant(installed, route, &found, &head.headers),
            key: key.map(|key| stable_hash(key.as_bytes())),
            hint_ms: None,
            repeat: false,
            write: !head.method.is_safe(),
            deadline: Instant::now(),
            attempts: None,
            client: connection.wire.clone(),
        };
        let whole = match head.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.into_owned(),
        };
        let path = whole.parse().map_err(|_| bad("malformed target"))?;
        let budgets = installed
            .fleet
            .as_ref()
            .filter(|_| !installed.config.budgets.is_empty())
            .map(|_| {
                let worth = (class.priority_weight * f64::from(UNIT_WEIGHT))
                    .round()
                    .clamp(1.0, 1e6) as u32;
                (
                    installed.budgets(asked.tenant, route.class, route.pool),
                    worth,
                )
            });
        let attempts = budgets
            .as_ref()
            .map(|(counts, _)| counts)
            .filter(|counts| counts.has_attempts());
        asked.attempts = attempts.cloned();
        Ok(Routed {
            asked,
            timeout,
            pool: route.pool,
            path,
            budgets,
        })
    }

    /// Takes a request's part out of the budgets that it counts to, or refuses it: nothing of it
    /// has run.
    fn spend(
        &self,
        installed: &Installed,
        budgets: Option<(Rc<RequestBudgets>, u32)>,
        head: &Parts,
    ) -> Result<Option<Reservation>, EarlyResponse> {
        let (Some(fleet), Some((budgets, worth))) = (&installed.fleet, budgets) else {
            return Ok(None);
        };
        let OverBudget {
            budget,
            retry_after_ms,
        } = match fleet.spend(&budgets.requests, worth) {
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
        let intake = Intake {
            kept: limits.max_buffered_body,
            ample: limits.max_buffered_body,
            most: limits.max_body,
            idle: limits.request_body_timeout,
            time: most_time.max(limits.request_body_timeout),
            slowest: 0,
        };
        match intake.take(&self.common.limits.bytes, body).await {
            Ok(body) => {
                let from = match &body {
                    InBody::Kept(_) => connection.request_completed_at(),
                    InBody::Once(..) => Instant::now(),
                };
                Ok(Taken { body, from })
            }
            Err(BodyError::NoRoom) => Err(self.refused(OVERLOAD_RETRY_AFTER_MS).into()),
            Err(unfit) => Err(unfit.request_error().into()),
        }
    }

    /// Puts a request's headers in the form in which they go on.
    fn ready_headers(
        &self,
        installed: &Installed,
        connection: &ClientConnection,
        head: &mut Parts,
    ) {
        let headers = &mut head.headers;
        // An absolute target names the host, whatever Host says (RFC 9112, 3.2.2).
        let authority = head
            .uri
            .authority()
            .and_then(|a| HeaderValue::from_str(a.as_str()).ok());
        if let Some(authority) = authority {
            headers.insert(HOST, authority);
        }
        remove_hop_by_hop_headers(headers);
        let peer = connection
            .wire
            .peer()
            .map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
        let listener = &installed.config.listeners[connection.listener];
        set_forwarded_headers(
            headers,
            peer,
            listener
                .trusted
                .iter()
                .any(|network| network.contains(peer)),
        );
        append_via(headers, head.version, installed.name());
        let id = single_header(headers, REQUEST_ID.as_str());
        if !id.is_some_and(|id| {
            (1..=128).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
        }) {
            let number = self.made_ids.get();
            self.made_ids.set(number + 1);
            headers.insert(REQUEST_ID, made_id(self.common.seed, number));
        }
    }
}

/// Ordinary callers know whole seconds alone (RFC 9110, 10.2.3).
fn whole_seconds(after_ms: f64) -> HeaderValue {
    HeaderValue::from((after_ms / 1_000.0).ceil().max(1.0) as u64)
}

/// An id that no other request of this process has, and hardly one of another.
fn made_id(seed: u64, number: u64) -> HeaderValue {
    // SplitMix64: its steps are a permutation, so equal seeds and other numbers give other ids.
    let mut z = seed.wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    HeaderValue::from_str(&format!("{:016x}", z ^ (z >> 31)))
        .unwrap_or(HeaderValue::from_static("0"))
}

/// The tenant of a request; 0 for one that is not told or not known.
fn tenant(installed: &Installed, route: &Route, found: &Match, headers: &HeaderMap) -> u16 {
    let name = match &route.tenant {
        TenantFrom::Nowhere => return 0,
        TenantFrom::Fixed(number) => return *number as u16,
        TenantFrom::Header(name) => single_header(headers, name),
        TenantFrom::Parameter(number) => found.parameters.get(*number).map(String::as_str),
    };
    let named = |name| {
        installed
            .config
            .tenants
            .iter()
            .skip(1)
            .position(|t| t.name == name)
    };
    name.and_then(named).map_or(0, |number| number as u16 + 1)
}

/// A backend's answer as it goes to its connection.
fn relayed(
    installed: &Installed,
    connection: &ClientConnection,
    answer: Answer,
    of_head: bool,
    held: Option<Reservation>,
) -> ClientResponse {
    let body = match answer.body {
        AnswerBody::Whole(body) => {
            let bytes = Full::new(body.bytes.clone());
            connection.hold_response_memory(body);
            ReplyBody::Whole(bytes)
        }
        AnswerBody::Passing(passing) => ReplyBody::Passing(passing, Box::new(held)),
    };
    let mut reply = Response::new(body);
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers;
    let headers = reply.headers_mut();
    remove_hop_by_hop_headers(headers);
    append_via(headers, hyper::Version::HTTP_11, installed.name());
    if of_head {
        // The length is that of the answer to a GET; there is no body to tell another.
        *reply.body_mut() = ReplyBody::Whole(Full::new(Bytes::new()));
    }
    reply
}

impl RequestHandler for Gateway {
    type Io = GuardedIo;

    fn io(&self, wire: Rc<Wire>) -> GuardedIo {
        GuardedIo::new(wire, READ_AHEAD)
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
        self.each_pool(|pool| shed = shed || pool.upstream.shed());
        shed
    }

    fn reap_idle_upstream(&self) {
        self.each_pool(|pool| pool.upstream.reap());
    }

    fn close_all(&self) {
        self.each_pool(|pool| pool.driver.close_all());
    }
}
