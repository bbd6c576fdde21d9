//! The balancer decides which requests are admitted, which endpoint gets each attempt, and which
//! requests may be retried.
//!
//! The balancer performs no I/O. It has no clock, no sockets and no shared state: the embedding
//! proxy builds a [`Balancer`] from [`Settings`] and a seed, passes in each [`Event`] with the
//! time, and performs the returned [`Action`]s in order. Equal settings, seeds and events give
//! equal actions.
//!
//! Each [`Event::Request`] has exactly one final result: a served attempt, [`Action::Reject`] (the
//! request had no effect, or a retry is harmless) or [`Action::Fail`] (the request may have had an
//! effect).

#![forbid(unsafe_code)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::type_complexity,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::enum_glob_use,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod action;
mod admission;
mod balancer;
mod concurrency_limit;
mod discovery_backoff;
mod endpoint;
mod endpoints;
mod event;
mod learning;
mod outlier;
mod probation;
mod request;
mod retry;
mod selection;
mod settings;
mod slow_start;
mod snapshot;
mod tenant_quota;

pub use action::{Action, EndpointStatus, UnservedReason};
pub use balancer::Balancer;
pub use event::{
    EndpointId, EndpointInfo, EndpointState, Event, ListKind, Millis, Outcome, Report, RequestId,
};
pub use settings::{
    Class, DeduplicationScope, EffectClass, Objective, Permissions, Prices, ReportField, ReportVia,
    Rules, Settings, Tenant, WeightKind,
};
