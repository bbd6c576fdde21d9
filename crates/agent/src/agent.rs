//! One process's agent: how it starts, and what the process asks it of the fleet.

use crate::file_budgets::FileBudgets;
use crate::replica::{Replica, ReplicaStart};
use crate::state::{FleetSize, Logged, Rejected, State};
use crate::transport::{PacketFilter, Transport};
use crate::{clock, pool};
use dewrun_budgets::node::BudgetNode;
use dewrun_budgets::{Incarnation, LeaseSettings, ProcessId};
use dewrun_config::{Fleet as Config, Installation};
use dewrun_fleet::membership::{Member, Membership};
use dewrun_fleet::packet::Seal;
use dewrun_fleet::process_id;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tracing::info;

/// How often a process of its own looks what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// This process in its fleet.
pub struct Agent {
    pub(crate) transport: Transport,
    pub(crate) tick_interval: Duration,
    pub(crate) seal: Seal,
    pub(crate) state: RefCell<State>,
}

/// How an agent runs in the program that embeds it.
pub struct Options {
    /// How often it is looked what is due. Packets are read as they come.
    pub tick_interval: Duration,
    /// What keeps packets from passing, in trials of faults.
    pub filter: Option<Rc<dyn PacketFilter>>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            tick_interval: TICK_INTERVAL,
            filter: None,
        }
    }
}

/// Which of how many processes one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its number from 0 on, in an order that is the same at all.
    pub rank: u32,
    /// How many there are.
    pub processes: u32,
}

/// The bytes of a file with a fleet's secret, without white space round them.
pub fn read_secret(file: &Path) -> Result<Vec<u8>, String> {
    let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(bytes.trim_ascii().to_vec())
}

/// The secret that a file names; empty if it names none.
fn secret_of(fleet: &Config, folder: &Path) -> Result<Vec<u8>, String> {
    let Some(file) = &fleet.secret_file else {
        return Ok(Vec::new());
    };
    let file = folder.join(file);
    let secret = read_secret(&file)?;
    if secret.is_empty() {
        return Err(format!("{}: the secret is empty", file.display()));
    }
    Ok(secret)
}

impl Agent {
    /// Binds the fleet's address. Gives none if the file has no fleet.
    pub async fn start(
        config: &Installation,
        folder: &Path,
        options: Options,
    ) -> Result<Option<Rc<Agent>>, String> {
        let Some(fleet) = config.fleet.clone() else {
            return Ok(None);
        };
        let secret = secret_of(&fleet, folder)?;
        let address = fleet.address;
        let Options {
            tick_interval,
            filter,
        } = options;
        let transport = Transport::bind(address, filter)
            .await
            .map_err(|e| format!("fleet address {address}: {e}"))?;
        // The standard library's own randomness, which it takes from the system.
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(RandomState::new().hash_one(address));
        let (now, incarnation) = (clock::now(), Incarnation(rng.random()));
        let me = Member {
            address,
            name: config
                .instance
                .name
                .clone()
                .unwrap_or_else(|| address.to_string()),
            site: config.instance.site.clone(),
            started_ms: clock::wall_ms(),
            incarnation,
            refutations: 0,
        };
        let voters: Vec<ProcessId> = fleet.members.iter().copied().map(process_id).collect();
        let mut node = BudgetNode::new(
            now,
            process_id(address),
            incarnation,
            &voters,
            clock::wall_ms(),
            LeaseSettings::default(),
        );
        let budgets = FileBudgets::of(config);
        node.set_budgets(now, budgets.whole.clone(), &voters);
        let members = Membership::new(now, me.clone(), &fleet.members, rng.random());
        let replica = Replica::start(ReplicaStart {
            now,
            now_ms: clock::wall_ms(),
            incarnation: incarnation.0,
            me: address,
            folder: fleet.state.as_ref().map(|state| folder.join(state)),
            fleet: &fleet.name,
            name: &me.name,
        });
        let state = State {
            node,
            budgets,
            replica,
            learned_told_at: 0,
            pool_members: BTreeMap::new(),
            members,
            addresses: fleet.members.iter().map(|a| (process_id(*a), *a)).collect(),
            rng,
            rejected: Rejected::default(),
            logged: Logged::new(now),
            size: FleetSize {
                processes: fleet.members.len(),
                at: now,
            },
            ticked_at: now,
            config: fleet,
        };
        let seal = Seal::new(&state.config.name, &secret);
        info!(
            "fleet {}: at {address}, {} voters",
            state.config.name,
            voters.len()
        );
        Ok(Some(Rc::new(Agent {
            transport,
            tick_interval,
            seal,
            state: RefCell::new(state),
        })))
    }

    /// Where the others reach it.
    pub fn address(&self) -> SocketAddr {
        self.state.borrow().config.address
    }

    /// Takes over what another file says of members and budgets.
    pub fn reload(&self, config: &Installation) {
        let state = &mut *self.state.borrow_mut();
        let Some(fleet) = &config.fleet else { return };
        state.config.members.clone_from(&fleet.members);
        state.config.via.clone_from(&fleet.via);
        state.members.set_seeds(&fleet.members);
        state
            .addresses
            .extend(fleet.members.iter().map(|a| (process_id(*a), *a)));
        state.budgets = FileBudgets::of(config);
        state.set_budgets();
    }

    /// A pool asks to be told which of its members are held out.
    pub fn follow(&self, name: &str, pool: Weak<dyn pool::Pool>) {
        self.state
            .borrow_mut()
            .replica
            .follow(clock::now(), name, pool);
        self.apply_holds();
    }

    /// Takes the members of a pool in: where each of them has a whole of its own, those are set.
    pub fn set_pool_members<'a>(&self, pool: &str, members: impl Iterator<Item = &'a str>) {
        let state = &mut *self.state.borrow_mut();
        let members: BTreeSet<String> = members.map(str::to_string).collect();
        if state.pool_members.get(pool) != Some(&members) {
            state.pool_members.insert(pool.to_string(), members);
            if state
                .budgets
                .per_member
                .values()
                .any(|each| each.pool == pool)
            {
                state.set_budgets();
            }
        }
    }

    /// Which of how many processes this is, by who is there.
    pub fn place(&self) -> Place {
        self.state.borrow_mut().place(clock::now())
    }
}
