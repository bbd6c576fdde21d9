//! The command line: the commands of `dewrun` and their arguments. Without arguments the program
//! runs on its platform, and nothing here is used.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A load-balancing reverse proxy for HTTP/1.1 services.
///
/// Without a command it runs on its platform, with the configuration file that NODE_CONFIG names.
#[derive(Parser)]
#[command(name = "dewrun", version)]
pub struct Cli {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Serve an operator's installation
    ///
    /// The installation is read from a file, which SIGHUP reloads, or built from addresses. SIGTERM
    /// shuts the process down gracefully.
    Serve(ServeArgs),
    /// Check an operator's file and print all of its faults
    ///
    /// Exits with 0 if the file is valid, 1 if it has faults, and 2 if it can't be read.
    Check {
        /// The operator's file
        file: PathBuf,
    },
    /// Inspect a fleet, and drain or return pool members
    Fleet {
        /// The command to run.
        #[command(subcommand)]
        command: FleetCommand,
    },
}

/// The commands of `dewrun fleet`.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Print the members and the budgets as one process knows them
    Status {
        /// The fleet address of the process to query
        #[arg(long, value_name = "ADDR")]
        at: SocketAddr,
        /// Print the status as JSON
        #[arg(long)]
        json: bool,
    },
    /// Drain a pool member at all processes until it is returned: it gets no new requests
    Drain(OrderArgs),
    /// Cancel the drain of a pool member, which again has the state of its list
    Return(OrderArgs),
    /// Print the orders that one process holds
    Orders {
        /// The fleet address of the process to query
        #[arg(long, value_name = "ADDR")]
        at: SocketAddr,
        /// Print the orders as JSON
        #[arg(long)]
        json: bool,
    },
    /// Print the differences between the orders of two processes, and how they will be resolved
    ///
    /// Exits with 0 if there are none, 1 if there are some, and 2 if a process does not respond.
    Diff {
        /// The fleet address of the first process
        one: SocketAddr,
        /// The fleet address of the second process
        other: SocketAddr,
    },
}

/// The arguments of an order.
#[derive(Args)]
pub struct OrderArgs {
    /// The member, as POOL/MEMBER
    #[arg(value_name = "POOL/MEMBER")]
    pub target: String,
    /// The fleet address of any process of the fleet
    #[arg(long, value_name = "ADDR")]
    pub at: SocketAddr,
    /// The file with the fleet's secret, if the fleet has one
    #[arg(long, value_name = "FILE")]
    pub secret_file: Option<PathBuf>,
    /// The name of the operator, which is recorded with the order
    #[arg(long, env = "USER", hide_env = true, default_value = "somebody")]
    pub by: String,
}

/// The source of the installation: an operator's file, or addresses.
#[derive(Args)]
pub struct ServeArgs {
    /// The operator's file
    #[arg(long, value_name = "FILE", conflicts_with_all = ["listen", "backend"], required_unless_present = "listen")]
    pub config: Option<PathBuf>,
    /// The address on which clients connect, as IP:PORT
    #[arg(long, value_name = "ADDR", requires = "backend")]
    pub listen: Option<SocketAddr>,
    /// The addresses of the endpoints, as IP:PORT
    #[arg(long, value_name = "ADDR", num_args = 1.., requires = "listen")]
    pub backend: Vec<SocketAddr>,
    /// Trace each request in the log, whether or not the file enables it
    #[arg(long)]
    pub trace: bool,
}
