//! The changes that an HTTP proxy must make to the messages that it forwards, and the rules for
//! which requests may be retried.
//!
//! The rules are those of RFC 9110, section 7.6 (intermediaries), RFC 7239 (`Forwarded`) and RFC
//! 9209 (`Proxy-Status`). The crate does no I/O and keeps no state: the header functions change the
//! header map of one message in place. The proxy's gateway calls them for each request that it
//! sends to an endpoint and for each response that it sends to the client.
//!
//! - [`remove_hop_by_hop_headers`] removes the headers that belong to one connection.
//! - [`set_forwarded_headers`] records the client's address, and keeps the forwarding headers that
//!   the client sent only if the client is trusted.
//! - [`set_length_headers`] states the length of the body that is written; [`body_length`] reads the
//!   length that a received response states.
//! - [`append_via`] and [`append_proxy_status`] record the proxy, and whether a response
//!   came from an endpoint or from the proxy.
//! - [`retry_safety`] decides by the method of a request and the rule of its class whether a retry
//!   is safe.
//!
//! The caller must validate the framing of a message first; this crate only reads header values.

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
mod length;
mod retry;

pub use headers::{
    append_proxy_status, append_via, is_upgrade, remove_hop_by_hop_headers, set_forwarded_headers,
    PROXY_STATUS,
};
pub use length::{body_length, set_length_headers, BodyLength, RelayedMessage};
pub use retry::{retry_safety, RetryRule, RetrySafety};
