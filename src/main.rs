//! `dewrun`, the real proxy: the decision module on sockets. `src/net/driver.rs` ties the parts
//! together. Without arguments it is the platform's program; with them, `src/cli.rs` says what it
//! does.

#![forbid(unsafe_code)]

mod cli;
mod net {
    pub mod attempts;
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
    pub mod stream;
    pub mod trace;
    pub mod upstream;
}
mod serve;

use clap::Parser;
use cli::{Cli, Command};
use net::platform;
use std::future::Future;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn on_one_thread(work: impl Future<Output = Result<(), String>>) -> Result<(), String> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
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
        let config = platform::config::load(environment);
        return ended(config.and_then(|config| on_one_thread(platform::run(config, environment))));
    }
    match Cli::parse().command {
        Command::Serve(asked) => {
            let config = asked.installation(environment);
            ended(config.and_then(|config| on_one_thread(serve::run(&asked, config, environment))))
        }
        Command::Fleet { command } => {
            let (asked, code) = cli::fleet(command);
            match asked {
                Ok(text) => println!("{text}"),
                Err(why) => net::io::complain(why),
            }
            ExitCode::from(code)
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
