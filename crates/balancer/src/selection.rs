//! Selection of the endpoint that gets an attempt.
//!
//! An endpoint of this process's subset is drawn at random by weight. The weight increases with
//! capacity and health, and decreases with load, latency, failures and the price of traffic to
//! another zone.

use crate::admission::TOP_LATE_RATIO;
use crate::balancer::Balancer;
use crate::outlier::{
    max_ejection_ms, status_changed, Ejection, EJECTION_BASE_MS, FAILURE_FRACTION_TIME_CONSTANT_MS,
    MIN_HEALTH,
};
use crate::request::PendingRequest;
use crate::retry::is_endpoint_permitted;
use crate::slow_start::WarmTier;
use crate::{Action, EndpointState, EndpointStatus, Millis};
use rand::seq::IndexedRandom;

/// Minimum number of healthy endpoints in a subset, if the tier has as many.
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Average number of processes whose subsets contain an endpoint.
const SUBSETS_PER_ENDPOINT: f64 = 4.0;
/// Endpoints of a subset for each attempt of the recent peak in flight.
const SUBSET_ENDPOINTS_PER_ATTEMPT: f64 = 1.0;
/// Time without a response, in mean latencies, after which an endpoint's weight is reduced: an
/// early sign of a hang.
const OVERDUE_LATENCY_RATIO: f64 = 3.0;
/// Weight factor of an endpoint whose responses are overdue.
const OVERDUE_WEIGHT_FACTOR: f64 = 0.1;
/// Time without a response, in mean latencies, after which an endpoint gets no new attempts if
/// other endpoints respond.
const UNRESPONSIVE_LATENCY_RATIO: f64 = 8.0;
/// Shortest time after which an endpoint counts as unresponsive.
const MIN_UNRESPONSIVE_MS: Millis = 250.0;
/// Fraction of ejected capacity above which ejections are ignored if the normalized latency is also
/// high.
const DOUBTED_EJECTED_FRACTION: f64 = 0.5;
/// Normalized latency of the tier above which ejections may be ignored, because the remaining
/// endpoints cannot serve the load.
const DOUBTED_NORMALIZED_LATENCY: f64 = 0.5;
/// Weight factor of an endpoint that an earlier attempt of the request was sent to.
const TRIED_WEIGHT_FACTOR: f64 = 1e-6;
/// Exponent of the latency ratio in the weight, and the lowest latency ratio.
const LATENCY_EXPONENT: i32 = 3;
const MIN_LATENCY_RATIO: f64 = 0.1;
/// Exponent of the relative load in the weight.
const LOAD_EXPONENT: i32 = 8;
/// Attempts per unit of capacity that are added to the mean load, so that few attempts make no
/// large difference.
const LOAD_OFFSET: f64 = 0.5;
/// Difference between the fractions of failures of an endpoint and of all endpoints that is
/// attributed to chance.
const CHANCE_FAILURE_FRACTION: f64 = 0.05;
/// Exponent of the fraction of successes in the weight.
const FAILURE_EXPONENT: i32 = 12;
/// Factor that converts the price of another zone into a reduction of the weight of its endpoints.
const CROSS_ZONE_PRICE_FACTOR: f64 = 20_000.0;
/// Lower bound of the capacity, which keeps divisions finite.
const MIN_CAPACITY: f64 = 1e-9;
/// Time constant of the rate of served requests.
pub(crate) const THROUGHPUT_TIME_CONSTANT_MS: Millis = 3_000.0;

/// An endpoint that may be drawn.
struct Candidate {
    index: usize,
    weight: f64,
}

/// An ejected endpoint whose probation is due.
#[derive(Clone, Copy)]
struct DueProbation {
    index: usize,
    since: Millis,
}

/// The endpoints that may get a request, and their totals.
#[derive(Default)]
pub(crate) struct Candidates {
    eligible: Vec<Candidate>,
    ejected: Vec<Candidate>,
    /// Total capacity of the eligible endpoints.
    capacity: f64,
    load: f64,
    /// Number of eligible endpoints, weighted by health and slow start.
    subset_size: f64,
    own_zone_capacity: f64,
    own_zone_health: f64,
    ejected_capacity: f64,
    /// Total capacity of endpoints that respond and only wait for a slow-start token.
    waiting_capacity: f64,
    probation: Option<DueProbation>,
}

impl Candidates {
    /// Removes all endpoints and keeps the allocated buffers.
    fn clear(&mut self) {
        let (mut eligible, mut ejected) = (
            std::mem::take(&mut self.eligible),
            std::mem::take(&mut self.ejected),
        );
        eligible.clear();
        ejected.clear();
        *self = Candidates {
            eligible,
            ejected,
            ..Candidates::default()
        };
    }

    fn is_earliest_probation(&self, now: Millis, due: Millis) -> bool {
        due <= now && self.probation.is_none_or(|earliest| due < earliest.since)
    }
}

/// The endpoint of the next attempt.
#[derive(Clone, Copy)]
pub(crate) struct Selected {
    pub(crate) index: usize,
    pub(crate) is_probation: bool,
}

/// Values that the weights of all candidates depend on.
#[derive(Clone, Copy)]
struct WeightContext {
    mean_load: f64,
    mean_latency: Millis,
    overdue_after: Millis,
    cross_zone_factor: f64,
}

/// Returns the time without a response after which an endpoint counts as unresponsive.
pub(crate) fn unresponsive_after(mean_latency: Millis) -> Millis {
    (UNRESPONSIVE_LATENCY_RATIO * mean_latency).max(MIN_UNRESPONSIVE_MS)
}

impl Balancer {
    /// Selects the endpoint of the next attempt; `None` if no endpoint may get it.
    pub(crate) fn select(
        &mut self,
        request: &PendingRequest,
        actions: &mut Vec<Action>,
    ) -> Option<Selected> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        self.collect_candidates(request, &mut candidates, actions);
        let selected = self.select_among(request, &mut candidates, actions);
        self.candidates = candidates;
        selected
    }

    /// Adds endpoints to the subset until it is large enough. In a large fleet, processes that all
    /// draw from all endpoints would fill every endpoint's connection table.
    fn collect_candidates(
        &mut self,
        request: &PendingRequest,
        candidates: &mut Candidates,
        actions: &mut Vec<Action>,
    ) {
        let fleet_size = f64::from(self.settings.fleet_size);
        let target_size = MIN_SUBSET_SIZE
            .max(SUBSETS_PER_ENDPOINT * self.endpoints.list.len() as f64 / fleet_size)
            .max(SUBSET_ENDPOINTS_PER_ATTEMPT * self.learned.tier.peak_in_flight);
        let mut warm_tier = WarmTier {
            served_per_s: self
                .learned
                .throughput
                .read(self.now, THROUGHPUT_TIME_CONSTANT_MS)
                * 1000.0
                / THROUGHPUT_TIME_CONSTANT_MS,
            has_warm_endpoint: None,
        };
        for n in 0..self.endpoints.order.len() {
            let index = self.endpoints.order[n];
            if !self.is_available(request, index) {
                continue;
            }
            if !self.has_slow_start_token(index, request.class(), &mut warm_tier) {
                candidates.waiting_capacity += self.waiting_capacity(index, request.class());
                continue;
            }
            self.collect_candidate(request, index, candidates, actions);
            if candidates.subset_size >= target_size {
                break;
            }
        }
    }

    fn is_available(&self, request: &PendingRequest, index: usize) -> bool {
        let class = &self.settings.classes[request.class()];
        let info = &self.endpoints.list[index].info;
        is_endpoint_permitted(class, request, info) && info.state == EndpointState::Ready
    }

    fn collect_candidate(
        &mut self,
        request: &PendingRequest,
        index: usize,
        candidates: &mut Candidates,
        actions: &mut Vec<Action>,
    ) {
        let (now, class) = (self.now, request.class());
        let mean_latency = self.learned.latencies[class].mean;
        let endpoint = &self.endpoints.list[index];
        let capacity = endpoint.capacity(now, &self.settings.rules);
        let health = endpoint.health(now, class);
        let candidate = Candidate {
            index,
            weight: capacity * health.max(MIN_HEALTH),
        };
        if let Some(ejection) = endpoint.ejection(class) {
            candidates.ejected_capacity += capacity;
            candidates.ejected.push(candidate);
            if candidates.is_earliest_probation(now, ejection.until)
                && self.can_be_probation(request, ejection)
            {
                candidates.probation = Some(DueProbation {
                    index,
                    since: ejection.until,
                });
            }
            return;
        }
        if endpoint.is_unresponsive(now, unresponsive_after(mean_latency), self.last_response_at) {
            candidates.ejected_capacity += capacity;
            candidates.ejected.push(candidate);
            self.report_unresponsive(index, actions);
            return;
        }
        candidates.capacity += capacity;
        candidates.load += endpoint.load(now, mean_latency);
        if endpoint.info.zone == self.settings.zone {
            candidates.own_zone_capacity += capacity;
            candidates.own_zone_health += capacity * health;
        }
        candidates.subset_size += health * capacity / endpoint.weight();
        candidates.eligible.push(candidate);
    }

    fn report_unresponsive(&mut self, index: usize, actions: &mut Vec<Action>) {
        let endpoint = &mut self.endpoints.list[index];
        if !std::mem::replace(&mut endpoint.is_reported_unresponsive, true) {
            let id = endpoint.info.id;
            actions.push(status_changed(id, EndpointStatus::Ejected, None, None));
        }
    }

    fn select_among(
        &mut self,
        request: &PendingRequest,
        candidates: &mut Candidates,
        actions: &mut Vec<Action>,
    ) -> Option<Selected> {
        self.eligible_count = candidates.eligible.len();
        if candidates.probation.is_some() {
            self.eligible_count += 1;
        }
        let has_no_healthy_endpoint =
            candidates.eligible.is_empty() && candidates.waiting_capacity == 0.0;
        if has_no_healthy_endpoint || self.are_ejections_doubted(candidates) {
            self.ignore_ejections(request, candidates);
        } else if let Some(due) = candidates.probation {
            self.start_probation(due.index, request, actions);
            return Some(Selected {
                index: due.index,
                is_probation: true,
            });
        }
        self.record_subset_capacity(request, candidates);
        let context = self.weight_context(request, candidates);
        for candidate in &mut candidates.eligible {
            candidate.weight *= self.weight_factor(candidate.index, request, context);
        }
        let drawn = candidates
            .eligible
            .choose_weighted(&mut self.rng, |candidate| candidate.weight);
        drawn.ok().map(|candidate| Selected {
            index: candidate.index,
            is_probation: false,
        })
    }

    /// Records the capacity to which the throughput refers. A selection that found no endpoint says
    /// nothing about this capacity.
    fn record_subset_capacity(&mut self, request: &PendingRequest, candidates: &Candidates) {
        if request.execution.is_not_executed() && candidates.capacity > 0.0 {
            self.learned.subset_capacity = candidates.capacity;
        }
    }

    /// Returns whether so much capacity is ejected that the rest cannot serve the load.
    fn are_ejections_doubted(&self, candidates: &Candidates) -> bool {
        let capacity =
            candidates.ejected_capacity + candidates.capacity + candidates.waiting_capacity;
        candidates.ejected_capacity > DOUBTED_EJECTED_FRACTION * capacity
            && self.learned.tier.normalized_latency > DOUBTED_NORMALIZED_LATENCY
    }

    fn ignore_ejections(&mut self, request: &PendingRequest, candidates: &mut Candidates) {
        let mean_latency = self.learned.latencies[request.class()].mean;
        candidates.eligible.append(&mut candidates.ejected);
        self.eligible_count = candidates.eligible.len();
        let endpoints = || {
            let eligible = candidates.eligible.iter();
            eligible.map(|candidate| &self.endpoints.list[candidate.index])
        };
        let capacity = endpoints()
            .map(|endpoint| endpoint.capacity(self.now, &self.settings.rules))
            .sum();
        let load = endpoints()
            .map(|endpoint| endpoint.load(self.now, mean_latency))
            .sum();
        (candidates.capacity, candidates.load) = (capacity, load);
    }

    /// Starts the probation of an ejected endpoint, which gets no further probation request until
    /// the outcome is known or the longest ejection time has passed.
    fn start_probation(
        &mut self,
        index: usize,
        request: &PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        let (now, class) = (self.now, request.class());
        let until = now + max_ejection_ms(self.settings.fleet_size);
        let endpoint = &mut self.endpoints.list[index];
        let is_first = |ejection: Ejection| ejection.duration == EJECTION_BASE_MS;
        if endpoint.ejection(class).is_some_and(is_first) {
            let id = endpoint.info.id;
            actions.push(status_changed(id, EndpointStatus::Probation, None, None));
        }
        let stats = &mut endpoint.stats;
        stats.health.state.postpone_probation(until);
        stats.health_by_class[class].state.postpone_probation(until);
        let ejection = endpoint.ejection(class);
        let is_non_retryable =
            ejection.is_some_and(|ejection| self.is_non_retryable(request, ejection));
        self.probation.take_token(now, is_non_retryable);
    }

    fn weight_context(&self, request: &PendingRequest, candidates: &Candidates) -> WeightContext {
        let mean_latency = self.learned.latencies[request.class()].mean;
        WeightContext {
            mean_load: candidates.load / candidates.capacity.max(MIN_CAPACITY),
            mean_latency,
            overdue_after: OVERDUE_LATENCY_RATIO * mean_latency,
            cross_zone_factor: self.cross_zone_factor(candidates),
        }
    }

    /// Returns the weight factor of endpoints in other zones. It approaches 1 as the own zone fails
    /// or the load of the tier increases.
    fn cross_zone_factor(&self, candidates: &Candidates) -> f64 {
        let factor = 1.0 / (1.0 + CROSS_ZONE_PRICE_FACTOR * self.settings.prices.cross_zone);
        let headroom = (1.0 - self.learned.tier.normalized_latency / TOP_LATE_RATIO).max(0.0);
        factor.powf(
            headroom * candidates.own_zone_health / candidates.own_zone_capacity.max(MIN_CAPACITY),
        )
    }

    /// Returns the weight factor for an endpoint's load, latency, failures, zone and earlier
    /// attempts.
    fn weight_factor(&self, index: usize, request: &PendingRequest, context: WeightContext) -> f64 {
        let endpoint = &self.endpoints.list[index];
        let capacity = endpoint.capacity(self.now, &self.settings.rules);
        let load = endpoint.load(self.now, context.mean_latency);
        let relative_load = 1.0 + load / capacity / (context.mean_load + LOAD_OFFSET);
        let latency_ratio = endpoint.stats.latency_ratio.max(MIN_LATENCY_RATIO);
        let mut factor =
            1.0 / (latency_ratio.powi(LATENCY_EXPONENT) * relative_load.powi(LOAD_EXPONENT));
        let failure_fraction = endpoint
            .stats
            .failure_fraction
            .read(self.now, FAILURE_FRACTION_TIME_CONSTANT_MS);
        let mean_failure_fraction = self
            .learned
            .failure_fraction
            .read(self.now, FAILURE_FRACTION_TIME_CONSTANT_MS);
        let excess = (failure_fraction - mean_failure_fraction - CHANCE_FAILURE_FRACTION).max(0.0);
        factor *= (1.0 - excess).powi(FAILURE_EXPONENT);
        let is_overdue = context.overdue_after > 0.0
            && self.now - endpoint.oldest_sent_at > context.overdue_after
            && endpoint.last_response_at < endpoint.oldest_sent_at;
        if is_overdue {
            factor *= OVERDUE_WEIGHT_FACTOR;
        }
        if endpoint.info.zone != self.settings.zone {
            factor *= context.cross_zone_factor;
        }
        if request.tried.contains(&endpoint.info.id) {
            factor *= TRIED_WEIGHT_FACTOR;
        }
        factor
    }
}
