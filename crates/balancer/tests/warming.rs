//! Slow start of an endpoint while no other is healthy. Times are simulated, so results are the
//! same on every machine.

mod common;
use common::*;
use dewrun_balancer::*;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const CLIENTS: usize = 16;
const DEADLINE_MS: Millis = 4_000.0;
/// Time between the end of a client's request and its next request.
const REQUEST_INTERVAL_MS: Millis = 20.0;
const MAX_SERVICE_MS: Millis = 11.0;
const RESET_MS: Millis = 1.0;
const SECOND_MS: Millis = 1_000.0;
const STARTED_AT_MS: Millis = 1_000.0;
/// Time of the list change, which is too early for a learned throughput.
const CHANGED_AT_MS: Millis = 3_000.0;
const SECONDS_AFTER: usize = 8;
const NEW_ENDPOINT: EndpointId = 9;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Change,
    Request,
    Done { request: u64 },
}

/// A simulation of clients and endpoints, of which one resets every request from the change on.
struct Simulation {
    proxy: Proxy,
    after: Vec<EndpointInfo>,
    resets: Option<EndpointId>,
    random: Xoshiro256PlusPlus,
    /// Steps with their times in nanoseconds, which can be ordered.
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    order: u64,
    in_flight: BTreeMap<u64, Sent>,
    /// Requests and served requests, by seconds since the change.
    requests: [usize; SECONDS_AFTER],
    served: [usize; SECONDS_AFTER],
    is_ejected: bool,
    has_new_responded: bool,
    /// Attempts at the endpoint that resets requests: probation requests, and others that it got
    /// while it was ejected and the new endpoint, if any, had responded.
    probations: usize,
    others_while_ejected: usize,
}

impl Simulation {
    fn run_case(
        before: u32,
        after: Vec<EndpointInfo>,
        resets: Option<EndpointId>,
        seed: u64,
    ) -> Simulation {
        let settings = Settings {
            has_long_requests: false,
            tick_ms: 0.001,
            rules: Rules {
                slow_start_ms: 10_000.0,
                ..settings().rules
            },
            ..settings()
        };
        let mut simulation = Simulation {
            proxy: Proxy::seeded(settings, seed, &endpoints(before)),
            after,
            resets,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            steps: BinaryHeap::new(),
            order: 0,
            in_flight: BTreeMap::new(),
            requests: [0; SECONDS_AFTER],
            served: [0; SECONDS_AFTER],
            is_ejected: false,
            has_new_responded: false,
            probations: 0,
            others_while_ejected: 0,
        };
        for client in 0..CLIENTS {
            simulation.at(STARTED_AT_MS + client as f64, Step::Request);
        }
        simulation.at(CHANGED_AT_MS, Step::Change);
        simulation.run();
        simulation
    }

    fn at(&mut self, time: Millis, step: Step) {
        self.order += 1;
        self.steps
            .push(Reverse(((time * 1e6) as u64, self.order, step)));
    }

    fn run(&mut self) {
        let end = CHANGED_AT_MS + SECONDS_AFTER as f64 * SECOND_MS;
        while let Some(Reverse((time, _, step))) = self.steps.pop() {
            self.proxy.now = time as f64 / 1e6;
            if self.proxy.now >= end {
                break;
            }
            match step {
                Step::Change => self.proxy.list(ListKind::Full, &self.after),
                Step::Request => self.request(),
                Step::Done { request } => self.done(request),
            }
        }
    }

    fn second(&self) -> Option<usize> {
        let elapsed = self.proxy.now - CHANGED_AT_MS;
        (elapsed >= 0.0).then_some((elapsed / SECOND_MS) as usize)
    }

    fn request(&mut self) {
        if let Some(second) = self.second() {
            self.requests[second] += 1;
        }
        let sent = self.proxy.request(0, 0, DEADLINE_MS);
        self.send_or_pause(sent);
    }

    /// Sends an attempt, or schedules the client's next request if its request has ended.
    fn send_or_pause(&mut self, sent: Option<Sent>) {
        let Some(sent) = sent else {
            self.at(self.proxy.now + REQUEST_INTERVAL_MS, Step::Request);
            return;
        };
        let latency = if self.is_reset(sent.to) {
            self.count_at_faulty();
            RESET_MS
        } else {
            self.random.random_range(0.0..MAX_SERVICE_MS)
        };
        self.in_flight.insert(sent.request, sent);
        let request = sent.request;
        self.at(self.proxy.now + latency, Step::Done { request });
    }

    fn is_reset(&self, endpoint: EndpointId) -> bool {
        self.second().is_some() && self.resets == Some(endpoint)
    }

    fn has_new(&self) -> bool {
        self.after.iter().any(|info| info.id == NEW_ENDPOINT)
    }

    fn count_at_faulty(&mut self) {
        let is_probation = self.proxy.last.iter().any(|action| {
            matches!(action, Action::Send { connect_timeout_ms, .. } if *connect_timeout_ms > 0.0)
        });
        if is_probation {
            self.probations += 1;
        } else if self.is_ejected && (self.has_new_responded || !self.has_new()) {
            self.others_while_ejected += 1;
        }
    }

    fn done(&mut self, request: u64) {
        let Some(sent) = self.in_flight.remove(&request) else {
            return;
        };
        let outcome = if self.is_reset(sent.to) {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        let next = self.proxy.end(sent, outcome);
        let is_ejected = |action: &Action| {
            matches!(action, Action::StatusChanged { endpoint, status: EndpointStatus::Ejected, .. }
                if Some(*endpoint) == self.resets)
        };
        let is_newly_ejected = self.proxy.last.iter().any(is_ejected);
        self.is_ejected |= is_newly_ejected;
        if outcome == Outcome::Ok {
            self.has_new_responded |= sent.to == NEW_ENDPOINT;
            if let Some(second) = self.second() {
                self.served[second] += 1;
            }
        }
        self.send_or_pause(next);
    }

    fn served_fraction(&self, second: usize) -> f64 {
        self.served[second] as f64 / self.requests[second] as f64
    }

    fn case(&self, seed: u64) -> String {
        format!(
            "seed {seed}: served {:?} of {:?}; while ejected {} probations and {} others",
            self.served, self.requests, self.probations, self.others_while_ejected
        )
    }
}

fn new_endpoint() -> EndpointInfo {
    EndpointInfo {
        started_at: Some(CHANGED_AT_MS),
        ..endpoint(NEW_ENDPOINT)
    }
}

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// Guards against requests to an ejected endpoint while a new one only waits for a slow-start
/// token.
#[test]
fn an_ejected_endpoint_gets_only_probations_while_a_new_one_is_ready() {
    for seed in SEEDS {
        let simulation = Simulation::run_case(2, vec![endpoint(1), new_endpoint()], Some(1), seed);
        let case = simulation.case(seed);
        println!("{case}");
        assert!(simulation.is_ejected && simulation.probations > 0, "{case}");
        assert_eq!(simulation.others_while_ejected, 0, "{case}");
    }
}

/// Guards the use of ejected endpoints if no other is left.
#[test]
fn an_ejected_endpoint_is_used_where_no_other_is_ready() {
    for seed in SEEDS {
        let simulation = Simulation::run_case(2, vec![endpoint(1)], Some(1), seed);
        let case = simulation.case(seed);
        println!("{case}");
        assert!(simulation.is_ejected, "{case}");
        assert!(simulation.others_while_ejected > 100, "{case}");
    }
}

/// Minimum fraction of requests that are served from the fourth second on.
const MIN_SERVED_FRACTION: f64 = 0.9;

fn assert_new_endpoint_serves(simulation: &Simulation, seed: u64) {
    let case = simulation.case(seed);
    println!("{case}");
    for second in 3..SECONDS_AFTER {
        assert!(
            simulation.served_fraction(second) >= MIN_SERVED_FRACTION,
            "{case}"
        );
    }
}

/// Guards against rejections while the only healthy endpoint is new and the other is ejected.
#[test]
fn a_new_endpoint_beside_an_ejected_one_gets_its_capacity() {
    for seed in SEEDS {
        let simulation = Simulation::run_case(2, vec![endpoint(1), new_endpoint()], Some(1), seed);
        assert_new_endpoint_serves(&simulation, seed);
    }
}

/// Guards against rejections while the only endpoint has just started and responds quickly.
#[test]
fn a_new_endpoint_alone_gets_its_capacity() {
    for seed in SEEDS {
        let simulation = Simulation::run_case(4, vec![new_endpoint()], None, seed);
        assert_new_endpoint_serves(&simulation, seed);
    }
}
