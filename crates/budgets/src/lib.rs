//! Numbers that a whole fleet must not pass, and what each of its processes may spend of them.
//! Pure: messages in, messages out, with the process's own clock and chance passed in.
//!
//! One process, the grantor, is chosen by a majority of the voters for a while ([`vote`]). It gives
//! each process a share of a whole for a while, a lease ([`grants`], [`holder`]), divided by demand
//! ([`divide`]). The invariant is that at every instant the sum of what all processes believe they
//! may spend is at most the whole. It rests on durations that each process measures on its own
//! monotonic clock and on nothing else: no wall clock, no order of messages, no message that must
//! arrive. `docs/design/budgets.md` says why it holds; the crate's tests check the same code
//! exhaustively, and again with each of its [`Guard`]s taken out.
//!
//! [`core`] puts the parts of one process together, [`node`] says when it speaks, and [`bucket`]
//! spends.

pub mod bucket;
pub mod core;
pub mod divide;
pub mod grants;
pub mod holder;
pub mod node;
pub mod simulate;
pub mod vote;

#[cfg(test)]
mod model;

use serde::{Deserialize, Serialize};

/// An instant on a process's own monotonic clock, in microseconds.
pub type Timestamp = u64;

/// A span of time, in microseconds.
pub type Micros = u64;

/// A part of a whole: thousandths of a request a second for a rate, single ones for what is open at
/// once.
pub type Units = u64;

/// Thousandths of a request that may be spent at once.
pub const TOKEN: Units = 1_000;

/// A part of a whole: of what comes by time or may be open, and of what may be spent at once. The
/// two are divided each by itself: one that is asked for little needs a token all the same.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Share {
    /// Thousandths of a request a second, or what is open.
    pub units: Units,
    /// Thousandths of a request at once; 0 where what is open is counted.
    pub burst: Units,
}

impl Share {
    /// Each of the two by itself.
    pub fn each(self, other: Share, of: impl Fn(Units, Units) -> Units) -> Share {
        Share {
            units: of(self.units, other.units),
            burst: of(self.burst, other.burst),
        }
    }

    /// The lesser of each.
    pub fn min(self, other: Share) -> Share {
        self.each(other, Units::min)
    }

    /// The greater of each.
    pub fn max(self, other: Share) -> Share {
        self.each(other, Units::max)
    }

    /// What is beyond another.
    pub fn beyond(self, other: Share) -> Share {
        self.each(other, Units::saturating_sub)
    }

    /// Whether it has no more of either.
    pub fn is_within(self, other: Share) -> bool {
        self.beyond(other) == Share::default()
    }
}

impl std::ops::Add for Share {
    type Output = Share;

    fn add(self, other: Share) -> Share {
        self.each(other, |a, b| a + b)
    }
}

impl std::iter::Sum for Share {
    fn sum<I: Iterator<Item = Share>>(parts: I) -> Share {
        parts.fold(Share::default(), |a, b| a + b)
    }
}

/// A process as others reach it. Voters have the same at all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId(pub u64);

/// One life of a process: a number that no other life of any process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One term of a grantor. A grantor that lost its majority for a moment needs another epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch {
    /// Rises from one term to the next, as far as the one that chose it knew.
    pub number: u64,
    /// Whose term it is.
    pub by: ProcessId,
    /// In which of its lives.
    pub incarnation: Incarnation,
}

/// How long what is promised holds. Each promise ends sooner for the one who goes by it than for
/// the one who gave it: `hold` is above `lease` and `promise` above `claim` by more than two clocks
/// can differ over that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long a share may be spent, from when it was asked for.
    pub lease: Micros,
    /// How long the grantor counts it, from when it was given.
    pub hold: Micros,
    /// How long a vote serves a grantor, from when it asked for it.
    pub claim: Micros,
    /// How long the voter votes for no other, from when it gave it.
    pub promise: Micros,
}

impl LeaseTimes {
    /// Leases of two seconds; clocks may differ by two parts in a hundred, twice what is asked for.
    pub const USUAL: LeaseTimes = LeaseTimes {
        lease: 2_000_000,
        hold: 2_040_000,
        claim: 1_000_000,
        promise: 1_020_000,
    };
}

/// What a safety claim rests on. The tests take each out in turn and ask that the model then finds
/// a breach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A share ends for its holder before it ends for its grantor.
    LeaseEndsFirst,
    /// A claim to be the grantor ends for it before its votes end for the voters.
    ClaimEndsFirst,
    /// A voter votes for one at a time.
    OneVote,
    /// A voter that started votes only when all that it may have promised before has passed.
    VoterWaits,
    /// A term that lapsed is not revived: the next has another epoch and begins with nothing.
    Epoch,
    /// A new grantor gives nothing beyond what is held already, until all leases before it have
    /// passed.
    Quarantine,
    /// What is held already is renewed only while it is still held.
    RenewsTheLiving,
    /// An answer counts for the last question alone, once.
    LastQuestion,
    /// A share that was made less counts as before until its holder has said that it knows.
    CountsUntilTold,
    /// What a lost process held is waited out.
    WaitsOutTheLost,
    /// Each spending looks at the clock first.
    LooksAtTheClock,
}

impl Guard {
    /// All of them.
    pub const ALL: [Guard; 11] = [
        Guard::LeaseEndsFirst,
        Guard::ClaimEndsFirst,
        Guard::OneVote,
        Guard::VoterWaits,
        Guard::Epoch,
        Guard::Quarantine,
        Guard::RenewsTheLiving,
        Guard::LastQuestion,
        Guard::CountsUntilTold,
        Guard::WaitsOutTheLost,
        Guard::LooksAtTheClock,
    ];
}

/// Which guards stand: all of them, outside of this crate's tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guards {
    #[cfg(test)]
    pub(crate) without: Option<Guard>,
}

impl Guards {
    /// Whether a guard stands.
    #[inline]
    pub fn stands(self, guard: Guard) -> bool {
        #[cfg(test)]
        return self.without != Some(guard);
        #[cfg(not(test))]
        {
            let _ = guard;
            true
        }
    }
}

/// What every call goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// How long promises hold.
    pub terms: LeaseTimes,
    /// What stands.
    pub guards: Guards,
    /// The shortest time from one division of a whole to the next.
    pub divide_every: Micros,
}

impl Rules {
    /// Those of the program.
    pub fn usual() -> Rules {
        Rules {
            terms: LeaseTimes::USUAL,
            guards: Guards::default(),
            divide_every: 20_000,
        }
    }
}
