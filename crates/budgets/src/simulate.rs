//! Fleets of [`Node`]s in simulated time, under seeded faults: messages that are lost, doubled,
//! late and out of order, cuts of any pair in any direction, processes that are killed, sleep and
//! come, and clocks that run at different rates. After every step the invariant is asked of all
//! processes, also of those that sleep.

use crate::core::Message;
use crate::node::{Budget, Limit, Node, WEIGHT};
use crate::{Incarnation, Micros, ProcessId, Rules};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::Duration;

/// How messages fare.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// The part that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub twice: f64,
    /// The time on the way is spread evenly between these.
    pub delay: (Micros, Micros),
    /// A part of the messages is late by up to this much more.
    pub late: (f64, Micros),
}

/// A network on which nothing goes wrong.
pub const CALM: Net = Net {
    loss: 0.0,
    twice: 0.0,
    delay: (100, 1_000),
    late: (0.0, 1),
};

struct Process {
    node: Node,
    /// Its clock beside the true time.
    rate: f64,
    offset: Micros,
    demand: f64,
    owed: f64,
    asleep_until: Micros,
    inbox: Vec<(ProcessId, Message)>,
}

impl Process {
    fn clock(&self, now: Micros) -> Micros {
        self.offset + (now as f64 * self.rate) as Micros
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Look(usize, u64),
    Arrive(usize, usize, Message),
}

/// What happened in the last span that was looked at.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// Requests that came.
    pub offered: u64,
    /// Requests that were let in.
    pub spent: u64,
    /// Messages that were sent.
    pub messages: u64,
}

/// What one process has sent, was sent and has worked since the world began.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages that it sent.
    pub messages_out: u64,
    /// Bytes of the packets that it sent, with the headers of UDP and IPv4.
    pub bytes_out: u64,
    /// Messages that were sent to it, lost ones included.
    pub messages_in: u64,
    /// Bytes of the packets that were sent to it.
    pub bytes_in: u64,
    /// Processor time of its part in the budgets; zero unless [`World::processor_clock`] is set.
    pub worked: Duration,
}

/// Bytes in every packet beside its messages: the protocol's mark, the hash, the sender's address,
/// two tags, and the headers of UDP and IPv4.
const PACKET_HEAD: usize = 4 + 16 + 8 + 2 + 28;
/// Bytes of messages that one packet holds.
const PACKET_ROOM: usize = 1_400 - 30;

fn encoded_size(message: &Message) -> usize {
    postcard::serialize_with_flavor(message, postcard::ser_flavors::Size::default()).unwrap_or(0)
}

/// See the module's text.
pub struct World {
    rules: Rules,
    budgets: Vec<Budget>,
    /// Of the first budget.
    key: u64,
    voters: Vec<ProcessId>,
    processes: Vec<Option<Process>>,
    lives: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    next: u64,
    now: Micros,
    /// How messages fare.
    pub net: Net,
    cuts: HashSet<(usize, usize)>,
    rng: Xoshiro256PlusPlus,
    /// When each request was let in, by the first budget.
    pub spent: Vec<Micros>,
    account: Account,
    traffic: Vec<Traffic>,
    /// Tells the processor time spent so far, where the work of each process is to be measured.
    pub processor_clock: Option<fn() -> Duration>,
    /// The invariant's worst case so far: the most that all believed to hold, as a part of the
    /// whole.
    pub worst: f64,
    /// Whether to ask for the invariant after every step.
    pub audit: bool,
    /// Clocks differ by up to this part.
    pub drift: f64,
}

const LOOK: Micros = 10_000;

impl World {
    /// A world with no processes yet. The first ones that are started vote.
    pub fn new(seed: u64, voters: usize, budgets: Vec<Budget>) -> World {
        World {
            rules: Rules::usual(),
            key: budgets
                .first()
                .map_or(0, |budget| Budget::key(&budget.name)),
            budgets,
            voters: (0..voters as u64).map(ProcessId).collect(),
            processes: Vec::new(),
            lives: 0,
            queue: BinaryHeap::new(),
            next: 0,
            now: 0,
            net: CALM,
            cuts: HashSet::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            spent: Vec::new(),
            account: Account::default(),
            traffic: Vec::new(),
            processor_clock: None,
            worst: 0.0,
            audit: true,
            drift: 0.01,
        }
    }

    /// Starts a process in this place, or again; it remembers nothing.
    pub fn start(&mut self, at: usize) {
        self.lives += 1;
        let rate = 1.0 + self.drift * (self.rng.random::<f64>() - 0.5);
        let offset = self.rng.random_range(0..1_000_000_000_000u64);
        let own = offset + (self.now as f64 * rate) as Micros;
        let wall_ms = self.rng.random_range(0..10_000);
        let mut node = Node::new(
            own,
            ProcessId(at as u64),
            Incarnation(self.lives),
            &self.voters,
            wall_ms,
            self.rules,
        );
        node.set_budgets(own, self.budgets.clone(), &self.voters);
        let process = Process {
            node,
            rate,
            offset,
            demand: 0.0,
            owed: 0.0,
            asleep_until: 0,
            inbox: Vec::new(),
        };
        if self.processes.len() <= at {
            self.processes.resize_with(at + 1, || None);
            self.traffic.resize(at + 1, Traffic::default());
        }
        self.processes[at] = Some(process);
        let first = self.now + self.rng.random_range(0..LOOK);
        self.push(first, Event::Look(at, self.lives));
    }

    /// Kills one; what it was told is lost.
    pub fn kill(&mut self, at: usize) {
        self.processes[at] = None;
    }

    /// One leaves in order.
    pub fn leave(&mut self, at: usize) {
        let mut out = Vec::new();
        if let Some(process) = &mut self.processes[at] {
            process.node.leave(process.clock(self.now), &mut out);
        }
        self.send(at, out);
        self.processes[at] = None;
    }

    /// One stops for a while, as by SIGSTOP: its clock goes on.
    pub fn sleep(&mut self, at: usize, span: Micros) {
        let until = self.now + span;
        if let Some(process) = &mut self.processes[at] {
            process.asleep_until = until;
        }
    }

    /// Cuts one way between two, or mends it.
    pub fn cut(&mut self, from: usize, to: usize, is_cut: bool) {
        if is_cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    /// Mends everything between processes.
    pub fn mend(&mut self) {
        self.cuts.clear();
        self.net = CALM;
    }

    /// What a process is asked for a second.
    pub fn demand(&mut self, at: usize, per_s: f64) {
        if let Some(Some(process)) = self.processes.get_mut(at) {
            process.demand = per_s;
        }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The process that is the grantor now, if there is one that is not asleep.
    pub fn grantor(&mut self) -> Option<usize> {
        let now = self.now;
        (0..self.processes.len()).find(|at| {
            let process = self.processes[*at].as_mut();
            process.is_some_and(|p| {
                p.asleep_until <= now && p.node.leadership_epoch(p.clock(now)).is_some()
            })
        })
    }

    /// What a process believes it may spend of the first budget, a second.
    pub fn share(&self, at: usize) -> f64 {
        let process = self.processes.get(at).and_then(Option::as_ref);
        process.map_or(0.0, |p| p.node.report(p.clock(self.now))[0].share)
    }

    /// What has happened since this was last asked.
    pub fn account(&mut self) -> Account {
        std::mem::take(&mut self.account)
    }

    /// What each process has sent, was sent and has worked since the world began.
    pub fn traffic(&self) -> &[Traffic] {
        &self.traffic
    }

    fn processor_time(&self) -> Duration {
        self.processor_clock.map_or(Duration::ZERO, |clock| clock())
    }

    fn count_work(&mut self, at: usize, begun: Duration) {
        let worked = self.processor_time() - begun;
        self.traffic[at].worked += worked;
    }

    /// Counts what goes out in one step: all messages to one process share packets.
    fn count_traffic(&mut self, from: usize, out: &[(ProcessId, Message)]) {
        let mut sizes: BTreeMap<usize, (u64, usize)> = BTreeMap::new();
        for (to, message) in out {
            let (messages, size) = sizes.entry(to.0 as usize).or_default();
            *messages += 1;
            *size += encoded_size(message);
        }
        for (to, (messages, size)) in sizes {
            let bytes = (size + size.div_ceil(PACKET_ROOM) * PACKET_HEAD) as u64;
            self.traffic[from].messages_out += messages;
            self.traffic[from].bytes_out += bytes;
            if let Some(receiver) = self.traffic.get_mut(to) {
                receiver.messages_in += messages;
                receiver.bytes_in += bytes;
            }
        }
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, event)));
    }

    fn send(&mut self, from: usize, out: Vec<(ProcessId, Message)>) {
        if !out.is_empty() {
            self.count_traffic(from, &out);
        }
        for (to, message) in out {
            let to = to.0 as usize;
            self.account.messages += 1;
            if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.net.loss) {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(self.net.twice));
            for _ in 0..copies {
                let mut at = self.now + self.rng.random_range(self.net.delay.0..self.net.delay.1);
                if self.rng.random_bool(self.net.late.0) {
                    at += self.rng.random_range(0..self.net.late.1);
                }
                self.push(at, Event::Arrive(from, to, message));
            }
        }
    }

    /// Plays until a time.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.step(event);
            if self.audit {
                self.look_at_all();
            }
        }
        self.now = until;
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        let begun = self.processor_time();
        match event {
            Event::Arrive(from, to, message) => {
                let Some(Some(process)) = self.processes.get_mut(to) else {
                    return;
                };
                if now < process.asleep_until {
                    // It waits in the socket.
                    process.inbox.push((ProcessId(from as u64), message));
                    return;
                }
                let mut out = Vec::new();
                process.node.take(
                    process.clock(now),
                    ProcessId(from as u64),
                    message,
                    &mut out,
                );
                self.count_work(to, begun);
                self.send(to, out);
            }
            Event::Look(at, incarnation) => {
                let Some(Some(process)) = self.processes.get_mut(at) else {
                    return;
                };
                if process.asleep_until > now {
                    let later = process.asleep_until;
                    self.push(later, Event::Look(at, incarnation));
                    return;
                }
                let own = process.clock(now);
                let mut out = Vec::new();
                // Callers ask first, as they may after a sleep.
                process.owed +=
                    process.demand * LOOK as f64 / 1e6 * (0.5 + self.rng.random::<f64>());
                while process.owed >= 1.0 {
                    process.owed -= 1.0;
                    self.account.offered += 1;
                    if process.node.spend(own, &[self.key], WEIGHT).is_ok() {
                        self.account.spent += 1;
                        self.spent.push(now);
                    }
                }
                for (from, message) in std::mem::take(&mut process.inbox) {
                    process.node.take(own, from, message, &mut out);
                }
                process.node.tick(own, &mut self.rng, &mut out);
                self.count_work(at, begun);
                self.send(at, out);
                self.push(now + LOOK, Event::Look(at, incarnation));
            }
        }
    }

    fn look_at_all(&mut self) {
        let Limit::Rate { rate, .. } = self.budgets[0].limit else {
            return;
        };
        let all: f64 = (0..self.processes.len()).map(|at| self.share(at)).sum();
        self.worst = self.worst.max(all / rate);
    }

    /// The most that was let in in any window of this length, as a part of what rate and burst
    /// allow in it.
    pub fn densest(&self, window: Micros) -> f64 {
        let Limit::Rate { rate, burst, .. } = self.budgets[0].limit else {
            return 0.0;
        };
        densest(&self.spent, window, rate, burst)
    }
}

/// The most in any window of this length, as a part of what rate and burst allow in it. The times
/// rise.
pub fn densest(times: &[Micros], window: Micros, rate: f64, burst: f64) -> f64 {
    let most = rate * window as f64 / 1e6 + burst;
    let mut from = 0;
    let mut count = 0;
    for (at, time) in times.iter().enumerate() {
        while time - times[from] >= window {
            from += 1;
        }
        count = count.max(at - from + 1);
    }
    count as f64 / most
}

#[cfg(test)]
mod tests;
