//! Routing of requests by their heads: the host and path of a request, its route, and the
//! attributes that the route gives it.

use super::{EarlyResponse, Gateway};
use crate::net::client::{plain_response, ClientConnection, RequestError};
use crate::net::discovery::stable_hash;
use crate::net::driver::RequestAttributes;
use crate::net::headers::single_header;
use crate::net::installation::ActiveInstallation;
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
/// The largest weight of a request in a budget.
const MAX_BUDGET_WEIGHT: f64 = 1e6;

/// A request's destination and attributes, as its route gives them.
pub(super) struct RoutedRequest {
    pub(super) attributes: RequestAttributes,
    pub(super) timeout: Duration,
    /// The index of the pool in the installation.
    pub(super) pool: usize,
    /// The path and query as they are forwarded.
    pub(super) path: PathAndQuery,
    /// The budgets that the request counts against.
    pub(super) budgets: Option<WeightedBudgets>,
}

/// The budgets that a request counts against, and its weight in them.
pub(super) struct WeightedBudgets {
    pub(super) budgets: Rc<RequestBudgets>,
    pub(super) weight: u32,
}

impl Gateway {
    /// Routes a request. A request without a route, and an ambiguous one, gets its response here.
    pub(super) fn route(
        &self,
        installation: &ActiveInstallation,
        connection: &ClientConnection,
        head: &Parts,
    ) -> Result<RoutedRequest, EarlyResponse> {
        let host = request_host(head)?;
        let path = normalize_path(head.uri.path())
            .map_err(|_| RequestError::bad_request("the path can be read in more than one way"))?;
        let found = self.find_route(installation, head, host.as_deref(), &path)?;
        let route = &installation.config.routes[found.rule];
        // A repeated header counts as no key, as endpoints may differ in which value they use.
        let key = single_header(&head.headers, IDEMPOTENCY_KEY).filter(|key| !key.is_empty());
        let tenant = tenant(installation, route, &found, &head.headers);
        let path = forwarded_path(path, head.uri.query())?;
        let budgets = request_budgets(installation, route, tenant);
        let attempt_budgets = budgets
            .as_ref()
            .map(|weighted| &weighted.budgets)
            .filter(|budgets| budgets.counts_attempts())
            .cloned();
        let attributes = RequestAttributes {
            class: balancer_class(installation, route, &head.method, key.is_some()),
            tenant,
            key: key.map(|key| stable_hash(key.as_bytes())),
            hint_ms: None,
            is_client_retry: false,
            is_write: !head.method.is_safe(),
            deadline: Instant::now(),
            attempt_budgets,
            client: connection.socket.clone(),
        };
        Ok(RoutedRequest {
            attributes,
            timeout: timeout(route, &head.headers),
            pool: route.pool,
            path,
            budgets,
        })
    }

    /// Looks up the route; returns the response to send if there is none.
    fn find_route(
        &self,
        installation: &ActiveInstallation,
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
        match installation.config.table.find(&query) {
            Lookup::Found(found) => Ok(found),
            Lookup::NotFound => {
                let response = plain_response(StatusCode::NOT_FOUND, "no route");
                Err(self
                    .with_proxy_error(response, "destination_not_found")
                    .into())
            }
            Lookup::MethodNotAllowed(methods) => {
                let mut response =
                    plain_response(StatusCode::METHOD_NOT_ALLOWED, "no route for this method");
                if let Ok(allow) = HeaderValue::from_str(&methods.join(", ")) {
                    response.headers_mut().insert(ALLOW, allow);
                }
                Err(self
                    .with_proxy_error(response, "http_request_denied")
                    .into())
            }
        }
    }
}

/// Returns the host that a request names in its target, or else in `Host`.
fn request_host(head: &Parts) -> Result<Option<Cow<'_, str>>, RequestError> {
    let malformed_host = RequestError::bad_request("malformed Host");
    // `ClientIo` accepts only requests with one Host, or with none in HTTP/1.0.
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

/// Returns the balancer's class of a request: each class of the installation has one for each retry
/// safety.
fn balancer_class(
    installation: &ActiveInstallation,
    route: &Route,
    method: &Method,
    has_key: bool,
) -> u8 {
    let rule = match installation.config.classes[route.class].effect {
        Effect::Method => RetryRule::SafeMethods,
        Effect::Repeatable => RetryRule::IdempotentMethods,
        Effect::Keyed => RetryRule::IdempotencyKey,
        Effect::Once => RetryRule::Never,
    };
    installation.balancer_class(route.class, retry_safety(rule, method, has_key))
}

/// Returns the timeout of a request: the shorter of the route's and the client's.
fn timeout(route: &Route, headers: &HeaderMap) -> Duration {
    let client_timeout = single_header(headers, REQUEST_TIMEOUT_HEADER.as_str())
        .and_then(|text| text.parse::<u32>().ok())
        .map(|ms| Duration::from_millis(ms.into()));
    client_timeout.map_or(route.timeout, |timeout| route.timeout.min(timeout))
}

fn forwarded_path(path: Cow<'_, str>, query: Option<&str>) -> Result<PathAndQuery, RequestError> {
    let target = match query {
        Some(query) => format!("{path}?{query}"),
        None => path.into_owned(),
    };
    target
        .parse()
        .map_err(|_| RequestError::bad_request("malformed target"))
}

/// Returns the budgets that a request counts against, if the installation has a fleet and budgets.
fn request_budgets(
    installation: &ActiveInstallation,
    route: &Route,
    tenant: u16,
) -> Option<WeightedBudgets> {
    if installation.fleet.is_none() || installation.config.budgets.is_empty() {
        return None;
    }
    let priority_weight = installation.config.classes[route.class].priority_weight;
    let weight = (priority_weight * f64::from(UNIT_WEIGHT)).round();
    Some(WeightedBudgets {
        budgets: installation.budgets(tenant, route.class, route.pool),
        weight: weight.clamp(1.0, MAX_BUDGET_WEIGHT) as u32,
    })
}

/// Returns the tenant of a request; 0 if the request names none, or an unknown one.
fn tenant(
    installation: &ActiveInstallation,
    route: &Route,
    found: &Match,
    headers: &HeaderMap,
) -> u16 {
    let name = match &route.tenant {
        TenantSource::None => return 0,
        TenantSource::Fixed(number) => return *number as u16,
        TenantSource::Header(name) => single_header(headers, name),
        TenantSource::Parameter(number) => found.parameters.get(*number).map(String::as_str),
    };
    let index = |name| {
        installation
            .config
            .tenants
            .iter()
            .skip(1)
            .position(|t| t.name == name)
    };
    name.and_then(index).map_or(0, |number| number as u16 + 1)
}
