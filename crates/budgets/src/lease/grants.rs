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

/// A share that exceeds its target by less than this part is not reduced, so that noise in the
/// demand moves no shares.
const REDUCTION_THRESHOLD_DIVISOR: Units = 64;

/// A share's burst that exceeds its target by less than this is not recalled.
const RECALL_MIN_BURST_UNITS: Units = TOKEN_UNITS / 4;

/// Demand is met above its mean by this part, as it varies.
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
            burst: tolerance.burst.max(RECALL_MIN_BURST_UNITS),
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
    /// The most careful total that a holder has told.
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
        let before = self.records.get(&request.incarnation);
        if before.is_some_and(|before| request.request_number <= before.request_number) {
            return Decision::default();
        }
        let is_known = before.is_some();
        let counted = before.map_or(Share::default(), |before| before.counted);
        // A new grantor has only the holder's word: an earlier grantor gave it that much, and gave
        // it to no other.
        let held = if context.is_quarantined {
            request.held
        } else {
            request.held.min(counted)
        };
        let record = self.new_record(process, request, held, context, settings);
        self.records.insert(request.incarnation, record);
        let others = self.sum.saturating_sub(counted);
        self.sum = others + held;
        let total = match self.total {
            Some(total) => total.more_careful(&request.total),
            None => request.total,
        };
        self.total = Some(total);
        if request.returns_lease {
            self.take_back(request.incarnation, held);
            return Decision::default();
        }
        let leasable = total.leasable(context.voters);
        if !is_known || self.is_division_due(now, settings) {
            self.divide(now, leasable, settings);
        }
        self.grant(
            request,
            HeldByOthers { others, leasable },
            held,
            context,
            settings,
        )
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
            target: before.map_or(Share::default(), |before| before.target),
            recalled_at: before.map_or(0, |before| before.recalled_at),
        }
    }

    /// Removes a returned lease, unless some of it is still in use. The next request divides anew.
    fn take_back(&mut self, incarnation: Incarnation, in_use: Share) {
        if in_use.is_empty() {
            self.records.remove(&incarnation);
        }
        self.divided_at = None;
    }

    /// Decides the share of a holder.
    fn grant(
        &mut self,
        request: &LeaseRequest,
        account: HeldByOthers,
        held: Share,
        context: &GrantorContext,
        settings: &LeaseSettings,
    ) -> Decision {
        let HeldByOthers { others, leasable } = account;
        let target = self
            .records
            .get(&request.incarnation)
            .map_or(Share::default(), |record| record.target);
        let mut share = if context.is_quarantined {
            held.min(leasable)
        } else {
            Adjustment::new(held, target, others, leasable).share()
        };
        if share.units == 0 || (leasable.burst > 0 && share.burst < TOKEN_UNITS) {
            share = Share::default();
        }
        if let Some(record) = self.records.get_mut(&request.incarnation) {
            record.counted = counted_share(held, share, settings);
            self.sum = others + record.counted;
        }
        let recalls = if !context.is_quarantined && !target.is_within(share) {
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
            .reduce(|a, b| a.more_careful(&b));
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
        settings.times.grant_hold
    } else {
        settings.times.lease_ttl / 2
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

/// The account beside one holder.
#[derive(Clone, Copy)]
struct HeldByOthers {
    /// What is counted for all other holders.
    others: Share,
    /// What can be leased.
    leasable: Share,
}

/// How the share of a holder changes toward its target.
struct Adjustment {
    held: Share,
    target: Share,
    /// What is free beside all other holders.
    available: Share,
    /// What a holder that grows leaves free for newcomers.
    reserve: Share,
}

impl Adjustment {
    fn new(held: Share, target: Share, others: Share, leasable: Share) -> Adjustment {
        // A newcomer may take the reserve.
        let reserve = if held.is_empty() {
            Share::default()
        } else {
            newcomer_reserve(leasable)
        };
        Adjustment {
            held,
            target,
            available: leasable.saturating_sub(others),
            reserve,
        }
    }

    /// The new share, rate and burst each by itself.
    fn share(&self) -> Share {
        let part = |of: fn(Share) -> Units| {
            adjusted_units(
                of(self.held),
                of(self.target),
                of(self.available),
                of(self.reserve),
            )
        };
        Share {
            units: part(|share| share.units),
            burst: part(|share| share.burst),
        }
    }
}

/// Keeps what is barely above the target, reduces what is clearly above, and raises what is below
/// as far as there is room beyond the reserve.
fn adjusted_units(held: Units, target: Units, available: Units, reserve: Units) -> Units {
    if target < held && held - target <= held / REDUCTION_THRESHOLD_DIVISOR {
        held.min(available)
    } else if target <= held {
        target.min(available)
    } else {
        target.min(available.saturating_sub(reserve).max(held.min(available)))
    }
}
