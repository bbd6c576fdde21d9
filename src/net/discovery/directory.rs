//! The endpoints by name and id: their addresses and states by the latest list, and the drains that
//! override it, by operators' orders or by reports of other processes of the fleet.

use super::endpoint_list::{Endpoint, EndpointList};
use dewrun_agent::pool::{DrainedMembers, Drains};
use dewrun_balancer::{EndpointId, EndpointInfo, EndpointState, Settings};
use rustc_hash::{FxHashMap, FxHashSet};
use std::net::SocketAddr;

/// Reports of other processes that would drain more than this fraction of the ready endpoints are
/// ignored, as the reporting processes themselves may be faulty.
const MAX_PEER_DRAINED_FRACTION: f64 = 0.5;

/// The address and state of an endpoint. When they change, idle connections to the endpoint must be
/// closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The address at which this process reaches the endpoint.
    pub address: SocketAddr,
    /// The effective state, which is draining also if only an order or a report drains the
    /// endpoint.
    pub state: EndpointState,
    started_at: Option<f64>,
}

/// The changes by a list or a set of drains.
#[derive(Debug, Default)]
pub struct DirectoryChange {
    /// The endpoints whose changes the balancer must receive.
    pub endpoints: Vec<EndpointInfo>,
    /// The endpoints whose idle connections must be closed, as they are draining, are gone, or have
    /// a new start time or address.
    pub stale: Vec<EndpointId>,
}

/// The result of [`Directory::set_drains`].
#[derive(Debug, Default)]
pub struct DrainResult {
    /// The changes to the endpoints.
    pub change: DirectoryChange,
    /// Whether the reports of other processes were ignored, as they would have drained more than
    /// half of the ready endpoints.
    pub are_reports_ignored: bool,
}

/// An endpoint as the list has it, without orders and reports.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint<'a> {
    /// The name in the list.
    pub name: &'a str,
    /// The state by the list.
    pub state: EndpointState,
    /// The time of the last start, in Unix milliseconds; 0 if it is unknown.
    pub started_ms: f64,
}

/// The endpoints of a pool.
#[derive(Default)]
pub struct Directory {
    zones: Vec<String>,
    kinds: Vec<String>,
    ids: FxHashMap<String, EndpointId>,
    names: FxHashMap<EndpointId, String>,
    records: FxHashMap<EndpointId, EndpointRecord>,
    /// The entries of the list, which are kept only in a fleet, where drains can override the list.
    listed: Option<FxHashMap<EndpointId, EndpointInfo>>,
    /// The drains as they were set.
    drains: Drains,
    /// The drains that apply to the endpoints of the list.
    drained: DrainedMembers,
}

/// Returns the 64-bit FNV-1a hash, which is the same in every process and after every restart.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns the ids of the endpoints that are ready by the list.
fn ready_ids(listed: &FxHashMap<EndpointId, EndpointInfo>) -> Vec<EndpointId> {
    let ready = listed
        .iter()
        .filter(|(_, info)| info.state == EndpointState::Ready);
    ready.map(|(id, _)| *id).collect()
}

impl Directory {
    /// Creates an empty directory with the zones and machine kinds of a deployment.
    pub fn new(settings: &Settings) -> Directory {
        Directory {
            zones: settings.zones.clone(),
            kinds: settings.machine_kinds.clone(),
            ..Directory::default()
        }
    }

    /// Returns the id of a name. It stays the same if the endpoint is removed and listed again.
    fn id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let hash = stable_hash(name.as_bytes());
        let mut id = (hash ^ (hash >> 32)) as EndpointId;
        // On a hash collision the later name gets the next free id.
        while self.names.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.to_string(), id);
        self.names.insert(id, name.to_string());
        id
    }

    /// Enables [`Directory::set_drains`]. Must be called before the first list is applied.
    pub fn enable_drains(&mut self) {
        self.listed = Some(FxHashMap::default());
    }

    /// Whether an order or a report drains an endpoint that is ready by the list. A report does not
    /// apply to an endpoint that has started after it.
    fn is_drained(&self, id: EndpointId, info: &EndpointInfo) -> bool {
        let latest_start_ms = self.drained.get(self.name(id)).copied();
        latest_start_ms.is_some_and(|latest| info.started_at.unwrap_or_default() <= latest)
    }

    /// Replaces the set of endpoints that orders and reports drain.
    pub fn set_drains(&mut self, drains: Drains) -> DrainResult {
        self.drains = drains;
        let Some(listed) = self.listed.take() else {
            return DrainResult::default();
        };
        let are_reports_ignored = self.choose_drains(&listed);
        let change = self.update_states(&ready_ids(&listed), &listed);
        self.listed = Some(listed);
        DrainResult {
            change,
            are_reports_ignored,
        }
    }

    /// Chooses the drains that apply to the endpoints of a list: all orders, and all reports unless
    /// they would drain too many. Returns whether the reports are ignored.
    fn choose_drains(&mut self, listed: &FxHashMap<EndpointId, EndpointInfo>) -> bool {
        let ready = ready_ids(listed);
        self.drained = self.drains.by_peers.clone();
        let reported = ready
            .iter()
            .filter(|id| self.is_drained(**id, &listed[id]))
            .count();
        let are_reports_ignored = reported as f64 > MAX_PEER_DRAINED_FRACTION * ready.len() as f64;
        if are_reports_ignored {
            self.drained.clear();
        }
        let orders = self.drains.by_operators.iter();
        self.drained
            .extend(orders.map(|(name, at)| (name.clone(), *at)));
        are_reports_ignored
    }

    /// Updates the effective states of the endpoints that are ready by the list.
    fn update_states(
        &mut self,
        ready: &[EndpointId],
        listed: &FxHashMap<EndpointId, EndpointInfo>,
    ) -> DirectoryChange {
        let mut change = DirectoryChange::default();
        for id in ready.iter().copied() {
            let state = if self.is_drained(id, &listed[&id]) {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            };
            let record = self.records.get_mut(&id);
            let Some(record) = record.filter(|record| record.state != state) else {
                continue;
            };
            record.state = state;
            change.endpoints.push(EndpointInfo {
                state,
                ..listed[&id]
            });
            change.stale.push(id);
        }
        change
    }

    /// Iterates over the endpoints as the list has them; empty unless drains are enabled.
    pub fn listed_endpoints(&self) -> impl Iterator<Item = ListedEndpoint<'_>> {
        self.listed
            .iter()
            .flatten()
            .map(|(id, info)| ListedEndpoint {
                name: self.name(*id),
                state: info.state,
                started_ms: info.started_at.unwrap_or_default(),
            })
    }

    /// Iterates over the cells of the endpoints that are ready and not drained; empty unless drains
    /// are enabled.
    pub fn ready_cells(&self) -> impl Iterator<Item = u16> + '_ {
        self.listed
            .iter()
            .flatten()
            .filter(|(id, _)| self.is_ready(**id))
            .map(|(_, info)| info.cell)
    }

    fn is_ready(&self, id: EndpointId) -> bool {
        self.endpoint(id)
            .is_some_and(|record| record.state == EndpointState::Ready)
    }

    /// Returns the number of endpoints that are not removed.
    pub fn endpoint_count(&self) -> usize {
        self.records
            .values()
            .filter(|record| record.state != EndpointState::Removed)
            .count()
    }

    /// Iterates over the names of the endpoints that are not removed.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.records
            .iter()
            .filter(|(_, record)| record.state != EndpointState::Removed)
            .map(|(id, _)| self.name(*id))
    }

    /// Returns the name of an endpoint; empty if the id is unknown.
    pub fn name(&self, id: EndpointId) -> &str {
        self.names.get(&id).map_or("", String::as_str)
    }

    /// Applies a snapshot or a delta.
    pub fn apply(&mut self, list: &EndpointList) -> DirectoryChange {
        let mut change = DirectoryChange::default();
        if list.snapshot {
            self.mark_unlisted_removed(list, &mut change.stale);
        }
        let listed: Vec<(SocketAddr, EndpointInfo)> = list
            .endpoints
            .iter()
            .map(|endpoint| {
                let id = self.id(&endpoint.name);
                (endpoint.address, self.endpoint_info(id, endpoint))
            })
            .collect();
        self.record_listed(listed.iter().map(|(_, info)| *info));
        change.endpoints.reserve(listed.len());
        for (address, info) in listed {
            self.apply_endpoint(address, info, &mut change);
        }
        change
    }

    /// Records entries of the list where drains can override it. Drains that were set before the
    /// first entries are chosen for these: without a list, no reports are too many.
    fn record_listed(&mut self, infos: impl Iterator<Item = EndpointInfo>) {
        if let Some(mut listed) = self.listed.take() {
            let is_first = listed.is_empty();
            listed.extend(infos.map(|info| (info.id, info)));
            if is_first {
                self.choose_drains(&listed);
            }
            self.listed = Some(listed);
        }
    }

    /// Marks the endpoints that a snapshot does not name as removed.
    fn mark_unlisted_removed(&mut self, snapshot: &EndpointList, stale: &mut Vec<EndpointId>) {
        let listed_names: FxHashSet<&str> =
            snapshot.endpoints.iter().map(|e| e.name.as_str()).collect();
        for (id, record) in &mut self.records {
            if record.state == EndpointState::Removed
                || listed_names.contains(self.names[id].as_str())
            {
                continue;
            }
            record.state = EndpointState::Removed;
            if let Some(info) = self.listed.as_mut().and_then(|listed| listed.get_mut(id)) {
                info.state = EndpointState::Removed;
            }
            stale.push(*id);
        }
    }

    fn apply_endpoint(
        &mut self,
        address: SocketAddr,
        mut info: EndpointInfo,
        change: &mut DirectoryChange,
    ) {
        let id = info.id;
        let can_be_drained = self.listed.is_some() && info.state == EndpointState::Ready;
        if can_be_drained && self.is_drained(id, &info) {
            info.state = EndpointState::Draining;
        }
        let record = EndpointRecord {
            address,
            state: info.state,
            started_at: info.started_at,
        };
        let previous = self.records.insert(id, record);
        if previous.is_some_and(|previous| previous != record) {
            change.stale.push(id);
        }
        change.endpoints.push(info);
    }

    /// Converts an entry of a list to the balancer's type.
    fn endpoint_info(&self, id: EndpointId, endpoint: &Endpoint) -> EndpointInfo {
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        EndpointInfo {
            id,
            zone: position(&self.zones, &endpoint.zone).map_or(u16::MAX, |i| i as u16),
            kind: position(&self.kinds, &endpoint.kind).map_or(u8::MAX, |i| i as u8),
            cell: endpoint.group,
            state: endpoint.status.state(),
            weight: endpoint.weight,
            started_at: (endpoint.since_ms > 0.0).then_some(endpoint.since_ms),
        }
    }

    /// Deletes the records of removed endpoints, except those in use. Over a long run endpoints are
    /// replaced again and again, and without this the directory would grow without bound.
    pub fn forget_gone(&mut self, is_in_use: impl Fn(EndpointId) -> bool) {
        self.records
            .retain(|id, record| record.state != EndpointState::Removed || is_in_use(*id));
        self.names.retain(|id, _| self.records.contains_key(id));
        self.ids.retain(|_, id| self.records.contains_key(id));
        if let Some(listed) = &mut self.listed {
            listed.retain(|id, _| self.records.contains_key(id));
        }
    }

    /// Returns the record of an endpoint, if a list has named it.
    pub fn endpoint(&self, id: EndpointId) -> Option<EndpointRecord> {
        self.records.get(&id).copied()
    }
}

#[cfg(test)]
mod tests;
