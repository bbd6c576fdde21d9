//! Why an operator's file can't be served.

use dewrun_config::Fault;
use std::io;
use std::path::{Path, PathBuf};

/// Why an operator's file can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file has faults; the message has a line for each.
    #[error("{}", fault_lines(path, faults).join("\n"))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// All of its faults.
        faults: Vec<Fault>,
    },
    /// A variable that goes before the file can't be used.
    #[error(transparent)]
    Environment(#[from] EnvironmentError),
}

/// Why a variable can't be used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvironmentError {
    /// An address can't be read.
    #[error("{variable}: {text:?} is not an address")]
    Address {
        /// The variable.
        variable: &'static str,
        /// What it says.
        text: String,
    },
    /// An instance can't have this name.
    #[error("NODE_NAME: {name:?} must be letters, digits and -._ only")]
    Name {
        /// The name.
        name: String,
    },
}

/// A line for each fault of a file.
pub fn fault_lines(file: &Path, faults: &[Fault]) -> Vec<String> {
    let line = |fault: &Fault| format!("{}:{fault}", file.display());
    faults.iter().map(line).collect()
}
