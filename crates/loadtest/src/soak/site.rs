//! The processes of a play, what stands around them, and the steps of its schedule.

use super::client::{Clients, InRotation};
use super::discovery::{Availability, Discovery};
use super::disturbance::KILL_AFTER_SIGTERM;
use super::files::{self, Place, STOP_TIME};
use super::notice::{NotificationTracker, MAX_NOTIFICATION_DELAY};
use super::process::Process;
use super::records::{EndpointRestart, ListChange, ProcessRun, Records, ResourceUsage};
use super::schedule::{
    swap_states, Behavior, EndpointList, ListedState, Schedule, ShutdownSignals, Step,
    ENDPOINT_COUNT,
};
use super::stand_in::{Record, StandIn};
use super::Deployment;
use dewrun_test_support::{free_addresses, resident_kib_of, try_call, until, Daemon, Folder};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 16;
/// An installation accepts connections for half of its time, and then has only last responses to
/// write.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(900);
/// The platform's proxy is given as long, and a little more for the last answers.
const PLATFORM_STOP_TIME: Duration = Duration::from_millis(3_400);
/// A process of an installation has read its file after this time at the latest.
const MAX_RELOAD_TIME: Duration = Duration::from_secs(6);
/// Longer than any play.
const NEVER: Duration = Duration::from_secs(24 * 3_600);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The processes and what stands around them.
pub struct Site {
    dewrun: String,
    form: Deployment,
    folder: Folder,
    endpoints: Vec<StandIn>,
    record: Arc<Record>,
    discovery: Discovery,
    addresses: Vec<SocketAddr>,
    /// Whether clients are sent to a process: not before it is up.
    in_rotation: Vec<InRotation>,
    fleet: Vec<SocketAddr>,
    /// The second address of each process, on the platform.
    controls: Vec<SocketAddr>,
    processes: Vec<Process>,
    /// Numbers the lists of discovery.
    index: u32,
    is_polled: bool,
    notice: NotificationTracker,
    /// When discovery was last lost.
    outage: Option<Instant>,
    outages: Vec<(Instant, Instant)>,
    crowd: Vec<TcpStream>,
    lists: Vec<ListChange>,
    troubles: Vec<(Instant, Option<usize>)>,
    crowds: Vec<Instant>,
    /// When each endpoint ended that has not started again.
    ended: [Option<Instant>; ENDPOINT_COUNT],
    endpoint_restarts: Vec<EndpointRestart>,
}

impl Site {
    /// Starts everything, with all endpoints ready, and waits until the processes serve.
    pub fn start(dewrun: &str, form: Deployment, is_polled: bool) -> Site {
        let record: Arc<Record> = Arc::default();
        let endpoints: Vec<StandIn> = (0..ENDPOINT_COUNT)
            .map(|number| StandIn::start(number, form, &record))
            .collect();
        let count = form.process_count();
        let mut site = Site {
            dewrun: dewrun.to_string(),
            form,
            folder: Folder::new(),
            endpoints,
            record,
            discovery: Discovery::start(),
            addresses: free_addresses(count),
            in_rotation: (0..count).map(|_| InRotation::default()).collect(),
            fleet: free_addresses(count),
            controls: free_addresses(count),
            processes: Vec::new(),
            index: 1,
            is_polled,
            notice: NotificationTracker::new(is_polled),
            outage: None,
            outages: Vec::new(),
            crowd: Vec::new(),
            lists: Vec::new(),
            troubles: Vec::new(),
            crowds: Vec::new(),
            ended: [None; ENDPOINT_COUNT],
            endpoint_restarts: Vec::new(),
        };
        let all = [ListedState::Ready; ENDPOINT_COUNT];
        site.discovery.set(site.discovery_list(&all));
        for process in 0..count {
            let daemon = site.launch(process, &all);
            let limit = site.stop_limit();
            site.processes.push(Process::first(daemon, process, limit));
        }
        until("the processes are up", || {
            assert!(site.are_running(), "they ended");
            site.in_rotation
                .iter()
                .all(|in_rotation| in_rotation.load(Ordering::SeqCst))
        });
        let now = Instant::now();
        site.lists.push(ListChange {
            started_at: now,
            notified_at: now,
            list: all,
        });
        site
    }

    fn launch(&self, process: usize, list: &EndpointList) -> Daemon {
        let file = self
            .folder
            .put(&file_name(process), &self.file(process, list));
        let file = file.to_str().expect("a path");
        match self.form {
            Deployment::Fleet => Daemon::start(&self.dewrun, &["serve", "--config", file], &[]),
            Deployment::Platform => {
                let listen = self.addresses[process].to_string();
                let control = self.controls[process].to_string();
                let variables = [
                    ("NODE_CONFIG", file),
                    ("NODE_LISTEN", listen.as_str()),
                    ("NODE_CONTROL", control.as_str()),
                ];
                Daemon::start(&self.dewrun, &[], &variables)
            }
        }
    }

    /// The configuration of a process.
    fn file(&self, process: usize, members: &EndpointList) -> String {
        match self.form {
            Deployment::Platform => files::platform(self.discovery.address, self.is_polled),
            Deployment::Fleet => {
                let place = Place {
                    process,
                    address: self.addresses[process],
                    fleet: &self.fleet,
                };
                files::installation(&place, members, &self.endpoints)
            }
        }
    }

    fn discovery_list(&self, members: &EndpointList) -> String {
        files::discovery_list(self.index, members, &self.endpoints)
    }

    /// Plays a schedule to its end.
    pub fn play(mut self, schedule: &Schedule) -> Records {
        let begun = Instant::now();
        let in_rotation = self.in_rotation.iter().cloned();
        let processes: Vec<_> = self.addresses.iter().copied().zip(in_rotation).collect();
        let clients = Clients::start(CLIENTS, &processes, schedule.has_idle_clients);
        let mut steps = Vec::new();
        for (at_ms, step) in &schedule.steps {
            self.wait_until(begun + Duration::from_millis(*at_ms));
            steps.push((begun.elapsed(), *step));
            self.perform(step);
        }
        self.wait_until(begun + schedule.duration);
        let usage = self.usage();
        self.stop(&schedule.shutdown);
        let (lives, logs) = self.processes.into_iter().map(Process::into_lives).unzip();
        let lives: Vec<Vec<ProcessRun>> = lives;
        let calls = clients.stop();
        Records {
            deployment: self.form,
            started_at: begun,
            steps,
            calls,
            executions: self.record.ran(),
            list_changes: self.lists,
            endpoint_faults: self.troubles,
            discovery_outages: self.outages,
            endpoint_restarts: self.endpoint_restarts,
            connection_bursts: self.crowds,
            process_runs: lives.concat(),
            usage,
            logs,
        }
    }

    /// What the processes hold that run.
    fn usage(&mut self) -> Vec<ResourceUsage> {
        let processes = self.processes.iter_mut();
        let used = processes.filter_map(|process| {
            let is_running = process.is_running();
            is_running.then(|| usage(process.daemon().id()))
        });
        used.collect()
    }

    /// Waits, and sees when processes end.
    fn wait_until(&mut self, at: Instant) {
        while Instant::now() < at {
            self.are_running();
            let left = at.saturating_duration_since(Instant::now());
            thread::sleep(left.min(POLL_INTERVAL));
        }
    }

    /// Whether any process runs. Lets clients in where one has come up.
    fn are_running(&mut self) -> bool {
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

    fn perform(&mut self, step: &Step) {
        self.crowd.clear();
        match step {
            Step::ChangeList(list) => self.change_list(*list),
            Step::SwapList => self.change_list(swap_states(&self.present_list())),
            Step::RepeatList => self.reload(&self.present_list()),
            Step::InvalidFile => {
                for process in 0..self.processes.len() {
                    self.folder.put(&file_name(process), "{ \"[");
                    self.processes[process].signal("-HUP");
                }
            }
            Step::StopEndpoint(number) => {
                self.ended[*number] = Some(Instant::now());
                self.endpoints[*number].end();
            }
            Step::StartEndpoint(number) => self.start_endpoint(*number),
            Step::Signal(process, signal) => self.processes[*process].signal(signal),
            Step::Drain(process) => self.drain(*process),
            Step::KillAndRestart(process) | Step::RestartAfterSigterm(process) => {
                self.restart(*process)
            }
            Step::SetBehavior(number, behavior) => self.behave(*number, *behavior),
            Step::CloseWatches => {
                self.notice.record_closed_watches(Instant::now());
                self.discovery.hang_up();
            }
            Step::SilenceWatches => {
                self.notice.record_silent_watches(Instant::now());
                self.discovery.mute();
            }
            Step::SetDiscovery(reach) => self.reach(*reach),
            Step::OpenIdleConnections(count) => {
                self.crowds.push(Instant::now());
                let connected = (0..*count).map(|_| TcpStream::connect(self.addresses[0]));
                self.crowd = connected.filter_map(Result::ok).collect();
            }
        }
    }

    /// Starts an endpoint that has ended, and has the list tell of its start.
    fn start_endpoint(&mut self, number: usize) {
        let Some(ended) = self.ended[number].take() else {
            return;
        };
        self.endpoints[number].start_again();
        let started = Instant::now();
        self.change_list(self.present_list());
        self.endpoint_restarts.push(EndpointRestart {
            endpoint: number,
            stopped_at: ended,
            started_at: started,
            notified_at: self.lists[self.lists.len() - 1].notified_at,
        });
    }

    /// Ends a process by SIGKILL, if it still runs, and starts it again. No signal meets a process
    /// that has not come up.
    fn restart(&mut self, number: usize) {
        self.processes[number].kill();
        self.in_rotation[number].store(false, Ordering::SeqCst);
        let daemon = self.launch(number, &self.present_list());
        let process = &mut self.processes[number];
        process.succeed(daemon);
        self.notice.record_process_start(Instant::now());
        while process.is_running() && TcpStream::connect(self.addresses[number]).is_err() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether clients may be sent to a process: on the platform once it says so, else once it
    /// accepts.
    fn is_up(&self, process: usize) -> bool {
        let address = self.addresses[process];
        match self.form {
            Deployment::Platform => try_call(address, "GET /up HTTP/1.1\r\nHost: p\r\n\r\n")
                .is_some_and(|answer| answer.status() == 200),
            Deployment::Fleet => TcpStream::connect(address).is_ok(),
        }
    }

    fn drain(&mut self, process: usize) {
        self.processes[process].drain();
        let request = "PUT /healthcheck/fail HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n\r\n";
        try_call(self.controls[process], request);
    }

    fn present_list(&self) -> EndpointList {
        self.lists[self.lists.len() - 1].list
    }

    fn behave(&mut self, number: usize, behavior: Behavior) {
        for endpoint in &self.endpoints {
            endpoint.behave(Behavior::Healthy);
        }
        self.endpoints[number].behave(behavior);
        let trouble = Some(number).filter(|_| behavior != Behavior::Healthy);
        self.troubles.push((Instant::now(), trouble));
    }

    fn change_list(&mut self, list: EndpointList) {
        let begun = Instant::now();
        let notified = match self.form {
            Deployment::Fleet => {
                self.reload(&list);
                Instant::now()
            }
            Deployment::Platform => {
                self.index += 1;
                self.discovery.set(self.discovery_list(&list));
                let now = Instant::now();
                self.notice.notification_time(now).unwrap_or(now + NEVER)
            }
        };
        self.lists.push(ListChange {
            started_at: begun,
            notified_at: notified,
            list,
        });
    }

    /// Changes how discovery takes calls. What it could not tell counts as notified some time after its
    /// return.
    fn reach(&mut self, reach: Availability) {
        let now = Instant::now();
        self.discovery.reach(reach);
        self.notice.record_reach(reach, now);
        if !reach.can_serve_lists() {
            self.outage.get_or_insert(now);
        } else if let Some(begun) = self.outage.take() {
            self.outages.push((begun, now));
            let missed = self
                .lists
                .iter_mut()
                .filter(|change| change.notified_at > begun);
            missed.for_each(|change| change.notified_at = now + MAX_NOTIFICATION_DELAY);
        }
    }

    /// Writes the files and has them read, one process after the other. One that is ending reads
    /// nothing more.
    fn reload(&mut self, list: &EndpointList) {
        for number in 0..self.processes.len() {
            let text = self.file(number, list);
            self.folder.put(&file_name(number), &text);
            let is_waited_for =
                self.form == Deployment::Fleet && self.processes[number].is_in_service();
            let before = self.reloads(number);
            self.processes[number].signal("-HUP");
            let begun = Instant::now();
            while is_waited_for
                && self.reloads(number) == before
                && begun.elapsed() < MAX_RELOAD_TIME
            {
                self.wait_until(Instant::now() + POLL_INTERVAL);
            }
        }
    }

    fn reloads(&mut self, process: usize) -> usize {
        self.processes[process].daemon().logged("reloaded: ")
    }

    /// Ends each process by SIGTERM, and by SIGKILL as soon as the pages allow it.
    fn stop(&mut self, ending: &ShutdownSignals) {
        let begun = Instant::now();
        for (after_ms, process, signal) in ending.signals(self.processes.len()) {
            self.wait_until(begun + Duration::from_millis(after_ms));
            self.processes[process].signal(signal);
        }
        while self.are_running() {
            let kill_after = self.kill_after();
            for process in &mut self.processes {
                if process
                    .ends_since()
                    .is_none_or(|at| at.elapsed() >= kill_after)
                {
                    process.kill();
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// How long a process may take to end after SIGTERM.
    fn stop_limit(&self) -> Duration {
        match self.form {
            Deployment::Platform => PLATFORM_STOP_TIME,
            Deployment::Fleet => STOP_TIME / 2 + LAST_RESPONSES_TIME,
        }
    }

    /// When SIGKILL follows a SIGTERM: on the platform by its page, else once the time is over that
    /// the operator has given.
    fn kill_after(&self) -> Duration {
        match self.form {
            Deployment::Platform => KILL_AFTER_SIGTERM,
            Deployment::Fleet => STOP_TIME,
        }
    }
}

fn file_name(process: usize) -> String {
    format!("i{process}.conf")
}

fn usage(process: u32) -> ResourceUsage {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
    ResourceUsage {
        memory_kib: resident_kib_of(process),
        descriptors: descriptors.map_or(0, Iterator::count),
    }
}
