//! Load tests for dewrun and its baselines on loopback sockets, bounded in requests and time.
//!
//! [`load`] generates closed-loop load, or open-loop load at a fixed rate with intended send times,
//! so that a stall is not hidden by the clients that wait for it (coordinated omission).
//! [`baseline`] has proxies to compare dewrun with: a byte relay, and a forwarder that uses the same
//! libraries but makes no decisions. [`audit`] checks the four rules of request handling against
//! what clients and backends recorded. [`capacity`] measures how cost grows with size. [`drill`]
//! runs fleets of real processes with faults between them. [`hollow`] runs large fleets with a few
//! real processes and many that run the control-plane agent alone. [`soak`] runs schedules drawn
//! from seeds against real processes and judges them by what was recorded outside of the processes.
//! [`unsolicited`] plays endpoints that send unsolicited bytes behind their responses.

pub mod audit;
pub mod baseline;
pub mod capacity;
pub mod drill;
pub mod hollow;
pub mod load;
pub mod soak;
pub mod unsolicited;

use std::ops::RangeInclusive;

/// Reads a range of seeds, such as `1..50`, whose ends are both included.
///
/// # Errors
///
/// Fails if the text is not such a range, or its first number exceeds the last.
pub fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let parsed = text
        .split_once("..")
        .and_then(|(first, last)| Some(first.parse().ok()?..=last.parse().ok()?));
    parsed.filter(|seeds| !seeds.is_empty()).ok_or_else(|| {
        format!("{text:?} is not a range such as 1..50, whose first number is at most the last")
    })
}
