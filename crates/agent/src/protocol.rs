//! The protocol that a process serves over TCP at its fleet address, for operators and for other
//! processes that start. A request and its answer are one line of text each.
//!
//! A request that changes state (`Request::Order`), and an answer that another process acts on
//! (`Request::LearnedState`), have a proof that is made with the fleet's secret for a nonce, so
//! that an intercepted line cannot be replayed.

use dewrun_replication::orders::DesiredState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The start of each request line.
const REQUEST_PREFIX: &str = "dewrun fleet ";
/// The timeout of a connect, read or write on either side.
pub(crate) const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum total size of the requests on one connection, in bytes.
pub(crate) const MAX_REQUEST_BYTES: u64 = 8 << 10;
/// Maximum size of an answer, in bytes.
pub(crate) const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// The context to which the proof of an order is bound.
pub(crate) const ORDER_PROOF_CONTEXT: &str = "order";
/// The context to which the proof of learned state is bound.
pub(crate) const LEARNED_STATE_PROOF_CONTEXT: &str = "learned";

/// A request line. [`fmt::Display`] formats it, [`Request::parse`] parses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Request<'a> {
    /// Requests a [`Status`](crate::status::Status), for an operator.
    Status,
    /// Requests a [`Summary`](crate::status::Summary), for a program that polls.
    Summary,
    /// Requests a [`ReplicationStatus`], for an operator.
    ReplicationStatus,
    /// Requests a [`Challenge`], which an operator needs for an order.
    Challenge,
    /// Places an operator's order if its proof is valid. The answer is an [`OrderResult`].
    Order {
        /// The proof of `json` for the nonce of the connection's last challenge.
        proof: &'a str,
        /// The JSON of an [`Order`].
        json: &'a str,
    },
    /// Requests learned state, for a starting process. The answer is a proof for the nonce, a
    /// space, and the JSON of a list of [`LearnedState`]. There is no answer if another process was
    /// answered just before.
    LearnedState {
        /// A random number chosen by the requesting process.
        nonce: &'a str,
    },
}

impl<'a> Request<'a> {
    /// Parses a line without its line end. Returns `None` if it is not a request; the connection is
    /// then closed.
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

/// A process's report on its replicated state.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReplicationStatus {
    /// The version of this format.
    pub version: u32,
    /// The name of the reporting process.
    pub name: String,
    /// The fleet address of the reporting process.
    pub address: SocketAddr,
    /// Whether the process has caught up with a peer since it started or was resumed.
    pub caught_up: bool,
    /// The number of entries of all kinds.
    pub entries: usize,
    /// The number of entries that were rejected because the store was full or they were malformed.
    #[serde(rename = "left_out")]
    pub rejected: u64,
    /// The orders by member; the one in force comes first.
    pub orders: BTreeMap<String, Vec<OrderStatus>>,
    /// The version vector: for each origin, the version up to which all writes are known.
    #[serde(rename = "known")]
    pub version_vector: BTreeMap<String, u64>,
}

/// An order in the replicated state of a process.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// `drain` or `return`.
    #[serde(rename = "wish")]
    pub desired_state: DesiredState,
    /// The name of the operator who gave the order.
    pub by: String,
    /// The time at which the order was given, in Unix milliseconds.
    pub at_ms: u64,
    /// The dot of the entry, as its origin and version.
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
    /// The name of the operator.
    pub by: String,
}

/// The answer to [`Request::Challenge`], which the proof of an order needs.
#[derive(Serialize, Deserialize)]
pub(crate) struct Challenge {
    /// A random number that is valid for one order on this connection.
    pub nonce: String,
    /// The fleet's name.
    pub fleet: String,
}

/// The answer to [`Request::Order`].
#[derive(Serialize, Deserialize)]
pub(crate) struct OrderResult {
    /// The reason why the order was rejected; `None` if it was accepted.
    #[serde(default)]
    pub error: Option<String>,
}

/// The learned state of one pool of a process. The requesting process restores that of the peer
/// that forwards to most members.
#[derive(Serialize, Deserialize)]
pub(crate) struct LearnedState {
    /// The pool's name.
    pub pool: String,
    /// The number of members in the pool's endpoint list.
    pub listed: usize,
    /// The number of listed members that are ejected or on probation for every class.
    pub avoided: usize,
    /// The snapshot of the pool's balancer.
    #[serde(rename = "text")]
    pub snapshot: String,
}

impl LearnedState {
    /// Returns the number of members to which the pool forwards.
    pub fn served_member_count(&self) -> usize {
        self.listed.saturating_sub(self.avoided)
    }
}

/// Serializes a value as one line of JSON.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    // Serializing plain data into memory does not fail.
    serde_json::to_string(value).unwrap_or_default()
}

#[cfg(test)]
mod tests;
