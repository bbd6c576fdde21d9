//! What is played: the fleet, what callers ask of it, and what goes wrong, told in a file or drawn
//! from a seed.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// What is played.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// How many processes there are at the start.
    pub processes: usize,
    /// How many more may be started.
    #[serde(default)]
    pub more: usize,
    /// How many of the first ones vote.
    #[serde(default = "three")]
    pub voters: usize,
    /// How long it lasts.
    pub seconds: f64,
    /// The whole: requests a second.
    pub rate: f64,
    /// And at once.
    pub burst: f64,
    /// What each voter has without a lease.
    #[serde(default)]
    pub floor: f64,
    /// Whether the whole is divided evenly by rank in place of leases, to compare with.
    #[serde(default)]
    pub by_rank: bool,
    /// How many backends there are.
    #[serde(default = "one")]
    pub backends: usize,
    /// How long each takes, in milliseconds.
    #[serde(default)]
    pub answer_ms: u64,
    /// The part of the requests that fail there (500).
    #[serde(default)]
    pub errors: f64,
    /// The fleet's repeats a second, with a burst of as many; without, no request is one that may
    /// be repeated.
    #[serde(default)]
    pub repeats: Option<f64>,
    /// The attempts of the whole fleet at once at each backend.
    #[serde(default)]
    pub each_member: Option<u64>,
    /// Where there are any, requests carry keys, each group of backends (their numbers modulo
    /// this) drops repeats for two seconds, and callers repeat what was not served at the next
    /// process.
    #[serde(default)]
    pub groups: usize,
    /// Whether processes keep what all hold alike in a folder.
    #[serde(default)]
    pub state: bool,
    /// How long a process asks what it has missed before it serves, in milliseconds; the program's
    /// own, if it is not told.
    #[serde(default)]
    pub catch_up_ms: Option<u64>,
    /// What callers ask.
    #[serde(default, rename = "caller")]
    pub callers: Vec<Offer>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Plan {
    /// A fleet with nothing but its processes: others say what is played there.
    pub fn of(name: &str, processes: usize, seconds: f64) -> Plan {
        Plan {
            name: name.into(),
            processes,
            more: 0,
            voters: processes.min(3),
            seconds,
            rate: 200.0,
            burst: 20.0,
            floor: 0.0,
            by_rank: false,
            backends: 1,
            answer_ms: 0,
            errors: 0.0,
            repeats: None,
            each_member: None,
            groups: 0,
            state: false,
            catch_up_ms: None,
            callers: Vec::new(),
            faults: Vec::new(),
        }
    }
}

fn one() -> usize {
    1
}

fn three() -> usize {
    3
}

impl Plan {
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        let n = self.processes + self.more;
        if !(1..=100).contains(&n)
            || self.processes == 0
            || !(1..=self.processes).contains(&self.voters)
        {
            return Err("there must be 1 to 100 processes, and 1 to all of them voters".into());
        }
        if !(1..=100).contains(&self.backends)
            || !(0.0..=1.0).contains(&self.errors)
            || self.answer_ms > 10_000
        {
            return Err(
                "there must be 1 to 100 backends, that fail in 0 to 1 of the requests after at most 10 s"
                    .into(),
            );
        }
        let rates = self
            .callers
            .iter()
            .map(|offer| offer.rate)
            .chain([self.rate]);
        if !(0.1..=600.0).contains(&self.seconds)
            || rates.into_iter().any(|r| !(0.0..=5_000.0).contains(&r))
        {
            return Err("it must last 0.1 to 600 s, at rates up to 5000 a second".into());
        }
        let named = |kind: &Kind| -> Vec<usize> {
            match kind {
                Kind::Kill { process } | Kind::Stop { process } | Kind::Continue { process } => {
                    vec![*process]
                }
                Kind::Leave { process } | Kind::Start { process } => vec![*process],
                Kind::Cut { from, to, .. } => from.iter().chain(to).copied().collect(),
                Kind::Order { process, .. } | Kind::List { process, .. } => vec![*process],
                Kind::Weather { .. } | Kind::Mend | Kind::Sick { .. } => Vec::new(),
            }
        };
        let members = self.faults.iter().filter_map(|fault| match &fault.kind {
            Kind::Order { member, .. } | Kind::List { member, .. } | Kind::Sick { member, .. } => {
                Some(*member)
            }
            _ => None,
        });
        if let Some(member) = members.clone().find(|member| *member >= self.backends) {
            return Err(format!(
                "there is no member {member}: they are numbered from 0 to {}",
                self.backends - 1
            ));
        }
        let wishes = self.faults.iter().filter_map(|fault| match &fault.kind {
            Kind::Order { wish, .. } => Some(wish.as_str()),
            _ => None,
        });
        if let Some(wish) = wishes
            .into_iter()
            .find(|wish| !["drain", "return"].contains(wish))
        {
            return Err(format!("{wish:?} is no order: drain or return"));
        }
        let mut all = self
            .callers
            .iter()
            .map(|offer| offer.to)
            .chain(self.faults.iter().flat_map(|f| named(&f.kind)));
        match all.find(|process| *process >= n) {
            Some(process) => Err(format!(
                "there is no process {process}: they are numbered from 0 to {}",
                n - 1
            )),
            None => Ok(()),
        }
    }
}

/// Requests to one process from a time on, in place of those before.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// When, in seconds.
    #[serde(default)]
    pub at: f64,
    /// Which process.
    pub to: usize,
    /// Requests a second.
    pub rate: f64,
}

/// Something that goes wrong, or right again.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    /// When, in seconds.
    pub at: f64,
    /// What.
    #[serde(flatten)]
    pub kind: Kind,
}

/// See [`Fault`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Kind {
    /// A process is killed outright.
    Kill {
        /// Which.
        process: usize,
    },
    /// A process is stopped (SIGSTOP).
    Stop {
        /// Which.
        process: usize,
    },
    /// It goes on (SIGCONT).
    Continue {
        /// Which.
        process: usize,
    },
    /// A process leaves in order (SIGTERM).
    Leave {
        /// Which.
        process: usize,
    },
    /// A process starts, or starts again.
    Start {
        /// Which.
        process: usize,
    },
    /// Nothing passes from some to others.
    Cut {
        /// From these.
        from: Vec<usize>,
        /// To these.
        to: Vec<usize>,
        /// Nor back.
        #[serde(default)]
        both: bool,
    },
    /// Packets fare badly everywhere.
    Weather {
        /// The part that is lost.
        #[serde(default)]
        loss: f64,
        /// The part that comes twice.
        #[serde(default)]
        twice: f64,
        /// The longest delay, in milliseconds.
        #[serde(default)]
        delay_ms: u64,
        /// The part that is late by up to `late_ms` more.
        #[serde(default)]
        late: f64,
        /// See above.
        #[serde(default)]
        late_ms: u64,
    },
    /// All links are whole again.
    Mend,
    /// An operator orders a member to be drained, or returned, at one process.
    Order {
        /// Where.
        process: usize,
        /// The number of the backend.
        member: usize,
        /// `drain` or `return`.
        wish: String,
    },
    /// The list of members of one process says something of one of them from now on.
    List {
        /// Whose list.
        process: usize,
        /// The number of the backend.
        member: usize,
        /// What.
        says: Says,
    },
    /// A backend breaks off every request, or no longer.
    Sick {
        /// The number of the backend.
        member: usize,
        /// Whether it does.
        #[serde(default = "yes")]
        is: bool,
    },
}

fn yes() -> bool {
    true
}

/// What a list says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Says {
    /// It is ready.
    Ready,
    /// It drains.
    Draining,
    /// It is not named.
    Gone,
    /// It is at an address where nobody is.
    Elsewhere,
}

/// A plan with every kind of fault, drawn from a seed.
pub fn drawn(processes: usize, seconds: f64, seed: u64) -> Plan {
    // SplitMix64.
    let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut draw = move |below: usize| {
        state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) % below.max(1) as u64) as usize
    };
    let rate = 200.0;
    let mut callers: Vec<Offer> = (0..processes)
        .map(|to| Offer {
            at: 0.0,
            to,
            rate: 2.0 * rate / processes as f64 * (0.5 + draw(100) as f64 / 100.0),
        })
        .collect();
    let mut faults = Vec::new();
    let (mut at, mut down): (f64, HashMap<usize, bool>) = (2.0, HashMap::new());
    // The last part is quiet, so that what comes back is seen.
    while at < seconds - 9.0 {
        let process = draw(processes);
        let others: Vec<usize> = (0..processes).filter(|n| *n != process).collect();
        let kind = match (down.remove(&process), draw(7)) {
            (Some(true), _) => Kind::Continue { process },
            (Some(false), _) => Kind::Start { process },
            (None, 0) => Kind::Kill { process },
            (None, 1 | 2) => Kind::Stop { process },
            (None, 3) => Kind::Cut {
                from: vec![process],
                to: others,
                both: draw(2) == 0,
            },
            (None, 4) => Kind::Cut {
                from: (0..processes / 2).collect(),
                to: (processes / 2..processes).collect(),
                both: draw(2) == 0,
            },
            (None, 5) => Kind::Weather {
                loss: 0.2,
                twice: 0.2,
                delay_ms: 50,
                late: 0.1,
                late_ms: 4_000,
            },
            _ => Kind::Mend,
        };
        match &kind {
            Kind::Kill { process } => _ = down.insert(*process, false),
            Kind::Stop { process } => _ = down.insert(*process, true),
            _ => {}
        }
        faults.push(Fault { at, kind });
        let (to, part) = (draw(processes), draw(100) as f64 / 25.0);
        callers.push(Offer {
            at,
            to,
            rate: rate / processes as f64 * part,
        });
        at += 0.4 + draw(16) as f64 / 10.0;
    }
    let mut back: Vec<(usize, bool)> = down.into_iter().collect();
    back.sort_unstable();
    let at = seconds - 8.5;
    faults.push(Fault {
        at,
        kind: Kind::Mend,
    });
    faults.extend(back.into_iter().map(|(process, stopped)| Fault {
        at,
        kind: if stopped {
            Kind::Continue { process }
        } else {
            Kind::Start { process }
        },
    }));
    callers.extend((0..processes).map(|to| Offer {
        at,
        to,
        rate: 2.0 * rate / processes as f64,
    }));
    let burst = (processes as f64).max(20.0);
    Plan {
        rate,
        burst,
        callers,
        faults,
        ..Plan::of(&format!("drawn from seed {seed}"), processes, seconds)
    }
}
