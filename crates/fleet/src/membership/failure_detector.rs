//! Failure detection: one member after another is pinged, in an order drawn anew for each round.
//! One that does not answer is pinged again, and through others, before it is suspected; one that
//! was given up is asked now and then, so that two halves of a fleet that were cut from each other
//! meet again.

use super::member::IncarnationTag;
use super::message::{Body, ReportedState, Update};
use super::{Effects, Membership, Micros, MS, SECOND};
use rand::seq::SliceRandom;
use rand::Rng;
use std::net::SocketAddr;

/// From one probe to the next: one a second, and up to two in a fleet so large that many may die at
/// once.
const PROBE_EVERY_MOST: Micros = SECOND;
const PROBE_EVERY_LEAST: Micros = SECOND / 2;
/// From this size on the time between two probes gets shorter.
const LARGE_FLEET: usize = 100;
/// When a target that has not answered is asked again, counted from the first ping, and through how
/// many others.
const STEPS: [(Micros, usize); 6] = [
    (150 * MS, 0),
    (300 * MS, 0),
    (500 * MS, INDIRECT),
    (700 * MS, INDIRECT),
    (900 * MS, INDIRECT),
    (1_050 * MS, INDIRECT),
];
const INDIRECT: usize = 3;
/// When it is suspected.
const FAILED_AFTER: Micros = 1_200 * MS;
/// The shortest time that a suspected member has to refute that, and what is added for each
/// doubling of the fleet: the suspicion has to reach it, and the refutation all.
const SUSPICION_LEAST: Micros = 4 * SECOND;
const SUSPICION_PER_DOUBLING: Micros = SECOND / 2;
/// How many of those that hear of a new life ping it at once, in the mean: it may not have been
/// answered yet by any that it asks.
const GREETERS: f64 = 4.0;
/// How often one that was given up is asked.
const DEAD_EVERY: Micros = 5 * SECOND;
/// How often a member of the file that is not up is asked, in a fleet of up to ten; in a larger one
/// each asks less often, so that one that returns is not flooded.
const SEED_EVERY: Micros = 600 * MS;
/// Pings for others that are under way at the most.
const RELAYS_MOST: usize = 256;
const RELAY_FOR: Micros = 2 * SECOND;

struct Probe {
    sequence: u32,
    target: SocketAddr,
    incarnation: IncarnationTag,
    refutations: u32,
    begun: Micros,
    /// How many of [`STEPS`] are done.
    steps: usize,
}

impl Probe {
    fn due(&self) -> Micros {
        self.begun
            + STEPS
                .get(self.steps)
                .map_or(FAILED_AFTER, |(after, _)| *after)
    }
}

/// A ping that was sent for another.
struct Relay {
    sequence: u32,
    origin: SocketAddr,
    origin_sequence: u32,
    until: Micros,
}

/// The pings that are under way, and when others follow.
pub(super) struct FailureDetector {
    /// Who is still to be probed in this round.
    round: Vec<SocketAddr>,
    next_sequence: u32,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    probe_at: Micros,
    dead_at: Micros,
    seed_at: Micros,
    next_seed: usize,
}

impl FailureDetector {
    pub(super) fn new(now: Micros, first_sequence: u32) -> FailureDetector {
        FailureDetector {
            round: Vec::new(),
            next_sequence: first_sequence,
            probes: Vec::new(),
            relays: Vec::new(),
            probe_at: now,
            dead_at: now + DEAD_EVERY,
            seed_at: now,
            next_seed: 0,
        }
    }

    /// When it has something to do.
    pub(super) fn next_due(&self) -> Micros {
        let probes = self.probes.iter().map(Probe::due);
        probes
            .chain([self.probe_at, self.dead_at, self.seed_at])
            .min()
            .unwrap_or(self.probe_at)
    }

    /// Probes that were under way while this process did not run say nothing.
    pub(super) fn forget_probes(&mut self) {
        self.probes.clear();
    }

    /// A new life has come up among so many members. Few ping it next.
    pub(super) fn greet_or_add(&mut self, address: SocketAddr, live: usize, rng: &mut impl Rng) {
        if rng.random_bool((GREETERS / live.max(1) as f64).min(1.0)) {
            self.probe_next(address);
        } else {
            self.add_to_round(address, live, rng);
        }
    }

    /// Takes a member that has come up into the round that is under way, if its place among all,
    /// drawn by chance, is still to come: in a large fleet a round takes minutes. One at the
    /// end of its round seldom takes it in, or all would probe it at once.
    fn add_to_round(&mut self, address: SocketAddr, live: usize, rng: &mut impl Rng) {
        let place = rng.random_range(0..live.max(1));
        if place < self.round.len() {
            self.round.push(address);
            let last = self.round.len() - 1;
            self.round.swap(place, last);
        }
    }

    /// Has the next probe go to a member.
    pub(super) fn probe_next(&mut self, address: SocketAddr) {
        self.round.push(address);
    }

    fn sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}

impl Membership {
    /// How long a suspected member has to refute that.
    pub(super) fn suspicion_time(&self) -> Micros {
        let doublings = (self.table.live().len() + 1).ilog2();
        SUSPICION_LEAST.max(Micros::from(doublings) * SUSPICION_PER_DOUBLING)
    }

    /// Sends the pings that are due.
    pub(super) fn probe_due(&mut self, now: Micros, effects: &mut Effects) {
        if self
            .failure_detector
            .probes
            .iter()
            .any(|probe| probe.due() <= now)
        {
            self.continue_probes(now, effects);
        }
        if now >= self.failure_detector.probe_at {
            let size = self.table.live().len().max(1);
            let every = PROBE_EVERY_MOST * LARGE_FLEET as Micros / size as Micros;
            let every = every.clamp(PROBE_EVERY_LEAST, PROBE_EVERY_MOST);
            self.failure_detector.probe_at =
                now + self.rng.random_range(every * 9 / 10..every * 11 / 10);
            self.begin_probe(now, effects);
        }
        if now >= self.failure_detector.dead_at {
            self.failure_detector.dead_at =
                now + self.rng.random_range(DEAD_EVERY / 2..DEAD_EVERY * 3 / 2);
            self.ask_one_dead(now, effects);
        }
        if now >= self.failure_detector.seed_at {
            // Those of the file are few, and all that start meet at them.
            let askers = if self.is_seed() {
                self.seeds.len()
            } else {
                self.table.live().len()
            };
            let every = SEED_EVERY * (askers as Micros / 10).max(1);
            self.failure_detector.seed_at = now + self.rng.random_range(every / 2..every * 3 / 2);
            self.ask_one_seed(now, effects);
        }
    }

    fn begin_probe(&mut self, now: Micros, effects: &mut Effects) {
        // The few that one that starts knows are known to all that start, and would be flooded.
        if !self.is_caught_up() {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(held) = self.table.get(target) else {
            return;
        };
        let (incarnation, refutations) = (held.member.tag(), held.member.refutations);
        let sequence = self.failure_detector.sequence();
        self.failure_detector.probes.push(Probe {
            sequence,
            target,
            incarnation,
            refutations,
            begun: now,
            steps: 0,
        });
        self.ping(now, target, sequence, effects);
    }

    fn next_target(&mut self) -> Option<SocketAddr> {
        loop {
            if self.failure_detector.round.is_empty() {
                self.failure_detector
                    .round
                    .extend_from_slice(self.table.live());
                self.failure_detector.round.shuffle(&mut self.rng);
            }
            let target = self.failure_detector.round.pop()?;
            if self.table.is_up(target) {
                return Some(target);
            }
        }
    }

    /// Asks again those that have not answered, and suspects those that have not answered at all.
    fn continue_probes(&mut self, now: Micros, effects: &mut Effects) {
        let (due, waiting) = std::mem::take(&mut self.failure_detector.probes)
            .into_iter()
            .partition(|probe| probe.due() <= now);
        self.failure_detector.probes = waiting;
        let due: Vec<Probe> = due;
        for mut probe in due {
            match STEPS.get(probe.steps) {
                None => self.suspect(now, &probe, effects),
                Some((_, through)) => {
                    self.ping(now, probe.target, probe.sequence, effects);
                    for other in self.some_live(*through, Some(probe.target)) {
                        let (sequence, target) = (probe.sequence, probe.target);
                        self.send(now, other, Body::PingRequest { sequence, target }, effects);
                    }
                    probe.steps += 1;
                    self.failure_detector.probes.push(probe);
                }
            }
        }
    }

    fn suspect(&mut self, now: Micros, probe: &Probe, effects: &mut Effects) {
        let Probe {
            target: address,
            incarnation,
            refutations,
            ..
        } = *probe;
        // What has been refuted meanwhile is not suspected by this.
        let is_same = |held: &super::table::Held| {
            held.member.tag() == incarnation && held.member.refutations == refutations
        };
        if self.table.get(address).is_some_and(is_same) {
            self.learn(
                now,
                Update::Brief {
                    address,
                    incarnation,
                    refutations,
                    claim: ReportedState::Suspect,
                },
                effects,
            );
        }
    }

    fn ping(&mut self, now: Micros, target: SocketAddr, sequence: u32, effects: &mut Effects) {
        // One that is suspected, or was given up, is told, so that it can refute that.
        let accusation = self.table.get(target).and_then(|held| held.accusation(now));
        let updates = accusation.into_iter().chain(self.piggyback(now)).collect();
        self.send(now, target, Body::Ping { sequence, updates }, effects);
    }

    /// Pings a member for another, which can't reach it.
    pub(super) fn ping_for(
        &mut self,
        now: Micros,
        (origin, origin_sequence): (SocketAddr, u32),
        target: SocketAddr,
        effects: &mut Effects,
    ) {
        self.failure_detector
            .relays
            .retain(|relay| now < relay.until);
        if self.failure_detector.relays.len() >= RELAYS_MOST || !self.table.is_up(target) {
            return;
        }
        let sequence = self.failure_detector.sequence();
        self.failure_detector.relays.push(Relay {
            sequence,
            origin,
            origin_sequence,
            until: now + RELAY_FOR,
        });
        self.ping(now, target, sequence, effects);
    }

    /// A ping was answered: this process's own, or one for another.
    pub(super) fn acknowledged(&mut self, now: Micros, sequence: u32, effects: &mut Effects) {
        self.failure_detector
            .probes
            .retain(|probe| probe.sequence != sequence);
        let relays = &mut self.failure_detector.relays;
        let Some(at) = relays.iter().position(|relay| relay.sequence == sequence) else {
            return;
        };
        let relay = relays.swap_remove(at);
        let ack = Body::Ack {
            sequence: relay.origin_sequence,
            updates: Vec::new(),
        };
        self.send(now, relay.origin, ack, effects);
    }

    fn ask_one_dead(&mut self, now: Micros, effects: &mut Effects) {
        let Some(target) = self
            .table
            .random_dead(&mut self.rng)
            .map(|held| held.member.address)
        else {
            return;
        };
        let sequence = self.failure_detector.sequence();
        self.ping(now, target, sequence, effects);
    }

    /// Whether this process is one of those in the file.
    fn is_seed(&self) -> bool {
        self.seeds.contains(&self.me.address)
    }

    /// Asks the next of those in the file that are not up.
    fn ask_one_seed(&mut self, now: Micros, effects: &mut Effects) {
        let is_missing =
            |seed: &&SocketAddr| **seed != self.me.address && !self.table.is_up(**seed);
        let missing: Vec<SocketAddr> = self.seeds.iter().filter(is_missing).copied().collect();
        if missing.is_empty() || !(self.is_seed() || self.is_caught_up()) {
            return;
        }
        self.failure_detector.next_seed = self.failure_detector.next_seed.wrapping_add(1);
        let seed = missing[self.failure_detector.next_seed % missing.len()];
        let sequence = self.failure_detector.sequence();
        self.ping(now, seed, sequence, effects);
    }
}
