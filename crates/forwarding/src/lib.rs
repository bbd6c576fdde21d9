//! What an HTTP proxy must do to the messages that it forwards, and which requests may be retried.
//!
//! The rules are those of RFC 9110, section 7.6 (intermediaries), RFC 7239 (`Forwarded`) and RFC
//! 9209 (`Proxy-Status`). The crate does no I/O and keeps no state: every function takes the header
//! map of one message and changes it in place. The proxy's gateway calls the functions for each
//! request, on its way to an endpoint, and for each response, on its way to the client.
//!
//! - [`remove_hop_by_hop_headers`] removes the headers that belong to one connection.
//! - [`set_forwarded_headers`] records the client's address, and keeps the client's own claims only
//!   if the client is trusted.
//! - [`append_via`] and [`append_proxy_status`] record the proxy, and where a response came from.
//! - [`retry_safety`] decides by the request's method and class whether a retry could do harm.
//!
//! The caller must have checked the message's framing first: this crate reads header values only.

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

mod headers;
mod retry;

pub use headers::{
    append_proxy_status, append_via, is_upgrade, remove_hop_by_hop_headers, set_forwarded_headers,
    PROXY_STATUS,
};
pub use retry::{retry_safety, RetryRule, RetrySafety};
