//! Configuration files of the processes, and endpoint lists in discovery's format.

use super::schedule::{EndpointList, ListedState};
use super::stand_in::StandInEndpoint;
use dewrun_test_support::{config, entry, list};
use std::net::SocketAddr;
use std::time::Duration;

/// The number of sockets that the configuration allows a process.
const MAX_SOCKETS: usize = 160;
/// The time that an installation is given to stop (`stop_time`).
pub const STOP_TIME: Duration = Duration::from_secs(4);

/// Returns the configuration of the platform's proxy.
pub fn platform_config(discovery: SocketAddr, is_discovery_polled: bool) -> String {
    let mode = if is_discovery_polled {
        "\"subscribe\""
    } else {
        "\"automatic\""
    };
    config(discovery, &list(0, true, &[]))
        .replace("\"sockets\":1024", &format!("\"sockets\":{MAX_SOCKETS}"))
        .replace("\"automatic\"", mode)
}

/// The addresses of an installation's process and of its fleet.
pub struct ProcessAddresses<'a> {
    /// The number of the process.
    pub process: usize,
    /// The listen address for clients.
    pub listen: SocketAddr,
    /// The fleet addresses of all processes, in the order of their numbers.
    pub fleet: &'a [SocketAddr],
}

/// Returns the configuration file of a process of an installation.
pub fn installation_config(
    addresses: &ProcessAddresses,
    endpoint_list: &EndpointList,
    endpoints: &[StandInEndpoint],
) -> String {
    let listed = endpoint_list.iter().zip(endpoints);
    let members: Vec<String> = listed
        .filter(|(listed, _)| **listed != ListedState::Absent)
        .map(|(listed, endpoint)| member_entry(*listed, endpoint))
        .collect();
    let voters: Vec<String> = addresses.fleet.iter().map(|a| format!("\"{a}\"")).collect();
    format!(
        "[instance]\nname = \"i{}\"\n[log]\nlines_per_s = 1000\n\
         [limits]\nstop_time = \"{}s\"\nsockets = {MAX_SOCKETS}\n\
         [fleet]\naddress = \"{}\"\nmembers = [{}]\n\
         [[listener]]\nname = \"main\"\naddress = \"{}\"\n\
         [[pool]]\nname = \"main\"\nmembers = [{}]\n[[route]]\npool = \"main\"\n",
        addresses.process,
        STOP_TIME.as_secs(),
        addresses.fleet[addresses.process],
        voters.join(", "),
        addresses.listen,
        members.join(", ")
    )
}

/// Returns a member's entry in the configuration file. The entry of an endpoint that has never been
/// restarted has no start time; such an endpoint counts as cold when it is added to the list.
fn member_entry(listed: ListedState, endpoint: &StandInEndpoint) -> String {
    let is_draining = listed == ListedState::Draining;
    let StandInEndpoint {
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

/// Returns a full list (a snapshot) in discovery's format. It leaves out absent endpoints, which
/// removes them.
pub fn discovery_list(
    index: u32,
    endpoint_list: &EndpointList,
    endpoints: &[StandInEndpoint],
) -> String {
    let listed = endpoint_list.iter().zip(endpoints).enumerate();
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
