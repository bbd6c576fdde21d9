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

/// The default of [`Options::tick_interval`].
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The control-plane agent of this process.
pub struct Agent {
    pub(crate) transport: Transport,
    pub(crate) tick_interval: Duration,
    pub(crate) seal: Seal,
    pub(crate) state: RefCell<AgentState>,
}

/// Options of the program that embeds an agent.
pub struct Options {
    /// The interval of the agent's periodic work. Packets are read as they arrive.
    pub tick_interval: Duration,
    /// A filter that drops packets in fault drills.
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
    /// The rank from 0 in an order on which all processes agree.
    pub rank: u32,
    /// The number of processes.
    pub processes: u32,
}

/// Reads a fleet's secret from a file, without leading and trailing white space.
///
/// # Errors
///
/// Returns [`SecretError::Read`] if the file cannot be read.
pub fn read_secret(file: &Path) -> Result<Vec<u8>, SecretError> {
    let bytes = std::fs::read(file).map_err(|source| SecretError::Read {
        file: file.to_path_buf(),
        source,
    })?;
    Ok(bytes.trim_ascii().to_vec())
}

/// Returns the secret from the file that the configuration names; empty if it names none.
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
    /// Creates an agent and binds its fleet address. Returns `None` if the operator's file has no
    /// `[fleet]` section. Paths in the file are relative to `folder`.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the secret cannot be read or the address cannot be bound.
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
            "fleet {}: bound to {address}; the fleet has {} voters",
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

    /// Returns the state of an agent that has neither sent nor received a packet.
    fn initial_state(config: &Installation, fleet: Config, folder: &Path) -> AgentState {
        let address = fleet.address;
        // `RandomState` is seeded by the operating system.
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
        let membership = Membership::new(now, me.clone(), &fleet.members, rng.random());
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
            membership,
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

    /// Returns the fleet address of this process.
    pub fn address(&self) -> SocketAddr {
        self.state.borrow().config.address
    }

    /// Applies the members and budgets of a reloaded file.
    pub fn reload(&self, config: &Installation) {
        let state = &mut *self.state.borrow_mut();
        let Some(fleet) = &config.fleet else { return };
        state.config.members.clone_from(&fleet.members);
        state.config.via.clone_from(&fleet.via);
        state.membership.set_seeds(&fleet.members);
        state
            .addresses
            .extend(fleet.members.iter().map(|a| (process_id(*a), *a)));
        state.budgets = FileBudgets::of(config);
        state.set_budgets();
    }

    /// Registers a pool, which is notified of its drained members from now on.
    pub fn register_pool(&self, name: &str, pool: Weak<dyn pool::Pool>) {
        self.state
            .borrow_mut()
            .replication
            .register_pool(clock::now(), name, pool);
        self.apply_drains();
    }

    /// Sets the members of a pool, for budgets with a separate total for each member.
    pub fn set_pool_members<'a>(&self, pool: &str, members: impl Iterator<Item = &'a str>) {
        let state = &mut *self.state.borrow_mut();
        let members: BTreeSet<String> = members.map(str::to_string).collect();
        if state.pool_members.get(pool) != Some(&members) {
            state.pool_members.insert(pool.to_string(), members);
            if state
                .budgets
                .per_member
                .values()
                .any(|budget| budget.pool == pool)
            {
                state.set_budgets();
            }
        }
    }

    /// Returns the position of this process among those that are up.
    pub fn position(&self) -> FleetPosition {
        self.state.borrow_mut().position(clock::now())
    }
}
