//! Bytes that each process sends and receives: totals, and the most over any ten seconds.

use super::SECOND;
use crate::membership::Micros;

/// Bytes that are counted for each packet beside the members' message: the seal and address of
/// [`crate::packet`], and the heads of UDP and IP, rounded up.
pub const PACKET_HEADS: usize = crate::membership::MESSAGE_OVERHEAD_BYTES;

/// Over how many seconds the most is told.
const WINDOW: usize = 10;

/// The most that one process sent or received over any ten seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Peak {
    /// The mean over these ten seconds.
    pub bytes_per_second: f64,
    /// The process.
    pub process: usize,
}

/// How much was said over a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Bytes a second that each running process sent, on average.
    pub mean_sent: f64,
    /// The most that any process sent.
    pub most_sent: Peak,
    /// The most that any process received.
    pub most_received: Peak,
}

/// One direction of one process's traffic.
#[derive(Clone, Default)]
struct Meter {
    this_second: u32,
    seconds: [u32; WINDOW],
    window: u32,
    most: u32,
}

impl Meter {
    fn end_second(&mut self, slot: usize) {
        self.window = self.window - self.seconds[slot] + self.this_second;
        self.seconds[slot] = self.this_second;
        self.this_second = 0;
        self.most = self.most.max(self.window);
    }
}

/// The traffic of all processes.
pub(super) struct Traffic {
    sent: Vec<Meter>,
    received: Vec<Meter>,
    total_sent: u64,
    second_ends: Micros,
}

impl Traffic {
    pub(super) fn new(processes: usize) -> Traffic {
        let meters = vec![Meter::default(); processes];
        Traffic {
            sent: meters.clone(),
            received: meters,
            total_sent: 0,
            second_ends: SECOND,
        }
    }

    /// Ends the seconds that are over.
    pub(super) fn advance(&mut self, now: Micros) {
        while now >= self.second_ends {
            let slot = (self.second_ends / SECOND) as usize % WINDOW;
            let meters = self.sent.iter_mut().chain(&mut self.received);
            meters.for_each(|meter| meter.end_second(slot));
            self.second_ends += SECOND;
        }
    }

    pub(super) fn sent(&mut self, process: usize, bytes: usize) {
        self.sent[process].this_second += bytes as u32;
        self.total_sent += bytes as u64;
    }

    pub(super) fn received(&mut self, process: usize, bytes: usize) {
        self.received[process].this_second += bytes as u32;
    }

    /// Bytes that all processes sent so far.
    pub(super) fn total_sent(&self) -> u64 {
        self.total_sent
    }

    /// Forgets the most so far. Windows that end later still reach back.
    pub(super) fn reset_peaks(&mut self) {
        let meters = self.sent.iter_mut().chain(&mut self.received);
        meters.for_each(|meter| meter.most = 0);
    }

    pub(super) fn most_sent(&self) -> Peak {
        peak(&self.sent)
    }

    pub(super) fn most_received(&self) -> Peak {
        peak(&self.received)
    }
}

/// The most of all meters; of two alike, the first process's.
fn peak(meters: &[Meter]) -> Peak {
    let mut highest = Peak::default();
    for (process, meter) in meters.iter().enumerate() {
        let bytes_per_second = f64::from(meter.most) / WINDOW as f64;
        if bytes_per_second > highest.bytes_per_second {
            highest = Peak {
                bytes_per_second,
                process,
            };
        }
    }
    highest
}

#[cfg(test)]
mod tests;
