//! `dewrun`, the real proxy: the decision module on sockets. `src/net/driver.rs` ties the parts together.

#![forbid(unsafe_code)]

mod net {
    pub mod config;
    pub mod discovery;
    pub mod driver;
    pub mod io;
    pub mod limits;
    pub mod server;
    pub mod upstream;
}

use net::config::{self, Config};
use net::driver::Driver;
use net::limits::Limits;
use net::server::Server;
use net::upstream::Upstream;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

async fn run(config: Config) -> Result<(), String> {
    let listener = TcpListener::bind(config.listen).await.map_err(|e| format!("{}: {e}", config.listen))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let settings = config.settings.clone();
    let allowed = &settings.allowed;
    let limits = Limits::new(config.sockets, config.memory_mb);
    let (connect_ms, idle_ms) = (allowed.connect_timeout_ms, allowed.idle_close_ms);
    let upstream = Rc::new(Upstream::new(limits.clone(), connect_ms, idle_ms, settings.report.clone()));
    let knows_some = !config.known.endpoints.is_empty();
    let driver = Driver::start(config, upstream.clone(), limits.callers.most());
    let followed = driver.clone();
    spawn_local(async move {
        while reload.recv().await.is_some() {
            match config::reload(environment) {
                Ok(discovery) => followed.follow(discovery),
                Err(why) => net::io::log(format_args!("not reloaded: {why}")),
            }
        }
    });
    let server = Server::new(driver, upstream, limits, &settings, knows_some);
    spawn_local(server.clone().accept(listener));
    spawn_local(server.clone().tidy());
    term.recv().await;
    server.stop().await;
    Ok(())
}

fn main() -> ExitCode {
    let ran = config::load(environment).and_then(|config| {
        let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        LocalSet::new().block_on(&runtime, run(config))
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            net::io::log(why);
            ExitCode::FAILURE
        }
    }
}
