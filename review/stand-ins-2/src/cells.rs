//! What the case on cells rests on: a fleet of three processes in front of two cells of servers, and
//! clients that give up and send a keyed order again with the same key.

use crate::http::{call, response};
use crate::server::{self, Log, Reply};
use crate::{free_address, Case};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// For how long the servers of a cell drop a repeat of an order.
pub const WINDOW: Duration = Duration::from_secs(4);
/// How long an order takes, and when its client gives it up.
const WORK: Duration = Duration::from_millis(1_500);
pub const PATIENCE: Duration = Duration::from_millis(1_000);
pub const ORDERS: usize = 30;

/// For comparison, with PLAIN=1: both classes have the same window.
pub fn plain() -> bool {
    std::env::var("PLAIN").is_ok_and(|value| value == "1")
}

/// A server of a cell.
#[derive(Clone)]
pub struct Member {
    pub name: &'static str,
    pub address: SocketAddr,
    pub cell: u16,
}

/// Starts the two servers of each of two cells.
pub fn members(case: &Case, log: &Log) -> Vec<Member> {
    [("a1", 1), ("a2", 1), ("b1", 2), ("b2", 2)]
        .into_iter()
        .map(|(name, cell)| {
            let address = server::start(case, name, log, |_| {
                Reply::After(WORK, response("200 OK", "", b"ordered"))
            });
            Member {
                name,
                address,
                cell,
            }
        })
        .collect()
}

/// A process of the fleet.
pub struct Instance {
    pub door: SocketAddr,
    pub fleet: SocketAddr,
}

/// Writes the file of one process.
fn site(
    case: &Case,
    number: usize,
    door: SocketAddr,
    all: &[SocketAddr],
    members: &[Member],
) -> PathBuf {
    let voters: Vec<String> = all.iter().map(|address| format!("\"{address}\"")).collect();
    let servers: Vec<String> = members
        .iter()
        .map(|m| {
            format!(
                "  {{ name = \"{}\", address = \"{}\", cell = {} }},\n",
                m.name, m.address, m.cell
            )
        })
        .collect();
    let text = format!(
        r#"[instance]
name = "i{number}"

[fleet]
name = "prairie"
address = "{}"
members = [{}]

[[listener]]
name = "public"
address = "{door}"

[[pool]]
name = "shop"
members = [
{}]
warm_up = "0s"

[[class]]
name = "default"

[[class]]
name = "order"
effect = "keyed"
window = "{}s"
scope = "cell"
deadline = "3s"

[[class]]
name = "report"
effect = "keyed"
window = "{}s"
scope = "cell"
deadline = "3s"

[[route]]
path = "/orders/*"
pool = "shop"
class = "order"

[[route]]
path = "/reports/*"
pool = "shop"
class = "report"

[[route]]
pool = "shop"
"#,
        all[number],
        voters.join(", "),
        servers.concat(),
        WINDOW.as_secs(),
        if plain() { WINDOW.as_secs() } else { 20 },
    );
    case.put(&format!("i{number}.toml"), &text)
}

/// Starts three processes and waits until each serves. `None` if one does not.
pub fn fleet(case: &Case, members: &[Member]) -> Option<Vec<Instance>> {
    let all: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let instances: Vec<Instance> = (0..3)
        .map(|number| {
            let door = free_address();
            let file = site(case, number, door, &all, members);
            let arguments = format!("serve --config {}", file.display());
            case.start(&format!("i{number}"), &arguments, &[]);
            Instance {
                door,
                fleet: all[number],
            }
        })
        .collect();
    let serves = |instance: &Instance| {
        let request = b"GET /ready HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n";
        case.until(Duration::from_secs(15), || {
            call(instance.door, request, Duration::from_secs(5)).status() == 200
        })
    };
    let are_up = instances.iter().all(serves);
    // The processes know each other within a second.
    thread::sleep(Duration::from_secs(1));
    are_up.then_some(instances)
}

/// All clients send their order at once, each to one of the processes, and give it up after
/// [`PATIENCE`]. Returns when all have.
pub fn send_orders(case: &Case, instances: &[Instance], round: &str) {
    let clients: Vec<_> = (0..ORDERS)
        .map(|order| {
            let (case, door, round) = (case.clone(), instances[order % instances.len()].door, round.to_string());
            thread::spawn(move || {
                let request = format!(
                    "POST /orders/{order} HTTP/1.1\r\nHost: shop.example\r\nIdempotency-Key: key-{order}\r\n\
                     Content-Length: 5\r\n\r\norder"
                );
                let answer = call(door, request.as_bytes(), PATIENCE);
                case.log(format!("{round}: order {order}: {}", answer.text()));
            })
        })
        .collect();
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
}

/// Waits until no server works any more, then returns the orders that began in both cells within one
/// window, as the servers saw them. Within a cell a repeat is dropped.
pub fn run_in_both_cells(case: &Case, members: &[Member], log: &Log) -> (usize, Vec<String>) {
    thread::sleep(WORK);
    let mut begun: BTreeMap<String, Vec<(u16, Instant)>> = BTreeMap::new();
    for received in log.lock().unwrap().iter() {
        let Some(key) = received.message.header("idempotency-key") else {
            continue;
        };
        let cell = members
            .iter()
            .find(|member| member.name == received.server)
            .map_or(0, |member| member.cell);
        begun
            .entry(key.to_string())
            .or_default()
            .push((cell, received.at));
    }
    let mut twice = Vec::new();
    for (key, runs) in &begun {
        let is_twice = runs.iter().enumerate().any(|(n, (cell, at))| {
            runs[n + 1..]
                .iter()
                .any(|(other, later)| other != cell && later.duration_since(*at) < WINDOW)
        });
        let cells: Vec<u16> = runs.iter().map(|(cell, _)| *cell).collect();
        case.log(format!("{key}: began in cells {cells:?}"));
        if is_twice {
            twice.push(key.clone());
        }
    }
    (begun.len(), twice)
}
