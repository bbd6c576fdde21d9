//! Drill plans, which the command line calls schedules. A plan is a fleet, the load on it, and the
//! faults of a run; it is read from a file or drawn from a seed.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A fleet, its backends, the load on it, and the faults of one run. In a file, a key has the name in
/// the `rename` attribute of its field, or that of the field if there is none.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan, for reports.
    #[serde(default)]
    pub name: String,
    /// Number of processes that run from the start.
    pub processes: usize,
    /// Number of further processes that a fault may start.
    #[serde(default, rename = "more")]
    pub extra_processes: usize,
    /// Number of voters, which are the processes with the lowest indices.
    #[serde(default = "default_voters")]
    pub voters: usize,
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Total rate of the budget, in requests per second.
    pub rate: f64,
    /// Burst of the budget, in requests.
    pub burst: f64,
    /// Rate that each voter may spend without a lease, in requests per second.
    #[serde(default)]
    pub floor: f64,
    /// Whether the total is divided evenly among the processes in place of leases, for comparison.
    #[serde(default)]
    pub by_rank: bool,
    /// Number of backends.
    #[serde(default = "default_backends")]
    pub backends: usize,
    /// Response time of each backend, in milliseconds.
    #[serde(default, rename = "answer_ms")]
    pub response_ms: u64,
    /// Fraction of requests that backends fail with status 500.
    #[serde(default, rename = "errors")]
    pub error_fraction: f64,
    /// Retry budget of the whole fleet, in retries per second; its burst is the same number. Clients
    /// send GET requests if it is set, and POST requests otherwise.
    #[serde(default, rename = "repeats")]
    pub retry_rate: Option<f64>,
    /// Maximum number of attempts of the whole fleet in flight at each backend.
    #[serde(default, rename = "each_member")]
    pub max_in_flight_per_member: Option<u64>,
    /// Number of cells that the backends are divided into, by their index modulo this number. If it
    /// is not 0, requests carry idempotency keys, each cell executes a key once, dewrun is
    /// configured with a deduplication window of two seconds, and clients retry requests whose
    /// status is neither 200 nor 429 at the following processes, up to three times.
    #[serde(default, rename = "groups")]
    pub cells: usize,
    /// Whether each process stores its replicated state in a folder.
    #[serde(default, rename = "state")]
    pub has_state_folder: bool,
    /// Maximum time for which a starting process catches up with its peers before it serves, in
    /// milliseconds; dewrun's default if absent.
    #[serde(default)]
    pub catch_up_ms: Option<u64>,
    /// Changes of the clients' request rates.
    #[serde(default, rename = "caller")]
    pub rate_changes: Vec<RateChange>,
    /// Faults, repairs and operator actions.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Creates a plan with one backend, without load and without faults.
    pub fn new(name: &str, processes: usize, seconds: f64) -> Plan {
        Plan {
            name: name.into(),
            processes,
            extra_processes: 0,
            voters: processes.min(3),
            seconds,
            rate: 200.0,
            burst: 20.0,
            floor: 0.0,
            by_rank: false,
            backends: 1,
            response_ms: 0,
            error_fraction: 0.0,
            retry_rate: None,
            max_in_flight_per_member: None,
            cells: 0,
            has_state_folder: false,
            catch_up_ms: None,
            rate_changes: Vec::new(),
            faults: Vec::new(),
        }
    }
}

fn default_backends() -> usize {
    1
}

fn default_voters() -> usize {
    3
}

impl Plan {
    /// Returns an error if the plan exceeds the limits of a drill or names a process, a member or an
    /// order that does not exist.
    pub fn check(&self) -> Result<(), String> {
        let process_count = self.processes + self.extra_processes;
        if !(1..=100).contains(&process_count)
            || self.processes == 0
            || !(1..=self.processes).contains(&self.voters)
        {
            return Err(
                "a drill needs 1 to 100 processes, at least one of which runs from the start; the number of voters must be from 1 to the number of those that run from the start"
                    .into(),
            );
        }
        if !(1..=100).contains(&self.backends)
            || !(0.0..=1.0).contains(&self.error_fraction)
            || self.response_ms > 10_000
        {
            return Err(
                "a drill needs 1 to 100 backends, an error fraction from 0 to 1, and a response time of at most 10 s"
                    .into(),
            );
        }
        let rates = self
            .rate_changes
            .iter()
            .map(|change| change.rate)
            .chain([self.rate]);
        if !(0.1..=600.0).contains(&self.seconds)
            || rates.into_iter().any(|r| !(0.0..=5_000.0).contains(&r))
        {
            return Err(
                "a drill lasts 0.1 to 600 s, with rates of at most 5000 requests per second".into(),
            );
        }
        let processes_of = |kind: &FaultKind| -> Vec<usize> {
            match kind {
                FaultKind::Kill { process }
                | FaultKind::Suspend { process }
                | FaultKind::Resume { process }
                | FaultKind::ShutDown { process }
                | FaultKind::Start { process }
                | FaultKind::Order { process, .. }
                | FaultKind::SetListEntry { process, .. } => vec![*process],
                FaultKind::CutLinks { from, to, .. } => from.iter().chain(to).copied().collect(),
                FaultKind::DegradeLinks { .. }
                | FaultKind::RepairLinks
                | FaultKind::SetFaulty { .. } => Vec::new(),
            }
        };
        let members = self.faults.iter().filter_map(|fault| match &fault.kind {
            FaultKind::Order { member, .. }
            | FaultKind::SetListEntry { member, .. }
            | FaultKind::SetFaulty { member, .. } => Some(*member),
            _ => None,
        });
        if let Some(member) = members.clone().find(|member| *member >= self.backends) {
            return Err(format!(
                "there is no member {member}: members are numbered from 0 to {}",
                self.backends - 1
            ));
        }
        let desired_states = self.faults.iter().filter_map(|fault| match &fault.kind {
            FaultKind::Order { desired_state, .. } => Some(desired_state.as_str()),
            _ => None,
        });
        if let Some(unknown) = desired_states
            .into_iter()
            .find(|state| !["drain", "return"].contains(state))
        {
            return Err(format!(
                "{unknown:?} is not an order: use \"drain\" or \"return\""
            ));
        }
        let mut named_processes = self
            .rate_changes
            .iter()
            .map(|change| change.process)
            .chain(self.faults.iter().flat_map(|f| processes_of(&f.kind)));
        match named_processes.find(|process| *process >= process_count) {
            Some(process) => Err(format!(
                "there is no process {process}: processes are numbered from 0 to {}",
                process_count - 1
            )),
            None => Ok(()),
        }
    }
}

/// A change of the rate at which clients send requests to one process.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateChange {
    /// Time of the change, in seconds from the start of the run.
    #[serde(default, rename = "at")]
    pub at_s: f64,
    /// Index of the process.
    #[serde(rename = "to")]
    pub process: usize,
    /// New rate, in requests per second.
    pub rate: f64,
}

/// A fault, a repair or an operator action, and its time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    /// Time, in seconds from the start of the run.
    #[serde(rename = "at")]
    pub at_s: f64,
    /// Kind of fault, repair or operator action.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// A kind of [`Fault`]. In a file, the value of the key `kind` is the name in the `rename` attribute
/// of a variant, or the variant's name in lowercase if there is none.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum FaultKind {
    /// Kills a process (SIGKILL).
    Kill {
        /// Index of the process.
        process: usize,
    },
    /// Suspends a process (SIGSTOP).
    #[serde(rename = "stop")]
    Suspend {
        /// Index of the process.
        process: usize,
    },
    /// Resumes a suspended process (SIGCONT).
    #[serde(rename = "continue")]
    Resume {
        /// Index of the process.
        process: usize,
    },
    /// Requests the graceful shutdown of a process (SIGTERM).
    #[serde(rename = "leave")]
    ShutDown {
        /// Index of the process.
        process: usize,
    },
    /// Starts a process, or restarts it if it runs.
    Start {
        /// Index of the process.
        process: usize,
    },
    /// Cuts links, so that everything that some processes send to others is blocked.
    #[serde(rename = "cut")]
    CutLinks {
        /// Indices of the sending processes.
        from: Vec<usize>,
        /// Indices of the receiving processes.
        to: Vec<usize>,
        /// Whether the opposite direction is cut too.
        #[serde(default, rename = "both")]
        is_bidirectional: bool,
    },
    /// Makes all links that are not cut lose, duplicate and delay packets.
    #[serde(rename = "weather")]
    DegradeLinks {
        /// Fraction of packets that are lost.
        #[serde(default, rename = "loss")]
        loss_fraction: f64,
        /// Fraction of packets that are delivered twice.
        #[serde(default, rename = "twice")]
        duplicate_fraction: f64,
        /// Maximum delay of a packet, in milliseconds.
        #[serde(default, rename = "delay_ms")]
        max_delay_ms: u64,
        /// Fraction of packets that have an additional delay.
        #[serde(default, rename = "late")]
        late_fraction: f64,
        /// Maximum additional delay, in milliseconds.
        #[serde(default, rename = "late_ms")]
        max_additional_delay_ms: u64,
    },
    /// Ends the cuts and faults of all links.
    #[serde(rename = "mend")]
    RepairLinks,
    /// Orders one process to drain a member or to return it to service.
    Order {
        /// Index of the process that accepts the order.
        process: usize,
        /// Index of the backend.
        member: usize,
        /// The order, either `drain` or `return`.
        #[serde(rename = "wish")]
        desired_state: String,
    },
    /// Changes the entry of a member in the endpoint list of one process.
    #[serde(rename = "list")]
    SetListEntry {
        /// Index of the process that reads the list.
        process: usize,
        /// Index of the backend.
        member: usize,
        /// New entry.
        #[serde(rename = "says")]
        entry: ListEntry,
    },
    /// Makes a backend close its connections without a response, or lets it respond again.
    #[serde(rename = "sick")]
    SetFaulty {
        /// Index of the backend.
        member: usize,
        /// Whether the backend is faulty from now on.
        #[serde(default = "default_true", rename = "is")]
        is_faulty: bool,
    },
}

fn default_true() -> bool {
    true
}

/// Entry of a member in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListEntry {
    /// The member is listed as ready.
    Ready,
    /// The member is listed as draining.
    Draining,
    /// The member is not listed.
    #[serde(rename = "gone")]
    Absent,
    /// The member is listed with an address that nothing listens on.
    #[serde(rename = "elsewhere")]
    WrongAddress,
}

/// Draws a plan from a seed: kills, suspensions, cuts and degraded links, the end of each, and changes
/// of the request rates. The same arguments draw the same plan.
pub fn random_plan(processes: usize, seconds: f64, seed: u64) -> Plan {
    // SplitMix64.
    let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut draw = move |below: usize| {
        state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) % below.max(1) as u64) as usize
    };
    let rate = 200.0;
    let mut rate_changes: Vec<RateChange> = (0..processes)
        .map(|process| RateChange {
            at_s: 0.0,
            process,
            rate: 2.0 * rate / processes as f64 * (0.5 + draw(100) as f64 / 100.0),
        })
        .collect();
    let mut faults = Vec::new();
    // Maps each unavailable process to whether it is suspended; otherwise it was killed.
    let (mut at_s, mut unavailable): (f64, HashMap<usize, bool>) = (2.0, HashMap::new());
    // The last nine seconds have no new faults, so that the recovery is observed.
    while at_s < seconds - 9.0 {
        let process = draw(processes);
        let others: Vec<usize> = (0..processes).filter(|n| *n != process).collect();
        let kind = match (unavailable.remove(&process), draw(7)) {
            (Some(true), _) => FaultKind::Resume { process },
            (Some(false), _) => FaultKind::Start { process },
            (None, 0) => FaultKind::Kill { process },
            (None, 1 | 2) => FaultKind::Suspend { process },
            (None, 3) => FaultKind::CutLinks {
                from: vec![process],
                to: others,
                is_bidirectional: draw(2) == 0,
            },
            (None, 4) => FaultKind::CutLinks {
                from: (0..processes / 2).collect(),
                to: (processes / 2..processes).collect(),
                is_bidirectional: draw(2) == 0,
            },
            (None, 5) => FaultKind::DegradeLinks {
                loss_fraction: 0.2,
                duplicate_fraction: 0.2,
                max_delay_ms: 50,
                late_fraction: 0.1,
                max_additional_delay_ms: 4_000,
            },
            _ => FaultKind::RepairLinks,
        };
        match &kind {
            FaultKind::Kill { process } => _ = unavailable.insert(*process, false),
            FaultKind::Suspend { process } => _ = unavailable.insert(*process, true),
            _ => {}
        }
        faults.push(Fault { at_s, kind });
        let (process, factor) = (draw(processes), draw(100) as f64 / 25.0);
        rate_changes.push(RateChange {
            at_s,
            process,
            rate: rate / processes as f64 * factor,
        });
        at_s += 0.4 + draw(16) as f64 / 10.0;
    }
    let mut unavailable: Vec<(usize, bool)> = unavailable.into_iter().collect();
    unavailable.sort_unstable();
    let at_s = seconds - 8.5;
    faults.push(Fault {
        at_s,
        kind: FaultKind::RepairLinks,
    });
    faults.extend(
        unavailable
            .into_iter()
            .map(|(process, is_suspended)| Fault {
                at_s,
                kind: if is_suspended {
                    FaultKind::Resume { process }
                } else {
                    FaultKind::Start { process }
                },
            }),
    );
    rate_changes.extend((0..processes).map(|process| RateChange {
        at_s,
        process,
        rate: 2.0 * rate / processes as f64,
    }));
    let burst = (processes as f64).max(20.0);
    Plan {
        rate,
        burst,
        rate_changes,
        faults,
        ..Plan::new(&format!("drawn from seed {seed}"), processes, seconds)
    }
}
