//! What was measured, as a table and as lines of JSON.

use super::faults::Fault;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// A harness whose timers were later than this in a phase gives no verdict on it: members are asked
/// for an answer within 300 ms.
pub const MAX_HARNESS_DELAY: Duration = Duration::from_millis(250);

/// How much a second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Flow {
    /// In the mean of a phase.
    pub mean: f64,
    /// In the second with the most.
    pub most: f64,
}

/// Times of requests.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// Requests that had an answer, of whatever status.
    pub answered: u64,
    /// Requests that had none, or another than 200.
    pub unserved: usize,
    /// Microseconds from the intended send to the whole answer.
    pub p50_us: u64,
    /// See above.
    pub p99_us: u64,
}

/// What was read of one real process in a phase.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Its name.
    pub name: String,
    /// Its fleet address.
    pub address: SocketAddr,
    /// Processor time, in hundredths of one core; the load's included.
    pub processor_percent: f64,
    /// Resident memory at the end.
    pub resident_kib: usize,
    /// Packets of the fleet's socket that went out.
    pub packets_sent: Flow,
    /// Their bytes, without packet heads.
    pub bytes_sent: Flow,
    /// Packets that came.
    pub packets_received: Flow,
    /// Their bytes, without packet heads.
    pub bytes_received: Flow,
    /// Requests through it.
    pub through: Latency,
    /// Requests past it, straight to the upstream.
    pub straight: Latency,
    /// Members up by its view: the fewest in any second.
    pub fewest_up: usize,
    /// And at the end.
    pub up: usize,
}

/// What hollow processes see at the end of a phase.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Views {
    /// Hollow processes that run.
    pub processes: usize,
    /// The fewest members that one of them has up, and the most.
    pub fewest: usize,
    /// See above.
    pub most: usize,
    /// How many of them see just what the real ones are to see.
    pub whole: usize,
}

/// One phase.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    /// What it was about.
    pub name: String,
    /// How long it was looked at.
    pub seconds: f64,
    /// The longest delay of a timer of this program.
    pub late_ms: f64,
    /// The members that every real process was to see.
    pub members: usize,
    /// After how long all real ones saw just these, to a second; none if they never did in the
    /// phase.
    pub settled_s: Option<f64>,
    /// The fault, if it began with one.
    pub fault: Option<Fault>,
    /// After how long all real ones saw all members again when the fault had ended.
    pub joined_s: Option<f64>,
    /// Who granted the budgets at the end.
    pub grantor: Option<SocketAddr>,
    /// Requests through all real processes.
    pub through: Latency,
    /// What became of those that were not served: how many by status, or `no answer`.
    pub unserved: BTreeMap<String, usize>,
    /// Requests straight to the upstream beside them.
    pub straight: Latency,
    /// The real processes that were measured.
    pub processes: Vec<Figures>,
    /// The hollow ones.
    pub hollow: Views,
}

impl Phase {
    /// Whether this program kept up, so that the rest says something.
    pub fn is_conclusive(&self) -> bool {
        self.late_ms < MAX_HARNESS_DELAY.as_secs_f64() * 1e3
    }

    /// The 99th hundredth of times that a real process adds, in microseconds.
    pub fn added_p99_us(&self) -> i64 {
        self.through.p99_us as i64 - self.straight.p99_us as i64
    }
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Processes in all.
    pub processes: usize,
    /// Real ones of them.
    pub real: usize,
    /// For what was left to chance.
    pub seed: u64,
    /// How often hollow processes look what is due, in milliseconds.
    pub hollow_tick_ms: u64,
    /// After how long all real ones saw all members, from when the last process had started.
    pub formed_s: Option<f64>,
    /// Whether all real ones had a lease of the budget before the first phase.
    pub has_leases: bool,
    /// Resident memory of this program with all hollow processes, at the end.
    pub hollow_resident_kib: usize,
    /// In their order.
    pub phases: Vec<Phase>,
    /// Faults that time was too short for.
    pub not_played: Vec<Fault>,
}

impl Report {
    /// Whether this program kept up in all phases.
    pub fn is_conclusive(&self) -> bool {
        self.phases.iter().all(Phase::is_conclusive)
    }

    /// What was not as it is to be: a line each.
    pub fn violations(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if self.formed_s.is_none() {
            lines
                .push("the fleet never formed: not all real processes saw all members".to_string());
        }
        if !self.has_leases {
            lines.push("not all real processes had a lease".to_string());
        }
        for phase in &self.phases {
            if phase.settled_s.is_none() {
                let Phase { name, members, .. } = phase;
                lines.push(format!(
                    "{name}: not all real processes saw {members} members"
                ));
            }
            if phase.fault.is_some() && phase.joined_s.is_none() {
                lines.push(format!(
                    "{}: not all real processes saw all members again",
                    phase.name
                ));
            }
            if phase.through.unserved > 0 {
                let Phase {
                    name,
                    through,
                    unserved,
                    ..
                } = phase;
                lines.push(format!(
                    "{name}: {} requests were not served: {unserved:?}",
                    through.unserved
                ));
            }
        }
        lines
    }

    /// A line of JSON for the whole, and one for each phase.
    pub fn json_lines(&self) -> String {
        let head = Report {
            phases: Vec::new(),
            ..self.clone()
        };
        let mut text = line(&head);
        self.phases.iter().for_each(|phase| text += &line(phase));
        text
    }

    /// A table for people.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let hollow = self.processes - self.real;
        let _ = writeln!(
            text,
            "{hollow} hollow and {} real processes, seed {}; hollow ones look every {} ms; formed after {} s; {} MiB here\n",
            self.real,
            self.seed,
            self.hollow_tick_ms,
            seconds(self.formed_s),
            self.hollow_resident_kib / 1024
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
        for fault in &self.not_played {
            let _ = writeln!(text, "{}: not played, time was too short", fault.name());
        }
        text
    }
}

impl Phase {
    fn write_to(&self, text: &mut String) {
        let grantor = self
            .processes
            .iter()
            .find(|process| Some(process.address) == self.grantor);
        row(
            text,
            &self.name,
            "mean",
            &self.sum(|all| all.iter().sum::<f64>() / all.len().max(1) as f64),
        );
        row(
            text,
            "",
            "most",
            &self.sum(|all| all.iter().copied().fold(0.0, f64::max)),
        );
        match grantor {
            Some(process) => row(text, "", "grantor", &Row::of(process)),
            None => {
                _ = writeln!(
                    text,
                    "{:<20} grantor  not a real process that was measured",
                    ""
                )
            }
        }
        let Views {
            processes,
            fewest,
            most,
            whole,
        } = self.hollow;
        let verdict = if self.is_conclusive() {
            ""
        } else {
            " (no verdict)"
        };
        let joined = self.fault.map_or(String::new(), |_| {
            format!(", all again after {} s", seconds(self.joined_s))
        });
        let Phase {
            members,
            through,
            straight,
            ..
        } = self;
        let _ = writeln!(
            text,
            "{:<20} {:.0} s, late {:.0} ms{verdict}; real ones saw {members} after {} s{joined}; \
             {whole} of {processes} hollow ones saw just that ({fewest} to {most})",
            "",
            self.seconds,
            self.late_ms,
            seconds(self.settled_s),
        );
        let _ = writeln!(
            text,
            "{:<20} p99 {} us through, {} us straight, {} us added; {} of {} unserved\n",
            "",
            through.p99_us,
            straight.p99_us,
            self.added_p99_us(),
            through.unserved,
            through.answered
        );
    }

    /// A row over all processes: each figure by itself.
    fn sum(&self, of: fn(&[f64]) -> f64) -> Row {
        let rows: Vec<Row> = self.processes.iter().map(Row::of).collect();
        let column = |n: usize| of(&rows.iter().map(|row| row.0[n]).collect::<Vec<f64>>());
        Row(std::array::from_fn(column))
    }
}

/// Figures by column: processor, MiB, four pairs of a mean and a most, p99, members up.
struct Row([f64; 12]);

impl Row {
    fn of(process: &Figures) -> Row {
        const KIB: f64 = 1024.0;
        let (sent, received) = (process.packets_sent, process.packets_received);
        let (out, back) = (process.bytes_sent, process.bytes_received);
        Row([
            process.processor_percent,
            process.resident_kib as f64 / KIB,
            sent.mean,
            sent.most,
            received.mean,
            received.most,
            out.mean / KIB,
            out.most / KIB,
            back.mean / KIB,
            back.most / KIB,
            process.through.p99_us as f64,
            process.up as f64,
        ])
    }
}

fn row(text: &mut String, phase: &str, process: &str, row: &Row) {
    let [cpu, mib, sent, sent_most, received, received_most, out, out_most, back, back_most, p99, up] =
        row.0;
    let _ = writeln!(
        text,
        "{phase:<20} {process:<8} {cpu:>7.2} {mib:>5.1} {:>15} {:>15} {:>17} {:>17} {p99:>7.0} {up:>9.1}",
        format!("{sent:.1} ({sent_most:.0})"),
        format!("{received:.1} ({received_most:.0})"),
        format!("{out:.2} ({out_most:.1})"),
        format!("{back:.2} ({back_most:.1})"),
    );
}

fn seconds(after: Option<f64>) -> String {
    after.map_or_else(|| "-".into(), |after| format!("{after:.1}"))
}

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default() + "\n"
}
