//! Service discovery: the endpoint list, and how this process keeps up with it.
//!
//! | module | job |
//! | --- | --- |
//! | [`endpoint_list`] | the list as discovery sends it, and which lists are rejected |
//! | [`directory`] | ids, addresses and states of the endpoints by the latest list, and who is drained in spite of it |
//! | [`call`] | one HTTP call: a snapshot, or a watch |
//! | [`subscription`] | watches one after the other, by the timeouts and the backoff of `dewrun-discovery` |
//!
//! # When discovery is down
//!
//! The [`Directory`] keeps the endpoints of the last list; nothing in it expires, and requests go
//! on. A [`Subscription`] calls discovery again and again and never gives up
//! (`dewrun_discovery::Watch` has the timeouts and the backoff). One warning is logged for each
//! outage, and where lists are polled a line for each call that fails.

mod call;
mod directory;
mod endpoint_list;
mod subscription;

pub use call::fetch_snapshot;
pub use directory::{stable_hash, Directory, DirectoryChange, DrainResult, EndpointRecord};
pub use endpoint_list::{Endpoint, EndpointList};
pub use subscription::{ListFreshness, Subscription};
