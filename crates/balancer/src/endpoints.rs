//! The endpoint list: applying updates, the order of this process's subset, and the total capacity.

use crate::endpoint::Endpoint;
use crate::slow_start::SlowStart;
use crate::{EndpointId, EndpointInfo, EndpointState, Millis, Rules, Settings};
use rustc_hash::FxHashMap;

/// Multiplier that distributes endpoint ids over a ring: 2^64 divided by the golden ratio.
const RING_HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// All endpoints that are listed or still have attempts in flight.
#[derive(Default)]
pub(crate) struct Endpoints {
    pub(crate) list: Vec<Endpoint>,
    index: FxHashMap<EndpointId, usize>,
    /// Order in which this process adds endpoints to its subset.
    pub(crate) order: Vec<usize>,
}

/// The status change that a list entry causes.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum EntryChange {
    None,
    StartsDraining,
    /// The endpoint is new or has restarted, and begins slow start.
    StartsWarmingUp,
}

impl Endpoints {
    pub(crate) fn index_of(&self, id: EndpointId) -> Option<usize> {
        self.index.get(&id).copied()
    }

    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.index_of(id).map(|index| &self.list[index])
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        let index = self.index_of(id)?;
        self.list.get_mut(index)
    }

    /// Returns whether the endpoint accepts new requests according to the list.
    pub(crate) fn is_ready(&self, id: EndpointId) -> bool {
        self.get(id)
            .is_some_and(|endpoint| endpoint.info.state == EndpointState::Ready)
    }

    /// Marks all endpoints as removed, before a complete list is applied.
    pub(crate) fn mark_all_gone(&mut self) {
        for endpoint in &mut self.list {
            endpoint.info.state = EndpointState::Removed;
        }
    }

    /// Applies a list entry. State learned before a restart of the endpoint is dropped.
    pub(crate) fn apply(
        &mut self,
        info: EndpointInfo,
        slow_start: SlowStart,
        classes: usize,
        now: Millis,
        rules: &Rules,
    ) -> EntryChange {
        let before = self.get(info.id).map(|endpoint| endpoint.info);
        let has_restarted = before.is_none_or(|before| before.started_at != info.started_at);
        let index = match self.index_of(info.id) {
            Some(index) => {
                if has_restarted {
                    let in_flight = self.list[index].in_flight;
                    self.list[index] = Endpoint {
                        in_flight,
                        ..Endpoint::new(info, slow_start, classes)
                    };
                } else {
                    self.list[index].info = info;
                }
                index
            }
            None => {
                self.index.insert(info.id, self.list.len());
                self.list.push(Endpoint::new(info, slow_start, classes));
                self.list.len() - 1
            }
        };
        let was_ready = before.is_some_and(|before| before.state == EndpointState::Ready);
        if was_ready && info.state == EndpointState::Draining {
            EntryChange::StartsDraining
        } else if has_restarted && self.list[index].slow_start_factor(now, rules) < 1.0 {
            EntryChange::StartsWarmingUp
        } else {
            EntryChange::None
        }
    }

    /// Drops removed endpoints without attempts in flight, and orders the rest.
    pub(crate) fn finish_update(&mut self, settings: &Settings) {
        self.list
            .retain(|e| e.info.state != EndpointState::Removed || e.in_flight > 0.0);
        self.index = self
            .list
            .iter()
            .enumerate()
            .map(|(index, endpoint)| (endpoint.info.id, index))
            .collect();
        self.order = self.subset_order(settings);
    }

    /// Returns the total capacity of all ready endpoints.
    pub(crate) fn ready_capacity(&self, now: Millis, rules: &Rules) -> f64 {
        self.list
            .iter()
            .filter(|endpoint| endpoint.info.state == EndpointState::Ready)
            .map(|endpoint| endpoint.capacity(now, rules))
            .sum()
    }

    /// Returns the order of the endpoints for the subset, own zone first. The own zone and the
    /// other zones are rings of hashed ids. Processes start at positions spaced by their rank, so
    /// that all endpoints are covered equally.
    fn subset_order(&self, settings: &Settings) -> Vec<usize> {
        let entry = f64::from(settings.rank) / f64::from(settings.fleet_size) % 1.0;
        let (mut own_zone, mut other_zones): (Vec<usize>, Vec<usize>) =
            (0..self.list.len()).partition(|&i| self.list[i].info.zone == settings.zone);
        for ring in [&mut own_zone, &mut other_zones] {
            ring.sort_by_key(|&i| ring_position(self.list[i].info.id));
            let start = ((entry * ring.len() as f64) as usize).min(ring.len());
            ring.rotate_left(start);
        }
        own_zone.append(&mut other_zones);
        own_zone
    }
}

fn ring_position(id: EndpointId) -> u64 {
    u64::from(id)
        .wrapping_mul(RING_HASH_MULTIPLIER)
        .rotate_left(32)
}
