//! Runs the processes, links, backends and clients of a drill, and plays its plan.

use super::backends::{start_backend, BackendState};
use super::checks::{drain_lag, max_held_fraction, max_window_fraction, DrainSpan, WindowLimit};
use super::clients::{
    run_connection, ClientState, RequestRecord, CONNECTIONS_PER_PROCESS, RESPONSE_TIMEOUT,
};
use super::report::{Report, Second};
use super::schedule::{FaultKind, ListEntry, Plan};
use crate::audit::{ClientRecord, EffectClass, ExecutionRecord, RequestLedger, Violation};
use dewrun_test_support::{free_addresses, Backend, Daemon, Folder, LinkFaults, Links};
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a process may need to serve again after it was started or resumed, in seconds.
const RECOVERY_S: f64 = 2.0;

/// Span in which a process may be unavailable, in seconds since [`ClientState::start`].
struct Outage {
    process: usize,
    from_s: f64,
    to_s: f64,
}

/// A fleet of real processes with its links, backends and clients.
pub struct DrillFleet {
    program: String,
    plan: Plan,
    folder: Folder,
    fleet_addresses: Vec<SocketAddr>,
    listen_addresses: Vec<SocketAddr>,
    links: Links,
    backends: Vec<Backend>,
    backend_state: Arc<BackendState>,
    daemons: Vec<Option<Daemon>>,
    /// Entries of all members in the endpoint list of each process.
    lists: Vec<Vec<ListEntry>>,
    /// Drains by an order or by the endpoint list of one process.
    drains: Vec<DrainSpan>,
    outages: Vec<Outage>,
    clients: Arc<ClientState>,
    logs: Vec<String>,
}

impl DrillFleet {
    /// Starts the processes and waits until they accept connections.
    pub fn start(program: &str, plan: &Plan, seed: u64) -> DrillFleet {
        let n = plan.processes + plan.extra_processes;
        let (fleet_addresses, listen_addresses) = (free_addresses(n), free_addresses(n));
        let links = Links::among(&fleet_addresses, seed);
        let backend_state: Arc<BackendState> = Arc::default();
        let backends = (0..plan.backends)
            .map(|index| start_backend(index, plan, &backend_state))
            .collect();
        let clients = Arc::new(ClientState {
            start: Instant::now(),
            has_ended: AtomicBool::new(false),
            rates: (0..n).map(|_| AtomicU64::new(0)).collect(),
            method: if plan.retry_rate.is_some() {
                "GET"
            } else {
                "POST"
            },
            retry_addresses: if plan.cells > 0 {
                listen_addresses.clone()
            } else {
                Vec::new()
            },
            records: Mutex::default(),
            next_id: AtomicU64::new(0),
        });
        let mut fleet = DrillFleet {
            program: program.into(),
            plan: plan.clone(),
            folder: Folder::new(),
            fleet_addresses,
            listen_addresses,
            links,
            backends,
            backend_state,
            daemons: (0..n).map(|_| None).collect(),
            lists: vec![vec![ListEntry::Ready; plan.backends]; n],
            drains: Vec::new(),
            outages: Vec::new(),
            clients,
            logs: vec![String::new(); n],
        };
        for process in 0..plan.processes {
            fleet.start_process(process);
        }
        for process in 0..plan.processes {
            let address = fleet.listen_addresses[process];
            if let Some(daemon) = &mut fleet.daemons[process] {
                daemon.wait_until_listening(address);
            }
        }
        fleet
    }

    /// Returns the configuration file of a process.
    fn configuration(&self, process: usize) -> String {
        let Plan {
            rate,
            burst,
            floor,
            voters,
            by_rank,
            processes,
            ..
        } = &self.plan;
        let quoted_list = |addresses: &[SocketAddr]| {
            addresses
                .iter()
                .map(|address| format!("\"{address}\""))
                .collect::<Vec<_>>()
                .join(", ")
        };
        let addresses = &self.fleet_addresses;
        let via: String = (0..addresses.len())
            .filter(|to| *to != process)
            .map(|to| {
                format!(
                    "\"{}\" = \"{}\"\n",
                    addresses[to],
                    self.links.way(process, to)
                )
            })
            .collect();
        let own_address = addresses[process];
        let voter_addresses = quoted_list(&addresses[..*voters]);
        let (rate, burst, floor, voter_addresses) = match by_rank {
            // Each process is a fleet of its own and has an equal fraction of the budget.
            true => {
                let n = *processes as f64;
                (
                    rate / n,
                    (burst / n).max(1.0),
                    rate / n,
                    quoted_list(&[own_address]),
                )
            }
            false => (*rate, *burst, *floor, voter_addresses),
        };
        let retries = self.plan.retry_rate.map_or(String::new(), |rate| {
            format!("[[budget]]\nname = \"again\"\nrepeats = {rate:?}\nburst = {rate:?}\n")
        });
        let per_member = self
            .plan
            .max_in_flight_per_member
            .map_or(String::new(), |max| {
                format!(
                    "[[budget]]\nname = \"each\"\npool = \"main\"\nopen = {max}\neach_member = true\n\
                     [[class]]\nname = \"default\"\ndeadline = \"2s\"\n"
                )
            });
        let keyed = if self.plan.cells > 0 {
            "[[class]]\nname = \"default\"\neffect = \"keyed\"\nscope = \"cell\"\nwindow = \"2s\"\ndeadline = \"2s\"\n"
        } else {
            ""
        };
        let state = if self.plan.has_state_folder {
            format!("state = \"state{process}\"\n")
        } else {
            String::new()
        };
        let catch_up = self
            .plan
            .catch_up_ms
            .map_or(String::new(), |ms| format!("catch_up = \"{ms}ms\"\n"));
        format!(
            "[instance]\nname = \"i{process}\"\n[log]\nlines_per_s = 1000\ntrace = true\n[limits]\nstop_time = \"2s\"\n\
             [fleet]\naddress = \"{own_address}\"\nmembers = [{voter_addresses}]\n{state}{catch_up}[fleet.via]\n{via}\
             [[listener]]\nname = \"main\"\naddress = \"{}\"\n\
             [[pool]]\nname = \"main\"\nwarm_up = \"0s\"\nfile = \"members{process}.toml\"\nrepeats = 1.0\n\
             [[tenant]]\nname = \"acme\"\n\
             [[budget]]\nname = \"acme\"\ntenant = \"acme\"\nrate = {rate:?}\nburst = {burst:?}\nfloor = {floor:?}\n\
             {retries}{per_member}{keyed}\
             [[route]]\npool = \"main\"\ntenant = {{ fixed = \"acme\" }}\n",
            self.listen_addresses[process],
        )
    }

    /// Writes the endpoint list of a process.
    fn write_list(&self, process: usize) {
        let members = self.lists[process].iter().zip(&self.backends).enumerate();
        let entries = members.filter_map(|(member, (entry, backend))| {
            let address = if *entry == ListEntry::WrongAddress {
                free_addresses(1)[0]
            } else {
                backend.address
            };
            let draining = *entry == ListEntry::Draining;
            (*entry != ListEntry::Absent).then(|| {
                let cell = member % self.plan.cells.max(1);
                format!("{{ name = \"m{member}\", address = \"{address}\", draining = {draining}, cell = {cell} }}")
            })
        });
        let entries: Vec<String> = entries.collect();
        self.folder.put(
            &format!("members{process}.toml"),
            &format!("members = [{}]\n", entries.join(", ")),
        );
    }

    fn start_process(&mut self, process: usize) {
        self.write_list(process);
        let file = self
            .folder
            .put(&format!("i{process}.toml"), &self.configuration(process));
        let file = file.to_str().expect("the path is UTF-8");
        self.daemons[process] = Some(Daemon::start(
            &self.program,
            &["serve", "--config", file],
            &[],
        ));
    }

    /// Returns the fleet address of a process.
    pub fn fleet_address(&self, process: usize) -> SocketAddr {
        self.fleet_addresses[process]
    }

    /// Returns a process unless it was killed or has not been started.
    pub fn daemon(&self, process: usize) -> Option<&Daemon> {
        self.daemons[process].as_ref()
    }

    /// Sets the rate of requests to a process, in requests per second.
    pub fn set_rate(&self, process: usize, rate: f64) {
        self.clients.rates[process].store((rate * 1e3) as u64, Ordering::SeqCst);
    }

    fn now_s(&self) -> f64 {
        self.clients.start.elapsed().as_secs_f64()
    }

    /// Applies a fault, a repair or an operator action.
    pub fn apply(&mut self, kind: &FaultKind) {
        let now_s = self.now_s();
        match kind {
            FaultKind::Kill { process } => {
                self.begin_outage(*process, now_s);
                self.kill(*process);
            }
            FaultKind::ShutDown { process } => {
                self.begin_outage(*process, now_s);
                if let Some(daemon) = &self.daemons[*process] {
                    daemon.signal("-TERM");
                }
            }
            FaultKind::Suspend { process } => {
                self.begin_outage(*process, now_s);
                if let Some(daemon) = &self.daemons[*process] {
                    daemon.signal("-STOP");
                }
            }
            FaultKind::Resume { process } => {
                if let Some(daemon) = &self.daemons[*process] {
                    daemon.signal("-CONT");
                }
                self.end_outage(*process, now_s);
            }
            FaultKind::Start { process } => {
                self.kill(*process);
                self.start_process(*process);
                self.end_outage(*process, now_s);
            }
            FaultKind::CutLinks {
                from,
                to,
                is_bidirectional,
            } => {
                for sender in from {
                    for receiver in to.iter().filter(|receiver| *receiver != sender) {
                        self.links.cut(*sender, *receiver, true);
                        if *is_bidirectional {
                            self.links.cut(*receiver, *sender, true);
                        }
                    }
                }
            }
            FaultKind::DegradeLinks {
                loss_fraction,
                duplicate_fraction,
                max_delay_ms,
                late_fraction,
                max_additional_delay_ms,
            } => self.links.set_faults(LinkFaults {
                loss: *loss_fraction,
                twice: *duplicate_fraction,
                delay: Duration::from_millis(*max_delay_ms),
                late: (
                    *late_fraction,
                    Duration::from_millis(*max_additional_delay_ms),
                ),
            }),
            FaultKind::RepairLinks => self.links.repair(),
            FaultKind::Order {
                process,
                member,
                desired_state,
            } => self.order(*process, *member, desired_state),
            FaultKind::SetListEntry {
                process,
                member,
                entry,
            } => {
                self.lists[*process][*member] = *entry;
                self.write_list(*process);
                match entry {
                    ListEntry::Draining | ListEntry::Absent => self.record_drain(*member, true),
                    ListEntry::Ready => self.record_drain(*member, false),
                    ListEntry::WrongAddress => {}
                }
            }
            FaultKind::SetFaulty { member, is_faulty } => {
                let mut faulty = self.backend_state.faulty.lock().unwrap();
                if *is_faulty {
                    faulty.insert(*member);
                } else {
                    faulty.remove(member);
                }
            }
        }
    }

    /// Gives an order to a process with dewrun's command, and records the begin or end of the drain.
    fn order(&mut self, process: usize, member: usize, desired_state: &str) {
        // A return takes effect before the command exits.
        if desired_state == "return" {
            self.record_drain(member, false);
        }
        let (target, fleet_address) = (
            format!("main/m{member}"),
            self.fleet_addresses[process].to_string(),
        );
        let arguments = [
            "fleet",
            desired_state,
            &target,
            "--at",
            &fleet_address,
            "--by",
            "drill",
        ];
        let mut command = Command::new(&self.program);
        let status = command
            .args(arguments)
            .stdout(Stdio::null())
            .status()
            .expect("the program starts");
        assert!(
            status.success(),
            "the command failed to give the order to {desired_state} {target} at {fleet_address}"
        );
        if desired_state == "drain" {
            self.record_drain(member, true);
        }
    }

    /// Ends the current drain of a member, if there is one, and begins another if `is_drained`.
    fn record_drain(&mut self, member: usize, is_drained: bool) {
        let now_s = self.now_s();
        self.drains
            .iter_mut()
            .filter(|drain| drain.member == member && drain.to_s.is_infinite())
            .for_each(|drain| drain.to_s = now_s);
        if is_drained {
            self.drains.push(DrainSpan {
                member,
                from_s: now_s,
                to_s: f64::INFINITY,
            });
        }
    }

    /// Requests the replicated state of a process. Returns `None` if it does not respond.
    pub fn replicated_state(&self, process: usize) -> Option<serde_json::Value> {
        let mut stream = TcpStream::connect(self.fleet_addresses[process]).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        stream.write_all(b"dewrun fleet copy\n").ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        serde_json::from_str(&line).ok()
    }

    /// Kills a process if it runs, and keeps its log.
    fn kill(&mut self, process: usize) {
        if let Some(daemon) = self.daemons[process].take() {
            self.logs[process].push_str(&daemon.log());
        }
    }

    fn begin_outage(&mut self, process: usize, now_s: f64) {
        self.outages.push(Outage {
            process,
            from_s: now_s,
            to_s: f64::INFINITY,
        });
    }

    fn end_outage(&mut self, process: usize, now_s: f64) {
        for outage in self
            .outages
            .iter_mut()
            .filter(|outage| outage.process == process && outage.to_s.is_infinite())
        {
            outage.to_s = now_s + RECOVERY_S;
        }
    }

    /// Plays the plan, and returns the results.
    pub fn play(self) -> Report {
        self.play_and_inspect(|_| {})
    }

    /// Plays the plan, and calls `inspect` at its end while the processes still run.
    pub fn play_and_inspect(mut self, inspect: impl FnOnce(&DrillFleet)) -> Report {
        let mut connections = Vec::new();
        for (process, address) in self.listen_addresses.clone().into_iter().enumerate() {
            for index in 0..CONNECTIONS_PER_PROCESS {
                let clients = self.clients.clone();
                connections.push(thread::spawn(move || {
                    run_connection(&clients, process, address, index);
                }));
            }
        }
        enum Step {
            SetRate(usize, f64),
            Fault(FaultKind),
        }
        let mut steps: Vec<(f64, Step)> = self
            .plan
            .rate_changes
            .iter()
            .map(|change| (change.at_s, Step::SetRate(change.process, change.rate)))
            .collect();
        steps.extend(
            self.plan
                .faults
                .iter()
                .map(|fault| (fault.at_s, Step::Fault(fault.kind.clone()))),
        );
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let begin_s = self.now_s();
        let mut harness_delay_s: f64 = 0.0;
        let mut steps = steps.into_iter().peekable();
        while self.now_s() - begin_s < self.plan.seconds {
            let elapsed_s = self.now_s() - begin_s;
            while let Some((_, step)) = steps.next_if(|(at_s, _)| *at_s <= elapsed_s) {
                match step {
                    Step::SetRate(process, rate) => self.set_rate(process, rate),
                    Step::Fault(kind) => self.apply(&kind),
                }
            }
            let sleep_start = Instant::now();
            thread::sleep(Duration::from_millis(10));
            harness_delay_s = harness_delay_s.max(sleep_start.elapsed().as_secs_f64() - 0.010);
        }
        inspect(&self);
        self.clients.has_ended.store(true, Ordering::SeqCst);
        for connection in connections {
            connection.join().expect("a client ends without a panic");
        }
        for process in 0..self.daemons.len() {
            self.kill(process);
        }
        self.report(begin_s, harness_delay_s)
    }

    fn report(&self, begin_s: f64, harness_delay_s: f64) -> Report {
        let start = self.clients.start;
        let arrivals = std::mem::take(&mut *self.backend_state.arrivals.lock().unwrap());
        let records = std::mem::take(&mut *self.clients.records.lock().unwrap());
        let mut seconds = vec![Second::default(); self.plan.seconds.ceil() as usize + 1];
        let last = seconds.len() - 1;
        let second = |at_s: f64| ((at_s - begin_s).max(0.0) as usize).min(last);
        for record in &records {
            seconds[second(record.sent_s)].offered += 1;
            let counts = &mut seconds[second(record.done_s)];
            match record.status {
                Some(200) => counts.served += 1,
                Some(429) => counts.over_budget += 1,
                Some(503) => counts.rejected += 1,
                _ => counts.failed += 1,
            }
        }
        let mut arrival_times: Vec<f64> = arrivals
            .iter()
            .map(|arrival| (arrival.at - start).as_secs_f64() - begin_s)
            .collect();
        arrival_times.sort_by(f64::total_cmp);
        arrival_times
            .iter()
            .for_each(|at_s| seconds[second(at_s + begin_s)].arrived += 1);
        let is_in_outage = |record: &RequestRecord| {
            self.outages.iter().any(|outage| {
                outage.process == record.process
                    && record.sent_s < outage.to_s
                    && record.done_s > outage.from_s
            })
        };
        let requests = records
            .iter()
            .filter(|record| record.status.is_some() || !is_in_outage(record))
            .map(|record| ClientRecord {
                id: record.request_id.clone(),
                effect: match (self.clients.method, self.plan.cells) {
                    ("GET", _) => EffectClass::Idempotent,
                    (_, 0) => EffectClass::NonIdempotent,
                    _ => EffectClass::Keyed,
                },
                statuses: record.status.into_iter().collect(),
            });
        let executions = arrivals.iter().map(|arrival| ExecutionRecord {
            id: arrival.request_id.clone(),
            backend: arrival.backend,
            at: arrival.at,
        });
        let ledger = RequestLedger {
            requests: requests.collect(),
            executions: executions.collect(),
            ..RequestLedger::default()
        };
        let violations: Vec<String> = ledger.audit().iter().map(Violation::to_string).collect();
        // The rate of the budget limits only first attempts; later attempts are retries.
        let (mut first_attempts, mut retries, mut seen_ids) =
            (Vec::new(), Vec::new(), HashSet::new());
        for arrival in &arrivals {
            let at_s = (arrival.at - start).as_secs_f64();
            if seen_ids.insert(&arrival.request_id) {
                first_attempts.push(at_s);
            } else {
                retries.push(at_s);
            }
        }
        let Plan { rate, burst, .. } = self.plan;
        let retry_rate = self.plan.retry_rate.unwrap_or(f64::INFINITY);
        let total_limit = WindowLimit {
            rate,
            burst,
            harness_delay_s,
        };
        let retry_limit = WindowLimit {
            rate: retry_rate,
            burst: retry_rate,
            harness_delay_s,
        };
        Report {
            name: self.plan.name.clone(),
            max_window_fractions: [1.0, 5.0]
                .map(|window_s| max_window_fraction(&mut first_attempts, window_s, total_limit)),
            max_retry_fraction: max_window_fraction(&mut retries, 1.0, retry_limit),
            max_in_flight: self.backend_state.max_in_flight.load(Ordering::SeqCst),
            max_held_fraction: max_held_fraction(
                &self.logs,
                "acme",
                // A unit is a thousandth of a request per second.
                rate * 1e3 - self.plan.floor * 1e3 * self.plan.voters as f64,
            ),
            harness_delay_ms: harness_delay_s * 1e3,
            drains: self
                .drains
                .iter()
                .map(|drain| drain_lag(&arrivals, start, drain))
                .collect(),
            outcomes: records
                .iter()
                .map(|record| (record.process, record.sent_s - begin_s, record.status))
                .collect(),
            arrivals: arrivals
                .iter()
                .map(|arrival| {
                    (
                        (arrival.at - start).as_secs_f64() - begin_s,
                        arrival.backend,
                    )
                })
                .collect(),
            violations,
            seconds,
            arrival_times,
            logs: self.logs.clone(),
        }
    }
}
