//! The learned limits against endpoints whose capacity is known, at any speed: a small queueing
//! model drives the module as a proxy would. Times are the model's, so the verdict is the same on
//! every machine.

mod common;
use common::*;
use dewrun_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const AIM: Millis = 1_000.0;
const DEADLINE: Millis = 4_000.0;

/// A tier of equal endpoints with some cores each, one queue an endpoint, and an exponential or fixed
/// service time.
#[derive(Clone, Copy, Debug)]
struct Tier {
    endpoints: u32,
    cores: usize,
    service: Millis,
    exponential: bool,
}

impl Tier {
    /// Calls a millisecond.
    fn capacity(&self) -> f64 {
        f64::from(self.endpoints) * self.cores as f64 / self.service
    }
}

#[derive(Default, Debug)]
struct Books {
    asked: usize,
    refused: usize,
    in_aim: usize,
    served: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrival,
    Done(u32, u64),
}

struct Model {
    proxy: Proxy,
    tier: Tier,
    random: Xoshiro256PlusPlus,
    /// Time in nanoseconds, so that it can be ordered.
    events: BinaryHeap<Reverse<(u64, u64, What)>>,
    order: u64,
    busy: Vec<usize>,
    queues: Vec<VecDeque<u64>>,
    out: std::collections::BTreeMap<u64, (Sent, Millis)>,
    /// Slower by this factor from now on.
    slower: f64,
}

impl Model {
    fn new(tier: Tier, has_long_requests: bool) -> Model {
        let class = Class {
            latency_objective_ms: AIM,
            deadline_ms: DEADLINE,
            ..class(EffectClass::Idempotent, DeduplicationScope::All)
        };
        let settings = Settings {
            has_long_requests,
            tick_ms: 0.001,
            classes: vec![class],
            ..settings()
        };
        Model {
            proxy: Proxy::new(settings, &endpoints(tier.endpoints)),
            tier,
            random: Xoshiro256PlusPlus::seed_from_u64(11),
            events: BinaryHeap::new(),
            order: 0,
            busy: vec![0; tier.endpoints as usize],
            queues: vec![VecDeque::new(); tier.endpoints as usize],
            out: Default::default(),
            slower: 1.0,
        }
    }

    fn exponential(&mut self, mean: Millis) -> Millis {
        let u = ((self.random.next_u64() >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        -u.ln() * mean
    }

    fn at(&mut self, time: Millis, what: What) {
        self.order += 1;
        self.events
            .push(Reverse(((time * 1e6) as u64, self.order, what)));
    }

    fn begin(&mut self, endpoint: usize, request: u64) {
        self.busy[endpoint] += 1;
        let mean = self.tier.service * self.slower;
        let took = if self.tier.exponential {
            self.exponential(mean)
        } else {
            mean
        };
        self.at(self.proxy.now + took, What::Done(endpoint as u32, request));
    }

    fn send(&mut self, sent: Sent, asked: Millis) {
        let endpoint = sent.to as usize - 1;
        self.out.insert(sent.request, (sent, asked));
        if self.busy[endpoint] < self.tier.cores {
            self.begin(endpoint, sent.request);
        } else {
            self.queues[endpoint].push_back(sent.request);
        }
    }

    /// Poisson arrivals at `rate` calls a millisecond, `count` of them.
    fn open_loop(&mut self, rate: f64, count: usize) -> Books {
        let mut books = Books::default();
        let first = self.proxy.now + self.exponential(1.0 / rate);
        self.at(first, What::Arrival);
        while let Some(Reverse((time, _, what))) = self.events.pop() {
            self.proxy.now = time as f64 / 1e6;
            match what {
                What::Arrival => {
                    books.asked += 1;
                    let now = self.proxy.now;
                    match self.proxy.ask(0, 0, DEADLINE) {
                        Some(sent) => self.send(sent, now),
                        None => books.refused += 1,
                    }
                    if books.asked == count {
                        return books;
                    }
                    let next = now + self.exponential(1.0 / rate);
                    self.at(next, What::Arrival);
                }
                What::Done(endpoint, request) => {
                    let endpoint = endpoint as usize;
                    self.busy[endpoint] -= 1;
                    if let Some(next) = self.queues[endpoint].pop_front() {
                        self.begin(endpoint, next);
                    }
                    if let Some((sent, asked)) = self.out.remove(&request) {
                        books.served += 1;
                        books.in_aim += usize::from(self.proxy.now - asked <= AIM);
                        self.proxy.end(sent, Outcome::Ok);
                    }
                }
            }
        }
        books
    }
}

const SPEEDS: [Millis; 4] = [0.05, 1.0, 20.0, 300.0];

fn tiers(sizes: &[u32]) -> Vec<Tier> {
    let mut tiers = Vec::new();
    for service in SPEEDS {
        for endpoints in sizes.iter().copied() {
            tiers.extend([false, true].map(|exponential| Tier {
                endpoints,
                cores: 4,
                service,
                exponential,
            }));
        }
    }
    tiers
}

#[test]
fn a_healthy_tier_refuses_nothing() {
    // Left out is what has no room below its aim of 3.3 service times: two endpoints of 300 ms,
    // whose calls wait their turn at 0.8, and exponential times of 300 ms, of which one in 28
    // is late by itself.
    let fits = |t: &Tier| t.service < 300.0 || (t.endpoints > 2 && !t.exponential);
    for tier in tiers(&[2, 20, 200]).into_iter().filter(fits) {
        for load in [0.1, 0.8] {
            let mut model = Model::new(tier, false);
            let books = model.open_loop(load * tier.capacity(), 20_000);
            assert!(
                books.refused * 10_000 <= books.asked,
                "{tier:?} at {load}: {books:?}"
            );
        }
    }
}

#[test]
fn twice_the_capacity_leaves_nine_tenths_of_it_in_time() {
    for tier in tiers(&[2, 20]).into_iter().filter(|t| t.service >= 1.0) {
        let mut model = Model::new(tier, false);
        // Ten seconds, or ten aims, until the limit has been found.
        model.open_loop(2.0 * tier.capacity(), (20_000.0 * tier.capacity()) as usize);
        let from = model.proxy.now;
        let books = model.open_loop(2.0 * tier.capacity(), (20_000.0 * tier.capacity()) as usize);
        let goodput = books.in_aim as f64 / (model.proxy.now - from) / tier.capacity();
        println!("{tier:?}: {goodput:.3} of capacity in time at twice the capacity");
        // Where a call's own time is a third of the aim, chance alone makes some of them late.
        let least = if tier.exponential && tier.service >= 300.0 {
            0.8
        } else {
            0.9
        };
        assert!(goodput >= least, "{tier:?}: {goodput} {books:?}");
    }
}

#[test]
fn half_of_the_capacity_lost_and_back_is_found_again() {
    for tier in tiers(&[2, 20]).into_iter().filter(|t| t.service == 20.0) {
        let mut model = Model::new(tier, false);
        let (rate, second) = (0.8 * tier.capacity(), 1_000.0 * tier.capacity());
        assert_eq!(model.open_loop(rate, (5.0 * second) as usize).refused, 0);
        model.slower = 2.0;
        model.open_loop(rate, (10.0 * second) as usize);
        let from = model.proxy.now;
        let books = model.open_loop(rate, (10.0 * second) as usize);
        let goodput = books.in_aim as f64 / (model.proxy.now - from) / (tier.capacity() / 2.0);
        assert!(
            goodput >= 0.9,
            "{tier:?}: {goodput} of what is left {books:?}"
        );
        model.slower = 1.0;
        model.open_loop(rate, (10.0 * second) as usize);
        let books = model.open_loop(rate, (10.0 * second) as usize);
        assert!(books.refused * 100 <= books.asked, "{tier:?}: {books:?}");
    }
}

/// A time as a clock, or a fault in one, may tell it.
fn any_time() -> impl Strategy<Value = Millis> {
    prop_oneof![
        Just(0.0),
        Just(-1.0),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(f64::MIN_POSITIVE),
        Just(1e-9),
        Just(0.02),
        0.0..1.0,
        0.0..5_000.0,
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Ten seconds without a failure, a call a hundredth of a second: then one is admitted,
    /// whatever came before.
    #[test]
    fn no_history_wedges_a_gate(
        has_long_requests in any::<bool>(),
        equal in any::<bool>(),
        first in any_time(),
        calls in prop::collection::vec((any_time(), 0..8_u8, 0.0..50.0, 1..6_usize), 1..120),
    ) {
        let class = Class { latency_objective_ms: AIM, ..class(EffectClass::Idempotent, DeduplicationScope::All) };
        let mut p = Proxy::new(Settings { has_long_requests, classes: vec![class], ..settings() }, &endpoints(2));
        for (took, outcome, gap, width) in calls {
            let took = if equal { first } else { took };
            let outcome = match outcome {
                0 => Outcome::Error,
                1 => Outcome::Timeout,
                2 => Outcome::ConnectFailed,
                _ => Outcome::Ok,
            };
            let sent: Vec<Sent> = (0..width).filter_map(|_| p.ask(0, 0, 4_000.0)).collect();
            p.now += gap;
            for sent in sent {
                let event = ended_as(sent.request, sent.attempt, sent.to, outcome, took, true);
                p.event(event);
            }
        }
        let mut admitted = 0;
        for _ in 0..1_000 {
            p.now += 10.0;
            if let Some(sent) = p.ask(0, 0, 4_000.0) {
                admitted += 1;
                p.now += 1.0;
                p.end(sent, Outcome::Ok);
            }
        }
        prop_assert!(admitted > 0);
    }
}

/// Seen on sockets: calls of 20 microseconds brought the time-out of an attempt below a
/// millisecond, with which nothing was sent; nothing sent taught nothing, so it stayed there, and
/// every call was refused for good.
#[test]
fn an_attempt_has_time_however_fast_the_answers_were() {
    let classes = vec![class(EffectClass::Idempotent, DeduplicationScope::All)];
    let mut p = Proxy::new(
        Settings {
            has_long_requests: false,
            classes,
            ..settings()
        },
        &endpoints(2),
    );
    for _ in 0..500 {
        let sent = p.ask(0, 0, 4_000.0).expect("sent");
        assert!(
            sent.timeout_ms == 0.0 || sent.timeout_ms >= 50.0,
            "{}",
            sent.timeout_ms
        );
        p.now += 0.02;
        p.end(sent, Outcome::Ok);
    }
}

/// A proxy whose two tenants have small quotas, of which tenant 0 has used up its own while the
/// endpoints answered at once.
fn over_quota() -> Proxy {
    let settings = Settings {
        tenants: vec![tenant(1.0), tenant(1_000.0)],
        ..settings()
    };
    let mut proxy = Proxy::new(settings, &endpoints(2));
    for _ in 0..40 {
        if let Some(sent) = proxy.ask(0, 0, DEADLINE) {
            proxy.now += 20.0;
            proxy.end(sent, Outcome::Ok);
        }
    }
    proxy
}

/// Requests of a tenant until one is rejected, and why.
fn fill(proxy: &mut Proxy, tenant: u16) -> UnservedReason {
    loop {
        if proxy.ask(0, tenant, DEADLINE).is_none() {
            let reason = proxy.last.iter().find_map(|action| match action {
                Action::Reject { reason, .. } => Some(*reason),
                _ => None,
            });
            return reason.expect("it is rejected");
        }
    }
}

/// Guards against a log that blames a tenant where the tier is full.
#[test]
fn a_request_over_quota_is_rejected_for_the_limit_that_is_reached() {
    let mut proxy = over_quota();
    assert_eq!(fill(&mut proxy, 0), UnservedReason::OverQuota);
    // The tenant within its quota fills the tier.
    assert_eq!(fill(&mut proxy, 1), UnservedReason::OverLimit);
    assert_eq!(fill(&mut proxy, 0), UnservedReason::OverLimit);
}

/// Guards against a log that shows the threshold in place of the latency that was above it.
#[test]
fn the_line_of_a_decrease_shows_the_latency_that_caused_it() {
    let mut proxy = Proxy::new(settings(), &endpoints(2));
    let mut lines = Vec::new();
    for _ in 0..200 {
        let sent = proxy.ask(0, 0, DEADLINE);
        proxy.now += AIM * 1.2;
        if let Some(sent) = sent {
            proxy.end(sent, Outcome::Ok);
        }
        lines.extend(proxy.last.iter().filter_map(|action| match action {
            Action::Log(line) => Some(line.clone()),
            _ => None,
        }));
    }
    let line = lines.first().expect("the limit has decreased");
    let shown = |name: &str| -> f64 {
        let (_, rest) = line.split_once(&format!("{name}=")).expect(name);
        let value = rest.split(' ').next().expect("a value");
        value.parse().expect("a number")
    };
    assert!(shown("normalized_latency") > shown("threshold"), "{line}");
}
