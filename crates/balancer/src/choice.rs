//! Every decision of dewrun. The interface, its types, events and actions, is `api.rs`.
//!
//! A call passes a check of counting nodes before each send, as in Sentinel's FlowSlot: the tier's
//! node, the node of its class and, for traffic over its tenant's share, the node for borrowed
//! room. A call that would exceed a node's count is refused unsent. The counts are learned. The
//! endpoint is then drawn at random, weighted by rating, warmth, feedback and load. Where it departs
//! from this, the comment says when.

mod record;

use crate::api::*;
use dewrun_decay::{Floor, Mean, Part, Spread, Sum};
use rand::seq::IndexedRandom;
use rand::{Rng, RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Calls in flight a fresh node below the top admits: far above any real count, so it refuses
/// nothing until it has learned.
const START_COUNT: f64 = 10_000.0;
/// First count of the top tier's nodes: calls for each listed endpoint, shared by the copies, or for
/// sparse copies fewer for each and some for chance. The first late answers come only after the
/// servers are jammed.
const START_EACH: f64 = 8.0;
const START_SPARSE: f64 = 5.0;
const START_LEAST: f64 = 4.0;
/// Borrowed calls in flight a fresh copy admits: room beyond the shares must first be seen, or all
/// fresh copies together flood a fleet that is just big enough for the shares, before the first
/// answer tells them.
const START_BORROW: f64 = 1.0;
/// The least count: under one, as a call at each of many sparse copies is too much for a small tier
/// ...
const LEAST_COUNT: f64 = 0.2;
/// ... and for each endpoint, shared by the copies: so few calls can't be what makes them fail.
const LEAST_EACH: f64 = 0.5;
/// Part of its count a node keeps at a cut.
const CUT: f64 = 0.75;
/// The most that one sample weighs in a node's stress: sparse copies must not cut on one failure.
const SAMPLE_MOST: f64 = 0.06;
/// What a timely finish adds to a count at rest, at least: a part of each round, so that large
/// counts rise as fast as small ones.
const RISE: f64 = 0.1;
/// First count, over the times by which a fresh count rises faster: many answers a round bring news
/// in time.
const FRESH: f64 = 10.0;
/// Part of the count in flight from which a timely finish raises it: an unused limit teaches
/// nothing.
const IN_USE: f64 = 0.7;
/// Milliseconds over which a node forgets the most calls it had in flight.
const USED_MS: Millis = 2_000.0;
/// Milliseconds over which a node's stress forgets.
const STRESS_MS: Millis = 500.0;
/// Stress (time taken over time wanted, smoothed) above which a node is cut, at the top tier ...
const TOP_STRESS: f64 = 0.6;
/// ... for the tier and for classes to which others yield, were these all of it: they are cut first
/// ...
const SENIOR_STRESS: f64 = 1.0;
/// ... and below it: later, because work is already sunk in a call that comes from a tier above.
const DEEP_STRESS: f64 = 0.9;
/// What a failed call counts as, in stress.
const FAILED_STRESS: f64 = 1.5;
/// How much of the way from calm to late the tier may go before borrowed room is taken back.
const BORROW_STRESS: f64 = 0.15;
/// Times the tier's usual stress above which its top gate is cut, where that is below the limit by
/// the aim: a queue twice as long as usual serves no more, and servers that are held crowded slow
/// down for good.
const CROWDED: f64 = 1.5;
/// Part of the first count below which crowding alone does not cut: chance must not shut a calm
/// gate.
const CROWDED_LEAST: f64 = 0.5;
/// Samples over which the usual stress is averaged.
const USUAL_SAMPLES: f64 = 120.0;
/// Part a second by which the remembered calm rises, so that it follows a tier that has changed.
const CALM_DRIFT: f64 = 0.02;
/// Milliseconds of the window in which a tenant's calls are held against its share: long, as a
/// sparse copy's few calls come in clusters and a tenant well within its share would look over it
/// in a short one.
const SHARE_MS: Millis = 10_000.0;
/// Room over a tenant's part at this copy, as fronts do not spread it quite evenly.
const SHARE_SLACK: f64 = 1.1;
/// Milliseconds over which the classes' parts of the traffic are averaged.
const ASKED_MS: Millis = 10_000.0;
/// Milliseconds between two looks at which classes yield.
const RANK_MS: Millis = 100.0;
/// The most repeats that can be saved up; the settings say what part of one each request earns.
const RETRY_SAVED: f64 = 10.0;
/// Repeats of calls that never reached an endpoint have a purse of their own, which holds besides as
/// many as the copy had out at its recent peak: an endpoint that vanishes must not take what a call
/// that failed at another one needs.
const UNSENT_EARNED: f64 = 0.1;
/// Calls over which an endpoint's part of failures is averaged, milliseconds in which an untried
/// one's is forgotten, the excess over that of all which chance explains, and how steeply more
/// lowers its weight.
const FAULTS_CALLS: f64 = 30.0;
const FAULTS_MS: Millis = 10_000.0;
const FAULTS_CHANCE: f64 = 0.05;
const FAULTS_DEAR: i32 = 12;
/// Failures in a row, of all calls or of one class, that put an endpoint out of the draw. One
/// connection that did not come about is enough: it says so much more, and asking again costs so
/// much less.
const STRIKES: i32 = 3;
/// Milliseconds until an endpoint that is out gets its first trial call; doubled with each trial that
/// fails, up to the most, which grows with the fleet so that all copies together never try more
/// than so many times a second.
const TRIAL_MS: Millis = 250.0;
const TRIAL_MOST: Millis = 4_000.0;
const TRIALS_PER_S: f64 = 20.0;
/// Trials earned by each request and the most that are saved up; one is free after this time
/// without any.
const TRIAL_EARNED: f64 = 0.05;
const TRIAL_SAVED: f64 = 3.0;
const TRIAL_FREE_MS: Millis = 6_000.0;
/// Trials that may run and fail, by calls that must not be repeated: earned by each request, and
/// free after this time.
const TRIAL_ONCE_EARNED: f64 = 0.001;
const TRIAL_ONCE_MS: Millis = 60_000.0;
/// Part of the room that is out from which, while the tier is under this much stress, the picture
/// is doubted.
const DOUBT_PART: f64 = 0.5;
const DOUBT_STRESS: f64 = 0.5;
/// The least health of an endpoint: keeps trials going.
const HEALTH_FLOOR: f64 = 0.02;
/// Milliseconds in which an untried endpoint's health comes back, after one failure; doubles with
/// each more.
const HEAL_MS: Millis = 5_000.0;
/// Mean deviations over the mean latency after which one attempt is given up for another: giving up
/// early repeats work that mostly goes on.
const PATIENCE: f64 = 12.0;
/// The least time for one attempt that is given up early, where calls are not long: where they
/// take microseconds, a scheduler's pause is longer than all that the deviations allow.
const PATIENCE_LEAST: Millis = 50.0;
/// A call out this many mean latencies, with no answer since from its endpoint, is an early sign of
/// a hang.
const OVERDUE: f64 = 3.0;
/// One out this many, and this long at the least, while others answer, keeps new calls away until
/// it has ended.
const SILENT: f64 = 8.0;
const SILENT_LEAST: Millis = 250.0;
/// The largest rating that is believed: guards against a list whose sizes can't be summed up.
const RATING_MOST: f64 = 1e9;
/// The fewest healthy endpoints a copy draws from, where the tier has more ...
const SUBSET_LEAST: f64 = 8.0;
/// ... so that each endpoint hears from this many copies, and none stands or falls with one of them
/// ...
const SUBSET_COVER: f64 = 4.0;
/// ... and with this many endpoints for each call that the copy had out at its recent peak.
const SUBSET_ROOM: f64 = 1.0;
/// How steeply the price of a crossing lowers the weight of endpoints in other zones.
const CROSSING_DEAR: f64 = 20_000.0;
/// Part of the fall budget of a cold endpoint that this copy uses at most: the rest is for chance.
const COLD_PART: f64 = 0.5;
/// Part of a window's calls to a cold endpoint that can be saved up for a burst.
const COLD_SAVED: f64 = 0.25;
/// Milliseconds between two looks at the room that the endpoints have in all, and the most that one
/// look takes from the counts or gives them: what was learned of a tier that has all but gone says
/// little of the next.
const ROOM_MS: Millis = 50.0;
const ROOM_MOST: f64 = 4.0;
/// Weight of one call in a class's mean latency.
const LATENCY_PART: f64 = 0.05;
/// Milliseconds over which the rate of served calls is averaged.
const RATE_MS: Millis = 3_000.0;
/// Mean latencies after which a refused client may come back: by then about half of what filled the
/// gate is done, and its answer can still be in time.
const COME_BACK: f64 = 0.5;
/// Milliseconds that stand in for the mean latency while none is known.
const COME_BACK_BLIND: Millis = 200.0;
/// Milliseconds before the first new try after a failed call to discovery, and at the most, before
/// jitter: news counts as told 6 s after it could have been had, and the next call may wait 2 s for
/// its turn.
const ASK_AGAIN_MS: Millis = 300.0;
const ASK_MOST_MS: Millis = 2_000.0;
/// The only timer token in use: ask discovery again.
const ASK: u64 = 1;

/// The stress above which a node is cut: as calls come late or fail, and as they take longer than
/// usual.
#[derive(Clone, Copy)]
struct Limit {
    late: f64,
    crowded: f64,
    least: f64,
}

/// A FlowSlot node with its learned count (thread grade).
#[derive(Clone, Default, Serialize, Deserialize)]
struct Node {
    count: f64,
    first: f64,
    /// What a copy has out is not what it hands on.
    #[serde(skip)]
    in_flight: f64,
    /// In flight from copies that serve as one with this one for a while.
    #[serde(skip)]
    elsewhere: f64,
    used: f64,
    stress: f64,
    at: Millis,
    cut_at: Millis,
}

impl Node {
    fn new(count: f64) -> Node {
        let (at, cut_at) = (f64::MIN, f64::MIN);
        Node {
            count,
            first: count,
            in_flight: 0.0,
            elsewhere: 0.0,
            used: 0.0,
            stress: 0.0,
            at,
            cut_at,
        }
    }

    /// The check of FlowSlot; a part of a call in the count admits one more by that chance.
    fn admits(&self, chance: f64) -> bool {
        self.in_flight + self.elsewhere + 1.0 <= self.count + chance
    }

    /// Learns from one finished call, itself still counted as in flight; true if the count was cut.
    fn learn(&mut self, now: Millis, call: Sample, limit: Limit) -> bool {
        // What is in use is a recent peak: a copy with few calls has next to none out at most
        // moments, and a cut from such a moment would shut its gate, or keep an open one
        // from rising.
        let passed = (now - self.at).max(0.0);
        self.used = (self.used * (-passed / USED_MS).exp()).max(self.in_flight + self.elsewhere);
        self.at = now;
        // A call sent before the last cut tells of a load that is already answered: one cause, one
        // cut.
        if call.sent_at < self.cut_at {
            return false;
        }
        self.stress += (passed / STRESS_MS).clamp(0.02, SAMPLE_MOST) * (call.stress - self.stress);
        let most = limit.late.min(limit.crowded);
        if self.stress > most {
            let floor = if self.stress > limit.late {
                0.0
            } else {
                CROWDED_LEAST * self.first
            };
            self.cut_at = now;
            self.stress = most;
            self.count = self.count.min(
                (self.count.min(self.used) * CUT)
                    .max(floor)
                    .max(limit.least),
            );
            return true;
        }
        if call.stress < most && self.used >= (IN_USE * self.count).min(self.count - 1.0) {
            // Until the first cut the count rises at least twice as fast: nothing is known against
            // it yet.
            let fresh = if self.cut_at == f64::MIN {
                (self.first / FRESH).clamp(2.0, 10.0)
            } else {
                1.0
            };
            let step = fresh * RISE.max(1.0 / self.count.max(1.0));
            self.count += step * (1.0 - self.stress / most);
        }
        false
    }
}

/// The tier's usual stress: the lowest that its smoothed stress has been, rising slowly.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Usual {
    mean: Mean,
    least: Floor,
}

impl Usual {
    /// Takes a sample; gives the stress above which the tier holds more calls than it serves sooner
    /// for.
    fn crowded(&mut self, now: Millis, sample: f64) -> f64 {
        self.mean.add(sample, USUAL_SAMPLES);
        if self.mean.count() < USUAL_SAMPLES / 4.0 {
            return f64::MAX;
        }
        self.least.follow(now, self.mean.value(), CALM_DRIFT) * CROWDED
    }
}

/// How well an endpoint serves: falls on failures, comes back on successes and, untried, with time.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct Health {
    illness: f64,
    strikes: i32,
    judged_at: Millis,
    /// Failures in a row that speak against the endpoint.
    row: i32,
    out: Option<Out>,
}

/// An endpoint is out of the draw, and is tried by single calls.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct Out {
    since: Millis,
    /// Nothing that failed there ever ran.
    unsent: bool,
    wait: Millis,
    due: Millis,
}

impl Health {
    fn read(&self, now: Millis) -> f64 {
        let tau = HEAL_MS * 2f64.powi((self.strikes - 1).clamp(0, 3));
        1.0 - self.illness * (-(now - self.judged_at) / tau).exp()
    }

    fn judge(&mut self, now: Millis, good: bool) {
        let health = self.read(now);
        self.strikes = if good { 0 } else { self.strikes + 1 };
        self.illness = if good {
            0.7 * (1.0 - health)
        } else {
            1.0 - (0.3 * health).max(HEALTH_FLOOR)
        };
        self.judged_at = now;
    }

    /// Counts failures in a row, and puts out of the draw what has too many; true if that has
    /// changed.
    fn accrue(&mut self, fate: Fate, strikes: i32, (most, random): (Millis, f64)) -> bool {
        let wait = |wait: Millis| wait * (0.5 + random);
        match (&mut self.out, fate) {
            (out, Fate::Good) => {
                self.row = 0;
                return out.take().is_some();
            }
            // What was sent before it was out says nothing new.
            (Some(out), Fate::Bad { sent_at, .. }) if sent_at < out.since => {}
            (Some(out), Fate::Bad { now, unsent, .. }) => {
                out.unsent = unsent;
                out.wait = (2.0 * out.wait).min(most);
                out.due = now + wait(out.wait);
            }
            (None, Fate::Bad { now, unsent, .. }) => {
                self.row += 1;
                if self.row >= strikes {
                    self.out = Some(Out {
                        since: now,
                        unsent,
                        wait: TRIAL_MS,
                        due: now + wait(TRIAL_MS),
                    });
                    return true;
                }
            }
        }
        false
    }
}

/// What a call that has ended says of its endpoint.
#[derive(Clone, Copy)]
enum Fate {
    Good,
    Bad {
        now: Millis,
        sent_at: Millis,
        unsent: bool,
    },
}

/// What was learned of an endpoint since it started.
#[derive(Clone, Serialize, Deserialize)]
struct Seen {
    faults: Part,
    health: Health,
    by_class: Vec<Health>,
    slowness: f64,
    samples: f64,
    /// When it was first served by again after its connections had failed, where the list does not
    /// tell of a start.
    revived_at: Option<Millis>,
}

struct Endpoint {
    info: EndpointInfo,
    seen: Seen,
    in_flight: f64,
    oldest_sent: Millis,
    answered_at: Millis,
    cold_tokens: f64,
    cold_at: Millis,
    /// It was said to be silent.
    hushed: bool,
    /// Calls that failed sooner than they could have been served: they count as load for as long
    /// as that.
    quick: Sum,
}

impl Endpoint {
    fn new(info: EndpointInfo, tokens: f64, classes: usize, now: Millis) -> Endpoint {
        let (faults, health) = Default::default();
        let by_class = vec![health; classes];
        Endpoint {
            info,
            seen: Seen {
                faults,
                health,
                by_class,
                slowness: 1.0,
                samples: 0.0,
                revived_at: None,
            },
            in_flight: 0.0,
            oldest_sent: f64::MAX,
            answered_at: f64::MIN,
            cold_tokens: tokens,
            cold_at: now,
            hushed: false,
            quick: Sum::default(),
        }
    }

    fn rating(&self) -> f64 {
        let told = Some(self.info.weight)
            .filter(|r| *r > 0.0 && r.is_finite())
            .unwrap_or(1.0);
        told.clamp(1.0 / RATING_MOST, RATING_MOST)
    }

    /// The part of its capacity it has for certain by now.
    fn warmth(&self, now: Millis, rules: &Rules) -> f64 {
        let started = [self.info.started_at, self.seen.revived_at]
            .into_iter()
            .flatten()
            .reduce(f64::max);
        match started {
            Some(start) if now - start < rules.slow_start_ms => {
                let part = ((now - start) / rules.slow_start_ms).max(0.0);
                rules.slow_start_from + (1.0 - rules.slow_start_from) * part
            }
            _ => 1.0,
        }
    }

    /// Guards against an endpoint that fails one class alone: the successes of the others must not
    /// heal that.
    fn health_now(&self, now: Millis, class: usize) -> f64 {
        self.seen
            .health
            .read(now)
            .min(self.seen.by_class[class].read(now))
    }

    /// Whether it is out of the draw for a class; of two reasons, the one with the later trial.
    fn out(&self, class: usize) -> Option<Out> {
        let outs = [self.seen.health.out, self.seen.by_class[class].out];
        outs.into_iter()
            .flatten()
            .max_by(|a, b| a.due.total_cmp(&b.due))
    }

    /// Whether it has answered nothing since its oldest call went out, this long ago or more, while
    /// others did answer.
    fn is_silent(&self, now: Millis, hush: Millis, others: Millis) -> bool {
        now - self.oldest_sent > hush
            && self.answered_at < self.oldest_sent
            && others > self.oldest_sent
    }

    /// Calls that it has, and those that it had and failed too soon.
    fn load(&self, now: Millis, usual: Millis) -> f64 {
        self.in_flight
            + if usual > 0.0 {
                self.quick.read(now, usual)
            } else {
                0.0
            }
    }
}

/// How an attempt ended, and how long it took.
type End = (Outcome, Millis);

/// What one finished call teaches a node.
#[derive(Clone, Copy)]
struct Sample {
    sent_at: Millis,
    stress: f64,
}

#[derive(Clone, Copy)]
struct Attempt {
    to: EndpointInfo,
    sent_at: Millis,
}

struct Held {
    class: usize,
    tenant: usize,
    borrowed: bool,
    give_up_at: Millis,
    attempts: u32,
    out: Option<Attempt>,
    /// Given up early, with a repeat kept back for it.
    early: bool,
    tried: Vec<EndpointId>,
    may_have_run: Option<(EndpointInfo, Millis)>,
    cell: Option<u16>,
    over: bool,
}

/// All that a copy has learned, but for what only its own open requests tell.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Known {
    tier: Node,
    borrow: Node,
    classes: Vec<Node>,
    /// Of each class.
    latencies: Vec<Spread>,
    shares: Vec<Sum>,
    asked: Vec<Sum>,
    passed: Vec<Sum>,
    throughput: Sum,
    calm: Floor,
    usual: Usual,
    retries: f64,
    unsent: f64,
    subset_room: f64,
    /// Of all ready endpoints, as last looked at: the counts hold for so much.
    room: f64,
    faults: Part,
}

/// One balancer copy: all that it knows, and nothing shared.
pub struct Balancer {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    /// For the times of trials: a stream of its own, so that the draws do not hang on what has
    /// failed.
    jitter: Xoshiro256PlusPlus,
    now: Millis,
    endpoints: Vec<Endpoint>,
    index: FxHashMap<EndpointId, usize>,
    held: FxHashMap<RequestId, Held>,
    known: Known,
    yielding: Vec<bool>,
    yielding_part: f64,
    ranked_at: Millis,
    trials: f64,
    tried_at: Millis,
    trials_once: f64,
    answered_at: Millis,
    /// How many copies serve as one with this one.
    beside: f64,
    room_at: Millis,
    finds: bool,
    asks_failed: i32,
    logged_at: Millis,
    order: Vec<usize>,
    weights: Vec<(usize, f64)>,
    sick: Vec<(usize, f64)>,
    choices: usize,
}

impl Balancer {
    /// A balancer that knows its settings and nothing else. Equal seeds and events give equal
    /// actions.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let classes = settings.classes.len();
        let tenants = settings.tenants.len();
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let known = Known {
            tier: Node::new(START_COUNT),
            borrow: Node::new(START_BORROW),
            classes: vec![Node::new(START_COUNT); classes],
            latencies: vec![Spread::default(); classes],
            shares: vec![Sum::default(); tenants],
            asked: vec![Sum::default(); classes],
            passed: vec![Sum::default(); classes],
            retries: RETRY_SAVED,
            unsent: RETRY_SAVED,
            ..Known::default()
        };
        Balancer {
            jitter: Xoshiro256PlusPlus::seed_from_u64(rng.next_u64()),
            rng,
            now: 0.0,
            endpoints: Vec::new(),
            index: FxHashMap::default(),
            held: FxHashMap::default(),
            known,
            yielding: vec![false; classes],
            yielding_part: 0.0,
            ranked_at: f64::MIN,
            trials: TRIAL_SAVED,
            tried_at: f64::MIN,
            trials_once: 0.0,
            answered_at: f64::MIN,
            beside: 0.0,
            room_at: f64::MIN,
            finds: false,
            asks_failed: 0,
            logged_at: f64::MIN,
            order: Vec::new(),
            weights: Vec::new(),
            sick: Vec::new(),
            choices: 0,
            settings,
        }
    }

    /// Takes one event at clock time `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        // A clock that stands still or is not a number must not run state backwards.
        self.now = if now > self.now { now } else { self.now };
        if self.now - self.room_at >= ROOM_MS {
            self.follow_room();
        }
        match event {
            Event::EndpointsChanged {
                kind, endpoints, ..
            } => {
                self.on_list(kind, endpoints, actions);
                self.follow_room();
            }
            Event::Request {
                id,
                class,
                tenant,
                cell,
                ttl_ms,
                ..
            } => {
                self.on_request(id, (class.into(), tenant.into(), cell), ttl_ms, actions);
            }
            Event::Outcome {
                request,
                outcome,
                latency_ms,
                ended,
                ..
            } => {
                self.on_outcome(request, (outcome, latency_ms), ended, actions);
            }
            Event::ClientGone { request } => self.on_client_gone(request, actions),
            Event::Timer { token: ASK } => actions.push(Action::Subscribe { on: true }),
            _ => {}
        }
    }

    // ---- discovery ----

    fn on_list(&mut self, kind: ListKind, list: &[EndpointInfo], actions: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => return self.ask_again(actions),
            ListKind::Cached if self.settings.must_subscribe => {
                actions.push(Action::Subscribe { on: true })
            }
            ListKind::Cached => {}
            ListKind::Delta | ListKind::Full => self.asks_failed = 0,
        }
        if kind != ListKind::Delta {
            for endpoint in &mut self.endpoints {
                endpoint.info.state = EndpointState::Gone;
            }
        }
        for info in list {
            let before = self.index.get(&info.id).map(|i| self.endpoints[*i].info);
            self.learn_backend(*info);
            let restarted = before.is_none_or(|before| before.started_at != info.started_at);
            let drains = info.state == EndpointState::Draining
                && before.is_some_and(|before| before.state == EndpointState::Ready);
            if drains {
                actions.push(said(info.id, EndpointStatus::Draining, None, None));
            } else if restarted
                && self.endpoints[self.index[&info.id]].warmth(self.now, &self.settings.rules) < 1.0
            {
                actions.push(said(info.id, EndpointStatus::WarmingUp, None, None));
            }
        }
        self.endpoints
            .retain(|b| b.info.state != EndpointState::Gone || b.in_flight > 0.0);
        self.index = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(i, b)| (b.info.id, i))
            .collect();
        self.order_backends();
        // Only at the top: a call refused further down wastes the work already done for it.
        if self.settings.stage == 0
            && self.known.tier.count == START_COUNT
            && !self.endpoints.is_empty()
        {
            if self.settings.has_long_requests {
                let part = self.endpoints.len() as f64 / f64::from(self.settings.fleet_size);
                let start = (START_EACH * part).max(START_SPARSE * part + START_LEAST);
                self.known.tier = Node::new(start);
                self.known
                    .classes
                    .iter_mut()
                    .for_each(|node| *node = Node::new(start));
            }
            // A window that began empty would let in a whole window of a tenant's traffic at once.
            let shares = self.known.shares.iter_mut().zip(&self.settings.tenants);
            for (share, tenant) in shares.filter(|(share, _)| share.is_new()) {
                let part = tenant.quota_per_s / f64::from(self.settings.fleet_size);
                *share = Sum::of(part * SHARE_MS / 1000.0, self.now);
            }
        }
    }

    /// Guards against an overload that only late answers would tell of: counts follow the room that
    /// the listed endpoints have, at once as some drain, and as their successors get warm.
    fn follow_room(&mut self) {
        self.room_at = self.now;
        let ready = self
            .endpoints
            .iter()
            .filter(|b| b.info.state == EndpointState::Ready);
        let room: f64 = ready
            .map(|b| b.rating() * b.warmth(self.now, &self.settings.rules))
            .sum();
        let before = std::mem::replace(&mut self.known.room, room);
        if before > 0.0 && room > 0.0 && before != room {
            let by = (room / before).clamp(1.0 / ROOM_MOST, ROOM_MOST);
            let nodes = [&mut self.known.tier, &mut self.known.borrow]
                .into_iter()
                .chain(&mut self.known.classes);
            nodes.for_each(|node| node.count = (node.count * by).max(LEAST_COUNT));
        }
    }

    /// The order in which this copy takes endpoints into its subset: own zone first, each zone a
    /// ring of hashed ids that copies enter at places set apart by their rank, so that all
    /// endpoints are covered alike.
    fn order_backends(&mut self) {
        let entry = f64::from(self.settings.rank) / f64::from(self.settings.fleet_size) % 1.0;
        let zone = self.settings.zone;
        let scatter = |id: EndpointId| {
            u64::from(id)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                .rotate_left(32)
        };
        let (mut own, mut other): (Vec<usize>, Vec<usize>) =
            (0..self.endpoints.len()).partition(|&i| self.endpoints[i].info.zone == zone);
        for ring in [&mut own, &mut other] {
            ring.sort_by_key(|&i| scatter(self.endpoints[i].info.id));
            let start = ((entry * ring.len() as f64) as usize).min(ring.len());
            ring.rotate_left(start);
        }
        own.append(&mut other);
        self.order = own;
    }

    fn learn_backend(&mut self, info: EndpointInfo) {
        // A random first token, so that many copies told at once do not all try a cold endpoint at
        // once.
        let (tokens, classes) = (self.random(), self.known.classes.len());
        match self.index.get(&info.id) {
            Some(&i) if self.endpoints[i].info.started_at == info.started_at => {
                self.endpoints[i].info = info
            }
            Some(&i) => {
                let in_flight = self.endpoints[i].in_flight;
                self.endpoints[i] = Endpoint {
                    in_flight,
                    ..Endpoint::new(info, tokens, classes, self.now)
                };
            }
            None => {
                self.index.insert(info.id, self.endpoints.len());
                self.endpoints
                    .push(Endpoint::new(info, tokens, classes, self.now));
            }
        }
    }

    /// Backs off with jitter, yet asks well inside the time after which it would count as told.
    fn ask_again(&mut self, actions: &mut Vec<Action>) {
        let most = (self.settings.rules.poll_within_ms / 4.0).min(ASK_MOST_MS);
        let wait = (ASK_AGAIN_MS * 2f64.powi(self.asks_failed.min(5))).min(most);
        self.asks_failed += 1;
        let after_ms = wait * (0.5 + self.random());
        actions.push(Action::SetTimer {
            after_ms,
            token: ASK,
        });
        self.log(actions, || {
            format!("discovery failing: asking again in {after_ms:.0} ms")
        });
    }

    // ---- requests ----

    fn on_request(
        &mut self,
        id: RequestId,
        (class, tenant, cell): (usize, usize, Option<u16>),
        ttl: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.known.retries = (self.known.retries + self.settings.retry_ratio).min(RETRY_SAVED);
        self.known.unsent =
            (self.known.unsent + UNSENT_EARNED).min(RETRY_SAVED + self.known.tier.used);
        self.trials = (self.trials + TRIAL_EARNED).min(TRIAL_SAVED);
        self.trials_once = (self.trials_once + TRIAL_ONCE_EARNED).min(1.0);
        if class >= self.settings.classes.len() {
            return actions.push(Action::Reject {
                request: id,
                retry_after_ms: 0.0,
                reason: UnservedReason::UnknownClass,
            });
        }
        self.known.asked[class].add(self.now, ASKED_MS);
        let held = Held {
            class,
            tenant,
            borrowed: self.over_share(tenant),
            give_up_at: self.now + ttl.max(0.0),
            attempts: 0,
            out: None,
            early: false,
            tried: Vec::new(),
            may_have_run: None,
            cell,
            over: false,
        };
        self.try_send(id, held, actions);
    }

    /// Whether a call goes beyond its tenant's part, by the calls that passed (QPS grade): one
    /// refused at the gate uses up no share, or its client's next try would count as borrowed.
    /// The top tier decides: below it the work of the tiers above is already sunk.
    fn over_share(&self, tenant: usize) -> bool {
        let (Some(tenant), Some(share)) = (
            self.settings.tenants.get(tenant),
            self.known.shares.get(tenant),
        ) else {
            return false;
        };
        if self.settings.stage > 0 {
            return false;
        }
        let part = tenant.quota_per_s / f64::from(self.settings.fleet_size) * SHARE_SLACK;
        share.read(self.now, SHARE_MS) + 1.0 > (part * SHARE_MS / 1000.0).max(1.0)
    }

    /// The node check, then the pick. Without room or endpoint the request is refused, or failed
    /// where a refusal could lie.
    fn try_send(&mut self, id: RequestId, mut held: Held, actions: &mut Vec<Action>) {
        let left = held.give_up_at - self.now;
        let allowed =
            held.attempts < self.settings.allowed.max_attempts && left > self.settings.tick_ms;
        let admitted = allowed && self.admits(&held);
        let picked = if admitted {
            self.pick(&held, actions)
        } else {
            None
        };
        let Some((i, trial)) = picked else {
            let why = match (allowed, admitted, held.borrowed) {
                (false, _, _) => UnservedReason::NoTimeOrAttempts,
                (_, true, _) => UnservedReason::NoEndpoint,
                (_, _, true) => UnservedReason::OverQuota,
                (_, _, false) => UnservedReason::OverLimit,
            };
            return self.give_up(id, &held, why, actions);
        };
        let early = self.patience(&held, left);
        held.early = early.is_some() && !self.settings.has_long_requests;
        self.known.retries -= f64::from(u8::from(held.early));
        let timeout_ms = early.unwrap_or(left);
        // A trial shows within the time of a call whether there is a connection to be had.
        let connect_timeout_ms = if trial {
            self.usual_most(held.class)
        } else {
            0.0
        };
        let endpoint = &mut self.endpoints[i];
        endpoint.in_flight += 1.0;
        endpoint.oldest_sent = endpoint.oldest_sent.min(self.now);
        endpoint.cold_tokens -= 1.0;
        let to = endpoint.info.id;
        held.attempts += 1;
        held.out = Some(Attempt {
            to: endpoint.info,
            sent_at: self.now,
        });
        held.tried.push(to);
        self.known.tier.in_flight += 1.0;
        self.known.classes[held.class].in_flight += 1.0;
        if held.attempts == 1 {
            self.known.passed[held.class].add(self.now, ASKED_MS);
        }
        self.known.borrow.in_flight += f64::from(u8::from(held.borrowed));
        if let Some(share) = self
            .known
            .shares
            .get_mut(held.tenant)
            .filter(|_| !held.borrowed && held.attempts == 1)
        {
            share.add(self.now, SHARE_MS);
        }
        actions.push(Action::Send {
            request: id,
            endpoint: to,
            timeout_ms,
            connect_timeout_ms,
        });
        self.held.insert(id, held);
    }

    fn admits(&mut self, held: &Held) -> bool {
        let u = self.random();
        let borrows = !held.borrowed || self.known.borrow.admits(u);
        self.known.tier.admits(u) && self.known.classes[held.class].admits(u) && borrows
    }

    /// The final answer for a request with no attempt out.
    fn give_up(
        &mut self,
        id: RequestId,
        held: &Held,
        why: UnservedReason,
        actions: &mut Vec<Action>,
    ) {
        let rules = &self.settings.classes[held.class];
        let harmless = match (rules.effect, held.may_have_run) {
            (EffectClass::Repeatable, _) | (_, None) => true,
            (EffectClass::Keyed, Some((_, sent))) => {
                rules.scope == DeduplicationScope::All && self.now - sent < rules.window_ms
            }
            (EffectClass::Once, Some(_)) => false,
        };
        actions.push(match harmless {
            true => Action::Reject {
                request: id,
                retry_after_ms: self.come_back(held.class),
                reason: why,
            },
            false => Action::Fail {
                request: id,
                reason: why,
            },
        });
    }

    /// When a refused client may come back, spread by chance so that those refused together do not
    /// return together. Only at the top: further down nobody waits.
    fn come_back(&mut self, class: usize) -> Millis {
        let allowed = &self.settings.allowed;
        let most = allowed.max_retry_after_ms;
        if self.settings.stage > 0 || !allowed.retry_after {
            return 0.0;
        }
        let mean = Some(self.known.latencies[class].mean)
            .filter(|mean| *mean > 0.0)
            .unwrap_or(COME_BACK_BLIND);
        (COME_BACK * mean * (0.5 + self.random())).min(most)
    }

    /// How long to wait for one attempt before another is tried; `None` for all the time left. Only
    /// where another try is in hand, there is another endpoint for it, and it can be expected to
    /// be over in time.
    fn patience(&self, held: &Held, left: Millis) -> Option<Millis> {
        let latency = &self.known.latencies[held.class];
        let usual = self.usual_most(held.class);
        let once = self.settings.classes[held.class].effect == EffectClass::Once;
        // Where calls are long, giving up one without a repeat sheds load in time, and so few come
        // that none is sure.
        let in_hand =
            self.settings.has_long_requests || (self.known.retries >= 1.0 && self.choices > 1);
        let fits = latency.mean > 0.0 && left >= usual + 2.0 * latency.mean;
        (!once && held.attempts == 0 && in_hand && fits).then_some(usual)
    }

    /// A time that a call of a class seldom takes.
    fn usual_most(&self, class: usize) -> Millis {
        let latency = &self.known.latencies[class];
        let least = if self.settings.has_long_requests {
            0.0
        } else {
            PATIENCE_LEAST
        };
        (latency.mean + PATIENCE * latency.dev).max(least)
    }

    fn on_client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.over = true;
        if self.settings.allowed.cancel && held.out.is_some() {
            actions.push(Action::Cancel {
                request: id,
                attempt: (held.attempts - 1) as u8,
            });
        }
    }

    fn on_outcome(&mut self, id: RequestId, end: End, ended: bool, actions: &mut Vec<Action>) {
        let Some(mut held) = self.held.remove(&id) else {
            return;
        };
        let Some(attempt) = held.out.take() else {
            return;
        };
        let (outcome, _) = end;
        if !outcome.never_ran() && held.may_have_run.is_none() {
            // As it was known at the send: an endpoint that has left the list since must not make
            // this forgotten.
            held.may_have_run = Some((attempt.to, attempt.sent_at));
        }
        if std::mem::take(&mut held.early) {
            self.known.retries = (self.known.retries + 1.0).min(RETRY_SAVED);
        }
        let found = self.learn(&held, attempt, end, actions);
        self.known.tier.in_flight -= 1.0;
        self.known.classes[held.class].in_flight -= 1.0;
        self.known.borrow.in_flight -= f64::from(u8::from(held.borrowed));
        if ended || held.over {
            return;
        }
        // One that was not sent because its endpoint left the list meanwhile costs a tier nothing;
        // and the call that found out an endpoint was of use to all that follow, as long as
        // the tier serves some.
        let left = |i: &usize| self.endpoints[*i].info.state != EndpointState::Ready;
        let unsent = matches!(outcome, Outcome::ConnectFailed | Outcome::NoCapacity);
        let found = found && std::mem::take(&mut self.finds);
        let free = found || unsent && self.index.get(&attempt.to.id).is_none_or(left);
        let permitted = self.may_repeat(&held, outcome);
        let purse = if unsent {
            &mut self.known.unsent
        } else {
            &mut self.known.retries
        };
        if permitted && (free || *purse >= 1.0) {
            *purse -= f64::from(u8::from(!free));
            self.try_send(id, held, actions);
        } else {
            let why = if permitted {
                UnservedReason::RetryBudgetSpent
            } else {
                UnservedReason::NotRetryable
            };
            self.give_up(id, &held, why, actions);
        }
    }

    fn may_repeat(&self, held: &Held, outcome: Outcome) -> bool {
        let rules = &self.settings.classes[held.class];
        let permitted = match (rules.effect, held.may_have_run) {
            (_, None) | (EffectClass::Repeatable, _) => true,
            (EffectClass::Keyed, Some((_, sent))) => self.now - sent < rules.window_ms,
            (EffectClass::Once, Some(_)) => false,
        };
        permitted && outcome != Outcome::NotSent && outcome != Outcome::Cancelled
    }

    // ---- learning ----

    /// Learns from an attempt that has ended; true if it has put its endpoint out of the draw.
    fn learn(&mut self, held: &Held, attempt: Attempt, end: End, out: &mut Vec<Action>) -> bool {
        let (outcome, took) = end;
        let aim = self.settings.classes[held.class].latency_objective_ms;
        let took = if took.is_finite() {
            took.max(0.0)
        } else {
            self.now - attempt.sent_at
        };
        let ok = outcome == Outcome::Ok;
        let expected = self.known.latencies[held.class].mean;
        if ok {
            // By the room of then: a tier that shrinks would else seem to have served all with what
            // is left.
            self.known
                .throughput
                .add_of(self.now, RATE_MS, self.known.subset_room.recip());
            self.finds = true;
            self.known.latencies[held.class].add(took, LATENCY_PART);
        }
        let trials = (self.trial_most(), self.jitter.random());
        let (mut sound, mut silent, mut found) = (true, false, false);
        if let Some(&i) = self.index.get(&attempt.to.id) {
            let now = self.now;
            let b = &mut self.endpoints[i];
            b.in_flight = (b.in_flight - 1.0).max(0.0);
            b.oldest_sent = if b.in_flight > 0.0 {
                b.oldest_sent.max(attempt.sent_at)
            } else {
                f64::MAX
            };
            sound = b.health_now(now, held.class) > 0.5;
            if !outcome.is_silent() {
                if !ok && took < expected {
                    b.quick.add(now, expected);
                }
                // It answers others: the call was a long one, or the endpoint is slow, and neither
                // is out of order.
                let timed_out = outcome == Outcome::Timeout;
                let slow = timed_out && b.answered_at > attempt.sent_at;
                silent = timed_out && !slow && self.answered_at > attempt.sent_at;
                let unsent = outcome == Outcome::ConnectFailed;
                // Of more than one class, or it is that class's matter.
                let strikes = if unsent || silent { 1 } else { STRIKES + 1 };
                let fate = match ok {
                    true => Some(Fate::Good),
                    false if slow => None,
                    false => Some(Fate::Bad {
                        now,
                        sent_at: attempt.sent_at,
                        unsent,
                    }),
                };
                let was_unsent = b.seen.health.out.is_some_and(|out| out.unsent);
                if let Some(fate) = fate {
                    let changed = b.seen.health.accrue(fate, strikes, trials);
                    found = changed && !ok;
                    let standing = if ok {
                        EndpointStatus::Healthy
                    } else {
                        EndpointStatus::Ejected
                    };
                    let why = Some(outcome).filter(|_| !ok);
                    if changed || (ok && std::mem::take(&mut b.hushed)) {
                        out.push(said(b.info.id, standing, None, why));
                    }
                    if changed && ok && was_unsent {
                        b.seen.revived_at = Some(now);
                        b.cold_at = now;
                        b.cold_tokens = 0.0;
                        out.push(said(b.info.id, EndpointStatus::WarmingUp, None, None));
                    }
                    if !unsent {
                        let strikes = strikes.min(STRIKES);
                        let changed = b.seen.by_class[held.class].accrue(fate, strikes, trials);
                        found |= changed && !ok;
                        // That of all its calls goes before that of one class.
                        if changed && (ok || b.seen.health.out.is_none()) {
                            out.push(said(b.info.id, standing, Some(held.class), why));
                        }
                    }
                }
                b.seen.faults.add(now, FAULTS_MS, FAULTS_CALLS, !ok);
                self.known.faults.add(now, FAULTS_MS, FAULTS_CALLS, !ok);
                b.seen.health.judge(now, ok);
                b.seen.by_class[held.class].judge(now, ok);
                if outcome != Outcome::Timeout && outcome != Outcome::ConnectFailed {
                    b.answered_at = now;
                    self.answered_at = now;
                }
            }
            if ok && expected > 0.0 {
                b.seen.samples = (b.seen.samples + 1.0).min(15.0);
                b.seen.slowness +=
                    ((took / expected).min(10.0) - b.seen.slowness) / (5.0 + b.seen.samples);
            }
        }
        if outcome.is_silent() {
            // A client that left: late for it. More would shut the gate where an idle tier is too
            // slow.
            if held.over && self.settings.stage == 0 {
                self.learn_counts(
                    Sample {
                        sent_at: attempt.sent_at,
                        stress: 1.0,
                    },
                    out,
                );
            }
            return false;
        }
        // The failures of an endpoint already known as bad are its own and say nothing of the tier;
        // nor does a connection that did not come about, as while a zone is cut off.
        if ok || (sound && !silent && outcome != Outcome::ConnectFailed) {
            let stress = if ok {
                took / aim
            } else {
                FAILED_STRESS.max(took / aim)
            };
            self.learn_counts(
                Sample {
                    sent_at: attempt.sent_at,
                    stress,
                },
                out,
            );
        }
        found
    }

    fn learn_counts(&mut self, sample: Sample, actions: &mut Vec<Action>) {
        let top = self.settings.stage == 0;
        if top {
            self.rank_classes();
        }
        let crowded = if self.settings.has_long_requests {
            self.known.usual.crowded(self.now, sample.stress)
        } else {
            f64::MAX
        };
        // The more of the traffic yields, and can be cut first, the longer the rest may go on.
        let longer = (SENIOR_STRESS - TOP_STRESS) * self.yielding_part;
        let (late, crowded, longer) = if top {
            (TOP_STRESS, crowded, longer)
        } else {
            (DEEP_STRESS, f64::MAX, 0.0)
        };
        let least = LEAST_COUNT
            .max(LEAST_EACH * self.endpoints.len() as f64 / f64::from(self.settings.fleet_size));
        let junior = Limit {
            late,
            crowded,
            least,
        };
        let most = Limit {
            late: late + longer,
            crowded: crowded + longer,
            least,
        };
        let hard = self.known.tier.learn(self.now, sample, most);
        // All classes learn from every call: a class with a long aim would else never feel the load
        // it makes.
        for (node, yields) in self.known.classes.iter_mut().zip(&self.yielding) {
            node.learn(self.now, sample, if *yields { junior } else { most });
        }
        let calm = self
            .known
            .calm
            .follow(self.now, self.known.tier.stress, CALM_DRIFT);
        let borrow_most = calm + BORROW_STRESS * (1.0 - calm).max(0.0);
        let borrows = Limit {
            late: borrow_most,
            crowded: f64::MAX,
            least: LEAST_COUNT,
        };
        self.known.borrow.learn(self.now, sample, borrows);
        if hard {
            let (tier, usual) = (&self.known.tier, self.known.usual.least.value());
            let (count, stress) = (tier.count, tier.stress);
            let line = || {
                format!(
                    "tier gate cut to {count:.1} in flight, stress {stress:.2}, usual {usual:.2}"
                )
            };
            self.log(actions, line);
        }
    }

    /// Finds the classes that give way to another: to one worth more to the objective, where the
    /// worst- served class counts double. So classes of like worth are kept alike, and one of
    /// far greater worth comes first.
    fn rank_classes(&mut self) {
        if self.now - self.ranked_at < RANK_MS {
            return;
        }
        self.ranked_at = self.now;
        let now = self.now;
        let asked: Vec<f64> = self
            .known
            .asked
            .iter()
            .map(|f| f.read(now, ASKED_MS).max(1e-9))
            .collect();
        let total: f64 = asked.iter().sum();
        let worth = |c: usize| self.settings.classes[c].priority_weight;
        let mean: f64 = asked
            .iter()
            .enumerate()
            .map(|(c, n)| worth(c) * n / total)
            .sum();
        let got = |c: usize| self.known.passed[c].read(now, ASKED_MS) / asked[c];
        let seen = (0..asked.len()).filter(|c| asked[*c] > 1.0);
        let worst = seen.min_by(|a, b| got(*a).total_cmp(&got(*b)));
        let mix = &self.settings.objective;
        let value = |c: usize| {
            let bonus = if worst == Some(c) {
                mix.worst_class * total / asked[c]
            } else {
                0.0
            };
            (mix.whole + mix.worst_window) * worth(c) / mean.max(1e-9) + bonus
        };
        let best = (0..asked.len()).map(value).fold(0.0, f64::max);
        self.yielding = (0..asked.len()).map(|c| value(c) < best).collect();
        self.yielding_part = asked
            .iter()
            .zip(&self.yielding)
            .filter(|p| *p.1)
            .map(|p| p.0 / total)
            .sum();
    }

    // ---- the pick ----

    /// Draws an endpoint at random by weight from this copy's subset, or one that is out for a trial,
    /// which it tells; `None` if none may be sent to. Where the tier is larger than the subset:
    /// many callers that each draw from all fill every endpoint's connection table.
    fn pick(&mut self, held: &Held, actions: &mut Vec<Action>) -> Option<(usize, bool)> {
        let now = self.now;
        let copies = f64::from(self.settings.fleet_size);
        let cover = SUBSET_COVER * self.endpoints.len() as f64 / copies;
        let want = SUBSET_LEAST
            .max(cover)
            .max(SUBSET_ROOM * self.known.tier.used);
        let rate = self.known.throughput.read(now, RATE_MS) * 1000.0 / RATE_MS;
        let usual = self.known.latencies[held.class].mean;
        let hush = (SILENT * usual).max(SILENT_LEAST);
        let (mut weights, mut sick) = (
            std::mem::take(&mut self.weights),
            std::mem::take(&mut self.sick),
        );
        weights.clear();
        sick.clear();
        let (mut room, mut calls, mut have, mut own_room, mut own_health) =
            (0.0, 0.0, 0.0, 0.0, 0.0);
        let (mut sick_room, mut trial) = (0.0, None);
        for n in 0..self.order.len() {
            let i = self.order[n];
            if !self.may_send(held, &self.endpoints[i].info) || !self.refill_cold(i, rate) {
                continue;
            }
            let b = &self.endpoints[i];
            let (b_room, health) = (
                b.rating() * b.warmth(now, &self.settings.rules),
                b.health_now(now, held.class),
            );
            let out = b.out(held.class);
            let silent = out.is_none() && b.is_silent(now, hush, self.answered_at);
            if silent && !b.hushed {
                actions.push(said(b.info.id, EndpointStatus::Ejected, None, None));
            }
            if out.is_some() || silent {
                sick_room += b_room;
                sick.push((i, b_room * health.max(HEALTH_FLOOR)));
                let sooner =
                    |out: &Out| out.due <= now && trial.is_none_or(|(due, _)| out.due < due);
                if let Some(out) = out.filter(|out| sooner(out) && self.may_try(held, *out)) {
                    trial = Some((out.due, i));
                }
                self.endpoints[i].hushed |= silent;
                continue;
            }
            room += b_room;
            calls += b.load(now, usual);
            if b.info.zone == self.settings.zone {
                own_room += b_room;
                own_health += b_room * health;
            }
            weights.push((i, b_room * health.max(HEALTH_FLOOR)));
            have += health * b_room / b.rating();
            if have >= want {
                break;
            }
        }
        self.choices = weights.len() + usize::from(trial.is_some());
        let doubted =
            sick_room > DOUBT_PART * (sick_room + room) && self.known.tier.stress > DOUBT_STRESS;
        if weights.is_empty() || doubted {
            // None of them is believed to be sick, where all are or the rest can't bear it.
            weights.append(&mut sick);
            self.choices = weights.len();
            let all = |f: &dyn Fn(&Endpoint) -> f64| {
                weights.iter().map(|(i, _)| f(&self.endpoints[*i])).sum()
            };
            room = all(&|b| b.rating() * b.warmth(now, &self.settings.rules));
            calls = all(&|b| b.load(now, usual));
        } else if let Some((_, i)) = trial {
            let most = self.trial_most();
            let b = &mut self.endpoints[i];
            if b.out(held.class).is_some_and(|out| out.wait == TRIAL_MS) {
                actions.push(said(b.info.id, EndpointStatus::Probation, None, None));
            }
            let out = [&mut b.seen.health, &mut b.seen.by_class[held.class]];
            for out in out.into_iter().filter_map(|health| health.out.as_mut()) {
                out.due = now + most;
            }
            self.trials = (self.trials - 1.0).max(0.0);
            if !b.out(held.class).is_some_and(|out| out.unsent) && self.is_once(held) {
                self.trials_once = 0.0;
            }
            self.tried_at = now;
            (self.weights, self.sick) = (weights, sick);
            return Some((i, true));
        }
        if held.may_have_run.is_none() {
            self.known.subset_room = room;
        }
        let mean_load = calls / room.max(1e-9);
        let overdue = OVERDUE * self.known.latencies[held.class].mean;
        // Other zones are for the overflow, and take over as the own one fails.
        let away = 1.0 / (1.0 + CROSSING_DEAR * self.settings.prices.cross_zone);
        // Under stress balance is worth more than the price.
        let away = away.powf(
            (1.0 - self.known.tier.stress / TOP_STRESS).max(0.0) * own_health / own_room.max(1e-9),
        );
        for (i, weight) in &mut weights {
            *weight *= self.weight(*i, held, mean_load, overdue, away);
        }
        let picked = weights
            .choose_weighted(&mut self.rng, |(_, weight)| *weight)
            .ok()
            .map(|(i, _)| *i);
        (self.weights, self.sick) = (weights, sick);
        picked.map(|i| (i, false))
    }

    /// Whether a call may be the trial of an endpoint that is out: one a request, few beside what is
    /// asked, and with a repeat in hand. One that may run and fail there goes only where it can
    /// be repeated.
    fn may_try(&self, held: &Held, out: Out) -> bool {
        let due = self.trials >= 1.0 || self.now - self.tried_at >= TRIAL_FREE_MS;
        let free = self.trials_once >= 1.0 || self.now - self.tried_at >= TRIAL_ONCE_MS;
        let harmless = out.unsent || !self.is_once(held) || free;
        let purse = if out.unsent {
            self.known.unsent
        } else {
            self.known.retries
        };
        held.attempts == 0 && due && harmless && purse >= 1.0
    }

    fn is_once(&self, held: &Held) -> bool {
        self.settings.classes[held.class].effect == EffectClass::Once
    }

    /// The longest wait between two trials.
    fn trial_most(&self) -> Millis {
        TRIAL_MOST.max(1000.0 * f64::from(self.settings.fleet_size) / TRIALS_PER_S)
    }

    /// Only ready endpoints; and once a keyed request may have run, only the group that drops its
    /// repeat.
    fn may_send(&self, held: &Held, to: &EndpointInfo) -> bool {
        let rules = &self.settings.classes[held.class];
        let in_group = match (rules.effect, held.may_have_run) {
            (EffectClass::Keyed, Some((ran, _))) => match rules.scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => ran.zone == to.zone,
                DeduplicationScope::Cell => ran.cell == to.cell,
            },
            _ => held.cell.is_none_or(|cell| cell == to.cell),
        };
        in_group && to.state == EndpointState::Ready
    }

    /// The hard budget of a cold endpoint: this copy's part of what makes it fall. A warm endpoint
    /// served `rate` calls a second for each unit of room; what all copies serve is what it can
    /// do at the least.
    fn refill_cold(&mut self, i: usize, rate: f64) -> bool {
        let rules = &self.settings.rules;
        let b = &mut self.endpoints[i];
        let warmth = b.warmth(self.now, rules);
        if warmth >= 1.0 {
            return true;
        }
        let least = 2.0 / f64::from(self.settings.fleet_size);
        let per_s = COLD_PART / (1.0 + self.beside)
            * rules.overload_multiple
            * (warmth * b.rating() * rate).max(least);
        let passed = (self.now - b.cold_at).clamp(0.0, rules.overload_ms);
        b.cold_at = self.now;
        // What is saved and what comes in together must stay within the part of any one window.
        let most = (per_s * rules.overload_ms / 1000.0 * COLD_SAVED).max(1.0);
        b.cold_tokens = (b.cold_tokens + per_s * passed / 1000.0).min(most);
        b.cold_tokens >= 1.0
    }

    fn weight(&self, i: usize, held: &Held, mean_load: f64, overdue: Millis, away: f64) -> f64 {
        let b = &self.endpoints[i];
        let room = b.rating() * b.warmth(self.now, &self.settings.rules);
        let load = 1.0
            + b.load(self.now, self.known.latencies[held.class].mean) / room / (mean_load + 0.5);
        let mut weight = 1.0 / (b.seen.slowness.max(0.1).powi(3) * load.powi(8));
        let excess = (b.seen.faults.read(self.now, FAULTS_MS)
            - self.known.faults.read(self.now, FAULTS_MS)
            - FAULTS_CHANCE)
            .max(0.0);
        weight *= (1.0 - excess).powi(FAULTS_DEAR);
        // A hang shows first as silence: calls out for long and nothing answered since.
        if overdue > 0.0 && self.now - b.oldest_sent > overdue && b.answered_at < b.oldest_sent {
            weight *= 0.1;
        }
        if b.info.zone != self.settings.zone {
            weight *= away;
        }
        if held.tried.contains(&b.info.id) {
            weight *= 1e-6;
        }
        weight
    }

    fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// Writes a line at most once in five seconds.
    fn log(&mut self, actions: &mut Vec<Action>, line: impl FnOnce() -> String) {
        if self.now - self.logged_at >= 5_000.0 {
            self.logged_at = self.now;
            actions.push(Action::Log(line()));
        }
    }
}

/// A line of how an endpoint stands, for operators.
fn said(
    endpoint: EndpointId,
    standing: EndpointStatus,
    class: Option<usize>,
    why: Option<Outcome>,
) -> Action {
    Action::StatusChanged {
        endpoint,
        status: standing,
        class: class.map(|class| class as u8),
        reason: why,
    }
}
