//! Counts of the members in the views of processes, compared with the processes that are running.

use std::ops::AddAssign;

/// The distribution of a count over processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Distribution {
    /// The lowest count.
    pub min: usize,
    /// The median of all counts.
    pub median: usize,
    /// The highest count.
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
    /// The sum of all counts.
    pub sum: usize,
    /// The number of counts.
    pub count: usize,
    /// The highest count.
    pub max: usize,
}

impl Summary {
    /// Returns the mean, or 0 without any counts.
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

/// The counts of one process's view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct View {
    /// The number of expected members in view in their current incarnation.
    pub(super) current: usize,
    /// The number of expected members in view in a past incarnation only.
    pub(super) outdated: usize,
    /// The number of members in view that are not expected.
    pub(super) unexpected: usize,
}

/// The views of some processes at one moment, compared with the members that they should have in
/// view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    /// The number of members that should be in view, the process itself included.
    pub expected: usize,
    /// The number of expected members in view in their current incarnation.
    pub current: Distribution,
    /// The number of expected members in view in no incarnation.
    pub missing: Summary,
    /// The number of expected members in view in a past incarnation.
    pub outdated: Summary,
    /// The number of members in view that should not be, as they are dead or partitioned.
    pub unexpected: Summary,
}

impl Views {
    pub(super) fn of(expected: usize, views: impl Iterator<Item = View>) -> Views {
        let mut summary = Views {
            expected,
            ..Views::default()
        };
        let mut current = Vec::new();
        for view in views {
            current.push(view.current);
            summary.missing.add(expected - view.current - view.outdated);
            summary.outdated.add(view.outdated);
            summary.unexpected.add(view.unexpected);
        }
        summary.current = Distribution::of(current);
        summary
    }
}
