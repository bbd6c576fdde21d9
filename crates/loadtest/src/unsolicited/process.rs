//! The proxy of a play, in either deployment.

use super::{Deployment, Play};
use dewrun_test_support::{config, entry, free_address, list, Daemon, Discovery, Folder, Proxy};
use std::net::SocketAddr;
use std::time::Duration;

/// A running proxy, with what it needs.
pub(super) enum RunningProxy {
    /// An operator's installation.
    Installation {
        daemon: Daemon,
        address: SocketAddr,
        folder: Folder,
        members: Vec<SocketAddr>,
        max_sockets: Option<usize>,
    },
    /// The platform's proxy.
    Platform { proxy: Proxy, discovery: Discovery },
}

impl RunningProxy {
    /// Starts a proxy for endpoints.
    pub(super) fn start(dewrun: &str, play: &Play, endpoints: &[SocketAddr]) -> RunningProxy {
        match play.deployment {
            Deployment::Installation => start_installation(dewrun, endpoints, play.max_sockets),
            Deployment::Platform => start_platform(dewrun, endpoints),
        }
    }

    /// Returns the address for clients.
    pub(super) fn address(&self) -> SocketAddr {
        match self {
            RunningProxy::Installation { address, .. } => *address,
            RunningProxy::Platform { proxy, .. } => proxy.address,
        }
    }

    /// Returns the processor time used so far.
    pub(super) fn processor_time(&self) -> Duration {
        match self {
            RunningProxy::Installation { daemon, .. } => daemon.processor_time(),
            RunningProxy::Platform { proxy, .. } => proxy.processor_time(),
        }
    }

    /// Reloads the configuration with a change that replaces the pool of connections.
    pub(super) fn reload(&self) {
        match self {
            RunningProxy::Installation {
                daemon,
                address,
                folder,
                members,
                max_sockets,
            } => {
                let changed = operator_file(*address, members, *max_sockets, 4);
                folder.put("dewrun.toml", &changed);
                daemon.signal("-HUP");
                daemon.wait_for_log("reloaded");
            }
            RunningProxy::Platform { proxy, discovery } => {
                let changed = config(discovery.address, &list(0, true, &[]));
                proxy.reload(&changed.replace("\"MaxAttempts\":5", "\"MaxAttempts\":4"));
            }
        }
    }
}

/// Returns an operator's file with one pool.
fn operator_file(
    address: SocketAddr,
    members: &[SocketAddr],
    max_sockets: Option<usize>,
    attempts: u32,
) -> String {
    let limits = max_sockets.map_or(String::new(), |max| format!("[limits]\nsockets = {max}\n"));
    let members: Vec<String> = members.iter().map(|m| format!("\"{m}\"")).collect();
    format!(
        "{limits}[[listener]]\nname = \"main\"\naddress = \"{address}\"\n\
         [[pool]]\nname = \"main\"\nwarm_up = \"0s\"\nattempts = {attempts}\nmembers = [{}]\n\
         [[route]]\npool = \"main\"\n",
        members.join(", ")
    )
}

fn start_installation(
    dewrun: &str,
    endpoints: &[SocketAddr],
    max_sockets: Option<usize>,
) -> RunningProxy {
    let folder = Folder::new();
    let address = free_address();
    let text = operator_file(address, endpoints, max_sockets, 3);
    let file = folder.put("dewrun.toml", &text);
    let file = file.to_str().expect("a path in UTF-8");
    let mut daemon = Daemon::start(dewrun, &["serve", "--config", file], &[]);
    daemon.wait_until_listening(address);
    RunningProxy::Installation {
        daemon,
        address,
        folder,
        members: endpoints.to_vec(),
        max_sockets,
    }
}

fn start_platform(dewrun: &str, endpoints: &[SocketAddr]) -> RunningProxy {
    let named = endpoints.iter().enumerate();
    let entries: Vec<String> = named
        .map(|(number, address)| entry(&format!("b{number}"), *address, "ready"))
        .collect();
    let discovery = Discovery::start(Some(list(5, true, &entries)));
    let proxy = Proxy::start(dewrun, &config(discovery.address, &list(0, true, &[])));
    RunningProxy::Platform { proxy, discovery }
}
