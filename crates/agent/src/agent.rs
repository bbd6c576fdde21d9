//! The agent of one process: its start, reload, pools and position in the fleet.

use crate::error::{SecretError, StartError};
use crate::file_budgets::FileBudgets;
use crate::replication::{Replication, ReplicationStart};
use crate::state::{AgentState, FleetSize, LogState, PacketCounters};
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

/// How often an agent runs what is due, unless the embedding program says otherwise.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// This process in its fleet.
pub struct Agent {
    pub(crate) transport: Transport,
    pub(crate) tick_interval: Duration,
    pub(crate) seal: Seal,
    pub(crate) state: RefCell<AgentState>,
}

/// How an agent runs in the program that embeds it.
pub struct Options {
    /// How often the agent runs what is due. Packets are read as they arrive.
    pub tick_interval: Duration,
    /// Drops packets, in fault drills.
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

/// The position of this process among those of its fleet that are up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// From 0 on, in an order that all processes agree on.
    pub rank: u32,
    /// How many processes there are.
    pub processes: u32,
}

/// Reads a fleet's secret from its file, without white space around it.
///
/// # Errors
///
/// [`SecretError::Read`] if the file cannot be read.
pub fn read_secret(file: &Path) -> Result<Vec<u8>, SecretError> {
    let bytes = std::fs::read(file).map_err(|source| SecretError::Read {
        file: file.to_path_buf(),
        source,
    })?;
    Ok(bytes.trim_ascii().to_vec())
}

/// The secret of the file that the configuration names; empty if it names none.
fn configured_secret(fleet: &Config, folder: &Path) -> Result<Vec<u8>, SecretError> {
    let Some(file) = &fleet.secret_file else {
        return Ok(Vec::new());
    };
    let file = folder.join(file);
    let secret = read_secret(&file)?;
    if secret.is_empty() {
        return Err(SecretError::Empty { file });
    }
    Ok(secret)
}

impl Agent {
    /// Binds the fleet's address; `None` if the operator's file has no `[fleet]`. `folder` is the one
    /// that the file's paths are relative to.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn start(
        config: &Installation,
        folder: &Path,
        options: Options,
    ) -> Result<Option<Rc<Agent>>, StartError> {
        let Some(fleet) = config.fleet.clone() else {
            return Ok(None);
        };
        let secret = configured_secret(&fleet, folder)?;
        let address = fleet.address;
        let Options {
            tick_interval,
            filter,
        } = options;
        let transport = Transport::bind(address, filter)
            .await
            .map_err(|source| StartError::Bind { address, source })?;
        let state = Agent::initial_state(config, fleet, folder);
        let seal = Seal::new(&state.config.name, &secret);
        info!(
            "fleet {}: at {address}, {} voters",
            state.config.name,
            state.config.members.len()
        );
        Ok(Some(Rc::new(Agent {
            transport,
            tick_interval,
            seal,
            state: RefCell::new(state),
        })))
    }

    /// The state of an agent that has neither sent nor received anything.
    fn initial_state(config: &Installation, fleet: Config, folder: &Path) -> AgentState {
        let address = fleet.address;
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
        node.set_budgets(now, budgets.fleet_wide.clone(), &voters);
        let members = Membership::new(now, me.clone(), &fleet.members, rng.random());
        let replication = Replication::start(ReplicationStart {
            now,
            now_ms: clock::wall_ms(),
            incarnation: incarnation.0,
            me: address,
            folder: fleet.state.as_ref().map(|state| folder.join(state)),
            fleet: &fleet.name,
            name: &me.name,
        });
        AgentState {
            node,
            budgets,
            replication,
            learned_state_sent_at: 0,
            pool_members: BTreeMap::new(),
            members,
            addresses: fleet.members.iter().map(|a| (process_id(*a), *a)).collect(),
            rng,
            packet_counters: PacketCounters::default(),
            log_state: LogState::new(now),
            recent_size: FleetSize {
                processes: fleet.members.len(),
                at: now,
            },
            ticked_at: now,
            config: fleet,
        }
    }

    /// The fleet address of this process.
    pub fn address(&self) -> SocketAddr {
        self.state.borrow().config.address
    }

    /// Applies the members and budgets of a reloaded file.
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

    /// Registers a pool, which is told from now on which of its members are drained.
    pub fn register_pool(&self, name: &str, pool: Weak<dyn pool::Pool>) {
        self.state
            .borrow_mut()
            .replication
            .register_pool(clock::now(), name, pool);
        self.apply_drains();
    }

    /// Takes the members of a pool, for the budgets of which each member has one of its own.
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

    /// The position of this process among those that are up.
    pub fn position(&self) -> FleetPosition {
        self.state.borrow_mut().position(clock::now())
    }
}
