//! What the grantor has given of one whole, and to whom.

use crate::divide::{divide, WeightedDemand};
use crate::holder::Grant;
use crate::{Guard, Incarnation, Micros, ProcessId, Rules, Share, Units, TOKEN};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A whole as one process's file tells it. Where files differ, the lesser holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Total {
    /// All of it. Where it has a burst, a share with less than a token is of no use.
    pub all: Share,
    /// What each voter may spend at any time, within the whole.
    pub floor: Share,
    /// Whether it is spent by time. Clocks that run fast spend more of it, so a two-hundredth is
    /// held back.
    pub timed: bool,
    /// How long what was begun under a share may go on after it.
    pub linger: Micros,
}

impl Total {
    /// What is the more careful of two.
    fn lesser(&self, other: &Total) -> Total {
        Total {
            all: self.all.min(other.all),
            floor: self.floor.max(other.floor),
            timed: self.timed || other.timed,
            linger: self.linger.max(other.linger),
        }
    }
}

/// A question for a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub incarnation: Incarnation,
    /// The number of the question.
    pub question: u64,
    /// What the holder believes it holds, or still uses.
    pub held: Share,
    /// What it is asked for.
    pub demand: Units,
    /// What a unit is worth there.
    pub weight: u32,
    /// The whole as it knows it.
    pub whole: Total,
    /// It gives all back and asks for nothing more.
    pub leaves: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    of: ProcessId,
    question: u64,
    /// The most that its holder may believe it holds.
    counted: Share,
    until: Micros,
    demand: Units,
    weight: u32,
    whole: Total,
    target: Share,
    recalled: Micros,
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Grants {
    records: BTreeMap<Incarnation, Record>,
    /// The sum of what is counted, and the whole as the most careful know it: a fleet is too large
    /// to go through at every question.
    sum: Share,
    whole: Option<Total>,
    divided: Option<Micros>,
}

/// How long a holder has to come after it was recalled.
const RECALL: Micros = 100_000;

impl Grants {
    /// Answers a question. `fresh` says that grants before this term may still be held. Adds the
    /// processes that should ask again at once, as they hold what others are due.
    pub fn asked(
        &mut self,
        now: Micros,
        of: ProcessId,
        ask: &LeaseRequest,
        (fresh, voters): (bool, usize),
        rules: &Rules,
        recall: &mut Vec<ProcessId>,
    ) -> Option<Grant> {
        if self.divided.is_none_or(|at| now >= at + rules.divide_every) {
            self.forget_ended(now);
        }
        let before = self.records.get(&ask.incarnation);
        if before.is_some_and(|before| ask.question <= before.question) {
            return None;
        }
        // Within a fresh term its word is all there is. It was given that much in the term before,
        // and nobody else was.
        let counted = before.map_or(Share::default(), |before| before.counted);
        let prior = if fresh {
            ask.held
        } else {
            ask.held.min(counted)
        };
        let known = before.is_some();
        let hold = match rules.guards.stands(Guard::LeaseEndsFirst) {
            true => rules.terms.hold,
            false => rules.terms.lease / 2,
        };
        let record = Record {
            of,
            question: ask.question,
            counted: prior,
            until: now + hold + ask.whole.linger,
            demand: if ask.leaves { 0 } else { ask.demand },
            weight: ask.weight,
            whole: ask.whole,
            target: before.map_or(Share::default(), |before| before.target),
            recalled: before.map_or(0, |before| before.recalled),
        };
        self.records.insert(ask.incarnation, record);
        let others = self.sum.beyond(counted);
        self.sum = others + prior;
        self.whole = Some(
            self.whole
                .map_or(ask.whole, |whole| whole.lesser(&ask.whole)),
        );
        if ask.leaves {
            if prior == Share::default() {
                self.records.remove(&ask.incarnation);
            }
            self.divided = None;
            return None;
        }
        let whole = self.whole?;
        let pool = pool(&whole, voters);
        self.divide(now, pool, known, rules);
        let target = self
            .records
            .get(&ask.incarnation)
            .map_or(Share::default(), |record| record.target);
        let room = pool.beyond(others);
        // A little is kept for those that come.
        let kept = if prior == Share::default() {
            prior
        } else {
            reserve(pool)
        };
        let mut share = if fresh {
            prior.min(pool)
        } else {
            due(prior, target, room, kept)
        };
        if share.units == 0 || (pool.burst > 0 && share.burst < TOKEN) {
            share = Share::default();
        }
        let told = rules.guards.stands(Guard::CountsUntilTold);
        if let Some(record) = self.records.get_mut(&ask.incarnation) {
            record.counted = if told { prior.max(share) } else { share };
            self.sum = others + record.counted;
        }
        if !fresh && !target.is_within(share) {
            self.recall(now, ask.incarnation, recall);
        }
        Some(Grant {
            question: ask.question,
            share,
            renewal: fresh,
        })
    }

    /// Forgets what has ended, and what those who held it said of the whole.
    fn forget_ended(&mut self, now: Micros) {
        self.records.retain(|_, record| now < record.until);
        self.sum = self.records.values().map(|record| record.counted).sum();
        self.whole = self
            .records
            .values()
            .map(|record| record.whole)
            .reduce(|a, b| a.lesser(&b));
    }

    fn divide(&mut self, now: Micros, pool: Share, known: bool, rules: &Rules) {
        if known && self.divided.is_some_and(|at| now < at + rules.divide_every) {
            return;
        }
        // Kept out of the state where it says nothing.
        self.divided = (rules.divide_every > 0).then_some(now);
        let demand_of = |record: &Record| WeightedDemand {
            // A noisy demand is met a little above its mean.
            demand: record.demand + record.demand / 16,
            weight: record.weight,
        };
        let demands: Vec<WeightedDemand> = self.records.values().map(demand_of).collect();
        let shares = divide(pool.beyond(reserve(pool)), &demands);
        self.records
            .values_mut()
            .zip(shares)
            .for_each(|(record, share)| record.target = share);
    }

    /// Those who hold clearly more than they are due.
    fn recall(&mut self, now: Micros, but: Incarnation, recall: &mut Vec<ProcessId>) {
        for (incarnation, record) in &mut self.records {
            let beyond = record.counted.beyond(record.target);
            let little = Share {
                units: record.counted.units / 64,
                burst: (record.counted.burst / 64).max(TOKEN / 4),
            };
            if *incarnation != but && !beyond.is_within(little) && now >= record.recalled + RECALL {
                record.recalled = now;
                recall.push(record.of);
            }
        }
    }

    /// A process is thought to be lost. What it holds is waited out; it only gets no more.
    pub fn lost(&mut self, incarnation: Incarnation, rules: &Rules) {
        if !rules.guards.stands(Guard::WaitsOutTheLost) {
            let gone = self
                .records
                .remove(&incarnation)
                .map_or(Share::default(), |record| record.counted);
            self.sum = self.sum.beyond(gone);
        } else if let Some(record) = self.records.get_mut(&incarnation) {
            record.demand = 0;
        }
    }

    /// What is given, and to how many.
    pub fn given(&self, now: Micros) -> (Units, usize) {
        let live = self.records.values().filter(|record| now < record.until);
        live.fold((0, 0), |(sum, n), record| {
            (sum + record.counted.units, n + 1)
        })
    }
}

/// What one gets that is due `target` and holds `prior`, with so much room beside all others. Less
/// by a sixty-fourth is not taken back: noise moves nothing.
fn due(prior: Share, target: Share, room: Share, kept: Share) -> Share {
    let of = |prior: Units, target: Units, room: Units, kept: Units| {
        if target < prior && prior - target <= prior / 64 {
            prior.min(room)
        } else if target <= prior {
            target.min(room)
        } else {
            target.min(room.saturating_sub(kept).max(prior.min(room)))
        }
    };
    Share {
        units: of(prior.units, target.units, room.units, kept.units),
        burst: of(prior.burst, target.burst, room.burst, kept.burst),
    }
}

/// What there is to lease: the whole less what voters may spend without a lease.
fn pool(whole: &Total, voters: usize) -> Share {
    let drift = if whole.timed {
        whole.all.units.div_ceil(200)
    } else {
        0
    };
    let floors = whole
        .floor
        .each(Share::default(), |floor, _| floor * voters as u64);
    whole.all.beyond(
        floors
            + Share {
                units: drift,
                burst: 0,
            },
    )
}

/// What is kept for those that come, where it is of use.
fn reserve(pool: Share) -> Share {
    let part = pool.each(Share::default(), |all, _| all / 100);
    let of_use = part.units > 0 && (pool.burst == 0 || part.burst >= TOKEN);
    if of_use {
        part
    } else {
        Share::default()
    }
}
