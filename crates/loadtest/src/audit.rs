//! The four rules, checked from outside: what callers asked and were told, and what backends were
//! sent.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectClass {
    /// It may.
    Idempotent,
    /// Not more than once; one that is refused has not run.
    NonIdempotent,
    /// Not more than once: its key has repeats dropped, also those that its caller sends
    /// elsewhere.
    Keyed,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    /// Its id.
    pub id: String,
    /// What it does.
    pub effect: EffectClass,
    /// The statuses of its answers.
    pub statuses: Vec<u16>,
}

/// One request as a backend saw it.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// Its id.
    pub id: String,
    /// The number of the backend.
    pub backend: usize,
    /// When it came.
    pub at: Instant,
}

/// A backend that was told to be draining or gone.
#[derive(Clone, Copy, Debug)]
pub struct RemovalNotice {
    /// Its number.
    pub backend: usize,
    /// When.
    pub at: Instant,
}

/// A backend that has just started, and what it can bear.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Its number.
    pub backend: usize,
    /// When it started.
    pub started: Instant,
    /// Requests a second that it can do when it is warm.
    pub warm_capacity_per_s: f64,
    /// The part of it that it can do at its start.
    pub initial_fraction: f64,
    /// When it is warm; in between its capacity rises evenly.
    pub warm_up: Duration,
    /// It falls over at this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... over such a span.
    pub window: Duration,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Rule 1: no answer, or more than one.
    ResponseCount(String, usize),
    /// Rule 1: served, though no backend ever got it.
    NeverExecuted(String),
    /// Rule 2: it took effect more than once.
    RepeatedExecution(String, usize),
    /// Rule 2: refused, though it ran: its caller may repeat it.
    RejectedButExecuted(String),
    /// Rule 3: sent to a backend so long after that was told to be draining or gone.
    LateRequest(usize, Duration),
    /// Rule 4: a cold backend got so many requests in one window.
    Overload(usize, usize),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::ResponseCount(id, n) => write!(f, "rule 1: request {id} had {n} answers"),
            Violation::NeverExecuted(id) => {
                write!(f, "rule 1: request {id} was served and reached no backend")
            }
            Violation::RepeatedExecution(id, n) => write!(f, "rule 2: request {id} ran {n} times"),
            Violation::RejectedButExecuted(id) => write!(f, "rule 2: request {id} was refused and ran"),
            Violation::LateRequest(backend, late) => {
                write!(
                    f,
                    "rule 3: backend {backend} got more {late:?} after it was told"
                )
            }
            Violation::Overload(backend, n) => {
                write!(f, "rule 4: cold backend {backend} got {n} in one window")
            }
        }
    }
}

/// Everything that was written down, and the grace of rule 3.
#[derive(Clone, Debug, Default)]
pub struct RequestLedger {
    /// By callers.
    pub requests: Vec<ClientRecord>,
    /// By backends.
    pub executions: Vec<ExecutionRecord>,
    /// What was told of backends.
    pub removals: Vec<RemovalNotice>,
    /// Backends that started cold.
    pub cold_starts: Vec<ColdStart>,
    /// How long after it was told a backend may still get something new.
    pub drain_grace: Duration,
}

impl RequestLedger {
    /// Every breach that the books show.
    pub fn audit(&self) -> Vec<Violation> {
        let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
        for entry in &self.executions {
            *ran.entry(&entry.id).or_default() += 1;
        }
        let mut breaches = Vec::new();
        for asked in &self.requests {
            let times = ran.get(asked.id.as_str()).copied().unwrap_or(0);
            if asked.statuses.len() != 1 {
                breaches.push(Violation::ResponseCount(asked.id.clone(), asked.statuses.len()));
            }
            if asked.statuses.contains(&200) && times == 0 {
                breaches.push(Violation::NeverExecuted(asked.id.clone()));
            }
            if asked.effect != EffectClass::Idempotent && times > 1 {
                breaches.push(Violation::RepeatedExecution(asked.id.clone(), times));
            }
            let refused = asked
                .statuses
                .iter()
                .any(|status| matches!(status, 429 | 503));
            if asked.effect == EffectClass::NonIdempotent && refused && times > 0 {
                breaches.push(Violation::RejectedButExecuted(asked.id.clone()));
            }
        }
        for told in &self.removals {
            let late = self
                .executions
                .iter()
                .filter(|ran| ran.backend == told.backend && ran.at > told.at + self.drain_grace);
            breaches.extend(
                late.map(|ran| ran.at - told.at)
                    .max()
                    .map(|late| Violation::LateRequest(told.backend, late)),
            );
        }
        breaches.extend(self.cold_starts.iter().filter_map(|cold| self.pushed_over(cold)));
        breaches
    }

    fn pushed_over(&self, cold: &ColdStart) -> Option<Violation> {
        let sent = self.executions.iter().filter(|ran| ran.backend == cold.backend);
        let mut at: Vec<Duration> = sent
            .filter_map(|ran| ran.at.checked_duration_since(cold.started))
            .collect();
        at.sort_unstable();
        at.iter().enumerate().find_map(|(first, from)| {
            let count = at[first..]
                .iter()
                .take_while(|at| **at < *from + cold.window)
                .count();
            let warmth = (from.as_secs_f64() / cold.warm_up.as_secs_f64()).min(1.0);
            let able = cold.warm_capacity_per_s * (cold.initial_fraction + (1.0 - cold.initial_fraction) * warmth);
            let most = able * cold.overload_factor * cold.window.as_secs_f64();
            (count as f64 > most).then_some(Violation::Overload(cold.backend, count))
        })
    }
}
