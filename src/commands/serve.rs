//! `dewrun serve`: the service of an operator's installation, from its start to its graceful
//! shutdown.

use crate::cli::ServeArgs;
use crate::net::client::{ClientServer, ClientTimeouts, DrainState};
use crate::net::gateway::Gateway;
use crate::net::installation::{self, LoadError};
use crate::net::limits::Limits;
use crate::net::pool::PoolContext;
use crate::net::upstream::ResponseTimeouts;
use crate::signals::{SignalError, Signals};
use crate::supervisor::{supervisor, Supervisor, TaskEnded, TaskEnds};
use dewrun_admin::ShutdownPlan;
use dewrun_agent::{Agent, Options};
use dewrun_config::{Fault, Installation, Log, LogFormat};
use dewrun_logging::{Format, LogOptions};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tracing::{error, info, warn};

/// How long a connection that ends with unread bytes stays open, so that the client can read the
/// last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which pools receive this process's position in its fleet.
const FLEET_POSITION_INTERVAL: Duration = Duration::from_millis(500);

/// Reads an environment variable.
type Environment = fn(&str) -> Option<String>;

/// An error that keeps an installation from being served, or ends its service.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The operator's file, or an environment variable, is invalid.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The arguments name neither a file nor a listener.
    #[error("neither --config nor --listen")]
    NothingToServe,
    /// The arguments that replace a file are invalid; the message has one line for each fault.
    #[error("{}", fault_texts(.0))]
    Arguments(Vec<Fault>),
    /// The asynchronous runtime can't be started.
    #[error("{0}")]
    Runtime(std::io::Error),
    /// A signal handler can't be installed.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// An address can't be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A task that the process needs for its service has ended.
    #[error("{0}; stopping the process")]
    Task(#[from] TaskEnded),
    /// The fleet agent can't be started.
    #[error(transparent)]
    Agent(#[from] dewrun_agent::error::StartError),
}

/// Returns the directory of an operator's file, to which the paths in it are relative.
pub fn parent_directory(file: &Path) -> PathBuf {
    file.parent().map(Path::to_path_buf).unwrap_or_default()
}

/// Loads the installation from the file that the arguments name, or builds it from the arguments
/// alone.
///
/// # Errors
///
/// If the file or the arguments are invalid; the error lists all faults.
pub fn load(args: &ServeArgs, env: Environment) -> Result<Installation, ServeError> {
    if let Some(file) = &args.config {
        return Ok(installation::load(file, env)?);
    }
    let listen = args.listen.ok_or(ServeError::NothingToServe)?;
    Installation::simple(listen, &args.backend).map_err(ServeError::Arguments)
}

/// Formats faults without a position in a file, one line each.
fn fault_texts(faults: &[Fault]) -> String {
    let texts: Vec<&str> = faults.iter().map(|fault| fault.text.as_str()).collect();
    texts.join("\n")
}

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the process can't listen, receive signals or start its agent, or if a task that it needs
/// ends.
pub async fn run(
    args: &ServeArgs,
    config: Installation,
    env: Environment,
) -> Result<(), ServeError> {
    start_log(&config.log, args.trace);
    let mut signals = Signals::new()?;
    if env("NODE_CONFIG").is_some() {
        info!("NODE_CONFIG is ignored: serving an operator's installation");
    }
    let mut listeners = Vec::new();
    for listener in &config.listeners {
        listeners.push(listen(listener.address).await?);
    }
    let limits = Limits::new(
        config.limits.sockets,
        config.limits.memory as usize,
        config.limits.max_buffered_body as usize,
    );
    let timeouts = client_timeouts(&config);
    let directory = args
        .config
        .as_deref()
        .map(parent_directory)
        .unwrap_or_default();
    let (supervisor, mut task_ends) = supervisor();
    let agent = start_agent(&config, &directory, &supervisor).await?;
    let context = PoolContext {
        limits: limits.clone(),
        times: ResponseTimeouts {
            endpoint_idle: config.limits.response_body_timeout,
            client_idle: config.limits.client_idle_timeout,
        },
        // The standard library seeds its hasher with random numbers of the operating system.
        seed: RandomState::new().hash_one(std::process::id()),
        folder: directory,
        fleet: agent.clone(),
    };
    let gateway = Gateway::new(config, context);
    if let Some(agent) = &agent {
        // No connection is accepted before the agent has caught up; clients that connect in the
        // meantime wait in the kernel's queue.
        catch_up(agent, &gateway).await;
    }
    let drain = Rc::new(DrainState::default());
    let server = ClientServer::new(gateway.clone(), limits, timeouts, drain);
    accept_all(&server, &gateway, listeners, &supervisor);
    supervisor.spawn("client maintenance", server.clone().maintain());
    if agent.is_some() {
        supervisor.spawn(
            "fleet position",
            update_fleet_position_periodically(gateway.clone()),
        );
    }
    let stopped = reload_until_stopped(args, env, &gateway, &mut signals, &mut task_ends).await;
    match &stopped {
        Ok(()) => info!("stopping"),
        Err(end) => error!("{end}; stopping"),
    }
    let plan = ShutdownPlan::stop(timeouts.shutdown);
    server.shut_down(plan).await;
    if let (Ok(()), Some(agent)) = (&stopped, agent) {
        // After a panic the agent's state may be wrong, so it does not announce its departure:
        // leases expire, and the peers detect the failure.
        agent.leave();
    }
    Ok(stopped?)
}

fn start_log(log: &Log, trace: bool) {
    let format = match log.format {
        LogFormat::Logfmt => Format::Logfmt,
        LogFormat::Json => Format::Json,
    };
    dewrun_logging::start(LogOptions {
        format,
        lines_per_s: log.lines_per_s,
        trace_requests: trace || log.trace,
    });
}

fn client_timeouts(config: &Installation) -> ClientTimeouts {
    ClientTimeouts {
        request: config.limits.head_timeout,
        idle: config.limits.client_idle_timeout,
        response_idle: config.limits.client_idle_timeout,
        shutdown: config.limits.shutdown_timeout,
        linger: LINGER_TIMEOUT,
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ServeError::Listen { address, source })
}

/// Starts the fleet agent, if the file has a fleet.
async fn start_agent(
    config: &Installation,
    directory: &Path,
    supervisor: &Supervisor,
) -> Result<Option<Rc<Agent>>, ServeError> {
    let Some(agent) = Agent::start(config, directory, Options::default()).await? else {
        return Ok(None);
    };
    let listener = listen(agent.address()).await?;
    supervisor.spawn("fleet agent", agent.clone().run());
    let (server, listener) = (agent.clone(), Rc::new(listener));
    supervisor.keep_running("fleet server", move || {
        server.clone().serve_requests(listener.clone())
    });
    Ok(Some(agent))
}

/// Fetches the replicated state of the other processes, within the time that the file allows.
async fn catch_up(agent: &Rc<Agent>, gateway: &Gateway) {
    let active = gateway.installation();
    let fleet = active.config.fleet.as_ref();
    let timeout = fleet.map_or(Duration::ZERO, |fleet| fleet.catch_up);
    let begun = Instant::now();
    if agent.wait_until_caught_up(timeout).await {
        let left = timeout.saturating_sub(begun.elapsed());
        agent.restore_from_peers(left).await;
        info!("fleet: caught up after {} ms", begun.elapsed().as_millis());
    } else if !timeout.is_zero() {
        warn!(
            "fleet: serving without the orders and drains of the other processes: none answered within {} ms",
            timeout.as_millis()
        );
    }
}

fn accept_all(
    server: &Rc<ClientServer<Gateway>>,
    gateway: &Gateway,
    listeners: Vec<TcpListener>,
    supervisor: &Supervisor,
) {
    let active = gateway.installation();
    for (index, listener) in listeners.into_iter().enumerate() {
        let address = active.config.listeners[index].address;
        info!("{} listens at {address}", active.name());
        supervisor.spawn("listener", server.clone().accept(listener, index));
    }
}

async fn update_fleet_position_periodically(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(FLEET_POSITION_INTERVAL).await;
        gateway.installation().update_fleet_position();
    }
}

/// Reloads the operator's file at each SIGHUP. Returns at SIGTERM or SIGINT, or when a task that
/// the process needs ends.
async fn reload_until_stopped(
    args: &ServeArgs,
    env: Environment,
    gateway: &Gateway,
    signals: &mut Signals,
    task_ends: &mut TaskEnds,
) -> Result<(), TaskEnded> {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return Ok(()),
            _ = signals.interrupt.recv() => return Ok(()),
            end = task_ends.next() => return Err(end),
            _ = signals.reload.recv() => reload(args, env, gateway),
        }
    }
}

fn reload(args: &ServeArgs, env: Environment, gateway: &Gateway) {
    let Some(file) = &args.config else {
        warn!("SIGHUP: there is no file to read again");
        return;
    };
    match installation::load(file, env) {
        Ok(config) => gateway.reload(config),
        Err(error) => warn!("not reloaded, going on as before: {error}"),
    }
}
