//! Errors of the agent's I/O. Each message names the file or the peer; the documentation of each
//! type states the consequence.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The error of reading a fleet's secret. The program ends with this message.
#[derive(Debug, Error)]
pub enum SecretError {
    /// The file cannot be read.
    #[error("cannot read the secret file {}: {source}", file.display())]
    Read {
        /// The secret file.
        file: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is empty or contains only white space.
    #[error("the secret file {} is empty", file.display())]
    Empty {
        /// The secret file.
        file: PathBuf,
    },
}

/// The error of starting an agent. The program ends with this message.
#[derive(Debug, Error)]
pub enum StartError {
    /// The secret cannot be read.
    #[error(transparent)]
    Secret(#[from] SecretError),
    /// The fleet's UDP socket cannot be bound.
    #[error("cannot bind fleet address {address}: {source}")]
    Bind {
        /// The address from the operator's file.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
}

/// The error of a request to a process of the fleet. There is no retry: the operator's command ends
/// with this message.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection failed, or there was no answer in time.
    #[error("{peer}: {source}")]
    Io {
        /// The process to which the request was sent.
        peer: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The answer does not conform to the protocol.
    #[error("{peer}: malformed answer: {source}")]
    MalformedAnswer {
        /// The process to which the request was sent.
        peer: SocketAddr,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The process rejected the order, and nothing has changed.
    #[error("{peer}: {reason}")]
    OrderRejected {
        /// The process to which the request was sent.
        peer: SocketAddr,
        /// The text of its [`OrderError`].
        reason: String,
    },
}

/// The reason why an operator's order is rejected. The operator gets this text, and nothing has
/// changed.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The order has no valid proof made with the fleet's secret.
    #[error("it does not carry this fleet's secret; give --secret-file")]
    NotProven,
    /// The request is not the JSON of an order.
    #[error("not an order: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The member's or the operator's name is too long.
    #[error("a name in it is too long")]
    NameTooLong,
    /// No pool of this process lists the member, and it has no order to withdraw.
    #[error("no member {target} is listed here; name it as POOL/MEMBER")]
    NotListed {
        /// The member's name in the order.
        target: String,
    },
}
