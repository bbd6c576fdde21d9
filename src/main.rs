//! `dewrun`, the real proxy: the decision module on sockets. `src/net/driver.rs` ties the parts together. Without
//! arguments it is the platform's program; with them, `src/cli.rs` says what it does.

#![forbid(unsafe_code)]

mod cli;
mod net {
    pub mod config;
    pub mod discovery;
    pub mod driver;
    pub mod installation;
    pub mod io;
    pub mod limits;
    pub mod ordinary;
    pub mod platform;
    pub mod pool;
    pub mod relay;
    pub mod server;
    pub mod stream;
    pub mod upstream;
}
mod serve;

use clap::Parser;
use cli::{Cli, Command};
use net::config::{self, Config};
use net::driver::{Driver, Membership, Start};
use net::limits::{Limits, BODY_MOST, CALLER_IDLE, REQUEST_TIME};
use net::platform::Platform;
use net::server::{Server, Times};
use net::upstream::Upstream;
use std::future::Future;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// Lines of the log a second, over time.
const LOG_LINES_PER_S: u32 = 10;

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

async fn run(config: Config) -> Result<(), String> {
    dewrun_logging::start(dewrun_logging::Format::Logfmt, LOG_LINES_PER_S);
    let listener = TcpListener::bind(config.listen).await.map_err(|e| format!("{}: {e}", config.listen))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let settings = config.settings.clone();
    let allowed = &settings.allowed;
    let limits = Limits::new(config.sockets, config.memory_mb.saturating_mul(1 << 20), BODY_MOST);
    let (connect_ms, idle_ms) = (allowed.connect_timeout_ms, allowed.idle_close_ms);
    let upstream = Rc::new(Upstream::new(limits.clone(), connect_ms, idle_ms, settings.report.clone()));
    let knows_some = !config.known.endpoints.is_empty();
    let start = Start {
        settings: config.settings,
        seed: config.seed,
        known: config.known,
        membership: Membership::Discovery(config.discovery),
        max_open: limits.callers.most(),
        relays: false,
    };
    let driver = Driver::start(start, upstream.clone());
    let followed = driver.clone();
    spawn_local(async move {
        while reload.recv().await.is_some() {
            match config::reload(environment) {
                Ok(discovery) => followed.follow(discovery),
                Err(why) => tracing::warn!("not reloaded: {why}"),
            }
        }
    });
    let front = Platform::new(driver, upstream, limits.clone(), &settings, knows_some);
    let times =
        Times { request: REQUEST_TIME, idle: CALLER_IDLE, stop: front.stop_time(), linger: Duration::ZERO };
    let server = Server::new(front, limits, times);
    spawn_local(server.clone().accept(listener, 0));
    spawn_local(server.clone().tidy());
    term.recv().await;
    server.stop().await;
    Ok(())
}

fn on_one_thread(work: impl Future<Output = Result<(), String>>) -> Result<(), String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, work)
}

fn ended(ran: Result<(), String>) -> ExitCode {
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            net::io::complain(why);
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    if std::env::args_os().len() <= 1 {
        return ended(config::load(environment).and_then(|config| on_one_thread(run(config))));
    }
    match Cli::parse().command {
        Command::Serve(asked) => {
            let config = asked.installation(environment);
            ended(config.and_then(|config| on_one_thread(serve::run(&asked, config, environment))))
        }
        Command::Check { file } => match cli::check(&file) {
            Ok(faults) if faults.is_empty() => {
                println!("{}: good", file.display());
                ExitCode::SUCCESS
            }
            Ok(faults) => {
                println!("{}", faults.join("\n"));
                ExitCode::FAILURE
            }
            Err(why) => {
                net::io::complain(why);
                ExitCode::from(2)
            }
        },
    }
}
