//! The holder's side of the lease of one budget.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `None` | grant for the latest request, not a renewal | `Held` |
//! | `None` | renewal | `None`, ignored |
//! | `Held` | grant or renewal for the latest request | `Held`, extended |
//! | `Held` | the lease expires | `None` |
//! | any | grant for an earlier request, duplicate grant, or grant whose lease has already expired | unchanged |
//! | any | the holder returns its lease | `None` |
//!
//! While a process is suspended ([`BudgetNode::set_suspended`]), the state still changes by expiry
//! but the node spends nothing.
//!
//! [`BudgetNode::set_suspended`]: crate::node::BudgetNode::set_suspended

use crate::{LeaseSettings, SafetyRule, Share, Timestamp};
use serde::{Deserialize, Serialize};

/// The share that the grantor grants in response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the request that the grant responds to.
    pub request_number: u64,
    /// The new share, which replaces the current one.
    pub share: Share,
    /// Whether the grant only renews the share that the holder reported, because the grantor is new
    /// and does not know the other leases.
    pub is_renewal: bool,
}

/// The lease that a process has of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// No lease.
    #[default]
    None,
    /// A lease, which may have expired meanwhile.
    Held {
        /// The share that may be spent.
        share: Share,
        /// When the lease expires.
        expires_at: Timestamp,
    },
}

/// The number and the reported share of a holder's next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberedRequest {
    /// The request number.
    pub number: u64,
    /// The share that the holder may spend or that its running requests still use.
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
    /// Begins the next request. `in_use` is the amount that running requests use, which may exceed
    /// a reduced share for a time.
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

    /// Replaces the share by a granted one; returns whether the grant was accepted. The lease runs
    /// from the time the request was sent, so that a delayed message does not extend it.
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

    /// Returns the share that may be spent now, without the floor. The guarantee of the crate
    /// limits the sum of these shares.
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

    /// Returns when the lease expires, or 0 without a lease.
    pub fn expires_at(&self) -> Timestamp {
        match self.lease {
            LeaseState::None => 0,
            LeaseState::Held { expires_at, .. } => expires_at,
        }
    }

    /// Returns whether a response to this request would be accepted.
    pub fn is_awaiting(&self, request_number: u64) -> bool {
        self.latest_request == request_number && !self.is_answered
    }

    /// Drops the lease. A response that is still in transit will be ignored.
    pub fn drop_lease(&mut self) {
        self.lease = LeaseState::None;
        self.is_answered = true;
    }
}
