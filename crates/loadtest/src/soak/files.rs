//! What the processes of a play read: configuration files, and lists as discovery tells them.

use super::schedule::{EndpointList, ListedState};
use super::stand_in::StandIn;
use dewrun_test_support::{config, entry, list};
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors that a process may use.
const SOCKETS: usize = 160;
/// The time that an installation is given to stop.
pub const STOP_TIME: Duration = Duration::from_secs(4);

/// The configuration of the platform's proxy.
pub fn platform(discovery: SocketAddr, is_polled: bool) -> String {
    let mode = if is_polled {
        "\"subscribe\""
    } else {
        "\"automatic\""
    };
    config(discovery, &list(0, true, &[]))
        .replace("\"sockets\":1024", &format!("\"sockets\":{SOCKETS}"))
        .replace("\"automatic\"", mode)
}

/// Where a process of an installation listens, and its fleet.
pub struct Place<'a> {
    /// Its number.
    pub process: usize,
    /// For clients.
    pub address: SocketAddr,
    /// The fleet's addresses, by the numbers of the processes.
    pub fleet: &'a [SocketAddr],
}

/// The file of an installation.
pub fn installation(place: &Place, members: &EndpointList, endpoints: &[StandIn]) -> String {
    let listed = members.iter().zip(endpoints);
    let members: Vec<String> = listed
        .filter(|(listed, _)| **listed != ListedState::Absent)
        .map(|(listed, endpoint)| member(*listed, endpoint))
        .collect();
    let voters: Vec<String> = place.fleet.iter().map(|a| format!("\"{a}\"")).collect();
    format!(
        "[instance]\nname = \"i{}\"\n[log]\nlines_per_s = 1000\n\
         [limits]\nstop_time = \"{}s\"\nsockets = {SOCKETS}\n\
         [fleet]\naddress = \"{}\"\nmembers = [{}]\n\
         [[listener]]\nname = \"main\"\naddress = \"{}\"\n\
         [[pool]]\nname = \"main\"\nmembers = [{}]\n[[route]]\npool = \"main\"\n",
        place.process,
        STOP_TIME.as_secs(),
        place.fleet[place.process],
        voters.join(", "),
        place.address,
        members.join(", ")
    )
}

/// A member. One that has never ended has no time of its start, and counts as cold where it comes
/// into the list.
fn member(listed: ListedState, endpoint: &StandIn) -> String {
    let is_draining = listed == ListedState::Draining;
    let StandIn {
        address,
        started_ms,
        ..
    } = endpoint;
    let started = if *started_ms > 0 {
        format!(", started_ms = {started_ms}")
    } else {
        String::new()
    };
    format!("{{ address = \"{address}\", draining = {is_draining}{started} }}")
}

/// A list as discovery tells it. What it leaves out is gone.
pub fn discovery_list(index: u32, members: &EndpointList, endpoints: &[StandIn]) -> String {
    let listed = members.iter().zip(endpoints).enumerate();
    let entries: Vec<String> = listed
        .filter(|(_, (listed, _))| **listed != ListedState::Absent)
        .map(|(number, (listed, endpoint))| {
            let status = match listed {
                ListedState::Ready => "ready",
                ListedState::Draining | ListedState::Absent => "draining",
            };
            let since = format!("\"since_ms\":{}", endpoint.started_ms);
            entry(&format!("b{number}"), endpoint.address, status).replace("\"since_ms\":0", &since)
        })
        .collect();
    list(index, true, &entries)
}
