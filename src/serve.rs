//! `dewrun serve`: an operator's installation from its start to its orderly end.

use crate::cli::{folder, Serve};
use crate::net::client::{ClientServer, ClientTimeouts, DrainState};
use crate::net::gateway::Gateway;
use crate::net::installation;
use crate::net::limits::Limits;
use crate::net::pool::Common;
use crate::net::upstream::AnswerTimes;
use dewrun_admin::ShutdownPlan;
use dewrun_agent::{Agent, Options};
use dewrun_config::{Installation, LogFormat};
use dewrun_logging::LogOptions;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tracing::{info, warn};

/// How long a caller whose request was answered before its end is read from.
const LINGER: Duration = Duration::from_secs(2);

/// How often pools are told how many processes there are.
const FOLLOW: Duration = Duration::from_millis(500);

/// Serves until SIGTERM or SIGINT.
pub async fn run(
    asked: &Serve,
    config: Installation,
    env: fn(&str) -> Option<String>,
) -> Result<(), String> {
    let format = match config.log.format {
        LogFormat::Logfmt => dewrun_logging::Format::Logfmt,
        LogFormat::Json => dewrun_logging::Format::Json,
    };
    dewrun_logging::start(LogOptions {
        format,
        lines_per_s: config.log.lines_per_s,
        trace_requests: asked.trace || config.log.trace,
    });
    let watch = |kind, name: &str| signal(kind).map_err(|e| format!("{name}: {e}"));
    let mut reload = watch(SignalKind::hangup(), "SIGHUP")?;
    let mut term = watch(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = watch(SignalKind::interrupt(), "SIGINT")?;
    if env("NODE_CONFIG").is_some() {
        info!("NODE_CONFIG does not count here: an operator's installation is served");
    }
    let mut listeners = Vec::new();
    for listener in &config.listeners {
        listeners.push(bind(listener.address).await?);
    }
    let limits = Limits::new(
        config.limits.sockets,
        config.limits.memory as usize,
        config.limits.max_buffered_body as usize,
    );
    let timeouts = ClientTimeouts {
        request: config.limits.head_timeout,
        idle: config.limits.client_idle_timeout,
        shutdown: config.limits.shutdown_timeout,
        linger: LINGER,
    };
    let folder = asked.config.as_deref().map(folder).unwrap_or_default();
    let fleet = Agent::start(&config, &folder, Options::default())
        .await
        .map_err(|e| e.to_string())?;
    let common = Common {
        limits: limits.clone(),
        times: AnswerTimes {
            answer_idle: config.limits.response_body_timeout,
            caller_idle: config.limits.client_idle_timeout,
        },
        // The standard library's own randomness, which it takes from the system.
        seed: RandomState::new().hash_one(std::process::id()),
        folder,
        fleet: fleet.clone(),
    };
    if let Some(fleet) = &fleet {
        let address = fleet.address();
        let listener = bind(address).await?;
        spawn_local(fleet.clone().run());
        spawn_local(fleet.clone().serve_requests(listener));
    }
    let gateway = Gateway::new(config, common);
    if let Some(fleet) = &fleet {
        // Nothing is accepted before: callers that come meanwhile wait in the listening queue.
        let most = gateway
            .installed()
            .config
            .fleet
            .as_ref()
            .map_or(Duration::ZERO, |fleet| fleet.catch_up);
        let from = Instant::now();
        if fleet.wait_until_caught_up(most).await {
            fleet
                .restore_from_peers(most.saturating_sub(from.elapsed()))
                .await;
            info!("fleet: caught up after {} ms", from.elapsed().as_millis());
        } else if !most.is_zero() {
            warn!(
                "fleet: serving without what others hold: nobody told within {} ms of orders and drains",
                most.as_millis()
            );
        }
    }
    let server = ClientServer::new(
        gateway.clone(),
        limits,
        timeouts,
        Rc::new(DrainState::default()),
    );
    let installed = gateway.installed();
    for (index, listener) in listeners.into_iter().enumerate() {
        info!(
            "{} listens at {}",
            installed.name(),
            installed.config.listeners[index].address
        );
        spawn_local(server.clone().accept(listener, index));
    }
    drop(installed);
    spawn_local(server.clone().maintain());
    if fleet.is_some() {
        let gateway = gateway.clone();
        spawn_local(async move {
            loop {
                tokio::time::sleep(FOLLOW).await;
                gateway.installed().follow_fleet();
            }
        });
    }
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => match &asked.config {
                None => warn!("SIGHUP: there is no file to read again"),
                Some(file) => match installation::load(file, env) {
                    Ok(config) => gateway.reload(config),
                    Err(why) => warn!("not reloaded, going on as before: {why}"),
                },
            },
        }
    }
    info!("stopping");
    server
        .shut_down(ShutdownPlan::restart(timeouts.shutdown))
        .await;
    if let Some(fleet) = fleet {
        fleet.leave();
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address)
        .await
        .map_err(|e| format!("{address}: {e}"))
}
