//! The command line: the commands of `dewrun` and their arguments. Without arguments the program runs
//! as its platform starts it, and none of this is read.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

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
    Serve(ServeArgs),
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

/// What to serve by: an operator's file, or addresses alone.
#[derive(Args)]
pub struct ServeArgs {
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
