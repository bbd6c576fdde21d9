//! The grantor's records of the leases of one budget.
//!
//! The state of the record of one holder:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | none | request | counted at the granted share |
//! | counted | request that confirms a smaller share | counted at the new share |
//! | counted | request; a smaller share is granted | counted at the old share until confirmed |
//! | counted | the holder returns its lease and uses none of it | none |
//! | counted | the holder is declared lost | counted, without demand |
//! | counted | the lease expires | none |

use super::adjustment::{HolderPosition, REDUCTION_THRESHOLD_DIVISOR};
use super::division::{divide, WeightedDemand};
use super::holder::Grant;
use super::total::{newcomer_reserve, Total};
use crate::message::LeaseRequest;
use crate::{
    Incarnation, LeaseSettings, Micros, ProcessId, SafetyRule, Share, Timestamp, Units, TOKEN_UNITS,
};
use std::collections::BTreeMap;

/// Minimum time between two recalls to the same holder.
const RECALL_INTERVAL_US: Micros = 100_000;

/// A holder whose burst exceeds its target by at most this much is not recalled for its burst.
const RECALL_MIN_EXCESS_BURST_UNITS: Units = TOKEN_UNITS / 4;

/// The division adds one part in this many to each holder's demand, because demand varies.
const DEMAND_MARGIN_DIVISOR: Units = 16;

/// The grantor's record of one holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    process: ProcessId,
    request_number: u64,
    /// The largest share that the holder may believe it has.
    counted: Share,
    expires_at: Timestamp,
    demand: Units,
    weight: u32,
    total: Total,
    /// The holder's share by the last division.
    target: Share,
    recalled_at: Timestamp,
}

impl Record {
    /// Returns the holder's demand for the division.
    fn weighted_demand(&self) -> WeightedDemand {
        WeightedDemand {
            demand: self.demand + self.demand / DEMAND_MARGIN_DIVISOR,
            weight: self.weight,
        }
    }

    /// Returns whether the holder has clearly more than its target.
    fn is_above_target(&self) -> bool {
        let tolerance = self.counted.map(|held| held / REDUCTION_THRESHOLD_DIVISOR);
        let tolerance = Share {
            burst: tolerance.burst.max(RECALL_MIN_EXCESS_BURST_UNITS),
            ..tolerance
        };
        !self
            .counted
            .saturating_sub(self.target)
            .is_within(tolerance)
    }
}

/// The grantor's state at the time of a request.
#[derive(Clone, Copy, Debug)]
pub struct GrantorContext {
    /// The current time.
    pub now: Timestamp,
    /// Whether leases of an earlier grantor may still be valid.
    pub is_quarantined: bool,
    /// The number of voters, each of which has a floor.
    pub voters: usize,
}

/// The grantor's decision on a lease request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// The grant; `None` if the request is outdated or returns a lease.
    pub grant: Option<Grant>,
    /// The holders that must send a request at once, because they have more than their target.
    pub recalls: Vec<ProcessId>,
}

/// The sum of the granted leases of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantedSum {
    /// The sum of the shares.
    pub units: Units,
    /// The number of holders.
    pub holders: usize,
}

/// The leases of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Grants {
    records: BTreeMap<Incarnation, Record>,
    /// The sum of the counted shares. Cached, because a fleet is too large to sum at each request.
    sum: Share,
    /// The strictest of the holders' totals.
    total: Option<Total>,
    divided_at: Option<Timestamp>,
}

impl Grants {
    /// Decides on a request and records the granted share.
    pub fn handle_request(
        &mut self,
        process: ProcessId,
        request: &LeaseRequest,
        context: &GrantorContext,
        settings: &LeaseSettings,
    ) -> Decision {
        let now = context.now;
        if self.is_division_due(now, settings) {
            self.remove_expired(now);
        }
        if self.is_outdated(request) {
            return Decision::default();
        }
        let is_known = self.records.contains_key(&request.incarnation);
        let counted = self.counted(request.incarnation);
        let held = held_share(request, counted, context);
        let others = self.sum.saturating_sub(counted);
        let record = self.new_record(process, request, held, context, settings);
        self.records.insert(request.incarnation, record);
        self.sum = others + held;
        let leasable = self.merge_total(request.total).leasable(context.voters);
        if request.returns_lease {
            self.remove_returned_lease(request.incarnation, held);
            return Decision::default();
        }
        if !is_known || self.is_division_due(now, settings) {
            self.divide(now, leasable, settings);
        }
        let position = HolderPosition {
            held,
            target: self.target(request.incarnation),
            others,
            leasable,
        };
        self.grant(request, &position, context, settings)
    }

    /// Returns whether this request or a later one of the same holder has already arrived.
    fn is_outdated(&self, request: &LeaseRequest) -> bool {
        self.records
            .get(&request.incarnation)
            .is_some_and(|record| request.request_number <= record.request_number)
    }

    fn counted(&self, holder: Incarnation) -> Share {
        self.records
            .get(&holder)
            .map_or(Share::default(), |record| record.counted)
    }

    fn target(&self, holder: Incarnation) -> Share {
        self.records
            .get(&holder)
            .map_or(Share::default(), |record| record.target)
    }

    /// Returns the record of a holder after its request and before the grant.
    fn new_record(
        &self,
        process: ProcessId,
        request: &LeaseRequest,
        held: Share,
        context: &GrantorContext,
        settings: &LeaseSettings,
    ) -> Record {
        let previous = self.records.get(&request.incarnation);
        Record {
            process,
            request_number: request.request_number,
            counted: held,
            expires_at: context.now + lease_hold(settings) + request.total.max_request_duration,
            demand: if request.returns_lease {
                0
            } else {
                request.demand
            },
            weight: request.weight,
            total: request.total,
            target: self.target(request.incarnation),
            recalled_at: previous.map_or(0, |previous| previous.recalled_at),
        }
    }

    /// Merges a holder's total into the strictest total, and returns the result.
    fn merge_total(&mut self, total: Total) -> Total {
        let merged = match self.total {
            Some(known) => known.stricter(&total),
            None => total,
        };
        self.total = Some(merged);
        merged
    }

    /// Removes the record of a returned lease, unless part of the lease is still in use. The next
    /// request triggers a new division.
    fn remove_returned_lease(&mut self, holder: Incarnation, in_use: Share) {
        if in_use.is_empty() {
            self.records.remove(&holder);
        }
        self.divided_at = None;
    }

    /// Grants the next share of a holder, and recalls leases of others if the share is below its
    /// target.
    fn grant(
        &mut self,
        request: &LeaseRequest,
        position: &HolderPosition,
        context: &GrantorContext,
        settings: &LeaseSettings,
    ) -> Decision {
        let share = position.next_share(context.is_quarantined);
        if let Some(record) = self.records.get_mut(&request.incarnation) {
            record.counted = counted_share(position.held, share, settings);
            self.sum = position.others + record.counted;
        }
        let is_short = !position.target.is_within(share);
        let recalls = if is_short && !context.is_quarantined {
            self.recall_others(context.now, request.incarnation)
        } else {
            Vec::new()
        };
        Decision {
            grant: Some(Grant {
                request_number: request.request_number,
                share,
                is_renewal: context.is_quarantined,
            }),
            recalls,
        }
    }

    /// Removes expired leases together with their holders' totals.
    fn remove_expired(&mut self, now: Timestamp) {
        self.records.retain(|_, record| now < record.expires_at);
        self.sum = self.records.values().map(|record| record.counted).sum();
        self.total = self
            .records
            .values()
            .map(|record| record.total)
            .reduce(|a, b| a.stricter(&b));
    }

    fn is_division_due(&self, now: Timestamp, settings: &LeaseSettings) -> bool {
        self.divided_at
            .is_none_or(|divided_at| now >= divided_at + settings.division_interval)
    }

    /// Divides the leasable part among all holders by their demand.
    fn divide(&mut self, now: Timestamp, leasable: Share, settings: &LeaseSettings) {
        // Without an interval the time has no effect and would only multiply the model's states.
        self.divided_at = (settings.division_interval > 0).then_some(now);
        let demands: Vec<WeightedDemand> =
            self.records.values().map(Record::weighted_demand).collect();
        let shares = divide(
            leasable.saturating_sub(newcomer_reserve(leasable)),
            &demands,
        );
        for (record, share) in self.records.values_mut().zip(shares) {
            record.target = share;
        }
    }

    /// Returns the holders other than the requester that have clearly more than their target and
    /// were not recalled recently.
    fn recall_others(&mut self, now: Timestamp, requester: Incarnation) -> Vec<ProcessId> {
        let mut recalls = Vec::new();
        for (incarnation, record) in &mut self.records {
            if *incarnation != requester
                && record.is_above_target()
                && now >= record.recalled_at + RECALL_INTERVAL_US
            {
                record.recalled_at = now;
                recalls.push(record.process);
            }
        }
        recalls
    }

    /// Sets the demand of a process that membership declares lost to 0. Its lease still counts
    /// until it expires, because the process may only be partitioned from the network.
    pub fn mark_lost(&mut self, incarnation: Incarnation, settings: &LeaseSettings) {
        if !settings.rules.enforces(SafetyRule::LostHolderCounts) {
            let removed = self.records.remove(&incarnation);
            let counted = removed.map_or(Share::default(), |record| record.counted);
            self.sum = self.sum.saturating_sub(counted);
        } else if let Some(record) = self.records.get_mut(&incarnation) {
            record.demand = 0;
        }
    }

    /// Returns the sum of the leases that have not expired.
    pub fn granted_sum(&self, now: Timestamp) -> GrantedSum {
        let live = self
            .records
            .values()
            .filter(|record| now < record.expires_at);
        live.fold(GrantedSum::default(), |sum, record| GrantedSum {
            units: sum.units + record.counted.units,
            holders: sum.holders + 1,
        })
    }
}

/// Returns how long a lease counts after it was granted.
fn lease_hold(settings: &LeaseSettings) -> Micros {
    if settings
        .rules
        .enforces(SafetyRule::LeaseExpiresAtHolderFirst)
    {
        settings.durations.grant_hold
    } else {
        settings.durations.lease_ttl / 2
    }
}

/// Returns the share to count for a holder that has `held` and is granted `share`: the greater of
/// the two, until the holder's next request confirms the new share.
fn counted_share(held: Share, share: Share, settings: &LeaseSettings) -> Share {
    if settings
        .rules
        .enforces(SafetyRule::ReductionNeedsConfirmation)
    {
        held.max(share)
    } else {
        share
    }
}

/// Returns the share that a holder has, by its request and by the grantor's record. A grantor in
/// quarantine has no records of earlier grants and relies on the request: an earlier grantor
/// granted that share, and granted it to no other process.
fn held_share(request: &LeaseRequest, counted: Share, context: &GrantorContext) -> Share {
    if context.is_quarantined {
        request.held
    } else {
        request.held.min(counted)
    }
}
