//! Models of how other balancers choose and leave out members, from their public documentation:
//! enough of each to be compared on failures, with the defaults that its documentation gives. None
//! limits what it takes in, as the module's gates do. All of them repeat what may be repeated while
//! a budget lasts, as the module does.

use crate::{uniform, Decider};
use dewrun_balancer::*;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;

/// Which balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rival {
    /// Round robin among all members, whatever comes back.
    RoundRobin,
    /// Envoy: least request of two, outlier detection by five failures in a row, at most a part of
    /// the members ejected for a time that grows with each ejection, panic below half.
    Envoy,
    /// Finagle: the better of two by peak EWMA, failure accrual by five failures in a row,
    /// back-off with a probation call.
    Finagle,
    /// NGINX: round robin, a member with a failure is left out for ten seconds, all are tried when
    /// all are out.
    Nginx,
    /// Sentinel: a circuit breaker a member by its error ratio in a second, open for ten seconds,
    /// then one call.
    Sentinel,
}

impl Rival {
    /// All of them.
    pub const ALL: [Rival; 5] = [
        Rival::RoundRobin,
        Rival::Envoy,
        Rival::Finagle,
        Rival::Nginx,
        Rival::Sentinel,
    ];

    /// A short name.
    pub fn name(self) -> &'static str {
        match self {
            Rival::RoundRobin => "round robin",
            Rival::Envoy => "Envoy",
            Rival::Finagle => "Finagle",
            Rival::Nginx => "NGINX",
            Rival::Sentinel => "Sentinel",
        }
    }
}

#[derive(Default)]
struct Member {
    in_flight: f64,
    row: u32,
    out_until: Millis,
    times_out: u32,
    on_trial: bool,
    ewma: Millis,
    ewma_at: Millis,
    window: (Millis, u32, u32),
}

struct Held {
    class: usize,
    deadline: Millis,
    attempts: u32,
    ran: bool,
    last: usize,
}

/// One instance of a rival.
pub struct Model {
    rival: Rival,
    random: Xoshiro256PlusPlus,
    classes: Vec<EffectClass>,
    most: u32,
    ids: Vec<EndpointId>,
    members: Vec<Member>,
    turn: usize,
    held: BTreeMap<RequestId, Held>,
    budget: f64,
}

impl Model {
    /// An instance that knows nothing yet.
    pub fn new(rival: Rival, settings: &Settings, seed: u64) -> Model {
        Model {
            rival,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            classes: settings.classes.iter().map(|class| class.effect).collect(),
            most: settings.allowed.max_attempts,
            ids: Vec::new(),
            members: Vec::new(),
            turn: 0,
            held: BTreeMap::new(),
            budget: 10.0,
        }
    }

    fn is_out(&self, i: usize, now: Millis) -> bool {
        let member = &self.members[i];
        now < member.out_until || member.on_trial
    }

    fn pick(&mut self, now: Millis, not: Option<usize>) -> usize {
        let all = self.members.len();
        let mut fit: Vec<usize> = (0..all)
            .filter(|i| !self.is_out(*i, now) && Some(*i) != not)
            .collect();
        let panics = self.rival == Rival::Envoy && 2 * fit.len() < all;
        if fit.is_empty() || panics {
            fit = (0..all).filter(|i| Some(*i) != not || all == 1).collect();
        }
        let mut one_of = || fit[(uniform(&mut self.random) * fit.len() as f64) as usize];
        match self.rival {
            Rival::Envoy | Rival::Finagle => {
                let (a, b) = (one_of(), one_of());
                if self.cost(a, now) <= self.cost(b, now) {
                    a
                } else {
                    b
                }
            }
            _ => {
                self.turn += 1;
                fit[self.turn % fit.len()]
            }
        }
    }

    fn cost(&self, i: usize, now: Millis) -> f64 {
        let member = &self.members[i];
        match self.rival {
            Rival::Finagle => {
                let fade = (-(now - member.ewma_at) / 10_000.0).exp();
                (member.ewma * fade).max(1e-3) * (member.in_flight + 1.0)
            }
            _ => member.in_flight,
        }
    }

    fn judge(&mut self, i: usize, now: Millis, good: bool, took: Millis) {
        let rival = self.rival;
        let random = uniform(&mut self.random);
        let out_now = self
            .members
            .iter()
            .filter(|member| now < member.out_until)
            .count();
        let all = self.members.len();
        let member = &mut self.members[i];
        member.in_flight -= 1.0;
        let was_trial = std::mem::take(&mut member.on_trial);
        member.row = if good { 0 } else { member.row + 1 };
        match rival {
            Rival::RoundRobin => {}
            // At most a tenth of the members, and one at the least, are ejected; 30 s times the
            // number of ejections.
            Rival::Envoy => {
                if member.row >= 5 && now >= member.out_until && out_now < (all / 10).max(1) {
                    member.times_out += 1;
                    member.out_until = now + 30_000.0 * f64::from(member.times_out.min(10));
                    member.row = 0;
                }
            }
            Rival::Finagle => {
                if good {
                    let fade = (-(now - member.ewma_at) / 10_000.0).exp();
                    // A time above the mean counts at once, one below it slowly.
                    member.ewma = if took > member.ewma {
                        took
                    } else {
                        member.ewma * fade + took * (1.0 - fade)
                    };
                    member.ewma_at = now;
                    member.times_out = 0;
                } else if member.row >= 5 || was_trial {
                    member.times_out += 1;
                    let wait =
                        (5_000.0 * 2f64.powi(member.times_out.min(7) as i32 - 1)).min(300_000.0);
                    member.out_until = now + wait * (0.5 + random);
                    member.on_trial = false;
                }
            }
            Rival::Nginx => {
                if !good {
                    member.out_until = now + 10_000.0;
                }
            }
            Rival::Sentinel => {
                if now - member.window.0 >= 1_000.0 {
                    member.window = (now, 0, 0);
                }
                member.window.1 += 1;
                member.window.2 += u32::from(!good);
                let open = member.window.1 >= 5 && 2 * member.window.2 >= member.window.1;
                if open || (was_trial && !good) {
                    member.out_until = now + 10_000.0;
                    member.window = (now, 0, 0);
                }
            }
        }
    }

    fn send(
        &mut self,
        now: Millis,
        id: RequestId,
        mut held: Held,
        not: Option<usize>,
        out: &mut Vec<Action>,
    ) {
        let i = self.pick(now, not);
        let member = &mut self.members[i];
        member.in_flight += 1.0;
        if member.out_until > 0.0 && now >= member.out_until && member.row > 0 {
            // The first call after the wait decides; the others keep away until it has ended.
            member.on_trial = matches!(self.rival, Rival::Finagle | Rival::Sentinel);
        }
        held.attempts += 1;
        held.last = i;
        self.held.insert(id, held);
        out.push(Action::Send {
            request: id,
            endpoint: self.ids[i],
            timeout_ms: 0.0,
            connect_timeout_ms: 0.0,
        });
    }
}

impl Decider for Model {
    fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { endpoints, .. } => {
                self.ids = endpoints.iter().map(|endpoint| endpoint.id).collect();
                self.members = endpoints.iter().map(|_| Member::default()).collect();
            }
            Event::Request {
                id, class, ttl_ms, ..
            } => {
                self.budget = (self.budget + 0.1).min(10.0);
                let held = Held {
                    class: class.into(),
                    deadline: now + ttl_ms,
                    attempts: 0,
                    ran: false,
                    last: 0,
                };
                self.send(now, id, held, None, actions);
            }
            Event::Outcome {
                request,
                outcome,
                latency_ms,
                ..
            } => {
                let Some(mut held) = self.held.remove(&request) else {
                    return;
                };
                self.judge(held.last, now, outcome == Outcome::Ok, latency_ms);
                if outcome == Outcome::Ok {
                    return;
                }
                held.ran |= !outcome.never_ran();
                let harmless = !held.ran || self.classes[held.class] == EffectClass::Repeatable;
                let again = harmless
                    && held.attempts < self.most
                    && now < held.deadline
                    && self.budget >= 1.0;
                if again {
                    self.budget -= 1.0;
                    let last = held.last;
                    self.send(now, request, held, Some(last), actions);
                } else {
                    actions.push(match harmless {
                        true => Action::Reject {
                            request,
                            retry_after_ms: 0.0,
                            reason: UnservedReason::RetryBudgetSpent,
                        },
                        false => Action::Fail {
                            request,
                            reason: UnservedReason::NotRetryable,
                        },
                    });
                }
            }
            _ => {}
        }
    }
}
