//! Fleet membership: SWIM with anti-entropy. The module does no I/O; callers pass in messages, the
//! process's monotonic clock and randomness.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `failure_detector` | pings each member in turn, and suspects those that do not answer (Das, Gupta, Motivala: SWIM, 2002) |
//! | `dissemination` | retransmits updates a number of times that is logarithmic in the fleet's size |
//! | `synchronization` | anti-entropy: compares whole views by digests and sends missing members, so that views become complete despite any message loss |
//! | `updates` | applies received messages, and refutes updates about this process |
//! | `state` | the state machine of one member: alive, suspect, dead, left |
//! | `table`, `view`, `admission` | all members, the digests of the view, and the limits for new members |
//! | `message`, `entries` | the wire format |
//!
//! A caller (the agent or the simulation) passes each received message to
//! [`Membership::on_message`], calls [`Membership::tick`] at [`Membership::next_due`] or more
//! often, and sends the messages of each [`Output`]. Every message is charged to one send allowance
//! in bytes, so a fleet that starts at once stays within it.

mod admission;
mod allowance;
mod dissemination;
mod entries;
mod failure_detector;
mod hash;
mod member;
mod message;
mod state;
mod synchronization;
mod table;
mod updates;
mod view;

pub use admission::RejectedUpdates;
pub use entries::Entries;
pub use member::{IncarnationTag, KnownMember, Liveness, Member, MembershipEvent};
pub use message::{
    Body, BriefUpdate, BucketDigests, BucketSet, CompareRequest, Message, OutgoingMessage,
    ReportedState, Update, MESSAGE_OVERHEAD_BYTES,
};

pub use dewrun_budgets::{Incarnation, Micros, Timestamp};

use allowance::ByteAllowance;
use dissemination::Dissemination;
use failure_detector::FailureDetector;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddr;
use synchronization::Synchronization;
use table::{MemberRecord, MemberTable};

const MILLISECOND_US: Micros = 1_000;
const SECOND_US: Micros = 1_000 * MILLISECOND_US;

/// The send allowance's burst. With [`SEND_BYTES_PER_S`] a process sends at most 103 kB over any
/// ten seconds, minus the reserves that each module leaves unspent.
const SEND_BURST_BYTES: f64 = 36_000.0;
/// The send allowance's refill rate.
const SEND_BYTES_PER_S: f64 = 6_700.0;
/// The receive allowance's burst.
const RECEIVE_BURST_BYTES: f64 = 59_000.0;
/// The receive allowance's refill rate.
const RECEIVE_BYTES_PER_S: f64 = 3_500.0;
/// The duration for which a process that has started, or raised its start time, adds its full
/// description to its messages.
const INTRODUCTION_US: Micros = 10 * SECOND_US;
/// The gap between two ticks from which on the process is assumed to have been suspended and to
/// have missed messages.
const STALL_THRESHOLD_US: Micros = 2 * SECOND_US;
/// The interval between two removals of expired members.
const EXPIRY_INTERVAL_US: Micros = 60 * SECOND_US;
/// The number of members that receive this process's leave announcement; they disseminate it.
const LEAVE_FAN_OUT: usize = 8;

/// The messages to send and the events of one call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// The messages to send.
    pub messages: Vec<OutgoingMessage>,
    /// The membership changes, in order.
    pub events: Vec<MembershipEvent>,
}

/// The membership state of one process. See the module documentation.
pub struct Membership {
    local_member: Member,
    seeds: Vec<SocketAddr>,
    rng: Xoshiro256PlusPlus,
    table: MemberTable,
    failure_detector: FailureDetector,
    dissemination: Dissemination,
    synchronization: Synchronization,
    send_allowance: ByteAllowance,
    receive_allowance: ByteAllowance,
    introduce_until: Timestamp,
    start_raised_at: Option<Timestamp>,
    last_tick_at: Timestamp,
    next_expiry_at: Timestamp,
    is_leaving: bool,
}

impl Membership {
    /// Creates the state of a process that starts now, knows no other member, and queries `seeds`
    /// first.
    pub fn new(
        now: Timestamp,
        local_member: Member,
        seeds: &[SocketAddr],
        random_seed: u64,
    ) -> Membership {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(random_seed);
        Membership {
            table: MemberTable::new(&local_member),
            failure_detector: FailureDetector::new(now, rng.random()),
            dissemination: Dissemination::new(now),
            synchronization: Synchronization::new(now, rng.random()),
            send_allowance: ByteAllowance::new(now, SEND_BURST_BYTES, SEND_BYTES_PER_S),
            receive_allowance: ByteAllowance::new(now, RECEIVE_BURST_BYTES, RECEIVE_BYTES_PER_S),
            introduce_until: now + INTRODUCTION_US,
            start_raised_at: None,
            last_tick_at: now,
            next_expiry_at: now + EXPIRY_INTERVAL_US,
            is_leaving: false,
            seeds: seeds.to_vec(),
            local_member,
            rng,
        }
    }

    /// Returns the member that describes this process.
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// Replaces the seeds, the members of the configuration file.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Performs all actions that are due: probes, gossip, synchronization and expiry.
    pub fn tick(&mut self, now: Timestamp) -> Output {
        let mut output = Output::default();
        if self.is_leaving {
            return output;
        }
        if now.saturating_sub(self.last_tick_at) > STALL_THRESHOLD_US {
            self.failure_detector.cancel_probes();
            self.table.extend_suspicions(now + self.suspicion_time());
        }
        self.last_tick_at = now;
        self.table.expire_suspicions(now, &mut output.events);
        self.probe_if_due(now, &mut output);
        self.gossip_if_due(now, &mut output);
        self.synchronize_if_due(now, &mut output);
        if now >= self.next_expiry_at {
            self.next_expiry_at = now + EXPIRY_INTERVAL_US;
            self.table.remove_expired(now);
        }
        self.probe_new_members(&output.events);
        output
    }

    /// Returns when [`Membership::tick`] next has something to do.
    pub fn next_due(&self) -> Timestamp {
        let due = [
            self.failure_detector.next_due(),
            self.dissemination.next_due(),
            self.synchronization.next_due(),
            self.next_expiry_at,
        ];
        due.into_iter()
            .chain(self.table.next_suspicion_deadline())
            .min()
            .unwrap_or(self.next_expiry_at)
    }

    /// Processes a message from another process.
    pub fn on_message(&mut self, now: Timestamp, from: SocketAddr, message: Message) -> Output {
        let mut output = Output::default();
        if from == self.local_member.address || self.is_leaving {
            return output;
        }
        self.receive_allowance
            .spend(now, message.size() + MESSAGE_OVERHEAD_BYTES);
        let accusation = self.on_sender(now, from, &message, &mut output);
        self.on_view_digest(now, from, message.view_digest, &mut output);
        self.on_body(now, from, message.body, accusation, &mut output);
        self.probe_new_members(&output.events);
        output
    }

    /// Schedules probes of members that became live.
    fn probe_new_members(&mut self, events: &[MembershipEvent]) {
        for event in events {
            if let MembershipEvent::Up(member) = event {
                let live = self.table.live_peers().len();
                self.failure_detector
                    .add_member(member.address, live, &mut self.rng);
            }
        }
    }

    /// Announces that this process leaves. From then on it neither sends nor processes messages.
    pub fn leave(&mut self, now: Timestamp) -> Vec<OutgoingMessage> {
        let mut output = Output::default();
        for to in self.random_live_peers(LEAVE_FAN_OUT, None) {
            let updates = vec![Update::brief(&self.local_member, ReportedState::Left)];
            self.send(now, to, Body::Gossip { updates }, &mut output);
        }
        self.is_leaving = true;
        output.messages
    }

    /// Returns all known members and their liveness, this process first.
    pub fn known_members(&self) -> Vec<KnownMember> {
        let local = KnownMember {
            member: self.local_member.clone(),
            liveness: Liveness::Alive,
        };
        let others = self
            .table
            .iter()
            .filter(|record| record.member.address != self.local_member.address)
            .map(MemberRecord::known_member);
        std::iter::once(local).chain(others).collect()
    }

    /// Returns the live members, this process included, in an order that is the same at every
    /// process.
    pub fn live_members(&self) -> Vec<&Member> {
        let mut live: Vec<&Member> = self.iter_live_members().collect();
        live.sort_by(|a, b| (&a.name, a.address).cmp(&(&b.name, b.address)));
        live
    }

    /// Iterates over the live members, this process included, in no particular order.
    pub fn iter_live_members(&self) -> impl Iterator<Item = &Member> {
        let others = self
            .table
            .live_peers()
            .iter()
            .filter_map(|address| self.table.get(*address));
        std::iter::once(&self.local_member).chain(others.map(|record| &record.member))
    }

    /// Returns the index of this process in [`Membership::live_members`].
    pub fn rank(&self) -> usize {
        let own = (&self.local_member.name, self.local_member.address);
        self.iter_live_members()
            .filter(|member| (&member.name, member.address) < own)
            .count()
    }

    /// Returns the number of live processes in the fleet or, while this process catches up, the
    /// number that another process has reported if it is greater. A starting process must not claim
    /// a larger share of a common budget than its own.
    pub fn fleet_size(&self) -> usize {
        let live = self.table.live_peers().len() + 1;
        live.max(self.synchronization.reported_fleet_size())
    }

    /// Returns whether this process knows all members that another process knew, or has timed out
    /// waiting for them.
    pub fn is_caught_up(&self) -> bool {
        self.synchronization.is_caught_up()
    }

    /// Returns the number of updates rejected so far, by reason.
    pub fn rejected_updates(&self) -> RejectedUpdates {
        self.table.rejected()
    }

    /// Returns a live member with this process's name, another address and a later start. Of two
    /// processes with one name the later one owns it.
    pub fn name_conflict(&self) -> Option<&Member> {
        let supersedes = |member: &Member| {
            (member.start_order(), member.refutations)
                > (
                    self.local_member.start_order(),
                    self.local_member.refutations,
                )
        };
        self.iter_live_members().find(|member| {
            member.name == self.local_member.name
                && member.address != self.local_member.address
                && supersedes(member)
        })
    }

    /// Queues a message and charges it to the send allowance.
    fn send(&mut self, now: Timestamp, to: SocketAddr, body: Body, output: &mut Output) {
        let may_introduce = !matches!(body, Body::WhoAreYou | Body::Entries(_));
        let includes_introduction = may_introduce && now < self.introduce_until;
        let message = Message {
            incarnation: self.local_member.tag(),
            refutations: self.local_member.refutations,
            view_digest: self.table.view().digest(),
            introduction: includes_introduction.then(|| self.local_member.clone()),
            body,
        };
        self.send_allowance
            .spend(now, message.size() + MESSAGE_OVERHEAD_BYTES);
        output.messages.push(OutgoingMessage { to, message });
    }

    /// Returns up to `count` distinct live peers, drawn at random.
    fn random_live_peers(&mut self, count: usize, except: Option<SocketAddr>) -> Vec<SocketAddr> {
        let live = self.table.live_peers();
        // Draws one peer more than requested, since one of them may be the exception.
        let drawn = live.len().min(count + 1);
        rand::seq::index::sample(&mut self.rng, live.len(), drawn)
            .into_iter()
            .map(|index| live[index])
            .filter(|address| Some(*address) != except)
            .take(count)
            .collect()
    }
}
