//! A process's part in the budgets of its fleet: what it spends, when it asks, when it claims to be the grantor. The
//! caller tells the time and passes chance in, carries messages, and looks in every few milliseconds.

use crate::bucket::{Bucket, Open};
use crate::core::{Core, Message};
use crate::grants::Whole;
use crate::{Epoch, Id, Life, Micros, Part, Rules, Units};
use rand::Rng;
use rustc_hash::FxHashMap;

const MS: Micros = 1_000;
/// From one question to the next where something is asked for, and where nothing is.
const ASK: Micros = 400 * MS;
const ASK_IDLE: Micros = 1_200 * MS;
/// How long an answer is waited for before another process is asked.
const ANSWER: Micros = 150 * MS;
/// From one claim of a grantor to the next.
const CLAIM: Micros = 300 * MS;
/// A voter that knows of no grantor claims after this and a random part of it, for each voter that stands before it.
const PATIENCE: Micros = 100 * MS;
/// The time over which demand is averaged, in microseconds. A change that chance does not explain is believed at once.
const MEAN: f64 = 1_000_000.0;
/// What a request of worth 1 counts as.
pub const WEIGHT: u32 = 16;
/// How many deviations chance explains.
const DEVIATIONS: f64 = 3.0;

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// So many a second, and so many at once.
    Rate {
        /// Requests a second.
        rate: f64,
        /// Requests at once.
        burst: f64,
        /// The part of the rate that each voter has without a lease, in requests a second.
        floor: f64,
    },
    /// So many in progress.
    Open {
        /// Of them all.
        most: u64,
        /// Those that each voter may have without a lease.
        floor: u64,
        /// The longest that one may take.
        longest: Micros,
    },
}

/// A number that the whole fleet must not pass.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name: what has the same name is one whole.
    pub name: String,
    /// Where each member of a pool has a whole of its own: which.
    pub member: String,
    /// What is limited.
    pub limit: Limit,
}

/// FNV-1a, from where another text ended.
fn hash(from: u64, text: &str) -> u64 {
    text.bytes().fold(from, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Budget {
    /// The whole in the terms of leases.
    pub fn whole(&self) -> Whole {
        match self.limit {
            Limit::Rate { rate, burst, floor } => Whole {
                all: Part { units: (rate * 1e3) as Units, burst: (burst * 1e3) as Units },
                floor: Part { units: (floor * 1e3) as Units, burst: (burst * floor / rate * 1e3) as Units },
                timed: true,
                linger: 0,
            },
            Limit::Open { most, floor, longest } => Whole {
                all: Part { units: most, burst: 0 },
                floor: Part { units: floor, burst: 0 },
                timed: false,
                linger: longest,
            },
        }
    }

    /// What a name stands for in messages.
    pub fn key(name: &str) -> u64 {
        hash(0xcbf2_9ce4_8422_2325, name)
    }

    /// The same of the whole that a member of a pool has for itself.
    pub fn key_at(name: u64, member: &str) -> u64 {
        hash(hash(name, "\n"), member)
    }

    fn own_key(&self) -> u64 {
        let name = Budget::key(&self.name);
        if self.member.is_empty() {
            name
        } else {
            Budget::key_at(name, &self.member)
        }
    }
}

#[derive(Clone, Debug)]
enum Spends {
    Rate(Bucket),
    Open(Open),
}

#[derive(Clone, Debug)]
struct Slot {
    budget: Budget,
    key: u64,
    spends: Spends,
    asked: u64,
    spent: u64,
    refused: u64,
    /// The sum of what was asked for since the last question, in sixteenths, and the mean before.
    worth: u64,
    weight: u32,
    /// A second, by the mean of the last moments.
    demand: f64,
    metered: (Micros, u64),
    ask_at: Micros,
    /// When the last question went out, if nothing has come back.
    waits_since: Option<Micros>,
    /// What was last known to be held.
    held: Part,
}

/// What an operator is told of one budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// Its name.
    pub name: String,
    /// Of which member, if each has a whole of its own.
    pub member: String,
    /// All of it, in requests a second or in requests.
    pub whole: f64,
    /// What this process may spend of it now.
    pub share: f64,
    /// How long it still may, in microseconds.
    pub left: Micros,
    /// What is asked for here a second, or in progress.
    pub demand: f64,
    /// Requests that were let in and that were not, since the start.
    pub spent: u64,
    /// See above.
    pub refused: u64,
    /// For the grantor: what is given, and to how many.
    pub given: Option<(f64, usize)>,
}

/// See the module's text.
pub struct Node {
    core: Core,
    rules: Rules,
    slots: Vec<Slot>,
    by_key: FxHashMap<u64, usize>,
    claim_at: Micros,
    /// The voter that is asked while no grantor is known.
    turn: usize,
    /// Neither asks nor claims nor spends: another process has its name.
    held: bool,
    was_in_office: Option<Epoch>,
    /// Wall-clock milliseconds at the start, so that terms go on rising over restarts.
    wall_ms: u64,
    /// Whose shares were told since that was last asked.
    told: Vec<usize>,
}

/// A share as it was told.
#[derive(Clone, Copy, Debug)]
pub struct Lease<'a> {
    /// The whole.
    pub budget: &'a Budget,
    /// What is held of it.
    pub share: Part,
    /// Until when.
    pub until: Micros,
}

/// What a budget says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Over {
    /// The number of the budget that has no more.
    pub budget: usize,
    /// When there might be.
    pub after: Micros,
    /// Whether any of those that have no more is a rate.
    pub of_rate: bool,
}

impl Node {
    /// A process that starts now.
    pub fn new(now: Micros, id: Id, life: Life, voters: &[Id], wall_ms: u64, rules: Rules) -> Node {
        Node {
            core: Core::new(now, id, life, voters, &rules),
            rules,
            slots: Vec::new(),
            by_key: FxHashMap::default(),
            claim_at: now,
            turn: id.0 as usize,
            held: false,
            was_in_office: None,
            wall_ms,
            told: Vec::new(),
        }
    }

    /// Sets the budgets. One of the name of another goes on with its share and its counts; one that is gone counts on for as
    /// long as something is open under it, for it may come back.
    pub fn set_budgets(&mut self, now: Micros, budgets: Vec<Budget>, voters: &[Id]) {
        self.core.set_voters(now, voters, &self.rules);
        let mut before: FxHashMap<u64, Slot> =
            std::mem::take(&mut self.slots).into_iter().map(|s| (s.key, s)).collect();
        for budget in budgets {
            let key = budget.own_key();
            let fresh = match budget.limit {
                Limit::Rate { .. } => Spends::Rate(Bucket::new(now)),
                Limit::Open { .. } => Spends::Open(Open::default()),
            };
            let mut slot = before.remove(&key).unwrap_or_else(|| Slot {
                budget: budget.clone(),
                key,
                spends: fresh.clone(),
                asked: 0,
                spent: 0,
                refused: 0,
                worth: 0,
                weight: WEIGHT,
                demand: 0.0,
                metered: (now, 0),
                ask_at: now,
                waits_since: None,
                held: Part::default(),
            });
            if std::mem::discriminant(&slot.spends) != std::mem::discriminant(&fresh) {
                slot.spends = fresh;
            }
            if slot.budget != budget {
                slot.budget = budget;
                slot.ask_at = now;
            }
            self.slots.push(slot);
        }
        let open = |slot: &Slot| matches!(&slot.spends, Spends::Open(open) if open.used() > 0);
        let mut gone: Vec<Slot> = before.into_values().filter(open).collect();
        gone.sort_by_key(|slot| slot.key);
        self.slots.extend(gone);
        self.told.clear();
        self.by_key = self.slots.iter().enumerate().map(|(n, slot)| (slot.key, n)).collect();
        let by_key = &self.by_key;
        self.core.keep(|key| by_key.contains_key(&key));
        (0..self.slots.len()).for_each(|n| self.fit(now, n));
    }

    /// Whether this process may spend, claim and ask. One that may not gives nothing and takes nothing.
    pub fn hold(&mut self, now: Micros, held: bool) {
        self.held = held;
        (0..self.slots.len()).for_each(|n| self.fit(now, n));
        self.told.extend(0..self.slots.len());
    }

    /// Whether there is a budget with this key.
    pub fn knows(&self, key: u64) -> bool {
        self.by_key.contains_key(&key)
    }

    /// The shares that were told since this was last asked.
    pub fn leases_told(&mut self) -> impl Iterator<Item = Lease<'_>> {
        let told = std::mem::take(&mut self.told);
        told.into_iter().filter_map(|n| {
            let slot = self.slots.get(n)?;
            let holder = self.core.holder(slot.key)?;
            Some(Lease { budget: &slot.budget, share: slot.held, until: holder.until() })
        })
    }

    /// Whether it is held.
    pub fn is_held(&self) -> bool {
        self.held
    }

    /// The grantor as far as it is known here.
    pub fn grantor(&self, now: Micros) -> Option<Epoch> {
        self.core.grantor(now)
    }

    /// The term for which this process is the grantor.
    pub fn in_office(&mut self, now: Micros) -> Option<Epoch> {
        self.core.in_office(now, &self.rules)
    }

    /// Spends one of each of some budgets, by [`Budget::key`], or none of any. What is open is to be [`Node::done`]. A request's worth is in
    /// parts of [`WEIGHT`].
    #[inline]
    pub fn spend(&mut self, now: Micros, keys: &[u64], worth: u32) -> Result<(), Over> {
        let mut over = None;
        for key in keys {
            let Some(n) = self.by_key.get(key).copied() else { continue };
            let slot = &mut self.slots[n];
            slot.asked += 1;
            slot.worth += u64::from(worth);
            let after = match &mut slot.spends {
                Spends::Rate(bucket) => bucket.wait(now).err(),
                Spends::Open(open) => (!open.has_room(now)).then_some(MS * 1_000),
            };
            if let Some(after) = after {
                slot.refused += 1;
                slot.hurry(now);
                let of_rate = matches!(slot.spends, Spends::Rate(_)) || over.is_some_and(|o: Over| o.of_rate);
                let worse = over.is_none_or(|over: Over| after > over.after);
                over = if worse { Some(Over { budget: n, after, of_rate }) } else { over };
            }
        }
        if let Some(over) = over {
            return Err(over);
        }
        for key in keys {
            let Some(n) = self.by_key.get(key).copied() else { continue };
            let slot = &mut self.slots[n];
            slot.spent += 1;
            match &mut slot.spends {
                Spends::Rate(bucket) => _ = bucket.spend(now),
                Spends::Open(open) => _ = open.enter(now),
            }
        }
        Ok(())
    }

    /// What was let in has ended.
    pub fn done(&mut self, keys: &[u64]) {
        for key in keys {
            let slot = self.by_key.get(key).map(|n| &mut self.slots[*n]);
            if let Some(Slot { spends: Spends::Open(open), .. }) = slot {
                open.leave();
            }
        }
    }

    /// The budgets, by number, with the requests refused so far.
    pub fn refused(&self) -> impl Iterator<Item = (&Budget, u64)> {
        self.slots.iter().map(|slot| (&slot.budget, slot.refused))
    }

    /// What an operator is told.
    pub fn shown(&self, now: Micros) -> Vec<Shown> {
        let show = |slot: &Slot| {
            let unit = match slot.budget.limit {
                Limit::Rate { .. } => 1e3,
                Limit::Open { .. } => 1.0,
            };
            let whole = slot.budget.whole();
            let floor = if self.core.is_voter() && !self.held { whole.floor.units } else { 0 };
            let share = if self.held { 0 } else { self.core.share(now, slot.key, &self.rules).units };
            Shown {
                name: slot.budget.name.clone(),
                member: slot.budget.member.clone(),
                whole: whole.all.units as f64 / unit,
                share: (share + floor) as f64 / unit,
                left: self.core.holder(slot.key).map_or(0, |holder| holder.until().saturating_sub(now)),
                demand: slot.demand,
                spent: slot.spent,
                refused: slot.refused,
                given: self.core.given(now, slot.key).map(|(sum, n)| (sum as f64 / unit, n)),
            }
        };
        self.slots.iter().map(show).collect()
    }

    /// A process is thought to be lost.
    pub fn lost(&mut self, life: Life) {
        self.core.lost(life, &self.rules);
    }

    /// Takes a message in.
    pub fn take(&mut self, now: Micros, from: Id, message: Message, out: &mut Vec<(Id, Message)>) {
        if self.held && !matches!(message, Message::Vote { .. }) {
            return;
        }
        let elsewhere = matches!(message, Message::Elsewhere(Some(_)));
        let changed = self.core.take(now, from, message, &self.rules, out);
        let Some(n) = changed.and_then(|key| self.by_key.get(&key).copied()) else {
            if elsewhere {
                self.ask_again(now);
            }
            return;
        };
        if let Message::Recall(_) = message {
            self.slots[n].ask_at = now;
            return;
        }
        let before = self.slots[n].held;
        self.slots[n].waits_since = None;
        self.fit(now, n);
        self.told.push(n);
        // One who has less now says so, and others get it.
        if !before.is_within(self.slots[n].held) {
            self.slots[n].ask_at = now;
        }
    }

    /// Those that asked one who was not the grantor ask the right one now.
    fn ask_again(&mut self, now: Micros) {
        for slot in self.slots.iter_mut().filter(|slot| slot.waits_since.is_some()) {
            slot.ask_at = now;
        }
    }

    fn fit(&mut self, now: Micros, n: usize) {
        let Node { core, slots, rules, held, .. } = self;
        let slot = &mut slots[n];
        let (share, until) = match core.holder(slot.key) {
            Some(holder) if !*held => (holder.share(now, rules), holder.until()),
            _ => (Part::default(), now),
        };
        slot.held = share;
        let votes = core.is_voter() && !*held;
        match (&mut slot.spends, slot.budget.limit) {
            (Spends::Rate(bucket), Limit::Rate { rate, burst, floor }) => {
                let floor = if votes { floor } else { 0.0 };
                bucket.set_floor(now, floor, burst * floor / rate);
                bucket.set_lease(now, share.units as f64 / 1e3, share.burst as f64 / 1e3, until);
            }
            (Spends::Open(open), Limit::Open { floor, .. }) => {
                open.set_floor(if votes { floor } else { 0 });
                open.set_lease(share.units, until);
            }
            _ => {}
        }
    }

    /// Looks what is due, and says it.
    pub fn tick(&mut self, now: Micros, rng: &mut impl Rng, out: &mut Vec<(Id, Message)>) {
        if self.held {
            return;
        }
        self.claim(now, rng, out);
        let mut asks = Vec::new();
        for slot in &mut self.slots {
            if slot.waits_since.is_some_and(|since| now >= since + ANSWER) {
                // Nobody there, or it was lost on the way.
                slot.waits_since = None;
                slot.ask_at = now;
                self.turn += 1;
                if self.turn % 2 == 0 {
                    self.core.forget_grantor();
                }
            }
            if now < slot.ask_at {
                continue;
            }
            slot.meter(now);
            let Some(to) = asked_next(&self.core, self.turn, now) else { continue };
            let in_use = slot.in_use();
            let demand = slot.wanted();
            let ask =
                self.core.ask(now, slot.key, slot.budget.whole(), (demand, slot.weight), in_use, &self.rules);
            let pause = if demand > 0 { ASK } else { ASK_IDLE };
            slot.ask_at = now + rng.random_range(pause * 3 / 4..pause);
            slot.waits_since = Some(now);
            asks.push((to, ask));
        }
        for (to, ask) in asks {
            self.say(now, to, ask, out);
        }
    }

    /// Carries a message out, or takes it in where it is for this process itself.
    fn say(&mut self, now: Micros, to: Id, message: Message, out: &mut Vec<(Id, Message)>) {
        if to != self.core.id {
            out.push((to, message));
            return;
        }
        let mut own = Vec::new();
        self.take(now, to, message, &mut own);
        for (to, message) in own {
            self.say(now, to, message, out);
        }
    }

    fn claim(&mut self, now: Micros, rng: &mut impl Rng, out: &mut Vec<(Id, Message)>) {
        if !self.core.is_voter() || now < self.claim_at {
            return;
        }
        let in_office = self.core.in_office(now, &self.rules);
        let another = self.core.grantor(now).is_some_and(|epoch| epoch.by != self.core.id);
        if in_office.is_none() && another {
            // Its vote is given; it claims once that has ended, unless one that stands before it does.
            let before = self.core.voters().iter().position(|id| *id == self.core.id).unwrap_or(0) as Micros;
            self.claim_at = now + rng.random_range(0..PATIENCE / 2) + PATIENCE / 2 * before.min(6);
            return;
        }
        let pause = if in_office.is_some() { CLAIM } else { PATIENCE };
        self.claim_at = now + rng.random_range(pause / 2..pause);
        if let Some(claim) = self.core.claim(now, self.wall_ms, &self.rules) {
            let others = self.core.voters().iter().filter(|id| **id != self.core.id);
            out.extend(others.map(|id| (*id, claim)));
        }
    }

    /// Tells of a term that began or ended here, once.
    pub fn office_changed(&mut self, now: Micros) -> Option<Option<Epoch>> {
        let held = self.core.in_office(now, &self.rules);
        (held != self.was_in_office).then(|| {
            self.was_in_office = held;
            held
        })
    }

    /// Gives all shares back. What is still open is told, and is counted on until it may have ended.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<(Id, Message)>) {
        let Some(to) = asked_next(&self.core, self.turn, now).filter(|to| *to != self.core.id) else {
            return;
        };
        for n in 0..self.slots.len() {
            let (key, whole, in_use) =
                (self.slots[n].key, self.slots[n].budget.whole(), self.slots[n].in_use());
            let ask = self.core.leave(now, key, whole, in_use, &self.rules);
            out.push((to, ask));
            self.fit(now, n);
        }
        self.told.extend(0..self.slots.len());
        self.held = true;
    }
}

/// The grantor, or the voter that is tried next.
fn asked_next(core: &Core, turn: usize, now: Micros) -> Option<Id> {
    let voters = core.voters();
    core.grantor(now).map(|epoch| epoch.by).or_else(|| voters.get(turn % voters.len().max(1)).copied())
}

impl Slot {
    /// Counts what was asked for since it was last looked at.
    fn meter(&mut self, now: Micros) {
        let (at, asked) = self.metered;
        let span = now.saturating_sub(at) as f64;
        if span < 50_000.0 {
            return;
        }
        if let Some(mean) = self.worth.checked_div(self.asked - asked) {
            self.weight = (mean as u32).clamp(1, 1 << 20);
        }
        self.worth = 0;
        let rate = (self.asked - asked) as f64 * 1e6 / span;
        let chance = DEVIATIONS * (rate.max(self.demand) * 1e6 / span).sqrt();
        if (rate - self.demand).abs() > chance {
            self.demand = rate;
        } else {
            self.demand += (rate - self.demand) * (1.0 - (-span / MEAN).exp());
        }
        // None came, and not even one was to be awaited.
        if rate == 0.0 && self.demand * span < 1e6 {
            self.demand = 0.0;
        }
        self.metered = (now, self.asked);
    }

    /// Demand that rose since it was last told is told at once.
    fn hurry(&mut self, now: Micros) {
        let (at, asked) = self.metered;
        let span = now.saturating_sub(at);
        let rate = (self.asked - asked) as f64 * 1e6 / span as f64;
        if span > 50 * MS && self.waits_since.is_none() && rate > 1.5 * self.demand + 2.0 {
            self.ask_at = self.ask_at.min(now);
        }
    }

    /// What it is asked for, in units.
    fn wanted(&self) -> Units {
        match (&self.spends, self.budget.limit) {
            (Spends::Rate(_), _) => (self.demand * 1e3) as Units,
            // Those that could not be opened count as the demand shows, at the time that one takes.
            (Spends::Open(open), _) => {
                let refused = if self.demand > 0.0 && !open.has_room(0) { 1 + open.used() / 2 } else { 0 };
                open.used() + refused
            }
        }
    }

    /// What is in progress beyond the floor, and so may be beyond the share.
    fn in_use(&self) -> Part {
        match &self.spends {
            Spends::Rate(_) => Part::default(),
            Spends::Open(open) => Part { units: open.beyond_floor(), burst: 0 },
        }
    }
}
