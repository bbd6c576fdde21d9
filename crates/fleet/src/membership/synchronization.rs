//! Anti-entropy: two processes compare their views, and each sends what the other lacks. Equal
//! views cost eight bytes in messages that go anyway; views that differ are compared by digests of
//! 64 buckets, then by one-byte fingerprints of the members in those that differ, and only entries
//! that are lacking go over in full.
//!
//! A process that starts asks one of the file, and then whom it was told of, until it lacks
//! nothing. How much it asks for, and how much it is given, is paid from the allowances of both.

use super::message::{Body, Buckets, Compare, Entries, Update};
use super::table::{Verdict, BUCKETS};
use super::{Effects, Membership, Micros, HEAD_BYTES, MS, SECOND, SEND_BURST};
use rand::Rng;
use std::net::SocketAddr;

/// How long an answer is waited for before another is asked, where the allowance is spent; where it
/// is ample, half of that. An answer that comes later is taken in all the same.
const ANSWER_WITHIN: Micros = 300 * MS;
/// Between two exchanges while each brings something, while none does, and while none does in a
/// process that starts.
const EVERY_LEAST: Micros = 250 * MS;
const EVERY_MOST: Micros = 3 * SECOND;
const EVERY_STARTING: Micros = 500 * MS;
/// A process that knows fewer members than it was told of after this waits for less than that, down
/// to this part where its allowance is ample: packets are being lost. Before, all may be starting
/// and asking.
const EAGER_AFTER: Micros = 2 * SECOND;
const EAGER_PART_LEAST: f64 = 0.3;
/// After an exchange that was not answered; less where the allowance is ample.
const UNANSWERED_AGAIN: Micros = 500 * MS;
/// After one that left open what differs.
const UNCLEAR_AGAIN: Micros = 500 * MS;
/// An exchange that brought so many entries is followed by the next at once; one that brought fewer
/// is waited after in proportion, for up to [`PAUSE_MOST`], as comparing costs much where little is
/// given; less where the allowance is ample.
const ENTRIES_AMPLE: usize = 100;
const PAUSE_MOST: Micros = 2 * SECOND;
const PAUSE_PART_LEAST: f64 = 0.1;
/// How long another's view may differ before it is compared, in a process that has learned nothing
/// from a comparison of late: what is new is passed on meanwhile.
const PATIENCE: Micros = 1_500 * MS;
const OF_LATE: Micros = 10 * SECOND;
/// A process that starts waits up to this long before it asks.
const START_SPREAD: Micros = 150 * MS;
/// How long one of the file is waited for before the next is asked; each time longer by this
/// factor, up to the most, as all of a large fleet may be asking the few in the file.
const ASK_FILE_FIRST: Micros = 600 * MS;
const ASK_FILE_FACTOR: Micros = 2;
const ASK_FILE_MOST: Micros = 4 * SECOND;
/// Among how many members, drawn by chance, one that is not in the file is looked for.
const PEERS_DRAWN: usize = 4;
const ANY_PEER: f64 = 0.1;
/// To how many of those that a packet of entries has named a process that starts makes itself
/// known.
const GREETED: usize = 2;
const GREETS_FOR: Micros = 2 * SECOND;
/// For how long after its start a process does not take an equal view for a whole one: two that
/// start may know but each other.
const EQUAL_COUNTS_AFTER: Micros = 5 * SECOND;
/// After this a process goes on with what it has.
const CATCH_UP_MOST: Micros = 30 * SECOND;
/// Fingerprints in one packet.
const FINGERPRINTS_MOST: usize = 520;
/// Bytes of entries in one packet, and in one answer.
const PACKET_BYTES: usize = 1_240;
const ANSWER_BYTES: f64 = 11_000.0;
/// The most that is taken in one answer from a process that has begun the comparison itself.
const UNASKED_BYTES: u32 = 6_000;
/// What is left of the allowance for pings and their like.
const RESERVE: f64 = 4_000.0;
/// What is told to one that knows nobody yet: a few entries.
const REFERRAL_BYTES: f64 = 150.0;
const NEWCOMER_RESERVE: f64 = 1_000.0;
/// What has to be left to tell such a one all; and what is left for others in the first moments of
/// a process, when all may start.
const SPONSOR_RESERVE: f64 = 28_000.0;
/// The most that one gives in one answer while it catches up itself, so that many are told
/// something.
const STARTING_BYTES: f64 = 5_000.0;
const STARTING_RESERVE: f64 = 5_000.0;
const START_RESERVE: f64 = 26_000.0;
const START_TIME: Micros = SECOND;
/// What has to be left for a question, more than for an answer, and what has to be left to ask for.
const QUESTION_RESERVE: f64 = 8_000.0;
const ASKED_LEAST: f64 = 1_000.0;
/// Updates in answer to entries that are outranked by what is held.
const CORRECTIONS_MOST: usize = 30;

/// How a comparison with another has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeEnd {
    /// It was answered, and brought so many entries.
    Gained(usize),
    /// The other was silent, or a packet was lost: that says nothing of the other's view.
    Unanswered,
    /// Digests differ, and fingerprints do not: what differs has the fingerprint of another by
    /// chance.
    Unclear,
}

/// What decides how soon the next comparison follows.
struct Pace {
    /// The part of the allowance that is spent.
    spent: f64,
    /// Whether this process starts, and another has told of more members than it knows.
    lacks_some: bool,
    /// By chance, from 0 to 1.
    random: f64,
}

struct Asked {
    peer: SocketAddr,
    until: Micros,
    gained: usize,
    /// Whether all of the view was compared.
    is_whole: bool,
}

/// How far this process has come in comparing its view with others.
pub(super) struct Synchronization {
    asked: Option<Asked>,
    next_at: Micros,
    every: Micros,
    ask_file_again: Micros,
    /// How many entries the last exchange has brought.
    gained_last: usize,
    /// When a comparison last brought something.
    gained_at: Micros,
    differs_since: Option<Micros>,
    is_caught_up: bool,
    started_at: Micros,
    told_size: usize,
}

impl Synchronization {
    /// For a process that starts now; `random` is from 0 to 1.
    pub(super) fn new(now: Micros, random: f64) -> Synchronization {
        Synchronization {
            asked: None,
            next_at: now + (random * START_SPREAD as f64) as Micros,
            every: EVERY_LEAST,
            ask_file_again: ASK_FILE_FIRST,
            gained_last: 0,
            gained_at: now,
            differs_since: None,
            is_caught_up: false,
            started_at: now,
            told_size: 0,
        }
    }

    /// When it has something to do.
    pub(super) fn next_due(&self) -> Micros {
        match &self.asked {
            Some(asked) => asked.until,
            None if self.is_active() => self.next_at,
            None => Micros::MAX,
        }
    }

    /// Whether it goes on by itself; else it waits for a view that differs.
    fn is_active(&self) -> bool {
        !self.is_caught_up || self.every < EVERY_MOST
    }

    pub(super) fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// How many members another has told, while this process has not caught up.
    pub(super) fn told_size(&self) -> usize {
        if self.is_caught_up {
            0
        } else {
            self.told_size
        }
    }

    /// An exchange has ended.
    fn ended(&mut self, now: Micros, end: ExchangeEnd, pace: &Pace) {
        self.asked = None;
        let wait = match end {
            ExchangeEnd::Unclear => UNCLEAR_AGAIN,
            ExchangeEnd::Unanswered => {
                (UNANSWERED_AGAIN as f64 * pace.spent.clamp(PAUSE_PART_LEAST, 1.0)) as Micros
            }
            ExchangeEnd::Gained(0) => {
                let most = if self.is_caught_up {
                    EVERY_MOST
                } else {
                    EVERY_STARTING
                };
                self.every = (2 * self.every).min(most);
                let is_eager = pace.lacks_some && now >= self.started_at + EAGER_AFTER;
                let part = if is_eager {
                    pace.spent.clamp(EAGER_PART_LEAST, 1.0)
                } else {
                    1.0
                };
                (self.every as f64 * part) as Micros
            }
            ExchangeEnd::Gained(gained) => {
                self.every = EVERY_LEAST;
                self.gained_at = now;
                let lean = 1.0 - (gained as f64 / ENTRIES_AMPLE as f64).min(1.0);
                (PAUSE_MOST as f64 * lean * pace.spent.clamp(PAUSE_PART_LEAST, 1.0)) as Micros
            }
        };
        if let ExchangeEnd::Gained(gained) = end {
            self.gained_last = gained;
        }
        self.next_at = now + (wait as f64 * (0.5 + pace.random)) as Micros;
    }
}

impl Membership {
    /// Compares views if it is time.
    pub(super) fn synchronize_due(&mut self, now: Micros, effects: &mut Effects) {
        if let Some(asked) = self
            .synchronization
            .asked
            .take_if(|asked| asked.until <= now)
        {
            let end = if asked.gained > 0 {
                ExchangeEnd::Gained(asked.gained)
            } else {
                ExchangeEnd::Unanswered
            };
            self.exchange_ended(now, end);
        }
        if now >= self.synchronization.started_at + CATCH_UP_MOST {
            self.synchronization.is_caught_up = true;
        }
        if self.synchronization.asked.is_none()
            && self.synchronization.is_active()
            && now >= self.synchronization.next_at
        {
            match self.random_peer() {
                Some(peer) => self.begin_comparison(now, peer, effects),
                None => self.ask_the_file(now, effects),
            }
        }
    }

    /// One of those that are up, by chance; where others are known, seldom one of the file, as all
    /// that start know those.
    fn random_peer(&mut self) -> Option<SocketAddr> {
        let drawn = self.some_live(PEERS_DRAWN, None);
        // Now and then one of the file all the same: what each of them knows has to come to the
        // others.
        let any = self.rng.random_bool(ANY_PEER);
        let other = drawn
            .iter()
            .find(|address| any || !self.seeds.contains(address));
        other.or(drawn.first()).copied()
    }

    /// Nobody is known yet: asks one of the file, by chance.
    fn ask_the_file(&mut self, now: Micros, effects: &mut Effects) {
        let spread = self.rng.random_range(0..START_SPREAD);
        let wait = self.synchronization.ask_file_again;
        self.synchronization.next_at = now + wait + 2 * spread;
        self.synchronization.ask_file_again = (wait * ASK_FILE_FACTOR).min(ASK_FILE_MOST);
        let others: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.me.address)
            .collect();
        if others.is_empty() {
            return;
        }
        let seed = others[self.rng.random_range(0..others.len())];
        let compare = self.compare_of(now, u64::MAX, true);
        self.send(now, seed, Body::Compare(compare), effects);
    }

    /// Looks at the view of one that has sent a message.
    pub(super) fn compare_views(
        &mut self,
        now: Micros,
        from: SocketAddr,
        view: u64,
        effects: &mut Effects,
    ) {
        if !self.table.is_up(from) {
            return;
        }
        let is_equal = view == self.table.view();
        let synchronization = &mut self.synchronization;
        if is_equal {
            synchronization.differs_since = None;
            if now >= synchronization.started_at + EQUAL_COUNTS_AFTER {
                synchronization.is_caught_up = true;
                synchronization.every = EVERY_MOST;
            }
            return;
        }
        let since = *synchronization.differs_since.get_or_insert(now);
        let patience = if now < synchronization.gained_at + OF_LATE {
            0
        } else {
            PATIENCE
        };
        if synchronization.asked.is_none()
            && now >= synchronization.next_at
            && now >= since + patience
        {
            self.begin_comparison(now, from, effects);
        }
    }

    fn exchange_ended(&mut self, now: Micros, end: ExchangeEnd) {
        let pace = Pace {
            spent: self.spent(now),
            lacks_some: self.table.live().len() + 1 < self.synchronization.told_size(),
            random: self.rng.random(),
        };
        self.synchronization.ended(now, end, &pace);
    }

    /// The part of the allowance that is spent.
    fn spent(&mut self, now: Micros) -> f64 {
        1.0 - self.sending.left(now) / SEND_BURST
    }

    fn begin_comparison(&mut self, now: Micros, peer: SocketAddr, effects: &mut Effects) {
        if self.receiving.left(now) < ASKED_LEAST || self.sending.left(now) < QUESTION_RESERVE {
            self.synchronization.next_at = now + EVERY_LEAST;
            return;
        }
        let is_small = self.table.live().len() < FINGERPRINTS_MOST;
        // Where much differs, digests would say no more than that.
        let much_differs = self.synchronization.gained_last >= ENTRIES_AMPLE / 2;
        let until = now + (ANSWER_WITHIN as f64 * (0.5 + 0.5 * self.spent(now))) as Micros;
        self.synchronization.asked = Some(Asked {
            peer,
            until,
            gained: 0,
            is_whole: is_small,
        });
        let body = if is_small || much_differs {
            Body::Compare(self.compare_of(now, u64::MAX, true))
        } else {
            Body::Buckets(self.bucket_digests())
        };
        self.send(now, peer, body, effects);
    }

    fn bucket_digests(&mut self) -> Buckets {
        let salt = self.rng.random();
        Buckets {
            salt,
            digests: self.table.bucket_digests(salt),
        }
    }

    /// Fingerprints of as many of these buckets as go into one packet, beginning with one drawn by
    /// chance.
    fn compare_of(&mut self, now: Micros, buckets: u64, ask_back: bool) -> Compare {
        let first = self.rng.random_range(0..BUCKETS);
        let (mut chosen, mut count) = (0u64, 0);
        for bucket in (first..BUCKETS)
            .chain(0..first)
            .filter(|bucket| buckets & (1 << bucket) != 0)
        {
            count += self.table.bucket_len(bucket) + 1;
            if chosen != 0 && count > FINGERPRINTS_MOST + BUCKETS {
                break;
            }
            chosen |= 1 << bucket;
        }
        let salt = self.rng.random();
        let meant = (0..BUCKETS).filter(|bucket| chosen & (1 << bucket) != 0);
        let is_newcomer = self.table.live().is_empty();
        let fingerprints = if is_newcomer {
            Vec::new()
        } else {
            meant
                .map(|bucket| self.table.fingerprints(bucket, salt))
                .collect()
        };
        let most_bytes = self.receiving.left(now).clamp(0.0, ANSWER_BYTES) as u32;
        Compare {
            salt,
            buckets: chosen,
            fingerprints,
            most_bytes,
            ask_back,
        }
    }

    /// Answers digests with fingerprints of what differs.
    pub(super) fn answer_buckets(
        &mut self,
        now: Micros,
        from: SocketAddr,
        theirs: &Buckets,
        effects: &mut Effects,
    ) {
        let own = self.table.bucket_digests(theirs.salt);
        if theirs.digests.len() != own.len() {
            return;
        }
        let differ = own
            .iter()
            .zip(&theirs.digests)
            .enumerate()
            .filter(|(_, (own, theirs))| own != theirs);
        let differ = differ.fold(0u64, |differ, (bucket, _)| differ | 1 << bucket);
        if differ == 0 {
            self.send_entries(now, from, Vec::new(), 0.0, effects);
        } else if self.sending.left(now) >= QUESTION_RESERVE {
            let mut compare = self.compare_of(now, differ, true);
            // Many may ask one that lacks much, and each would give it all that its allowance has
            // room for.
            compare.most_bytes = compare.most_bytes.min(UNASKED_BYTES);
            self.send(now, from, Body::Compare(compare), effects);
        }
    }

    /// Answers fingerprints with the entries that are not among them, and asks back for what is
    /// lacking here.
    pub(super) fn answer_compare(
        &mut self,
        now: Micros,
        from: SocketAddr,
        compare: &Compare,
        effects: &mut Effects,
    ) {
        let (they_lack, we_lack) = self.table.compare(compare);
        // Silence is cheaper than an empty answer, and sends the other elsewhere.
        let Some(given) = self.answer_bytes(now, compare.is_of_newcomer()) else {
            return;
        };
        let most_bytes = given.min(f64::from(compare.most_bytes));
        let gives = !they_lack.is_empty();
        self.send_entries(now, from, they_lack, most_bytes, effects);
        let is_asked = self
            .synchronization
            .asked
            .as_ref()
            .is_some_and(|asked| asked.peer == from);
        if we_lack != 0
            && compare.ask_back
            && self.receiving.left(now) >= ASKED_LEAST
            && self.sending.left(now) >= QUESTION_RESERVE
        {
            let back = self.compare_of(now, we_lack, false);
            self.send(now, from, Body::Compare(back), effects);
        } else if is_asked && compare.ask_back {
            // This process asked by digests, and the other holds nothing more.
            let end = if gives {
                ExchangeEnd::Gained(0)
            } else {
                ExchangeEnd::Unclear
            };
            self.exchange_ended(now, end);
        }
    }

    /// How many bytes of entries may go into an answer, if there is to be one. One that knows
    /// nobody yet is only told of a few others where many like it may be asking; and where all
    /// start, most of the allowance is for those that can pass on what they are told.
    fn answer_bytes(&mut self, now: Micros, is_of_newcomer: bool) -> Option<f64> {
        let left = self.sending.left(now);
        let (reserve, bytes) = match (is_of_newcomer, self.synchronization.is_caught_up) {
            (true, true) if left < SPONSOR_RESERVE => (NEWCOMER_RESERVE, REFERRAL_BYTES),
            (true, false) if now < self.synchronization.started_at + START_TIME => {
                (START_RESERVE, REFERRAL_BYTES)
            }
            (true, false) => (NEWCOMER_RESERVE, REFERRAL_BYTES),
            (false, false) => (
                STARTING_RESERVE,
                (left - STARTING_RESERVE).min(STARTING_BYTES),
            ),
            _ => (RESERVE, left - RESERVE),
        };
        (left >= reserve + REFERRAL_BYTES).then_some(bytes)
    }

    /// Sends entries, as many as go into so many bytes.
    fn send_entries(
        &mut self,
        now: Micros,
        to: SocketAddr,
        mut addresses: Vec<SocketAddr>,
        most_bytes: f64,
        effects: &mut Effects,
    ) {
        // Each that asks gets others, so that they can go on among themselves; whom it asked goes
        // before.
        if !addresses.is_empty() {
            let first = self.rng.random_range(0..addresses.len());
            addresses.rotate_left(first);
            if let Some(own) = addresses
                .iter()
                .position(|address| *address == self.me.address)
            {
                addresses.swap(0, own);
            }
        }
        let members = self.table.live().len() + 1;
        let mut packet = Entries::new(members);
        let (mut packet_bytes, mut bytes_left, mut all_fit) = (0, most_bytes, true);
        let mut before = None;
        for address in addresses {
            let Some(member) = self.table.get(address).map(|held| held.member.clone()) else {
                continue;
            };
            let mut bytes = packet.cost(&member, before.as_ref());
            if bytes as f64 > bytes_left {
                all_fit = false;
                break;
            }
            if packet_bytes + bytes > PACKET_BYTES {
                let full = std::mem::replace(&mut packet, Entries::new(members));
                self.send(now, to, Body::Entries(full), effects);
                bytes_left -= HEAD_BYTES as f64;
                (packet_bytes, before) = (0, None);
                bytes = packet.cost(&member, None);
            }
            packet.push(&member, before.as_ref());
            packet_bytes += bytes;
            bytes_left -= bytes as f64;
            before = Some(member);
        }
        packet.last = true;
        packet.whole = all_fit && self.synchronization.is_caught_up;
        self.send(now, to, Body::Entries(packet), effects);
    }

    /// Makes this process known to some, while it catches up: they may know nobody yet.
    fn greet(&mut self, now: Micros, named: &[SocketAddr], effects: &mut Effects) {
        if now >= self.synchronization.started_at + GREETS_FOR {
            return;
        }
        // Those of the file are asked by all, and know them.
        let named: Vec<SocketAddr> = named
            .iter()
            .copied()
            .filter(|address| !self.seeds.contains(address))
            .collect();
        let places = rand::seq::index::sample(&mut self.rng, named.len(), named.len().min(GREETED));
        for at in places {
            self.send(now, named[at], Body::Gossip(Vec::new()), effects);
        }
    }

    /// The first other member has come to be known: there is one to ask now.
    pub(super) fn first_is_known(&mut self, now: Micros) {
        self.synchronization.next_at = now;
    }

    /// Takes entries in.
    pub(super) fn take_entries(
        &mut self,
        now: Micros,
        from: SocketAddr,
        entries: Entries,
        effects: &mut Effects,
    ) {
        let (last, whole) = (entries.last, entries.whole);
        self.synchronization.told_size =
            self.synchronization.told_size.max(entries.members as usize);
        let times = (now, now + self.suspicion_time());
        let (mut gained, mut named, mut corrections) = (0, Vec::new(), Vec::new());
        for member in entries.into_members() {
            if member.address == self.me.address {
                self.hear_of_self(now, &Update::Full(member));
                continue;
            }
            let (address, birth) = (member.address, member.birth());
            match self.table.claim(
                member,
                super::ReportedState::Alive,
                times,
                &mut effects.news,
            ) {
                Verdict::New => {
                    gained += 1;
                    named.push(address);
                }
                Verdict::Changed => gained += 1,
                Verdict::Outranked if corrections.len() < CORRECTIONS_MOST => {
                    let held = self.table.get(address);
                    corrections.extend(held.map(|held| match held.accusation(now) {
                        Some(accusation) if held.member.birth() == birth => accusation,
                        _ => Update::Full(held.member.clone()),
                    }));
                }
                _ => {}
            }
        }
        if !corrections.is_empty() {
            self.send(now, from, Body::Gossip(corrections), effects);
        }
        self.greet(now, &named, effects);
        if gained > 0 {
            let synchronization = &mut self.synchronization;
            synchronization.gained_at = now;
            synchronization.every = EVERY_LEAST;
            if synchronization.asked.is_none() && !synchronization.is_caught_up {
                // One of the file has answered: there are others to ask now.
                synchronization.next_at = now;
            }
        }
        let Some(asked) = self
            .synchronization
            .asked
            .as_mut()
            .filter(|asked| asked.peer == from)
        else {
            return;
        };
        asked.gained += gained;
        if last {
            let (gained, is_whole) = (asked.gained, asked.is_whole);
            self.synchronization.is_caught_up |= whole && is_whole;
            self.exchange_ended(now, ExchangeEnd::Gained(gained));
        }
    }
}
