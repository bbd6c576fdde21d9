//! The bytes that each process sends and receives: totals, and the peak over any ten seconds.

use super::SECOND_US;
use crate::membership::Timestamp;

/// The bytes that are counted for each packet in addition to its message.
pub const PACKET_OVERHEAD_BYTES: usize = crate::membership::MESSAGE_OVERHEAD_BYTES;

/// The number of seconds over which a peak is measured.
const PEAK_WINDOW_S: usize = 10;

/// The peak rate of one process over any ten seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeakRate {
    /// The mean rate over these ten seconds.
    pub bytes_per_second: f64,
    /// The index of the process.
    pub process: usize,
}

/// The traffic rates of a period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// The mean rate at which a running process sent.
    pub mean_send_bytes_per_s: f64,
    /// The highest send rate of any process.
    pub peak_send_rate: PeakRate,
    /// The highest receive rate of any process.
    pub peak_receive_rate: PeakRate,
}

/// One direction of one process's traffic.
#[derive(Clone, Default)]
struct Meter {
    current_second: u32,
    seconds: [u32; PEAK_WINDOW_S],
    window_sum: u32,
    peak: u32,
}

impl Meter {
    fn end_second(&mut self, slot: usize) {
        self.window_sum = self.window_sum - self.seconds[slot] + self.current_second;
        self.seconds[slot] = self.current_second;
        self.current_second = 0;
        self.peak = self.peak.max(self.window_sum);
    }
}

/// The traffic of all processes.
pub(super) struct Traffic {
    sent: Vec<Meter>,
    received: Vec<Meter>,
    total_sent: u64,
    second_ends_at: Timestamp,
}

impl Traffic {
    pub(super) fn new(processes: usize) -> Traffic {
        let meters = vec![Meter::default(); processes];
        Traffic {
            sent: meters.clone(),
            received: meters,
            total_sent: 0,
            second_ends_at: SECOND_US,
        }
    }

    /// Completes all seconds that have passed.
    pub(super) fn advance(&mut self, now: Timestamp) {
        while now >= self.second_ends_at {
            let slot = (self.second_ends_at / SECOND_US) as usize % PEAK_WINDOW_S;
            let meters = self.sent.iter_mut().chain(&mut self.received);
            meters.for_each(|meter| meter.end_second(slot));
            self.second_ends_at += SECOND_US;
        }
    }

    pub(super) fn sent(&mut self, process: usize, bytes: usize) {
        self.sent[process].current_second += bytes as u32;
        self.total_sent += bytes as u64;
    }

    pub(super) fn received(&mut self, process: usize, bytes: usize) {
        self.received[process].current_second += bytes as u32;
    }

    /// Returns the bytes that all processes have sent so far.
    pub(super) fn total_sent(&self) -> u64 {
        self.total_sent
    }

    /// Resets the peaks. Windows that end later still include earlier seconds.
    pub(super) fn reset_peaks(&mut self) {
        let meters = self.sent.iter_mut().chain(&mut self.received);
        meters.for_each(|meter| meter.peak = 0);
    }

    pub(super) fn peak_send_rate(&self) -> PeakRate {
        peak(&self.sent)
    }

    pub(super) fn peak_receive_rate(&self) -> PeakRate {
        peak(&self.received)
    }
}

/// Returns the highest peak of all meters; if several are equal, that of the first process.
fn peak(meters: &[Meter]) -> PeakRate {
    let mut highest = PeakRate::default();
    for (process, meter) in meters.iter().enumerate() {
        let bytes_per_second = f64::from(meter.peak) / PEAK_WINDOW_S as f64;
        if bytes_per_second > highest.bytes_per_second {
            highest = PeakRate {
                bytes_per_second,
                process,
            };
        }
    }
    highest
}

#[cfg(test)]
mod tests;
