//! Models of how other balancers select and eject members, from their public documentation:
//! detailed enough to be compared on failures, with the documented defaults. None of them limits
//! admission, as the balancer of dewrun does. All of them retry what is safe to retry while a retry
//! budget lasts, as the balancer of dewrun does.

use crate::{uniform, Decider};
use dewrun_balancer::{
    Action, EffectClass, EndpointId, Event, Millis, Outcome, RequestId, Settings, UnservedReason,
};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;

/// A balancer with a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherBalancer {
    /// Round robin among all members, without ejection.
    RoundRobin,
    /// Envoy: the less loaded of two random members, and ejection after five consecutive failures,
    /// of at most a tenth of the members, for a time that grows with each ejection. If less than
    /// half of the members remain, all are used (panic threshold).
    Envoy,
    /// Finagle: the better of two random members by peak EWMA, failure accrual after five
    /// consecutive failures, and a backoff that ends with one probation request.
    Finagle,
    /// NGINX: round robin. A member with a failure is skipped for ten seconds, unless all members
    /// are skipped.
    Nginx,
    /// Sentinel: a circuit breaker for each member by its error ratio in one second. It is open for
    /// ten seconds, and then admits one request.
    Sentinel,
}

impl OtherBalancer {
    /// All balancers with a model.
    pub const ALL: [OtherBalancer; 5] = [
        OtherBalancer::RoundRobin,
        OtherBalancer::Envoy,
        OtherBalancer::Finagle,
        OtherBalancer::Nginx,
        OtherBalancer::Sentinel,
    ];

    /// Returns the name in reports.
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
    may_have_been_executed: bool,
    last_member: usize,
}

/// One instance of a modelled balancer.
pub struct Model {
    balancer: OtherBalancer,
    random: Xoshiro256PlusPlus,
    classes: Vec<EffectClass>,
    max_attempts: u32,
    ids: Vec<EndpointId>,
    members: Vec<Member>,
    round_robin_index: usize,
    pending: BTreeMap<RequestId, PendingRequest>,
    budget: f64,
}

impl Model {
    /// Creates an instance without members.
    pub fn new(balancer: OtherBalancer, settings: &Settings, seed: u64) -> Model {
        Model {
            balancer,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            classes: settings.classes.iter().map(|class| class.effect).collect(),
            max_attempts: settings.permissions.max_attempts,
            ids: Vec::new(),
            members: Vec::new(),
            round_robin_index: 0,
            pending: BTreeMap::new(),
            budget: 10.0,
        }
    }

    fn is_ejected(&self, i: usize, now: Millis) -> bool {
        let member = &self.members[i];
        now < member.ejected_until || member.on_probation
    }

    fn select(&mut self, now: Millis, excluded: Option<usize>) -> usize {
        let member_count = self.members.len();
        let mut candidates: Vec<usize> = (0..member_count)
            .filter(|i| !self.is_ejected(*i, now) && Some(*i) != excluded)
            .collect();
        let is_panic = self.balancer == OtherBalancer::Envoy && 2 * candidates.len() < member_count;
        if candidates.is_empty() || is_panic {
            candidates = (0..member_count)
                .filter(|i| Some(*i) != excluded || member_count == 1)
                .collect();
        }
        let mut random_candidate =
            || candidates[(uniform(&mut self.random) * candidates.len() as f64) as usize];
        match self.balancer {
            OtherBalancer::Envoy | OtherBalancer::Finagle => {
                let (a, b) = (random_candidate(), random_candidate());
                if self.cost(a, now) <= self.cost(b, now) {
                    a
                } else {
                    b
                }
            }
            _ => {
                self.round_robin_index += 1;
                candidates[self.round_robin_index % candidates.len()]
            }
        }
    }

    fn cost(&self, i: usize, now: Millis) -> f64 {
        let member = &self.members[i];
        match self.balancer {
            OtherBalancer::Finagle => {
                let decay = (-(now - member.ewma_at) / 10_000.0).exp();
                (member.ewma * decay).max(1e-3) * (member.in_flight + 1.0)
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
        let member_count = self.members.len();
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
            // At most a tenth of the members, but at least one, can be ejected at a time. An
            // ejection lasts 30 s times the number of ejections.
            OtherBalancer::Envoy => {
                if member.consecutive_failures >= 5
                    && now >= member.ejected_until
                    && ejected_now < (member_count / 10).max(1)
                {
                    member.ejections += 1;
                    member.ejected_until = now + 30_000.0 * f64::from(member.ejections.min(10));
                    member.consecutive_failures = 0;
                }
            }
            OtherBalancer::Finagle => {
                if is_success {
                    let decay = (-(now - member.ewma_at) / 10_000.0).exp();
                    // A latency above the mean replaces it immediately; one below it is averaged.
                    member.ewma = if latency > member.ewma {
                        latency
                    } else {
                        member.ewma * decay + latency * (1.0 - decay)
                    };
                    member.ewma_at = now;
                    member.ejections = 0;
                } else if member.consecutive_failures >= 5 || was_on_probation {
                    member.ejections += 1;
                    let backoff =
                        (5_000.0 * 2f64.powi(member.ejections.min(7) as i32 - 1)).min(300_000.0);
                    member.ejected_until = now + backoff * (0.5 + random);
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
                let is_open = member.window.1 >= 5 && 2 * member.window.2 >= member.window.1;
                if is_open || (was_on_probation && !is_success) {
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
        excluded: Option<usize>,
        out: &mut Vec<Action>,
    ) {
        let i = self.select(now, excluded);
        let member = &mut self.members[i];
        member.in_flight += 1.0;
        if member.ejected_until > 0.0
            && now >= member.ejected_until
            && member.consecutive_failures > 0
        {
            // The outcome of the first request after the backoff decides; no other request is sent
            // to the member until then.
            member.on_probation = matches!(
                self.balancer,
                OtherBalancer::Finagle | OtherBalancer::Sentinel
            );
        }
        request_state.attempts += 1;
        request_state.last_member = i;
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
                    may_have_been_executed: false,
                    last_member: 0,
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
                self.record_result(
                    request_state.last_member,
                    now,
                    outcome == Outcome::Ok,
                    latency_ms,
                );
                if outcome == Outcome::Ok {
                    return;
                }
                request_state.may_have_been_executed |= !outcome.was_not_executed();
                let is_retry_permitted = !request_state.may_have_been_executed
                    || self.classes[request_state.class] == EffectClass::Idempotent;
                let should_retry = is_retry_permitted
                    && request_state.attempts < self.max_attempts
                    && now < request_state.deadline
                    && self.budget >= 1.0;
                if should_retry {
                    self.budget -= 1.0;
                    let last_member = request_state.last_member;
                    self.send(now, request, request_state, Some(last_member), actions);
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
