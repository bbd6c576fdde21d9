//! Finds where a request goes, by its head alone: its host and path, the route, and what the route
//! says of it.

use super::{EarlyResponse, Gateway};
use crate::net::client::{plain_response, ClientConnection, RequestError};
use crate::net::discovery::stable_hash;
use crate::net::driver::RequestAttributes;
use crate::net::headers::single_header;
use crate::net::installation::Installed;
use crate::net::upstream::REQUEST_TIMEOUT_HEADER;
use dewrun_agent::RequestBudgets;
use dewrun_budgets::node::UNIT_WEIGHT;
use dewrun_config::{Effect, Route, TenantSource};
use dewrun_forwarding::{retry_safety, RetryRule};
use dewrun_routes::{normalize_host, normalize_path, Lookup, Match, Query};
use hyper::header::{HeaderMap, HeaderValue, ALLOW, HOST};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use std::borrow::Cow;
use std::rc::Rc;
use std::time::{Duration, Instant};

const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The most that a request can be worth to a budget.
const MAX_BUDGET_WEIGHT: f64 = 1e6;

/// What a request's head leads to.
pub(super) struct Routed {
    pub(super) attributes: RequestAttributes,
    pub(super) timeout: Duration,
    /// The pool's number in the installation.
    pub(super) pool: usize,
    /// The path and query as they are forwarded.
    pub(super) path: PathAndQuery,
    /// The budgets that the request counts to.
    pub(super) budgets: Option<WeightedBudgets>,
}

/// The budgets that a request counts to, and what the request is worth to them.
pub(super) struct WeightedBudgets {
    pub(super) budgets: Rc<RequestBudgets>,
    pub(super) weight: u32,
}

impl Gateway {
    /// Finds where a request goes. A request without a route, and one that can be read in more than
    /// one way, has its final response here.
    pub(super) fn route(
        &self,
        installed: &Installed,
        connection: &ClientConnection,
        head: &Parts,
    ) -> Result<Routed, EarlyResponse> {
        let host = request_host(head)?;
        let path = normalize_path(head.uri.path())
            .map_err(|_| RequestError::bad_request("the path can be read in more than one way"))?;
        let found = self.find_route(installed, head, host.as_deref(), &path)?;
        let route = &installed.config.routes[found.rule];
        // Two keys are none: which of them an endpoint goes by can't be known.
        let key = single_header(&head.headers, IDEMPOTENCY_KEY).filter(|key| !key.is_empty());
        let tenant = tenant(installed, route, &found, &head.headers);
        let path = forwarded_path(path, head.uri.query())?;
        let budgets = request_budgets(installed, route, tenant);
        let attempt_budgets = budgets
            .as_ref()
            .map(|weighted| &weighted.budgets)
            .filter(|budgets| budgets.counts_attempts())
            .cloned();
        let attributes = RequestAttributes {
            class: balancer_class(installed, route, &head.method, key.is_some()),
            tenant,
            key: key.map(|key| stable_hash(key.as_bytes())),
            hint_ms: None,
            is_client_retry: false,
            is_write: !head.method.is_safe(),
            deadline: Instant::now(),
            attempt_budgets,
            client: connection.socket.clone(),
        };
        Ok(Routed {
            attributes,
            timeout: timeout(route, &head.headers),
            pool: route.pool,
            path,
            budgets,
        })
    }

    /// Looks the route up; a request that has none is answered.
    fn find_route(
        &self,
        installed: &Installed,
        head: &Parts,
        host: Option<&str>,
        path: &str,
    ) -> Result<Match, EarlyResponse> {
        let has_header = |name: &str, wanted: Option<&str>| {
            let mut values = head.headers.get_all(name).iter();
            values.any(|value| wanted.is_none_or(|wanted| value.as_bytes() == wanted.as_bytes()))
        };
        let query = Query {
            host,
            path,
            method: head.method.as_str(),
            header: &has_header,
        };
        match installed.config.table.find(&query) {
            Lookup::Found(found) => Ok(found),
            Lookup::NotFound => {
                let response = plain_response(StatusCode::NOT_FOUND, "no route");
                Err(self.own(response, "destination_not_found").into())
            }
            Lookup::MethodNotAllowed(methods) => {
                let mut response =
                    plain_response(StatusCode::METHOD_NOT_ALLOWED, "no route for this method");
                if let Ok(allow) = HeaderValue::from_str(&methods.join(", ")) {
                    response.headers_mut().insert(ALLOW, allow);
                }
                Err(self.own(response, "http_request_denied").into())
            }
        }
    }
}

/// The host that a request names, by its target or else by `Host`.
fn request_host(head: &Parts) -> Result<Option<Cow<'_, str>>, RequestError> {
    let malformed_host = RequestError::bad_request("malformed Host");
    // The guard saw to it that there is one Host, or none in HTTP/1.0.
    let named = match head.headers.get(HOST) {
        None => None,
        Some(host) => {
            let text = host.to_str().map_err(|_| malformed_host)?;
            Some(normalize_host(text).ok_or(malformed_host)?)
        }
    };
    let target = match head.uri.authority() {
        None => None,
        Some(authority) => {
            let host = normalize_host(authority.as_str());
            Some(host.ok_or(RequestError::bad_request("malformed target"))?)
        }
    };
    if target.is_some() && named.is_some() && target != named {
        return Err(RequestError::bad_request(
            "the target and Host name different hosts",
        ));
    }
    Ok(target.or(named))
}

/// The class of a request for the balancer, which has one for each way to retry.
fn balancer_class(installed: &Installed, route: &Route, method: &Method, has_key: bool) -> u8 {
    let rule = match installed.config.classes[route.class].effect {
        Effect::Method => RetryRule::SafeMethods,
        Effect::Repeatable => RetryRule::IdempotentMethods,
        Effect::Keyed => RetryRule::IdempotencyKey,
        Effect::Once => RetryRule::Never,
    };
    installed.kind(route.class, retry_safety(rule, method, has_key))
}

/// How long a request may take: the route's timeout, or less if its client says so.
fn timeout(route: &Route, headers: &HeaderMap) -> Duration {
    let of_client = single_header(headers, REQUEST_TIMEOUT_HEADER.as_str())
        .and_then(|text| text.parse::<u32>().ok())
        .map(|ms| Duration::from_millis(ms.into()));
    of_client.map_or(route.timeout, |timeout| route.timeout.min(timeout))
}

fn forwarded_path(path: Cow<'_, str>, query: Option<&str>) -> Result<PathAndQuery, RequestError> {
    let whole = match query {
        Some(query) => format!("{path}?{query}"),
        None => path.into_owned(),
    };
    whole
        .parse()
        .map_err(|_| RequestError::bad_request("malformed target"))
}

/// The budgets that a request counts to, if the installation is of a fleet and has some.
fn request_budgets(installed: &Installed, route: &Route, tenant: u16) -> Option<WeightedBudgets> {
    if installed.fleet.is_none() || installed.config.budgets.is_empty() {
        return None;
    }
    let priority_weight = installed.config.classes[route.class].priority_weight;
    let weight = (priority_weight * f64::from(UNIT_WEIGHT)).round();
    Some(WeightedBudgets {
        budgets: installed.budgets(tenant, route.class, route.pool),
        weight: weight.clamp(1.0, MAX_BUDGET_WEIGHT) as u32,
    })
}

/// The tenant of a request; 0 for one that is not told or not known.
fn tenant(installed: &Installed, route: &Route, found: &Match, headers: &HeaderMap) -> u16 {
    let name = match &route.tenant {
        TenantSource::None => return 0,
        TenantSource::Fixed(number) => return *number as u16,
        TenantSource::Header(name) => single_header(headers, name),
        TenantSource::Parameter(number) => found.parameters.get(*number).map(String::as_str),
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
