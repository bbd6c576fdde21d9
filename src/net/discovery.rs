//! Service discovery: the endpoint list, and the subscription to it.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`endpoint_list`] | the list as discovery sends it, and which lists are rejected |
//! | [`directory`] | ids, addresses and states of the endpoints by the latest list, and drains that override it |
//! | [`call`] | one HTTP call: a snapshot, or a watch |
//! | [`subscription`] | keeps a watch open, with the timeouts and the backoff of `dewrun-discovery` |
//!
//! # When discovery is down
//!
//! The [`Directory`] keeps the endpoints of the last list; they do not expire, and
//! requests continue. A [`Subscription`] retries its calls to discovery without end
//! (`dewrun_discovery::Watch` has the timeouts and the backoff). It logs one warning for each
//! outage, and if lists are polled, one line for each failed call.

mod call;
mod directory;
mod endpoint_list;
mod subscription;

pub use call::fetch_snapshot;
pub use directory::{stable_hash, Directory, DirectoryChange, DrainResult, EndpointRecord};
pub use endpoint_list::{Endpoint, EndpointList};
pub use subscription::{ListFreshness, Subscription};
