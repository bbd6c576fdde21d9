//! Faults by size of pool, load and effect; what service the pool keeps in each, and what
//! it costs.

use crate::other_balancers::{Model, OtherBalancer};
use crate::pool::{rules, Fault, Pool, PoolSimulation, RequestOutcome, RunRecord};
use dewrun_balancer::{
    Balancer, Class, DeduplicationScope, EffectClass, Millis, Objective, Permissions, Prices,
    ReportVia, Settings, WeightKind,
};
use serde::Serialize;

/// Milliseconds of service that a call takes in the mean.
pub const MEAN_SERVICE_TIME: Millis = 20.0;
/// Calls that one member works on at once.
pub const SLOTS: usize = 8;
/// When the fault begins and ends, and when a run does.
pub const FAULT_FROM: Millis = 5_000.0;
/// See [`FAULT_FROM`].
pub const FAULT_UNTIL: Millis = 25_000.0;
/// See [`FAULT_FROM`].
pub const DURATION: Millis = 50_000.0;

/// How many of the members are faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum FaultyMembers {
    /// One.
    One,
    /// A half.
    Half,
    /// All but one.
    AllButOne,
    /// All.
    All,
}

/// One cell.
#[derive(Clone, Copy, Debug)]
pub struct MatrixCell {
    /// What goes wrong, and its name.
    pub fault: (&'static str, Fault),
    /// How many members there are.
    pub members: u32,
    /// How many of them it happens to.
    pub faulty: FaultyMembers,
    /// Requests a second, as a part of what the healthy members can do; one a second if 0.
    pub load: f64,
    /// What a request does.
    pub effect: EffectClass,
    /// How many instances share the load.
    pub instances: u32,
}

/// The kinds of fault.
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
    /// How many members are faulty.
    pub fn faulty_members(&self) -> u32 {
        match self.faulty {
            FaultyMembers::One => 1,
            FaultyMembers::Half => self.members / 2,
            FaultyMembers::AllButOne => self.members - 1,
            FaultyMembers::All => self.members,
        }
    }

    /// Requests a second that one member can serve.
    pub fn member_capacity_per_s() -> f64 {
        SLOTS as f64 / MEAN_SERVICE_TIME * 1000.0
    }

    /// Requests a second that are asked for.
    pub fn requests_per_s(&self) -> f64 {
        let healthy = f64::from((self.members - self.faulty_members()).max(1));
        if self.load > 0.0 {
            self.load * healthy * MatrixCell::member_capacity_per_s()
        } else {
            1.0
        }
    }

    /// How long a failure like this is given until service must hold again.
    pub fn detection_grace(&self) -> Millis {
        if self.fault.1 == Fault::Hang {
            10_000.0
        } else {
            3_000.0
        }
    }

    /// The pool that this cell is played on. At one request a second all is ten times as long.
    pub fn pool(&self) -> Pool {
        let longer = if self.load > 0.0 { 1.0 } else { 10.0 };
        Pool {
            members: self.members,
            slots: SLOTS,
            mean_service_time: MEAN_SERVICE_TIME,
            faulty_members: self.faulty_members(),
            fault: self.fault.1,
            fault_from: FAULT_FROM * longer,
            fault_until: if self.fault.1 == Fault::Restarted {
                FAULT_FROM * longer + 1_000.0
            } else {
                FAULT_UNTIL * longer
            },
            requests_per_ms: self.requests_per_s() / 1000.0,
            duration: DURATION * longer,
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

    /// The module's settings of an installation with such a pool.
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

    /// Plays it before the module; the run of one seed is the same everywhere.
    pub fn run_balancer(&self, seed: u64) -> RunRecord {
        let each = |rank: u32| Balancer::new(self.settings(rank), seed ^ u64::from(rank + 1));
        PoolSimulation::new(self.pool(), (0..self.instances).map(each).collect(), seed).run()
    }

    /// Plays it before a rival.
    pub fn run_other_balancer(&self, balancer: OtherBalancer, seed: u64) -> RunRecord {
        let each =
            |rank: u32| Model::new(balancer, &self.settings(rank), seed ^ u64::from(rank + 1));
        PoolSimulation::new(
            self.pool(),
            (0..self.instances).map(each).collect::<Vec<_>>(),
            seed,
        )
        .run()
    }
}

/// What a cell came to.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Requests while the fault lasted, from when service must hold.
    pub offered: usize,
    /// Of these, served within the aim.
    #[serde(rename = "in_aim")]
    pub within_objective: usize,
    /// Of these, refused.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Of these, failed.
    pub failed: usize,
    /// Attempts a request, over the whole run.
    pub attempts: f64,
    /// Milliseconds after the beginning of the fault from which every second kept 0.99; `None`
    /// if never.
    #[serde(rename = "holds_after")]
    pub recovered_after: Option<Millis>,
    /// Milliseconds after its end from which the members have 0.9 of their share over three
    /// seconds; `None` if never.
    #[serde(rename = "share_after")]
    pub share_restored_after: Option<Millis>,
    /// Of the whole run: requests without exactly one answer, unrepeatable ones that ran twice or
    /// were refused and ran, and cold members pushed over.
    #[serde(rename = "broken")]
    pub violations: usize,
}

impl Verdict {
    /// The part of what was offered that was served in aim.
    pub fn served_fraction(&self) -> f64 {
        self.within_objective as f64 / self.offered.max(1) as f64
    }
}

/// Judges a run.
pub fn judge(cell: &MatrixCell, record: &RunRecord) -> Verdict {
    let pool = cell.pool();
    let is_within_objective = |request: &crate::pool::RequestRecord| {
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
    let second = if cell.load > 0.0 { 1_000.0 } else { 10_000.0 };
    let seconds = ((until - pool.fault_from) / second) as usize;
    let mut served_by_second = vec![(0usize, 0usize); seconds];
    for request in record
        .requests
        .iter()
        .filter(|request| request.arrived_at >= pool.fault_from && request.arrived_at < until)
    {
        let slot = &mut served_by_second
            [(((request.arrived_at - pool.fault_from) / second) as usize).min(seconds - 1)];
        slot.0 += 1;
        slot.1 += usize::from(is_within_objective(request));
    }
    let last_below = served_by_second
        .iter()
        .rposition(|(all, served)| (*served as f64) < 0.99 * *all as f64);
    let recovered_after = match last_below {
        None => Some(0.0),
        Some(last) if last + 1 == seconds => None,
        Some(last) => Some((last + 1) as f64 * second),
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

/// When the members that were faulty have their share again, by windows of three seconds.
fn share_restored_after(cell: &MatrixCell, pool: &Pool, record: &RunRecord) -> Option<Millis> {
    let faulty = cell.faulty_members();
    if faulty == cell.members {
        return Some(0.0);
    }
    let window = if cell.load > 0.0 { 3_000.0 } else { 60_000.0 };
    let fair = f64::from(faulty) / f64::from(cell.members);
    let steps = ((pool.duration - window - pool.fault_until) / 500.0).max(0.0) as usize;
    let has_share = |step: usize| {
        let from = pool.fault_until + 500.0 * step as f64;
        let within = record
            .attempts
            .iter()
            .filter(|attempt| attempt.sent_at >= from && attempt.sent_at < from + window);
        let (all, own) = within.fold((0usize, 0usize), |(all, own), attempt| {
            (all + 1, own + usize::from(attempt.member < faulty))
        });
        // With few calls chance alone takes some of them elsewhere.
        let slack = 2.0 * (fair * (1.0 - fair) * all as f64).sqrt();
        all > 0 && own as f64 >= 0.9 * fair * all as f64 - slack
    };
    (0..steps)
        .find(|step| has_share(*step))
        .map(|step| 500.0 * step as f64)
}
