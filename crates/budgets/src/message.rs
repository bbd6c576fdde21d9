//! The messages between the processes of a fleet. `crates/fleet` encodes them with postcard, which
//! identifies fields and variants by their order, so the order must not change.

use crate::lease::{Grant, Total};
use crate::{BudgetKey, Epoch, Incarnation, ProcessId, Share, Timestamp, Units};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message from one process to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// Sent by a candidate to all other voters, and by the grantor to extend its term before it
    /// expires. The receiver grants or denies its vote in a `VoteResponse`.
    VoteRequest(VoteRequest),
    /// Sent by a voter in response to a `VoteRequest`. The candidate counts the vote, or withdraws
    /// if the voter votes for another candidate.
    VoteResponse(VoteResponse),
    /// Sent by a holder to the grantor, periodically and as soon as its demand rises. The grantor
    /// responds with a `LeaseResponse`, any other process with `NotLeader`.
    LeaseRequest {
        /// The requested budget.
        budget: BudgetKey,
        /// The holder's current share and demand.
        request: LeaseRequest,
    },
    /// Sent by the grantor in response to a `LeaseRequest`. The holder replaces its share if the
    /// response is for its latest request.
    LeaseResponse {
        /// The granted budget.
        budget: BudgetKey,
        /// The incarnation that sent the request; other incarnations ignore the message.
        incarnation: Incarnation,
        /// The granted share.
        grant: Grant,
    },
    /// Sent by the grantor to a holder that has more than its target while another holder has less.
    /// The holder sends a `LeaseRequest` at once.
    Recall {
        /// The recalled budget.
        budget: BudgetKey,
    },
    /// Sent in response to a `LeaseRequest` by a process that is not the grantor. The holder sends
    /// its request to the named grantor.
    NotLeader {
        /// The term of the grantor that the sender knows, if any.
        grantor: Option<Epoch>,
    },
}

/// The highest term number that is accepted from another process. Term numbers start at the wall
/// clock's milliseconds, so no correct process reaches this number.
pub const MAX_TERM: u64 = 1 << 62;

/// The reason why a decoded message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidMessage {
    /// The number of a term is above [`MAX_TERM`].
    #[error("{field}: term {number} exceeds the maximum {MAX_TERM}")]
    TermTooHigh {
        /// The field that contains the term.
        field: &'static str,
        /// The rejected term number.
        number: u64,
    },
}

impl Message {
    /// Checks the fields of a received message.
    ///
    /// # Errors
    ///
    /// Returns an [`InvalidMessage`] that names the invalid field.
    pub fn validate(&self) -> Result<(), InvalidMessage> {
        let number = |epoch: Option<Epoch>| epoch.map_or(0, |epoch| epoch.number);
        let terms = match self {
            Message::VoteRequest(request) => {
                vec![("vote_request.epoch", request.epoch.number)]
            }
            Message::VoteResponse(response) => vec![
                ("vote_response.epoch", response.epoch.number),
                ("vote_response.votes_for", number(response.votes_for)),
                ("vote_response.highest_term", response.highest_term),
            ],
            Message::NotLeader { grantor } => vec![("not_leader.grantor", number(*grantor))],
            Message::LeaseRequest { .. }
            | Message::LeaseResponse { .. }
            | Message::Recall { .. } => Vec::new(),
        };
        match terms.into_iter().find(|(_, number)| *number > MAX_TERM) {
            Some((field, number)) => Err(InvalidMessage::TermTooHigh { field, number }),
            None => Ok(()),
        }
    }
}

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term that the candidate wants to begin or extend.
    pub epoch: Epoch,
    /// When the request was sent, on the candidate's clock.
    pub sent_at: Timestamp,
}

/// A voter's response to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoteResponse {
    /// The term of the request.
    pub epoch: Epoch,
    /// The sending time of the request, on the candidate's clock.
    pub sent_at: Timestamp,
    /// Whether the vote is granted to the candidate.
    pub granted: bool,
    /// The term to which the vote is currently promised.
    pub votes_for: Option<Epoch>,
    /// The highest term number that the voter knows of.
    pub highest_term: u64,
}

/// A holder's request for a share of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The incarnation of the holder.
    pub incarnation: Incarnation,
    /// The sequence number of the holder's requests for this budget.
    pub request_number: u64,
    /// The share that the holder may spend now or that its running requests still use.
    pub held: Share,
    /// The demand at the holder, in units.
    pub demand: Units,
    /// The priority weight of one unit of that demand; see [`crate::node::UNIT_WEIGHT`].
    pub weight: u32,
    /// The budget's total in the holder's configuration.
    pub total: Total,
    /// Whether the holder returns its lease and requests no new one.
    pub returns_lease: bool,
}

/// An outgoing message with its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The process that receives the message.
    pub to: ProcessId,
    /// The message to send.
    pub message: Message,
}
