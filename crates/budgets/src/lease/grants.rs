//! The grantor's account of the leases of one budget.
//!
//! The account of a lease, by holder:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | none | request | counted at the share that is granted |
//! | counted | request that confirms a smaller share | counted at the new share |
//! | counted | request; a smaller share is granted | counted at the old share until confirmed |
//! | counted | the holder returns its lease, nothing in use | none |
//! | counted | the holder is declared lost | counted, without demand |
//! | counted | its time has passed | none |

use super::adjustment::{HolderPosition, REDUCTION_THRESHOLD_DIVISOR};
use super::division::{divide, WeightedDemand};
use super::holder::Grant;
use super::total::{newcomer_reserve, Total};
use crate::message::LeaseRequest;
use crate::{
    Incarnation, LeaseSettings, Micros, ProcessId, SafetyRule, Share, Timestamp, Units, TOKEN_UNITS,
};
use std::collections::BTreeMap;

/// The shortest time between two recalls to the same holder.
const RECALL_INTERVAL_US: Micros = 100_000;

/// A holder whose burst exceeds its target by at most this is not recalled for the burst.
const RECALL_MIN_EXCESS_BURST_UNITS: Units = TOKEN_UNITS / 4;

/// A holder is due its demand and this fraction more, as demand varies.
const DEMAND_MARGIN_DIVISOR: Units = 16;

/// What the grantor knows of one holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    process: ProcessId,
    request_number: u64,
    /// The most that the holder may believe it holds.
    counted: Share,
    expires_at: Timestamp,
    demand: Units,
    weight: u32,
    total: Total,
    /// What is due to the holder by the last division.
    target: Share,
    recalled_at: Timestamp,
}

impl Record {
    /// A holder's demand for the division.
    fn weighted_demand(&self) -> WeightedDemand {
        WeightedDemand {
            demand: self.demand + self.demand / DEMAND_MARGIN_DIVISOR,
            weight: self.weight,
        }
    }

    /// Whether the holder has clearly more than it is due.
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

/// The grantor at the instant of a request.
#[derive(Clone, Copy, Debug)]
pub struct GrantorContext {
    /// The time.
    pub now: Timestamp,
    /// Whether leases of an earlier grantor may still be held.
    pub is_quarantined: bool,
    /// How many processes vote, and so have a floor.
    pub voters: usize,
}

/// The answer to a lease request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// The grant; `None` if the request is outdated or returns a lease.
    pub grant: Option<Grant>,
    /// The holders that are to send a request at once, as they have what others are due.
    pub recalls: Vec<ProcessId>,
}

/// What is granted of a budget.
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
    /// The sum of what is counted. Kept, as a fleet is too large to add up at each request.
    sum: Share,
    /// The most careful of the holders' totals.
    total: Option<Total>,
    divided_at: Option<Timestamp>,
}

impl Grants {
    /// Answers a request, and counts what is granted.
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

    /// Whether a later request of the same holder has arrived before.
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

    /// The account of a holder after its request, before the grant.
    fn new_record(
        &self,
        process: ProcessId,
        request: &LeaseRequest,
        held: Share,
        context: &GrantorContext,
        settings: &LeaseSettings,
    ) -> Record {
        let before = self.records.get(&request.incarnation);
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
            recalled_at: before.map_or(0, |before| before.recalled_at),
        }
    }

    /// Takes a holder's total into account; returns the most careful total.
    fn merge_total(&mut self, total: Total) -> Total {
        let merged = match self.total {
            Some(known) => known.stricter(&total),
            None => total,
        };
        self.total = Some(merged);
        merged
    }

    /// Removes a returned lease, unless some of it is still in use. The next request divides anew.
    fn remove_returned_lease(&mut self, holder: Incarnation, in_use: Share) {
        if in_use.is_empty() {
            self.records.remove(&holder);
        }
        self.divided_at = None;
    }

    /// Grants the next share of a holder, and recalls leases if that is less than its target.
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

    /// Removes expired leases, and what their holders said of the total.
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

    /// Divides what can be leased among all holders by their demand.
    fn divide(&mut self, now: Timestamp, leasable: Share, settings: &LeaseSettings) {
        // Without an interval the time says nothing, and would only make the model's states differ.
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

    /// The holders, other than the one that asks, that have clearly more than they are due.
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

    /// Takes the demand of a process that membership declares lost as 0. Its lease counts until it
    /// expires: the process may only be cut off.
    pub fn mark_lost(&mut self, incarnation: Incarnation, settings: &LeaseSettings) {
        if !settings.rules.enforces(SafetyRule::LostHolderCounts) {
            let removed = self.records.remove(&incarnation);
            let counted = removed.map_or(Share::default(), |record| record.counted);
            self.sum = self.sum.saturating_sub(counted);
        } else if let Some(record) = self.records.get_mut(&incarnation) {
            record.demand = 0;
        }
    }

    /// What is granted now.
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

/// How long a lease is counted from when it was granted.
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

/// What is counted for a holder that has `held` and is granted `share`: the greater of the two,
/// until its next request confirms the new share.
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

/// What a holder has, by its request and by what was counted for it. A grantor in quarantine has
/// only the holder's word: an earlier grantor gave it that much, and gave it to no other process.
fn held_share(request: &LeaseRequest, counted: Share, context: &GrantorContext) -> Share {
    if context.is_quarantined {
        request.held
    } else {
        request.held.min(counted)
    }
}
