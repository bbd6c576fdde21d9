//! Why a proxy of the platform does not start, or does not go by a new configuration.

use crate::signals::SignalError;
use crate::supervisor::TaskEnded;
use dewrun_simulator_adapter::SettingsError;
use std::io;
use std::net::SocketAddr;

/// Why the platform's configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("NODE_CONFIG is not set")]
    NotNamed,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// The file, or a variable that goes before it, has a value that can't be used.
    #[error("{path}: {source}")]
    Faulty {
        /// The file.
        path: String,
        /// What is wrong.
        source: ConfigFault,
    },
}

/// A value that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// The file is not JSON, or not of the right shape.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The decision module's settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be read.
    #[error("{key}: {text:?} is not an address")]
    Address {
        /// Its key.
        key: &'static str,
        /// What stands there.
        text: String,
    },
    /// A key that has to be there is not.
    #[error("{key}: it is missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// The number of the inherited socket can't be read.
    #[error("NODE_INHERITED_FD: {text:?} is not a descriptor")]
    Descriptor {
        /// What stands there.
        text: String,
    },
    /// The seed can't be read.
    #[error("seed: {text:?} is not a number in hexadecimal")]
    Seed {
        /// What stands there.
        text: String,
    },
}

/// Why a proxy of the platform does not serve, or has ended with a failure.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The system gives no runtime to serve with.
    #[error("{0}")]
    Runtime(io::Error),
    /// The socket that was handed down can't be listened on.
    #[error("descriptor {number}: {source}")]
    Inherited {
        /// Its descriptor.
        number: i32,
        /// The system's error.
        source: io::Error,
    },
    /// The address for clients can't be listened at.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The admin address can't be listened at.
    #[error("control: {address}: {source}")]
    ListenAdmin {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A signal can't be received.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// A task without which the process serves wrongly has ended.
    #[error("{0}; this process stops")]
    Task(#[from] TaskEnded),
}
