//! What a deployment sets: classes, tenants, rules, permissions and prices. All times are in
//! milliseconds.

use crate::Millis;
#[cfg(doc)]
use crate::{Action, Event, Outcome};

/// Whether, and where, a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectClass {
    /// Safe to repeat anywhere, at any time.
    Repeatable,
    /// Carries a key: a [`DeduplicationScope`] of endpoints drops repeats for [`Class::window_ms`].
    Keyed,
    /// Must never run twice.
    Once,
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
    /// An answer within this time earns the full worth.
    pub latency_objective_ms: Millis,
    /// How much the aim grows for each millisecond of the request's work; 0 where it does not. No
    /// decision reads it.
    pub latency_objective_stretch: f64,
    /// How long a client waits in all, over its tries. No decision reads it.
    pub deadline_ms: Millis,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_fraction: f64,
    /// May it run again?
    pub effect: EffectClass,
    /// For keyed classes: who drops repeats.
    pub scope: DeduplicationScope,
    /// For keyed classes: for how long, from the send of the first attempt that may have run.
    pub window_ms: Millis,
    /// Its answers are streams: [`Event::FirstByte`] comes. No decision reads it.
    pub streaming: bool,
}

/// A tenant, named by its place in [`Settings::tenants`].
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, for people; no decision reads it.
    pub name: String,
    /// Requests a second, over all copies together, that are within its share.
    pub quota_per_s: f64,
    /// Its part of the service. No decision reads it.
    pub fraction: f64,
}

/// One value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests the endpoint holds.
    Active,
    /// Requests that wait for service.
    Waiting,
    /// Part of its CPU in use.
    Cpu,
    /// Recent service time, in milliseconds.
    LatencyMs,
    /// Requests served a second.
    PerSecond,
    /// Errors a second.
    ErrorsPerSecond,
    /// A value this version does not know; it is passed over.
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

/// What an endpoint's rating means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Always 1.
    Off,
    /// The registered size.
    Nominal,
    /// About the size.
    Rough,
    /// Size over 1 + load a core, some time ago.
    Live,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may come this long after the client's deadline. No decision reads it.
    pub answer_grace_ms: Millis,
    /// Sends to a draining or gone endpoint must stop within this time. No decision reads it.
    pub drain_grace_ms: Millis,
    /// Without a subscription, a copy that has not asked for this long counts as told.
    pub poll_within_ms: Millis,
    /// An endpoint starts with this part of its capacity or more.
    pub slow_start_from: f64,
    /// And is warm after this time at the latest.
    pub slow_start_ms: Millis,
    /// A cold endpoint that gets more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long falls over.
    pub overload_ms: Millis,
}

/// What this deployment permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Allowed {
    /// [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// [`Action::Probe`] may be used. No decision reads it.
    pub probe: bool,
    /// Two attempts of one request may be out at once. No decision reads it.
    pub parallel: bool,
    /// Clients are told [`Action::Reject::retry_after_ms`].
    pub retry_after: bool,
    /// The longest such wait that a client follows.
    pub max_retry_after_ms: Millis,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The most requests a copy holds at once. No decision reads it: more never reach the copy.
    pub max_open: u32,
    /// [`Action::Message`] may be used. No decision reads it: copies share nothing.
    pub peers: bool,
    /// Connections close after this long without use. No decision reads it.
    pub idle_close_ms: Millis,
    /// An attempt without a connection by then ends as [`Outcome::ConnectFailed`]. No decision
    /// reads it.
    pub connect_timeout_ms: Millis,
    /// Attempts that one connection carries at once. No decision reads it.
    pub streams_per_connection: u32,
    /// CPU a copy may use, in microseconds a second. No decision reads it.
    pub cpu_us_per_s: f64,
    /// CPU for a request with its outcomes, in microseconds; 0 for no limit. No decision reads it.
    pub cpu_us_per_request: f64,
}

/// Points taken off the result, each times its share or rate. Decisions read `cross_zone` alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// For attempts that go to another zone, as a part of first tries.
    pub cross_zone: f64,
    /// For endpoint work that served no answer, as a part of the work offered.
    pub waste: f64,
    /// For worth left unserved after its aim.
    pub late_fail: f64,
    /// For probes, each first try.
    pub probe: f64,
    /// For connections open on average, over 100 times the endpoints.
    pub connection: f64,
    /// For new connections, each first try.
    pub handshake: f64,
    /// For list lines, over 100 for each first try.
    pub list_lines: f64,
    /// For endpoints running or ordered, as a part of those at the start.
    pub fleet: f64,
    /// For moves, each first try.
    pub moves: f64,
    /// For fetches from the origin, each first try.
    pub origin: f64,
    /// For bytes to other copies, over 256 for each first try.
    pub peer: f64,
}

/// How the parts of the result are weighted; they sum to about 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The whole run.
    pub whole: f64,
    /// The worst stretch of it.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, within its share. No decision reads it.
    pub worst_tenant: f64,
    /// The nines served, over spans of five seconds. No decision reads it.
    pub nines: f64,
    /// The nines that earn `nines` in full. No decision reads it.
    pub full_at_nines: f64,
}

/// Everything a balancer is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of this copy, from 0.
    pub rank: u32,
    /// How many copies send to this tier; may be out of date later on.
    pub fleet_size: u32,
    /// The zone of this copy.
    pub zone: u16,
    /// The tier this copy sends to, from 0 at the top.
    pub stage: u32,
    /// The tiers' names, from the top, for people; no decision reads them.
    pub stages: Vec<String>,
    /// The zones' names, for people; no decision reads them.
    pub zones: Vec<String>,
    /// The kinds of machine, for people; no decision reads them.
    pub machine_kinds: Vec<String>,
    /// The kind of service, for people; no decision reads it.
    pub service: String,
    /// Whether calls last long enough, some hundred milliseconds, for gates to start low and to be
    /// cut where calls take longer than usual. Where calls are fast, neither says anything of
    /// load.
    pub has_long_requests: bool,
    /// Repeats of attempts that may have run or were turned away, as a part of the requests over
    /// time.
    pub retry_ratio: f64,
    /// Whether a call between tiers carries the time its caller has left.
    pub passes_deadline: bool,
    /// Whether an endpoint that served a key lately needs less work for it. No decision reads it.
    pub warm_keys: bool,
    /// Whether clients mark what they send again. No decision reads it.
    pub marks_retry: bool,
    /// Whether list changes come only after [`Action::Subscribe`].
    pub must_subscribe: bool,
    /// Worth goes by work, as told by the hint, and not by request. No decision reads it.
    pub weight_by_work: bool,
    /// Worth of a request over its tenant's share, as a part of its class's. No decision reads it.
    pub over_quota_weight: f64,
    /// The shortest time between two batches of events.
    pub tick_ms: Millis,
    /// What ratings mean. No decision reads it.
    pub weights: Weights,
    /// The values of a load report, in order; empty where there are none.
    pub report: Vec<ReportField>,
    /// When load reports come. No decision reads it.
    pub report_via: ReportVia,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The figures of the rules.
    pub rules: Rules,
    /// What is permitted.
    pub allowed: Allowed,
    /// What things cost.
    pub prices: Prices,
    /// What counts.
    pub objective: Objective,
}
