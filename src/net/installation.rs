//! The installation in service: its pools and request classes, and its replacement at a reload.

mod error;

use super::pool::{Pool, PoolContext};
use dewrun_agent::{Agent, FleetPosition, RequestBudgets, RequestKind};
use dewrun_balancer::*;
use dewrun_config::{
    Class, Effect as DeclaredEffect, Installation, Instance, KeyScope, Membership, Tenant,
};
use dewrun_forwarding::RetrySafety;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

pub use error::{fault_lines, EnvironmentError, LoadError};

/// The name of an instance to which neither the file nor the environment gives one.
const DEFAULT_INSTANCE_NAME: &str = "dewrun";
/// The quota of a tenant without a limit, which no tenant comes near.
const UNLIMITED_QUOTA_PER_S: f64 = 1e12;
/// An endpoint fails under a load above this multiple of its capacity.
const OVERLOAD_MULTIPLE: f64 = 3.0;
const OVERLOAD_MS: Millis = 3_000.0;

/// An installation in service. Each request holds the one that it began with.
pub struct ActiveInstallation {
    /// The settings of the operator's file.
    pub config: Installation,
    /// The pools, in the file's order.
    pub pools: Vec<Rc<Pool>>,
    /// For each class, the balancer's classes of requests that may be retried at any endpoint, only
    /// within the key scope, or never.
    balancer_classes: Vec<[u8; 3]>,
    /// The budgets that the requests of a tenant, class and pool count against; filled in at the
    /// first such request.
    budgets: RefCell<FxHashMap<RequestKind, Rc<RequestBudgets>>>,
    /// The agent of the fleet with which budgets are shared.
    pub fleet: Option<Rc<Agent>>,
}

impl ActiveInstallation {
    /// Starts an installation.
    pub fn start(config: Installation, context: &PoolContext) -> Rc<ActiveInstallation> {
        ActiveInstallation::build(config, context, &[])
    }

    /// Returns the installation that replaces this one. Pools with unchanged settings are kept,
    /// with their learned state; settings that need a restart stay as they are, with a warning.
    pub fn reloaded(
        &self,
        mut config: Installation,
        context: &PoolContext,
    ) -> Rc<ActiveInstallation> {
        let restart = self.config.needs_restart(&config);
        if !restart.is_empty() {
            tracing::warn!(
                "needs a restart to change: {}; going on with these as before",
                restart.join(", ")
            );
        }
        config.instance = self.config.instance.clone();
        config.limits = self.config.limits.clone();
        config.log = self.config.log.clone();
        config.listeners.clone_from(&self.config.listeners);
        match (&self.fleet, &config.fleet) {
            (Some(fleet), Some(_)) => {
                fleet.reload(&config);
                if let (Some(next), Some(fixed)) = (&mut config.fleet, &self.config.fleet) {
                    next.copy_fixed_settings_from(fixed);
                }
            }
            // Adding or removing the fleet takes effect at the next start.
            _ => {
                config.fleet.clone_from(&self.config.fleet);
                config.budgets.clone_from(&self.config.budgets);
            }
        }
        ActiveInstallation::build(config, context, &self.pools)
    }

    fn build(
        config: Installation,
        context: &PoolContext,
        previous: &[Rc<Pool>],
    ) -> Rc<ActiveInstallation> {
        let (classes, balancer_classes) = classes(&config.classes);
        let tenants: Vec<_> = config.tenants.iter().map(tenant).collect();
        let pools = config.pools.iter().map(|pool| {
            let settings = settings(&config.instance, &classes, &tenants, pool);
            let old = previous.iter().find(|old| old.name() == pool.name);
            match old.filter(|old| old.can_serve_as(pool, &settings)) {
                Some(old) => {
                    old.update_members(pool);
                    old.clone()
                }
                None => Pool::start(pool.clone(), settings, context, old),
            }
        });
        let (pools, fleet) = (pools.collect(), context.fleet.clone());
        let installation = ActiveInstallation {
            pools,
            balancer_classes,
            config,
            budgets: RefCell::default(),
            fleet,
        };
        installation.update_fleet_position();
        Rc::new(installation)
    }

    /// Passes this process's rank in the fleet, and the number of processes, to the pools.
    pub fn update_fleet_position(&self) {
        if let Some(FleetPosition { rank, processes }) =
            self.fleet.as_ref().map(|fleet| fleet.position())
        {
            self.pools
                .iter()
                .for_each(|pool| pool.driver.set_fleet_position(rank, processes));
        }
    }

    /// Returns the budgets that a request counts against.
    pub fn budgets(&self, tenant: u16, class: usize, pool: usize) -> Rc<RequestBudgets> {
        let kind = RequestKind {
            tenant,
            class,
            pool,
        };
        let mut known = self.budgets.borrow_mut();
        known
            .entry(kind)
            .or_insert_with(|| Rc::new(RequestBudgets::of(&self.config, kind)))
            .clone()
    }

    /// Returns the balancer's class of a request.
    pub fn balancer_class(&self, class: usize, retry_safety: RetrySafety) -> u8 {
        self.balancer_classes[class][match retry_safety {
            RetrySafety::AnyEndpoint => 0,
            RetrySafety::WithinKeyScope => 1,
            RetrySafety::Never => 2,
        }]
    }

    /// Returns the name of this instance.
    pub fn name(&self) -> &str {
        self.config
            .instance
            .name
            .as_deref()
            .unwrap_or(DEFAULT_INSTANCE_NAME)
    }
}

/// Applies the platform's environment variables. Addresses override those of the operator's file;
/// the name applies only if the file has none.
///
/// # Errors
///
/// If a variable is malformed.
pub fn apply_environment(
    config: &mut Installation,
    env: impl Fn(&str) -> Option<String>,
) -> Result<(), EnvironmentError> {
    let address = |variable: &'static str| {
        let text = env(variable);
        text.map(|text| parse_address(variable, text)).transpose()
    };
    if let (Some(listen), Some(first)) = (address("NODE_LISTEN")?, config.listeners.first_mut()) {
        first.address = listen;
    }
    if let Some(discovery) = address("NODE_DISCOVERY")? {
        for pool in &mut config.pools {
            if let Membership::Discovery(address) = &mut pool.membership {
                *address = discovery;
            }
        }
    }
    if let (None, Some(name)) = (&config.instance.name, env("NODE_NAME")) {
        config.instance.name = Some(validate_name(name)?);
    }
    Ok(())
}

fn parse_address(variable: &'static str, text: String) -> Result<SocketAddr, EnvironmentError> {
    text.parse()
        .map_err(|_| EnvironmentError::Address { variable, text })
}

fn validate_name(name: String) -> Result<String, EnvironmentError> {
    let is_permitted = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_permitted) {
        return Err(EnvironmentError::Name { name });
    }
    Ok(name)
}

/// Reads an operator's file and applies the environment.
///
/// # Errors
///
/// If the file can't be read, if it has faults (all of them are listed), or if an environment
/// variable is malformed.
pub fn load(file: &Path, env: impl Fn(&str) -> Option<String>) -> Result<Installation, LoadError> {
    let path = || file.to_path_buf();
    let text = std::fs::read_to_string(file).map_err(|source| LoadError::Unreadable {
        path: path(),
        source,
    })?;
    let mut config = Installation::parse(&text).map_err(|faults| LoadError::Faulty {
        path: path(),
        faults,
    })?;
    apply_environment(&mut config, env)?;
    Ok(config)
}

fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}

/// Expands each declared class into one balancer class for each retry safety of its requests.
/// Returns the balancer's classes, and their indexes for each declared class.
fn classes(declared: &[Class]) -> (Vec<dewrun_balancer::Class>, Vec<[u8; 3]>) {
    let mut classes = Vec::new();
    let mut indexes = Vec::new();
    for class in declared {
        let mut add = |effect| {
            classes.push(dewrun_balancer::Class {
                name: class.name.clone(),
                latency_objective_ms: millis(class.latency_objective),
                latency_objective_stretch: 0.0,
                deadline_ms: millis(class.deadline),
                priority_weight: class.priority_weight,
                late_fraction: class.late_fraction,
                effect,
                scope: match class.scope {
                    KeyScope::All => DeduplicationScope::All,
                    KeyScope::Cell => DeduplicationScope::Cell,
                },
                window_ms: millis(class.window),
                streaming: true,
            });
            (classes.len() - 1) as u8
        };
        let never = add(EffectClass::NonIdempotent);
        // A retry safety that no request of the class can have maps to the strictest class.
        let any_endpoint = if class.effect == DeclaredEffect::Once {
            never
        } else {
            add(EffectClass::Idempotent)
        };
        let within_key_scope = if class.effect == DeclaredEffect::Keyed {
            add(EffectClass::Keyed)
        } else {
            never
        };
        indexes.push([any_endpoint, within_key_scope, never]);
    }
    (classes, indexes)
}

fn tenant(tenant: &Tenant) -> dewrun_balancer::Tenant {
    dewrun_balancer::Tenant {
        name: tenant.name.clone(),
        quota_per_s: tenant.rate.unwrap_or(UNLIMITED_QUOTA_PER_S),
        fraction: 1.0,
    }
}

fn settings(
    instance: &Instance,
    classes: &[dewrun_balancer::Class],
    tenants: &[dewrun_balancer::Tenant],
    pool: &dewrun_config::Pool,
) -> Settings {
    Settings {
        rank: instance.rank,
        fleet_size: instance.fleet_size,
        zone: u16::MAX,
        tier: 0,
        tier_names: Vec::new(),
        zones: Vec::new(),
        machine_kinds: Vec::new(),
        service: pool.name.clone(),
        has_long_requests: false,
        retry_ratio: pool.retry_ratio,
        passes_deadline: true,
        has_key_affinity: false,
        clients_mark_retries: false,
        must_subscribe: false,
        is_value_by_work: false,
        over_quota_weight: 0.1,
        tick_ms: 1.0,
        weight_kind: WeightKind::Nominal,
        report_fields: Vec::new(),
        report_via: ReportVia::Off,
        classes: classes.to_vec(),
        tenants: tenants.to_vec(),
        rules: Rules {
            answer_grace_ms: 0.0,
            drain_grace_ms: 250.0,
            poll_within_ms: 10_000.0,
            slow_start_from: pool.slow_start_from,
            slow_start_ms: millis(pool.slow_start),
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_ms: OVERLOAD_MS,
        },
        permissions: Permissions {
            cancel: true,
            probe: false,
            parallel: false,
            retry_after: true,
            max_retry_after_ms: 5_000.0,
            max_attempts: pool.max_attempts,
            max_pending_requests: u32::MAX,
            peers: false,
            idle_close_ms: millis(pool.idle_close),
            connect_timeout_ms: millis(pool.connect_timeout),
            streams_per_connection: 1,
            cpu_us_per_s: 0.0,
            cpu_us_per_request: 0.0,
        },
        prices: Prices::default(),
        objective: Objective {
            total: 0.7,
            worst_window: 0.2,
            worst_class: 0.1,
            worst_tenant: 0.0,
            availability: 0.0,
            availability_target_nines: 0.0,
        },
    }
}

#[cfg(test)]
mod tests;
