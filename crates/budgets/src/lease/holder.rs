//! The lease of one budget at its holder.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `None` | grant for the latest request, no renewal | `Held` |
//! | `None` | renewal | `None`, ignored |
//! | `Held` | grant or renewal for the latest request | `Held`, for longer |
//! | `Held` | its time has passed | `None` |
//! | any | grant for an earlier request, a second time, or when the new lease would have expired | unchanged |
//! | any | the holder returns its lease | `None` |
//!
//! While a process is suspended ([`BudgetNode::set_suspended`]) the state goes on and the node
//! spends nothing.
//!
//! [`BudgetNode::set_suspended`]: crate::node::BudgetNode::set_suspended

use crate::{LeaseSettings, SafetyRule, Share, Timestamp};
use serde::{Deserialize, Serialize};

/// A share as the grantor gives it, in answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the request.
    pub request_number: u64,
    /// The share, in place of the one held.
    pub share: Share,
    /// Whether the grant only renews what the holder said it holds: the grantor is new and knows
    /// of no other leases.
    pub is_renewal: bool,
}

/// What is held of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// No lease.
    #[default]
    None,
    /// A lease, which may have expired since.
    Held {
        /// What may be spent.
        share: Share,
        /// When the lease expires.
        expires_at: Timestamp,
    },
}

/// The next request of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberedRequest {
    /// The number of the request.
    pub number: u64,
    /// The share that the holder may spend, or still uses.
    pub held: Share,
}

/// The holder's side of the leases of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    latest_request: u64,
    requested_at: Timestamp,
    is_answered: bool,
    lease: LeaseState,
}

impl Holder {
    /// Begins the next request. `in_use` is what running requests take up, which for a while may be
    /// more than the share.
    pub fn begin_request(
        &mut self,
        now: Timestamp,
        in_use: Share,
        settings: &LeaseSettings,
    ) -> NumberedRequest {
        self.latest_request += 1;
        self.requested_at = now;
        self.is_answered = false;
        NumberedRequest {
            number: self.latest_request,
            held: self.share(now, settings).max(in_use),
        }
    }

    /// Replaces the share by a grant; returns whether the grant counts. The lease runs from when
    /// the request was sent, so that a delayed message does not prolong it.
    pub fn accept_grant(&mut self, now: Timestamp, grant: Grant, settings: &LeaseSettings) -> bool {
        let rules = settings.rules;
        let expires_at = self.requested_at + settings.durations.lease_ttl;
        let is_outdated = !self.is_awaiting(grant.request_number)
            && rules.enforces(SafetyRule::LatestResponseOnly);
        let renews_expired = grant.is_renewal
            && now >= self.expires_at()
            && rules.enforces(SafetyRule::RenewalNeedsLiveLease);
        if is_outdated || renews_expired || now >= expires_at {
            return false;
        }
        self.is_answered = true;
        self.lease = LeaseState::Held {
            share: grant.share,
            expires_at,
        };
        true
    }

    /// What may be spent at this instant without the floor. The guarantee of the crate is about the
    /// sum of these shares.
    pub fn share(&self, now: Timestamp, settings: &LeaseSettings) -> Share {
        match self.lease {
            LeaseState::None => Share::default(),
            LeaseState::Held { expires_at, .. }
                if now >= expires_at && settings.rules.enforces(SafetyRule::ExpiryCheckedOnUse) =>
            {
                Share::default()
            }
            LeaseState::Held { share, .. } => share,
        }
    }

    /// When the lease expires; 0 without a lease.
    pub fn expires_at(&self) -> Timestamp {
        match self.lease {
            LeaseState::None => 0,
            LeaseState::Held { expires_at, .. } => expires_at,
        }
    }

    /// Whether a response to this request would count.
    pub fn is_awaiting(&self, request_number: u64) -> bool {
        self.latest_request == request_number && !self.is_answered
    }

    /// Ends the lease. A response that is on its way no longer counts.
    pub fn drop_lease(&mut self) {
        self.lease = LeaseState::None;
        self.is_answered = true;
    }
}
