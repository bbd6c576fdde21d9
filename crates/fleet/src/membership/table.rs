//! What is known of every member: which claims outrank which, digests of all that is up, and what
//! is remembered of the dead.

use super::member::{IncarnationTag, Liveness, Member, MembershipEvent};
use super::message::{Compare, ReportedState, Update};
use super::Micros;
use rand::Rng;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// Into how many parts the members are divided by their addresses, to find differences in one of
/// them.
pub(super) const BUCKETS: usize = 64;
/// The most members that are kept account of, the dead included.
pub(super) const MEMBERS_MOST: usize = 10_000;
/// The most live members of one name: two lives of a process may be seen at once, a thousand are a
/// fault.
const OF_ONE_NAME_MOST: u16 = 16;
/// The longest name, of a member or a site, in bytes.
const NAME_MOST: usize = 128;
/// The last moment that a member may claim to have started at: the year 2100, in Unix milliseconds.
const STARTED_MOST: u64 = 4_102_444_800_000;
/// For how long a member that was given up stays so against the word of others that it is up, in
/// the same incarnation. All that hear of a death act on it within this time; who names the member
/// as up later has heard of it since.
pub(super) const DEAD_FOR_CERTAIN: Micros = 60_000_000;
/// How long one has that another has given up: the other has waited for its refutation already, and
/// this process asks it itself.
const GIVEN_UP_ELSEWHERE: Micros = 2_000_000;
/// For how long a member that was given up is remembered, to be asked again, and one that has left.
const DEAD_KEPT: Micros = 24 * 3_600_000_000;
const LEFT_KEPT: Micros = 3_600_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Alive,
    /// Given up at this time unless it refutes that before.
    Suspect(Micros),
    /// Given up at this time.
    Dead(Micros),
    /// It said at this time that it leaves.
    Left(Micros),
}

impl State {
    pub(super) fn is_up(self) -> bool {
        matches!(self, State::Alive | State::Suspect(_))
    }

    fn standing(self) -> Liveness {
        match self {
            State::Alive => Liveness::Up,
            State::Suspect(_) => Liveness::Suspected,
            State::Dead(_) | State::Left(_) => Liveness::Left,
        }
    }
}

pub(super) struct Held {
    pub(super) member: Member,
    pub(super) state: State,
    /// A hash of address, life and incarnation.
    hash: u64,
    bucket: usize,
    /// Its place among those that are up.
    place: usize,
}

impl Held {
    /// What is to be told of it to one who thinks that it is up, if anything. That it was given up
    /// long ago is forgotten by all who hear otherwise, so it needs no refutation.
    pub(super) fn accusation(&self, now: Micros) -> Option<Update> {
        let claim = match self.state {
            State::Alive => return None,
            State::Suspect(_) => ReportedState::Suspect,
            State::Dead(at) if now >= at + DEAD_FOR_CERTAIN => return None,
            State::Dead(_) => ReportedState::Dead,
            State::Left(_) => ReportedState::Left,
        };
        Some(Update::brief(&self.member, claim))
    }
}

/// What came of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is about a life that was not known, which is taken in.
    New,
    /// It changes what is held of a known life.
    Changed,
    /// Nothing new.
    Same,
    /// What is held is newer.
    Outranked,
    /// It is about a life that is not known, and does not say enough of it.
    Unknown,
    /// It can't be: see [`RejectedUpdates`].
    RejectedUpdates,
}

/// Claims that were not taken, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedUpdates {
    /// An address to which no packet can be sent.
    pub address: u64,
    /// A name that is too long, or that too many live members have.
    pub name: u64,
    /// A life from the far future.
    pub future: u64,
    /// There was no room.
    pub room: u64,
}

pub(super) struct Table {
    own: SocketAddr,
    held: FxHashMap<SocketAddr, Held>,
    /// The others that are up, in no order.
    live: Vec<SocketAddr>,
    /// All that are up, this process included.
    buckets: Vec<Vec<SocketAddr>>,
    digests: [u64; BUCKETS],
    /// How many of those that are up have a name, by its hash.
    names: FxHashMap<u64, u16>,
    suspicions: BTreeSet<(Micros, SocketAddr)>,
    dead: usize,
    pub(super) refused: RejectedUpdates,
}

impl Table {
    pub(super) fn new(me: &Member) -> Table {
        let mut table = Table {
            own: me.address,
            held: FxHashMap::default(),
            live: Vec::new(),
            buckets: vec![Vec::new(); BUCKETS],
            digests: [0; BUCKETS],
            names: FxHashMap::default(),
            suspicions: BTreeSet::new(),
            dead: 0,
            refused: RejectedUpdates::default(),
        };
        table.insert(me.clone(), State::Alive);
        table
    }

    pub(super) fn get(&self, address: SocketAddr) -> Option<&Held> {
        self.held.get(&address)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Member, Liveness)> {
        self.held
            .values()
            .map(|held| (&held.member, held.state.standing()))
    }

    /// The others that are up.
    pub(super) fn live(&self) -> &[SocketAddr] {
        &self.live
    }

    pub(super) fn is_up(&self, address: SocketAddr) -> bool {
        self.held
            .get(&address)
            .is_some_and(|held| held.state.is_up())
    }

    /// A digest of all that is up, this process included.
    pub(super) fn view(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |sum, digest| sum.wrapping_mul(3).wrapping_add(*digest))
    }

    /// What this process says of itself has changed.
    pub(super) fn set_own(&mut self, me: &Member) {
        self.remove(self.own);
        self.insert(me.clone(), State::Alive);
    }

    /// Takes in a claim about a member that is told in full.
    pub(super) fn claim(
        &mut self,
        member: Member,
        claim: ReportedState,
        (now, give_up_at): (Micros, Micros),
        news: &mut Vec<MembershipEvent>,
    ) -> Verdict {
        let address = member.address;
        if let Some(held) = self.held.get(&address) {
            if held.member.birth() == member.birth() {
                return self.claim_of_known(
                    address,
                    (member.refutations, claim),
                    (now, give_up_at),
                    news,
                );
            }
            if held.member.birth() > member.birth() {
                return Verdict::Outranked;
            }
        }
        if matches!(claim, ReportedState::Dead | ReportedState::Left) {
            return Verdict::Unknown;
        }
        if !self.may_enter(&member) {
            return Verdict::RejectedUpdates;
        }
        if let Some(before) = self.remove(address) {
            if before.state.is_up() {
                news.push(MembershipEvent::Down(before.member));
            }
        }
        news.push(MembershipEvent::Up(member.clone()));
        let state = if claim == ReportedState::Alive {
            State::Alive
        } else {
            State::Suspect(give_up_at)
        };
        self.insert(member, state);
        Verdict::New
    }

    /// Takes in a claim about a life that should be known.
    pub(super) fn claim_brief(
        &mut self,
        (address, incarnation): (SocketAddr, IncarnationTag),
        claim: (u32, ReportedState),
        times: (Micros, Micros),
        news: &mut Vec<MembershipEvent>,
    ) -> Verdict {
        match self.held.get(&address) {
            Some(held) if held.member.tag() == incarnation => {
                self.claim_of_known(address, claim, times, news)
            }
            _ => Verdict::Unknown,
        }
    }

    /// Takes in that a member itself was heard: the best evidence that there is, for this process.
    pub(super) fn heard(
        &mut self,
        (address, incarnation): (SocketAddr, IncarnationTag),
        refutations: u32,
        times: (Micros, Micros),
        news: &mut Vec<MembershipEvent>,
    ) -> Verdict {
        let Some(held) = self
            .held
            .get(&address)
            .filter(|held| held.member.tag() == incarnation)
        else {
            return Verdict::Unknown;
        };
        let known = held.member.refutations;
        if refutations == known && matches!(held.state, State::Suspect(_) | State::Dead(_)) {
            self.change(address, refutations, State::Alive, news);
            return Verdict::Changed;
        }
        self.claim_of_known(address, (refutations, ReportedState::Alive), times, news)
    }

    fn claim_of_known(
        &mut self,
        address: SocketAddr,
        (refutations, claim): (u32, ReportedState),
        (now, give_up_at): (Micros, Micros),
        news: &mut Vec<MembershipEvent>,
    ) -> Verdict {
        let Some(held) = self.held.get(&address) else {
            return Verdict::Unknown;
        };
        let claimed = match claim {
            ReportedState::Alive => State::Alive,
            ReportedState::Suspect => State::Suspect(give_up_at),
            ReportedState::Dead => State::Suspect(give_up_at.min(now + GIVEN_UP_ELSEWHERE)),
            ReportedState::Left => State::Left(now),
        };
        let known = held.member.refutations;
        let next = match (held.state, claim) {
            (State::Left(_), ReportedState::Left) => return Verdict::Same,
            (State::Left(_), _) => return Verdict::Outranked,
            (_, ReportedState::Left) => claimed,
            (_, ReportedState::Alive) if refutations < known => return Verdict::Outranked,
            _ if refutations < known => return Verdict::Same,
            _ if refutations > known => claimed,
            (State::Dead(at), ReportedState::Alive) if now < at + DEAD_FOR_CERTAIN => {
                return Verdict::Outranked
            }
            (State::Dead(_), ReportedState::Alive)
            | (State::Alive, ReportedState::Suspect | ReportedState::Dead) => claimed,
            _ => return Verdict::Same,
        };
        self.change(address, refutations.max(known), next, news);
        Verdict::Changed
    }

    /// Gives up those that have not refuted their suspicion in time.
    pub(super) fn give_up_due(&mut self, now: Micros, news: &mut Vec<MembershipEvent>) {
        while let Some((at, address)) = self
            .suspicions
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            self.suspicions.remove(&(at, address));
            let Some(held) = self.held.get(&address) else {
                continue;
            };
            if held.state == State::Suspect(at) {
                let refutations = held.member.refutations;
                self.change(address, refutations, State::Dead(now), news);
            }
        }
    }

    /// When the next suspicion ends.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.suspicions.first().map(|(at, _)| *at)
    }

    /// Gives all that are suspected until this time: this process could not hear them meanwhile.
    pub(super) fn extend_suspicions(&mut self, until: Micros) {
        for (at, address) in std::mem::take(&mut self.suspicions) {
            if let Some(held) = self
                .held
                .get_mut(&address)
                .filter(|held| held.state == State::Suspect(at))
            {
                held.state = State::Suspect(until);
                self.suspicions.insert((until, address));
            }
        }
    }

    /// Forgets the dead after a long time.
    pub(super) fn forget_old(&mut self, now: Micros) {
        let is_old = |held: &&Held| match held.state {
            State::Dead(at) => now >= at + DEAD_KEPT,
            State::Left(at) => now >= at + LEFT_KEPT,
            State::Alive | State::Suspect(_) => false,
        };
        let old: Vec<SocketAddr> = self
            .held
            .values()
            .filter(is_old)
            .map(|held| held.member.address)
            .collect();
        for address in old {
            self.remove(address);
        }
    }

    /// One of those that were given up, by chance.
    pub(super) fn random_dead(&self, rng: &mut impl Rng) -> Option<&Held> {
        if self.dead == 0 {
            return None;
        }
        let nth = rng.random_range(0..self.dead);
        self.held
            .values()
            .filter(|held| matches!(held.state, State::Dead(_)))
            .nth(nth)
    }

    /// Digests of the buckets. Without a salt of their own a member whose hash begins with two zero
    /// bytes would change none of them, and never be missed.
    pub(super) fn bucket_digests(&self, salt: u64) -> Vec<[u8; 2]> {
        self.digests
            .iter()
            .map(|digest| ((salted(*digest, salt) >> 48) as u16).to_le_bytes())
            .collect()
    }

    /// Fingerprints of all that are up in a bucket.
    pub(super) fn fingerprints(&self, bucket: usize, salt: u64) -> Vec<u8> {
        self.in_bucket(bucket)
            .map(|held| fingerprint(held.hash, salt))
            .collect()
    }

    /// How many are up in a bucket.
    pub(super) fn bucket_len(&self, bucket: usize) -> usize {
        self.buckets[bucket].len()
    }

    /// Whom the sender of fingerprints lacks, and in which buckets (a bit each) it holds what is
    /// lacking here.
    pub(super) fn compare(&self, theirs: &Compare) -> (Vec<SocketAddr>, u64) {
        let (mut they_lack, mut we_lack) = (Vec::new(), 0);
        for (bucket, known) in theirs.by_bucket() {
            let mut matched = 0;
            for held in self.in_bucket(bucket) {
                if known.contains(&fingerprint(held.hash, theirs.salt)) {
                    matched += 1;
                } else {
                    they_lack.push(held.member.address);
                }
            }
            if matched < known.len() {
                we_lack |= 1 << bucket;
            }
        }
        (they_lack, we_lack)
    }

    fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = &Held> {
        self.buckets[bucket]
            .iter()
            .filter_map(|address| self.held.get(address))
    }

    /// Whether a member can have started when it says, and one that starts after it can say so too.
    pub(super) fn is_believable(&self, member: &Member) -> bool {
        member.started_ms < STARTED_MOST
    }

    fn may_enter(&mut self, member: &Member) -> bool {
        let refused = &mut self.refused;
        if !is_reachable(member.address) {
            refused.address += 1;
            return false;
        }
        if member.started_ms > STARTED_MOST {
            refused.future += 1;
            return false;
        }
        let of_its_name = self
            .names
            .get(&name_hash(&member.name))
            .copied()
            .unwrap_or_default();
        if member.name.len() > NAME_MOST
            || member.site.len() > NAME_MOST
            || of_its_name >= OF_ONE_NAME_MOST
        {
            refused.name += 1;
            return false;
        }
        if self.held.len() >= MEMBERS_MOST
            && !self.held.contains_key(&member.address)
            && !self.make_room()
        {
            self.refused.room += 1;
            return false;
        }
        true
    }

    /// Forgets the one that is dead, or has left, for the longest time.
    fn make_room(&mut self) -> bool {
        let gone = |held: &Held| match held.state {
            State::Dead(at) | State::Left(at) => Some((at, held.member.address)),
            State::Alive | State::Suspect(_) => None,
        };
        let oldest = self.held.values().filter_map(gone).min();
        oldest.is_some_and(|(_, address)| self.remove(address).is_some())
    }

    fn change(
        &mut self,
        address: SocketAddr,
        refutations: u32,
        state: State,
        news: &mut Vec<MembershipEvent>,
    ) {
        let Some(mut before) = self.remove(address) else {
            return;
        };
        before.member.refutations = refutations;
        match (before.state.is_up(), state.is_up()) {
            (false, true) => news.push(MembershipEvent::Up(before.member.clone())),
            (true, false) => news.push(MembershipEvent::Down(before.member.clone())),
            _ => {}
        }
        self.insert(before.member, state);
    }

    fn insert(&mut self, member: Member, state: State) {
        let address = member.address;
        let (hash, bucket) = (member_hash(&member), bucket_of(address));
        if state.is_up() {
            self.buckets[bucket].push(address);
            self.digests[bucket] = self.digests[bucket].wrapping_add(hash);
            *self.names.entry(name_hash(&member.name)).or_default() += 1;
            if address != self.own {
                self.live.push(address);
            }
        }
        match state {
            State::Suspect(until) => {
                self.suspicions.insert((until, address));
            }
            State::Dead(_) => self.dead += 1,
            State::Alive | State::Left(_) => {}
        }
        let place = self.live.len().saturating_sub(1);
        self.held.insert(
            address,
            Held {
                member,
                state,
                hash,
                bucket,
                place,
            },
        );
    }

    fn remove(&mut self, address: SocketAddr) -> Option<Held> {
        let held = self.held.remove(&address)?;
        if held.state.is_up() {
            self.buckets[held.bucket].retain(|other| *other != address);
            self.digests[held.bucket] = self.digests[held.bucket].wrapping_sub(held.hash);
            let name = name_hash(&held.member.name);
            if let Some(count) = self.names.get_mut(&name) {
                *count -= 1;
                if *count == 0 {
                    self.names.remove(&name);
                }
            }
            if address != self.own {
                self.live.swap_remove(held.place);
                if let Some(moved) = self
                    .live
                    .get(held.place)
                    .and_then(|moved| self.held.get_mut(moved))
                {
                    moved.place = held.place;
                }
            }
        }
        match held.state {
            State::Suspect(until) => {
                self.suspicions.remove(&(until, address));
            }
            State::Dead(_) => self.dead -= 1,
            State::Alive | State::Left(_) => {}
        }
        Some(held)
    }
}

impl Compare {
    /// Whether the sender knows nobody yet.
    pub(super) fn is_of_newcomer(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// The fingerprints with the number of their bucket; nothing if the message contradicts itself.
    fn by_bucket(&self) -> impl Iterator<Item = (usize, &[u8])> {
        let is_newcomer = self.is_of_newcomer();
        let is_sound = is_newcomer || self.buckets.count_ones() as usize == self.fingerprints.len();
        let meant =
            (0..BUCKETS).filter(move |bucket| is_sound && self.buckets & (1 << bucket) != 0);
        meant.enumerate().map(|(at, bucket)| {
            (
                bucket,
                self.fingerprints.get(at).map_or(&[][..], Vec::as_slice),
            )
        })
    }
}

/// Whether packets can be sent to an address of one receiver.
fn is_reachable(address: SocketAddr) -> bool {
    let one = match address.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
        IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
    };
    one && address.port() != 0
}

/// The same at all processes, as digests are compared among them.
fn member_hash(member: &Member) -> u64 {
    let mut bytes = [0; 38];
    bytes[..18].copy_from_slice(&address_bytes(member.address));
    bytes[18..26].copy_from_slice(&member.started_ms.to_le_bytes());
    bytes[26..34].copy_from_slice(&member.incarnation.to_le_bytes());
    bytes[34..].copy_from_slice(&member.refutations.to_le_bytes());
    first_of_hash(&bytes)
}

fn bucket_of(address: SocketAddr) -> usize {
    first_of_hash(&address_bytes(address)) as usize % BUCKETS
}

fn name_hash(name: &str) -> u64 {
    first_of_hash(name.as_bytes())
}

fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let mut bytes = [0; 18];
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}

fn first_of_hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// One byte: of the members that another lacks some are taken for known by chance, and told of the
/// next time, with another salt.
fn fingerprint(hash: u64, salt: u64) -> u8 {
    (salted(hash, salt) >> 56) as u8
}

/// Mixes a hash with a salt, so that the first bits of two hashes agree for few salts alone.
fn salted(hash: u64, salt: u64) -> u64 {
    /// The fraction of the golden ratio, as in Fibonacci hashing.
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    (hash ^ salt).wrapping_mul(MULTIPLIER)
}

#[cfg(test)]
mod tests;
