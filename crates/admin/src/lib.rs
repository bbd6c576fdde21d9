//! The requests of operators and platforms to a running proxy, its metrics and its shutdown,
//! without I/O and without a clock.
//!
//! - [`AdminRequest`]: the requests at the admin address (health check, metrics, drain, undrain).
//!   The proxy's `net/platform/control.rs` accepts the connections and performs the requests.
//! - [`Metrics`]: the counters and gauges of the process, in Prometheus' text format. The request
//!   handler updates them, and the admin address serves the text.
//! - [`ShutdownPlan`]: the order in which the proxy closes its clients' connections when it drains
//!   or shuts down. The proxy's `net/client` module polls the plan at short intervals for the
//!   connections to close.
//!
//! # Guarantees
//!
//! - Each started request is counted exactly once when it ends, even if its handler is dropped,
//!   because [`RequestMetric`] counts in its destructor.
//! - All time series exist from the start, with the value 0.
//! - A stage of a [`ShutdownPlan`] remains active once it has started: a later poll never returns
//!   fewer kinds of connections to close. A shutdown replaces the plan of a drain.
//!
//! # Assumptions
//!
//! - The request handler responds to the requests in progress, or fails them at the end of the stop
//!   timeout: a plan never closes a connection whose complete request has no response yet.
//! - [`Metrics`] is used by one thread.
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::type_complexity,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::enum_glob_use,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod incomplete;
mod metrics;
mod request;
mod shutdown;

pub use incomplete::{IncompleteResponse, IncompleteResponses};
pub use metrics::{Counter, Disposition, EndpointCounts, Metrics, RequestMetric};
pub use request::{AdminError, AdminRequest};
pub use shutdown::{ConnectionsToClose, ShutdownPlan};
