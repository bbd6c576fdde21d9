//! What is asked of a process over TCP at its fleet's address, a line each way: by operators, and
//! by other processes when they start. What changes anything, and what another process believes,
//! carries a proof made with the fleet's secret for a number that was made for this connection, so
//! that nothing that was heard can be said again.

use dewrun_replication::orders::DesiredState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What each question begins with.
pub(crate) const PREFIX: &str = "dewrun fleet ";
/// How long either side waits.
pub(crate) const PATIENCE: Duration = Duration::from_secs(2);
/// The longest question, and the longest answer that is read.
pub(crate) const QUESTION_MOST: u64 = 8 << 10;
pub(crate) const ANSWER_MOST: u64 = 16 << 20;
/// What a proof is of.
pub(crate) const ORDER: &str = "order";
pub(crate) const LEARNED: &str = "learned";

/// What one process holds of the replicated state.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The form of this text.
    pub version: u32,
    /// Who was asked.
    pub name: String,
    /// Its fleet address.
    pub address: SocketAddr,
    /// Whether it holds what one other held when it started, or woke.
    pub caught_up: bool,
    /// Entries of all kinds.
    pub entries: usize,
    /// Entries that were not taken for want of room, or as they were malformed.
    pub left_out: u64,
    /// The orders, by target; the one that holds comes first.
    pub orders: BTreeMap<String, Vec<OrderStatus>>,
    /// What is known of each writer: all entries up to a number.
    pub known: BTreeMap<String, u64>,
}

/// One order.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// What is wanted: `drain` or `return`.
    pub wish: DesiredState,
    /// Who gave it.
    pub by: String,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// The entry: its writer and number.
    pub entry: String,
}

/// An order as it is sent.
#[derive(Debug, Serialize, Deserialize)]
pub struct Order {
    /// `POOL/MEMBER`.
    pub target: String,
    /// What is wanted.
    pub wish: DesiredState,
    /// Who gives it.
    pub by: String,
}

/// A number made for one connection.
#[derive(Serialize, Deserialize)]
pub(crate) struct Challenge {
    pub nonce: String,
    pub fleet: String,
}

/// What an order came to.
#[derive(Serialize, Deserialize)]
pub(crate) struct OrderResult {
    #[serde(default)]
    pub error: Option<String>,
}

/// What a process has learned of a pool.
#[derive(Serialize, Deserialize)]
pub(crate) struct Learned {
    pub pool: String,
    pub listed: usize,
    pub avoided: usize,
    pub text: String,
}

impl Learned {
    /// Members that the pool sends to.
    pub fn sends_to(&self) -> usize {
        self.listed.saturating_sub(self.avoided)
    }
}

/// A line.
pub(crate) fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
