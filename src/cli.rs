//! The command line. Without arguments this is the platform's program, which reads none of this.

use crate::net::installation;
use clap::{Args, Parser, Subcommand};
use dewrun_agent::error::ClientError;
use dewrun_agent::protocol::Order;
use dewrun_agent::{client, read_secret, status};
use dewrun_config::{read_members, Installation, Membership};
use dewrun_replication::orders::DesiredState;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A load-balancing reverse proxy for HTTP/1.1 services.
///
/// Without a command it runs as its platform starts it: by the file that NODE_CONFIG names.
#[derive(Parser)]
#[command(name = "dewrun", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Serve an operator's installation
    ///
    /// By a file, which SIGHUP has read again, or by addresses alone. SIGTERM ends it in order.
    Serve(Serve),
    /// Check an operator's file and tell every fault of it
    ///
    /// Exits with 0 if the file is good, 1 if it is not, and 2 if there is no such file.
    Check {
        /// The file
        file: PathBuf,
    },
    /// Look at a fleet
    Fleet {
        /// What to do.
        #[command(subcommand)]
        command: FleetCommand,
    },
}

/// What can be asked of a fleet.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Tell the members, and the budgets, as one process knows them
    Status {
        /// The fleet address of the process that is asked
        #[arg(long, value_name = "ADDR")]
        at: SocketAddr,
        /// Tell it as JSON
        #[arg(long)]
        json: bool,
    },
    /// Have nothing new go to a member, at all processes, until it is returned
    Drain(OrderArgs),
    /// Take a drain back: the member is served as its list says
    Return(OrderArgs),
    /// Tell the orders that one process holds
    Orders {
        /// The fleet address of the process that is asked
        #[arg(long, value_name = "ADDR")]
        at: SocketAddr,
        /// Tell them as JSON
        #[arg(long)]
        json: bool,
    },
    /// Tell what two processes hold differently, and how that will be settled
    ///
    /// Exits with 0 if they hold the same, 1 if they do not, and 2 if one of them does not answer.
    Diff {
        /// The fleet address of one
        one: SocketAddr,
        /// The fleet address of the other
        other: SocketAddr,
    },
}

/// An order.
#[derive(Args)]
pub struct OrderArgs {
    /// The member, as POOL/MEMBER
    #[arg(value_name = "POOL/MEMBER")]
    pub target: String,
    /// The fleet address of a process: any of the fleet
    #[arg(long, value_name = "ADDR")]
    pub at: SocketAddr,
    /// The file with the fleet's secret, if it has one
    #[arg(long, value_name = "FILE")]
    pub secret_file: Option<PathBuf>,
    /// Who gives the order, for the others to read
    #[arg(long, env = "USER", hide_env = true, default_value = "somebody")]
    pub by: String,
}

/// Asks a fleet, or gives it an order; gives what to print and the exit code.
pub fn fleet(command: FleetCommand) -> (Result<String, String>, u8) {
    let told = |asked: Result<String, String>| {
        let code = u8::from(asked.is_err());
        (asked, code)
    };
    match command {
        FleetCommand::Status { at, json } => {
            told(shown(client::fetch_status(at), json, status::table))
        }
        FleetCommand::Orders { at, json } => told(shown(
            client::fetch_replication_status(at),
            json,
            client::orders_table,
        )),
        FleetCommand::Drain(args) => told(order(args, DesiredState::Drain)),
        FleetCommand::Return(args) => told(order(args, DesiredState::Return)),
        FleetCommand::Diff { one, other } => {
            let both = client::fetch_replication_status(one)
                .and_then(|one| Ok((one, client::fetch_replication_status(other)?)));
            match both {
                Err(e) => (Err(e.to_string()), 2),
                Ok((one, other)) => match client::differences(&one, &other) {
                    lines if lines.is_empty() => (
                        Ok(format!("{} and {} hold the same", one.name, other.name)),
                        0,
                    ),
                    lines => (Ok(lines.join("\n")), 1),
                },
            }
        }
    }
}

/// An answer as a table, or as JSON.
fn shown<T: Serialize>(
    asked: Result<T, ClientError>,
    json: bool,
    table: fn(&T) -> String,
) -> Result<String, String> {
    let asked = asked.map_err(|e| e.to_string())?;
    let text = if json {
        serde_json::to_string(&asked).ok()
    } else {
        None
    };
    Ok(text.unwrap_or_else(|| table(&asked)))
}

fn order(args: OrderArgs, desired_state: DesiredState) -> Result<String, String> {
    let secret = args
        .secret_file
        .as_deref()
        .map(read_secret)
        .transpose()
        .map_err(|e| e.to_string())?
        .unwrap_or_default();
    let order = Order {
        target: args.target,
        desired_state,
        by: args.by,
    };
    client::place_order(args.at, &secret, &order).map_err(|e| e.to_string())?;
    Ok(format!(
        "{} is at {}, which tells the others",
        order.target, args.at
    ))
}

/// By what to serve.
#[derive(Args)]
pub struct Serve {
    /// The operator's file
    #[arg(long, value_name = "FILE", conflicts_with_all = ["listen", "backend"], required_unless_present = "listen")]
    pub config: Option<PathBuf>,
    /// Where callers connect, as IP:PORT
    #[arg(long, value_name = "ADDR", requires = "backend")]
    pub listen: Option<SocketAddr>,
    /// Where a backend listens, as IP:PORT; more may follow
    #[arg(long, value_name = "ADDR", num_args = 1.., requires = "listen")]
    pub backend: Vec<SocketAddr>,
    /// Trace each request in the log, whatever the file says
    #[arg(long)]
    pub trace: bool,
}

impl Serve {
    /// The installation that is asked for, and the folder that its file names are relative to.
    pub fn installation(
        &self,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Installation, String> {
        if let Some(file) = &self.config {
            return installation::load(file, env);
        }
        let Some(listen) = self.listen else {
            return Err("neither --config nor --listen".into());
        };
        Installation::simple(listen, &self.backend).map_err(|faults| {
            faults
                .iter()
                .map(|f| f.text.clone())
                .collect::<Vec<_>>()
                .join("\n")
        })
    }
}

/// The folder that the file names in an operator's file are relative to: its own.
pub fn folder(file: &Path) -> PathBuf {
    file.parent().map(Path::to_path_buf).unwrap_or_default()
}

/// Checks an operator's file, and the files of members that it names. Gives what is wrong, a line
/// each; `Err` if there is no file to check.
pub fn check(file: &Path) -> Result<Vec<String>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let told = |file: &Path, faults: Vec<dewrun_config::Fault>| -> Vec<String> {
        faults
            .iter()
            .map(|fault| format!("{}:{fault}", file.display()))
            .collect()
    };
    let config = match Installation::parse(&text) {
        Ok(config) => config,
        Err(faults) => return Ok(told(file, faults)),
    };
    let mut lines = Vec::new();
    for pool in &config.pools {
        let Membership::File(members) = &pool.membership else {
            continue;
        };
        let members = folder(file).join(members);
        match std::fs::read_to_string(&members) {
            Err(e) => lines.push(format!("{}: {e}", members.display())),
            Ok(text) => lines.extend(
                read_members(&text)
                    .err()
                    .map(|f| told(&members, f))
                    .unwrap_or_default(),
            ),
        }
    }
    Ok(lines)
}
