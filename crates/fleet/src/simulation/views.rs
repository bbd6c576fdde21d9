//! What processes have in view, against who really runs.

use std::ops::AddAssign;

/// How a count is spread over processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// The least.
    pub fewest: usize,
    /// The middle one.
    pub median: usize,
    /// The greatest.
    pub most: usize,
}

impl Spread {
    fn of(mut counts: Vec<usize>) -> Spread {
        counts.sort_unstable();
        match counts[..] {
            [] => Spread::default(),
            [fewest, ..] => Spread {
                fewest,
                median: counts[counts.len() / 2],
                most: counts[counts.len() - 1],
            },
        }
    }
}

/// A sum over processes, and the most of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The sum.
    pub total: usize,
    /// Over how many.
    pub count: usize,
    /// The greatest.
    pub most: usize,
}

impl Tally {
    /// The mean.
    pub fn mean(&self) -> f64 {
        self.total as f64 / self.count.max(1) as f64
    }

    fn add(&mut self, one: usize) {
        self.total += one;
        self.count += 1;
        self.most = self.most.max(one);
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
        self.total += other.total;
        self.count += other.count;
        self.most = self.most.max(other.most);
    }
}

/// One process's view, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct View {
    /// Expected members in view, in the life that they are in.
    pub(super) seen: usize,
    /// Expected members in view in a past life only.
    pub(super) outdated: usize,
    /// Members in view that are not expected.
    pub(super) unexpected: usize,
}

/// The views of some processes at one moment, against the members that they should have in view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    /// How many members should be in view, the process itself included.
    pub expected: usize,
    /// Of these, how many are in view in the life that they are in.
    pub seen: Spread,
    /// Of these, how many are not in view in any life.
    pub missing: Tally,
    /// Of these, how many are in view in a past life.
    pub outdated: Tally,
    /// Members in view that should not be: dead or cut off.
    pub unexpected: Tally,
}

impl Views {
    pub(super) fn of(expected: usize, views: impl Iterator<Item = View>) -> Views {
        let mut all = Views {
            expected,
            ..Views::default()
        };
        let mut seen = Vec::new();
        for view in views {
            seen.push(view.seen);
            all.missing.add(expected - view.seen - view.outdated);
            all.outdated.add(view.outdated);
            all.unexpected.add(view.unexpected);
        }
        all.seen = Spread::of(seen);
        all
    }
}
