//! The messages between the processes of a fleet. Encoded by `crates/fleet` with postcard, which
//! writes fields and variants by their order: the order must stay.

use crate::lease::{Grant, Total};
use crate::{BudgetKey, Epoch, Incarnation, ProcessId, Share, Timestamp, Units};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message from one process to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// Sent by a candidate to all other voters, and by the grantor again before its term expires.
    /// The receiver votes or refuses, and answers with a `VoteResponse`.
    VoteRequest(VoteRequest),
    /// Sent by a voter in answer to a `VoteRequest`. The candidate counts the vote, or withdraws if
    /// the voter votes for another candidate.
    VoteResponse(VoteResponse),
    /// Sent by a holder to the grantor, periodically and at once when its demand rises. The grantor
    /// answers with a `LeaseResponse`; any other process with `NotLeader`.
    LeaseRequest {
        /// The budget.
        budget: BudgetKey,
        /// What the holder has and asks for.
        request: LeaseRequest,
    },
    /// Sent by the grantor in answer to a `LeaseRequest`. The holder replaces its share, if the
    /// answer is for its latest request.
    LeaseResponse {
        /// The budget.
        budget: BudgetKey,
        /// The incarnation that asked; other incarnations ignore the message.
        incarnation: Incarnation,
        /// The share.
        grant: Grant,
    },
    /// Sent by the grantor to a holder that has more than it is due while another process lacks it.
    /// The holder sends a `LeaseRequest` at once.
    Recall {
        /// The budget.
        budget: BudgetKey,
    },
    /// Sent in answer to a `LeaseRequest` by a process that is not the grantor. The holder asks the
    /// grantor that is named.
    NotLeader {
        /// The term that the sender votes for, if there is one.
        grantor: Option<Epoch>,
    },
}

/// The highest number of a term that is taken from another process. Terms are numbered from the
/// wall clock's milliseconds on, so no process gets as far by itself.
pub const MAX_TERM: u64 = 1 << 62;

/// A message that can be decoded and that no process sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidMessage {
    /// The number of a term is above [`MAX_TERM`].
    #[error("{field} is term {number}, which no process reaches")]
    TermTooHigh {
        /// The field that names the term.
        field: &'static str,
        /// The number.
        number: u64,
    },
}

impl Message {
    /// Checks the fields of a message that has arrived.
    ///
    /// # Errors
    ///
    /// [`InvalidMessage`] names the field at fault.
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

/// A candidate's question for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term that the candidate wants to begin or to prolong.
    pub epoch: Epoch,
    /// When the request was sent, by the candidate's clock.
    pub sent_at: Timestamp,
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoteResponse {
    /// The term in the request.
    pub epoch: Epoch,
    /// The time in the request, by the candidate's clock.
    pub sent_at: Timestamp,
    /// Whether the candidate has the vote.
    pub granted: bool,
    /// The term that the voter votes for now.
    pub votes_for: Option<Epoch>,
    /// The highest number of a term that the voter knows of.
    pub highest_term: u64,
}

/// What a holder has of a budget and asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The holder.
    pub incarnation: Incarnation,
    /// Numbers the holder's requests for this budget, rising.
    pub request_number: u64,
    /// The share that the holder may spend now, or still uses.
    pub held: Share,
    /// The demand at the holder.
    pub demand: Units,
    /// The priority weight of one unit of that demand; see [`crate::node::UNIT_WEIGHT`].
    pub weight: u32,
    /// The budget's total in the holder's configuration.
    pub total: Total,
    /// Whether the holder returns its lease and asks for nothing more.
    pub returns_lease: bool,
}

/// A message on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver.
    pub to: ProcessId,
    /// The message.
    pub message: Message,
}
