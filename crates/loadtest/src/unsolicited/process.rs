//! The proxy of a play, in either deployment.

use super::Deployment;
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
    },
    /// The platform's proxy.
    Platform { proxy: Proxy, discovery: Discovery },
}

impl RunningProxy {
    /// Starts a proxy for endpoints.
    pub(super) fn start(
        dewrun: &str,
        deployment: Deployment,
        endpoints: &[SocketAddr],
    ) -> RunningProxy {
        match deployment {
            Deployment::Installation => start_installation(dewrun, endpoints),
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
            } => {
                folder.put("dewrun.toml", &operator_file(*address, members, 4));
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
fn operator_file(address: SocketAddr, members: &[SocketAddr], attempts: u32) -> String {
    let members: Vec<String> = members.iter().map(|m| format!("\"{m}\"")).collect();
    format!(
        "[[listener]]\nname = \"main\"\naddress = \"{address}\"\n\
         [[pool]]\nname = \"main\"\nwarm_up = \"0s\"\nattempts = {attempts}\nmembers = [{}]\n\
         [[route]]\npool = \"main\"\n",
        members.join(", ")
    )
}

fn start_installation(dewrun: &str, endpoints: &[SocketAddr]) -> RunningProxy {
    let folder = Folder::new();
    let address = free_address();
    let file = folder.put("dewrun.toml", &operator_file(address, endpoints, 3));
    let file = file.to_str().expect("a path in UTF-8");
    let mut daemon = Daemon::start(dewrun, &["serve", "--config", file], &[]);
    daemon.wait_until_listening(address);
    RunningProxy::Installation {
        daemon,
        address,
        folder,
        members: endpoints.to_vec(),
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
