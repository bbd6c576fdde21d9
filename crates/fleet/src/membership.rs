//! Who is up: SWIM, with anti-entropy beside it. Pure: messages in, messages out, with the
//! process's clock and chance passed in.
//!
//! Three things go on beside each other. `failure_detector` pings one member after another and suspects
//! those that do not answer (Das, Gupta, Motivala: SWIM, 2002). `dissemination` passes on what is
//! new, as often as the logarithm of the fleet's size asks for. `synchronization` compares whole
//! views by digest and sends what differs, so that a view becomes whole whatever was lost. All that
//! is sent is paid from one `Allowance`, so a fleet that starts at once keeps within its bytes.
//! What is held of each member, and which claim outranks which, is the `table`'s matter.

mod dissemination;
mod failure_detector;
mod member;
mod message;
mod synchronization;
mod table;

pub use member::{IncarnationTag, Liveness, Member, MembershipEvent};
pub use message::{
    Body, Buckets, Compare, Entries, Message, Packets, ReportedState, Update, HEAD_BYTES,
};
pub use table::RejectedUpdates;

use dissemination::Dissemination;
use failure_detector::FailureDetector;
use message::Allowance;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddr;
use synchronization::Synchronization;
use table::{Table, Verdict};

pub use dewrun_budgets::{Micros, Timestamp};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

/// What may be sent at once, in bytes, and what comes in again a second. Over any ten seconds that
/// is 103 kB, of which the reserves of all parts stay unspent.
const SEND_BURST: f64 = 36_000.0;
const SEND_PER_S: f64 = 6_700.0;
/// What may be asked for at once, and a second.
const RECEIVE_BURST: f64 = 59_000.0;
const RECEIVE_PER_S: f64 = 3_500.0;
/// How long a process that has started, or changed its life, introduces itself in full.
const INTRODUCES_FOR: Micros = 10 * SECOND;
/// Where this much has passed between two looks at the clock, the process did not run, and heard
/// nobody.
const STALLED_AFTER: Micros = 2 * SECOND;
/// How often the dead of long ago are looked for.
const FORGET_EVERY: Micros = 60 * SECOND;
/// A life that is outranked by an older one of its own address raises its start above that, this
/// often at the most.
const REBORN_EVERY: Micros = SECOND;

/// What one call gives: what to send, and what has happened.
#[derive(Default)]
struct Effects {
    packets: Packets,
    news: Vec<MembershipEvent>,
}

/// See the module's text.
pub struct Membership {
    me: Member,
    seeds: Vec<SocketAddr>,
    rng: Xoshiro256PlusPlus,
    table: Table,
    failure_detector: FailureDetector,
    dissemination: Dissemination,
    synchronization: Synchronization,
    sending: Allowance,
    receiving: Allowance,
    introduced_until: Micros,
    reborn_at: Option<Micros>,
    ticked_at: Micros,
    forget_at: Micros,
    is_leaving: bool,
}

impl Membership {
    /// A process that starts now and asks these first.
    pub fn new(now: Micros, me: Member, seeds: &[SocketAddr], seed: u64) -> Membership {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Membership {
            table: Table::new(&me),
            failure_detector: FailureDetector::new(now, rng.random()),
            dissemination: Dissemination::new(now),
            synchronization: Synchronization::new(now, rng.random()),
            sending: Allowance::new(now, SEND_BURST, SEND_PER_S),
            receiving: Allowance::new(now, RECEIVE_BURST, RECEIVE_PER_S),
            introduced_until: now + INTRODUCES_FOR,
            reborn_at: None,
            ticked_at: now,
            forget_at: now + FORGET_EVERY,
            is_leaving: false,
            seeds: seeds.to_vec(),
            me,
            rng,
        }
    }

    /// This process.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Those that are asked first, from another file.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) -> (Packets, Vec<MembershipEvent>) {
        let mut effects = Effects::default();
        if self.is_leaving {
            return (effects.packets, effects.news);
        }
        if now.saturating_sub(self.ticked_at) > STALLED_AFTER {
            self.failure_detector.forget_probes();
            self.table.extend_suspicions(now + self.suspicion_time());
        }
        self.ticked_at = now;
        self.table.give_up_due(now, &mut effects.news);
        self.probe_due(now, &mut effects);
        self.gossip_due(now, &mut effects);
        self.synchronize_due(now, &mut effects);
        if now >= self.forget_at {
            self.forget_at = now + FORGET_EVERY;
            self.table.forget_old(now);
        }
        self.finish(effects)
    }

    /// When [`Membership::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        let parts = [
            self.failure_detector.next_due(),
            self.dissemination.next_due(),
            self.synchronization.next_due(),
            self.forget_at,
        ];
        parts
            .into_iter()
            .chain(self.table.next_due())
            .min()
            .unwrap_or(self.forget_at)
    }

    /// Takes a message in.
    pub fn take(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: Message,
    ) -> (Packets, Vec<MembershipEvent>) {
        let mut effects = Effects::default();
        if from == self.me.address || self.is_leaving {
            return (effects.packets, effects.news);
        }
        self.receiving.spend(now, message.size() + HEAD_BYTES);
        let accusation = self.hear_sender(now, from, &message, &mut effects);
        self.compare_views(now, from, message.view, &mut effects);
        self.act_on(now, from, message.body, accusation, &mut effects);
        self.finish(effects)
    }

    /// Gives what one call has come to; whoever came up is probed from now on.
    fn finish(&mut self, effects: Effects) -> (Packets, Vec<MembershipEvent>) {
        for news in &effects.news {
            if let MembershipEvent::Up(member) = news {
                let live = self.table.live().len();
                self.failure_detector
                    .greet_or_add(member.address, live, &mut self.rng);
            }
        }
        (effects.packets, effects.news)
    }

    /// Says that this process leaves.
    pub fn leave(&mut self, now: Micros) -> Packets {
        /// So many are told; they pass it on.
        const TOLD: usize = 8;
        let mut effects = Effects::default();
        for to in self.some_live(TOLD, None) {
            let left = Update::brief(&self.me, ReportedState::Left);
            self.send(now, to, Body::Gossip(vec![left]), &mut effects);
        }
        self.is_leaving = true;
        effects.packets
    }

    /// All that is known, this process first.
    pub fn all(&self) -> Vec<(Member, Liveness)> {
        let others = self
            .table
            .iter()
            .filter(|(member, _)| member.address != self.me.address);
        let others = others.map(|(member, standing)| (member.clone(), standing));
        std::iter::once((self.me.clone(), Liveness::Up))
            .chain(others)
            .collect()
    }

    /// Those that are up, this process included, in an order that is the same at all of them.
    pub fn up(&self) -> Vec<&Member> {
        let mut up: Vec<&Member> = self.iter_up().collect();
        up.sort_by(|a, b| (&a.name, a.address).cmp(&(&b.name, b.address)));
        up
    }

    /// The same in no order.
    pub fn iter_up(&self) -> impl Iterator<Item = &Member> {
        let others = self
            .table
            .live()
            .iter()
            .filter_map(|address| self.table.get(*address));
        std::iter::once(&self.me).chain(others.map(|held| &held.member))
    }

    /// The place of this process in the order of [`Membership::up`], from 0.
    pub fn rank(&self) -> usize {
        let own = (&self.me.name, self.me.address);
        self.iter_up()
            .filter(|member| (&member.name, member.address) < own)
            .count()
    }

    /// How many processes the fleet has: those that are up, or what others have told while this
    /// process has not yet heard of all. One that starts must not take a larger part of what
    /// all share than is its own.
    pub fn fleet_size(&self) -> usize {
        let up = self.table.live().len() + 1;
        up.max(self.synchronization.told_size())
    }

    /// Whether this process has heard of all that another knew.
    pub fn is_caught_up(&self) -> bool {
        self.synchronization.is_caught_up()
    }

    /// Claims that were not taken.
    pub fn refused(&self) -> RejectedUpdates {
        self.table.refused
    }

    /// The later life of another process that has this one's name.
    pub fn rival(&self) -> Option<&Member> {
        let is_rival = |member: &&Member| {
            member.name == self.me.name
                && member.address != self.me.address
                && (member.birth(), member.refutations) > (self.me.birth(), self.me.refutations)
        };
        self.iter_up().find(is_rival)
    }

    // ---- what is heard ----

    /// Learns from who has sent a message; gives what is to be told to a sender that is suspected,
    /// or was given up.
    fn hear_sender(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: &Message,
        effects: &mut Effects,
    ) -> Option<Update> {
        if let Some(member) = message
            .introduction
            .as_ref()
            .filter(|member| member.address == from)
        {
            let verdict = self.learn(now, Update::Full(member.clone()), effects);
            if verdict == Verdict::New && self.table.live().len() == 1 {
                self.first_is_known(now);
            }
            if verdict == Verdict::Outranked {
                self.correct(now, from, member, effects);
            }
        }
        let held = self
            .table
            .get(from)
            .filter(|held| held.member.tag() == message.incarnation);
        let refuted = held.is_some_and(|held| held.member.refutations < message.refutations);
        // What this process takes back at once, others may believe still.
        let accusation = held
            .filter(|_| !refuted)
            .and_then(|held| held.accusation(now));
        let times = (now, now + self.suspicion_time());
        let sender = (from, message.incarnation);
        let verdict = self
            .table
            .heard(sender, message.refutations, times, &mut effects.news);
        match verdict {
            // Others may not hear it themselves.
            Verdict::Changed if refuted => self.dissemination.push(Update::Brief {
                address: from,
                incarnation: message.incarnation,
                refutations: message.refutations,
                claim: ReportedState::Alive,
            }),
            // One that answers with entries is among them.
            Verdict::Unknown
                if message.introduction.is_none()
                    && !matches!(message.body, Body::WhoAreYou | Body::Entries(_)) =>
            {
                self.send(now, from, Body::WhoAreYou, effects);
                return None;
            }
            _ => {}
        }
        accusation
    }

    fn act_on(
        &mut self,
        now: Micros,
        from: SocketAddr,
        body: Body,
        accusation: Option<Update>,
        effects: &mut Effects,
    ) {
        let mut accusation = accusation;
        match body {
            Body::Ping { sequence, updates } => {
                self.learn_all(now, updates, effects);
                let updates = accusation
                    .take()
                    .into_iter()
                    .chain(self.piggyback(now))
                    .collect();
                self.send(now, from, Body::Ack { sequence, updates }, effects);
            }
            Body::PingRequest { sequence, target } => {
                self.ping_for(now, (from, sequence), target, effects)
            }
            Body::Ack { sequence, updates } => {
                self.learn_all(now, updates, effects);
                self.acknowledged(now, sequence, effects);
            }
            Body::Gossip(updates) => self.learn_all(now, updates, effects),
            Body::WhoAreYou => {
                self.introduced_until = self.introduced_until.max(now + MS);
                self.send(now, from, Body::Gossip(Vec::new()), effects);
            }
            Body::Buckets(buckets) => self.answer_buckets(now, from, &buckets, effects),
            Body::Compare(compare) => self.answer_compare(now, from, &compare, effects),
            Body::Entries(entries) => self.take_entries(now, from, entries, effects),
        }
        if let Some(update) = accusation {
            self.send(now, from, Body::Gossip(vec![update]), effects);
        }
    }

    fn learn_all(&mut self, now: Micros, updates: Vec<Update>, effects: &mut Effects) {
        for update in updates {
            self.learn(now, update, effects);
        }
    }

    /// Takes in what another says of a member, and passes it on if it is new.
    fn learn(&mut self, now: Micros, update: Update, effects: &mut Effects) -> Verdict {
        if update.address() == self.me.address {
            self.hear_of_self(now, &update);
            return Verdict::Same;
        }
        let times = (now, now + self.suspicion_time());
        let news = &mut effects.news;
        let verdict = match update.clone() {
            Update::Full(member) => self.table.claim(member, ReportedState::Alive, times, news),
            Update::Brief {
                address,
                incarnation,
                refutations,
                claim,
            } => self
                .table
                .claim_brief((address, incarnation), (refutations, claim), times, news),
        };
        match (verdict, update) {
            // While this process catches up, most that is new to it is not new to others.
            (Verdict::New, update) if self.is_caught_up() => self.dissemination.push(update),
            (Verdict::Changed, Update::Full(member)) => {
                self.dissemination
                    .push(Update::brief(&member, ReportedState::Alive));
            }
            (
                Verdict::Changed,
                Update::Brief {
                    address,
                    incarnation,
                    refutations,
                    claim,
                },
            ) => {
                let is_given_up = claim == ReportedState::Dead;
                if is_given_up {
                    self.failure_detector.probe_next(address);
                }
                let claim = if is_given_up {
                    ReportedState::Suspect
                } else {
                    claim
                };
                self.dissemination.push(Update::Brief {
                    address,
                    incarnation,
                    refutations,
                    claim,
                });
            }
            _ => {}
        }
        verdict
    }

    /// Tells the sender of an outranked life what is held in its place.
    fn correct(
        &mut self,
        now: Micros,
        from: SocketAddr,
        outranked: &Member,
        effects: &mut Effects,
    ) {
        let Some(held) = self.table.get(outranked.address) else {
            return;
        };
        if held.member.birth() != outranked.birth() {
            let update = Update::Full(held.member.clone());
            self.send(now, from, Body::Gossip(vec![update]), effects);
        }
    }

    /// Refutes what is said of this process, if it is not so.
    fn hear_of_self(&mut self, now: Micros, update: &Update) {
        match update {
            Update::Brief {
                incarnation,
                refutations,
                claim: ReportedState::Suspect | ReportedState::Dead,
                ..
            } if *incarnation == self.me.tag() && *refutations >= self.me.refutations => {
                self.me.refutations = refutations.saturating_add(1);
                self.table.set_own(&self.me);
                self.dissemination
                    .push(Update::brief(&self.me, ReportedState::Alive));
            }
            Update::Full(member) if member.birth() > self.me.birth() => self.outbid(now, member),
            _ => {}
        }
    }

    /// Another life holds this process's address, and claims to have started later: an earlier life
    /// whose clock was ahead. The life that is at the address is this one.
    fn outbid(&mut self, now: Micros, other: &Member) {
        if self.reborn_at.is_some_and(|at| now < at + REBORN_EVERY)
            || !self.table.is_believable(other)
        {
            return;
        }
        self.reborn_at = Some(now);
        self.me.started_ms = other.started_ms + 1;
        self.me.refutations = 0;
        self.table.set_own(&self.me);
        self.introduced_until = now + INTRODUCES_FOR;
        self.dissemination.push(Update::Full(self.me.clone()));
    }

    // ---- what is sent ----

    fn send(&mut self, now: Micros, to: SocketAddr, body: Body, effects: &mut Effects) {
        let introduces =
            now < self.introduced_until && !matches!(body, Body::WhoAreYou | Body::Entries(_));
        let message = Message {
            incarnation: self.me.tag(),
            refutations: self.me.refutations,
            view: self.table.view(),
            introduction: introduces.then(|| self.me.clone()),
            body,
        };
        self.sending.spend(now, message.size() + HEAD_BYTES);
        effects.packets.push((to, message));
    }

    /// Some of those that are up, each another, by chance.
    fn some_live(&mut self, most: usize, but: Option<SocketAddr>) -> Vec<SocketAddr> {
        let live = self.table.live();
        let places = rand::seq::index::sample(&mut self.rng, live.len(), live.len().min(most + 1));
        places
            .into_iter()
            .map(|at| live[at])
            .filter(|address| Some(*address) != but)
            .take(most)
            .collect()
    }
}
