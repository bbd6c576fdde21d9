//! What membership costs each process by the size of the fleet. The figures come from a simulation of its own; until one is
//! wired in [`measure`], the axis says that it was not measured.

use super::report::Axis;
use super::Sizes;

/// What one process of a fleet of some size sends and works for membership at rest.
#[derive(Clone, Copy, Debug)]
pub struct MembershipCost {
    /// Bytes a second that each sends, in the mean.
    pub bytes_per_s: f64,
    /// The most bytes that one sent in 10 s.
    pub most_in_10_s: f64,
    /// Processor time of each, in microseconds a second.
    pub cpu_us_per_s: f64,
}

/// Plays a fleet of so many processes at rest; `None` while there is nothing to play it with.
fn measure(_processes: usize, _seed: u64) -> Option<MembershipCost> {
    None
}

/// Membership at rest, by processes.
pub fn membership(sizes: &Sizes) -> Vec<Axis> {
    let mut axis = Axis::new("membership by processes", "processes", "at rest, nothing lost");
    for count in sizes.usual() {
        for cost in (1..=sizes.runs as u64).filter_map(|seed| measure(count, seed)) {
            let x = count as f64;
            axis.add("each sends at rest", "bytes/s", x, cost.bytes_per_s);
            axis.add("the most that one sends in 10 s", "bytes", x, cost.most_in_10_s);
            axis.add("each works", "us/s", x, cost.cpu_us_per_s);
        }
    }
    if axis.series.is_empty() {
        axis = Axis::not_measured(axis.name, axis.of, "no simulation of membership is wired in yet");
    }
    vec![axis.fitted()]
}
