//! Admission control: the limits of tier, classes and requests over quota, which class sheds first,
//! and when a rejected client should come back.

use crate::balancer::Balancer;
use crate::concurrency_limit::{
    ConcurrencyLimit, Decrease, LatencySample, LatencyThresholds, BASELINE_RISE_PER_S,
    INITIAL_LIMIT, MIN_LIMIT,
};
use crate::request::PendingRequest;
use crate::tenant_quota::{self, TenantQuota};
use crate::{Action, Millis, Settings, UnservedReason};
use dewrun_decay::DecayingSum;

/// Initial limit of the top tier for each endpoint, shared by the processes.
const INITIAL_LIMIT_PER_ENDPOINT: f64 = 8.0;
/// Initial limit for each endpoint where processes have little traffic.
const INITIAL_SPARSE_LIMIT_PER_ENDPOINT: f64 = 5.0;
/// Added to the limit above, so that a random bunch of requests is not rejected.
const INITIAL_SPARSE_LIMIT: f64 = 4.0;
/// The lowest limit for each endpoint, shared by the processes: so few attempts cannot be the cause
/// of late responses.
const MIN_LIMIT_PER_ENDPOINT: f64 = 0.5;
/// Normalized latency above which the limits of the top tier decrease.
pub(crate) const TOP_LATE_RATIO: f64 = 0.6;
/// The same for a class of higher priority, if all traffic had lower priority.
const TOP_LATE_RATIO_HIGHER_PRIORITY: f64 = 1.0;
/// The same below the top tier: later, because the tiers above have spent work on the request.
const LOWER_TIER_LATE_RATIO: f64 = 0.9;
/// Fraction of the way from the lowest latency to the objective above which the limit of requests
/// over quota decreases.
const OVER_QUOTA_LATE_FRACTION: f64 = 0.15;
/// Time constant of the rates of arrivals and admissions of classes.
pub(crate) const CLASS_RATE_MS: Millis = 10_000.0;
/// Time between two rankings of the classes.
const RANKING_INTERVAL_MS: Millis = 100.0;
/// Time between two looks at the capacity of all endpoints.
pub(crate) const CAPACITY_CHECK_INTERVAL_MS: Millis = 50.0;
/// The largest change of the limits by one look at the capacity: limits that were learned with
/// nearly no endpoints say little of many.
const MAX_CAPACITY_CHANGE_RATIO: f64 = 4.0;
/// Mean latencies after which a rejected client may come back.
const RETRY_AFTER_MEAN_LATENCIES: f64 = 0.5;
/// The mean latency where none is known.
const UNKNOWN_MEAN_LATENCY_MS: Millis = 200.0;
/// The smallest arrivals of a class: keeps divisions finite.
const MIN_ARRIVALS: f64 = 1e-9;

/// The thresholds by priority.
struct PriorityThresholds {
    /// For the tier, and for classes of higher priority.
    higher: LatencyThresholds,
    lower: LatencyThresholds,
}

/// Which classes shed load first.
pub(crate) struct ClassPriorities {
    pub(crate) is_lower: Vec<bool>,
    /// Fraction of the requests that are of such a class.
    lower_fraction: f64,
    ranked_at: Millis,
}

impl ClassPriorities {
    pub(crate) fn new(classes: usize) -> ClassPriorities {
        ClassPriorities {
            is_lower: vec![false; classes],
            lower_fraction: 0.0,
            ranked_at: f64::MIN,
        }
    }

    /// Ranks the classes by what one request adds to the objective, where the worst-served class
    /// counts more. All but the best have lower priority.
    pub(crate) fn rank(
        &mut self,
        now: Millis,
        settings: &Settings,
        arrivals: &[DecayingSum],
        admissions: &[DecayingSum],
    ) {
        if now - self.ranked_at < RANKING_INTERVAL_MS {
            return;
        }
        self.ranked_at = now;
        let arrivals: Vec<f64> = arrivals
            .iter()
            .map(|sum| sum.read(now, CLASS_RATE_MS).max(MIN_ARRIVALS))
            .collect();
        let total: f64 = arrivals.iter().sum();
        let values = request_values(now, settings, &arrivals, admissions);
        let best = values.iter().copied().fold(0.0, f64::max);
        self.is_lower = values.iter().map(|value| *value < best).collect();
        self.lower_fraction = arrivals
            .iter()
            .zip(&self.is_lower)
            .filter(|(_, is_lower)| **is_lower)
            .map(|(arrivals, _)| arrivals / total)
            .sum();
    }
}

/// What one served request of each class adds to the objective.
fn request_values(
    now: Millis,
    settings: &Settings,
    arrivals: &[f64],
    admissions: &[DecayingSum],
) -> Vec<f64> {
    let total: f64 = arrivals.iter().sum();
    let priority_weight = |class: usize| settings.classes[class].priority_weight;
    let mean_weight: f64 = arrivals
        .iter()
        .enumerate()
        .map(|(class, arrivals)| priority_weight(class) * arrivals / total)
        .sum();
    let admitted = |class: usize| admissions[class].read(now, CLASS_RATE_MS) / arrivals[class];
    let worst = (0..arrivals.len())
        .filter(|class| arrivals[*class] > 1.0)
        .min_by(|a, b| admitted(*a).total_cmp(&admitted(*b)));
    let objective = &settings.objective;
    let value = |class: usize| {
        let bonus = if worst == Some(class) {
            objective.worst_class * total / arrivals[class]
        } else {
            0.0
        };
        (objective.total + objective.worst_window) * priority_weight(class)
            / mean_weight.max(MIN_ARRIVALS)
            + bonus
    };
    (0..arrivals.len()).map(value).collect()
}

impl Balancer {
    /// Admits a request if all limits that apply to it have capacity.
    ///
    /// # Errors
    ///
    /// [`UnservedReason::OverLimit`] where the limit of the tier or of the class is reached, and
    /// [`UnservedReason::OverQuota`] where only that of requests over quota is.
    pub(crate) fn admit(&mut self, request: &PendingRequest) -> Result<(), UnservedReason> {
        let random = self.random();
        let has_capacity = self.learned.tier.has_capacity(random)
            && self.learned.classes[request.class()].has_capacity(random);
        if !has_capacity {
            return Err(UnservedReason::OverLimit);
        }
        if request.is_over_quota && !self.learned.over_quota.has_capacity(random) {
            return Err(UnservedReason::OverQuota);
        }
        Ok(())
    }

    /// Whether a request is over its tenant's quota. The top tier decides; below it, the tiers
    /// above have spent work on the request.
    pub(crate) fn is_over_quota(&self, tenant: usize) -> bool {
        let (Some(settings), Some(window)) = (
            self.settings.tenants.get(tenant),
            self.learned.tenant_windows.get(tenant),
        ) else {
            return false;
        };
        let quota = TenantQuota::new(settings, self.settings.fleet_size);
        self.settings.tier == 0 && quota.is_exceeded(window, self.now)
    }

    /// Counts a sent attempt in all limits that apply to it.
    pub(crate) fn acquire_limits(&mut self, request: &PendingRequest) {
        self.add_in_flight(request, 1.0);
    }

    /// Takes an ended attempt out of all limits that apply to it.
    pub(crate) fn release_limits(&mut self, request: &PendingRequest) {
        self.add_in_flight(request, -1.0);
    }

    fn add_in_flight(&mut self, request: &PendingRequest, attempts: f64) {
        self.learned.tier.in_flight += attempts;
        self.learned.classes[request.class()].in_flight += attempts;
        if request.is_over_quota {
            self.learned.over_quota.in_flight += attempts;
        }
    }

    /// Counts an admitted request for its class and its tenant.
    pub(crate) fn record_admission(&mut self, request: &PendingRequest) {
        self.learned.admissions[request.class()].add(self.now, CLASS_RATE_MS);
        let window = self.learned.tenant_windows.get_mut(request.context.tenant);
        if let Some(window) = window.filter(|_| !request.is_over_quota) {
            tenant_quota::charge(window, self.now);
        }
    }

    /// Sets the limits of the top tier when the first list arrives. Below the top, a request that
    /// is rejected wastes the work of the tiers above.
    pub(crate) fn set_initial_limits(&mut self) {
        let is_first_list =
            self.learned.tier.limit == INITIAL_LIMIT && !self.endpoints.list.is_empty();
        if self.settings.tier != 0 || !is_first_list {
            return;
        }
        if self.settings.has_long_requests {
            let endpoints = self.endpoints_per_process();
            let limit = (INITIAL_LIMIT_PER_ENDPOINT * endpoints)
                .max(INITIAL_SPARSE_LIMIT_PER_ENDPOINT * endpoints + INITIAL_SPARSE_LIMIT);
            self.learned.tier = ConcurrencyLimit::new(limit);
            for class in &mut self.learned.classes {
                *class = ConcurrencyLimit::new(limit);
            }
        }
        let windows = self.learned.tenant_windows.iter_mut();
        for (window, tenant) in windows.zip(&self.settings.tenants) {
            if window.is_new() {
                let quota = TenantQuota::new(tenant, self.settings.fleet_size);
                *window = quota.full_window(self.now);
            }
        }
    }

    /// Scales the limits with the capacity of the listed endpoints, as some drain and others warm
    /// up: late responses would tell of a loss too late.
    pub(crate) fn follow_capacity(&mut self) {
        self.capacity_checked_at = self.now;
        let capacity = self
            .endpoints
            .ready_capacity(self.now, &self.settings.rules);
        let before = std::mem::replace(&mut self.learned.capacity, capacity);
        if before > 0.0 && capacity > 0.0 && before != capacity {
            let ratio = (capacity / before)
                .clamp(1.0 / MAX_CAPACITY_CHANGE_RATIO, MAX_CAPACITY_CHANGE_RATIO);
            for limit in self.learned.limits_mut() {
                limit.limit = (limit.limit * ratio).max(MIN_LIMIT);
            }
        }
    }

    /// Takes a sample into all limits. Classes learn from all samples alike: a class with a long
    /// objective would else never feel the load that it makes.
    pub(crate) fn record_latency_sample(
        &mut self,
        sample: LatencySample,
        actions: &mut Vec<Action>,
    ) {
        let PriorityThresholds { higher, lower } = self.latency_thresholds(sample);
        let decrease = self.learned.tier.record_sample(self.now, sample, higher);
        let classes = self.learned.classes.iter_mut();
        for (class, is_lower) in classes.zip(&self.priorities.is_lower) {
            let thresholds = if *is_lower { lower } else { higher };
            class.record_sample(self.now, sample, thresholds);
        }
        let floor = self.learned.latency_floor.follow(
            self.now,
            self.learned.tier.normalized_latency,
            BASELINE_RISE_PER_S,
        );
        let over_quota = LatencyThresholds {
            late: floor + OVER_QUOTA_LATE_FRACTION * (1.0 - floor).max(0.0),
            queueing: f64::MAX,
            min_limit: MIN_LIMIT,
        };
        self.learned
            .over_quota
            .record_sample(self.now, sample, over_quota);
        if let Some(cause) = decrease {
            self.log_limit_decrease(cause, actions);
        }
    }

    /// The thresholds for classes of higher and of lower priority. The more of the traffic has
    /// lower priority, and sheds first, the later the rest does.
    fn latency_thresholds(&mut self, sample: LatencySample) -> PriorityThresholds {
        let is_top = self.settings.tier == 0;
        if is_top {
            let (arrivals, admissions) = (&self.learned.arrivals, &self.learned.admissions);
            self.priorities
                .rank(self.now, &self.settings, arrivals, admissions);
        }
        let queueing = if self.settings.has_long_requests {
            self.learned
                .baseline
                .record_sample(self.now, sample.normalized_latency)
        } else {
            f64::MAX
        };
        let (late, queueing, extra) = if is_top {
            let extra =
                (TOP_LATE_RATIO_HIGHER_PRIORITY - TOP_LATE_RATIO) * self.priorities.lower_fraction;
            (TOP_LATE_RATIO, queueing, extra)
        } else {
            (LOWER_TIER_LATE_RATIO, f64::MAX, 0.0)
        };
        let min_limit = self.min_limit();
        PriorityThresholds {
            higher: LatencyThresholds {
                late: late + extra,
                queueing: queueing + extra,
                min_limit,
            },
            lower: LatencyThresholds {
                late,
                queueing,
                min_limit,
            },
        }
    }

    fn min_limit(&self) -> f64 {
        let per_process = MIN_LIMIT_PER_ENDPOINT * self.endpoints.list.len() as f64
            / f64::from(self.settings.fleet_size);
        MIN_LIMIT.max(per_process)
    }

    fn log_limit_decrease(&mut self, cause: Decrease, actions: &mut Vec<Action>) {
        let Decrease {
            normalized_latency,
            threshold,
        } = cause;
        let limit = self.learned.tier.limit;
        let baseline = self.learned.baseline.minimum.value();
        self.log(actions, || {
            format!(
                "concurrency limit decreased: limit={limit:.1} \
                 normalized_latency={normalized_latency:.2} threshold={threshold:.2} \
                 baseline={baseline:.2}"
            )
        });
    }

    /// When a rejected client should come back: a random time, so that clients that are rejected
    /// together do not return together. 0 below the top tier, where nobody waits.
    pub(crate) fn retry_after(&mut self, class: usize) -> Millis {
        let permissions = &self.settings.permissions;
        let longest = permissions.max_retry_after_ms;
        if self.settings.tier > 0 || !permissions.retry_after {
            return 0.0;
        }
        let mean_latency = Some(self.learned.latencies[class].mean)
            .filter(|mean| *mean > 0.0)
            .unwrap_or(UNKNOWN_MEAN_LATENCY_MS);
        (RETRY_AFTER_MEAN_LATENCIES * mean_latency * (0.5 + self.random())).min(longest)
    }

    fn endpoints_per_process(&self) -> f64 {
        self.endpoints.list.len() as f64 / f64::from(self.settings.fleet_size)
    }
}
