//! Real processes: `dewrun serve` as an operator starts it, each with a listener and a pool of the
//! one shared backend.

use super::member_config::{to_toml, MemberConfig};
use dewrun_agent::client;
use dewrun_agent::status::{Status, Summary};
use dewrun_test_support::{Daemon, Folder};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// Processor time since the start of the process, in user and in system mode.
    pub processor_time: Duration,
    /// Resident memory in KiB.
    pub resident_kib: usize,
}

/// A running real process.
pub struct RealProcess {
    /// The name of the member.
    pub name: String,
    /// The address at which other members reach it.
    pub fleet_address: SocketAddr,
    /// The address at which it accepts clients.
    pub listen_address: SocketAddr,
    program: String,
    config_path: PathBuf,
    daemon: Daemon,
}

impl RealProcess {
    /// Writes the configuration file of a member and starts its process.
    pub fn start(program: &str, folder: &Folder, member: &MemberConfig) -> RealProcess {
        let config_path = folder.put(&format!("{}.toml", member.name), &to_toml(member));
        let daemon = launch(program, &config_path);
        RealProcess {
            name: member.name.into(),
            fleet_address: member.fleet_address,
            listen_address: member.listen_address,
            program: program.into(),
            config_path,
            daemon,
        }
    }

    /// Waits until the process accepts clients.
    pub fn wait_until_listening(&mut self) {
        self.daemon.wait_until_listening(self.listen_address);
    }

    /// Stops the process gracefully, starts it again, and waits until it accepts clients.
    pub fn restart(&mut self) {
        self.daemon.signal("-TERM");
        self.daemon.wait();
        self.daemon = launch(&self.program, &self.config_path);
        self.wait_until_listening();
    }

    /// Fetches the summary of the process's view of the fleet. Returns `None` if it does not
    /// respond.
    pub fn summary(&self) -> Option<Summary> {
        client::fetch_summary(self.fleet_address).ok()
    }

    /// Fetches the status that `dewrun fleet status --json` prints. Returns `None` if the process
    /// does not respond.
    pub fn status(&self) -> Option<Status> {
        client::fetch_status(self.fleet_address).ok()
    }

    /// Returns the resources that the process has used so far.
    pub fn usage(&self) -> ResourceUsage {
        ResourceUsage {
            processor_time: self.daemon.processor_time(),
            resident_kib: self.daemon.resident_kib(),
        }
    }

    /// Returns the log of the process since its last start.
    pub fn log(&self) -> String {
        self.daemon.log()
    }
}

fn launch(program: &str, config_path: &Path) -> Daemon {
    let config_path = config_path.to_str().expect("a UTF-8 path");
    Daemon::start(program, &["serve", "--config", config_path], &[])
}
