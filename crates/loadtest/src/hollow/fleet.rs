//! A fleet of a few real processes among many hollow ones.

use super::agents::{Agents, Common, Hollow};
use super::lateness::{Lateness, Watch};
use super::member::MemberFile;
use super::network::Network;
use super::processes::RealProcess;
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

/// Members of the file, which vote, and how many of them are real at the most.
const VOTERS: usize = 5;
const REAL_VOTERS: usize = 3;
/// Regions, and zones of each. All real processes stand in the first zone of the first region.
const REGIONS: usize = 3;
const ZONES: usize = 3;
/// How often a view that is waited for is looked at.
const LOOK: Duration = Duration::from_millis(200);

/// See the module's text.
pub struct HollowFleet {
    /// The real processes.
    pub processes: Vec<RealProcess>,
    /// Where requests go on to.
    pub backend: SocketAddr,
    /// What lies between hollow processes and all others.
    pub network: Arc<Network>,
    /// How late this program is.
    pub lateness: Arc<Lateness>,
    agents: Agents,
    hollow: Vec<Hollow>,
    killed: Vec<Hollow>,
    voters: Vec<SocketAddr>,
    chance: Xoshiro256PlusPlus,
    _folder: Folder,
    _watch: Watch,
}

fn site(number: usize) -> String {
    let zone = number % (REGIONS * ZONES);
    format!("r{}z{}", zone / ZONES, zone % ZONES)
}

impl HollowFleet {
    /// Starts the real processes, waits until they accept clients, and starts the hollow ones.
    pub fn start(plan: &Plan) -> Result<HollowFleet, String> {
        plan.check()?;
        let addresses = free_addresses(plan.processes);
        let (real, hollow) = addresses.split_at(plan.real);
        let real_voters = plan.real.min(REAL_VOTERS);
        let voters: Vec<SocketAddr> = real
            .iter()
            .take(real_voters)
            .chain(hollow.iter().take(VOTERS - real_voters))
            .copied()
            .collect();
        let hollow: Vec<Hollow> = hollow
            .iter()
            .enumerate()
            .map(|(number, address)| Hollow {
                address: *address,
                name: format!("h{number}"),
                site: site(number),
            })
            .collect();
        let (network, lateness): (Arc<Network>, Arc<Lateness>) = Default::default();
        let common = Common {
            voters: voters.clone(),
            real: Arc::new(real.iter().copied().collect()),
            network: network.clone(),
            lateness: lateness.clone(),
            seed: plan.seed,
            tick_interval: plan.tick_interval,
        };
        let backend = quick(ok("stand-in"));
        let folder = Folder::new();
        let mut processes = start_real(plan, &folder, real, &voters, backend);
        let agents = Agents::new(plan.threads(), &Arc::new(common));
        processes.iter_mut().for_each(RealProcess::comes_up);
        if real_voters * 2 > VOTERS {
            await_grantor(&processes)?;
        }
        agents.start(&hollow)?;
        Ok(HollowFleet {
            processes,
            backend,
            network,
            _watch: Watch::start(lateness.clone()),
            lateness,
            agents,
            hollow,
            killed: Vec::new(),
            voters,
            chance: Xoshiro256PlusPlus::seed_from_u64(plan.seed),
            _folder: folder,
        })
    }

    /// How many processes run.
    pub fn running(&self) -> usize {
        self.processes.len() + self.hollow.len() - self.killed.len()
    }

    /// What each real process knows; none for one that does not answer.
    pub fn real_views(&self) -> Vec<Option<Summary>> {
        thread::scope(|scope| {
            let asked: Vec<_> = self
                .processes
                .iter()
                .map(|process| scope.spawn(|| process.summary()))
                .collect();
            asked
                .into_iter()
                .map(|answer| answer.join().expect("an answer or none"))
                .collect()
        })
    }

    /// What each hollow process that runs knows.
    pub fn hollow_views(&self) -> Vec<Summary> {
        self.agents.look()
    }

    /// Waits until every real process has so many members up, and suspects none. Tells how long
    /// that took; none if it took too long.
    pub fn wait_until_converged(&self, members: usize, within: Duration) -> Option<Duration> {
        let begun = Instant::now();
        loop {
            if self
                .real_views()
                .iter()
                .all(|view| sees(view.as_ref(), members))
            {
                return Some(begun.elapsed());
            }
            if begun.elapsed() >= within {
                return None;
            }
            thread::sleep(LOOK);
        }
    }

    /// Waits until every real process has a lease of the budget; tells whether they have.
    pub fn wait_until_all_hold_leases(&self, within: Duration) -> bool {
        let holds = |process: &RealProcess| {
            process
                .status()
                .is_some_and(|status| status.budgets.iter().all(|budget| budget.share > 0.0))
        };
        let begun = Instant::now();
        while !self.processes.iter().all(holds) {
            if begun.elapsed() >= within {
                return false;
            }
            thread::sleep(LOOK);
        }
        true
    }

    /// Kills hollow processes that do not vote, drawn by chance; gives their addresses.
    pub fn kill_hollow(&mut self, count: usize) -> Vec<SocketAddr> {
        let gone = |one: &Hollow| {
            self.killed
                .iter()
                .any(|killed| killed.address == one.address)
        };
        let mut picked: Vec<Hollow> = self
            .hollow
            .iter()
            .filter(|one| !self.voters.contains(&one.address) && !gone(one))
            .cloned()
            .collect();
        picked.shuffle(&mut self.chance);
        picked.truncate(count);
        let addresses: Vec<SocketAddr> = picked.iter().map(|one| one.address).collect();
        self.agents.kill(&addresses);
        self.killed.extend(picked);
        addresses
    }

    /// Starts those that were killed again, as new lives at the same addresses.
    pub fn start_killed(&mut self) -> Result<(), String> {
        let killed = std::mem::take(&mut self.killed);
        self.agents.start(&killed)
    }

    /// The hollow processes of one zone, and of one region; no real one and no voter stands there.
    pub fn zone(&self) -> HashSet<SocketAddr> {
        let last = site(REGIONS * ZONES - 1);
        self.sites(|site| site == last)
    }

    /// See [`HollowFleet::zone`].
    pub fn region(&self) -> HashSet<SocketAddr> {
        let last = format!("r{}", REGIONS - 1);
        self.sites(|site| site.starts_with(&last))
    }

    fn sites(&self, is: impl Fn(&str) -> bool) -> HashSet<SocketAddr> {
        let there = self
            .hollow
            .iter()
            .filter(|one| is(&one.site) && !self.voters.contains(&one.address));
        there.map(|one| one.address).collect()
    }

    /// The real processes that hold any of these for up, or suspect it and no more, by name.
    pub fn real_processes_listing(&self, addresses: &[SocketAddr]) -> Vec<String> {
        let holds = |process: &&RealProcess| {
            let members = process
                .status()
                .map(|status| status.members)
                .unwrap_or_default();
            members.iter().any(|member| {
                member.liveness != Liveness::Gone && addresses.contains(&member.address)
            })
        };
        self.processes
            .iter()
            .filter(holds)
            .map(|process| process.name.clone())
            .collect()
    }
}

/// Whether a view has so many members up, and no doubt of any.
pub fn sees(view: Option<&Summary>, members: usize) -> bool {
    view.is_some_and(|view| view.up == members && view.suspected == 0)
}

/// Waits until one of the real processes grants budgets, so that what it costs can be read from
/// outside.
fn await_grantor(processes: &[RealProcess]) -> Result<(), String> {
    let begun = Instant::now();
    while !processes
        .iter()
        .any(|process| process.summary().is_some_and(|view| view.grantor.is_some()))
    {
        if begun.elapsed() >= WAIT_TIMEOUT {
            return Err("no real process was chosen to grant budgets".into());
        }
        thread::sleep(LOOK);
    }
    Ok(())
}

fn start_real(
    plan: &Plan,
    folder: &Folder,
    addresses: &[SocketAddr],
    voters: &[SocketAddr],
    backend: SocketAddr,
) -> Vec<RealProcess> {
    let fronts = free_addresses(addresses.len());
    let start = |(number, (fleet, front)): (usize, (&SocketAddr, SocketAddr))| {
        let member = MemberFile {
            name: &format!("real{number}"),
            site: &site(0),
            fleet: *fleet,
            voters,
            front,
            backend,
        };
        RealProcess::start(&plan.dewrun, folder, &member)
    };
    addresses
        .iter()
        .zip(fronts)
        .enumerate()
        .map(start)
        .collect()
}
