//! The requests that a process answers over TCP at its fleet's address: one line of text each way,
//! from operators, and from other processes when they start.
//!
//! A request that changes something (`Request::Order`), and an answer that another process acts
//! on (`Request::LearnedState`), carry a proof made with the fleet's secret for a random number
//! that is used once, so that nothing that was overheard can be replayed.

use dewrun_replication::orders::DesiredState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The start of each request line.
const REQUEST_PREFIX: &str = "dewrun fleet ";
/// How long either side waits for the other.
pub(crate) const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// All requests of one connection together, in bytes.
pub(crate) const MAX_REQUEST_BYTES: u64 = 8 << 10;
/// The largest answer that is read, in bytes.
pub(crate) const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// What the proof of an order is bound to.
pub(crate) const ORDER_PROOF_CONTEXT: &str = "order";
/// What the proof of learned state is bound to.
pub(crate) const LEARNED_STATE_PROOF_CONTEXT: &str = "learned";

/// A request line. [`fmt::Display`] writes what [`Request::parse`] reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Request<'a> {
    /// From an operator; answered with a [`Status`](crate::status::Status).
    Status,
    /// From a program that asks often; answered with a [`Summary`](crate::status::Summary).
    Summary,
    /// From an operator; answered with a [`ReplicationStatus`].
    ReplicationStatus,
    /// From an operator, ahead of an order; answered with a [`Challenge`].
    Challenge,
    /// From an operator; carried out if it is proven, and answered with an [`OrderResult`].
    Order {
        /// Of `json`, for the nonce of the connection's last challenge.
        proof: &'a str,
        /// An [`Order`].
        json: &'a str,
    },
    /// From a process that starts; answered with a proof for the nonce, a space, and the JSON of a
    /// list of [`LearnedState`], unless another process was answered a moment ago.
    LearnedState {
        /// A random number of the process that asks.
        nonce: &'a str,
    },
}

impl<'a> Request<'a> {
    /// Parses a line without its end; `None` if it is not a request, whereupon the connection is
    /// closed.
    pub(crate) fn parse(line: &'a str) -> Option<Request<'a>> {
        let request = line.strip_prefix(REQUEST_PREFIX)?;
        let (verb, rest) = request.split_once(' ').unwrap_or((request, ""));
        match verb {
            "status" => Some(Request::Status),
            "summary" => Some(Request::Summary),
            "copy" => Some(Request::ReplicationStatus),
            "challenge" => Some(Request::Challenge),
            "order" => {
                let (proof, json) = rest.split_once(' ')?;
                Some(Request::Order { proof, json })
            }
            "learned" => Some(Request::LearnedState { nonce: rest }),
            _ => None,
        }
    }
}

impl fmt::Display for Request<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REQUEST_PREFIX)?;
        match self {
            Request::Status => f.write_str("status"),
            Request::Summary => f.write_str("summary"),
            Request::ReplicationStatus => f.write_str("copy"),
            Request::Challenge => f.write_str("challenge"),
            Request::Order { proof, json } => write!(f, "order {proof} {json}"),
            Request::LearnedState { nonce } => write!(f, "learned {nonce}"),
        }
    }
}

/// What one process holds of the replicated state.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReplicationStatus {
    /// The version of this form.
    pub version: u32,
    /// The name of the process that was asked.
    pub name: String,
    /// Its fleet address.
    pub address: SocketAddr,
    /// Whether the process holds what one other held when it started, or was resumed.
    pub caught_up: bool,
    /// The number of entries of all kinds.
    pub entries: usize,
    /// Entries that were rejected, as the store was full or they were malformed.
    #[serde(rename = "left_out")]
    pub rejected: u64,
    /// The orders by member; the one in force comes first.
    pub orders: BTreeMap<String, Vec<OrderStatus>>,
    /// The version vector: for each origin, the number up to which all entries are known.
    #[serde(rename = "known")]
    pub version_vector: BTreeMap<String, u64>,
}

/// An order that a process holds.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// `drain` or `return`.
    #[serde(rename = "wish")]
    pub desired_state: DesiredState,
    /// Who gave it.
    pub by: String,
    /// When it was given, in Unix milliseconds.
    pub at_ms: u64,
    /// The entry's dot: its origin and version.
    #[serde(rename = "entry")]
    pub dot: String,
}

/// An order as an operator sends it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Order {
    /// The member, as `POOL/MEMBER`.
    pub target: String,
    /// `drain` or `return`.
    #[serde(rename = "wish")]
    pub desired_state: DesiredState,
    /// Who gives it.
    pub by: String,
}

/// The answer to [`Request::Challenge`]: what the proof of an order is made for.
#[derive(Serialize, Deserialize)]
pub(crate) struct Challenge {
    /// A random number, good for one order on this connection.
    pub nonce: String,
    /// The fleet's name.
    pub fleet: String,
}

/// The answer to [`Request::Order`].
#[derive(Serialize, Deserialize)]
pub(crate) struct OrderResult {
    /// Why the order was rejected; none if it was accepted.
    #[serde(default)]
    pub error: Option<String>,
}

/// What a process has learned of one pool. The process that asked restores the learned state of the
/// peer that forwards to most members.
#[derive(Serialize, Deserialize)]
pub(crate) struct LearnedState {
    /// The pool's name.
    pub pool: String,
    /// Members in the pool's list.
    pub listed: usize,
    /// Listed members that get next to nothing.
    pub avoided: usize,
    /// The balancer's snapshot.
    #[serde(rename = "text")]
    pub snapshot: String,
}

impl LearnedState {
    /// The number of members that the pool forwards to.
    pub fn served_member_count(&self) -> usize {
        self.listed.saturating_sub(self.avoided)
    }
}

/// A value as one line of JSON.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    // Serializing plain data into memory does not fail.
    serde_json::to_string(value).unwrap_or_default()
}

#[cfg(test)]
mod tests;
