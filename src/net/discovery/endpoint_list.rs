//! The endpoint list in the format of discovery, and the checks of a received list.

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

/// An entry of an endpoint list.
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
    /// The time of the last start, in Unix milliseconds; 0 if it is unknown.
    #[serde(default)]
    pub(super) since_ms: f64,
}

/// The status of an endpoint in a list.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ListedStatus {
    Ready,
    Draining,
    Gone,
    /// A status of a later version of the protocol. It counts as draining, as only endpoints that
    /// are known to be ready get new requests.
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
    /// Creates an entry for a pool member from an operator's file.
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

    /// Returns the time of the last start, in Unix milliseconds; 0 if it is unknown.
    #[cfg(test)]
    pub fn since_ms(&self) -> f64 {
        self.since_ms
    }
}

/// An error in a received list, which is rejected. The known endpoints stay in use, and the next
/// call fetches a snapshot.
#[derive(Debug, Error)]
pub enum ListError {
    /// The list is not valid JSON, or does not have the expected structure.
    #[error("malformed list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Two entries have the same name.
    #[error("malformed list: duplicate endpoint {name}")]
    DuplicateName {
        /// The duplicate name.
        name: String,
    },
    /// The list is a delta to an earlier version than the held one.
    #[error("delta to version {received}, which is before the held version {held}")]
    VersionWentBack {
        /// The held version.
        held: u64,
        /// The version of the received delta.
        received: u64,
    },
}

impl EndpointList {
    /// Parses and checks a list. `held_version` is the version that this process has from the same
    /// discovery service, if any.
    ///
    /// # Errors
    ///
    /// See [`ListError`]. A snapshot may have an earlier version, as after a restart of discovery.
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
        // A delta to an earlier version can't be applied to the known endpoints.
        match held_version {
            Some(held) if held > list.index && !list.snapshot => Err(ListError::VersionWentBack {
                held,
                received: list.index,
            }),
            _ => Ok(list),
        }
    }
}
