//! What can fail at the agent's I/O edge. Each message names the file or the peer; what happens next
//! is said with each type.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A fleet's secret cannot be had. The program ends with this message.
#[derive(Debug, Error)]
pub enum SecretError {
    /// The file cannot be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file has nothing but white space.
    #[error("{}: the secret is empty", file.display())]
    Empty {
        /// The file.
        file: PathBuf,
    },
}

/// An agent cannot start. The program ends with this message.
#[derive(Debug, Error)]
pub enum StartError {
    /// No secret.
    #[error(transparent)]
    Secret(#[from] SecretError),
    /// The fleet's UDP socket cannot be bound.
    #[error("fleet address {address}: {source}")]
    Bind {
        /// The address from the operator's file.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// A request to a process of the fleet has failed. Nothing is retried: the operator's command ends
/// with this message.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection, or no answer in time.
    #[error("{peer}: {source}")]
    Io {
        /// The process that was asked.
        peer: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The answer is not of this protocol.
    #[error("{peer}: not an answer of a dewrun fleet: {source}")]
    MalformedAnswer {
        /// The process that was asked.
        peer: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
    /// The process did not accept the order, and nothing has changed.
    #[error("{peer}: {reason}")]
    OrderRejected {
        /// The process that was asked.
        peer: SocketAddr,
        /// The text of its [`OrderError`].
        reason: String,
    },
}

/// An operator's order is rejected. Whoever gave it gets this text, and nothing has changed.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The order has no proof made with the fleet's secret.
    #[error("it does not carry this fleet's secret; give --secret-file")]
    NotProven,
    /// Not the JSON of an order.
    #[error("not an order: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The member's or the operator's name is too long.
    #[error("a name in it is too long")]
    NameTooLong,
    /// No pool of this process lists the member, and there is no order of it to withdraw.
    #[error("no member {target} is listed here; name it as POOL/MEMBER")]
    NotListed {
        /// The member as the order names it.
        target: String,
    },
}
