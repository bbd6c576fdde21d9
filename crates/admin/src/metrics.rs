//! The metrics of one process, in Prometheus' text exposition format, version 0.0.4.

use crate::incomplete::IncompleteResponses;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
pub use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// The prefix of all metric names.
const METRIC_PREFIX: &str = "svc";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The response of an endpoint was forwarded.
    Succeeded,
    /// The request was rejected without being executed, and the client may retry it.
    Declined,
    /// The request failed, or was cancelled by its client.
    Aborted,
}

impl Disposition {
    /// Returns the value of the label `disposition`.
    fn label(self) -> &'static str {
        match self {
            Disposition::Succeeded => "succeeded",
            Disposition::Declined => "declined",
            Disposition::Aborted => "aborted",
        }
    }
}

/// The labels of the results. The field names are the label names in the metrics text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    /// The name of the request class.
    service: String,
    disposition: &'static str,
}

/// The result counters of one class.
#[derive(Clone, Default)]
struct ClassResults {
    succeeded: Counter,
    declined: Counter,
    aborted: Counter,
}

impl ClassResults {
    /// Creates the three time series of a class, so that they exist before the first request.
    fn register(results: &Family<ResultLabels, Counter>, class: &str) -> ClassResults {
        let counter_for = |disposition: Disposition| {
            let labels = ResultLabels {
                service: class.to_string(),
                disposition: disposition.label(),
            };
            results.get_or_create(&labels).clone()
        };
        ClassResults {
            succeeded: counter_for(Disposition::Succeeded),
            declined: counter_for(Disposition::Declined),
            aborted: counter_for(Disposition::Aborted),
        }
    }

    fn counter(&self, disposition: Disposition) -> &Counter {
        match disposition {
            Disposition::Succeeded => &self.succeeded,
            Disposition::Declined => &self.declined,
            Disposition::Aborted => &self.aborted,
        }
    }
}

/// The state of the endpoint list at the time of a scrape.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// The number of endpoints in the list.
    pub listed: usize,
    /// The number of listed endpoints that are ejected or on probation for every class.
    pub ejected: usize,
    /// The time since the list was last known to be current.
    pub list_age: Duration,
}

/// The counters and gauges of one process, which start at 0.
pub struct Metrics {
    registry: Registry,
    /// The result counters, indexed by class.
    results: Vec<ClassResults>,
    forwards: Counter,
    unsolicited: Counter,
    incomplete_responses: IncompleteResponses,
    task_restarts: Counter,
    reloads_applied: Counter,
    reloads_rejected: Counter,
    outstanding: Gauge,
    listed: Gauge,
    ejected: Gauge,
    list_age_seconds: Gauge<f64, AtomicU64>,
}

impl Metrics {
    /// Creates the metrics for classes with these names, in the order of their indexes.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Metrics {
        let results = Family::<ResultLabels, Counter>::default();
        let mut metrics = Metrics {
            registry: Registry::with_prefix(METRIC_PREFIX),
            results: classes
                .into_iter()
                .map(|class| ClassResults::register(&results, class))
                .collect(),
            forwards: Counter::default(),
            unsolicited: Counter::default(),
            incomplete_responses: IncompleteResponses::default(),
            task_restarts: Counter::default(),
            reloads_applied: Counter::default(),
            reloads_rejected: Counter::default(),
            outstanding: Gauge::default(),
            listed: Gauge::default(),
            ejected: Gauge::default(),
            list_age_seconds: Gauge::default(),
        };
        metrics.register_all(results);
        metrics
    }

    /// Registers the time series with their names, in the order of the metrics text.
    fn register_all(&mut self, results: Family<ResultLabels, Counter>) {
        let registry = &mut self.registry;
        registry.register(
            "results",
            "Requests that ended, by class and by how",
            results,
        );
        registry.register(
            "forwards",
            "Attempts written whole to backends",
            self.forwards.clone(),
        );
        registry.register(
            "sighup_applied",
            "Configurations taken on SIGHUP",
            self.reloads_applied.clone(),
        );
        registry.register(
            "sighup_rejected",
            "Configurations refused on SIGHUP",
            self.reloads_rejected.clone(),
        );
        registry.register(
            "outstanding",
            "Requests taken and not ended",
            self.outstanding.clone(),
        );
        registry.register("discovered", "Backends in the list", self.listed.clone());
        registry.register(
            "ejected",
            "Listed backends that are avoided",
            self.ejected.clone(),
        );
        registry.register(
            "discovery_list_age",
            "Seconds since the list in use was last known to be current",
            self.list_age_seconds.clone(),
        );
        registry.register(
            "unsolicited",
            "Times that backends sent bytes which no request asked for",
            self.unsolicited.clone(),
        );
        self.incomplete_responses.register(registry);
        registry.register(
            "task_restarts",
            "Times that a task of the process ended and was started again",
            self.task_restarts.clone(),
        );
    }

    /// Counts a request of a class as outstanding until the returned value is dropped.
    pub fn start_request(&self, class: u8) -> RequestMetric {
        self.outstanding.inc();
        let results = self
            .results
            .get(usize::from(class))
            .cloned()
            .unwrap_or_default();
        RequestMetric {
            results,
            outstanding: self.outstanding.clone(),
            disposition: Disposition::Aborted,
        }
    }

    /// Returns the counter of attempts, which the upstream side increments when the request of an
    /// attempt is completely written.
    pub fn forwards(&self) -> Counter {
        self.forwards.clone()
    }

    /// Returns the counter of unsolicited bytes, which the upstream side increments each time an
    /// endpoint sends bytes that belong to no request.
    pub fn unsolicited(&self) -> Counter {
        self.unsolicited.clone()
    }

    /// Returns the counters of responses that were not relayed completely, which the upstream side
    /// increments.
    pub fn incomplete_responses(&self) -> IncompleteResponses {
        self.incomplete_responses.clone()
    }

    /// Returns the counter of task restarts, which the supervisor increments.
    pub fn task_restarts(&self) -> Counter {
        self.task_restarts.clone()
    }

    /// Counts a reload of the configuration, applied or rejected.
    pub fn count_reload(&self, is_applied: bool) {
        if is_applied {
            self.reloads_applied.inc();
        } else {
            self.reloads_rejected.inc();
        }
    }

    /// Returns all metrics as text, with the endpoint gauges set to `endpoints`.
    pub fn to_text(&self, endpoints: EndpointCounts) -> String {
        self.listed.set(endpoints.listed as i64);
        self.ejected.set(endpoints.ejected as i64);
        self.list_age_seconds.set(endpoints.list_age.as_secs_f64());
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// A request in progress. When this value is dropped, the request is counted as ended with the
/// disposition that was set, or as aborted if none was set.
pub struct RequestMetric {
    results: ClassResults,
    outstanding: Gauge,
    disposition: Disposition,
}

impl RequestMetric {
    /// Sets the disposition that is counted when this value is dropped.
    pub fn set_disposition(&mut self, disposition: Disposition) {
        self.disposition = disposition;
    }
}

impl Drop for RequestMetric {
    fn drop(&mut self) {
        self.outstanding.dec();
        self.results.counter(self.disposition).inc();
    }
}
