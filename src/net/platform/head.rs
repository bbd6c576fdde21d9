//! Parsing and checks of the head of a request in the platform's format.

use super::handler::PlatformHandler;
use crate::net::client::{ClientConnection, RequestError};
use crate::net::discovery::stable_hash;
use crate::net::driver::RequestAttributes;
use crate::net::headers::{is_request_id, single_header};
use crate::net::upstream::REQUEST_TIMEOUT_HEADER;
use dewrun_balancer::EffectClass;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use std::time::{Duration, Instant};

pub(super) const REQUEST_ID: &str = "request-id";
const US_PER_MS: f64 = 1_000.0;

/// The attributes, timeout and path of a request with a valid head.
pub(super) struct ValidHead {
    pub(super) attributes: RequestAttributes,
    pub(super) timeout: Duration,
    pub(super) path: PathAndQuery,
}

impl PlatformHandler {
    /// Parses and checks the head of a request.
    pub(super) fn read_head(
        &self,
        connection: &ClientConnection,
        head: &Parts,
    ) -> Result<ValidHead, RequestError> {
        let headers = &head.headers;
        check_request_id(headers)?;
        let class = self.class(headers)?;
        let tenant = self.tenant(headers)?;
        let timeout = self.timeout(headers, class)?;
        check_method(head, self.classes[class].effect)?;
        let info = headers.get("request-info");
        let info = info.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let attributes = RequestAttributes {
            class: class as u8,
            tenant: tenant as u16,
            key: key(head.uri.path()),
            hint_ms: work_hint_ms(headers),
            is_client_retry: single_header(headers, "client-retry") == Some("1"),
            is_write: info.split(',').any(|part| part.trim() == "write=1"),
            deadline: Instant::now(),
            attempt_budgets: None,
            client: connection.socket.clone(),
        };
        let path = head.uri.path_and_query().cloned();
        Ok(ValidHead {
            attributes,
            timeout,
            path: path.ok_or(RequestError::bad_request("no path"))?,
        })
    }

    /// Returns the index of the class that a request names.
    fn class(&self, headers: &HeaderMap) -> Result<usize, RequestError> {
        let name = single_header(headers, "request-class")
            .ok_or(RequestError::bad_request("no single Request-Class"))?;
        let class = self.classes.iter().position(|class| class.name == name);
        class.ok_or(RequestError::bad_request("unknown class"))
    }

    /// Returns the index of the tenant that a request names; 0 if the settings have no tenants.
    fn tenant(&self, headers: &HeaderMap) -> Result<usize, RequestError> {
        if self.tenants.is_empty() {
            return Ok(0);
        }
        let name = single_header(headers, "tenant")
            .ok_or(RequestError::bad_request("no single Tenant"))?;
        let tenant = self.tenants.iter().position(|tenant| tenant.name == name);
        tenant.ok_or(RequestError::bad_request("unknown tenant"))
    }

    /// Returns the timeout that the client gives, limited to the deadline of the class.
    fn timeout(&self, headers: &HeaderMap, class: usize) -> Result<Duration, RequestError> {
        let timeout_ms: u32 = single_header(headers, REQUEST_TIMEOUT_HEADER.as_str())
            .filter(|text| text.bytes().all(|b| b.is_ascii_digit()))
            .and_then(|text| text.parse().ok())
            .ok_or(RequestError::bad_request("no usable Request-Timeout-Ms"))?;
        let max_ms = Some(self.classes[class].deadline_ms)
            .filter(|max_ms| *max_ms >= 1.0)
            .unwrap_or(f64::MAX);
        Ok(Duration::from_millis(timeout_ms.min(max_ms as u32).into()))
    }
}

fn check_request_id(headers: &HeaderMap) -> Result<(), RequestError> {
    let id = single_header(headers, REQUEST_ID)
        .ok_or(RequestError::bad_request("no single Request-Id"))?;
    if !is_request_id(id) {
        return Err(RequestError::bad_request("malformed Request-Id"));
    }
    Ok(())
}

/// Checks that the method and the number of idempotency keys are those of the class.
fn check_method(head: &Parts, effect: EffectClass) -> Result<(), RequestError> {
    let (method, keys) = match effect {
        EffectClass::Idempotent => (Method::GET, None),
        EffectClass::Keyed => (Method::POST, Some(1)),
        EffectClass::NonIdempotent => (Method::POST, Some(0)),
    };
    if head.method != method {
        return Err(RequestError::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "not the method of this class",
        ));
    }
    let found = head.headers.get_all("idempotency-key").iter().count();
    if keys.is_some_and(|keys| keys != found) {
        return Err(RequestError::bad_request(
            "Idempotency-Key does not go with this class",
        ));
    }
    Ok(())
}

/// Returns the client's estimate of the work, which the header has in microseconds.
fn work_hint_ms(headers: &HeaderMap) -> Option<f64> {
    single_header(headers, "work-hint")
        .and_then(|text| text.parse::<f64>().ok())
        .filter(|us| us.is_finite() && *us >= 0.0)
        .map(|us| us / US_PER_MS)
}

/// Returns the key of a request: the last segment of its path as a hexadecimal number, or its hash.
fn key(path: &str) -> Option<u64> {
    let last = path.rsplit('/').next().filter(|last| !last.is_empty())?;
    Some(u64::from_str_radix(last, 16).unwrap_or_else(|_| stable_hash(last.as_bytes())))
}
