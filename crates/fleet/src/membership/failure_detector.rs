//! The failure detector of SWIM: each member in turn is pinged, in an order that is drawn anew for
//! each round. A member that does not answer is pinged again, then through others as well, and at
//! last suspected. Dead members are pinged now and then, so that two halves of a fleet find each
//! other after a partition.

use super::member::IncarnationTag;
use super::message::{Body, BriefUpdate, ReportedState, Update};
use super::{Membership, Micros, Output, Timestamp, MILLISECOND_US, SECOND_US};
use rand::seq::SliceRandom;
use rand::Rng;
use std::net::SocketAddr;

/// The time between two probes in a fleet of up to [`PROBE_SPEEDUP_MEMBERS`].
const MAX_PROBE_INTERVAL_US: Micros = SECOND_US;
/// The shortest time between two probes, in fleets so large that many members may die at once.
const MIN_PROBE_INTERVAL_US: Micros = SECOND_US / 2;
/// From this size on the time between two probes gets shorter.
const PROBE_SPEEDUP_MEMBERS: usize = 100;
/// Through how many others a member that has not answered is pinged.
const INDIRECT_PINGS: usize = 3;
/// The further pings of a probe.
const PROBE_STEPS: [ProbeStep; 6] = [
    ProbeStep::direct(150 * MILLISECOND_US),
    ProbeStep::direct(300 * MILLISECOND_US),
    ProbeStep::indirect(500 * MILLISECOND_US),
    ProbeStep::indirect(700 * MILLISECOND_US),
    ProbeStep::indirect(900 * MILLISECOND_US),
    ProbeStep::indirect(1_050 * MILLISECOND_US),
];
/// How long after its first ping a probe has failed.
const PROBE_TIMEOUT_US: Micros = 1_200 * MILLISECOND_US;
/// The shortest time that a suspected member has to refute that.
const MIN_SUSPICION_US: Micros = 4 * SECOND_US;
/// The time that a suspected member has for each doubling of the fleet, if that is more: the
/// suspicion has to reach the member, and the refutation all others.
const SUSPICION_PER_DOUBLING_US: Micros = SECOND_US / 2;
/// How many of the members that learn of a new incarnation probe it next, on average: those that it
/// has asked may not have answered yet.
const NEW_MEMBER_PROBERS: f64 = 4.0;
/// The mean time between two pings of dead members.
const DEAD_PING_INTERVAL_US: Micros = 5 * SECOND_US;
/// The mean time between two pings of seeds that are not up, in a fleet of up to
/// [`SEED_PING_MEMBERS`]; longer in proportion in a larger one, so that a seed that returns is not
/// flooded.
const SEED_PING_INTERVAL_US: Micros = 600 * MILLISECOND_US;
/// See [`SEED_PING_INTERVAL_US`].
const SEED_PING_MEMBERS: Micros = 10;
/// The most pings on behalf of others that are under way.
const MAX_RELAYS: usize = 256;
/// How long the answer to a ping on behalf of another is passed on.
const RELAY_TIMEOUT_US: Micros = 2 * SECOND_US;

/// A further ping of a member that has not answered.
struct ProbeStep {
    /// When, counted from the probe's first ping.
    after_us: Micros,
    /// Through how many others the member is pinged as well.
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

/// A probe of a member that has not answered yet.
struct Probe {
    sequence: u32,
    target: SocketAddr,
    incarnation: IncarnationTag,
    refutations: u32,
    began_at: Timestamp,
    /// How many of [`PROBE_STEPS`] are done.
    steps_done: usize,
}

impl Probe {
    fn next_due(&self) -> Timestamp {
        let step = PROBE_STEPS.get(self.steps_done);
        self.began_at + step.map_or(PROBE_TIMEOUT_US, |step| step.after_us)
    }
}

/// A ping on behalf of another member, which can't reach the target.
struct Relay {
    sequence: u32,
    requester: SocketAddr,
    requester_sequence: u32,
    expires_at: Timestamp,
}

/// The probes that are under way, and when others follow.
pub(super) struct FailureDetector {
    /// The members that are still to be probed in this round, the next one last.
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

    /// When [`Membership::probe_if_due`] has something to do.
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

    /// Forgets probes that were under way while this process did not run: it may have missed the
    /// answers.
    pub(super) fn cancel_probes(&mut self) {
        self.probes.clear();
    }

    /// Has a member that came up probed next by a few of the `live` members, and within this round
    /// by the others.
    pub(super) fn add_member(&mut self, address: SocketAddr, live: usize, rng: &mut impl Rng) {
        if rng.random_bool((NEW_MEMBER_PROBERS / live.max(1) as f64).min(1.0)) {
            self.probe_next(address);
        } else {
            self.add_to_round(address, live, rng);
        }
    }

    /// Adds a member to the current round at a random place among all members, if that place is
    /// still to come: in a large fleet a round takes minutes. Near the end of a round that is
    /// seldom so, or all members would probe the new one at once.
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

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Takes out the probes that have something due.
    fn take_due_probes(&mut self, now: Timestamp) -> Vec<Probe> {
        let (due, waiting) = std::mem::take(&mut self.probes)
            .into_iter()
            .partition(|probe| probe.next_due() <= now);
        self.probes = waiting;
        due
    }
}

impl Membership {
    /// How long a suspected member has to refute that.
    pub(super) fn suspicion_time(&self) -> Micros {
        let doublings = (self.table.live_peers().len() + 1).ilog2();
        MIN_SUSPICION_US.max(Micros::from(doublings) * SUSPICION_PER_DOUBLING_US)
    }

    /// Sends the pings that are due.
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
            let jittered = self.random_around(DEAD_PING_INTERVAL_US);
            self.failure_detector.next_dead_ping_at = now + jittered;
            self.ping_random_dead_member(now, output);
        }
        if now >= self.failure_detector.next_seed_ping_at {
            let jittered = self.random_around(self.seed_ping_interval());
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
        // Seeds are few, and all that start meet at them: they look for each other more often.
        let pinging_processes = if self.is_seed() {
            self.seeds.len()
        } else {
            self.table.live_peers().len()
        };
        SEED_PING_INTERVAL_US * (pinging_processes as Micros / SEED_PING_MEMBERS).max(1)
    }

    /// A random time around a mean: from half of it to half as much again.
    fn random_around(&mut self, mean: Micros) -> Micros {
        self.rng.random_range(mean / 2..mean * 3 / 2)
    }

    fn begin_probe(&mut self, now: Timestamp, output: &mut Output) {
        // While processes start they know the same few members, and would flood them.
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

    /// The next member of the round; of a new round after the last.
    fn next_target(&mut self) -> Option<SocketAddr> {
        loop {
            if self.failure_detector.round.is_empty() {
                let round = &mut self.failure_detector.round;
                round.extend_from_slice(self.table.live_peers());
                round.shuffle(&mut self.rng);
            }
            let target = self.failure_detector.round.pop()?;
            if self.table.is_up(target) {
                return Some(target);
            }
        }
    }

    /// Pings members again that have not answered, and suspects those whose time is over.
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

    /// Suspects the target of a failed probe, unless it has refuted another suspicion or restarted
    /// since the probe began.
    fn suspect(&mut self, now: Timestamp, probe: &Probe, output: &mut Output) {
        let is_as_probed = self
            .table
            .get_incarnation(probe.target, probe.incarnation)
            .is_some_and(|record| record.member.refutations == probe.refutations);
        if is_as_probed {
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
        // With the state of a member that is not held to be alive, so that it can refute that.
        let record = self.table.get(target);
        let accusation = record.and_then(|record| record.accusation(now));
        let updates = accusation.into_iter().chain(self.piggyback(now)).collect();
        self.send(now, target, Body::Ping { sequence, updates }, output);
    }

    /// Pings a member on behalf of another.
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
        if detector.relays.len() >= MAX_RELAYS || !self.table.is_up(target) {
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

    /// Ends the probe that a ping belonged to, or passes the answer on.
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

    /// Whether this process is a seed.
    fn is_seed(&self) -> bool {
        self.seeds.contains(&self.local_member.address)
    }

    /// Pings the next of the seeds that are not up.
    fn ping_missing_seed(&mut self, now: Timestamp, output: &mut Output) {
        let is_missing =
            |seed: &&SocketAddr| **seed != self.local_member.address && !self.table.is_up(**seed);
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
