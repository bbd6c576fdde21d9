//! The requests at the admin address.

use thiserror::Error;

/// A request at the admin address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// `GET /healthcheck`: reports whether this process can serve.
    HealthCheck,
    /// `GET /stats`: returns the metrics.
    Metrics,
    /// `PUT /healthcheck/fail`: starts a drain, so that clients are directed elsewhere.
    Drain,
    /// `PUT /healthcheck/ok`: ends a drain.
    Undrain,
}

/// A reason why a request is not an admin request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AdminError {
    /// The path is unknown; the status is 404.
    #[error("no such path")]
    NotFound,
    /// The path only accepts another method; the status is 405, with an `Allow` header.
    #[error("the method must be {allowed}")]
    MethodNotAllowed {
        /// The only method that the path accepts.
        allowed: &'static str,
    },
}

/// A path with its method and the corresponding admin request.
struct Route {
    method: &'static str,
    path: &'static str,
    request: AdminRequest,
}

const ROUTES: [Route; 4] = [
    Route {
        method: "GET",
        path: "/healthcheck",
        request: AdminRequest::HealthCheck,
    },
    Route {
        method: "GET",
        path: "/stats",
        request: AdminRequest::Metrics,
    },
    Route {
        method: "PUT",
        path: "/healthcheck/fail",
        request: AdminRequest::Drain,
    },
    Route {
        method: "PUT",
        path: "/healthcheck/ok",
        request: AdminRequest::Undrain,
    },
];

impl AdminRequest {
    /// Routes an HTTP request by its method and its path without the query.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError::NotFound`] for an unknown path, and [`AdminError::MethodNotAllowed`]
    /// for a known path with another method.
    pub fn route(method: &str, path: &str) -> Result<AdminRequest, AdminError> {
        let route = ROUTES
            .iter()
            .find(|route| route.path == path)
            .ok_or(AdminError::NotFound)?;
        if method == route.method {
            Ok(route.request)
        } else {
            Err(AdminError::MethodNotAllowed {
                allowed: route.method,
            })
        }
    }
}

#[cfg(test)]
mod tests;
