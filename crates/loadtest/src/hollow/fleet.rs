//! A running fleet of a few real processes among many hollow ones.

use super::agents::{AgentThreads, HollowProcess, SharedSettings};
use super::harness_delay::{HarnessDelay, HarnessDelayMonitor};
use super::member_config::MemberConfig;
use super::network::Network;
use super::real_process::RealProcess;
use super::Plan;
use dewrun_agent::status::Summary;
use dewrun_fleet::membership::Liveness;
use dewrun_test_support::{free_addresses, ok, quick, Folder, WAIT_TIMEOUT};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Number of members that vote. They are the members in the configuration files.
const VOTERS: usize = 5;
/// Maximum number of voters that are real processes.
const MAX_REAL_VOTERS: usize = 3;
/// Number of regions. All real processes are in the first zone of the first region.
const REGIONS: usize = 3;
/// Number of zones in each region.
const ZONES: usize = 3;
/// Interval at which real processes are polled while waiting for a state of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A running fleet. Its processes end when this is dropped.
pub struct HollowFleet {
    /// The real processes.
    pub real_processes: Vec<RealProcess>,
    /// The address of the backend of all real processes.
    pub backend: SocketAddr,
    /// The simulated network between hollow processes and all others.
    pub network: Arc<Network>,
    /// The scheduling delay of this program.
    pub harness_delay: Arc<HarnessDelay>,
    agents: AgentThreads,
    hollow_processes: Vec<HollowProcess>,
    killed: Vec<HollowProcess>,
    voters: Vec<SocketAddr>,
    random: Xoshiro256PlusPlus,
    _folder: Folder,
    _delay_monitor: HarnessDelayMonitor,
}

/// Returns the site of a process. Processes are assigned to the zones in turn.
fn site(index: usize) -> String {
    let zone = index % (REGIONS * ZONES);
    format!("r{}z{}", zone / ZONES, zone % ZONES)
}

impl HollowFleet {
    /// Starts the real processes, waits until they accept clients, and starts the hollow ones.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem if the plan exceeds a limit, no real process becomes
    /// the grantor in time, or a hollow process cannot be started.
    pub fn start(plan: &Plan) -> Result<HollowFleet, String> {
        plan.check()?;
        let addresses = free_addresses(plan.processes);
        let (real_addresses, hollow_addresses) = addresses.split_at(plan.real);
        let real_voters = plan.real.min(MAX_REAL_VOTERS);
        let voters: Vec<SocketAddr> = real_addresses
            .iter()
            .take(real_voters)
            .chain(hollow_addresses.iter().take(VOTERS - real_voters))
            .copied()
            .collect();
        let hollow_processes: Vec<HollowProcess> = hollow_addresses
            .iter()
            .enumerate()
            .map(|(index, address)| HollowProcess {
                fleet_address: *address,
                name: format!("h{index}"),
                site: site(index),
            })
            .collect();
        let (network, harness_delay): (Arc<Network>, Arc<HarnessDelay>) = Default::default();
        let settings = SharedSettings {
            voters: voters.clone(),
            real_addresses: Arc::new(real_addresses.iter().copied().collect()),
            network: network.clone(),
            harness_delay: harness_delay.clone(),
            seed: plan.seed,
            tick_interval: plan.tick_interval,
        };
        let backend = quick(ok("stand-in"));
        let folder = Folder::new();
        let mut real_processes =
            start_real_processes(plan, &folder, real_addresses, &voters, backend);
        let agents = AgentThreads::new(plan.agent_threads(), &Arc::new(settings));
        real_processes
            .iter_mut()
            .for_each(RealProcess::wait_until_listening);
        if real_voters * 2 > VOTERS {
            wait_until_grantor_is_elected(&real_processes)?;
        }
        agents.start(&hollow_processes)?;
        Ok(HollowFleet {
            real_processes,
            backend,
            network,
            _delay_monitor: HarnessDelayMonitor::start(harness_delay.clone()),
            harness_delay,
            agents,
            hollow_processes,
            killed: Vec::new(),
            voters,
            random: Xoshiro256PlusPlus::seed_from_u64(plan.seed),
            _folder: folder,
        })
    }

    /// Returns the number of running processes, real and hollow ones.
    pub fn running_count(&self) -> usize {
        self.real_processes.len() + self.hollow_processes.len() - self.killed.len()
    }

    /// Fetches the summary of each real process, all at the same time. An element is `None` if the
    /// process does not respond.
    pub fn real_views(&self) -> Vec<Option<Summary>> {
        thread::scope(|scope| {
            let threads: Vec<_> = self
                .real_processes
                .iter()
                .map(|process| scope.spawn(|| process.summary()))
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().expect("the thread does not panic"))
                .collect()
        })
    }

    /// Returns the summary of each running hollow process.
    pub fn hollow_views(&self) -> Vec<Summary> {
        self.agents.summaries()
    }

    /// Waits until every real process sees exactly this number of live members and suspects none.
    /// Returns the time that this took, or `None` after the timeout.
    pub fn wait_until_converged(&self, members: usize, timeout: Duration) -> Option<Duration> {
        let started_at = Instant::now();
        loop {
            if self
                .real_views()
                .iter()
                .all(|view| has_converged(view.as_ref(), members))
            {
                return Some(started_at.elapsed());
            }
            if started_at.elapsed() >= timeout {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until every real process has a share of every budget. Returns false after the timeout.
    pub fn wait_until_all_hold_leases(&self, timeout: Duration) -> bool {
        let has_leases = |process: &RealProcess| {
            process
                .status()
                .is_some_and(|status| status.budgets.iter().all(|budget| budget.share > 0.0))
        };
        let started_at = Instant::now();
        while !self.real_processes.iter().all(has_leases) {
            if started_at.elapsed() >= timeout {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Kills randomly chosen hollow processes that do not vote. Returns their addresses.
    pub fn kill_hollow(&mut self, count: usize) -> Vec<SocketAddr> {
        let is_killed = |process: &HollowProcess| {
            self.killed
                .iter()
                .any(|killed| killed.fleet_address == process.fleet_address)
        };
        let mut chosen: Vec<HollowProcess> = self
            .hollow_processes
            .iter()
            .filter(|process| !self.voters.contains(&process.fleet_address) && !is_killed(process))
            .cloned()
            .collect();
        chosen.shuffle(&mut self.random);
        chosen.truncate(count);
        let addresses: Vec<SocketAddr> =
            chosen.iter().map(|process| process.fleet_address).collect();
        self.agents.kill(&addresses);
        self.killed.extend(chosen);
        addresses
    }

    /// Starts all killed processes again at the same addresses, as new incarnations.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem if a process cannot be started.
    pub fn start_killed(&mut self) -> Result<(), String> {
        let killed = std::mem::take(&mut self.killed);
        self.agents.start(&killed)
    }

    /// Returns the addresses of the hollow processes in the last zone of the last region, except
    /// voters. No real process is in this zone.
    pub fn hollow_in_last_zone(&self) -> HashSet<SocketAddr> {
        let last = site(REGIONS * ZONES - 1);
        self.hollow_in_sites(|site| site == last)
    }

    /// Returns the addresses of the hollow processes in the last region, except voters. No real
    /// process is in this region.
    pub fn hollow_in_last_region(&self) -> HashSet<SocketAddr> {
        let last = format!("r{}", REGIONS - 1);
        self.hollow_in_sites(|site| site.starts_with(&last))
    }

    fn hollow_in_sites(&self, is_selected: impl Fn(&str) -> bool) -> HashSet<SocketAddr> {
        let selected = self.hollow_processes.iter().filter(|process| {
            is_selected(&process.site) && !self.voters.contains(&process.fleet_address)
        });
        selected.map(|process| process.fleet_address).collect()
    }

    /// Returns the names of the real processes that consider any of these members alive or
    /// suspected.
    pub fn real_processes_listing(&self, addresses: &[SocketAddr]) -> Vec<String> {
        let lists_any = |process: &&RealProcess| {
            let members = process
                .status()
                .map(|status| status.members)
                .unwrap_or_default();
            members.iter().any(|member| {
                member.liveness != Liveness::Gone && addresses.contains(&member.address)
            })
        };
        self.real_processes
            .iter()
            .filter(lists_any)
            .map(|process| process.name.clone())
            .collect()
    }
}

/// Returns whether a process sees exactly this number of live members and suspects none.
pub fn has_converged(view: Option<&Summary>, members: usize) -> bool {
    view.is_some_and(|view| view.up == members && view.suspected == 0)
}

/// Waits until a real process knows the grantor. The hollow processes do not run yet, so the
/// grantor is a real process, and its costs can be measured from outside.
fn wait_until_grantor_is_elected(real_processes: &[RealProcess]) -> Result<(), String> {
    let started_at = Instant::now();
    while !real_processes
        .iter()
        .any(|process| process.summary().is_some_and(|view| view.grantor.is_some()))
    {
        if started_at.elapsed() >= WAIT_TIMEOUT {
            return Err(format!(
                "no real process was elected as the grantor within {WAIT_TIMEOUT:?}"
            ));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn start_real_processes(
    plan: &Plan,
    folder: &Folder,
    addresses: &[SocketAddr],
    voters: &[SocketAddr],
    backend: SocketAddr,
) -> Vec<RealProcess> {
    let listen_addresses = free_addresses(addresses.len());
    let start = |(index, (fleet_address, listen_address)): (usize, (&SocketAddr, SocketAddr))| {
        let member = MemberConfig {
            name: &format!("real{index}"),
            site: &site(0),
            fleet_address: *fleet_address,
            voters,
            listen_address,
            backend,
        };
        RealProcess::start(&plan.dewrun, folder, &member)
    };
    addresses
        .iter()
        .zip(listen_addresses)
        .enumerate()
        .map(start)
        .collect()
}
