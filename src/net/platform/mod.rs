//! The service on the platform, which starts the program without arguments: configuration, clients,
//! the admin address, and the handover of an inherited listening socket.

pub mod config;
pub mod control;
pub mod error;
pub mod handler;
pub mod handover;
mod head;
pub mod id_claims;
pub mod listener;
pub mod request_ids;

use self::config::Config;
use self::control::AdminServer;
use self::error::PlatformError;
use self::handler::PlatformHandler;
use self::handover::NoteExchange;
use self::id_claims::IdClaims;
use super::client::{ClientServer, ClientTimeouts, DrainState};
use super::driver::{CarriedState, Driver, DriverOptions, Membership};
use super::limits::{Limits, CLIENT_IDLE_TIMEOUT, MAX_BUFFERED_BODY_BYTES, REQUEST_HEAD_TIMEOUT};
use super::upstream::{Upstream, UpstreamCounters, PLATFORM_RESPONSE_TIMEOUTS};
use crate::signals::Signals;
use crate::supervisor::{set_restart_counter, supervisor, Supervisor};
use dewrun_admin::{Metrics, ShutdownPlan};
use dewrun_balancer::Settings;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;

/// The maximum average rate of log lines.
const LOG_LINES_PER_S: u32 = 10;
/// The number of processes that may run at a time if the listening socket is inherited.
const HANDOVER_PROCESSES: usize = 2;

/// Reads an environment variable.
type Environment = fn(&str) -> Option<String>;

/// Serves inside the platform until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the process can't listen or receive signals, or if a task that it needs ends.
pub async fn run(config: Config, env: Environment) -> Result<(), PlatformError> {
    start_log(env);
    let listeners = Listeners::open(&config).await?;
    let mut signals = Signals::new()?;
    let is_inherited = config.inherited.is_some();
    let listen = config.listen;
    let settings = config.settings.clone();
    let limits = limits(&config);
    let class_names = settings.classes.iter().map(|class| class.name.as_str());
    let metrics = Rc::new(Metrics::new(class_names));
    set_restart_counter(metrics.task_restarts());
    let upstream = upstream(&settings, &limits, &metrics);
    let has_known_endpoints = !config.known.endpoints.is_empty();
    let driver = start_driver(config, &limits, &upstream);
    let directory = std::env::temp_dir();
    let (supervisor, mut task_ends) = supervisor();
    let reloading = reload_on_signal(signals.reload, env, driver.clone(), metrics.clone());
    supervisor.spawn("reload", reloading);
    let drain = Rc::new(DrainState::default());
    let handler = PlatformHandler::new(
        driver.clone(),
        upstream,
        limits.clone(),
        &settings,
        has_known_endpoints,
        drain.clone(),
        metrics,
    );
    if is_inherited {
        let serves = served_names(listen, &settings);
        let notes = Rc::new(NoteExchange::start(&directory, serves, driver));
        supervisor.keep_running("handover notes", move || notes.clone().run());
        share_request_ids(IdClaims::open(&directory, listen), &handler, &supervisor);
    }
    let shutdown_timeout = handler.shutdown_timeout();
    if let Some(admin) = listeners.admin {
        serve_admin(admin, &handler, &drain, &supervisor);
    }
    let timeouts = client_timeouts(shutdown_timeout);
    let server = ClientServer::new(handler, limits, timeouts, drain);
    let accepting = supervisor.spawn("listener", server.clone().accept(listeners.clients, 0));
    supervisor.spawn("client maintenance", server.clone().maintain());
    let stopped = tokio::select! {
        _ = signals.terminate.recv() => Ok(()),
        _ = signals.interrupt.recv() => Ok(()),
        end = task_ends.next() => {
            tracing::error!("{end}; stopping");
            Err(PlatformError::Task(end))
        }
    };
    if is_inherited {
        // The successor has the same listening socket, and accepts the connections in its queue.
        accepting.abort();
        server
            .shut_down(ShutdownPlan::handover(shutdown_timeout))
            .await;
        NoteExchange::remove_own(&directory);
    } else {
        server
            .shut_down(ShutdownPlan::restart(shutdown_timeout))
            .await;
    }
    stopped
}

/// Makes the ids of requests in progress known to the other processes that serve at one address.
fn share_request_ids(claims: IdClaims, handler: &PlatformHandler, supervisor: &Supervisor) {
    let claims = Rc::new(claims);
    handler.request_ids().share(claims.clone());
    supervisor.keep_running("request ids", move || claims.clone().expire());
}

fn start_log(env: Environment) {
    dewrun_logging::start(dewrun_logging::LogOptions {
        format: dewrun_logging::Format::Logfmt,
        lines_per_s: LOG_LINES_PER_S,
        trace_requests: env("DEWRUN_TRACE").is_some_and(|value| value == "1"),
    });
}

/// The listening sockets of the process.
struct Listeners {
    clients: TcpListener,
    admin: Option<TcpListener>,
}

impl Listeners {
    async fn open(config: &Config) -> Result<Listeners, PlatformError> {
        let clients = match config.inherited {
            Some(number) => listener::inherited(number)
                .map_err(|source| PlatformError::Inherited { number, source })?,
            None => {
                listener::bind(config.listen)
                    .await
                    .map_err(|source| PlatformError::Listen {
                        address: config.listen,
                        source,
                    })?
            }
        };
        let admin = match config.control {
            Some(address) => {
                let bound = listener::bind(address).await;
                Some(bound.map_err(|source| PlatformError::ListenAdmin { address, source })?)
            }
            None => None,
        };
        Ok(Listeners { clients, admin })
    }
}

/// Returns the limits of this process: the platform's limits, divided among the processes that may
/// run at a time.
fn limits(config: &Config) -> Rc<Limits> {
    let processes = if config.inherited.is_some() {
        HANDOVER_PROCESSES
    } else {
        1
    };
    Limits::new(
        config.sockets / processes,
        config.memory_mb.saturating_mul(1 << 20) / processes,
        MAX_BUFFERED_BODY_BYTES,
    )
}

fn upstream(settings: &Settings, limits: &Rc<Limits>, metrics: &Metrics) -> Rc<Upstream> {
    let upstream = Upstream::new(
        limits.clone(),
        settings.permissions.connect_timeout_ms,
        settings.permissions.idle_close_ms,
        settings.report_fields.clone(),
    );
    let counters = UpstreamCounters {
        written_attempts: metrics.forwards(),
        unsolicited: metrics.unsolicited(),
        incomplete_responses: metrics.incomplete_responses(),
    };
    Rc::new(upstream.with_counters(counters))
}

fn start_driver(config: Config, limits: &Limits, upstream: &Rc<Upstream>) -> Rc<Driver> {
    let options = DriverOptions {
        settings: config.settings,
        seed: config.seed,
        initial_list: config.known,
        membership: Membership::Discovery(config.discovery),
        max_open_requests: limits.clients.max(),
        fleet: None,
        carried: CarriedState::default(),
    };
    Driver::start(options, upstream.clone())
}

/// Returns the listener, classes and tenants of a process, by which its handover note identifies
/// the proxy.
fn served_names(listen: SocketAddr, settings: &Settings) -> String {
    let classes: Vec<&str> = settings
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    let tenants: Vec<&str> = settings
        .tenants
        .iter()
        .map(|tenant| tenant.name.as_str())
        .collect();
    format!(
        "{listen} classes: {}; tenants: {}",
        classes.join(", "),
        tenants.join(", ")
    )
}

/// Reloads the configuration at each SIGHUP.
async fn reload_on_signal(
    mut signal: Signal,
    env: Environment,
    driver: Rc<Driver>,
    metrics: Rc<Metrics>,
) {
    while signal.recv().await.is_some() {
        let read = config::reload(env);
        metrics.count_reload(read.is_ok());
        match read {
            Ok(discovery) => driver.follow_discovery(discovery),
            Err(error) => tracing::warn!("not reloaded: {error}"),
        }
    }
}

fn serve_admin(
    listener: TcpListener,
    handler: &Rc<PlatformHandler>,
    drain: &Rc<DrainState>,
    supervisor: &Supervisor,
) {
    let admin = AdminServer::new(handler.clone(), drain.clone());
    let listener = Rc::new(listener);
    supervisor.keep_running("admin address", move || {
        admin.clone().accept(listener.clone())
    });
}

fn client_timeouts(shutdown: Duration) -> ClientTimeouts {
    ClientTimeouts {
        request: REQUEST_HEAD_TIMEOUT,
        idle: CLIENT_IDLE_TIMEOUT,
        response_idle: PLATFORM_RESPONSE_TIMEOUTS.client_idle,
        shutdown,
        linger: Duration::ZERO,
    }
}

#[cfg(test)]
mod tests;
