//! Settings of a deployment: classes, tenants, rules, permissions and prices. All times are in
//! milliseconds.

use crate::Millis;
#[cfg(doc)]
use crate::{Action, Balancer, Event, Outcome};

/// Whether and where a request that may have been executed can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectClass {
    /// The request can be retried at any endpoint at any time.
    Idempotent,
    /// The request carries an idempotency key. The endpoints of a [`DeduplicationScope`]
    /// deduplicate its retries for [`Class::window_ms`].
    Keyed,
    /// The request must not be executed twice.
    NonIdempotent,
}

/// The endpoints that deduplicate retries of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints of the tier deduplicate retries.
    All,
    /// The endpoints in the zone of the endpoint that may have executed the request.
    Zone,
    /// The endpoints in the cell of the endpoint that may have executed the request.
    Cell,
}

/// A request class, identified by its index in [`Settings::classes`].
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class for display. No decision reads it.
    pub name: String,
    /// Latency objective: a response within this time has its full value.
    pub latency_objective_ms: Millis,
    /// Increase of the latency objective per millisecond of the request's work. No decision reads
    /// it.
    pub latency_objective_stretch: f64,
    /// Time for which a client waits in total, over all attempts. No decision reads it.
    pub deadline_ms: Millis,
    /// Value of one request relative to requests of other classes.
    pub priority_weight: f64,
    /// Fraction of the value that remains for a response after the objective. No decision reads it.
    pub late_fraction: f64,
    /// Whether a request may be executed again.
    pub effect: EffectClass,
    /// For keyed classes, the endpoints that deduplicate retries.
    pub scope: DeduplicationScope,
    /// For keyed classes, the deduplication window. It starts when the first attempt that may have
    /// been executed is sent.
    pub window_ms: Millis,
    /// Whether responses are streams, which are reported by [`Event::FirstByte`]. No decision reads
    /// it.
    pub streaming: bool,
}

/// A tenant, identified by its index in [`Settings::tenants`].
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant for display. No decision reads it.
    pub name: String,
    /// Quota of the tenant in requests per second, for the whole fleet.
    pub quota_per_s: f64,
    /// Fraction of the service that the tenant uses. No decision reads it.
    pub fraction: f64,
}

/// The meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in flight at the endpoint.
    Active,
    /// Requests queued at the endpoint.
    Waiting,
    /// CPU utilization, as a fraction.
    Cpu,
    /// Recent service time, in milliseconds.
    LatencyMs,
    /// Requests served per second.
    PerSecond,
    /// Errors per second.
    ErrorsPerSecond,
    /// Value that this version does not know and ignores.
    Unknown,
}

/// The events that carry load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVia {
    /// Outcomes and health check results carry load reports.
    Inline,
    /// Only health check results carry load reports.
    Probe,
    /// There are no load reports.
    Off,
}

/// The meaning of an endpoint's listed weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// All weights are 1.
    Off,
    /// The weight is the registered size of the endpoint.
    Nominal,
    /// The weight is an approximation of the endpoint's size.
    Rough,
    /// The weight is the size divided by (1 + load per core), with a delay.
    Live,
}

/// Rules of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Time after the client's deadline within which the final result is still accepted. No
    /// decision reads it.
    pub answer_grace_ms: Millis,
    /// Time within which sending to a draining or removed endpoint must stop. No decision reads it.
    pub drain_grace_ms: Millis,
    /// Longest time between two polls of discovery. Without a subscription, a process that has not
    /// polled for this time counts as notified of all changes.
    pub poll_within_ms: Millis,
    /// Lower bound of the fraction of its capacity that an endpoint has when it starts.
    pub slow_start_from: f64,
    /// Upper bound of the time from an endpoint's start until it has its full capacity.
    pub slow_start_ms: Millis,
    /// Multiple of its current capacity that overloads an endpoint in slow start if it lasts for
    /// [`Rules::overload_ms`].
    pub overload_multiple: f64,
    /// Length of the window over which an overload is measured.
    pub overload_ms: Millis,
}

/// Permissions and limits of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// Whether [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// Whether [`Action::Probe`] may be used. No decision reads it.
    pub probe: bool,
    /// Whether two attempts of one request may be in flight at the same time. No decision reads it.
    pub parallel: bool,
    /// Whether [`Action::Reject::retry_after_ms`] is sent to clients.
    pub retry_after: bool,
    /// Longest `Retry-After` time that clients respect.
    pub max_retry_after_ms: Millis,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Maximum number of requests in progress in a process. No decision reads it, because the proxy
    /// does not pass in more.
    pub max_pending_requests: u32,
    /// Whether [`Action::Message`] may be used. No decision reads it, because processes share no
    /// state.
    pub peers: bool,
    /// Time without use after which a connection is closed. No decision reads it.
    pub idle_close_ms: Millis,
    /// Time for establishing a connection, after which an attempt ends with
    /// [`Outcome::ConnectFailed`]. No decision reads it.
    pub connect_timeout_ms: Millis,
    /// Maximum number of concurrent attempts on one connection. No decision reads it.
    pub streams_per_connection: u32,
    /// CPU time that a process may use, in microseconds per second. No decision reads it.
    pub cpu_us_per_s: f64,
    /// CPU time for a request including its outcomes, in microseconds; 0 for no limit. No decision
    /// reads it.
    pub cpu_us_per_request: f64,
}

/// Prices of side effects, which the objective subtracts. Decisions read only `cross_zone`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Price of attempts to other zones, as a fraction of first attempts.
    pub cross_zone: f64,
    /// Price of work that produced no served response, as a fraction of the offered work.
    pub waste: f64,
    /// Price of value that was not served within its objective.
    pub late_fail: f64,
    /// Price of health checks, per first attempt.
    pub probe: f64,
    /// Price of connections, as their average number divided by 100 times the number of endpoints.
    pub connection: f64,
    /// Price of new connections, per first attempt.
    pub handshake: f64,
    /// Price of 100 endpoint list entries, per first attempt.
    pub list_entries: f64,
    /// Price of endpoints that run or are ordered, as a fraction of the initial number.
    pub fleet: f64,
    /// Price of migrations, per first attempt.
    pub migrations: f64,
    /// Price of fetches from the origin, per first attempt.
    pub origin_fetches: f64,
    /// Price of 256 bytes sent to other processes, per first attempt.
    pub peer_bytes: f64,
}

/// Weights of the components of the objective, whose sum is about 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// Weight of the value served during the whole run.
    pub total: f64,
    /// Weight of the value served during the worst window of the run.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served tenant, within its quota. No decision reads it.
    pub worst_tenant: f64,
    /// Weight of the availability, in nines, over intervals of five seconds. No decision reads it.
    pub availability: f64,
    /// Number of nines for which `availability` counts in full. No decision reads it.
    pub availability_target_nines: f64,
}

/// All settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Rank of this process in the fleet, from 0.
    pub rank: u32,
    /// Number of processes that send to this tier; see [`Balancer::set_fleet_position`].
    pub fleet_size: u32,
    /// Zone of this process.
    pub zone: u16,
    /// Tier that this process sends to, from 0 at the top.
    pub tier: u32,
    /// Names of the tiers for display, from the top. No decision reads them.
    pub tier_names: Vec<String>,
    /// Names of the zones for display. No decision reads them.
    pub zones: Vec<String>,
    /// Machine kinds for display. No decision reads them.
    pub machine_kinds: Vec<String>,
    /// Kind of service for display. No decision reads it.
    pub service: String,
    /// Whether requests take several hundred milliseconds. Limits then start low and decrease when
    /// latencies rise above the baseline. Latencies of short requests say nothing about the load.
    pub has_long_requests: bool,
    /// Retries of attempts that may have been executed or were rejected, as a fraction of the
    /// requests.
    pub retry_ratio: f64,
    /// Whether a request between tiers carries the remaining time of its client.
    pub passes_deadline: bool,
    /// Whether an endpoint needs less work for a key that it served recently. No decision reads it.
    pub has_key_affinity: bool,
    /// Whether clients mark their retries. No decision reads it.
    pub clients_mark_retries: bool,
    /// Whether list changes are delivered only after [`Action::Subscribe`].
    pub must_subscribe: bool,
    /// Whether value is counted per unit of work instead of per request. No decision reads it.
    pub is_value_by_work: bool,
    /// Value of a request over quota, as a fraction of the value of its class. No decision reads
    /// it.
    pub over_quota_weight: f64,
    /// Shortest time between two batches of events.
    pub tick_ms: Millis,
    /// Meaning of listed weights. No decision reads it.
    pub weight_kind: WeightKind,
    /// Meanings of the values of a load report, in order; empty if there are no load reports.
    pub report_fields: Vec<ReportField>,
    /// Events that carry load reports. No decision reads it.
    pub report_via: ReportVia,
    /// Request classes; other types refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants, which other types refer to by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Rules of the platform.
    pub rules: Rules,
    /// Permissions and limits of the deployment.
    pub permissions: Permissions,
    /// Prices of side effects.
    pub prices: Prices,
    /// Weights of the components of the objective.
    pub objective: Objective,
}
