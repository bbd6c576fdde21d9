//! A matrix of faults, pool sizes, loads and effect classes: the quality of service that a pool
//! keeps in each cell, and the attempts that this takes.

use crate::other_balancers::{Model, OtherBalancer};
use crate::pool::{rules, Fault, Pool, PoolSimulation, RequestOutcome, RequestRecord, RunRecord};
use dewrun_balancer::{
    Balancer, Class, DeduplicationScope, EffectClass, Millis, Objective, Permissions, Prices,
    ReportVia, Settings, WeightKind,
};
use serde::Serialize;

/// Mean service time of a request, in milliseconds.
pub const MEAN_SERVICE_TIME: Millis = 20.0;
/// Number of requests that one member executes concurrently.
pub const SLOTS: usize = 8;
/// Start of the fault.
pub const FAULT_FROM: Millis = 5_000.0;
/// End of the fault.
pub const FAULT_UNTIL: Millis = 25_000.0;
/// Time during which requests arrive.
pub const DURATION: Millis = 50_000.0;

/// The members with the fault. The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum FaultyMembers {
    /// One member.
    One,
    /// Half of the members.
    Half,
    /// All members but one.
    AllButOne,
    /// All members.
    All,
}

/// One cell of the matrix.
#[derive(Clone, Copy, Debug)]
pub struct MatrixCell {
    /// Name and kind of the fault.
    pub fault: (&'static str, Fault),
    /// Number of members in the pool.
    pub members: u32,
    /// Members with the fault.
    pub faulty: FaultyMembers,
    /// Load as a fraction of the capacity of the healthy members; 0 stands for one request a
    /// second.
    pub load: f64,
    /// Effect class of all requests.
    pub effect: EffectClass,
    /// Number of instances that share the load.
    pub instances: u32,
}

/// All faults with their names on the command line and in reports.
pub const FAULTS: [(&str, Fault); 13] = [
    ("refused", Fault::ConnectionRefused),
    ("no-connect", Fault::ConnectTimeout),
    ("closed", Fault::ConnectionClosed),
    ("reset", Fault::ConnectionReset),
    ("cut", Fault::TruncatedResponse),
    ("500-at-once", Fault::ImmediateError),
    ("503-unseen", Fault::Overloaded),
    ("hang", Fault::Hang),
    ("slow-x10", Fault::Slow(10.0)),
    ("restarted", Fault::Restarted),
    ("flapping", Fault::Flapping),
    ("a-fifth-fails", Fault::ErrorFraction(0.2)),
    ("one-class", Fault::OneClass),
];

impl MatrixCell {
    /// Returns the number of faulty members.
    pub fn faulty_members(&self) -> u32 {
        match self.faulty {
            FaultyMembers::One => 1,
            FaultyMembers::Half => self.members / 2,
            FaultyMembers::AllButOne => self.members - 1,
            FaultyMembers::All => self.members,
        }
    }

    /// Returns the capacity of one member, in requests a second.
    pub fn member_capacity_per_s() -> f64 {
        SLOTS as f64 / MEAN_SERVICE_TIME * 1000.0
    }

    /// Returns the arrival rate, in requests a second.
    pub fn requests_per_s(&self) -> f64 {
        let healthy = f64::from((self.members - self.faulty_members()).max(1));
        if self.load > 0.0 {
            self.load * healthy * MatrixCell::member_capacity_per_s()
        } else {
            1.0
        }
    }

    /// Returns the time from the start of the fault until the service must have recovered.
    pub fn detection_grace(&self) -> Millis {
        if self.fault.1 == Fault::Hang {
            10_000.0
        } else {
            3_000.0
        }
    }

    /// Returns the pool of this cell. At one request a second all times are ten times as long.
    pub fn pool(&self) -> Pool {
        let time_scale = if self.load > 0.0 { 1.0 } else { 10.0 };
        Pool {
            members: self.members,
            slots: SLOTS,
            mean_service_time: MEAN_SERVICE_TIME,
            faulty_members: self.faulty_members(),
            fault: self.fault.1,
            fault_from: FAULT_FROM * time_scale,
            fault_until: if self.fault.1 == Fault::Restarted {
                FAULT_FROM * time_scale + 1_000.0
            } else {
                FAULT_UNTIL * time_scale
            },
            requests_per_ms: self.requests_per_s() / 1000.0,
            duration: DURATION * time_scale,
            rules: rules(),
            latency_objective: 1_000.0,
            deadline: 10_000.0,
            connect_timeout: 1_000.0,
            classes: if self.fault.1 == Fault::OneClass {
                2
            } else {
                1
            },
        }
    }

    /// Returns the settings of the balancer for an installation with this pool.
    pub fn settings(&self, rank: u32) -> Settings {
        let pool = self.pool();
        let class = Class {
            name: String::new(),
            latency_objective_ms: pool.latency_objective,
            latency_objective_stretch: 0.0,
            deadline_ms: pool.deadline,
            priority_weight: 1.0,
            late_fraction: 0.2,
            effect: self.effect,
            scope: DeduplicationScope::All,
            window_ms: 10_000.0,
            streaming: false,
        };
        Settings {
            rank,
            fleet_size: self.instances,
            zone: 0,
            tier: 0,
            tier_names: Vec::new(),
            zones: Vec::new(),
            machine_kinds: Vec::new(),
            service: String::new(),
            has_long_requests: false,
            retry_ratio: 0.2,
            passes_deadline: true,
            has_key_affinity: false,
            clients_mark_retries: false,
            must_subscribe: false,
            is_value_by_work: false,
            over_quota_weight: 0.1,
            tick_ms: 1.0,
            weight_kind: WeightKind::Nominal,
            report_fields: Vec::new(),
            report_via: ReportVia::Off,
            classes: vec![class; usize::from(pool.classes)],
            tenants: Vec::new(),
            rules: pool.rules,
            permissions: Permissions {
                cancel: true,
                probe: false,
                parallel: false,
                retry_after: true,
                max_retry_after_ms: 5_000.0,
                max_attempts: 3,
                max_pending_requests: u32::MAX,
                peers: false,
                idle_close_ms: 30_000.0,
                connect_timeout_ms: pool.connect_timeout,
                streams_per_connection: 1,
                cpu_us_per_s: 0.0,
                cpu_us_per_request: 0.0,
            },
            prices: Prices::default(),
            objective: Objective {
                total: 0.7,
                worst_window: 0.2,
                worst_class: 0.1,
                worst_tenant: 0.0,
                availability: 0.0,
                availability_target_nines: 0.0,
            },
        }
    }

    /// Runs the cell with the balancer. A seed determines the run on every machine.
    pub fn run_balancer(&self, seed: u64) -> RunRecord {
        let instance = |rank: u32| Balancer::new(self.settings(rank), seed ^ u64::from(rank + 1));
        PoolSimulation::new(
            self.pool(),
            (0..self.instances).map(instance).collect(),
            seed,
        )
        .run()
    }

    /// Runs the cell with the model of another balancer.
    pub fn run_other_balancer(&self, balancer: OtherBalancer, seed: u64) -> RunRecord {
        let instance =
            |rank: u32| Model::new(balancer, &self.settings(rank), seed ^ u64::from(rank + 1));
        PoolSimulation::new(
            self.pool(),
            (0..self.instances).map(instance).collect::<Vec<_>>(),
            seed,
        )
        .run()
    }
}

/// The result of a cell.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Requests that arrived during the fault, after the grace time of the fault.
    pub offered: usize,
    /// Offered requests that were served within the latency objective.
    #[serde(rename = "in_aim")]
    pub within_objective: usize,
    /// Offered requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Offered requests that failed.
    pub failed: usize,
    /// Attempts per request over the whole run.
    pub attempts: f64,
    /// Time from the start of the fault until every later second served at least 0.99 of its
    /// requests within the objective; `None` if that never happened.
    #[serde(rename = "holds_after")]
    pub recovered_after: Option<Millis>,
    /// Time from the end of the fault until the faulty members received at least 0.9 of their share
    /// of the attempts within three seconds; `None` if that never happened.
    #[serde(rename = "share_after")]
    pub share_restored_after: Option<Millis>,
    /// Violated rules in the whole run: requests without exactly one final outcome, non-idempotent
    /// requests that were executed twice or were executed and rejected, and members that went down
    /// from overload during slow start.
    #[serde(rename = "broken")]
    pub violations: usize,
}

impl Verdict {
    /// Returns the fraction of the offered requests that were served within the objective.
    pub fn served_fraction(&self) -> f64 {
        self.within_objective as f64 / self.offered.max(1) as f64
    }
}

/// Computes the result of a run.
pub fn judge(cell: &MatrixCell, record: &RunRecord) -> Verdict {
    let pool = cell.pool();
    let is_within_objective = |request: &RequestRecord| {
        request.outcome.is_some_and(|(at, outcome)| {
            outcome == RequestOutcome::Served && at - request.arrived_at <= pool.latency_objective
        })
    };
    let until = if pool.fault == Fault::Restarted {
        pool.fault_from + 20_000.0
    } else {
        pool.fault_until
    };
    let during: Vec<_> = record
        .requests
        .iter()
        .filter(|request| {
            request.arrived_at >= pool.fault_from + cell.detection_grace()
                && request.arrived_at < until
        })
        .collect();
    let count = |outcome: RequestOutcome| {
        during
            .iter()
            .filter(|request| request.outcome.is_some_and(|e| e.1 == outcome))
            .count()
    };
    let interval = if cell.load > 0.0 { 1_000.0 } else { 10_000.0 };
    let intervals = ((until - pool.fault_from) / interval) as usize;
    let mut served_by_interval = vec![(0usize, 0usize); intervals];
    for request in record
        .requests
        .iter()
        .filter(|request| request.arrived_at >= pool.fault_from && request.arrived_at < until)
    {
        let slot = &mut served_by_interval
            [(((request.arrived_at - pool.fault_from) / interval) as usize).min(intervals - 1)];
        slot.0 += 1;
        slot.1 += usize::from(is_within_objective(request));
    }
    let last_below = served_by_interval
        .iter()
        .rposition(|(all, served)| (*served as f64) < 0.99 * *all as f64);
    let recovered_after = match last_below {
        None => Some(0.0),
        Some(last) if last + 1 == intervals => None,
        Some(last) => Some((last + 1) as f64 * interval),
    };
    let is_non_idempotent =
        |class: usize| cell.settings(0).classes[class].effect == EffectClass::NonIdempotent;
    let violations = record.requests.iter().filter(|request| {
        let is_executed_twice = is_non_idempotent(request.class.into()) && request.executions > 1;
        let is_executed_but_rejected = is_non_idempotent(request.class.into())
            && request.executions > 0
            && request
                .outcome
                .is_some_and(|e| e.1 == RequestOutcome::Rejected);
        request.responses != 1 || is_executed_twice || is_executed_but_rejected
    });
    Verdict {
        offered: during.len(),
        within_objective: during
            .iter()
            .filter(|request| is_within_objective(request))
            .count(),
        rejected: count(RequestOutcome::Rejected),
        failed: count(RequestOutcome::Failed),
        attempts: record.attempts.len() as f64 / record.requests.len().max(1) as f64,
        recovered_after,
        share_restored_after: share_restored_after(cell, &pool, record),
        violations: violations.count() + record.overloaded.len(),
    }
}

/// Returns the time from the end of the fault until the faulty members receive their share of the
/// attempts again, in windows of three seconds (60 s at one request a second).
fn share_restored_after(cell: &MatrixCell, pool: &Pool, record: &RunRecord) -> Option<Millis> {
    let faulty = cell.faulty_members();
    if faulty == cell.members {
        return Some(0.0);
    }
    let window = if cell.load > 0.0 { 3_000.0 } else { 60_000.0 };
    let share = f64::from(faulty) / f64::from(cell.members);
    let steps = ((pool.duration - window - pool.fault_until) / 500.0).max(0.0) as usize;
    let has_share = |step: usize| {
        let from = pool.fault_until + 500.0 * step as f64;
        let within = record
            .attempts
            .iter()
            .filter(|attempt| attempt.sent_at >= from && attempt.sent_at < from + window);
        let (all, to_faulty) = within.fold((0usize, 0usize), |(all, to_faulty), attempt| {
            (all + 1, to_faulty + usize::from(attempt.member < faulty))
        });
        // With few requests, chance alone leaves the members below their share: two standard
        // deviations are allowed.
        let tolerance = 2.0 * (share * (1.0 - share) * all as f64).sqrt();
        all > 0 && to_faulty as f64 >= 0.9 * share * all as f64 - tolerance
    };
    (0..steps)
        .find(|step| has_share(*step))
        .map(|step| 500.0 * step as f64)
}
