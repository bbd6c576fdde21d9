//! The wire format of the platform's simulator: frames of events and actions, and settings as JSON.
//! Only `schema.rs` contains the platform's own names of settings.
//!
//! All decisions are made by the balancer. Every read is checked against the end of the frame, so
//! that a malformed frame results in an error and never in a wrong event or a large allocation.

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

mod error;
mod frame;
mod host;
mod record;
mod reply;
mod schema;
mod settings;

pub use error::{FieldError, FrameError, HostError, SettingsError};
pub use frame::{Header, BATCH_HEADER, REPLY_HEADER};
pub use host::run;
pub use record::{parse_records, Record};
pub use reply::Reply;
pub use settings::parse_settings;
