//! Admission control: concurrency limits of the tier, its classes and requests over quota, the
//! order in which classes shed load, and `Retry-After` times.

use crate::balancer::Balancer;
use crate::concurrency_limit::{
    ConcurrencyLimit, Decrease, LatencySample, LatencyThresholds, BASELINE_RISE_PER_S,
    INITIAL_LIMIT, MIN_LIMIT,
};
use crate::request::PendingRequest;
use crate::tenant_quota::{self, TenantQuota};
use crate::{Action, Millis, Settings, UnservedReason};
use dewrun_decay::DecayingSum;

/// Initial limit of the top tier for each endpoint, divided among the processes.
const INITIAL_LIMIT_PER_ENDPOINT: f64 = 8.0;
/// Initial limit for each endpoint where processes have little traffic.
const INITIAL_SPARSE_LIMIT_PER_ENDPOINT: f64 = 5.0;
/// Constant part of the initial limit where processes have little traffic, so that a random cluster
/// of requests is not rejected.
const INITIAL_SPARSE_LIMIT: f64 = 4.0;
/// Lowest limit for each endpoint, divided among the processes: fewer attempts cannot cause late
/// responses.
const MIN_LIMIT_PER_ENDPOINT: f64 = 0.5;
/// Normalized latency above which the limits of the top tier decrease.
pub(crate) const TOP_LATE_RATIO: f64 = 0.6;
/// Normalized latency above which the limit of a higher-priority class of the top tier decreases if
/// nearly all traffic has lower priority.
const TOP_LATE_RATIO_HIGHER_PRIORITY: f64 = 1.0;
/// Normalized latency above which the limits of a lower tier decrease. It is higher than at the
/// top, because the tiers above have already spent work on the request.
const LOWER_TIER_LATE_RATIO: f64 = 0.9;
/// Latency threshold of the limit of requests over quota, as a fraction of the distance from the
/// lowest latency to the objective.
const OVER_QUOTA_LATE_FRACTION: f64 = 0.15;
/// Time constant of the rates of arrivals and admissions of classes.
pub(crate) const CLASS_RATE_TIME_CONSTANT_MS: Millis = 10_000.0;
/// Time between two rankings of the classes.
const RANKING_INTERVAL_MS: Millis = 100.0;
/// Time between two measurements of the total capacity.
pub(crate) const CAPACITY_CHECK_INTERVAL_MS: Millis = 50.0;
/// Largest ratio by which one change of the capacity scales the limits: limits learned with almost
/// no endpoints say little about many endpoints.
const MAX_CAPACITY_CHANGE_RATIO: f64 = 4.0;
/// `Retry-After` time before jitter, in mean latencies.
const RETRY_AFTER_MEAN_LATENCIES: f64 = 0.5;
/// Mean latency that is assumed before any is known.
const UNKNOWN_MEAN_LATENCY_MS: Millis = 200.0;
/// Lower bound of a class's arrivals, which keeps divisions finite.
const MIN_ARRIVALS: f64 = 1e-9;

/// Latency thresholds by priority.
struct PriorityThresholds {
    /// Thresholds of the tier and of classes of higher priority.
    higher: LatencyThresholds,
    /// Thresholds of classes of lower priority.
    lower: LatencyThresholds,
}

/// The priorities of classes, of which lower ones shed load first.
pub(crate) struct ClassPriorities {
    pub(crate) is_lower: Vec<bool>,
    /// Fraction of the requests that belong to a class of lower priority.
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

    /// Ranks the classes by the value that one served request adds to the objective, which gives a
    /// bonus to the worst-served class. All classes but those of the highest value have lower
    /// priority.
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
            .map(|sum| sum.read(now, CLASS_RATE_TIME_CONSTANT_MS).max(MIN_ARRIVALS))
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

/// Returns the value that one served request of each class adds to the objective.
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
    let admitted =
        |class: usize| admissions[class].read(now, CLASS_RATE_TIME_CONSTANT_MS) / arrivals[class];
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
    /// Checks that all limits that apply to a request have capacity.
    ///
    /// # Errors
    ///
    /// Returns [`UnservedReason::OverLimit`] if the limit of the tier or of the class is reached,
    /// and [`UnservedReason::OverQuota`] if only the limit of requests over quota is reached.
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

    /// Returns whether a request is over its tenant's quota. Only the top tier checks quotas,
    /// because the tiers above a lower one have already spent work on the request.
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

    /// Removes an ended attempt from all limits that apply to it.
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
        self.learned.admissions[request.class()].add(self.now, CLASS_RATE_TIME_CONSTANT_MS);
        let window = self.learned.tenant_windows.get_mut(request.context.tenant);
        if let Some(window) = window.filter(|_| !request.is_over_quota) {
            tenant_quota::record_admission(window, self.now);
        }
    }

    /// Sets the limits of the top tier when the first list arrives. Limits of lower tiers start
    /// open, because a rejected request wastes the work of the tiers above.
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
            if window.is_empty() {
                let quota = TenantQuota::new(tenant, self.settings.fleet_size);
                *window = quota.full_window(self.now);
            }
        }
    }

    /// Scales the limits with the capacity of the listed endpoints as endpoints drain or warm up,
    /// because late responses would reveal a loss of capacity too late.
    pub(crate) fn scale_limits_to_capacity(&mut self) {
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

    /// Records a sample in all limits. Classes learn from the samples of all classes, because a
    /// class with a long objective would otherwise never react to the load that it causes.
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
        let floor = self.learned.latency_floor.update(
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

    /// Returns the thresholds for classes of higher and lower priority. The more of the traffic has
    /// lower priority and sheds load first, the higher are the thresholds of the other classes.
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

    /// Returns the time after which a rejected client should retry. It is random, so that clients
    /// that are rejected together do not retry together, and 0 below the top tier, whose clients
    /// are processes that do not wait.
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
