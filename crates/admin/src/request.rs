//! The requests at the admin address.

use thiserror::Error;

/// A request at the admin address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// `GET /healthcheck`: can this process serve?
    HealthCheck,
    /// `GET /stats`: the metrics.
    Metrics,
    /// `PUT /healthcheck/fail`: drain; stop attracting clients.
    Drain,
    /// `PUT /healthcheck/ok`: take clients again.
    Undrain,
}

/// Why a request is not an admin request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AdminError {
    /// Nothing is served at this path: 404.
    #[error("no such path")]
    NotFound,
    /// The path is served for another method: 405, with `Allow`.
    #[error("the method must be {allowed}")]
    MethodNotAllowed {
        /// The one method of the path.
        allowed: &'static str,
    },
}

/// A path, its one method, and what they ask for.
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
    /// [`AdminError::NotFound`] for an unknown path, [`AdminError::MethodNotAllowed`] for a known
    /// path with another method.
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
