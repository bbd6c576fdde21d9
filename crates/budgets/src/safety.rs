//! The safety rules of the protocol, each with its reason, and the two invariants that they keep.
//!
//! The invariants are [`are_shares_within_total`] and [`is_leadership_exclusive`]. The tests in
//! `model` take each rule out in turn and require that an invariant is then violated.

use crate::Share;

/// A rule without which the shares of a fleet could exceed the total. The function that enforces a
/// rule asks [`EnforcedRules::enforces`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SafetyRule {
    /// A lease ends for its holder before it ends for its grantor, whichever clock runs fast. Else
    /// the grantor gives the share to another process while the holder still spends it.
    /// Enforced by `lease::grants::lease_hold`.
    LeaseExpiresAtHolderFirst,
    /// A term ends for the grantor before its votes end for the voters. Else the voters elect
    /// another process while the first still grants. Enforced by
    /// `election::leadership::expires_at`.
    LeadershipExpiresAtGrantorFirst,
    /// A voter votes for one candidate at a time. Two majorities share a voter, so there are never
    /// two grantors. This holds for the majorities of an old and a new list of voters as well, as
    /// long as the lists differ by one voter. Enforced by `Voter::record_vote`.
    OneVoteAtATime,
    /// A voter that starts votes only once every vote that an earlier incarnation may have given
    /// has expired, as it remembers none. Enforced by `Voter::new`.
    StartingVoterWaits,
    /// A term that expired is not revived: the next term has another epoch and an empty account of
    /// grants. Else a grantor goes on by an account that misses the grants of the grantor between.
    /// Enforced by `Leadership::current_term`.
    ExpiredTermEnds,
    /// A new grantor grants nothing beyond what is already held, until every lease of an earlier
    /// grantor has expired (hand-over). Enforced by `Participant::is_quarantined`.
    NewGrantorQuarantine,
    /// A lease is renewed only while it has not expired. A renewal that arrives late belongs to a
    /// share that may have gone to another process. Enforced by `Holder::accept_grant`.
    RenewalNeedsLiveLease,
    /// A grant counts only as the answer to the latest request, and only once. Else a larger share
    /// of long ago replaces a share that was reduced since. Enforced by `Holder::accept_grant`.
    LatestResponseOnly,
    /// The grantor counts a share that it reduced at its old size until the holder has confirmed
    /// the new size, as the message that says so may be lost. Enforced by
    /// `lease::grants::counted_share`.
    ReductionNeedsConfirmation,
    /// The grantor counts the lease of a process that membership declares lost until the lease
    /// expires: the process may only be cut off. Enforced by `Grants::mark_lost`.
    LostHolderCounts,
    /// Every use of a lease checks the clock: a process that was suspended wakes with an expired
    /// lease. Enforced by `Holder::share`, and at each admission by the limiters
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

/// The safety rules that are enforced: all, outside of this crate's tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EnforcedRules {
    #[cfg(test)]
    pub(crate) disabled: Option<SafetyRule>,
}

impl EnforcedRules {
    /// Whether a rule is enforced.
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

/// The guarantee of this crate: the shares that all processes may spend at one instant are together
/// at most the total.
pub fn are_shares_within_total(shares: impl Iterator<Item = Share>, total: Share) -> bool {
    shares.sum::<Share>().is_within(total)
}

/// Whether at most one process is the grantor at one instant. `is_grantor` has one entry for each
/// process.
pub fn is_leadership_exclusive(is_grantor: impl Iterator<Item = bool>) -> bool {
    is_grantor.filter(|is_grantor| *is_grantor).count() <= 1
}
