//! Kinds of trouble by size of pool, load and effect; what service the pool keeps in each, and what
//! it costs.

use crate::rivals::{Model, Rival};
use crate::world::{rules, Books, End, Pool, Trouble, World};
use dewrun_balancer::{
    Balancer, Class, DeduplicationScope, EffectClass, Millis, Objective, Permissions, Prices,
    ReportVia, Settings, WeightKind,
};
use serde::Serialize;

/// Milliseconds of service that a call takes in the mean.
pub const SERVICE: Millis = 20.0;
/// Calls that one member works on at once.
pub const SLOTS: usize = 8;
/// When the trouble begins and ends, and when a run does.
pub const FROM: Millis = 5_000.0;
/// See [`FROM`].
pub const UNTIL: Millis = 25_000.0;
/// See [`FROM`].
pub const SPAN: Millis = 50_000.0;

/// How many of the members are in trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Bad {
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
pub struct Cell {
    /// What goes wrong, and its name.
    pub trouble: (&'static str, Trouble),
    /// How many members there are.
    pub members: u32,
    /// How many of them it happens to.
    pub bad: Bad,
    /// Requests a second, as a part of what the healthy members can do; one a second if 0.
    pub load: f64,
    /// What a request does.
    pub effect: EffectClass,
    /// How many instances share the load.
    pub instances: u32,
}

/// The kinds of trouble.
pub const TROUBLES: [(&str, Trouble); 13] = [
    ("refused", Trouble::Refused),
    ("no-connect", Trouble::NoConnect),
    ("closed", Trouble::Closed),
    ("reset", Trouble::Reset),
    ("cut", Trouble::Cut),
    ("500-at-once", Trouble::Error),
    ("503-unseen", Trouble::Full),
    ("hang", Trouble::Hang),
    ("slow-x10", Trouble::Slower(10.0)),
    ("restarted", Trouble::Restarted),
    ("flapping", Trouble::Flapping),
    ("a-fifth-fails", Trouble::Part(0.2)),
    ("one-class", Trouble::OneClass),
];

impl Cell {
    /// How many members are in trouble.
    pub fn bad(&self) -> u32 {
        match self.bad {
            Bad::One => 1,
            Bad::Half => self.members / 2,
            Bad::AllButOne => self.members - 1,
            Bad::All => self.members,
        }
    }

    /// Requests a second that one member can serve.
    pub fn each_per_s() -> f64 {
        SLOTS as f64 / SERVICE * 1000.0
    }

    /// Requests a second that are asked for.
    pub fn per_s(&self) -> f64 {
        let healthy = f64::from((self.members - self.bad()).max(1));
        if self.load > 0.0 {
            self.load * healthy * Cell::each_per_s()
        } else {
            1.0
        }
    }

    /// How long a failure like this is given until service must hold again.
    pub fn grace(&self) -> Millis {
        if self.trouble.1 == Trouble::Hang {
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
            service: SERVICE,
            bad: self.bad(),
            trouble: self.trouble.1,
            from: FROM * longer,
            until: if self.trouble.1 == Trouble::Restarted {
                FROM * longer + 1_000.0
            } else {
                UNTIL * longer
            },
            rate: self.per_s() / 1000.0,
            span: SPAN * longer,
            rules: rules(),
            aim: 1_000.0,
            deadline: 10_000.0,
            connect: 1_000.0,
            classes: if self.trouble.1 == Trouble::OneClass {
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
            latency_objective_ms: pool.aim,
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
                connect_timeout_ms: pool.connect,
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
    pub fn play(&self, seed: u64) -> Books {
        let each = |rank: u32| Balancer::new(self.settings(rank), seed ^ u64::from(rank + 1));
        World::new(self.pool(), (0..self.instances).map(each).collect(), seed).run()
    }

    /// Plays it before a rival.
    pub fn play_rival(&self, rival: Rival, seed: u64) -> Books {
        let each = |rank: u32| Model::new(rival, &self.settings(rank), seed ^ u64::from(rank + 1));
        World::new(
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
    /// Requests while the trouble lasted, from when service must hold.
    pub offered: usize,
    /// Of these, served within the aim.
    pub in_aim: usize,
    /// Of these, refused.
    pub refused: usize,
    /// Of these, failed.
    pub failed: usize,
    /// Attempts a request, over the whole run.
    pub attempts: f64,
    /// Milliseconds after the beginning of the trouble from which every second kept 0.99; `None`
    /// if never.
    pub holds_after: Option<Millis>,
    /// Milliseconds after its end from which the members have 0.9 of their share over three
    /// seconds; `None` if never.
    pub share_after: Option<Millis>,
    /// Of the whole run: requests without exactly one answer, unrepeatable ones that ran twice or
    /// were refused and ran, and cold members pushed over.
    pub broken: usize,
}

impl Verdict {
    /// The part of what was offered that was served in aim.
    pub fn kept(&self) -> f64 {
        self.in_aim as f64 / self.offered.max(1) as f64
    }
}

/// Judges a run.
pub fn judge(cell: &Cell, books: &Books) -> Verdict {
    let pool = cell.pool();
    let in_aim = |asked: &crate::world::Asked| {
        asked
            .ended
            .is_some_and(|(at, end)| end == End::Served && at - asked.at <= pool.aim)
    };
    let until = if pool.trouble == Trouble::Restarted {
        pool.from + 20_000.0
    } else {
        pool.until
    };
    let during: Vec<_> = books
        .asked
        .iter()
        .filter(|a| a.at >= pool.from + cell.grace() && a.at < until)
        .collect();
    let ended = |end: End| {
        during
            .iter()
            .filter(|a| a.ended.is_some_and(|e| e.1 == end))
            .count()
    };
    let second = if cell.load > 0.0 { 1_000.0 } else { 10_000.0 };
    let seconds = ((until - pool.from) / second) as usize;
    let mut kept = vec![(0usize, 0usize); seconds];
    for asked in books
        .asked
        .iter()
        .filter(|a| a.at >= pool.from && a.at < until)
    {
        let slot = &mut kept[(((asked.at - pool.from) / second) as usize).min(seconds - 1)];
        slot.0 += 1;
        slot.1 += usize::from(in_aim(asked));
    }
    let last_bad = kept
        .iter()
        .rposition(|(all, good)| (*good as f64) < 0.99 * *all as f64);
    let holds_after = match last_bad {
        None => Some(0.0),
        Some(last) if last + 1 == seconds => None,
        Some(last) => Some((last + 1) as f64 * second),
    };
    let once = |class: usize| cell.settings(0).classes[class].effect == EffectClass::NonIdempotent;
    let broken = books.asked.iter().filter(|a| {
        let twice = once(a.class.into()) && a.ran > 1;
        let lies =
            once(a.class.into()) && a.ran > 0 && a.ended.is_some_and(|e| e.1 == End::Refused);
        a.answers != 1 || twice || lies
    });
    Verdict {
        offered: during.len(),
        in_aim: during.iter().filter(|a| in_aim(a)).count(),
        refused: ended(End::Refused),
        failed: ended(End::Failed),
        attempts: books.sent.len() as f64 / books.asked.len().max(1) as f64,
        holds_after,
        share_after: share_after(cell, &pool, books),
        broken: broken.count() + books.fallen.len(),
    }
}

/// When the members that were in trouble have their share again, by windows of three seconds.
fn share_after(cell: &Cell, pool: &Pool, books: &Books) -> Option<Millis> {
    let bad = cell.bad();
    if bad == cell.members {
        return Some(0.0);
    }
    let window = if cell.load > 0.0 { 3_000.0 } else { 60_000.0 };
    let fair = f64::from(bad) / f64::from(cell.members);
    let steps = ((pool.span - window - pool.until) / 500.0).max(0.0) as usize;
    let has = |step: usize| {
        let from = pool.until + 500.0 * step as f64;
        let within = books
            .sent
            .iter()
            .filter(|s| s.at >= from && s.at < from + window);
        let (all, own) = within.fold((0usize, 0usize), |(all, own), s| {
            (all + 1, own + usize::from(s.to < bad))
        });
        // With few calls chance alone takes some of them elsewhere.
        let slack = 2.0 * (fair * (1.0 - fair) * all as f64).sqrt();
        all > 0 && own as f64 >= 0.9 * fair * all as f64 - slack
    };
    (0..steps)
        .find(|step| has(*step))
        .map(|step| 500.0 * step as f64)
}
