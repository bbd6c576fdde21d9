//! The measurements of a run, as a table and as lines of JSON.

use super::faults::Fault;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Scheduling delay of this program from which on a phase is inconclusive. Members must respond to a
/// probe within 300 ms, so a delay that is almost as long can itself cause suspicions.
pub const MAX_HARNESS_DELAY: Duration = Duration::from_millis(250);

/// A rate per second over a phase.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Rate {
    /// The mean over the phase.
    pub mean: f64,
    /// The maximum between two consecutive readings, which are about a second apart.
    #[serde(rename = "most")]
    pub max: f64,
}

/// The results of the proxied or of the direct requests, of one real process or of all that were
/// measured. Latencies run from the intended send time to the end of the response.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RequestStats {
    /// The number of requests that received a response, of any status.
    #[serde(rename = "answered")]
    pub responses: u64,
    /// The number of requests that received no response, or one of another status than 200.
    pub unserved: usize,
    /// The median latency in microseconds.
    pub p50_us: u64,
    /// The 99th percentile of the latency in microseconds.
    pub p99_us: u64,
}

/// The measurements of one real process in a phase.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessMetrics {
    /// The name of the member.
    pub name: String,
    /// The fleet address of the member.
    pub address: SocketAddr,
    /// Processor time in percent of one core, including that for forwarding the load.
    pub processor_percent: f64,
    /// Resident memory in KiB at the end of the phase.
    pub resident_kib: usize,
    /// Packets sent from the fleet's socket.
    pub packets_sent: Rate,
    /// Bytes sent from the fleet's socket, without packet headers.
    pub bytes_sent: Rate,
    /// Packets received at the fleet's socket.
    pub packets_received: Rate,
    /// Bytes received at the fleet's socket, without packet headers.
    pub bytes_received: Rate,
    /// Requests proxied by the process.
    #[serde(rename = "through")]
    pub proxied: RequestStats,
    /// Requests sent directly to the backend, at the same rate.
    #[serde(rename = "straight")]
    pub direct: RequestStats,
    /// The minimum number of live members in any reading of the process's view.
    #[serde(rename = "fewest_up")]
    pub min_up: usize,
    /// The number of live members at the end of the phase.
    pub up: usize,
}

/// The views of the hollow processes at the end of a phase.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HollowViews {
    /// The number of running hollow processes.
    pub processes: usize,
    /// The minimum number of live members in any view.
    #[serde(rename = "fewest")]
    pub min_up: usize,
    /// The maximum number of live members in any view.
    #[serde(rename = "most")]
    pub max_up: usize,
    /// The number of hollow processes that see exactly the expected members and suspect none.
    #[serde(rename = "whole")]
    pub converged: usize,
}

/// The measurements of one phase of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    /// The name of the phase, such as `before kill` or `kill`.
    pub name: String,
    /// The duration of the phase in seconds.
    pub seconds: f64,
    /// The maximum scheduling delay of this program in milliseconds.
    #[serde(rename = "late_ms")]
    pub harness_delay_ms: f64,
    /// The number of members that every real process is expected to see.
    #[serde(rename = "members")]
    pub expected_members: usize,
    /// The time in seconds until all real processes saw exactly the expected members, to a second;
    /// `None` if they did not in this phase.
    #[serde(rename = "settled_s")]
    pub converged_after_s: Option<f64>,
    /// The fault with which the phase began, if there was one.
    pub fault: Option<Fault>,
    /// The time in seconds from the end of the fault until all real processes saw all members
    /// again; `None` if there was no fault or they did not in time.
    #[serde(rename = "joined_s")]
    pub recovered_after_s: Option<f64>,
    /// The fleet address of the grantor at the end of the phase, if a real process knew it.
    pub grantor: Option<SocketAddr>,
    /// Requests proxied by all measured real processes.
    #[serde(rename = "through")]
    pub proxied: RequestStats,
    /// The number of unserved proxied requests by status. Requests without a response are counted
    /// under `no answer`.
    #[serde(rename = "unserved")]
    pub unserved_by_status: BTreeMap<String, usize>,
    /// Requests sent directly to the backend, at the same rate.
    #[serde(rename = "straight")]
    pub direct: RequestStats,
    /// The real processes that were measured.
    #[serde(rename = "processes")]
    pub real_processes: Vec<ProcessMetrics>,
    /// The views of the hollow processes.
    #[serde(rename = "hollow")]
    pub hollow_views: HollowViews,
}

impl Phase {
    /// Returns whether this program was never delayed for too long, so that the measurements are
    /// meaningful.
    pub fn is_conclusive(&self) -> bool {
        self.harness_delay_ms < MAX_HARNESS_DELAY.as_secs_f64() * 1e3
    }

    /// Returns how much real processes add to the 99th percentile of the latency, in microseconds.
    pub fn added_p99_us(&self) -> i64 {
        self.proxied.p99_us as i64 - self.direct.p99_us as i64
    }
}

/// The measurements of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The number of processes, real and hollow ones.
    pub processes: usize,
    /// The number of real processes.
    pub real: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// The interval of the periodic work of hollow processes, in milliseconds.
    pub hollow_tick_ms: u64,
    /// The time in seconds from the start of the last process until all real processes saw all
    /// members; `None` if they did not in time.
    #[serde(rename = "formed_s")]
    pub formed_after_s: Option<f64>,
    /// Whether all real processes had a lease of the budget before the first phase.
    pub has_leases: bool,
    /// Resident memory of this program at the end of the run in KiB, including all hollow
    /// processes.
    #[serde(rename = "hollow_resident_kib")]
    pub harness_resident_kib: usize,
    /// The measured phases, in order.
    pub phases: Vec<Phase>,
    /// The faults that were skipped because too little time was left.
    #[serde(rename = "not_played")]
    pub skipped_faults: Vec<Fault>,
}

impl Report {
    /// Returns whether all phases are conclusive.
    pub fn is_conclusive(&self) -> bool {
        self.phases.iter().all(Phase::is_conclusive)
    }

    /// Returns a line for each requirement that the fleet did not meet.
    pub fn violations(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if self.formed_after_s.is_none() {
            lines
                .push("the fleet never formed: not all real processes saw all members".to_string());
        }
        if !self.has_leases {
            lines.push("not all real processes had a lease".to_string());
        }
        for phase in &self.phases {
            let Phase {
                name,
                expected_members,
                proxied,
                unserved_by_status,
                ..
            } = phase;
            if phase.converged_after_s.is_none() {
                lines.push(format!(
                    "{name}: not all real processes saw {expected_members} members"
                ));
            }
            if phase.fault.is_some() && phase.recovered_after_s.is_none() {
                lines.push(format!(
                    "{name}: not all real processes saw all members again"
                ));
            }
            if proxied.unserved > 0 {
                lines.push(format!(
                    "{name}: {} requests were not served: {unserved_by_status:?}",
                    proxied.unserved
                ));
            }
        }
        lines
    }

    /// Returns a line of JSON for the run without its phases, and one for each phase.
    pub fn json_lines(&self) -> String {
        let head = Report {
            phases: Vec::new(),
            ..self.clone()
        };
        let mut text = json_line(&head);
        self.phases
            .iter()
            .for_each(|phase| text += &json_line(phase));
        text
    }

    /// Returns the report as a table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let hollow = self.processes - self.real;
        let _ = writeln!(
            text,
            "{hollow} hollow and {} real processes, seed {}; tick interval of hollow ones {} ms; formed after {} s; {} MiB used by this program\n",
            self.real,
            self.seed,
            self.hollow_tick_ms,
            format_seconds(self.formed_after_s),
            self.harness_resident_kib / 1024
        );
        let _ = writeln!(
            text,
            "{:<20} {:<8} {:>7} {:>5} {:>15} {:>15} {:>17} {:>17} {:>7} {:>9}",
            "phase",
            "process",
            "cpu %",
            "MiB",
            "sent pkt/s",
            "received pkt/s",
            "sent KiB/s",
            "received KiB/s",
            "p99 us",
            "up"
        );
        for phase in &self.phases {
            phase.write_to(&mut text);
        }
        for fault in &self.skipped_faults {
            let _ = writeln!(text, "{}: skipped, too little time was left", fault.name());
        }
        text
    }
}

impl Phase {
    fn write_to(&self, text: &mut String) {
        let grantor = self
            .real_processes
            .iter()
            .find(|process| Some(process.address) == self.grantor);
        write_row(
            text,
            &self.name,
            "mean",
            &self.aggregate(|values| values.iter().sum::<f64>() / values.len().max(1) as f64),
        );
        write_row(
            text,
            "",
            "max",
            &self.aggregate(|values| values.iter().copied().fold(0.0, f64::max)),
        );
        match grantor {
            Some(process) => write_row(text, "", "grantor", &Row::from_metrics(process)),
            None => {
                _ = writeln!(
                    text,
                    "{:<20} grantor  not a real process that was measured",
                    ""
                )
            }
        }
        let HollowViews {
            processes,
            min_up,
            max_up,
            converged,
        } = self.hollow_views;
        let verdict = if self.is_conclusive() {
            ""
        } else {
            " (no verdict)"
        };
        let recovered = self.fault.map_or(String::new(), |_| {
            format!(
                ", all members again after {} s",
                format_seconds(self.recovered_after_s)
            )
        });
        let Phase {
            expected_members,
            proxied,
            direct,
            ..
        } = self;
        let _ = writeln!(
            text,
            "{:<20} {:.0} s, harness delay {:.0} ms{verdict}; real processes saw {expected_members} members after {} s{recovered}; \
             {converged} of {processes} hollow ones saw the same ({min_up} to {max_up} members)",
            "",
            self.seconds,
            self.harness_delay_ms,
            format_seconds(self.converged_after_s),
        );
        let _ = writeln!(
            text,
            "{:<20} p99 {} us proxied, {} us direct, {} us added; {} of {} unserved\n",
            "",
            proxied.p99_us,
            direct.p99_us,
            self.added_p99_us(),
            proxied.unserved,
            proxied.responses
        );
    }

    /// Applies a function to the values of all measured processes, column by column.
    fn aggregate(&self, function: fn(&[f64]) -> f64) -> Row {
        let rows: Vec<Row> = self.real_processes.iter().map(Row::from_metrics).collect();
        let column = |n: usize| function(&rows.iter().map(|row| row.0[n]).collect::<Vec<f64>>());
        Row(std::array::from_fn(column))
    }
}

/// The values of a table row: processor time, memory, the mean and the maximum of four rates, p99
/// latency and live members.
struct Row([f64; 12]);

impl Row {
    fn from_metrics(process: &ProcessMetrics) -> Row {
        const KIB: f64 = 1024.0;
        let (packets_sent, packets_received) = (process.packets_sent, process.packets_received);
        let (bytes_sent, bytes_received) = (process.bytes_sent, process.bytes_received);
        Row([
            process.processor_percent,
            process.resident_kib as f64 / KIB,
            packets_sent.mean,
            packets_sent.max,
            packets_received.mean,
            packets_received.max,
            bytes_sent.mean / KIB,
            bytes_sent.max / KIB,
            bytes_received.mean / KIB,
            bytes_received.max / KIB,
            process.proxied.p99_us as f64,
            process.up as f64,
        ])
    }
}

fn write_row(text: &mut String, phase: &str, process: &str, row: &Row) {
    let [cpu, mib, sent, max_sent, received, max_received, sent_kib, max_sent_kib, received_kib, max_received_kib, p99, up] =
        row.0;
    let _ = writeln!(
        text,
        "{phase:<20} {process:<8} {cpu:>7.2} {mib:>5.1} {:>15} {:>15} {:>17} {:>17} {p99:>7.0} {up:>9.1}",
        format!("{sent:.1} ({max_sent:.0})"),
        format!("{received:.1} ({max_received:.0})"),
        format!("{sent_kib:.2} ({max_sent_kib:.1})"),
        format!("{received_kib:.2} ({max_received_kib:.1})"),
    );
}

fn format_seconds(seconds: Option<f64>) -> String {
    seconds.map_or_else(|| "-".into(), |seconds| format!("{seconds:.1}"))
}

fn json_line(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default() + "\n"
}
