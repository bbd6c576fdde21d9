//! The environment of a play (processes, endpoints, discovery and clients), and the execution of
//! the steps of its schedule.

use super::client::{Clients, RotationFlag};
use super::discovery::{Availability, Discovery};
use super::disturbance::SIGKILL_DELAY;
use super::files::{self, ProcessAddresses, STOP_TIME};
use super::notification::{NotificationTracker, MAX_NOTIFICATION_DELAY};
use super::process::Process;
use super::records::{EndpointRestart, ListChange, ProcessRun, Records, ResourceUsage};
use super::schedule::{
    swap_states, Behavior, EndpointList, ListedState, Schedule, ShutdownSignals, Step,
    ENDPOINT_COUNT,
};
use super::stand_in::{ExecutionLog, StandInEndpoint};
use super::Deployment;
use dewrun_test_support::{free_addresses, resident_kib_of, try_call, until, Daemon, Folder};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CLIENT_COUNT: usize = 16;
/// The maximum time that an installation needs for its last responses after it has closed its
/// listeners, which it does after half of its stop time.
const MAX_LAST_RESPONSES_TIME: Duration = Duration::from_millis(900);
/// The maximum stop time of the platform's proxy: the longest deadline of a request (3 s), and
/// 0.4 s for the last responses.
const MAX_PLATFORM_STOP_TIME: Duration = Duration::from_millis(3_400);
/// The maximum time that the site waits until a process of an installation has read its file.
const MAX_RELOAD_TIME: Duration = Duration::from_secs(6);
/// The delay that a notification has until an outage of discovery ends and its true time is known.
/// It is longer than any play.
const PENDING_NOTIFICATION_DELAY: Duration = Duration::from_secs(24 * 3_600);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The environment of a play: the processes under test, and stand-ins for their endpoints and
/// for discovery.
pub struct Site {
    dewrun: String,
    deployment: Deployment,
    folder: Folder,
    endpoints: Vec<StandInEndpoint>,
    execution_log: Arc<ExecutionLog>,
    discovery: Discovery,
    listen_addresses: Vec<SocketAddr>,
    /// Whether clients connect to each process. A flag is false until its process is up.
    in_rotation: Vec<RotationFlag>,
    fleet_addresses: Vec<SocketAddr>,
    /// The control address of each process on the platform.
    control_addresses: Vec<SocketAddr>,
    processes: Vec<Process>,
    /// The index of discovery's current list.
    list_index: u32,
    is_discovery_polled: bool,
    notifications: NotificationTracker,
    /// The start of the current discovery outage, if there is one.
    outage_started_at: Option<Instant>,
    discovery_outages: Vec<(Instant, Instant)>,
    /// The open connections on which no request is sent.
    idle_connections: Vec<TcpStream>,
    list_changes: Vec<ListChange>,
    /// The changes of endpoint behavior, each with the endpoint that is faulty from then on, if
    /// any.
    endpoint_faults: Vec<(Instant, Option<usize>)>,
    connection_bursts: Vec<Instant>,
    /// The stop time of each endpoint that is stopped.
    endpoint_stopped_at: [Option<Instant>; ENDPOINT_COUNT],
    endpoint_restarts: Vec<EndpointRestart>,
}

impl Site {
    /// Starts the endpoints, discovery and the processes, with all endpoints ready, and waits until
    /// the processes are up.
    pub fn start(dewrun: &str, deployment: Deployment, is_discovery_polled: bool) -> Site {
        let execution_log: Arc<ExecutionLog> = Arc::default();
        let endpoints: Vec<StandInEndpoint> = (0..ENDPOINT_COUNT)
            .map(|number| StandInEndpoint::start(number, deployment, &execution_log))
            .collect();
        let count = deployment.process_count();
        let mut site = Site {
            dewrun: dewrun.to_string(),
            deployment,
            folder: Folder::new(),
            endpoints,
            execution_log,
            discovery: Discovery::start(),
            listen_addresses: free_addresses(count),
            in_rotation: (0..count).map(|_| RotationFlag::default()).collect(),
            fleet_addresses: free_addresses(count),
            control_addresses: free_addresses(count),
            processes: Vec::new(),
            list_index: 1,
            is_discovery_polled,
            notifications: NotificationTracker::new(is_discovery_polled),
            outage_started_at: None,
            discovery_outages: Vec::new(),
            idle_connections: Vec::new(),
            list_changes: Vec::new(),
            endpoint_faults: Vec::new(),
            connection_bursts: Vec::new(),
            endpoint_stopped_at: [None; ENDPOINT_COUNT],
            endpoint_restarts: Vec::new(),
        };
        let all_ready = [ListedState::Ready; ENDPOINT_COUNT];
        site.discovery.set_list(site.discovery_list(&all_ready));
        for process in 0..count {
            let daemon = site.launch(process, &all_ready);
            let max_stop_time = site.max_stop_time();
            site.processes
                .push(Process::new(daemon, process, max_stop_time));
        }
        until("all processes are up", || {
            assert!(site.poll_processes(), "all processes have exited");
            site.in_rotation
                .iter()
                .all(|in_rotation| in_rotation.load(Ordering::SeqCst))
        });
        let now = Instant::now();
        site.list_changes.push(ListChange {
            started_at: now,
            notified_at: now,
            list: all_ready,
        });
        site
    }

    /// Starts a process with a configuration file for this list.
    fn launch(&self, process: usize, list: &EndpointList) -> Daemon {
        let file = self
            .folder
            .put(&config_file_name(process), &self.config(process, list));
        let file = file.to_str().expect("the path is not valid UTF-8");
        match self.deployment {
            Deployment::Fleet => Daemon::start(&self.dewrun, &["serve", "--config", file], &[]),
            Deployment::Platform => {
                let listen = self.listen_addresses[process].to_string();
                let control = self.control_addresses[process].to_string();
                let variables = [
                    ("NODE_CONFIG", file),
                    ("NODE_LISTEN", listen.as_str()),
                    ("NODE_CONTROL", control.as_str()),
                ];
                Daemon::start(&self.dewrun, &[], &variables)
            }
        }
    }

    /// Returns the configuration of a process.
    fn config(&self, process: usize, list: &EndpointList) -> String {
        match self.deployment {
            Deployment::Platform => {
                files::platform_config(self.discovery.address, self.is_discovery_polled)
            }
            Deployment::Fleet => {
                let addresses = ProcessAddresses {
                    process,
                    listen: self.listen_addresses[process],
                    fleet: &self.fleet_addresses,
                };
                files::installation_config(&addresses, list, &self.endpoints)
            }
        }
    }

    fn discovery_list(&self, list: &EndpointList) -> String {
        files::discovery_list(self.list_index, list, &self.endpoints)
    }

    /// Plays a schedule, stops the processes, and returns the records.
    pub fn play(mut self, schedule: &Schedule) -> Records {
        let started_at = Instant::now();
        let in_rotation = self.in_rotation.iter().cloned();
        let addresses = self.listen_addresses.iter().copied();
        let processes: Vec<_> = addresses.zip(in_rotation).collect();
        let clients = Clients::start(CLIENT_COUNT, &processes, schedule.has_idle_clients);
        let mut steps = Vec::new();
        for (at_ms, step) in &schedule.steps {
            self.wait_until(started_at + Duration::from_millis(*at_ms));
            steps.push((started_at.elapsed(), *step));
            self.execute(step);
        }
        self.wait_until(started_at + schedule.duration);
        let usage = self.usage();
        self.stop(&schedule.shutdown);
        let (process_runs, logs) = self
            .processes
            .into_iter()
            .map(Process::into_records)
            .unzip();
        let process_runs: Vec<Vec<ProcessRun>> = process_runs;
        let calls = clients.stop();
        Records {
            deployment: self.deployment,
            started_at,
            steps,
            calls,
            executions: self.execution_log.executions(),
            list_changes: self.list_changes,
            endpoint_faults: self.endpoint_faults,
            discovery_outages: self.discovery_outages,
            endpoint_restarts: self.endpoint_restarts,
            connection_bursts: self.connection_bursts,
            process_runs: process_runs.concat(),
            usage,
            logs,
        }
    }

    /// Returns the resource usage of the running processes.
    fn usage(&mut self) -> Vec<ResourceUsage> {
        let processes = self.processes.iter_mut();
        let usage = processes.filter_map(|process| {
            let is_running = process.is_running();
            is_running.then(|| resource_usage(process.daemon().id()))
        });
        usage.collect()
    }

    /// Waits until a time, and meanwhile polls the processes.
    fn wait_until(&mut self, at: Instant) {
        while Instant::now() < at {
            self.poll_processes();
            let remaining = at.saturating_duration_since(Instant::now());
            thread::sleep(remaining.min(POLL_INTERVAL));
        }
    }

    /// Puts the processes that have come up in rotation, and records the exits of processes.
    /// Returns whether any process is running.
    fn poll_processes(&mut self) -> bool {
        for number in 0..self.processes.len() {
            let in_rotation = &self.in_rotation[number];
            if !in_rotation.load(Ordering::SeqCst) && self.is_up(number) {
                in_rotation.store(true, Ordering::SeqCst);
            }
        }
        let running = self.processes.iter_mut().filter_map(|process| {
            let is_running = process.is_running();
            is_running.then_some(())
        });
        running.count() > 0
    }

    /// Executes a step. Idle connections that the previous step opened are closed first.
    fn execute(&mut self, step: &Step) {
        self.idle_connections.clear();
        match step {
            Step::ChangeList(list) => self.change_list(*list),
            Step::SwapList => self.change_list(swap_states(&self.current_list())),
            Step::ReloadSameList => self.reload(&self.current_list()),
            Step::ReloadInvalidFile => {
                for process in 0..self.processes.len() {
                    self.folder.put(&config_file_name(process), "{ \"[");
                    self.processes[process].signal("-HUP");
                }
            }
            Step::StopEndpoint(number) => {
                self.endpoint_stopped_at[*number] = Some(Instant::now());
                self.endpoints[*number].stop();
            }
            Step::StartEndpoint(number) => self.restart_endpoint(*number),
            Step::Signal(process, signal) => self.processes[*process].signal(signal),
            Step::Drain(process) => self.drain(*process),
            Step::KillAndRestart(process) | Step::RestartAfterSigterm(process) => {
                self.restart_process(*process)
            }
            Step::SetBehavior(number, behavior) => self.set_endpoint_behavior(*number, *behavior),
            Step::CloseWatches => {
                self.notifications.record_closed_watches(Instant::now());
                self.discovery.close_watches();
            }
            Step::SilenceWatches => {
                self.notifications.record_silent_watches(Instant::now());
                self.discovery.silence_watches();
            }
            Step::SetDiscovery(availability) => self.set_discovery_availability(*availability),
            Step::OpenIdleConnections(count) => {
                self.connection_bursts.push(Instant::now());
                let connected = (0..*count).map(|_| TcpStream::connect(self.listen_addresses[0]));
                self.idle_connections = connected.filter_map(Result::ok).collect();
            }
        }
    }

    /// Restarts an endpoint that is stopped, and publishes a list with its new start time.
    fn restart_endpoint(&mut self, number: usize) {
        let Some(stopped_at) = self.endpoint_stopped_at[number].take() else {
            return;
        };
        self.endpoints[number].restart();
        let started_at = Instant::now();
        self.change_list(self.current_list());
        self.endpoint_restarts.push(EndpointRestart {
            endpoint: number,
            stopped_at,
            started_at,
            notified_at: self.list_changes[self.list_changes.len() - 1].notified_at,
        });
    }

    /// Kills a process by SIGKILL if it is still running, and starts its replacement. Waits until
    /// the replacement accepts connections, so that no signal is sent to a process that is
    /// starting.
    fn restart_process(&mut self, number: usize) {
        self.processes[number].kill();
        self.in_rotation[number].store(false, Ordering::SeqCst);
        let daemon = self.launch(number, &self.current_list());
        let process = &mut self.processes[number];
        process.replace(daemon);
        self.notifications.record_process_start(Instant::now());
        while process.is_running() && TcpStream::connect(self.listen_addresses[number]).is_err() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns whether clients may connect to a process: on the platform once `/up` returns 200, in
    /// a fleet once the process accepts connections.
    fn is_up(&self, process: usize) -> bool {
        let address = self.listen_addresses[process];
        match self.deployment {
            Deployment::Platform => try_call(address, "GET /up HTTP/1.1\r\nHost: p\r\n\r\n")
                .is_some_and(|response| response.status() == 200),
            Deployment::Fleet => TcpStream::connect(address).is_ok(),
        }
    }

    /// Requests a drain at the control address of a process.
    fn drain(&mut self, process: usize) {
        self.processes[process].record_drain();
        let request = "PUT /healthcheck/fail HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n\r\n";
        try_call(self.control_addresses[process], request);
    }

    fn current_list(&self) -> EndpointList {
        self.list_changes[self.list_changes.len() - 1].list
    }

    /// Changes the behavior of one endpoint; all others become healthy.
    fn set_endpoint_behavior(&mut self, number: usize, behavior: Behavior) {
        for endpoint in &self.endpoints {
            endpoint.set_behavior(Behavior::Healthy);
        }
        self.endpoints[number].set_behavior(behavior);
        let faulty_endpoint = Some(number).filter(|_| behavior != Behavior::Healthy);
        self.endpoint_faults.push((Instant::now(), faulty_endpoint));
    }

    /// Publishes a list in the files or at discovery, and records it.
    fn change_list(&mut self, list: EndpointList) {
        let started_at = Instant::now();
        let notified_at = match self.deployment {
            Deployment::Fleet => {
                self.reload(&list);
                Instant::now()
            }
            Deployment::Platform => {
                self.list_index += 1;
                self.discovery.set_list(self.discovery_list(&list));
                let now = Instant::now();
                self.notifications
                    .notification_time(now)
                    .unwrap_or(now + PENDING_NOTIFICATION_DELAY)
            }
        };
        self.list_changes.push(ListChange {
            started_at,
            notified_at,
            list,
        });
    }

    /// Changes the availability of discovery. List changes of which the processes were not notified
    /// before an outage count as notified a fixed time after its end.
    fn set_discovery_availability(&mut self, availability: Availability) {
        let now = Instant::now();
        self.discovery.set_availability(availability);
        self.notifications.record_availability(availability, now);
        if !availability.can_serve_lists() {
            self.outage_started_at.get_or_insert(now);
        } else if let Some(started_at) = self.outage_started_at.take() {
            self.discovery_outages.push((started_at, now));
            let missed = self
                .list_changes
                .iter_mut()
                .filter(|change| change.notified_at > started_at);
            missed.for_each(|change| change.notified_at = now + MAX_NOTIFICATION_DELAY);
        }
    }

    /// Writes the configuration files and sends SIGHUP, one process after the other. In a fleet,
    /// waits until each process has read its file, but not for a process that is stopping, which
    /// reads no file any more.
    fn reload(&mut self, list: &EndpointList) {
        for number in 0..self.processes.len() {
            let text = self.config(number, list);
            self.folder.put(&config_file_name(number), &text);
            let is_waited_for =
                self.deployment == Deployment::Fleet && self.processes[number].is_in_service();
            let before = self.count_reloads(number);
            self.processes[number].signal("-HUP");
            let started_at = Instant::now();
            while is_waited_for
                && self.count_reloads(number) == before
                && started_at.elapsed() < MAX_RELOAD_TIME
            {
                self.wait_until(Instant::now() + POLL_INTERVAL);
            }
        }
    }

    /// Returns how often a process has logged a reload.
    fn count_reloads(&mut self, process: usize) -> usize {
        self.processes[process].daemon().logged("reloaded: ")
    }

    /// Sends the shutdown signals, and kills the processes that still run after the SIGKILL delay.
    fn stop(&mut self, shutdown: &ShutdownSignals) {
        let started_at = Instant::now();
        for (after_ms, process, signal) in shutdown.signals(self.processes.len()) {
            self.wait_until(started_at + Duration::from_millis(after_ms));
            self.processes[process].signal(signal);
        }
        while self.poll_processes() {
            let sigkill_delay = self.sigkill_delay();
            for process in &mut self.processes {
                if process
                    .stop_signal_sent_at()
                    .is_none_or(|at| at.elapsed() >= sigkill_delay)
                {
                    process.kill();
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the time within which a process must exit after SIGTERM.
    fn max_stop_time(&self) -> Duration {
        match self.deployment {
            Deployment::Platform => MAX_PLATFORM_STOP_TIME,
            Deployment::Fleet => STOP_TIME / 2 + MAX_LAST_RESPONSES_TIME,
        }
    }

    /// Returns the time from SIGTERM to SIGKILL: on the platform as it specifies, in an
    /// installation the configured stop time.
    fn sigkill_delay(&self) -> Duration {
        match self.deployment {
            Deployment::Platform => SIGKILL_DELAY,
            Deployment::Fleet => STOP_TIME,
        }
    }
}

fn config_file_name(process: usize) -> String {
    format!("i{process}.conf")
}

fn resource_usage(process: u32) -> ResourceUsage {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
    ResourceUsage {
        memory_kib: resident_kib_of(process),
        descriptors: descriptors.map_or(0, Iterator::count),
    }
}
