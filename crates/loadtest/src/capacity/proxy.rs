//! One real `dewrun serve` process in front of stand-in members, and its cost at rest, under load and
//! during a reload.

use super::process::ProcessStats;
use super::stand_in::StandIns;
use crate::load::{run, Pace, Plan, Run};
use dewrun_test_support::{free_addresses, Daemon, Folder};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Number of clients that send the load, each on a thread of its own.
const CLIENTS: usize = 16;
/// Limit on the proxy's sockets. It leaves room for two for each of 1,518 members, and for those of
/// clients.
const MAX_SOCKETS: usize = 16_384;
/// Warm-up requests per member, which make the proxy open its connections.
const WARM_UP_REQUESTS_PER_MEMBER: usize = 6;
const WARM_UP_RATE_PER_S: f64 = 2_000.0;
/// Delay from the log line by which the proxy reports that it accepts connections to the first
/// measurement.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Maximum time until a changed configuration is in force.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
const RELOAD_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The settings of the proxy's configuration file.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of services, each with a pool of its own.
    pub services: usize,
    /// Members of each service.
    pub members_per_service: usize,
    /// Configured number of proxies. Each proxy of a large fleet sends to a subset of the members.
    pub fleet_size: u32,
    /// Fleet configuration; `None` without a fleet.
    pub fleet: Option<FleetSetup>,
}

/// The configuration of a fleet with this proxy as its only process.
#[derive(Clone, Debug, Default)]
pub struct FleetSetup {
    /// Number of rate budgets, each of which counts all requests.
    pub budgets: usize,
    /// Snapshot of the replicated store that the proxy starts from; see [`super::control`].
    pub snapshot: Option<Vec<u8>>,
}

impl Setup {
    /// Returns a setup of one service without a fleet.
    pub fn one_service(members: usize) -> Setup {
        Setup {
            services: 1,
            members_per_service: members,
            fleet_size: 1,
            fleet: None,
        }
    }

    fn config_text(
        &self,
        members: &[SocketAddr],
        listen_address: SocketAddr,
        fleet_address: SocketAddr,
    ) -> String {
        let mut text = match &self.fleet {
            None => format!("[instance]\nname = \"{NAME}\"\nfleet_size = {}\n", self.fleet_size),
            Some(_) => format!(
                "[instance]\nname = \"{NAME}\"\n[fleet]\nname = \"{FLEET}\"\naddress = \"{fleet_address}\"\n\
                 members = [\"{fleet_address}\"]\nstate = \"{STATE_FOLDER}\"\n"
            ),
        };
        text += &format!(
            "[limits]\nsockets = {MAX_SOCKETS}\n[[listener]]\nname = \"main\"\naddress = \"{listen_address}\"\n"
        );
        for (service, members) in members.chunks(self.members_per_service).enumerate() {
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

/// Name of the proxy.
pub const NAME: &str = "capacity";
/// Name of the proxy's fleet.
pub const FLEET: &str = "capacity";
const STATE_FOLDER: &str = "state";
const CONFIG_FILE: &str = "dewrun.toml";
/// Part of the log line by which the proxy reports that it accepts connections.
const LISTENING_LOG: &str = " listens at ";
/// Part of the log line by which the proxy reports that a changed configuration is in force.
const RELOADED_LOG: &str = "reloaded: ";

/// A running proxy with its members.
pub struct Proxy {
    daemon: Daemon,
    listen_address: SocketAddr,
    members: StandIns,
    services: usize,
    folder: Folder,
    config: String,
}

/// The cost of a reload.
#[derive(Clone, Copy, Debug)]
pub struct ReloadCost {
    /// Milliseconds from just before the signal until the log reports that the configuration is in
    /// force; the log is checked every 2 ms.
    pub duration_ms: f64,
    /// CPU time of the proxy meanwhile, in milliseconds.
    pub cpu_ms: f64,
}

/// Latencies under a load, and the CPU time that it cost the proxy.
#[derive(Clone, Copy, Debug)]
pub struct LoadCost {
    /// CPU time of the proxy per request, in microseconds; 0 without a proxy.
    pub cpu_us_per_request: f64,
    /// CPU time of the proxy as a fraction of one core; 0 without a proxy.
    pub cores: f64,
    /// Median latency, in microseconds.
    pub p50_us: f64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: f64,
    /// Requests without a 200 response.
    pub unserved_requests: usize,
}

impl Proxy {
    /// Starts a proxy with members of its own, and waits until it serves.
    pub fn start(program: &str, setup: &Setup) -> Proxy {
        let members = StandIns::start(setup.services * setup.members_per_service);
        let folder = Folder::new();
        if let Some(snapshot) = setup
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.snapshot.as_ref())
        {
            std::fs::create_dir_all(folder.path(STATE_FOLDER))
                .expect("the state folder is created");
            std::fs::write(folder.path(STATE_FOLDER).join("copy"), snapshot)
                .expect("the snapshot is written");
        }
        let addresses = free_addresses(2);
        let config = setup.config_text(&members.addresses, addresses[0], addresses[1]);
        let path = folder.put(CONFIG_FILE, &config);
        let path = path.to_str().expect("a UTF-8 path");
        let mut daemon = Daemon::start(program, &["serve", "--config", path], &[]);
        daemon.wait_until_listening(addresses[0]);
        // Clients can connect before the proxy accepts connections.
        daemon.wait_for_log(LISTENING_LOG);
        thread::sleep(SETTLE_TIME);
        Proxy {
            daemon,
            listen_address: addresses[0],
            members,
            services: setup.services,
            folder,
            config,
        }
    }

    /// Returns the resource usage of the proxy.
    pub fn stats(&self) -> ProcessStats {
        ProcessStats::new(self.daemon.id())
    }

    /// Returns the log of the proxy.
    pub fn log(&self) -> String {
        self.daemon.log()
    }

    /// Returns the address of a member, for direct requests.
    pub fn member_address(&self) -> SocketAddr {
        self.members.addresses[0]
    }

    /// Sends requests so that the proxy connects to its members.
    pub fn warm_up(&self) {
        let requests = (WARM_UP_REQUESTS_PER_MEMBER * self.members.addresses.len()) as f64;
        let duration = Duration::from_secs_f64(requests / WARM_UP_RATE_PER_S);
        run_open_loop(self.listen_address, WARM_UP_RATE_PER_S, duration, &|n| {
            self.request_text(n)
        });
    }

    /// Reloads the proxy with a configuration in which the last member of the last pool is removed, or
    /// restored.
    pub fn reload(&self, without_last: bool) -> ReloadCost {
        let last = self.members.addresses.last().expect("a member");
        let text = if without_last {
            self.config.replace(&format!(", \"{last}\""), "")
        } else {
            self.config.clone()
        };
        self.folder.put(CONFIG_FILE, &text);
        let (stats, started) = (self.stats(), Instant::now());
        let before = stats.cpu_time();
        let previous_reloads = self.daemon.logged(RELOADED_LOG);
        self.daemon.signal("-HUP");
        while self.daemon.logged(RELOADED_LOG) == previous_reloads {
            assert!(
                started.elapsed() < RELOAD_TIMEOUT,
                "the configuration was not reloaded: {}",
                self.log()
            );
            thread::sleep(RELOAD_CHECK_INTERVAL);
        }
        let duration_ms = started.elapsed().as_secs_f64() * 1e3;
        ReloadCost {
            duration_ms,
            cpu_ms: (stats.cpu_time() - before).as_secs_f64() * 1e3,
        }
    }

    /// Returns the CPU time of the proxy without requests, as a fraction of one core.
    pub fn idle_cores(&self, period: Duration) -> f64 {
        let (stats, started) = (self.stats(), Instant::now());
        let before = stats.cpu_time();
        thread::sleep(period);
        (stats.cpu_time() - before).as_secs_f64() / started.elapsed().as_secs_f64()
    }

    /// Sends requests through the proxy at a rate, to each service in turn, and returns their cost.
    pub fn load(&self, rate_per_s: f64, duration: Duration) -> LoadCost {
        let request = |n: u64| self.request_text(n);
        let (stats, started) = (self.stats(), Instant::now());
        let before = stats.cpu_time();
        let run = run_open_loop(self.listen_address, rate_per_s, duration, &request);
        let cpu_s = (stats.cpu_time() - before).as_secs_f64();
        let elapsed_s = started.elapsed().as_secs_f64();
        let requests = run.outcomes.len().max(1) as f64;
        load_cost(&run, cpu_s * 1e6 / requests, cpu_s / elapsed_s)
    }

    fn request_text(&self, n: u64) -> String {
        service_request(n as usize % self.services)
    }
}

fn service_request(service: usize) -> String {
    format!("GET /s{service}/x HTTP/1.1\r\nHost: rig\r\n\r\n")
}

/// Sends requests directly to a member at a rate, and returns their latencies.
pub fn load_directly(member: SocketAddr, rate_per_s: f64, duration: Duration) -> LoadCost {
    let run = run_open_loop(member, rate_per_s, duration, &|_| service_request(0));
    load_cost(&run, 0.0, 0.0)
}

fn run_open_loop(
    address: SocketAddr,
    rate_per_s: f64,
    duration: Duration,
    request: &(dyn Fn(u64) -> String + Sync),
) -> Run {
    run(&Plan {
        address,
        clients: CLIENTS,
        duration,
        pace: Pace::Open(rate_per_s),
        max_requests: u64::MAX,
        request,
    })
}

fn load_cost(run: &Run, cpu_us_per_request: f64, cores: f64) -> LoadCost {
    let quantile = |q: f64| run.latencies.value_at_quantile(q) as f64;
    let unserved_requests = run
        .outcomes
        .iter()
        .filter(|(_, status)| *status != Some(200))
        .count();
    LoadCost {
        cpu_us_per_request,
        cores,
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        unserved_requests,
    }
}
