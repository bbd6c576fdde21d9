//! Counts of what processes have in view, against what really runs.

use std::ops::AddAssign;

/// How a count is distributed over processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Distribution {
    /// The lowest.
    pub min: usize,
    /// The middle one of all counts in order.
    pub median: usize,
    /// The highest.
    pub max: usize,
}

impl Distribution {
    fn of(mut counts: Vec<usize>) -> Distribution {
        counts.sort_unstable();
        match counts[..] {
            [] => Distribution::default(),
            [min, ..] => Distribution {
                min,
                median: counts[counts.len() / 2],
                max: counts[counts.len() - 1],
            },
        }
    }
}

/// The sum, number and maximum of some counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The sum.
    pub sum: usize,
    /// How many counts there are.
    pub count: usize,
    /// The highest.
    pub max: usize,
}

impl Summary {
    /// The mean.
    pub fn mean(&self) -> f64 {
        self.sum as f64 / self.count.max(1) as f64
    }

    fn add(&mut self, count: usize) {
        self.sum += count;
        self.count += 1;
        self.max = self.max.max(count);
    }
}

impl AddAssign for Summary {
    fn add_assign(&mut self, other: Summary) {
        self.sum += other.sum;
        self.count += other.count;
        self.max = self.max.max(other.max);
    }
}

/// One process's view, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct View {
    /// Expected members in view, in their current incarnation.
    pub(super) current: usize,
    /// Expected members in view in a past incarnation only.
    pub(super) outdated: usize,
    /// Members in view that are not expected.
    pub(super) unexpected: usize,
}

/// The views of some processes at one moment, against the members that they should have in view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    /// How many members should be in view, the process itself included.
    pub expected: usize,
    /// Of these, how many are in view in their current incarnation.
    pub current: Distribution,
    /// Of these, how many are in view in no incarnation.
    pub missing: Summary,
    /// Of these, how many are in view in a past incarnation.
    pub outdated: Summary,
    /// Members in view that should not be: dead or cut off.
    pub unexpected: Summary,
}

impl Views {
    pub(super) fn of(expected: usize, views: impl Iterator<Item = View>) -> Views {
        let mut all = Views {
            expected,
            ..Views::default()
        };
        let mut current = Vec::new();
        for view in views {
            current.push(view.current);
            all.missing.add(expected - view.current - view.outdated);
            all.outdated.add(view.outdated);
            all.unexpected.add(view.unexpected);
        }
        all.current = Distribution::of(current);
        all
    }
}
