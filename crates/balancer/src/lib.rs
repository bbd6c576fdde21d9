//! The decision module: which requests are admitted, where each attempt goes, and what may be
//! retried.
//!
//! The module is pure. It has no clock, no sockets and no shared state: the embedding proxy builds
//! a [`Balancer`] from [`Settings`] and a seed, passes in each [`Event`] with the time, and
//! performs the [`Action`]s that come back, in order. Equal settings, seeds and events give equal
//! actions.
//!
//! For each [`Event::Request`] there is exactly one final answer: a served attempt,
//! [`Action::Reject`] (the request had no effect, or repeating it is harmless) or [`Action::Fail`]
//! (nothing is promised).

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
