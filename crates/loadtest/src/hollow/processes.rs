//! The real processes: `dewrun serve` as an operator starts it, each with a listener before the
//! same stand-in upstream.

use super::member::{file, MemberFile};
use dewrun_agent::client;
use dewrun_agent::status::{Status, Summary};
use dewrun_test_support::{Daemon, Folder};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What a process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time, of the process and of the system for it, since its start.
    pub processor: Duration,
    /// Resident memory.
    pub resident_kib: usize,
}

/// One real process.
pub struct RealProcess {
    /// Its name.
    pub name: String,
    /// Where the others reach it.
    pub fleet: SocketAddr,
    /// Where clients connect.
    pub front: SocketAddr,
    program: String,
    file: PathBuf,
    daemon: Daemon,
}

impl RealProcess {
    /// Writes its file and starts it.
    pub fn start(program: &str, folder: &Folder, member: &MemberFile) -> RealProcess {
        let file = folder.put(&format!("{}.toml", member.name), &file(member));
        let daemon = launch(program, &file);
        RealProcess {
            name: member.name.into(),
            fleet: member.fleet,
            front: member.front,
            program: program.into(),
            file,
            daemon,
        }
    }

    /// Waits until it accepts clients.
    pub fn comes_up(&mut self) {
        self.daemon.wait_until_listening(self.front);
    }

    /// Ends it in order, and starts it again.
    pub fn restart(&mut self) {
        self.daemon.signal("-TERM");
        self.daemon.wait();
        self.daemon = launch(&self.program, &self.file);
        self.comes_up();
    }

    /// What it knows of the fleet, in short; none if it does not answer.
    pub fn summary(&self) -> Option<Summary> {
        client::fetch_summary(self.fleet).ok()
    }

    /// What it knows of the fleet, as `dewrun fleet status --json` tells it; none if it does not
    /// answer.
    pub fn status(&self) -> Option<Status> {
        client::fetch_status(self.fleet).ok()
    }

    /// What it has used.
    pub fn usage(&self) -> Usage {
        Usage {
            processor: self.daemon.processor_time(),
            resident_kib: self.daemon.resident_kib(),
        }
    }

    /// What it has logged in its present life.
    pub fn log(&self) -> String {
        self.daemon.log()
    }
}

fn launch(program: &str, file: &std::path::Path) -> Daemon {
    let file = file.to_str().expect("a path");
    Daemon::start(program, &["serve", "--config", file], &[])
}
