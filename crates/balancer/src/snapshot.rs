//! Snapshot and restoration of the learned state, which a process passes on to its successor.

use crate::balancer::Balancer;
use crate::concurrency_limit::{Baseline, ConcurrencyLimit, INITIAL_LIMIT};
use crate::endpoint::EndpointStats;
use crate::retry::RetryBudget;
use crate::{EndpointId, EndpointState, Millis};
use dewrun_decay::{DecayingFraction, DecayingSum, MeanAndDeviation, RisingMinimum};
use serde::{Deserialize, Serialize};

/// Initial limit of requests over quota. Capacity beyond the quotas must first be observed;
/// otherwise all new processes together overload a tier whose capacity only just covers the quotas.
const INITIAL_OVER_QUOTA_LIMIT: f64 = 1.0;

/// The state that a process has learned about a tier, except for its own pending requests.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct LearnedState {
    pub(crate) tier: ConcurrencyLimit,
    #[serde(rename = "borrow")]
    pub(crate) over_quota: ConcurrencyLimit,
    pub(crate) classes: Vec<ConcurrencyLimit>,
    /// Latencies of served requests, by class.
    pub(crate) latencies: Vec<MeanAndDeviation>,
    /// Admitted requests, by tenant.
    #[serde(rename = "shares")]
    pub(crate) tenant_windows: Vec<DecayingSum>,
    /// Arrived requests, by class.
    #[serde(rename = "asked")]
    pub(crate) arrivals: Vec<DecayingSum>,
    /// Admitted requests, by class.
    #[serde(rename = "passed")]
    pub(crate) admissions: Vec<DecayingSum>,
    /// Served requests per unit of the subset's capacity.
    pub(crate) throughput: DecayingSum,
    /// Lowest normalized latency of the tier.
    #[serde(rename = "calm")]
    pub(crate) latency_floor: RisingMinimum,
    #[serde(rename = "usual")]
    pub(crate) baseline: Baseline,
    #[serde(rename = "retries")]
    pub(crate) retry_budget: RetryBudget,
    #[serde(rename = "unsent")]
    pub(crate) connect_failure_budget: RetryBudget,
    #[serde(rename = "subset_room")]
    pub(crate) subset_capacity: f64,
    /// Total capacity of all ready endpoints at the last measurement. The limits refer to this
    /// capacity.
    #[serde(rename = "room")]
    pub(crate) capacity: f64,
    #[serde(rename = "faults")]
    pub(crate) failure_fraction: DecayingFraction,
}

impl LearnedState {
    pub(crate) fn new(classes: usize, tenants: usize) -> LearnedState {
        LearnedState {
            tier: ConcurrencyLimit::new(INITIAL_LIMIT),
            over_quota: ConcurrencyLimit::new(INITIAL_OVER_QUOTA_LIMIT),
            classes: vec![ConcurrencyLimit::new(INITIAL_LIMIT); classes],
            latencies: vec![MeanAndDeviation::default(); classes],
            tenant_windows: vec![DecayingSum::default(); tenants],
            arrivals: vec![DecayingSum::default(); classes],
            admissions: vec![DecayingSum::default(); classes],
            retry_budget: RetryBudget::full(),
            connect_failure_budget: RetryBudget::full(),
            ..LearnedState::default()
        }
    }

    /// Returns all limits: that of the tier, that of requests over quota, and those of the classes.
    pub(crate) fn limits(&self) -> impl Iterator<Item = &ConcurrencyLimit> {
        [&self.tier, &self.over_quota]
            .into_iter()
            .chain(&self.classes)
    }

    /// Returns mutable references in the order of [`LearnedState::limits`].
    pub(crate) fn limits_mut(&mut self) -> impl Iterator<Item = &mut ConcurrencyLimit> {
        [&mut self.tier, &mut self.over_quota]
            .into_iter()
            .chain(&mut self.classes)
    }

    /// Returns whether the state has as many classes and tenants as `other` and plausible limits.
    fn is_compatible_with(&self, other: &LearnedState) -> bool {
        self.classes.len() == other.classes.len()
            && self.latencies.len() == other.classes.len()
            && self.arrivals.len() == other.arrivals.len()
            && self.admissions.len() == other.admissions.len()
            && self.tenant_windows.len() == other.tenant_windows.len()
            && self.limits().all(ConcurrencyLimit::is_valid)
    }
}

/// An endpoint, its start time, and the state learned since then.
#[derive(Serialize, Deserialize)]
struct EndpointEntry(EndpointId, Option<Millis>, EndpointStats);

/// The stored form, a JSON array of two elements.
#[derive(Serialize, Deserialize)]
struct Snapshot(LearnedState, Vec<EndpointEntry>);

impl Balancer {
    /// Returns the learned state as text for [`Balancer::restore`].
    pub fn snapshot(&self) -> String {
        let endpoints = self
            .endpoints
            .list
            .iter()
            .map(|e| EndpointEntry(e.info.id, e.info.started_at, e.stats.clone()))
            .collect();
        serde_json::to_string(&Snapshot(self.learned.clone(), endpoints)).unwrap_or_default()
    }

    /// Restores the state that another process with matching settings has learned. Returns `false`
    /// and changes nothing if the text is malformed or does not match the settings.
    pub fn restore(&mut self, snapshot: &str) -> bool {
        let Ok(Snapshot(learned, entries)) = serde_json::from_str(snapshot) else {
            return false;
        };
        let classes = self.learned.classes.len();
        let has_matching_classes =
            |EndpointEntry(_, _, stats): &EndpointEntry| stats.health_by_class.len() == classes;
        if !learned.is_compatible_with(&self.learned) || !entries.iter().all(has_matching_classes) {
            return false;
        }
        self.learned = learned;
        for EndpointEntry(id, started_at, stats) in entries {
            let endpoint = self.endpoints.get_mut(id);
            // State from before the endpoint's last start is no longer valid.
            if let Some(endpoint) = endpoint.filter(|e| e.info.started_at == started_at) {
                endpoint.stats = stats;
            }
        }
        true
    }

    /// Returns the attempts in flight under each limit: that of the tier, that of requests over
    /// quota, and those of the classes.
    pub fn in_flight(&self) -> Vec<f64> {
        self.learned.limits().map(|limit| limit.in_flight).collect()
    }

    /// Sets the number of other processes that serve requests during a handover of this process,
    /// and their attempts in flight, in the order of [`Balancer::in_flight`].
    pub fn set_overlapping_processes(&mut self, processes: usize, in_flight: &[f64]) {
        self.overlapping_processes = processes as f64;
        for (n, limit) in self.learned.limits_mut().enumerate() {
            limit.overlapping_in_flight = in_flight.get(n).copied().unwrap_or_default();
        }
    }

    /// Changes the rank of this process in the fleet and the size of the fleet.
    pub fn set_fleet_position(&mut self, rank: u32, fleet_size: u32) {
        let fleet_size = fleet_size.max(1);
        let before = f64::from(std::mem::replace(&mut self.settings.fleet_size, fleet_size));
        for window in &mut self.learned.tenant_windows {
            window.scale(before / f64::from(fleet_size));
        }
        self.settings.rank = rank;
    }

    /// Returns the number of ready endpoints that get only probation requests.
    pub fn unavailable_endpoint_count(&self, now: Millis) -> usize {
        let latencies = self.learned.latencies.iter().map(|latency| latency.mean);
        let unresponsive_after =
            crate::selection::unresponsive_after(latencies.fold(0.0, f64::max));
        self.endpoints
            .list
            .iter()
            .filter(|e| e.info.state == EndpointState::Ready)
            .filter(|e| {
                e.stats.health.state.ejection().is_some()
                    || e.is_unresponsive(now, unresponsive_after, self.last_response_at)
            })
            .count()
    }
}
