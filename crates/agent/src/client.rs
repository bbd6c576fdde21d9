//! The operator's side of the fleet protocol: sends requests to the fleet address of a process, and
//! formats the answers. All functions block.

use crate::clock;
use crate::error::ClientError;
use crate::protocol::{
    to_json, Challenge, Order, OrderResult, OrderStatus, ReplicationStatus, Request, IO_TIMEOUT,
    MAX_ANSWER_BYTES, ORDER_PROOF_CONTEXT,
};
use crate::replication::desired_state_text;
use crate::status::{Status, Summary};
use dewrun_fleet::packet::Seal;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::io::{self, BufRead, BufReader, Read, Take, Write};
use std::net::{SocketAddr, TcpStream};

/// A connection to a process of the fleet.
struct Connection {
    peer: SocketAddr,
    stream: TcpStream,
    reader: BufReader<Take<TcpStream>>,
}

impl Connection {
    fn open(peer: SocketAddr) -> Result<Connection, ClientError> {
        Connection::connect(peer).map_err(|source| ClientError::Io { peer, source })
    }

    fn connect(peer: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&peer, IO_TIMEOUT)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        let reader = BufReader::new(stream.try_clone()?.take(MAX_ANSWER_BYTES));
        Ok(Connection {
            peer,
            stream,
            reader,
        })
    }

    fn request<T: for<'de> Deserialize<'de>>(
        &mut self,
        request: Request,
    ) -> Result<T, ClientError> {
        let peer = self.peer;
        let line = self
            .exchange(request)
            .map_err(|source| ClientError::Io { peer, source })?;
        serde_json::from_str(&line).map_err(|source| ClientError::MalformedAnswer { peer, source })
    }

    fn exchange(&mut self, request: Request) -> io::Result<String> {
        self.stream.write_all(format!("{request}\n").as_bytes())?;
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        Ok(line)
    }
}

/// Requests a process's report on its fleet.
///
/// # Errors
///
/// Returns a [`ClientError`] if there is no valid answer in time.
pub fn fetch_status(peer: SocketAddr) -> Result<Status, ClientError> {
    Connection::open(peer)?.request(Request::Status)
}

/// Requests a process's short report on its fleet.
///
/// # Errors
///
/// Returns a [`ClientError`] if there is no valid answer in time.
pub fn fetch_summary(peer: SocketAddr) -> Result<Summary, ClientError> {
    Connection::open(peer)?.request(Request::Summary)
}

/// Requests a process's report on the replicated state.
///
/// # Errors
///
/// Returns a [`ClientError`] if there is no valid answer in time.
pub fn fetch_replication_status(peer: SocketAddr) -> Result<ReplicationStatus, ClientError> {
    Connection::open(peer)?.request(Request::ReplicationStatus)
}

/// Places an order at one process, which sends it to the others.
///
/// # Errors
///
/// Returns [`ClientError::OrderRejected`] if the process does not accept the order, and another
/// [`ClientError`] if there is no valid answer in time.
pub fn place_order(peer: SocketAddr, secret: &[u8], order: &Order) -> Result<(), ClientError> {
    let mut connection = Connection::open(peer)?;
    let Challenge { nonce, fleet } = connection.request(Request::Challenge)?;
    let json = to_json(order);
    let proof = Seal::new(&fleet, secret).proof(ORDER_PROOF_CONTEXT, &nonce, json.as_bytes());
    let result: OrderResult = connection.request(Request::Order {
        proof: &proof,
        json: &json,
    })?;
    match result.error {
        None => Ok(()),
        Some(reason) => Err(ClientError::OrderRejected { peer, reason }),
    }
}

/// Formats the orders of a process as a table.
pub fn orders_table(status: &ReplicationStatus) -> String {
    let mut text = format!(
        "orders, as {} at {} holds them\n\n",
        status.name, status.address
    );
    text += &format!("{:<40} {:<8} {:<16} given at\n", "member", "order", "by");
    for (target, all) in &status.orders {
        for (index, order) in all.iter().enumerate() {
            let at = clock::format_date(order.at_ms);
            let note = if index > 0 {
                "  (given without knowledge of the first, which holds)"
            } else {
                ""
            };
            text += &format!(
                "{target:<40} {:<8} {:<16} {at}{note}\n",
                desired_state_text(order.desired_state),
                order.by
            );
        }
    }
    text
}

/// Describes the differences between the replicated states of two processes, and how each will be
/// resolved, one per line.
pub fn differences(a: &ReplicationStatus, b: &ReplicationStatus) -> Vec<String> {
    let mut lines = differing_origins(a, b);
    lines.extend(differing_orders(a, b));
    lines
}

fn differing_origins(a: &ReplicationStatus, b: &ReplicationStatus) -> Vec<String> {
    let mut lines = Vec::new();
    let origins: BTreeSet<&String> = a
        .version_vector
        .keys()
        .chain(b.version_vector.keys())
        .collect();
    for origin in origins {
        let version = |status: &ReplicationStatus| {
            status
                .version_vector
                .get(origin)
                .copied()
                .unwrap_or_default()
        };
        let (one, other) = (version(a), version(b));
        if one != other {
            let (ahead, behind, count) = if one > other {
                (&a.name, &b.name, one - other)
            } else {
                (&b.name, &a.name, other - one)
            };
            lines.push(format!(
                "{ahead} has {count} entries of writer {origin} that {behind} lacks: {behind} will take them"
            ));
        }
    }
    lines
}

fn differing_orders(a: &ReplicationStatus, b: &ReplicationStatus) -> Vec<String> {
    let mut lines = Vec::new();
    let targets: BTreeSet<&String> = a.orders.keys().chain(b.orders.keys()).collect();
    for target in targets {
        let (one, other) = (a.orders.get(target), b.orders.get(target));
        if one != other {
            let text = |all: Option<&Vec<OrderStatus>>| match all.and_then(|all| all.first()) {
                Some(order) => format!(
                    "{} by {}",
                    desired_state_text(order.desired_state),
                    order.by
                ),
                None => "none".into(),
            };
            lines.push(format!(
                "{target}: {} at {}, {} at {}: one given with knowledge of the other holds, else the more careful",
                text(one),
                a.name,
                text(other),
                b.name
            ));
        }
    }
    lines
}
