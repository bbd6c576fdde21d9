//! The model that is checked: three processes of [`Core`], the code that runs, with one whole of
//! two units. Messages stay on their way for ever, so each may be lost, late, doubled or out of
//! order; processes crash and forget all, sleep (any of them may do nothing for any time), and
//! their clocks differ. Every state that can come up within the bounds is looked at.

use crate::core::{Core, Message};
use crate::grants::Total;
use crate::{Guard, Guards, Incarnation, LeaseTimes, Micros, ProcessId, Rules, Share, TOKEN};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const KEY: u64 = 1;
const UNITS: u64 = 2;
const ALL: Share = Share {
    units: UNITS,
    burst: UNITS * TOKEN,
};
const NO: Share = Share { units: 0, burst: 0 };
const WHOLE: Total = Total {
    all: ALL,
    floor: NO,
    timed: false,
    linger: 0,
};

/// How far the model goes.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// The last tick of the clock.
    ticks: Micros,
    /// Of the first and the second process, in all their lives.
    claims: [u8; 2],
    /// Of the second and the third.
    asks: [u8; 2],
    /// Crashes, steps of a clock beside the others, and second copies of a question or an answer,
    /// in all.
    crashes: u8,
    skews: u8,
    copies: u8,
    /// Whether the votes of a majority come at once, in place of messages that may be late.
    rounds: bool,
    /// Whether the third process begins with all of the whole.
    held: bool,
}

struct Fleet {
    rules: Rules,
    bounds: Bounds,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    core: Core,
    ahead: Micros,
    claims: u8,
    asks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Micros,
    processes: Vec<Process>,
    wire: BTreeSet<(u8, u8, Message)>,
    crashes: u8,
    skews: u8,
    copies: u8,
    lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Skew(u8),
    Crash(u8),
    Claim(u8),
    Round(u8, u8),
    LeaseRequest(u8, u8),
    Lose(u8, u8),
    /// Whether it comes once more.
    Deliver(u8, u8, Message, bool),
}

impl Fleet {
    fn ids(&self) -> Vec<ProcessId> {
        (0..3).map(ProcessId).collect()
    }

    /// Drops what can do nothing any more, or only keep a voter to its vote for longer.
    fn drop_dead(&self, world: &mut World) {
        let Rules { terms, guards, .. } = self.rules;
        let span = if guards.stands(Guard::ClaimEndsFirst) {
            terms.claim
        } else {
            terms.promise * 2
        };
        let wire = std::mem::take(&mut world.wire);
        let lives = |(from, to, message): &(u8, u8, Message)| match message {
            Message::VoteRequest { epoch, sent } => {
                let claimant = &world.processes[usize::from(*from)].core;
                claimant.incarnation == epoch.incarnation && world.at(*from) < sent + span
            }
            Message::VoteResponse { epoch, sent, .. } => {
                let claimant = &world.processes[usize::from(*to)].core;
                claimant.incarnation == epoch.incarnation && world.at(*to) < sent + span
            }
            Message::LeaseResponse(key, incarnation, given) => {
                let core = &world.processes[usize::from(*to)].core;
                let waits = core
                    .holder(*key)
                    .is_some_and(|holder| holder.waits_for(given.question));
                core.incarnation == *incarnation && (waits || !guards.stands(Guard::LastQuestion))
            }
            _ => true,
        };
        world.wire = wire.into_iter().filter(lives).collect();
    }

    fn is_done(&self, world: &World) -> bool {
        world.now >= self.rules.terms.promise + self.rules.terms.hold + self.bounds.ticks
    }
}

impl World {
    fn at(&self, who: u8) -> Micros {
        self.now + self.processes[usize::from(who)].ahead
    }

    fn send(&mut self, from: u8, out: Vec<(ProcessId, Message)>) {
        // What nobody would take is as good as lost.
        let counts =
            |message: &Message| !matches!(message, Message::NotLeader(_) | Message::Recall(_));
        let sent = out.into_iter().filter(|(_, message)| counts(message));
        self.wire
            .extend(sent.map(|(to, message)| (from, to.0 as u8, message)));
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        // They have run for a while: voters that start count as such after a crash alone. The first
        // of them is the grantor, past its quarantine, and has just had the votes of two or
        // of all three.
        let terms = &self.rules.terms;
        let start = |voted: &[u8]| {
            let new = |id: ProcessId| Core::new(0, id, Incarnation(id.0), &self.ids(), &self.rules);
            let mut cores: Vec<Core> = self.ids().into_iter().map(new).collect();
            let mut now = terms.promise;
            loop {
                let claim = cores[0].claim(now, 0, &self.rules).expect("its own vote");
                for voter in voted {
                    let mut out = Vec::new();
                    cores[usize::from(*voter)].take(
                        now,
                        ProcessId(0),
                        claim,
                        &self.rules,
                        &mut out,
                    );
                    cores[0].take(
                        now,
                        ProcessId(u64::from(*voter)),
                        out[0].1,
                        &self.rules,
                        &mut Vec::new(),
                    );
                }
                if now >= terms.promise + terms.hold {
                    break;
                }
                now += 1;
            }
            if self.bounds.held {
                let mut out = Vec::new();
                let ask = cores[2].ask(now, KEY, WHOLE, (UNITS, 1), NO, &self.rules);
                cores[0].take(now, ProcessId(2), ask, &self.rules, &mut out);
                cores[2].take(now, ProcessId(0), out[0].1, &self.rules, &mut Vec::new());
            }
            let process = |core| Process {
                core,
                ahead: 0,
                claims: 0,
                asks: 0,
            };
            let processes = cores.into_iter().map(process).collect();
            World {
                now,
                processes,
                wire: BTreeSet::new(),
                crashes: 0,
                skews: 0,
                copies: 0,
                lost: false,
            }
        };
        [&[1][..], &[2], &[1, 2]].map(start).into()
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if self.is_done(world) {
            return;
        }
        steps.push(Step::Tick);
        for who in 0..3u8 {
            let process = &world.processes[usize::from(who)];
            // Two of them claim, two of them spend; one does both.
            if who < 2 && process.claims < self.bounds.claims[usize::from(who)] {
                match self.bounds.rounds {
                    true => steps.extend(
                        (0..3)
                            .filter(|with| *with != who)
                            .map(|with| Step::Round(who, with)),
                    ),
                    false => steps.push(Step::Claim(who)),
                }
            }
            if who > 0 && process.asks < self.bounds.asks[usize::from(who) - 1] {
                let claimants = 1 + u8::from(self.bounds.claims[1] > 0);
                steps.extend((0..claimants).map(|to| Step::LeaseRequest(who, to)));
            }
            if world.crashes < self.bounds.crashes {
                steps.push(Step::Crash(who));
            }
            if world.skews < self.bounds.skews {
                steps.push(Step::Skew(who));
            }
        }
        if !world.lost && !self.rules.guards.stands(Guard::WaitsOutTheLost) {
            steps.extend([(0, 1), (0, 2), (1, 2)].map(|(at, of)| Step::Lose(at, of)));
        }
        for (from, to, message) in &world.wire {
            steps.push(Step::Deliver(*from, *to, *message, false));
            if world.copies < self.bounds.copies
                && matches!(
                    message,
                    Message::LeaseRequest(..) | Message::LeaseResponse(..)
                )
            {
                steps.push(Step::Deliver(*from, *to, *message, true));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        let (rules, mut out) = (&self.rules, Vec::new());
        match step {
            Step::Tick => world.now += 1,
            Step::Skew(who) => {
                world.skews += 1;
                world.processes[usize::from(who)].ahead += 1;
            }
            Step::Crash(who) => {
                world.crashes += 1;
                let now = world.at(who);
                let process = &mut world.processes[usize::from(who)];
                let incarnation = Incarnation(process.core.incarnation.0 + 10);
                process.core = Core::new(
                    now,
                    ProcessId(u64::from(who)),
                    incarnation,
                    &self.ids(),
                    rules,
                );
            }
            Step::Claim(who) => {
                let now = world.at(who);
                let process = &mut world.processes[usize::from(who)];
                process.claims += 1;
                let claim = process.core.claim(now, 0, rules)?;
                out.extend(
                    self.ids()
                        .into_iter()
                        .filter(|id| id.0 != u64::from(who))
                        .map(|id| (id, claim)),
                );
                world.send(who, out);
            }
            Step::Round(who, with) => {
                let now = world.at(who);
                world.processes[usize::from(who)].claims += 1;
                let claim = world.processes[usize::from(who)]
                    .core
                    .claim(now, 0, rules)?;
                let at = world.at(with);
                world.processes[usize::from(with)].core.take(
                    at,
                    ProcessId(u64::from(who)),
                    claim,
                    rules,
                    &mut out,
                );
                let core = &mut world.processes[usize::from(who)].core;
                core.take(
                    now,
                    ProcessId(u64::from(with)),
                    out[0].1,
                    rules,
                    &mut Vec::new(),
                );
            }
            Step::LeaseRequest(who, to) => {
                let now = world.at(who);
                let process = &mut world.processes[usize::from(who)];
                process.asks += 1;
                let ask = process.core.ask(now, KEY, WHOLE, (UNITS, 1), NO, rules);
                world.send(who, vec![(ProcessId(u64::from(to)), ask)]);
            }
            Step::Lose(at, of) => {
                world.lost = true;
                let incarnation = world.processes[usize::from(of)].core.incarnation;
                world.processes[usize::from(at)]
                    .core
                    .lost(incarnation, rules);
            }
            Step::Deliver(from, to, message, again) => {
                let now = world.at(to);
                let core = &mut world.processes[usize::from(to)].core;
                core.take(now, ProcessId(u64::from(from)), message, rules, &mut out);
                match again {
                    true => world.copies += 1,
                    false => _ = world.wire.remove(&(from, to, message)),
                }
                world.send(to, out);
            }
        }
        self.drop_dead(&mut world);
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "the shares are at most the whole",
                |fleet: &Fleet, world: &World| {
                    let share = |who: u8| {
                        world.processes[usize::from(who)].core.share(
                            world.at(who),
                            KEY,
                            &fleet.rules,
                        )
                    };
                    (0..3).map(share).sum::<Share>().is_within(ALL)
                },
            ),
            Property::always("there is one grantor", |fleet: &Fleet, world: &World| {
                let rules = &fleet.rules;
                let leadership_epoch = |who: &u8| {
                    let mut core = world.processes[usize::from(*who)].core.clone();
                    core.leadership_epoch(world.at(*who), rules).is_some()
                };
                (0..3).filter(leadership_epoch).count() <= 1
            }),
            // Not one that never gives anything.
            Property::sometimes("all of it is held", |fleet: &Fleet, world: &World| {
                (0..3).any(|who: u8| {
                    world.processes[usize::from(who)]
                        .core
                        .share(world.at(who), KEY, &fleet.rules)
                        == ALL
                })
            }),
            Property::sometimes("two hold a part each", |fleet: &Fleet, world: &World| {
                let holds = |who: &u8| {
                    world.processes[usize::from(*who)]
                        .core
                        .share(world.at(*who), KEY, &fleet.rules)
                        .units
                        == 1
                };
                (0..3).filter(holds).count() == 2
            }),
        ]
    }
}

const SHORT: LeaseTimes = LeaseTimes {
    lease: 3,
    hold: 4,
    claim: 2,
    promise: 3,
};
/// A grantor that goes on for all of a run, or for a moment, or for longer than its leases.
const STEADY: LeaseTimes = LeaseTimes {
    lease: 2,
    hold: 3,
    claim: 9,
    promise: 10,
};
const BRIEF: LeaseTimes = LeaseTimes {
    lease: 5,
    hold: 6,
    claim: 1,
    promise: 2,
};
const LONG: LeaseTimes = LeaseTimes {
    lease: 5,
    hold: 6,
    claim: 7,
    promise: 8,
};

fn check(terms: LeaseTimes, without: Option<Guard>, bounds: Bounds) -> impl Checker<Fleet> {
    let rules = Rules {
        terms,
        guards: Guards { without },
        divide_every: 0,
    };
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    let checker = Fleet { rules, bounds }.checker().threads(threads);
    checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join()
}

const NONE: Bounds = Bounds {
    ticks: 0,
    claims: [0; 2],
    asks: [0; 2],
    crashes: 0,
    skews: 0,
    copies: 0,
    rounds: true,
    held: false,
};

/// Leases within one term, and from one term to the next.
const LEASES: Bounds = Bounds {
    ticks: 5,
    claims: [1, 1],
    asks: [1, 1],
    ..NONE
};
/// One grantor that two ask again, with a question or an answer that comes twice.
const ASKED: Bounds = Bounds {
    ticks: 4,
    asks: [2, 2],
    copies: 1,
    ..NONE
};
/// Votes alone, message by message, with a process that forgets all, and with a clock that goes
/// ahead.
const CRASHES: Bounds = Bounds {
    ticks: 5,
    claims: [1, 2],
    rounds: false,
    crashes: 1,
    ..NONE
};
const CLOCKS: Bounds = Bounds {
    ticks: 5,
    claims: [1, 2],
    rounds: false,
    skews: 1,
    ..NONE
};

const RUNS: [(&str, LeaseTimes, Bounds); 4] = [
    ("leases", SHORT, LEASES),
    ("asked", SHORT, ASKED),
    ("crashes", SHORT, CRASHES),
    ("clocks", SHORT, CLOCKS),
];

fn breaches(checked: &impl Checker<Fleet>) -> Vec<&'static str> {
    let names = ["the shares are at most the whole", "there is one grantor"];
    names
        .into_iter()
        .filter(|name| checked.discovery(name).is_some())
        .collect()
}

#[test]
fn the_model_never_grants_twice() {
    let (mut states, mut seen) = (0, Vec::new());
    for (name, terms, bounds) in RUNS {
        let checked = check(terms, None, bounds);
        println!("{name}: {} states", checked.unique_state_count());
        assert_eq!(breaches(&checked), Vec::<&str>::new(), "{name}");
        states += checked.unique_state_count();
        seen.extend(checked.discoveries().into_keys());
    }
    println!("{states} states in all");
    for name in ["all of it is held", "two hold a part each"] {
        assert!(seen.contains(&name), "in no state {name}");
    }
}

#[test]
fn the_model_checker_catches_each_broken_guard() {
    for guard in Guard::ALL {
        let held = Bounds {
            ticks: 5,
            asks: [1, 1],
            held: true,
            ..NONE
        };
        let votes = Bounds {
            ticks: 6,
            claims: [1, 1],
            rounds: false,
            ..NONE
        };
        let (terms, bounds) = match guard {
            Guard::LeaseEndsFirst => (STEADY, held),
            Guard::CountsUntilTold => (
                STEADY,
                Bounds {
                    asks: [2, 1],
                    ..held
                },
            ),
            Guard::WaitsOutTheLost | Guard::LooksAtTheClock => (STEADY, held),
            Guard::LastQuestion => (
                STEADY,
                Bounds {
                    ticks: 1,
                    asks: [2, 2],
                    ..NONE
                },
            ),
            Guard::ClaimEndsFirst | Guard::OneVote => (SHORT, votes),
            Guard::VoterWaits => (
                SHORT,
                Bounds {
                    crashes: 1,
                    ..votes
                },
            ),
            Guard::Quarantine => (SHORT, LEASES),
            Guard::Epoch => (
                BRIEF,
                Bounds {
                    ticks: 7,
                    claims: [1, 1],
                    ..held
                },
            ),
            Guard::RenewsTheLiving => (
                LONG,
                Bounds {
                    ticks: 9,
                    claims: [0, 1],
                    ..held
                },
            ),
        };
        let checked = check(terms, Some(guard), bounds);
        println!(
            "{guard:?}: {:?} in {} states",
            breaches(&checked),
            checked.unique_state_count()
        );
        assert_ne!(
            breaches(&checked),
            Vec::<&str>::new(),
            "nothing is seen without {guard:?}"
        );
    }
}
