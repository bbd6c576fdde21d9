//! An operator's installation as it is served: its pools, and how it changes from one file to the
//! next.

mod error;

use super::pool::{Pool, PoolContext};
use dewrun_agent::{Agent, FleetPosition, RequestBudgets, RequestKind};
use dewrun_balancer::*;
use dewrun_config::{
    Class, Effect as Declared, Installation, Instance, KeyScope, Membership, Tenant,
};
use dewrun_forwarding::RetrySafety;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

pub use error::{fault_lines, EnvironmentError, LoadError};

/// The name of an instance that has none.
const USUAL_NAME: &str = "dewrun";
/// Requests a second that no tenant without a limit comes near.
const NO_LIMIT: f64 = 1e12;
/// The part of a fall that a cold member must bear: more than this multiple of its capacity makes
/// it fall over.
const FALL_MULTIPLE: f64 = 3.0;
const FALL_MS: Millis = 3_000.0;

/// An installation that is served. Each request holds the one that it began with.
pub struct Installed {
    /// What the file says.
    pub config: Installation,
    /// Its pools, in the file's order.
    pub pools: Vec<Rc<Pool>>,
    /// For each class, the module's classes for requests that can be repeated anywhere, with a
    /// key, or never.
    kinds: Vec<[u8; 3]>,
    /// For each tenant, class and pool that was asked for, the budgets that it counts to.
    budgets: RefCell<FxHashMap<RequestKind, Rc<RequestBudgets>>>,
    /// Those with whom budgets are shared.
    pub fleet: Option<Rc<Agent>>,
}

impl Installed {
    /// Starts an installation.
    pub fn start(config: Installation, common: &PoolContext) -> Rc<Installed> {
        Installed::follow_on(config, common, &[])
    }

    /// Puts another in this one's place. Pools that serve as before go on, with what they have
    /// learned.
    pub fn replaced_by(&self, mut config: Installation, common: &PoolContext) -> Rc<Installed> {
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
            // A file without a fleet, or the first with one: as before until the next start.
            _ => {
                config.fleet.clone_from(&self.config.fleet);
                config.budgets.clone_from(&self.config.budgets);
            }
        }
        Installed::follow_on(config, common, &self.pools)
    }

    fn follow_on(config: Installation, common: &PoolContext, before: &[Rc<Pool>]) -> Rc<Installed> {
        let (classes, kinds) = classes(&config.classes);
        let tenants: Vec<_> = config.tenants.iter().map(tenant).collect();
        let pools = config.pools.iter().map(|pool| {
            let settings = settings(&config.instance, &classes, &tenants, pool);
            let old = before.iter().find(|old| old.name() == pool.name);
            match old.filter(|old| old.can_serve_as(pool, &settings)) {
                Some(old) => {
                    old.update_members(pool);
                    old.clone()
                }
                None => Pool::start(pool.clone(), settings, common, old),
            }
        });
        let (pools, fleet) = (pools.collect(), common.fleet.clone());
        let installed = Installed {
            pools,
            kinds,
            config,
            budgets: RefCell::default(),
            fleet,
        };
        installed.follow_fleet();
        Rc::new(installed)
    }

    /// Tells the pools which of how many processes this is.
    pub fn follow_fleet(&self) {
        if let Some(FleetPosition { rank, processes }) =
            self.fleet.as_ref().map(|fleet| fleet.position())
        {
            self.pools
                .iter()
                .for_each(|pool| pool.driver.set_fleet_position(rank, processes));
        }
    }

    /// The budgets that a request counts to.
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

    /// The module's class of a request.
    pub fn kind(&self, class: usize, retry_safety: RetrySafety) -> u8 {
        self.kinds[class][match retry_safety {
            RetrySafety::AnyEndpoint => 0,
            RetrySafety::WithinKeyScope => 1,
            RetrySafety::Never => 2,
        }]
    }

    /// The name of this instance.
    pub fn name(&self) -> &str {
        self.config.instance.name.as_deref().unwrap_or(USUAL_NAME)
    }
}

/// The platform's variables that go before an operator's file, and those that do not count.
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
        config.instance.name = Some(checked_name(name)?);
    }
    Ok(())
}

fn parse_address(variable: &'static str, text: String) -> Result<SocketAddr, EnvironmentError> {
    text.parse()
        .map_err(|_| EnvironmentError::Address { variable, text })
}

fn checked_name(name: String) -> Result<String, EnvironmentError> {
    let is_permitted = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_permitted) {
        return Err(EnvironmentError::Name { name });
    }
    Ok(name)
}

/// Reads an operator's file, with the environment over it.
///
/// # Errors
///
/// If the file can't be read, or with every fault of the file, or one of the environment.
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

fn ms(span: Duration) -> Millis {
    span.as_secs_f64() * 1000.0
}

/// The module's classes: one for each way in which requests of a class can be repeated.
fn classes(declared: &[Class]) -> (Vec<dewrun_balancer::Class>, Vec<[u8; 3]>) {
    let mut classes = Vec::new();
    let mut kinds = Vec::new();
    for class in declared {
        let mut add = |effect| {
            classes.push(dewrun_balancer::Class {
                name: class.name.clone(),
                latency_objective_ms: ms(class.latency_objective),
                latency_objective_stretch: 0.0,
                deadline_ms: ms(class.deadline),
                priority_weight: class.priority_weight,
                late_fraction: class.late_fraction,
                effect,
                scope: match class.scope {
                    KeyScope::All => DeduplicationScope::All,
                    KeyScope::Cell => DeduplicationScope::Cell,
                },
                window_ms: ms(class.window),
                streaming: true,
            });
            (classes.len() - 1) as u8
        };
        let never = add(EffectClass::NonIdempotent);
        // Where nothing asks for a way, it stands for the strictest.
        let anywhere = if class.effect == Declared::Once {
            never
        } else {
            add(EffectClass::Idempotent)
        };
        let with_key = if class.effect == Declared::Keyed {
            add(EffectClass::Keyed)
        } else {
            never
        };
        kinds.push([anywhere, with_key, never]);
    }
    (classes, kinds)
}

fn tenant(tenant: &Tenant) -> dewrun_balancer::Tenant {
    dewrun_balancer::Tenant {
        name: tenant.name.clone(),
        quota_per_s: tenant.rate.unwrap_or(NO_LIMIT),
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
            slow_start_ms: ms(pool.slow_start),
            overload_multiple: FALL_MULTIPLE,
            overload_ms: FALL_MS,
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
            idle_close_ms: ms(pool.idle_close),
            connect_timeout_ms: ms(pool.connect_timeout),
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
