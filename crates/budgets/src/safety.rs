//! The safety rules of the protocol, each with its reason, and the two invariants that they uphold.
//!
//! The invariants are [`are_shares_within_total`] and [`is_leadership_exclusive`]. The tests in
//! `model` disable each rule in turn and require that an invariant is then violated.

use crate::Share;

/// A rule without which the shares of a fleet could exceed the total. The function that enforces a
/// rule calls [`EnforcedRules::enforces`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SafetyRule {
    /// A lease expires at its holder before it expires at its grantor, whichever clock runs faster.
    /// Otherwise the grantor grants the share to another process while the holder still spends it.
    /// Enforced by `lease::grants::lease_hold`.
    LeaseExpiresAtHolderFirst,
    /// A term expires at the grantor before its votes expire at the voters. Otherwise the voters
    /// elect another process while the first one still grants. Enforced by
    /// `election::leadership::expires_at`.
    LeadershipExpiresAtGrantorFirst,
    /// A voter votes for one candidate at a time. Any two majorities share a voter, so there are
    /// never two grantors. This also holds for the majorities of an old and a new voter list that
    /// differ by one voter. Enforced by `Voter::record_vote`.
    OneVoteAtATime,
    /// A starting voter votes only after every vote of an earlier incarnation must have expired,
    /// because it remembers none of them. Enforced by `Voter::new`.
    StartingVoterWaits,
    /// An expired term is not revived: the next term has a new epoch and no records of grants.
    /// Otherwise a grantor continues with records that lack the grants of an intermediate grantor.
    /// Enforced by `Leadership::current_term`.
    ExpiredTermEnds,
    /// A new grantor only renews existing leases until every lease of an earlier grantor has
    /// expired. Enforced by `Participant::is_quarantined`.
    NewGrantorQuarantine,
    /// A lease is renewed only before it expires. A late renewal refers to a share that may have
    /// been granted to another process meanwhile. Enforced by `Holder::accept_grant`.
    RenewalNeedsLiveLease,
    /// A grant is accepted only as the response to the latest request, and only once. Otherwise a
    /// delayed grant of a larger share replaces a share that has been reduced since. Enforced by
    /// `Holder::accept_grant`.
    LatestResponseOnly,
    /// The grantor counts a reduced share at its old size until the holder has confirmed the new
    /// size, because the message with the new size may be lost. Enforced by
    /// `lease::grants::counted_share`.
    ReductionNeedsConfirmation,
    /// The grantor counts the lease of a process that membership declares lost until the lease
    /// expires, because the process may only be partitioned from the network. Enforced by
    /// `Grants::mark_lost`.
    LostHolderCounts,
    /// Every use of a lease checks the clock, because a process that was suspended resumes with an
    /// expired lease. Enforced by `Holder::share`, and at each admission by the limiters
    /// (`TokenBucket::check`, `InFlightLimit::has_room`).
    ExpiryCheckedOnUse,
}

impl SafetyRule {
    /// All rules.
    pub const ALL: [SafetyRule; 11] = [
        SafetyRule::LeaseExpiresAtHolderFirst,
        SafetyRule::LeadershipExpiresAtGrantorFirst,
        SafetyRule::OneVoteAtATime,
        SafetyRule::StartingVoterWaits,
        SafetyRule::ExpiredTermEnds,
        SafetyRule::NewGrantorQuarantine,
        SafetyRule::RenewalNeedsLiveLease,
        SafetyRule::LatestResponseOnly,
        SafetyRule::ReductionNeedsConfirmation,
        SafetyRule::LostHolderCounts,
        SafetyRule::ExpiryCheckedOnUse,
    ];
}

/// The enforced safety rules; only this crate's tests disable any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EnforcedRules {
    #[cfg(test)]
    pub(crate) disabled: Option<SafetyRule>,
}

impl EnforcedRules {
    /// Returns whether a rule is enforced.
    #[inline]
    pub fn enforces(self, rule: SafetyRule) -> bool {
        #[cfg(test)]
        return self.disabled != Some(rule);
        #[cfg(not(test))]
        {
            let _ = rule;
            true
        }
    }
}

/// Checks the guarantee of this crate: the sum of the shares that all processes may spend at one
/// instant is at most the total.
pub fn are_shares_within_total(shares: impl Iterator<Item = Share>, total: Share) -> bool {
    shares.sum::<Share>().is_within(total)
}

/// Checks that at most one process is the grantor at one instant. `is_grantor` has one entry for
/// each process.
pub fn is_leadership_exclusive(is_grantor: impl Iterator<Item = bool>) -> bool {
    is_grantor.filter(|is_grantor| *is_grantor).count() <= 1
}
