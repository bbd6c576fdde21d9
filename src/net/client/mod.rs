//! The client side: connections from clients, from accept to close.
//!
//! ```text
//! listener ──accept──> ClientConnection ──hyper──> RequestHandler ──> response
//!    │                    │      ▲
//!    │ no descriptor      │      └── eviction, timeouts and graceful shutdown request its close
//!    └──> eviction        └── closed by its client: its request is cancelled
//! ```
//!
//! | module | purpose |
//! | --- | --- |
//! | `accept` | accepts connections, within the clients' share of descriptors |
//! | `connection` | the state of one connection, and when it may be closed |
//! | `serve` | runs HTTP/1.1 on one connection until it ends |
//! | `eviction` | closes a connection to make room for a new one |
//! | `maintenance` | closes connections that are overdue or have been idle for too long |
//! | `drain` | whether this process is draining; [`dewrun_admin`] has the stages |
//! | `shutdown` | graceful shutdown: waits for the requests in progress, then closes |
//! | `handler` | the interface to request handling: the gateway, or the platform's handler |
//! | `responses` | responses of this process's own |
//!
//! A connection on which a complete request was received is not closed before its response is
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
