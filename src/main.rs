//! `dewrun`, the proxy. Without arguments it runs on its platform; `cli` has the commands for an
//! operator's installation. `docs/design/overview.md` shows how the parts fit together.

#![forbid(unsafe_code)]

mod cli;
mod commands;
mod net {
    //! Network I/O: client connections, request handling, dispatch, endpoints and discovery.

    pub mod attempts;
    #[cfg(test)]
    mod balancer_harness;
    pub mod bodies;
    pub mod client;
    mod connect;
    pub mod discovery;
    pub mod driver;
    pub mod gateway;
    pub mod headers;
    pub mod installation;
    pub mod io;
    pub mod limits;
    pub mod platform;
    pub mod pool;
    mod response_times;
    pub mod stream;
    pub mod trace;
    mod unsolicited;
    pub mod upload;
    pub mod upstream;
}

mod signals;
mod supervisor;

use clap::Parser;
use cli::{Cli, Command, ServeArgs};
use commands::serve::ServeError;
use net::platform;
use net::platform::error::PlatformError;
use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    if std::env::args_os().len() <= 1 {
        return exit_code(run_on_platform());
    }
    match Cli::parse().command {
        Command::Serve(args) => exit_code(serve(&args)),
        Command::Check { file } => commands::check::run(&file),
        Command::Fleet { command } => commands::fleet::run(command),
    }
}

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn run_on_platform() -> Result<(), PlatformError> {
    let config = platform::config::load(environment_variable)?;
    let result = run_on_this_thread(platform::run(config, environment_variable));
    result.map_err(PlatformError::Runtime)?
}

fn serve(args: &ServeArgs) -> Result<(), ServeError> {
    let config = commands::serve::load(args, environment_variable)?;
    let result = run_on_this_thread(commands::serve::run(args, config, environment_variable));
    result.map_err(ServeError::Runtime)?
}

/// Runs a future, and the tasks it spawns, on this thread.
fn run_on_this_thread<T>(future: impl Future<Output = T>) -> std::io::Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, future))
}

/// Prints the error, if there is one, and returns the exit code.
fn exit_code(result: Result<(), impl Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            net::io::print_error(error);
            ExitCode::FAILURE
        }
    }
}
