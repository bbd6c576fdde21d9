//! What a deployment sets: classes, tenants, rules, permissions and prices. All times are in
//! milliseconds.

use crate::Millis;
#[cfg(doc)]
use crate::{Action, Balancer, Event, Outcome};

/// Whether, and where, a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectClass {
    /// Safe to repeat anywhere, at any time.
    Idempotent,
    /// Carries a key: a [`DeduplicationScope`] of endpoints drops repeats for [`Class::window_ms`].
    Keyed,
    /// Must never run twice.
    NonIdempotent,
}

/// The endpoints that drop the repeats of one keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints of the tier.
    All,
    /// Those in the zone of the endpoint that may have run it.
    Zone,
    /// Those in the cell of the endpoint that may have run it.
    Cell,
}

/// A class of requests. Classes are named by their place in [`Settings::classes`].
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, for people; no decision reads it.
    pub name: String,
    /// A response within this time has its full value.
    pub latency_objective_ms: Millis,
    /// Growth of the objective per millisecond of the request's work. No decision reads it.
    pub latency_objective_stretch: f64,
    /// How long a client waits in all, over its attempts. No decision reads it.
    pub deadline_ms: Millis,
    /// Value of one request beside those of other classes.
    pub priority_weight: f64,
    /// Fraction of the value that remains after the objective. No decision reads it.
    pub late_fraction: f64,
    /// Whether a request may run again.
    pub effect: EffectClass,
    /// For keyed classes: the endpoints that drop repeats.
    pub scope: DeduplicationScope,
    /// For keyed classes: the deduplication window, from the send of the first attempt that may
    /// have run.
    pub window_ms: Millis,
    /// Responses are streams: [`Event::FirstByte`] comes. No decision reads it.
    pub streaming: bool,
}

/// A tenant, named by its place in [`Settings::tenants`].
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, for people; no decision reads it.
    pub name: String,
    /// The quota, in requests per second over the whole fleet.
    pub quota_per_s: f64,
    /// Fraction of the service. No decision reads it.
    pub fraction: f64,
}

/// One value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in flight at the endpoint.
    Active,
    /// Requests that wait for service.
    Waiting,
    /// Fraction of the CPU in use.
    Cpu,
    /// Recent service time, in milliseconds.
    LatencyMs,
    /// Requests served per second.
    PerSecond,
    /// Errors per second.
    ErrorsPerSecond,
    /// Unknown to this version, and ignored.
    Unknown,
}

/// When load reports come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVia {
    /// With outcomes and with probe results.
    Inline,
    /// With probe results only.
    Probe,
    /// Never.
    Off,
}

/// What an endpoint's listed weight means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// Always 1.
    Off,
    /// The registered size.
    Nominal,
    /// About the size.
    Rough,
    /// Size divided by 1 + load per core, some time ago.
    Live,
}

/// The platform's rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may come this long after the client's deadline. No decision reads it.
    pub answer_grace_ms: Millis,
    /// Sends to a draining or gone endpoint must stop within this time. No decision reads it.
    pub drain_grace_ms: Millis,
    /// Without a subscription, a process that has not polled for this long counts as notified.
    pub poll_within_ms: Millis,
    /// Fraction of its capacity that an endpoint has at its start, at least.
    pub slow_start_from: f64,
    /// Time from its start until an endpoint has its full capacity, at most.
    pub slow_start_ms: Millis,
    /// Multiple of its present capacity that overloads an endpoint which warms up ...
    pub overload_multiple: f64,
    /// ... if it gets that much for this long.
    pub overload_ms: Millis,
}

/// What this deployment permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// [`Action::Probe`] may be used. No decision reads it.
    pub probe: bool,
    /// Two attempts of one request may be in flight at once. No decision reads it.
    pub parallel: bool,
    /// [`Action::Reject::retry_after_ms`] is sent to clients.
    pub retry_after: bool,
    /// The longest such wait that clients follow.
    pub max_retry_after_ms: Millis,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The most requests that a process holds at once. No decision reads it: more never arrive.
    pub max_pending_requests: u32,
    /// [`Action::Message`] may be used. No decision reads it: processes share nothing.
    pub peers: bool,
    /// Connections close after this long without use. No decision reads it.
    pub idle_close_ms: Millis,
    /// An attempt without a connection by then ends as [`Outcome::ConnectFailed`]. No decision
    /// reads it.
    pub connect_timeout_ms: Millis,
    /// Attempts that one connection carries at once. No decision reads it.
    pub streams_per_connection: u32,
    /// CPU that a process may use, in microseconds per second. No decision reads it.
    pub cpu_us_per_s: f64,
    /// CPU for a request with its outcomes, in microseconds; 0 for no limit. No decision reads it.
    pub cpu_us_per_request: f64,
}

/// Prices: what reduces the result, each by its rate. Decisions read `cross_zone` alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// For attempts to another zone, as a fraction of first attempts.
    pub cross_zone: f64,
    /// For work that served no response, as a fraction of the work offered.
    pub waste: f64,
    /// For value that was not served by its objective.
    pub late_fail: f64,
    /// For health checks, per first attempt.
    pub probe: f64,
    /// For connections open on average, over 100 times the endpoints.
    pub connection: f64,
    /// For new connections, per first attempt.
    pub handshake: f64,
    /// For list entries, over 100 per first attempt.
    pub list_entries: f64,
    /// For endpoints running or ordered, as a fraction of those at the start.
    pub fleet: f64,
    /// For migrations, per first attempt.
    pub migrations: f64,
    /// For fetches from the origin, per first attempt.
    pub origin_fetches: f64,
    /// For bytes to other processes, over 256 per first attempt.
    pub peer_bytes: f64,
}

/// The weights of the parts of the result; their sum is about 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The whole run.
    pub total: f64,
    /// The worst window of the run.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, within its quota. No decision reads it.
    pub worst_tenant: f64,
    /// The nines served, over spans of five seconds. No decision reads it.
    pub availability: f64,
    /// The nines that earn `nines` in full. No decision reads it.
    pub availability_target_nines: f64,
}

/// All settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The rank of this process in the fleet, from 0.
    pub rank: u32,
    /// Processes that send to this tier; see [`Balancer::set_fleet_position`].
    pub fleet_size: u32,
    /// The zone of this process.
    pub zone: u16,
    /// The tier that this process sends to, from 0 at the top.
    pub tier: u32,
    /// The tiers' names, from the top, for people; no decision reads them.
    pub tier_names: Vec<String>,
    /// The zones' names, for people; no decision reads them.
    pub zones: Vec<String>,
    /// The kinds of machine, for people; no decision reads them.
    pub machine_kinds: Vec<String>,
    /// The kind of service, for people; no decision reads it.
    pub service: String,
    /// Whether requests take some hundred milliseconds. Limits then start low, and decrease when
    /// latencies rise above the baseline; the latencies of short requests say nothing of load.
    pub has_long_requests: bool,
    /// Retries of attempts that may have run or were rejected, as a fraction of the requests.
    pub retry_ratio: f64,
    /// Whether a request between tiers carries the time that its client has left.
    pub passes_deadline: bool,
    /// Whether an endpoint that served a key lately needs less work for it. No decision reads it.
    pub has_key_affinity: bool,
    /// Whether clients mark what they send again. No decision reads it.
    pub clients_mark_retries: bool,
    /// Whether list changes come only after [`Action::Subscribe`].
    pub must_subscribe: bool,
    /// Whether value goes by work and not by request. No decision reads it.
    pub is_value_by_work: bool,
    /// Value of a request over quota, as a fraction of that of its class. No decision reads it.
    pub over_quota_weight: f64,
    /// The shortest time between two batches of events.
    pub tick_ms: Millis,
    /// What listed weights mean. No decision reads it.
    pub weight_kind: WeightKind,
    /// The values of a load report, in order; empty where there are none.
    pub report_fields: Vec<ReportField>,
    /// When load reports come. No decision reads it.
    pub report_via: ReportVia,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The figures of the rules.
    pub rules: Rules,
    /// What is permitted.
    pub permissions: Permissions,
    /// Prices.
    pub prices: Prices,
    /// What the result consists of.
    pub objective: Objective,
}
