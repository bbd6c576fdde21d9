//! Stand-ins for tests of the proxy: clients, endpoints and discovery on loopback sockets, with
//! ports that the system chooses, and faults of each. The stand-ins use threads and blocking
//! sockets, so that they share no code with what they test.
//!
//! | module | what it stands for |
//! | --- | --- |
//! | `client`, `message` | a client: requests, connections, responses |
//! | `endpoint`, `large`, `faults` | endpoints with scripted, fixed, large or faulty responses |
//! | `late_copies` | an endpoint that sends responses a second time, late |
//! | `discovery` | the platform's discovery service |
//! | `proxy`, `daemon` | the program, as its platform or an operator starts it |
//! | `links` | the network between the processes of a fleet, with faults |
//! | `malformed` | messages with a byte that makes them malformed |
//! | `mutation` | senders of malformed packets, texts and files |
//! | `response_script` | responses that are framed, paced and ended in each way |
//! | `unread` | clients that send more than is read, and endpoints that fail meanwhile |
//! | `golden`, `wait` | comparison with golden files; waiting for a condition |
//!
//! # Panics
//!
//! All functions panic, like an assertion, when a wait times out or a socket operation that the
//! test needs fails.

mod client;
mod daemon;
mod discovery;
mod endpoint;
mod faults;
mod golden;
mod large;
mod late_copies;
mod links;
mod malformed;
mod message;
mod mutation;
mod proxy;
mod response_script;
mod unread;
mod wait;

pub use client::{
    read_response, request_text, send_request, send_request_with_small_buffer, try_call,
};
pub use daemon::{free_address, free_addresses, resident_kib_of, Daemon, Folder, Process};
pub use discovery::{entry, list, Discovery};
pub use endpoint::{listen, ok, stop_listening, Backend};
pub use faults::{ArrivalRecorder, Fault, FullListener};
pub use golden::{assert_golden, hex, unhex};
pub use large::{quick, Large};
pub use late_copies::{Cascade, LateAnswer, LateCopies, SecondCopy};
pub use links::{LinkFaults, Links, NO_FAULTS};
pub use malformed::{malformed_at_every_place, MalformedMessage};
pub use message::Message;
pub use mutation::{mutation_count, Mutator};
pub use proxy::{config, spawn, Proxy};
pub use response_script::{ResponseEnd, ResponseFraming, ResponseScript};
pub use unread::{endpoints_that_turn_one_away, fill_connection};
pub use wait::{until, WAIT_TIMEOUT};
