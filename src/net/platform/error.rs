//! Errors of a proxy on the platform: at its start, at a reload, and in service.

use crate::signals::SignalError;
use crate::supervisor::TaskEnded;
use dewrun_simulator_adapter::SettingsError;
use std::io;
use std::net::SocketAddr;

/// An error in loading the platform's configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable with the path of the file is not set.
    #[error("NODE_CONFIG is not set")]
    NotNamed,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file, or an environment variable that overrides it, has an invalid value.
    #[error("{path}: {source}")]
    Faulty {
        /// The path of the file.
        path: String,
        /// The fault in the value.
        source: ConfigFault,
    },
}

/// An invalid value of the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// The file is not JSON, or does not have the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The balancer's settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The value is not a socket address.
    #[error("{key}: {text:?} is not an address")]
    Address {
        /// The key of the address.
        key: &'static str,
        /// The invalid value.
        text: String,
    },
    /// A required key is missing.
    #[error("{key}: is missing")]
    Missing {
        /// The missing key.
        key: &'static str,
    },
    /// The descriptor of the inherited socket is not a number.
    #[error("NODE_INHERITED_FD: {text:?} is not a descriptor")]
    Descriptor {
        /// The invalid value.
        text: String,
    },
    /// The seed is not a hexadecimal number.
    #[error("seed: {text:?} is not a hexadecimal number")]
    Seed {
        /// The invalid value.
        text: String,
    },
}

/// An error that keeps a proxy on the platform from serving, or ends it.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The asynchronous runtime can't be started.
    #[error("{0}")]
    Runtime(io::Error),
    /// The inherited socket can't be listened on.
    #[error("descriptor {number}: {source}")]
    Inherited {
        /// The descriptor of the socket.
        number: i32,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address for clients can't be listened at.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The admin address can't be listened at.
    #[error("control: {address}: {source}")]
    ListenAdmin {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A signal handler can't be installed.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// A task that the process needs for its service has ended.
    #[error("{0}; stopping the process")]
    Task(#[from] TaskEnded),
}
