//! What an operator or a platform asks of a running proxy, without I/O and without a clock.
//!
//! - [`AdminRequest`]: the requests at the admin address (health check, metrics, drain, undrain).
//!   The proxy's `net/platform/control.rs` accepts the connections and performs the requests.
//! - [`Metrics`]: the counters and gauges of the process, in Prometheus' text format. The request
//!   handler counts, the admin address serves the text.
//! - [`ShutdownPlan`]: in which order the proxy closes its clients' connections when it drains or
//!   ends. The proxy's `net/client` asks the plan in short intervals what to close, and closes it.
//!
//! # What it guarantees
//!
//! - Each request that was started is counted exactly once when it ends, also if its handler is
//!   dropped: [`RequestMetric`] counts in its destructor.
//! - All time series exist from the start, at 0.
//! - A stage of a [`ShutdownPlan`] that has begun stays in force: a later look never closes fewer
//!   kinds of connections. A shutdown replaces the plan of a drain.
//!
//! # What it assumes
//!
//! - Requests in progress are answered, or failed at the end of the stop timeout, by the request
//!   handler: a plan never closes a connection whose complete request has no response yet.
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

mod metrics;
mod request;
mod shutdown;

pub use metrics::{Counter, Disposition, EndpointCounts, Metrics, RequestMetric};
pub use request::{AdminError, AdminRequest};
pub use shutdown::{ConnectionsToClose, ShutdownPlan};
