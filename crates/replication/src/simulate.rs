//! Copies in simulated time, with messages that are lost, late and out of order, cuts, sleeps and
//! restarts. It counts what is sent, and says how long a thing took to be everywhere.

use crate::gossip::{Gossip, Message};
use crate::kinds;
use crate::store::{Bounds, Delta, Store};
use crate::{Micros, Origin};
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

/// One process.
pub struct Process {
    /// Its copy.
    pub store: Store,
    /// How it makes that equal to others.
    pub gossip: Gossip<usize>,
    /// Its clock beside the true time.
    offset: Micros,
}

/// See the module's text.
pub struct World<R> {
    /// None where one is down.
    pub processes: Vec<Option<Process>>,
    /// The part of the messages that is lost.
    pub loss: f64,
    /// The longest that one is on its way.
    pub delay: Micros,
    /// Bytes and messages that were sent since the start.
    pub sent: (u64, u64),
    /// Bytes that each has sent since the start.
    pub sent_by: Vec<u64>,
    up: Vec<usize>,
    cuts: HashSet<(usize, usize)>,
    queue: BTreeMap<Reverse<(Micros, u64)>, (usize, usize, Message)>,
    now: Micros,
    next: u64,
    lives: u64,
    rng: R,
    /// Bytes that are in every packet beside what it says.
    head: u64,
}

/// How often each process looks what is due.
pub const LOOK: Micros = 10_000;

impl<R: Rng + SeedableRng> World<R> {
    /// So many processes that start now.
    pub fn new(processes: usize, seed: u64) -> World<R> {
        let mut world = World {
            processes: Vec::new(),
            loss: 0.0,
            delay: 2_000,
            sent: (0, 0),
            sent_by: Vec::new(),
            up: Vec::new(),
            cuts: HashSet::new(),
            queue: BTreeMap::new(),
            now: 0,
            next: 0,
            lives: 0,
            rng: R::seed_from_u64(seed),
            head: 70,
        };
        (0..processes).for_each(|at| world.start(at));
        world
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Starts one, which remembers nothing.
    pub fn start(&mut self, at: usize) {
        self.lives += 1;
        let offset = self.rng.random_range(0..1_000_000_000u64);
        let store = Store::new(Origin(self.lives * 1_000 + at as u64), Bounds::USUAL);
        let process = Process {
            store,
            gossip: Gossip::new(self.now + offset, at),
            offset,
        };
        if self.processes.len() <= at {
            self.processes.resize_with(at + 1, || None);
            self.sent_by.resize(at + 1, 0);
        }
        self.processes[at] = Some(process);
        self.look_who_is_up();
    }

    /// Kills one.
    pub fn kill(&mut self, at: usize) {
        self.processes[at] = None;
        self.look_who_is_up();
    }

    /// All are taken for up but those that are down: membership is the fleet's, and may lag.
    fn look_who_is_up(&mut self) {
        self.up = (0..self.processes.len())
            .filter(|n| self.processes[*n].is_some())
            .collect();
    }

    /// Cuts both ways between two, or mends it.
    pub fn cut(&mut self, a: usize, b: usize, is_cut: bool) {
        for way in [(a, b), (b, a)] {
            if is_cut {
                self.cuts.insert(way);
            } else {
                self.cuts.remove(&way);
            }
        }
    }

    /// Has one write something, and tell it at once.
    pub fn write(&mut self, at: usize, write: impl FnOnce(&mut Store, Micros) -> Option<Delta>) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let now = self.now + process.offset;
        let mut out = Vec::new();
        if let Some(delta) = write(&mut process.store, now) {
            process
                .gossip
                .tell(now, delta, &self.up, &mut self.rng, &mut out);
        }
        self.send(at, out);
    }

    fn send(&mut self, from: usize, out: Vec<(usize, Message)>) {
        for (to, message) in out {
            if to == from {
                // The list of those that are up names this one too.
                continue;
            }
            let bytes =
                postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len() as u64) + self.head;
            self.sent.0 += bytes;
            self.sent.1 += 1;
            self.sent_by[from] += bytes;
            if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let at = self.now + self.rng.random_range(50..self.delay.max(51));
            self.next += 1;
            self.queue
                .insert(Reverse((at, self.next)), (from, to, message));
        }
    }

    /// Plays for a span.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            let step = (self.now + LOOK).min(end);
            while let Some(entry) = self.queue.last_entry() {
                let Reverse((at, _)) = *entry.key();
                if at > step {
                    break;
                }
                let (from, to, message) = entry.remove();
                self.now = at.max(self.now);
                let Some(Some(process)) = self.processes.get_mut(to) else {
                    continue;
                };
                let now = self.now + process.offset;
                let mut out = Vec::new();
                let Process { store, gossip, .. } = process;
                gossip.take(
                    now,
                    store,
                    (from, &self.up),
                    message,
                    &mut self.rng,
                    &mut out,
                );
                self.send(to, out);
            }
            self.now = step;
            for at in 0..self.processes.len() {
                let Some(process) = &mut self.processes[at] else {
                    continue;
                };
                let now = self.now + process.offset;
                let mut out = Vec::new();
                process
                    .gossip
                    .tick(now, &process.store, &self.up, &mut self.rng, &mut out);
                self.send(at, out);
            }
        }
    }

    /// Has all forget what has ended.
    pub fn forget_ended(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            kinds::forget_ended(&mut process.store, self.now + process.offset);
        }
    }

    /// Whether all that are up hold the same.
    pub fn are_equal(&self) -> bool {
        let mut summaries = self
            .processes
            .iter()
            .flatten()
            .map(|process| process.store.summary());
        let first = summaries.next();
        summaries.all(|summary| Some(summary) == first)
    }
}

#[cfg(test)]
mod tests;
