//! Claims on request ids by the processes that serve as one proxy during a handover: files in a
//! directory that the processes share.

use std::cell::Cell;
use std::fs::{DirEntry, File};
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::warn;

/// The age at which a claim is removed whoever made it. It is longer than any request, so that only
/// the claims of processes that have ended are.
const CLAIM_TTL: Duration = Duration::from_secs(600);
/// Interval at which a process removes the expired claims.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// The claims of all processes that serve at one address. A claim is a file, whose creation tells
/// the first of two processes from the second.
pub struct IdClaims {
    directory: PathBuf,
    has_logged_error: Cell<bool>,
}

impl IdClaims {
    /// Opens the claims of the processes that serve at `listen`, in a directory below `parent`.
    pub fn open(parent: &Path, listen: SocketAddr) -> IdClaims {
        let claims = IdClaims {
            directory: parent.join(format!("dewrun-ids-{listen}")),
            has_logged_error: Cell::new(false),
        };
        if let Err(error) = std::fs::create_dir_all(&claims.directory) {
            claims.log_error(&error);
        }
        claims
    }

    /// Claims an id by its hash. Returns false if it is claimed already. If the directory cannot be
    /// written, every claim succeeds: a handover is safer with it, and requests are served without.
    pub fn claim(&self, hash: u64) -> bool {
        match File::create_new(self.file(hash)) {
            Ok(_) => true,
            Err(error) if error.kind() == ErrorKind::AlreadyExists => false,
            Err(error) => {
                self.log_error(&error);
                true
            }
        }
    }

    /// Ends a claim of this process.
    pub fn release(&self, hash: u64) {
        // A claim that can't be removed expires.
        let _ = std::fs::remove_file(self.file(hash));
    }

    /// Removes expired claims for ever.
    pub async fn expire(self: Rc<Self>) {
        loop {
            if let Err(error) = self.remove_older_than(CLAIM_TTL) {
                self.log_error(&error);
            }
            sleep(EXPIRY_INTERVAL).await;
        }
    }

    fn remove_older_than(&self, ttl: Duration) -> Result<()> {
        for entry in std::fs::read_dir(&self.directory)?.flatten() {
            if is_older_than(&entry, ttl) {
                let _ = std::fs::remove_file(entry.path());
            }
        }
        Ok(())
    }

    fn file(&self, hash: u64) -> PathBuf {
        self.directory.join(format!("{hash:016x}"))
    }

    fn log_error(&self, error: &std::io::Error) {
        if !self.has_logged_error.replace(true) {
            warn!(
                "cannot claim request ids in {}: {error}",
                self.directory.display()
            );
        }
    }
}

fn is_older_than(entry: &DirEntry, ttl: Duration) -> bool {
    let changed = entry.metadata().and_then(|data| data.modified());
    let age = changed.ok().and_then(|at| at.elapsed().ok());
    age.is_some_and(|age| age >= ttl)
}

#[cfg(test)]
mod tests;
