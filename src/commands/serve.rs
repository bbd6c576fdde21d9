//! `dewrun serve`: an operator's installation, from its start to its graceful shutdown.

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

/// For a client to read the last response on a connection that ends with bytes unread.
const LINGER: Duration = Duration::from_secs(2);
/// How often pools are told this process's position in its fleet.
const FLEET_POSITION_INTERVAL: Duration = Duration::from_millis(500);

/// Reads an environment variable.
type Environment = fn(&str) -> Option<String>;

/// Why an installation is not served.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The operator's file can't be used.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The arguments name neither a file nor a listener.
    #[error("neither --config nor --listen")]
    NothingToServe,
    /// The arguments that stand in place of a file can't be used; a line for each fault.
    #[error("{}", fault_texts(.0))]
    Arguments(Vec<Fault>),
    /// The system gives no runtime to serve with.
    #[error("{0}")]
    Runtime(std::io::Error),
    /// A signal can't be received.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// An address can't be listened at.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A task without which the process serves wrongly has ended.
    #[error("{0}; this process stops")]
    Task(#[from] TaskEnded),
    /// The agent of the fleet does not start.
    #[error(transparent)]
    Agent(#[from] dewrun_agent::error::StartError),
}

/// The folder that the file names in an operator's file are relative to: its own.
pub fn folder_of(file: &Path) -> PathBuf {
    file.parent().map(Path::to_path_buf).unwrap_or_default()
}

/// Reads the installation that the arguments ask for.
///
/// # Errors
///
/// With every fault of the file, or of the arguments in its place.
pub fn load(args: &ServeArgs, env: Environment) -> Result<Installation, ServeError> {
    if let Some(file) = &args.config {
        return Ok(installation::load(file, env)?);
    }
    let listen = args.listen.ok_or(ServeError::NothingToServe)?;
    Installation::simple(listen, &args.backend).map_err(ServeError::Arguments)
}

/// The texts of faults that have no place in a file.
fn fault_texts(faults: &[Fault]) -> String {
    let texts: Vec<&str> = faults.iter().map(|fault| fault.text.as_str()).collect();
    texts.join("\n")
}

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the process can't listen, receive signals, or start its agent, or if one of its tasks ends.
pub async fn run(
    args: &ServeArgs,
    config: Installation,
    env: Environment,
) -> Result<(), ServeError> {
    start_log(&config.log, args.trace);
    let mut signals = Signals::new()?;
    if env("NODE_CONFIG").is_some() {
        info!("NODE_CONFIG does not count here: an operator's installation is served");
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
    let folder = args.config.as_deref().map(folder_of).unwrap_or_default();
    let (supervisor, mut task_ends) = supervisor();
    let agent = start_agent(&config, &folder, &supervisor).await?;
    let common = PoolContext {
        limits: limits.clone(),
        times: ResponseTimeouts {
            endpoint_idle: config.limits.response_body_timeout,
            client_idle: config.limits.client_idle_timeout,
        },
        // The standard library's own randomness, which it takes from the system.
        seed: RandomState::new().hash_one(std::process::id()),
        folder,
        fleet: agent.clone(),
    };
    let gateway = Gateway::new(config, common);
    if let Some(agent) = &agent {
        // Nothing is accepted before: clients that connect meanwhile wait in the kernel's queue.
        catch_up(agent, &gateway).await;
    }
    let drain = Rc::new(DrainState::default());
    let server = ClientServer::new(gateway.clone(), limits, timeouts, drain);
    accept_all(&server, &gateway, listeners, &supervisor);
    supervisor.spawn("client maintenance", server.clone().maintain());
    if agent.is_some() {
        supervisor.spawn("fleet position", follow_fleet_position(gateway.clone()));
    }
    let stopped = reload_until_stopped(args, env, &gateway, &mut signals, &mut task_ends).await;
    match &stopped {
        Ok(()) => info!("stopping"),
        Err(end) => error!("{end}; stopping"),
    }
    let plan = ShutdownPlan::stop(timeouts.shutdown);
    server.shut_down(plan).await;
    if let (Ok(()), Some(agent)) = (&stopped, agent) {
        // After a panic its state may be wrong: leases end by their clocks, and peers notice.
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
        shutdown: config.limits.shutdown_timeout,
        linger: LINGER,
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ServeError::Listen { address, source })
}

/// Starts the agent of a process whose file has a fleet.
async fn start_agent(
    config: &Installation,
    folder: &Path,
    supervisor: &Supervisor,
) -> Result<Option<Rc<Agent>>, ServeError> {
    let Some(agent) = Agent::start(config, folder, Options::default()).await? else {
        return Ok(None);
    };
    let listener = listen(agent.address()).await?;
    supervisor.spawn("fleet agent", agent.clone().run());
    let (served, listener) = (agent.clone(), Rc::new(listener));
    supervisor.keep_running("fleet server", move || {
        served.clone().serve_requests(listener.clone())
    });
    Ok(Some(agent))
}

/// Fetches what the other processes hold, for as long as the file allows.
async fn catch_up(agent: &Rc<Agent>, gateway: &Gateway) {
    let installed = gateway.installation();
    let fleet = installed.config.fleet.as_ref();
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
    let installed = gateway.installation();
    for (index, listener) in listeners.into_iter().enumerate() {
        let address = installed.config.listeners[index].address;
        info!("{} listens at {address}", installed.name());
        supervisor.spawn("listener", server.clone().accept(listener, index));
    }
}

async fn follow_fleet_position(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(FLEET_POSITION_INTERVAL).await;
        gateway.installation().update_fleet_position();
    }
}

/// Reads the operator's file again at each SIGHUP. Returns at SIGTERM or SIGINT, or when a task
/// ends that was to run for as long as the process.
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
        Err(why) => warn!("not reloaded, going on as before: {why}"),
    }
}
