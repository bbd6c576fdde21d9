//! Who is up, by SWIM with suspicion and refutation. The protocol is the library `foca`'s; what stands here is who a member
//! is, whom to ask first, and what two of one name mean.

use foca::{Foca, Identity, NoCustomBroadcast, Notification, PostcardCodec, Runtime, State, Timer};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

/// A time on the process's own clock, in microseconds.
pub type Micros = dewrun_budgets::Micros;

/// One process, in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    /// The site it stands in; empty if none is told.
    pub site: String,
    /// When it started, in Unix milliseconds, by its own clock.
    pub started_ms: u64,
    /// A number that no other life has.
    pub life: u64,
    /// How often it came back after it was thought to be down.
    pub renewed: u32,
}

impl Member {
    /// What tells the later of two lives.
    fn incarnation(&self) -> (u64, u64, u32) {
        (self.started_ms, self.life, self.renewed)
    }

    fn somebody_at(address: SocketAddr) -> Member {
        Member { address, name: String::new(), site: String::new(), started_ms: 0, life: 0, renewed: 0 }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        Some(Member { renewed: self.renewed.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Member) -> bool {
        self.incarnation() > adversary.incarnation()
    }
}

/// How a member is doing, as far as it is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It answers.
    Up,
    /// It does not, and has not said otherwise yet.
    Suspected,
    /// It has left, or is taken for dead.
    Left,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// One came up.
    Up(Member),
    /// One has left, or is taken for dead.
    Down(Member),
}

#[derive(Default)]
struct Outbox {
    packets: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Member>)>,
    news: Vec<News>,
}

impl Runtime<Member> for &mut Outbox {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.news.push(News::Up(member.clone())),
            Notification::MemberDown(member) => self.news.push(News::Down(member.clone())),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.packets.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((after, event));
    }
}

struct Due(Micros, u64, Timer<Member>);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// How often those of the file that are not up are asked.
const ANNOUNCE: Micros = 500_000;
/// The most members that are kept account of, those that have left included.
const MEMBERS_MOST: usize = 10_000;

/// See the module's text.
pub struct Members {
    foca: Foca<Member, PostcardCodec, Xoshiro256PlusPlus, NoCustomBroadcast>,
    seeds: Vec<SocketAddr>,
    timers: BinaryHeap<Reverse<Due>>,
    next: u64,
    announce_at: Micros,
    at: usize,
}

/// What is to be sent, to whom.
pub type Packets = Vec<(SocketAddr, Vec<u8>)>;

impl Members {
    /// A process that starts now and asks these first.
    pub fn new(now: Micros, me: Member, seeds: &[SocketAddr], seed: u64) -> Members {
        let size = NonZeroU32::new(seeds.len().max(8) as u32).unwrap_or(NonZeroU32::MIN);
        let mut config = foca::Config::new_lan(size);
        config.probe_rtt = Duration::from_millis(300);
        // One that left keeps its place for as long as news of it may be on its way.
        config.remove_down_after = Duration::from_secs(120);
        if let Some(params) = &mut config.periodic_announce_to_down_members {
            params.frequency = Duration::from_secs(5);
        }
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Members {
            foca: Foca::new(me, config, rng, PostcardCodec),
            seeds: seeds.to_vec(),
            timers: BinaryHeap::new(),
            next: 0,
            announce_at: now,
            at: 0,
        }
    }

    /// This process.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// Those that are asked first, from another file.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Takes the members' part of a packet in. What can't be read changes nothing.
    pub fn take(&mut self, now: Micros, bytes: &[u8]) -> (Packets, Vec<News>) {
        if self.foca.iter_membership_state().len() >= MEMBERS_MOST {
            // A fleet this large is none; what is known stays.
            return (Vec::new(), Vec::new());
        }
        let mut out = Outbox::default();
        // An error says that the bytes were no good, and no more.
        let _ = self.foca.handle_data(bytes, &mut out);
        self.carry(now, out)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) -> (Packets, Vec<News>) {
        let mut out = Outbox::default();
        while self.timers.peek().is_some_and(|Reverse(due)| due.0 <= now) {
            let Some(Reverse(Due(_, _, timer))) = self.timers.pop() else { break };
            let _ = self.foca.handle_timer(timer, &mut out);
        }
        if now >= self.announce_at {
            self.announce_at = now + ANNOUNCE;
            let own = self.me().address;
            let up: Vec<SocketAddr> = self.foca.iter_members().map(|m| m.id().address).collect();
            let missing = self.seeds.iter().filter(|seed| **seed != own && !up.contains(seed));
            let missing: Vec<SocketAddr> = missing.copied().collect();
            // All of them while nobody is known, and else in turn.
            let asked = if up.is_empty() { missing.len() } else { 1.min(missing.len()) };
            for n in 0..asked {
                let seed = missing[(self.at + n) % missing.len()];
                let _ = self.foca.announce(Member::somebody_at(seed), &mut out);
            }
            self.at = self.at.wrapping_add(asked);
        }
        self.carry(now, out)
    }

    /// Says that this process leaves.
    pub fn leave(&mut self, now: Micros) -> Packets {
        let mut out = Outbox::default();
        let _ = self.foca.leave_cluster(&mut out);
        self.carry(now, out).0
    }

    fn carry(&mut self, now: Micros, out: Outbox) -> (Packets, Vec<News>) {
        for (after, timer) in out.timers {
            self.next += 1;
            self.timers.push(Reverse(Due(now + after.as_micros() as Micros, self.next, timer)));
        }
        (out.packets, out.news)
    }

    /// All that is known, this process first.
    pub fn all(&self) -> Vec<(Member, Standing)> {
        let me = (self.me().clone(), Standing::Up);
        let others = self.foca.iter_membership_state().filter(|m| m.id().address != self.me().address);
        let standing = |state| match state {
            State::Alive => Standing::Up,
            State::Suspect => Standing::Suspected,
            State::Down => Standing::Left,
        };
        std::iter::once(me).chain(others.map(|m| (m.id().clone(), standing(m.state())))).collect()
    }

    /// Those that are up, this process included, in an order that is the same at all of them.
    pub fn up(&self) -> Vec<&Member> {
        let mut up: Vec<&Member> = self.foca.iter_members().map(|m| m.id()).collect();
        up.push(self.me());
        up.sort_by(|a, b| (&a.name, a.address).cmp(&(&b.name, b.address)));
        up
    }

    /// The later life of another process that has this one's name.
    pub fn rival(&self) -> Option<&Member> {
        let me = self.me();
        let same = |m: &&Member| m.name == me.name && m.address != me.address;
        self.foca.iter_members().map(|m| m.id()).filter(same).find(|m| m.incarnation() > me.incarnation())
    }
}
