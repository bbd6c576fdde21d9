//! An operator's side: asks a process at its fleet's address, and shows what it says. Everything
//! here blocks.

use crate::clock;
use crate::protocol::{
    json, Challenge, Order, OrderResult, OrderStatus, ReplicaStatus, ANSWER_MOST, ORDER, PATIENCE,
    PREFIX,
};
use crate::replica::wish_text;
use dewrun_fleet::packet::Seal;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Take, Write};
use std::net::{SocketAddr, TcpStream};

/// A connection to a process.
struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    read: BufReader<Take<TcpStream>>,
}

impl Connection {
    fn open(address: SocketAddr) -> Result<Connection, String> {
        let failed = |e: std::io::Error| format!("{address}: {e}");
        let stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(failed)?;
        stream.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
        let read = BufReader::new(stream.try_clone().map_err(failed)?.take(ANSWER_MOST));
        Ok(Connection {
            address,
            stream,
            read,
        })
    }

    fn ask<T: for<'de> Deserialize<'de>>(&mut self, question: &str) -> Result<T, String> {
        let address = self.address;
        let failed = |e: std::io::Error| format!("{address}: {e}");
        self.stream
            .write_all(format!("{PREFIX}{question}\n").as_bytes())
            .map_err(failed)?;
        let mut line = String::new();
        self.read.read_line(&mut line).map_err(failed)?;
        serde_json::from_str(&line)
            .map_err(|e| format!("{address}: not an answer of a dewrun fleet: {e}"))
    }
}

/// Asks a process.
pub fn ask<T: for<'de> Deserialize<'de>>(address: SocketAddr, question: &str) -> Result<T, String> {
    Connection::open(address)?.ask(question)
}

/// Gives an order at one process.
pub fn give(address: SocketAddr, secret: &[u8], order: &Order) -> Result<(), String> {
    let mut connection = Connection::open(address)?;
    let Challenge { nonce, fleet } = connection.ask("challenge")?;
    let text = json(order);
    let proof = Seal::new(&fleet, secret).proof(ORDER, &nonce, text.as_bytes());
    let result: OrderResult = connection.ask(&format!("order {proof} {text}"))?;
    result
        .error
        .map_or(Ok(()), |why| Err(format!("{address}: {why}")))
}

/// The orders as a table.
pub fn orders_table(held: &ReplicaStatus) -> String {
    let mut text = format!(
        "orders, as {} at {} holds them\n\n",
        held.name, held.address
    );
    text += &format!("{:<40} {:<8} {:<16} given at\n", "member", "order", "by");
    for (target, all) in &held.orders {
        for (n, order) in all.iter().enumerate() {
            let at = clock::date_text(order.at_ms);
            let beside = if n > 0 {
                "  (given without knowledge of the first, which holds)"
            } else {
                ""
            };
            text += &format!(
                "{target:<40} {:<8} {:<16} {at}{beside}\n",
                wish_text(order.wish),
                order.by
            );
        }
    }
    text
}

/// What two processes hold differently, and how that will be settled; empty if nothing.
pub fn differences(a: &ReplicaStatus, b: &ReplicaStatus) -> Vec<String> {
    let mut lines = unequal_writers(a, b);
    lines.extend(unequal_orders(a, b));
    lines
}

fn unequal_writers(a: &ReplicaStatus, b: &ReplicaStatus) -> Vec<String> {
    let mut lines = Vec::new();
    let writers: BTreeSet<&String> = a.known.keys().chain(b.known.keys()).collect();
    for writer in writers {
        let of = |held: &ReplicaStatus| held.known.get(writer).copied().unwrap_or_default();
        let (one, other) = (of(a), of(b));
        if one != other {
            let (ahead, behind, n) = if one > other {
                (&a.name, &b.name, one - other)
            } else {
                (&b.name, &a.name, other - one)
            };
            lines.push(format!(
                "{ahead} has {n} entries of writer {writer} that {behind} lacks: {behind} will take them"
            ));
        }
    }
    lines
}

fn unequal_orders(a: &ReplicaStatus, b: &ReplicaStatus) -> Vec<String> {
    let mut lines = Vec::new();
    let targets: BTreeSet<&String> = a.orders.keys().chain(b.orders.keys()).collect();
    for target in targets {
        let (one, other) = (a.orders.get(target), b.orders.get(target));
        if one != other {
            let text = |all: Option<&Vec<OrderStatus>>| match all.and_then(|all| all.first()) {
                Some(order) => format!("{} by {}", wish_text(order.wish), order.by),
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
