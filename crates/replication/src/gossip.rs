//! What is said to whom, so that copies become equal: each process asks one other now and then
//! whether it knows the same, by one number; where it does not, the two tell what they know, and
//! each sends what the other lacks, in pieces that fit a packet and at a bounded rate. What is
//! urgent goes to all at once, and on from those to whom it was news.

use crate::store::{Delta, Store, VersionVector};
use crate::{Dot, Micros, Origin};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// What processes say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender knows, in one number. Where another knows otherwise, it answers with what
    /// it knows.
    Summary(u64),
    /// What the sender knows of the origins in a span; not of others. `asks`: it wants the same
    /// back.
    Knows {
        /// The first and the last origin of the span.
        span: (Origin, Origin),
        /// Of each, all entries up to this number.
        known: Vec<(Origin, u64)>,
        /// Whether the other is to tell too what it knows.
        asks: bool,
    },
    /// Entries.
    Deltas(Vec<Delta>),
    /// The sender knows what the receiver knew when it asked.
    Same(u64),
    /// Asks whether the receiver is one to catch up from.
    Who,
    /// The sender is there; whether it has not caught up itself.
    Here {
        /// See above.
        starting: bool,
    },
}

const MS: Micros = 1_000;
/// From one question to the next: at rest, and while copies differ.
const ROUND: Micros = 1_000 * MS;
const ROUND_APART: Micros = 100 * MS;
/// Origins that one packet names.
const NAMED_MOST: usize = 60;
/// Entries in one packet, and bytes of names and values.
const ITEMS_MOST: usize = 40;
const BYTES_MOST: usize = 1_000;
/// Packets of entries in answer to one question, and in all in one span of ten milliseconds.
const PACKETS_MOST: usize = 60;
/// To how many others an urgent entry goes on from one to whom it was news.
const ON: usize = 4;
/// When it is told once more, how much of that is kept in mind, and how long it is asked about
/// often.
const AGAIN: Micros = 60 * MS;
const AGAIN_MOST: usize = 256;
const HOT: Micros = 500 * MS;
/// Beyond so many others an urgent entry goes to this many alone.
const AT_ONCE: usize = 24;

/// A process's part in making copies equal. `P` is what others are reached by.
pub struct Gossip<P> {
    me: P,
    ask_at: Micros,
    apart: bool,
    /// Until then it asks as often as if copies differed: something urgent has come up.
    hot_until: Micros,
    /// What was told to all, to be told once more.
    again: Vec<(Micros, Delta)>,
    /// Whether the one that was asked has sent something since.
    fruitful: bool,
    /// Entries that were sent in the present span.
    spent: (Micros, usize),
    /// Who has said that it holds no more than this process does, since it was asked; see
    /// [`Gossip::is_caught_up`].
    caught_up: bool,
    asked: Option<P>,
    /// Who has said that it is there since this process began to catch up, and whether it is doing
    /// the same.
    here: Vec<(P, bool)>,
    /// The spans of which the one that was asked has said that it knows no more than this process
    /// does.
    covered: Vec<(u64, u64)>,
}

impl<P: Clone + PartialEq> Gossip<P> {
    /// One that starts, and asks at once. The others that it is told of may name itself too.
    pub fn new(now: Micros, me: P) -> Gossip<P> {
        Gossip {
            me,
            ask_at: now,
            apart: true,
            hot_until: now,
            again: Vec::new(),
            fruitful: false,
            spent: (now, 0),
            caught_up: false,
            asked: None,
            here: Vec::new(),
            covered: Vec::new(),
        }
    }

    /// Whether this process holds what one other held when it asked.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// It was away, and asks anew.
    pub fn was_away(&mut self, now: Micros) {
        (self.caught_up, self.apart, self.ask_at, self.asked) = (false, true, now, None);
        self.here.clear();
    }

    /// It goes on with what it has: nobody was there to tell more in time.
    pub fn make_do(&mut self) {
        self.caught_up = true;
    }

    /// Looks what is due. `others` are those that are up.
    pub fn tick(
        &mut self,
        now: Micros,
        store: &Store,
        others: &[P],
        rng: &mut impl Rng,
        out: &mut Vec<(P, Message)>,
    ) {
        let due: Vec<Delta> = self
            .again
            .iter()
            .filter(|(at, _)| now >= *at)
            .map(|(_, p)| p.clone())
            .collect();
        self.again.retain(|(at, _)| now < *at);
        for delta in aged(store, now, due) {
            let to = self.some(others, AT_ONCE, rng);
            out.extend(
                to.into_iter()
                    .map(|to| (to, Message::Deltas(vec![delta.clone()]))),
            );
        }
        if now < self.ask_at || others.is_empty() {
            return;
        }
        let round = if self.apart || now < self.hot_until {
            ROUND_APART
        } else {
            ROUND
        };
        self.ask_at = now + rng.random_range(round / 2..round);
        // One that has more to say goes on.
        let same = self
            .asked
            .take_if(|_| std::mem::take(&mut self.fruitful))
            .filter(|to| others.contains(to));
        let to = match same {
            Some(to) => to,
            None if self.caught_up => others[rng.random_range(0..others.len())].clone(),
            None => match self.one_to_ask(others, rng, out) {
                Some(to) => to,
                None => return,
            },
        };
        if to == self.me {
            return;
        }
        if self.apart {
            // One that was asked and gave no sign may be gone.
            self.asked = Some(to.clone());
            self.covered.clear();
            out.extend(
                self.knows(store, None, true)
                    .into_iter()
                    .map(|message| (to.clone(), message)),
            );
        } else {
            out.push((to, Message::Summary(store.summary())));
        }
    }

    /// One that has caught up itself: those that start too have nothing to say. Asks others whether
    /// they have, until all have answered; if none has, nobody knows more than this process
    /// does.
    fn one_to_ask(
        &mut self,
        others: &[P],
        rng: &mut impl Rng,
        out: &mut Vec<(P, Message)>,
    ) -> Option<P> {
        self.here.retain(|(one, _)| others.contains(one));
        let settled: Vec<&P> = self
            .here
            .iter()
            .filter(|(_, starting)| !starting)
            .map(|(one, _)| one)
            .collect();
        if !settled.is_empty() {
            return Some(settled[rng.random_range(0..settled.len())].clone());
        }
        let unheard: Vec<P> = others
            .iter()
            .filter(|one| **one != self.me && !self.here.iter().any(|(here, _)| here == *one))
            .cloned()
            .collect();
        self.caught_up = unheard.is_empty();
        out.extend(
            self.some(&unheard, AT_ONCE, rng)
                .into_iter()
                .map(|to| (to, Message::Who)),
        );
        None
    }

    /// What is known here, in as many packets as it takes; of one span if that is told.
    fn knows(&self, store: &Store, span: Option<(Origin, Origin)>, asks: bool) -> Vec<Message> {
        let (first, last) = span.unwrap_or((Origin(0), Origin(u64::MAX)));
        let known: Vec<(Origin, u64)> = store
            .known()
            .range(first..=last)
            .map(|(origin, known)| (*origin, *known))
            .collect();
        let chunks: Vec<&[(Origin, u64)]> = if known.is_empty() {
            vec![&[]]
        } else {
            known.chunks(NAMED_MOST).collect()
        };
        let mut from = first;
        let mut messages = Vec::new();
        for (n, chunk) in chunks.iter().enumerate() {
            let to = match chunk.last().filter(|_| n + 1 < chunks.len()) {
                Some((origin, _)) => *origin,
                None => last,
            };
            messages.push(Message::Knows {
                span: (from, to),
                known: chunk.to_vec(),
                asks,
            });
            from = Origin(to.0.saturating_add(1));
        }
        messages
    }

    /// Takes a message in; gives the entries that are new here.
    pub fn take(
        &mut self,
        now: Micros,
        store: &mut Store,
        (from, others): (P, &[P]),
        message: Message,
        rng: &mut impl Rng,
        out: &mut Vec<(P, Message)>,
    ) -> Vec<(Dot, crate::store::Key)> {
        match message {
            Message::Summary(summary) => {
                if summary == store.summary() {
                    out.push((from, Message::Same(summary)));
                } else {
                    out.extend(
                        self.knows(store, None, true)
                            .into_iter()
                            .map(|message| (from.clone(), message)),
                    );
                }
                Vec::new()
            }
            Message::Same(summary) => {
                self.apart &= summary != store.summary();
                Vec::new()
            }
            Message::Who => {
                out.push((
                    from,
                    Message::Here {
                        starting: !self.caught_up,
                    },
                ));
                Vec::new()
            }
            Message::Here { starting } => {
                self.here.retain(|(one, _)| *one != from);
                if !self.caught_up && others.contains(&from) {
                    self.here.push((from, starting));
                    if !starting && self.asked.is_none() {
                        self.ask_at = now;
                    }
                }
                Vec::new()
            }
            Message::Knows { span, known, asks } => {
                self.knows_there(now, store, from, (span, known, asks), out);
                Vec::new()
            }
            Message::Deltas(deltas) => {
                let urgent = deltas.len() == 1 && deltas[0].items.len() == 1;
                let again = urgent.then(|| deltas.clone());
                let mut news = Vec::new();
                for delta in deltas {
                    news.extend(store.merge(now, delta));
                }
                if let Some(deltas) = again.filter(|_| !news.is_empty()) {
                    let aged = aged(store, now, deltas);
                    let on = self
                        .some(others, ON, rng)
                        .into_iter()
                        .filter(|to| *to != from);
                    out.extend(on.map(|to| (to, Message::Deltas(aged.clone()))));
                }
                if !news.is_empty() && self.apart && self.asked.as_ref() == Some(&from) {
                    // The rest is asked for soon.
                    self.fruitful = true;
                    self.ask_at = self.ask_at.min(now + 10 * MS);
                }
                if urgent && !news.is_empty() {
                    self.hot(now);
                }
                news
            }
        }
    }

    fn knows_there(
        &mut self,
        now: Micros,
        store: &Store,
        from: P,
        (span, known, asks): ((Origin, Origin), Vec<(Origin, u64)>, bool),
        out: &mut Vec<(P, Message)>,
    ) {
        let theirs: VersionVector = known.into_iter().collect();
        if now >= self.spent.0 + 10 * MS {
            self.spent = (now, 0);
        }
        // All that ask at once share what is sent in one span.
        let most = PACKETS_MOST.saturating_sub(self.spent.1) * ITEMS_MOST;
        let (deltas, all) = store.lacking(now, &theirs, span, most);
        let lacks = !deltas.is_empty();
        let packets = packets(deltas);
        self.spent.1 += packets.len();
        out.extend(
            packets
                .into_iter()
                .map(|deltas| (from.clone(), Message::Deltas(deltas))),
        );
        let own: VersionVector = store
            .known()
            .range(span.0..=span.1)
            .map(|(o, k)| (*o, *k))
            .collect();
        let behind = theirs
            .iter()
            .any(|(origin, known)| own.get(origin).is_none_or(|own| own < known));
        if asks {
            // Its own word of the span: it says what is lacking here, and that all has been said
            // there.
            out.extend(
                self.knows(store, Some(span), false)
                    .into_iter()
                    .map(|message| (from.clone(), message)),
            );
        }
        if behind {
            self.apart = true;
        } else if self.asked.as_ref() == Some(&from) && !asks {
            self.covered.push((span.0 .0, span.1 .0));
            if self.covers_all() {
                (self.caught_up, self.apart) = (true, false);
                self.asked = None;
            }
        }
        self.apart |= lacks || !all;
    }

    fn covers_all(&mut self) -> bool {
        self.covered.sort_unstable();
        let mut next = Some(0u64);
        for (first, last) in &self.covered {
            match next {
                Some(from) if *first <= from => {
                    next = last.checked_add(1).map(|after| after.max(from))
                }
                Some(_) => return false,
                None => break,
            }
        }
        next.is_none()
    }

    fn hot(&mut self, now: Micros) {
        self.hot_until = now + HOT;
        self.ask_at = self.ask_at.min(now + ROUND_APART);
    }

    /// Tells something urgent to all at once, or to some where there are many, and once more a
    /// moment later.
    pub fn tell(
        &mut self,
        now: Micros,
        delta: Delta,
        others: &[P],
        rng: &mut impl Rng,
        out: &mut Vec<(P, Message)>,
    ) {
        self.hot(now);
        if self.again.len() < AGAIN_MOST {
            self.again.push((now + AGAIN, delta.clone()));
        }
        let to = self.some(others, AT_ONCE, rng);
        out.extend(
            to.into_iter()
                .map(|to| (to, Message::Deltas(vec![delta.clone()]))),
        );
    }

    /// Some of the others, each another.
    fn some(&self, others: &[P], most: usize, rng: &mut impl Rng) -> Vec<P> {
        if others.len() <= most {
            return others.to_vec();
        }
        let picked = rand::seq::index::sample(rng, others.len(), most);
        picked.into_iter().map(|n| others[n].clone()).collect()
    }
}

/// Pieces as they are here now: what goes on is as old as it is.
fn aged(store: &Store, now: Micros, mut deltas: Vec<Delta>) -> Vec<Delta> {
    for delta in &mut deltas {
        for item in &mut delta.items {
            if let Some(entry) = store.get(delta.origin, &item.key) {
                item.age = (now as i64).saturating_sub(entry.born).max(0) as Micros;
            }
        }
    }
    deltas
}

/// Cuts pieces so that each group fits a packet.
fn packets(deltas: Vec<Delta>) -> Vec<Vec<Delta>> {
    let (mut all, mut group, mut items, mut bytes) = (Vec::new(), Vec::new(), 0, 0);
    for delta in deltas {
        let Delta {
            origin,
            mut after,
            upto,
            items: list,
        } = delta;
        let mut part = Delta {
            origin,
            after,
            upto,
            items: Vec::new(),
        };
        for item in list {
            let size = item.key.name.len() + item.value.len() + 16;
            if items + 1 > ITEMS_MOST || (bytes + size > BYTES_MOST && items > 0) {
                after = item.version - 1;
                if after > part.after {
                    group.push(Delta {
                        upto: after,
                        ..part
                    });
                }
                part = Delta {
                    origin,
                    after,
                    upto,
                    items: Vec::new(),
                };
                all.push(std::mem::take(&mut group));
                (items, bytes) = (0, 0);
            }
            items += 1;
            bytes += size;
            part.items.push(item);
        }
        items += 1;
        bytes += 24;
        group.push(part);
    }
    if !group.is_empty() {
        all.push(group);
    }
    all.retain(|group| !group.is_empty());
    all
}
