//! What the platform's simulator speaks: frames of events and actions, and settings as JSON.

#![forbid(unsafe_code)]

mod wire;

pub use wire::{
    parse_records, parse_settings, Header, Malformed, Record, Reply, BATCH_HEADER, REPLY_HEADER,
};
