//! The endpoint list as discovery sends it, and the checks that a received list must pass.

use dewrun_balancer::EndpointState;
use rustc_hash::FxHashSet;
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// A snapshot of the endpoints, or the changes since an earlier version.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The version of the list.
    pub index: u64,
    /// Whether this is a snapshot, which names all endpoints; otherwise a delta.
    pub snapshot: bool,
    /// The endpoints that the list names.
    pub endpoints: Vec<Endpoint>,
}

/// An endpoint as a list names it.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(rename = "type", default)]
    pub(super) kind: String,
    #[serde(default)]
    pub(super) group: u16,
    pub(super) status: ListedStatus,
    #[serde(default = "default_weight")]
    pub(super) weight: f64,
    /// When the endpoint last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub(super) since_ms: f64,
}

/// The status of an endpoint as a list names it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ListedStatus {
    Ready,
    Draining,
    Gone,
    /// A status of a later version of the protocol. Only a status that is known to mean ready gets
    /// new requests.
    #[serde(other)]
    Unknown,
}

impl ListedStatus {
    pub(super) fn state(self) -> EndpointState {
        match self {
            ListedStatus::Ready => EndpointState::Ready,
            ListedStatus::Draining | ListedStatus::Unknown => EndpointState::Draining,
            ListedStatus::Gone => EndpointState::Removed,
        }
    }
}

fn default_weight() -> f64 {
    1.0
}

impl Endpoint {
    /// An entry for a pool member from an operator's file.
    pub fn member(
        name: &str,
        address: SocketAddr,
        draining: bool,
        weight: f64,
        group: u16,
        since_ms: f64,
    ) -> Endpoint {
        let status = if draining {
            ListedStatus::Draining
        } else {
            ListedStatus::Ready
        };
        Endpoint {
            name: name.to_string(),
            address,
            zone: String::new(),
            kind: String::new(),
            group,
            status,
            weight,
            since_ms,
        }
    }

    /// When the endpoint last started, in Unix milliseconds; 0 for long ago.
    #[cfg(test)]
    pub fn since_ms(&self) -> f64 {
        self.since_ms
    }
}

/// Why a received list is rejected. The caller keeps the endpoints that it has, and asks for a
/// snapshot.
#[derive(Debug, Error)]
pub enum ListError {
    /// Not the JSON of a list.
    #[error("garbled list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Two entries with one name.
    #[error("a list names {name} twice")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// A delta to an earlier version than the one that is held.
    #[error("a list goes back from version {held} to {received}")]
    VersionWentBack {
        /// The version that this process holds.
        held: u64,
        /// The version of the list.
        received: u64,
    },
}

impl EndpointList {
    /// Parses and checks a list. `held_version` is the version that this process holds of the same
    /// discovery service, if any.
    ///
    /// # Errors
    ///
    /// See [`ListError`]. A snapshot may go back in version, as after a restart of discovery.
    pub(super) fn parse(json: &[u8], held_version: Option<u64>) -> Result<EndpointList, ListError> {
        let list: EndpointList = serde_json::from_slice(json)?;
        let mut names = FxHashSet::default();
        let duplicate = list
            .endpoints
            .iter()
            .find(|endpoint| !names.insert(endpoint.name.as_str()));
        if let Some(duplicate) = duplicate {
            return Err(ListError::DuplicateName {
                name: duplicate.name.clone(),
            });
        }
        // A delta to an earlier version says nothing about the endpoints that are held.
        match held_version {
            Some(held) if held > list.index && !list.snapshot => Err(ListError::VersionWentBack {
                held,
                received: list.index,
            }),
            _ => Ok(list),
        }
    }
}
