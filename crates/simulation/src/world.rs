//! One pool in simulated time: members with troubles, instances that decide alone, callers at
//! Poisson times.

use crate::{uniform, Decider};
use dewrun_balancer::{
    Action, EndpointInfo, EndpointState, Event, ListKind, Millis, Outcome, Report, Rules,
};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// What is wrong with a member while it is in trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Connections are refused at once.
    Refused,
    /// Connections are never answered: an attempt ends at the time-out for connecting.
    NoConnect,
    /// Connections are accepted and closed, after the request was written.
    Closed,
    /// The connection is reset when half of the work is done.
    Reset,
    /// The connection is reset in the middle of the answer.
    Cut,
    /// An error at once.
    Error,
    /// Turned away unseen, at once.
    Full,
    /// It takes requests and never answers.
    Hang,
    /// Its work takes this many times as long.
    Slower(f64),
    /// Its process restarts, unannounced, and is cold from then on. In trouble it refuses
    /// connections for a second.
    Restarted,
    /// It refuses connections in every other second.
    Flapping,
    /// This part of its answers are errors, after the whole work.
    Part(f64),
    /// It fails class 0 at once and serves the others.
    OneClass,
}

/// A pool and what is asked of it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// How many members.
    pub members: u32,
    /// Requests that one member works on at once; more wait their turn.
    pub slots: usize,
    /// Mean of the exponential service time.
    pub service: Millis,
    /// The first so many members are in trouble ...
    pub bad: u32,
    /// ... of this kind ...
    pub trouble: Trouble,
    /// ... from here ...
    pub from: Millis,
    /// ... to here.
    pub until: Millis,
    /// Requests a millisecond, over all instances.
    pub rate: f64,
    /// How long requests come.
    pub span: Millis,
    /// A cold member falls over when it gets more than `fall_multiple` times what it can do in
    /// such a span.
    pub rules: Rules,
    /// Aim of a request.
    pub aim: Millis,
    /// Its deadline.
    pub deadline: Millis,
    /// How long a connection is waited for.
    pub connect: Millis,
    /// How many classes the requests are dealt out to, in turn.
    pub classes: u8,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer, in whatever time.
    Served,
    /// Refused: harmless to repeat.
    Refused,
    /// Failed.
    Failed,
}

/// What came of one request.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// When it came.
    pub at: Millis,
    /// Its class.
    pub class: u8,
    /// When and how it was answered.
    pub ended: Option<(Millis, End)>,
    /// Final answers that it got.
    pub answers: u32,
    /// Attempts that were sent for it.
    pub attempts: u32,
    /// How often its work was begun or may have been.
    pub ran: u32,
}

/// One attempt.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When.
    pub at: Millis,
    /// By which instance.
    pub instance: usize,
    /// To which member, from 0.
    pub to: u32,
}

/// What a run wrote down.
#[derive(Default)]
pub struct Books {
    /// Every request, in the order of arrival.
    pub asked: Vec<Asked>,
    /// Every attempt, in the order of the sends.
    pub sent: Vec<Sent>,
    /// When each member was pushed over while it was cold.
    pub fallen: Vec<(u32, Millis)>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrival,
    /// A slot of a member has done its work for an attempt.
    Worked(u32, u64),
    /// An attempt ends without its work.
    Ended(u64, u8),
    Timer(usize, u64),
}

const RESET: u8 = 0;
const ERROR: u8 = 1;
const FULL: u8 = 2;
const UNCONNECTED: u8 = 3;
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
    to: u32,
    at: Millis,
}

#[derive(Default)]
struct Member {
    busy: usize,
    queue: VecDeque<u64>,
    /// What came in the last window of the rule on cold ones, while it was cold.
    intake: VecDeque<Millis>,
    down: bool,
}

/// See the module's text.
pub struct World<D> {
    pool: Pool,
    deciders: Vec<D>,
    random: Xoshiro256PlusPlus,
    now: Millis,
    /// Times in nanoseconds, so that they can be ordered.
    events: BinaryHeap<Reverse<(u64, u64, What)>>,
    order: u64,
    members: Vec<Member>,
    attempts: BTreeMap<u64, Attempt>,
    books: Books,
}

/// The rules' figures that these worlds go by.
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

impl<D: Decider> World<D> {
    /// A world before these instances, which are told its members.
    pub fn new(pool: Pool, mut deciders: Vec<D>, seed: u64) -> World<D> {
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
        let mut none = Vec::new();
        for decider in &mut deciders {
            let event = Event::EndpointsChanged {
                kind: ListKind::Cached,
                version: 1,
                endpoints: &list,
            };
            decider.handle(0.0, event, &mut none);
        }
        World {
            members: (0..pool.members).map(|_| Member::default()).collect(),
            pool,
            deciders,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0.0,
            events: BinaryHeap::new(),
            order: 0,
            attempts: BTreeMap::new(),
            books: Books::default(),
        }
    }

    /// Plays it to its end: until all that was asked is answered, and no longer than a deadline
    /// after the last request.
    pub fn run(mut self) -> Books {
        let first = self.exponential(1.0 / self.pool.rate);
        self.at(first, What::Arrival);
        while let Some(Reverse((time, _, what))) = self.events.pop() {
            self.now = time as f64 / 1e6;
            if self.now > self.pool.span + 2.0 * self.pool.deadline {
                break;
            }
            match what {
                What::Arrival => self.arrival(),
                What::Worked(member, attempt) => self.worked(member, attempt),
                What::Ended(attempt, code) => self.ended(attempt, outcome(code)),
                What::Timer(instance, token) => self.tell(instance, Event::Timer { token }),
            }
        }
        self.books
    }

    fn exponential(&mut self, mean: Millis) -> Millis {
        -(1.0 - uniform(&mut self.random)).ln() * mean
    }

    fn at(&mut self, time: Millis, what: What) {
        self.order += 1;
        self.events
            .push(Reverse(((time * 1e6) as u64, self.order, what)));
    }

    fn arrival(&mut self) {
        let id = self.books.asked.len() as u64;
        let class = (id % u64::from(self.pool.classes.max(1))) as u8;
        let asked = Asked {
            at: self.now,
            class,
            ended: None,
            answers: 0,
            attempts: 0,
            ran: 0,
        };
        self.books.asked.push(asked);
        let next = self.now + self.exponential(1.0 / self.pool.rate);
        if next < self.pool.span {
            self.at(next, What::Arrival);
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
        self.tell(instance, event);
    }

    fn tell(&mut self, instance: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.deciders[instance].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    endpoint: backend,
                    timeout_ms,
                    connect_timeout_ms,
                } => {
                    self.send(
                        instance,
                        request,
                        backend - 1,
                        (timeout_ms, connect_timeout_ms),
                    );
                }
                Action::Reject { request, .. } => self.answer(request, End::Refused),
                Action::Fail { request, .. } => self.answer(request, End::Failed),
                Action::SetTimer { after_ms, token } => {
                    self.at(self.now + after_ms, What::Timer(instance, token));
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, request: u64, end: End) {
        let asked = &mut self.books.asked[request as usize];
        asked.answers += 1;
        asked.ended.get_or_insert((self.now, end));
    }

    /// The trouble of a member at this moment.
    fn trouble(&self, member: u32) -> Option<Trouble> {
        let within = self.now >= self.pool.from && self.now < self.pool.until;
        Some(self.pool.trouble).filter(|_| member < self.pool.bad && within)
    }

    /// When a member that was told of nowhere last started.
    fn started(&self, member: u32) -> Option<Millis> {
        let restarts = matches!(self.pool.trouble, Trouble::Restarted | Trouble::Refused);
        let at = self.pool.until;
        Some(at).filter(|at| restarts && member < self.pool.bad && self.now >= *at)
    }

    /// The part of its capacity that a member has.
    fn warmth(&self, member: u32) -> f64 {
        let rules = &self.pool.rules;
        let part = |at: Millis| {
            rules.slow_start_from
                + (1.0 - rules.slow_start_from) * (self.now - at) / rules.slow_start_ms
        };
        self.started(member).map_or(1.0, |at| part(at).min(1.0))
    }

    fn send(
        &mut self,
        instance: usize,
        request: u64,
        to: u32,
        (timeout, connect): (Millis, Millis),
    ) {
        let asked = &mut self.books.asked[request as usize];
        let number = asked.attempts as u8;
        asked.attempts += 1;
        let left = asked.at + self.pool.deadline - self.now;
        self.books.sent.push(Sent {
            at: self.now,
            instance,
            to,
        });
        let id = self.books.sent.len() as u64;
        self.attempts.insert(
            id,
            Attempt {
                instance,
                request,
                number,
                to,
                at: self.now,
            },
        );
        let connect = if connect > 0.0 {
            connect.min(self.pool.connect)
        } else {
            self.pool.connect
        };
        let until = if timeout > 0.0 {
            timeout.min(left)
        } else {
            left
        };
        self.at(self.now + until, What::Ended(id, TIMEOUT));
        let ends = |after: Millis, code| (after, What::Ended(id, code));
        let flaps = (self.now / 1000.0) as u64 % 2 == 0;
        let (after, how) = match self.trouble(to) {
            _ if self.members[to as usize].down => ends(0.1, UNCONNECTED),
            Some(Trouble::Refused | Trouble::Restarted) => ends(0.1, UNCONNECTED),
            Some(Trouble::Flapping) if flaps => ends(0.1, UNCONNECTED),
            Some(Trouble::NoConnect) => ends(connect, UNCONNECTED),
            Some(Trouble::Full) => ends(0.2, FULL),
            Some(trouble) => {
                self.books.asked[request as usize].ran += 1;
                match trouble {
                    Trouble::Closed => ends(0.2, RESET),
                    Trouble::Reset => ends(0.5 * self.pool.service, RESET),
                    Trouble::Cut => ends(self.pool.service, RESET),
                    Trouble::Error => ends(0.2, ERROR),
                    Trouble::OneClass if self.books.asked[request as usize].class == 0 => {
                        ends(0.2, ERROR)
                    }
                    Trouble::Hang => return,
                    _ => return self.take(to, id),
                }
            }
            None => {
                self.books.asked[request as usize].ran += 1;
                return self.take(to, id);
            }
        };
        self.at(self.now + after, how);
    }

    /// A member takes an attempt in.
    fn take(&mut self, to: u32, id: u64) {
        let warmth = self.warmth(to);
        let (window, multiple) = (
            self.pool.rules.overload_ms,
            self.pool.rules.overload_multiple,
        );
        let able = warmth * self.pool.slots as f64 / self.pool.service * window * multiple;
        let member = &mut self.members[to as usize];
        if warmth < 1.0 {
            member.intake.push_back(self.now);
            while member
                .intake
                .front()
                .is_some_and(|at| *at < self.now - window)
            {
                member.intake.pop_front();
            }
            if member.intake.len() as f64 > able.max(4.0) {
                member.down = true;
                self.books.fallen.push((to, self.now));
            }
        }
        if member.busy < self.pool.slots {
            self.begin(to, id);
        } else {
            member.queue.push_back(id);
        }
    }

    fn begin(&mut self, member: u32, attempt: u64) {
        self.members[member as usize].busy += 1;
        let slower = match self.trouble(member) {
            Some(Trouble::Slower(times)) => times,
            _ => 1.0 / self.warmth(member),
        };
        let took = self.exponential(self.pool.service * slower);
        self.at(self.now + took, What::Worked(member, attempt));
    }

    fn worked(&mut self, member: u32, attempt: u64) {
        self.members[member as usize].busy -= 1;
        if let Some(next) = self.members[member as usize].queue.pop_front() {
            self.begin(member, next);
        }
        let fails = match self.trouble(member) {
            Some(Trouble::Part(part)) => uniform(&mut self.random) < part,
            _ => false,
        };
        self.ended(attempt, if fails { Outcome::Error } else { Outcome::Ok });
    }

    fn ended(&mut self, attempt: u64, outcome: Outcome) {
        // What was given up goes on at its member, unheard.
        let Some(Attempt {
            instance,
            request,
            number,
            to,
            at,
        }) = self.attempts.remove(&attempt)
        else {
            return;
        };
        let ended = outcome == Outcome::Ok;
        if ended {
            self.answer(request, End::Served);
        }
        let event = Event::Outcome {
            request,
            attempt: number,
            endpoint: to + 1,
            outcome,
            latency_ms: self.now - at,
            ended,
            report: Report::default(),
        };
        self.tell(instance, event);
    }
}
