//! `dewrun fleet`: queries a process of a fleet, or places an order at it.

use crate::cli::{FleetCommand, OrderArgs};
use crate::net::io::print_error;
use dewrun_agent::error::ClientError;
use dewrun_agent::protocol::Order;
use dewrun_agent::{client, read_secret, status};
use dewrun_replication::orders::DesiredState;
use serde::Serialize;
use std::net::SocketAddr;
use std::process::ExitCode;

/// The exit code of `diff` if two processes hold different state.
const EXIT_DIFFERENT: u8 = 1;
/// The exit code of `diff` if one of the two processes does not respond.
const EXIT_NO_RESPONSE: u8 = 2;

/// Runs one command and prints its result.
pub fn run(command: FleetCommand) -> ExitCode {
    let printed = match command {
        FleetCommand::Status { at, json } => print(client::fetch_status(at), json, status::table),
        FleetCommand::Orders { at, json } => {
            let fetched = client::fetch_replication_status(at);
            print(fetched, json, client::orders_table)
        }
        FleetCommand::Drain(args) => place_order(args, DesiredState::Drain),
        FleetCommand::Return(args) => place_order(args, DesiredState::Return),
        FleetCommand::Diff { one, other } => return diff(one, other),
    };
    match printed {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            print_error(e.to_string());
            ExitCode::FAILURE
        }
    }
}

/// Prints a response as a table, or as JSON.
fn print<T: Serialize>(
    response: Result<T, ClientError>,
    json: bool,
    table: fn(&T) -> String,
) -> Result<(), Box<dyn std::error::Error>> {
    let response = response?;
    if json {
        println!("{}", serde_json::to_string(&response)?);
    } else {
        println!("{}", table(&response));
    }
    Ok(())
}

fn place_order(
    args: OrderArgs,
    desired_state: DesiredState,
) -> Result<(), Box<dyn std::error::Error>> {
    let secret = match &args.secret_file {
        Some(file) => read_secret(file)?,
        None => Vec::new(),
    };
    let order = Order {
        target: args.target,
        desired_state,
        by: args.by,
    };
    client::place_order(args.at, &secret, &order)?;
    println!("{} is at {}, which tells the others", order.target, args.at);
    Ok(())
}

fn diff(one: SocketAddr, other: SocketAddr) -> ExitCode {
    let fetch = client::fetch_replication_status;
    let (one, other) = match fetch(one).and_then(|one| Ok((one, fetch(other)?))) {
        Ok(both) => both,
        Err(e) => {
            print_error(e.to_string());
            return ExitCode::from(EXIT_NO_RESPONSE);
        }
    };
    let differences = client::differences(&one, &other);
    if differences.is_empty() {
        println!("{} and {} hold the same", one.name, other.name);
        return ExitCode::SUCCESS;
    }
    println!("{}", differences.join("\n"));
    ExitCode::from(EXIT_DIFFERENT)
}
