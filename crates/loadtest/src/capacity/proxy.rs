//! One real `dewrun serve` before stand-in members, and what it costs at rest and under load.

use super::process::ProcessFigures;
use super::stand_in::StandIns;
use crate::load::{run, Pace, Plan, Run, RESPONSE_TIMEOUT};
use dewrun_test_support::{free_addresses, Daemon, Folder};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Threads that ask.
const CALLERS: usize = 16;
/// Descriptors that the proxy may hold: two for each of 1,518 members, and callers'.
const SOCKETS: usize = 16_384;
/// By so many requests to each member the connections come about, at this rate.
const WARM_UP_EACH: usize = 6;
const WARM_UP_RATE: f64 = 2_000.0;
/// How long a proxy that says that it serves is left alone before anything is measured.
const SETTLE: Duration = Duration::from_millis(500);

/// What stands in the proxy's file.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Services in front of which it stands, a pool each.
    pub services: usize,
    /// Members of each.
    pub members_each: usize,
    /// How many proxies it is told of. Of a large fleet each sends to some of the members.
    pub fleet_size: u32,
    /// Its part in a fleet.
    pub fleet: Option<FleetSetup>,
}

/// A fleet of which this proxy is the only process.
#[derive(Clone, Debug, Default)]
pub struct FleetSetup {
    /// Budgets of a rate, over all requests.
    pub budgets: usize,
    /// The bytes of a snapshot that it starts from; see [`super::control`].
    pub snapshot: Option<Vec<u8>>,
}

impl Setup {
    /// One service, and no fleet.
    pub fn one_service(members: usize) -> Setup {
        Setup {
            services: 1,
            members_each: members,
            fleet_size: 1,
            fleet: None,
        }
    }

    fn file(&self, members: &[SocketAddr], front: SocketAddr, fleet_address: SocketAddr) -> String {
        let mut text = match &self.fleet {
            None => format!("[instance]\nname = \"{NAME}\"\nfleet_size = {}\n", self.fleet_size),
            Some(_) => format!(
                "[instance]\nname = \"{NAME}\"\n[fleet]\nname = \"{FLEET}\"\naddress = \"{fleet_address}\"\n\
                 members = [\"{fleet_address}\"]\nstate = \"{STATE}\"\n"
            ),
        };
        text += &format!(
            "[limits]\nsockets = {SOCKETS}\n[[listener]]\nname = \"main\"\naddress = \"{front}\"\n"
        );
        for (service, members) in members.chunks(self.members_each).enumerate() {
            let list: Vec<String> = members
                .iter()
                .map(|member| format!("\"{member}\""))
                .collect();
            text += &format!(
                "[[pool]]\nname = \"s{service}\"\nmembers = [{}]\n",
                list.join(", ")
            );
            text += &format!("[[route]]\npath = \"/s{service}/*\"\npool = \"s{service}\"\n");
        }
        for budget in 0..self.fleet.as_ref().map_or(0, |fleet| fleet.budgets) {
            text +=
                &format!("[[budget]]\nname = \"b{budget}\"\nrate = 1000000.0\nburst = 100000.0\n");
        }
        text
    }
}

/// The names under which the proxy and its fleet run.
pub const NAME: &str = "capacity";
/// See above.
pub const FLEET: &str = "capacity";
const STATE: &str = "state";
const FILE: &str = "dewrun.toml";
/// How the log says that callers are accepted.
const SERVES: &str = " listens at ";
/// How the log says that another file is in force.
const RELOADED: &str = "reloaded: ";

/// A proxy that runs, with its members.
pub struct Proxy {
    daemon: Daemon,
    front: SocketAddr,
    members: StandIns,
    services: usize,
    folder: Folder,
    file: String,
}

/// What reading the file again took.
#[derive(Clone, Copy, Debug)]
pub struct Reloaded {
    /// From the signal until the log says that it is in force, in milliseconds; it is looked for
    /// every 2 ms.
    pub in_force_ms: f64,
    /// Processor time of the proxy meanwhile, in milliseconds.
    pub cpu_ms: f64,
}

/// What a load gave.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    /// Processor time of the proxy for each request, in microseconds.
    pub cpu_us: f64,
    /// Its processor time, as a part of one core.
    pub cores: f64,
    /// Answer times, in microseconds.
    pub p50_us: f64,
    /// See above.
    pub p99_us: f64,
    /// Requests that were not answered with 200.
    pub failed: usize,
}

impl Proxy {
    /// Starts a proxy before members of its own, and waits until it serves.
    pub fn start(program: &str, setup: &Setup) -> Proxy {
        let members = StandIns::start(setup.services * setup.members_each);
        let folder = Folder::new();
        if let Some(snapshot) = setup
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.snapshot.as_ref())
        {
            std::fs::create_dir_all(folder.path(STATE)).expect("a folder");
            std::fs::write(folder.path(STATE).join("copy"), snapshot)
                .expect("the snapshot is written");
        }
        let addresses = free_addresses(2);
        let file = setup.file(&members.addresses, addresses[0], addresses[1]);
        let path = folder.put(FILE, &file);
        let path = path.to_str().expect("a path");
        let mut daemon = Daemon::start(program, &["serve", "--config", path], &[]);
        daemon.wait_until_listening(addresses[0]);
        // Callers can connect before the first of them is accepted.
        daemon.wait_for_log(SERVES);
        thread::sleep(SETTLE);
        Proxy {
            daemon,
            front: addresses[0],
            members,
            services: setup.services,
            folder,
            file,
        }
    }

    /// What the system tells of it.
    pub fn figures(&self) -> ProcessFigures {
        ProcessFigures::of(self.daemon.id())
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        self.daemon.log()
    }

    /// One of its members, to be asked straight.
    pub fn member(&self) -> SocketAddr {
        self.members.addresses[0]
    }

    /// Has it connect to the members that it sends to.
    pub fn warm_up(&self) {
        let requests = (WARM_UP_EACH * self.members.addresses.len()) as f64;
        let span = Duration::from_secs_f64(requests / WARM_UP_RATE);
        open_loop(self.front, WARM_UP_RATE, span, &|n| self.request(n));
    }

    /// Has it read a file again in which the last member of the last pool is taken out, or is back.
    pub fn reload(&self, without_last: bool) -> Reloaded {
        let last = self.members.addresses.last().expect("a member");
        let text = if without_last {
            self.file.replace(&format!(", \"{last}\""), "")
        } else {
            self.file.clone()
        };
        self.folder.put(FILE, &text);
        let (figures, begun) = (self.figures(), Instant::now());
        let before = figures.processor_time();
        let logged = self.daemon.logged(RELOADED);
        self.daemon.signal("-HUP");
        while self.daemon.logged(RELOADED) == logged {
            assert!(
                begun.elapsed() < RESPONSE_TIMEOUT,
                "the file is not read again: {}",
                self.log()
            );
            thread::sleep(Duration::from_millis(2));
        }
        let in_force_ms = begun.elapsed().as_secs_f64() * 1e3;
        Reloaded {
            in_force_ms,
            cpu_ms: (figures.processor_time() - before).as_secs_f64() * 1e3,
        }
    }

    /// Its processor time while nobody asks, as a part of one core.
    pub fn rest(&self, span: Duration) -> f64 {
        let (figures, begun) = (self.figures(), Instant::now());
        let before = figures.processor_time();
        thread::sleep(span);
        (figures.processor_time() - before).as_secs_f64() / begun.elapsed().as_secs_f64()
    }

    /// Asks at a rate, each service in turn.
    pub fn serve(&self, per_s: f64, span: Duration) -> Served {
        let request = |n: u64| self.request(n);
        let (figures, begun) = (self.figures(), Instant::now());
        let before = figures.processor_time();
        let run = open_loop(self.front, per_s, span, &request);
        let worked = (figures.processor_time() - before).as_secs_f64();
        let took = begun.elapsed().as_secs_f64();
        let asked = run.outcomes.len().max(1) as f64;
        served(&run, worked * 1e6 / asked, worked / took)
    }

    fn request(&self, n: u64) -> String {
        request(n as usize % self.services)
    }
}

fn request(service: usize) -> String {
    format!("GET /s{service}/x HTTP/1.1\r\nHost: rig\r\n\r\n")
}

/// Asks a member straight at a rate.
pub fn straight(member: SocketAddr, per_s: f64, span: Duration) -> Served {
    served(&open_loop(member, per_s, span, &|_| request(0)), 0.0, 0.0)
}

fn open_loop(
    address: SocketAddr,
    per_s: f64,
    span: Duration,
    request: &(dyn Fn(u64) -> String + Sync),
) -> Run {
    run(&Plan {
        address,
        clients: CALLERS,
        duration: span,
        pace: Pace::Open(per_s),
        max_requests: u64::MAX,
        request,
    })
}

fn served(run: &Run, cpu_us: f64, cores: f64) -> Served {
    let quantile = |q: f64| run.latencies.value_at_quantile(q) as f64;
    let failed = run.outcomes
        .iter()
        .filter(|(_, status)| *status != Some(200))
        .count();
    Served {
        cpu_us,
        cores,
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        failed,
    }
}
