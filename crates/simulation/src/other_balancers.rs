//! Models of how other balancers choose and leave out members, from their public documentation:
//! enough of each to be compared on failures, with the defaults that its documentation gives. None
//! limits what it takes in, as the module's gates do. All of them repeat what may be repeated while
//! a budget lasts, as the module does.

use crate::{uniform, Decider};
use dewrun_balancer::{
    Action, EffectClass, EndpointId, Event, Millis, Outcome, RequestId, Settings, UnservedReason,
};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;

/// Which balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherBalancer {
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

impl OtherBalancer {
    /// All of them.
    pub const ALL: [OtherBalancer; 5] = [
        OtherBalancer::RoundRobin,
        OtherBalancer::Envoy,
        OtherBalancer::Finagle,
        OtherBalancer::Nginx,
        OtherBalancer::Sentinel,
    ];

    /// A short name.
    pub fn name(self) -> &'static str {
        match self {
            OtherBalancer::RoundRobin => "round robin",
            OtherBalancer::Envoy => "Envoy",
            OtherBalancer::Finagle => "Finagle",
            OtherBalancer::Nginx => "NGINX",
            OtherBalancer::Sentinel => "Sentinel",
        }
    }
}

#[derive(Default)]
struct Member {
    in_flight: f64,
    consecutive_failures: u32,
    ejected_until: Millis,
    ejections: u32,
    on_probation: bool,
    ewma: Millis,
    ewma_at: Millis,
    window: (Millis, u32, u32),
}

struct PendingRequest {
    class: usize,
    deadline: Millis,
    attempts: u32,
    ran: bool,
    last: usize,
}

/// One instance of a balancer.
pub struct Model {
    balancer: OtherBalancer,
    random: Xoshiro256PlusPlus,
    classes: Vec<EffectClass>,
    max_attempts: u32,
    ids: Vec<EndpointId>,
    members: Vec<Member>,
    turn: usize,
    pending: BTreeMap<RequestId, PendingRequest>,
    budget: f64,
}

impl Model {
    /// An instance that knows nothing yet.
    pub fn new(balancer: OtherBalancer, settings: &Settings, seed: u64) -> Model {
        Model {
            balancer,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            classes: settings.classes.iter().map(|class| class.effect).collect(),
            max_attempts: settings.permissions.max_attempts,
            ids: Vec::new(),
            members: Vec::new(),
            turn: 0,
            pending: BTreeMap::new(),
            budget: 10.0,
        }
    }

    fn is_ejected(&self, i: usize, now: Millis) -> bool {
        let member = &self.members[i];
        now < member.ejected_until || member.on_probation
    }

    fn select(&mut self, now: Millis, not: Option<usize>) -> usize {
        let all = self.members.len();
        let mut fit: Vec<usize> = (0..all)
            .filter(|i| !self.is_ejected(*i, now) && Some(*i) != not)
            .collect();
        let panics = self.balancer == OtherBalancer::Envoy && 2 * fit.len() < all;
        if fit.is_empty() || panics {
            fit = (0..all).filter(|i| Some(*i) != not || all == 1).collect();
        }
        let mut one_of = || fit[(uniform(&mut self.random) * fit.len() as f64) as usize];
        match self.balancer {
            OtherBalancer::Envoy | OtherBalancer::Finagle => {
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
        match self.balancer {
            OtherBalancer::Finagle => {
                let fade = (-(now - member.ewma_at) / 10_000.0).exp();
                (member.ewma * fade).max(1e-3) * (member.in_flight + 1.0)
            }
            _ => member.in_flight,
        }
    }

    fn record_result(&mut self, i: usize, now: Millis, is_success: bool, latency: Millis) {
        let balancer = self.balancer;
        let random = uniform(&mut self.random);
        let ejected_now = self
            .members
            .iter()
            .filter(|member| now < member.ejected_until)
            .count();
        let all = self.members.len();
        let member = &mut self.members[i];
        member.in_flight -= 1.0;
        let was_on_probation = std::mem::take(&mut member.on_probation);
        member.consecutive_failures = if is_success {
            0
        } else {
            member.consecutive_failures + 1
        };
        match balancer {
            OtherBalancer::RoundRobin => {}
            // At most a tenth of the members, and one at the least, are ejected; 30 s times the
            // number of ejections.
            OtherBalancer::Envoy => {
                if member.consecutive_failures >= 5
                    && now >= member.ejected_until
                    && ejected_now < (all / 10).max(1)
                {
                    member.ejections += 1;
                    member.ejected_until = now + 30_000.0 * f64::from(member.ejections.min(10));
                    member.consecutive_failures = 0;
                }
            }
            OtherBalancer::Finagle => {
                if is_success {
                    let fade = (-(now - member.ewma_at) / 10_000.0).exp();
                    // A time above the mean counts at once, one below it slowly.
                    member.ewma = if latency > member.ewma {
                        latency
                    } else {
                        member.ewma * fade + latency * (1.0 - fade)
                    };
                    member.ewma_at = now;
                    member.ejections = 0;
                } else if member.consecutive_failures >= 5 || was_on_probation {
                    member.ejections += 1;
                    let wait =
                        (5_000.0 * 2f64.powi(member.ejections.min(7) as i32 - 1)).min(300_000.0);
                    member.ejected_until = now + wait * (0.5 + random);
                    member.on_probation = false;
                }
            }
            OtherBalancer::Nginx => {
                if !is_success {
                    member.ejected_until = now + 10_000.0;
                }
            }
            OtherBalancer::Sentinel => {
                if now - member.window.0 >= 1_000.0 {
                    member.window = (now, 0, 0);
                }
                member.window.1 += 1;
                member.window.2 += u32::from(!is_success);
                let open = member.window.1 >= 5 && 2 * member.window.2 >= member.window.1;
                if open || (was_on_probation && !is_success) {
                    member.ejected_until = now + 10_000.0;
                    member.window = (now, 0, 0);
                }
            }
        }
    }

    fn send(
        &mut self,
        now: Millis,
        id: RequestId,
        mut request_state: PendingRequest,
        not: Option<usize>,
        out: &mut Vec<Action>,
    ) {
        let i = self.select(now, not);
        let member = &mut self.members[i];
        member.in_flight += 1.0;
        if member.ejected_until > 0.0
            && now >= member.ejected_until
            && member.consecutive_failures > 0
        {
            // The first call after the wait decides; the others keep away until it has ended.
            member.on_probation = matches!(
                self.balancer,
                OtherBalancer::Finagle | OtherBalancer::Sentinel
            );
        }
        request_state.attempts += 1;
        request_state.last = i;
        self.pending.insert(id, request_state);
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
                let request_state = PendingRequest {
                    class: class.into(),
                    deadline: now + ttl_ms,
                    attempts: 0,
                    ran: false,
                    last: 0,
                };
                self.send(now, id, request_state, None, actions);
            }
            Event::Outcome {
                request,
                outcome,
                latency_ms,
                ..
            } => {
                let Some(mut request_state) = self.pending.remove(&request) else {
                    return;
                };
                self.record_result(request_state.last, now, outcome == Outcome::Ok, latency_ms);
                if outcome == Outcome::Ok {
                    return;
                }
                request_state.ran |= !outcome.was_not_executed();
                let is_retry_permitted = !request_state.ran
                    || self.classes[request_state.class] == EffectClass::Idempotent;
                let again = is_retry_permitted
                    && request_state.attempts < self.max_attempts
                    && now < request_state.deadline
                    && self.budget >= 1.0;
                if again {
                    self.budget -= 1.0;
                    let last = request_state.last;
                    self.send(now, request, request_state, Some(last), actions);
                } else {
                    actions.push(match is_retry_permitted {
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
