#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod api;
pub mod choice;
pub mod wire;

pub use choice::Balancer;
