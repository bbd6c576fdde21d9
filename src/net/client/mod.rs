//! The client side: connections from clients, from accept to close.
//!
//! ```text
//! listener ──accept──> ClientConnection ──hyper──> RequestHandler ──> response
//!    │                    │      ▲
//!    │ no descriptor      │      └── eviction, time-outs and graceful shutdown request its close
//!    └──> eviction        └── dropped by its client: the request in it is cancelled
//! ```
//!
//! | module | job |
//! | --- | --- |
//! | `accept` | takes connections in, within the share of descriptors that clients have |
//! | `connection` | what is known of one connection, and when it may be closed |
//! | `serve` | runs HTTP/1.1 on one connection until it ends |
//! | `eviction` | closes an idle connection to make room for a new one |
//! | `maintenance` | closes connections that are overdue or idle for too long |
//! | `drain` | whether this process takes new work; [`dewrun_admin`] has the stages |
//! | `shutdown` | graceful shutdown: answers what was taken, then closes |
//! | `handler` | the interface to request handling: the gateway, or the platform's handler |
//! | `responses` | responses of this process's own |
//!
//! A connection of which a complete request was taken is never closed before its response is
//! written.

mod accept;
mod connection;
mod drain;
mod eviction;
mod handler;
mod maintenance;
mod responses;
mod serve;
mod server;
mod shutdown;

pub use connection::ClientConnection;
pub use drain::DrainState;
pub use handler::{ClientResponse, RequestError, RequestHandler};
pub use responses::{plain_response, rejection, OVERLOAD_RETRY_AFTER_MS};
pub use server::{ClientServer, ClientTimeouts};
