//! Errors of loading an operator's installation.

use dewrun_config::Fault;
use std::io;
use std::path::{Path, PathBuf};

/// An error that prevents the loading of an operator's file.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file has faults; the message lists one per line.
    #[error("{}", fault_lines(path, faults).join("\n"))]
    Faulty {
        /// The path of the file.
        path: PathBuf,
        /// All faults of the file.
        faults: Vec<Fault>,
    },
    /// An environment variable is malformed.
    #[error(transparent)]
    Environment(#[from] EnvironmentError),
}

/// A malformed environment variable.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvironmentError {
    /// The value is not a socket address.
    #[error("{variable}: {text:?} is not an address")]
    Address {
        /// The name of the variable.
        variable: &'static str,
        /// The malformed value.
        text: String,
    },
    /// The value is not a valid instance name.
    #[error("NODE_NAME: {name:?} must consist of letters, digits and -._")]
    Name {
        /// The malformed name.
        name: String,
    },
}

/// Formats the faults of a file, one line each.
pub fn fault_lines(file: &Path, faults: &[Fault]) -> Vec<String> {
    let line = |fault: &Fault| format!("{}:{fault}", file.display());
    faults.iter().map(line).collect()
}
