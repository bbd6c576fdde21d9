//! The failure detector of SWIM: members are pinged in turn, in an order that is shuffled for each
//! round. A member that does not answer is pinged again, then through other members as well, and
//! finally suspected. Dead members are pinged occasionally, so that the two sides of a partition
//! find each other afterwards.

use super::member::IncarnationTag;
use super::message::{Body, BriefUpdate, ReportedState, Update};
use super::{Membership, Micros, Output, Timestamp, MILLISECOND_US, SECOND_US};
use rand::seq::SliceRandom;
use rand::Rng;
use std::net::SocketAddr;

/// The interval between two probes in a fleet of up to [`PROBE_SPEEDUP_MEMBERS`].
const MAX_PROBE_INTERVAL_US: Micros = SECOND_US;
/// The shortest interval between two probes, used in fleets so large that many members may die at
/// once.
const MIN_PROBE_INTERVAL_US: Micros = SECOND_US / 2;
/// The fleet size from which on the interval between two probes shrinks.
const PROBE_SPEEDUP_MEMBERS: usize = 100;
/// The number of members that are requested to ping a member that has not answered.
const INDIRECT_PINGS: usize = 3;
/// The retries of a probe whose first ping was not answered.
const PROBE_STEPS: [ProbeStep; 6] = [
    ProbeStep::direct(150 * MILLISECOND_US),
    ProbeStep::direct(300 * MILLISECOND_US),
    ProbeStep::indirect(500 * MILLISECOND_US),
    ProbeStep::indirect(700 * MILLISECOND_US),
    ProbeStep::indirect(900 * MILLISECOND_US),
    ProbeStep::indirect(1_050 * MILLISECOND_US),
];
/// The time after its first ping at which a probe fails.
const PROBE_TIMEOUT_US: Micros = 1_200 * MILLISECOND_US;
/// The minimum time that a suspected member has to refute the suspicion.
const MIN_SUSPICION_US: Micros = 4 * SECOND_US;
/// The time that a suspected member has for each doubling of the fleet's size, if that is more than
/// the minimum: the suspicion has to reach the member, and the refutation all other members.
const SUSPICION_PER_DOUBLING_US: Micros = SECOND_US / 2;
/// The average number of members that probe a new incarnation next, of those that learn of it: the
/// members that it has queried may not have answered yet.
const NEW_MEMBER_PROBERS: f64 = 4.0;
/// The mean interval between two pings of dead members.
const DEAD_PING_INTERVAL_US: Micros = 5 * SECOND_US;
/// The mean interval between two pings of missing seeds in a fleet of up to [`SEED_PING_MEMBERS`].
/// It grows in proportion to a larger fleet, so that a returning seed is not flooded.
const SEED_PING_INTERVAL_US: Micros = 600 * MILLISECOND_US;
/// The fleet size up to which [`SEED_PING_INTERVAL_US`] applies unscaled.
const SEED_PING_MEMBERS: Micros = 10;
/// The maximum number of indirect pings in progress on behalf of other members.
const MAX_RELAYS: usize = 256;
/// The time within which the answer to an indirect ping is forwarded.
const RELAY_TIMEOUT_US: Micros = 2 * SECOND_US;

/// One retry of an unanswered probe.
struct ProbeStep {
    /// The delay after the probe's first ping.
    after_us: Micros,
    /// The number of members that are requested to ping the target as well.
    indirect_pings: usize,
}

impl ProbeStep {
    const fn direct(after_us: Micros) -> ProbeStep {
        ProbeStep {
            after_us,
            indirect_pings: 0,
        }
    }

    const fn indirect(after_us: Micros) -> ProbeStep {
        ProbeStep {
            after_us,
            indirect_pings: INDIRECT_PINGS,
        }
    }
}

/// A probe in progress.
struct Probe {
    sequence: u32,
    target: SocketAddr,
    incarnation: IncarnationTag,
    refutations: u32,
    began_at: Timestamp,
    /// The number of completed [`PROBE_STEPS`].
    steps_done: usize,
}

impl Probe {
    fn next_due(&self) -> Timestamp {
        let step = PROBE_STEPS.get(self.steps_done);
        self.began_at + step.map_or(PROBE_TIMEOUT_US, |step| step.after_us)
    }
}

/// An indirect ping on behalf of another member, which cannot reach the target.
struct Relay {
    sequence: u32,
    requester: SocketAddr,
    requester_sequence: u32,
    expires_at: Timestamp,
}

/// The probes in progress and the times of the next ones.
pub(super) struct FailureDetector {
    /// The members that remain to be probed in this round, the next one last.
    round: Vec<SocketAddr>,
    last_sequence: u32,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    next_probe_at: Timestamp,
    next_dead_ping_at: Timestamp,
    next_seed_ping_at: Timestamp,
    seed_pings: usize,
}

impl FailureDetector {
    pub(super) fn new(now: Timestamp, first_sequence: u32) -> FailureDetector {
        FailureDetector {
            round: Vec::new(),
            last_sequence: first_sequence,
            probes: Vec::new(),
            relays: Vec::new(),
            next_probe_at: now,
            next_dead_ping_at: now + DEAD_PING_INTERVAL_US,
            next_seed_ping_at: now,
            seed_pings: 0,
        }
    }

    /// Returns when [`Membership::probe_if_due`] next has something to do.
    pub(super) fn next_due(&self) -> Timestamp {
        let probes = self.probes.iter().map(Probe::next_due);
        probes
            .chain([
                self.next_probe_at,
                self.next_dead_ping_at,
                self.next_seed_ping_at,
            ])
            .min()
            .unwrap_or(self.next_probe_at)
    }

    /// Cancels all probes after this process was suspended, as it may have missed the answers.
    pub(super) fn cancel_probes(&mut self) {
        self.probes.clear();
    }

    /// Schedules a probe of a member that became live: next at a few of the `live` members, and
    /// within the current round at the others.
    pub(super) fn add_member(&mut self, address: SocketAddr, live: usize, rng: &mut impl Rng) {
        if rng.random_bool((NEW_MEMBER_PROBERS / live.max(1) as f64).min(1.0)) {
            self.probe_next(address);
        } else {
            self.add_to_round(address, live, rng);
        }
    }

    /// Inserts a member into the current round at a random position among all members, if that
    /// position is still ahead: a round takes minutes in a large fleet. Near the end of a round
    /// this is rarely so; otherwise all members would probe the new one at once.
    fn add_to_round(&mut self, address: SocketAddr, live: usize, rng: &mut impl Rng) {
        let place = rng.random_range(0..live.max(1));
        if place < self.round.len() {
            self.round.push(address);
            let last = self.round.len() - 1;
            self.round.swap(place, last);
        }
    }

    /// Makes a member the target of the next probe.
    pub(super) fn probe_next(&mut self, address: SocketAddr) {
        self.round.push(address);
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Removes and returns the probes with a step that is due.
    fn take_due_probes(&mut self, now: Timestamp) -> Vec<Probe> {
        let (due, waiting) = std::mem::take(&mut self.probes)
            .into_iter()
            .partition(|probe| probe.next_due() <= now);
        self.probes = waiting;
        due
    }
}

impl Membership {
    /// Returns the time that a suspected member has to refute the suspicion.
    pub(super) fn suspicion_time(&self) -> Micros {
        let doublings = (self.table.live_peers().len() + 1).ilog2();
        MIN_SUSPICION_US.max(Micros::from(doublings) * SUSPICION_PER_DOUBLING_US)
    }

    /// Sends all pings that are due.
    pub(super) fn probe_if_due(&mut self, now: Timestamp, output: &mut Output) {
        let probes = &self.failure_detector.probes;
        if probes.iter().any(|probe| probe.next_due() <= now) {
            self.continue_probes(now, output);
        }
        if now >= self.failure_detector.next_probe_at {
            let interval = self.probe_interval();
            let jittered = self.rng.random_range(interval * 9 / 10..interval * 11 / 10);
            self.failure_detector.next_probe_at = now + jittered;
            self.begin_probe(now, output);
        }
        if now >= self.failure_detector.next_dead_ping_at {
            let jittered = self.jittered_around(DEAD_PING_INTERVAL_US);
            self.failure_detector.next_dead_ping_at = now + jittered;
            self.ping_random_dead_member(now, output);
        }
        if now >= self.failure_detector.next_seed_ping_at {
            let jittered = self.jittered_around(self.seed_ping_interval());
            self.failure_detector.next_seed_ping_at = now + jittered;
            self.ping_missing_seed(now, output);
        }
    }

    fn probe_interval(&self) -> Micros {
        let size = self.table.live_peers().len().max(1);
        let interval = MAX_PROBE_INTERVAL_US * PROBE_SPEEDUP_MEMBERS as Micros / size as Micros;
        interval.clamp(MIN_PROBE_INTERVAL_US, MAX_PROBE_INTERVAL_US)
    }

    fn seed_ping_interval(&self) -> Micros {
        // Seeds are few, and all starting processes depend on them, so seeds ping each other more
        // often.
        let pinging_processes = if self.is_seed() {
            self.seeds.len()
        } else {
            self.table.live_peers().len()
        };
        SEED_PING_INTERVAL_US * (pinging_processes as Micros / SEED_PING_MEMBERS).max(1)
    }

    /// Draws a random duration between half and one and a half times the mean.
    fn jittered_around(&mut self, mean: Micros) -> Micros {
        self.rng.random_range(mean / 2..mean * 3 / 2)
    }

    fn begin_probe(&mut self, now: Timestamp, output: &mut Output) {
        // Starting processes know the same few members and would flood them with probes.
        if !self.is_caught_up() {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(record) = self.table.get(target) else {
            return;
        };
        let (incarnation, refutations) = (record.member.tag(), record.member.refutations);
        let sequence = self.failure_detector.next_sequence();
        self.failure_detector.probes.push(Probe {
            sequence,
            target,
            incarnation,
            refutations,
            began_at: now,
            steps_done: 0,
        });
        self.ping(now, target, sequence, output);
    }

    /// Returns the next live member of the round, and begins a new round after the last one.
    fn next_target(&mut self) -> Option<SocketAddr> {
        loop {
            if self.failure_detector.round.is_empty() {
                let round = &mut self.failure_detector.round;
                round.extend_from_slice(self.table.live_peers());
                round.shuffle(&mut self.rng);
            }
            let target = self.failure_detector.round.pop()?;
            if self.table.is_live(target) {
                return Some(target);
            }
        }
    }

    /// Retries unanswered probes, and suspects the targets of those that have timed out.
    fn continue_probes(&mut self, now: Timestamp, output: &mut Output) {
        for mut probe in self.failure_detector.take_due_probes(now) {
            let Some(step) = PROBE_STEPS.get(probe.steps_done) else {
                self.suspect(now, &probe, output);
                continue;
            };
            let (sequence, target) = (probe.sequence, probe.target);
            self.ping(now, target, sequence, output);
            for other in self.random_live_peers(step.indirect_pings, Some(target)) {
                self.send(now, other, Body::PingRequest { sequence, target }, output);
            }
            probe.steps_done += 1;
            self.failure_detector.probes.push(probe);
        }
    }

    /// Suspects the target of a failed probe, unless the target has refuted another suspicion or
    /// restarted since the probe began.
    fn suspect(&mut self, now: Timestamp, probe: &Probe, output: &mut Output) {
        let is_unchanged_since_probe = self
            .table
            .get_incarnation(probe.target, probe.incarnation)
            .is_some_and(|record| record.member.refutations == probe.refutations);
        if is_unchanged_since_probe {
            let update = Update::Brief(BriefUpdate {
                address: probe.target,
                incarnation: probe.incarnation,
                refutations: probe.refutations,
                state: ReportedState::Suspect,
            });
            self.apply_update(now, update, output);
        }
    }

    fn ping(&mut self, now: Timestamp, target: SocketAddr, sequence: u32, output: &mut Output) {
        // The ping carries the state of a member that is not considered alive, so that it can
        // refute it.
        let record = self.table.get(target);
        let accusation = record.and_then(|record| record.accusation(now));
        let updates = accusation.into_iter().chain(self.piggyback(now)).collect();
        self.send(now, target, Body::Ping { sequence, updates }, output);
    }

    /// Pings a member on behalf of another one.
    pub(super) fn on_ping_request(
        &mut self,
        now: Timestamp,
        requester: SocketAddr,
        requester_sequence: u32,
        target: SocketAddr,
        output: &mut Output,
    ) {
        let detector = &mut self.failure_detector;
        detector.relays.retain(|relay| now < relay.expires_at);
        if detector.relays.len() >= MAX_RELAYS || !self.table.is_live(target) {
            return;
        }
        let sequence = detector.next_sequence();
        detector.relays.push(Relay {
            sequence,
            requester,
            requester_sequence,
            expires_at: now + RELAY_TIMEOUT_US,
        });
        self.ping(now, target, sequence, output);
    }

    /// Completes the probe that a ping belonged to, or forwards the answer to the requester.
    pub(super) fn on_ack(&mut self, now: Timestamp, sequence: u32, output: &mut Output) {
        self.failure_detector
            .probes
            .retain(|probe| probe.sequence != sequence);
        let relays = &mut self.failure_detector.relays;
        let Some(at) = relays.iter().position(|relay| relay.sequence == sequence) else {
            return;
        };
        let relay = relays.swap_remove(at);
        let ack = Body::Ack {
            sequence: relay.requester_sequence,
            updates: Vec::new(),
        };
        self.send(now, relay.requester, ack, output);
    }

    fn ping_random_dead_member(&mut self, now: Timestamp, output: &mut Output) {
        let Some(record) = self.table.random_dead_member(&mut self.rng) else {
            return;
        };
        let target = record.member.address;
        let sequence = self.failure_detector.next_sequence();
        self.ping(now, target, sequence, output);
    }

    /// Returns whether this process is a seed.
    fn is_seed(&self) -> bool {
        self.seeds.contains(&self.local_member.address)
    }

    /// Pings the next of the seeds that are not live.
    fn ping_missing_seed(&mut self, now: Timestamp, output: &mut Output) {
        let is_missing =
            |seed: &&SocketAddr| **seed != self.local_member.address && !self.table.is_live(**seed);
        let missing: Vec<SocketAddr> = self.seeds.iter().filter(is_missing).copied().collect();
        if missing.is_empty() || !(self.is_seed() || self.is_caught_up()) {
            return;
        }
        let detector = &mut self.failure_detector;
        detector.seed_pings = detector.seed_pings.wrapping_add(1);
        let seed = missing[detector.seed_pings % missing.len()];
        let sequence = detector.next_sequence();
        self.ping(now, seed, sequence, output);
    }
}
