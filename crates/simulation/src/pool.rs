//! A discrete-event simulation of one pool: members with faults, instances that decide
//! independently, and requests that arrive as a Poisson process.

use crate::{uniform, Decider};
use dewrun_balancer::{
    Action, EndpointInfo, EndpointState, Event, ListKind, Millis, Outcome, Report, Rules,
};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The fault of a member while it is faulty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Connections are refused immediately.
    ConnectionRefused,
    /// Connections are never established, so attempts end at the connect timeout.
    ConnectTimeout,
    /// Connections are accepted, and closed after the request was written.
    ConnectionClosed,
    /// The connection is reset when half of the service time has passed.
    ConnectionReset,
    /// The connection is reset in the middle of the response.
    TruncatedResponse,
    /// The member responds with an error immediately.
    ImmediateError,
    /// The member rejects requests immediately, without executing them.
    Overloaded,
    /// The member accepts requests and never responds.
    Hang,
    /// The service time is multiplied by this factor.
    Slow(f64),
    /// The process of the member restarts without notice from discovery. It refuses connections
    /// during the fault, which [`crate::matrix`] lets last one second, and is in slow start
    /// afterwards.
    Restarted,
    /// The member refuses connections in every other second.
    Flapping,
    /// This fraction of the responses are errors, after the full service time.
    ErrorFraction(f64),
    /// The member responds to requests of class 0 with an immediate error, and serves other
    /// classes.
    OneClass,
}

/// The configuration of a pool, its faults and its load.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Number of members.
    pub members: u32,
    /// Number of requests that one member executes concurrently; further requests are queued.
    pub slots: usize,
    /// Mean of the exponential service time.
    pub mean_service_time: Millis,
    /// Number of members with the fault, counted from the first member.
    pub faulty_members: u32,
    /// Kind of the fault.
    pub fault: Fault,
    /// Start of the fault.
    pub fault_from: Millis,
    /// End of the fault.
    pub fault_until: Millis,
    /// Mean arrival rate over all instances, in requests per millisecond.
    pub requests_per_ms: f64,
    /// Time during which requests arrive.
    pub duration: Millis,
    /// Rules of slow start and overload. A member in slow start goes down when it receives more
    /// than `overload_multiple` times its capacity within `overload_ms`.
    pub rules: Rules,
    /// Latency objective of a request.
    pub latency_objective: Millis,
    /// Time from the arrival of a request to its deadline.
    pub deadline: Millis,
    /// Longest connect timeout of an attempt.
    pub connect_timeout: Millis,
    /// Number of request classes, assigned to the requests in turn.
    pub classes: u8,
}

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client received a response, at any latency.
    Served,
    /// The request was rejected, so that a retry is safe.
    Rejected,
    /// The request failed, and may have been executed.
    Failed,
}

/// The course of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Arrival time.
    pub arrived_at: Millis,
    /// Request class.
    pub class: u8,
    /// Time and kind of the first final outcome; `None` while the request is in progress.
    pub outcome: Option<(Millis, RequestOutcome)>,
    /// Number of final outcomes, which must be one.
    pub responses: u32,
    /// Number of attempts.
    pub attempts: u32,
    /// Number of attempts that were or may have been executed.
    pub executions: u32,
}

/// The start of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    /// Time of the send.
    pub sent_at: Millis,
    /// Index of the instance that sent the attempt.
    pub instance: usize,
    /// Index of the member, from 0.
    pub member: u32,
}

/// Everything that a run recorded.
#[derive(Default)]
pub struct RunRecord {
    /// All requests, in the order of arrival.
    pub requests: Vec<RequestRecord>,
    /// All attempts, in the order of the sends.
    pub attempts: Vec<AttemptRecord>,
    /// Members that went down from overload during slow start, each with the time.
    pub overloaded: Vec<(u32, Millis)>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    Arrival,
    /// A member has completed the service of an attempt.
    ServiceCompleted(u32, u64),
    /// An attempt ends without a completed service; the code selects its outcome.
    AttemptEnded(u64, u8),
    Timer(usize, u64),
}

const RESET: u8 = 0;
const ERROR: u8 = 1;
const FULL: u8 = 2;
const CONNECT_FAILED: u8 = 3;
const TIMEOUT: u8 = 4;

fn outcome(code: u8) -> Outcome {
    [
        Outcome::Reset,
        Outcome::Error,
        Outcome::Full,
        Outcome::ConnectFailed,
        Outcome::Timeout,
    ][usize::from(code)]
}

struct Attempt {
    instance: usize,
    request: u64,
    number: u8,
    member: u32,
    sent_at: Millis,
}

#[derive(Default)]
struct Member {
    busy: usize,
    queue: VecDeque<u64>,
    /// Arrival times in the last window of the overload rule, during slow start.
    recent_arrivals: VecDeque<Millis>,
    is_down: bool,
}

/// A simulation of one pool and the instances that send to it.
pub struct PoolSimulation<D> {
    pool: Pool,
    deciders: Vec<D>,
    random: Xoshiro256PlusPlus,
    now: Millis,
    /// Pending events by time in integer nanoseconds, which have a total order, and by sequence
    /// number.
    events: BinaryHeap<Reverse<(u64, u64, SimulatedEvent)>>,
    sequence: u64,
    members: Vec<Member>,
    attempts: BTreeMap<u64, Attempt>,
    record: RunRecord,
}

/// Returns the rules of slow start, draining and overload that the simulations use.
pub fn rules() -> Rules {
    Rules {
        answer_grace_ms: 0.0,
        drain_grace_ms: 250.0,
        poll_within_ms: 10_000.0,
        slow_start_from: 0.3,
        slow_start_ms: 10_000.0,
        overload_multiple: 3.0,
        overload_ms: 3_000.0,
    }
}

impl<D: Decider> PoolSimulation<D> {
    /// Creates a simulation and reports the members to all instances.
    pub fn new(pool: Pool, mut deciders: Vec<D>, seed: u64) -> PoolSimulation<D> {
        let list: Vec<EndpointInfo> = (1..=pool.members)
            .map(|id| EndpointInfo {
                id,
                zone: 0,
                kind: 0,
                cell: 0,
                state: EndpointState::Ready,
                weight: 1.0,
                started_at: None,
            })
            .collect();
        let mut ignored_actions = Vec::new();
        for decider in &mut deciders {
            let event = Event::EndpointsChanged {
                kind: ListKind::Cached,
                version: 1,
                endpoints: &list,
            };
            decider.handle(0.0, event, &mut ignored_actions);
        }
        PoolSimulation {
            members: (0..pool.members).map(|_| Member::default()).collect(),
            pool,
            deciders,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0.0,
            events: BinaryHeap::new(),
            sequence: 0,
            attempts: BTreeMap::new(),
            record: RunRecord::default(),
        }
    }

    /// Runs the simulation until no event is pending, but at most until two deadlines after the end
    /// of the arrivals.
    pub fn run(mut self) -> RunRecord {
        let first = self.exponential(1.0 / self.pool.requests_per_ms);
        self.schedule(first, SimulatedEvent::Arrival);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time as f64 / 1e6;
            if self.now > self.pool.duration + 2.0 * self.pool.deadline {
                break;
            }
            match event {
                SimulatedEvent::Arrival => self.receive_request(),
                SimulatedEvent::ServiceCompleted(member, attempt) => {
                    self.complete_service(member, attempt)
                }
                SimulatedEvent::AttemptEnded(attempt, code) => {
                    self.end_attempt(attempt, outcome(code))
                }
                SimulatedEvent::Timer(instance, token) => {
                    self.handle_event(instance, Event::Timer { token })
                }
            }
        }
        self.record
    }

    fn exponential(&mut self, mean: Millis) -> Millis {
        -(1.0 - uniform(&mut self.random)).ln() * mean
    }

    fn schedule(&mut self, time: Millis, event: SimulatedEvent) {
        self.sequence += 1;
        self.events
            .push(Reverse(((time * 1e6) as u64, self.sequence, event)));
    }

    fn receive_request(&mut self) {
        let id = self.record.requests.len() as u64;
        let class = (id % u64::from(self.pool.classes.max(1))) as u8;
        let request_record = RequestRecord {
            arrived_at: self.now,
            class,
            outcome: None,
            responses: 0,
            attempts: 0,
            executions: 0,
        };
        self.record.requests.push(request_record);
        let next = self.now + self.exponential(1.0 / self.pool.requests_per_ms);
        if next < self.pool.duration {
            self.schedule(next, SimulatedEvent::Arrival);
        }
        let instance = (uniform(&mut self.random) * self.deciders.len() as f64) as usize;
        let event = Event::Request {
            cell: None,
            id,
            key: None,
            class,
            tenant: 0,
            hint_ms: None,
            is_client_retry: false,
            write: false,
            ttl_ms: self.pool.deadline,
        };
        self.handle_event(instance, event);
    }

    fn handle_event(&mut self, instance: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.deciders[instance].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    endpoint,
                    timeout_ms,
                    connect_timeout_ms,
                } => {
                    self.send(
                        instance,
                        request,
                        endpoint - 1,
                        (timeout_ms, connect_timeout_ms),
                    );
                }
                Action::Reject { request, .. } => {
                    self.end_request(request, RequestOutcome::Rejected)
                }
                Action::Fail { request, .. } => self.end_request(request, RequestOutcome::Failed),
                Action::SetTimer { after_ms, token } => {
                    self.schedule(self.now + after_ms, SimulatedEvent::Timer(instance, token));
                }
                _ => {}
            }
        }
    }

    fn end_request(&mut self, request: u64, outcome: RequestOutcome) {
        let request_record = &mut self.record.requests[request as usize];
        request_record.responses += 1;
        request_record.outcome.get_or_insert((self.now, outcome));
    }

    /// Returns the fault that a member has now.
    fn fault(&self, member: u32) -> Option<Fault> {
        let within = self.now >= self.pool.fault_from && self.now < self.pool.fault_until;
        Some(self.pool.fault).filter(|_| member < self.pool.faulty_members && within)
    }

    /// Returns the time of the last restart of a member, which discovery does not report.
    fn started_at(&self, member: u32) -> Option<Millis> {
        let is_restart = matches!(self.pool.fault, Fault::Restarted | Fault::ConnectionRefused);
        let at = self.pool.fault_until;
        Some(at).filter(|at| is_restart && member < self.pool.faulty_members && self.now >= *at)
    }

    /// Returns the fraction of its capacity that a member has.
    fn capacity_fraction(&self, member: u32) -> f64 {
        let rules = &self.pool.rules;
        let fraction = |at: Millis| {
            rules.slow_start_from
                + (1.0 - rules.slow_start_from) * (self.now - at) / rules.slow_start_ms
        };
        self.started_at(member)
            .map_or(1.0, |at| fraction(at).min(1.0))
    }

    fn send(
        &mut self,
        instance: usize,
        request: u64,
        member: u32,
        (timeout, connect): (Millis, Millis),
    ) {
        let request_record = &mut self.record.requests[request as usize];
        let number = request_record.attempts as u8;
        request_record.attempts += 1;
        let remaining = request_record.arrived_at + self.pool.deadline - self.now;
        self.record.attempts.push(AttemptRecord {
            sent_at: self.now,
            instance,
            member,
        });
        let id = self.record.attempts.len() as u64;
        self.attempts.insert(
            id,
            Attempt {
                instance,
                request,
                number,
                member,
                sent_at: self.now,
            },
        );
        let connect = if connect > 0.0 {
            connect.min(self.pool.connect_timeout)
        } else {
            self.pool.connect_timeout
        };
        let until = if timeout > 0.0 {
            timeout.min(remaining)
        } else {
            remaining
        };
        self.schedule(self.now + until, SimulatedEvent::AttemptEnded(id, TIMEOUT));
        let ends = |after: Millis, code| (after, SimulatedEvent::AttemptEnded(id, code));
        let is_flapping_down = (self.now / 1000.0) as u64 % 2 == 0;
        let (after, event) = match self.fault(member) {
            _ if self.members[member as usize].is_down => ends(0.1, CONNECT_FAILED),
            Some(Fault::ConnectionRefused | Fault::Restarted) => ends(0.1, CONNECT_FAILED),
            Some(Fault::Flapping) if is_flapping_down => ends(0.1, CONNECT_FAILED),
            Some(Fault::ConnectTimeout) => ends(connect, CONNECT_FAILED),
            Some(Fault::Overloaded) => ends(0.2, FULL),
            Some(fault) => {
                self.record.requests[request as usize].executions += 1;
                match fault {
                    Fault::ConnectionClosed => ends(0.2, RESET),
                    Fault::ConnectionReset => ends(0.5 * self.pool.mean_service_time, RESET),
                    Fault::TruncatedResponse => ends(self.pool.mean_service_time, RESET),
                    Fault::ImmediateError => ends(0.2, ERROR),
                    Fault::OneClass if self.record.requests[request as usize].class == 0 => {
                        ends(0.2, ERROR)
                    }
                    Fault::Hang => return,
                    _ => return self.accept_attempt(member, id),
                }
            }
            None => {
                self.record.requests[request as usize].executions += 1;
                return self.accept_attempt(member, id);
            }
        };
        self.schedule(self.now + after, event);
    }

    /// Starts or queues an attempt at a member, and applies the overload rule during slow start.
    fn accept_attempt(&mut self, member_index: u32, id: u64) {
        let capacity_fraction = self.capacity_fraction(member_index);
        let (window, multiple) = (
            self.pool.rules.overload_ms,
            self.pool.rules.overload_multiple,
        );
        let overload_count = capacity_fraction * self.pool.slots as f64
            / self.pool.mean_service_time
            * window
            * multiple;
        let member = &mut self.members[member_index as usize];
        if capacity_fraction < 1.0 {
            member.recent_arrivals.push_back(self.now);
            while member
                .recent_arrivals
                .front()
                .is_some_and(|at| *at < self.now - window)
            {
                member.recent_arrivals.pop_front();
            }
            if member.recent_arrivals.len() as f64 > overload_count.max(4.0) {
                member.is_down = true;
                self.record.overloaded.push((member_index, self.now));
            }
        }
        if member.busy < self.pool.slots {
            self.begin_service(member_index, id);
        } else {
            member.queue.push_back(id);
        }
    }

    fn begin_service(&mut self, member: u32, attempt: u64) {
        self.members[member as usize].busy += 1;
        let slowdown = match self.fault(member) {
            Some(Fault::Slow(times)) => times,
            _ => 1.0 / self.capacity_fraction(member),
        };
        let service_time = self.exponential(self.pool.mean_service_time * slowdown);
        self.schedule(
            self.now + service_time,
            SimulatedEvent::ServiceCompleted(member, attempt),
        );
    }

    fn complete_service(&mut self, member: u32, attempt: u64) {
        self.members[member as usize].busy -= 1;
        if let Some(next) = self.members[member as usize].queue.pop_front() {
            self.begin_service(member, next);
        }
        let is_error = match self.fault(member) {
            Some(Fault::ErrorFraction(part)) => uniform(&mut self.random) < part,
            _ => false,
        };
        self.end_attempt(
            attempt,
            if is_error {
                Outcome::Error
            } else {
                Outcome::Ok
            },
        );
    }

    fn end_attempt(&mut self, attempt: u64, outcome: Outcome) {
        // An attempt that timed out still occupies its member, but its completion has no effect.
        let Some(Attempt {
            instance,
            request,
            number,
            member,
            sent_at,
        }) = self.attempts.remove(&attempt)
        else {
            return;
        };
        let is_request_ended = outcome == Outcome::Ok;
        if is_request_ended {
            self.end_request(request, RequestOutcome::Served);
        }
        let event = Event::Outcome {
            request,
            attempt: number,
            endpoint: member + 1,
            outcome,
            latency_ms: self.now - sent_at,
            ended: is_request_ended,
            report: Report::default(),
        };
        self.handle_event(instance, event);
    }
}
