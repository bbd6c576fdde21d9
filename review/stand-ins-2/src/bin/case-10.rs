//! Case 10: a proxy that leaves service cuts the end of an answer that it is still writing.
//!
//! One process of the platform with an admin address, twenty backends. Clients ask for long answers, rest
//! for some seconds before they read on, and read all. With the disruption an operator drains the
//! process meanwhile (`PUT /healthcheck/fail`).
//!
//! How much the system holds for a connection whose client rests differs from machine to machine. So it
//! is measured first, with a process that is killed, and the answers are about as long.

use review_2::discovery::Discovery;
use review_2::http::{call, response};
use review_2::server::{self, Log, Reply};
use review_2::{entry, free_address, list, platform_config, run, Case, Program, Verdict};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 20;
/// How long clients rest. Either side may be still for 8 s.
const REST: Duration = Duration::from_secs(6);
/// An answer that no system holds whole, for the measurement.
const VERY_LONG: usize = 40 << 20;
const MEASURED: usize = 8;
/// The answers differ by this, and are this many.
const STEP: usize = 6 << 10;
const ANSWERS: usize = 100;

fn main() {
    run(play)
}

struct Proxy {
    program: Program,
    door: SocketAddr,
    control: SocketAddr,
}

fn start(case: &Case, name: &str) -> Option<Proxy> {
    // The last part of a path says how long the answer is.
    let entries: Vec<String> = (0..BACKENDS)
        .map(|number| {
            let name = format!("s-{number}");
            let address = server::start(case, &name, &Log::default(), |message| {
                let length = usize::from_str_radix(message.item(), 16).unwrap_or(0);
                Reply::Send(response("200 OK", "", &vec![b'r'; length]))
            });
            entry(&name, address, "ready")
        })
        .collect();
    let discovery = Discovery::start(case, "agent", 1, &entries, &[]);
    let (door, control) = (free_address(), free_address());
    let config = platform_config(
        discovery.address,
        &list(1, true, &entries),
        "automatic",
        "8c1f30d27a5be964",
    );
    let file = case.put(&format!("{name}.json"), &config);
    let variables = [
        ("NODE_CONFIG", file.to_str().unwrap()),
        ("NODE_LISTEN", &door.to_string()),
        ("NODE_CONTROL", &control.to_string()),
    ];
    let program = case.start(name, "", &variables);
    let up = b"GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    let is_up = case.until(Duration::from_secs(15), || {
        call(door, up, Duration::from_secs(1)).status() == 200
    });
    is_up.then_some(Proxy {
        program,
        door,
        control,
    })
}

/// What a client got: the bytes of the body, or `None` if its request was not served.
type Got = Option<usize>;

/// Clients ask for answers of these lengths, rest until [`REST`] is over, and read all.
fn ask(case: &Case, door: SocketAddr, lengths: &[usize]) -> Vec<thread::JoinHandle<Got>> {
    let begun = Instant::now();
    lengths
        .iter()
        .enumerate()
        .map(|(number, length)| {
            let (case, length) = (case.clone(), *length);
            thread::spawn(move || client(&case, door, begun, number, length))
        })
        .collect()
}

fn client(case: &Case, door: SocketAddr, begun: Instant, number: usize, length: usize) -> Got {
    let mut stream = TcpStream::connect(door).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .ok()?;
    let request = format!(
        "GET /api/{length:x} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {number:016x}\r\nRequest-Class: read\r\n\
         Tenant: acme\r\nRequest-Timeout-Ms: 4000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    thread::sleep(REST.saturating_sub(begun.elapsed()));
    let (mut got, mut chunk, mut head) = (Vec::new(), vec![0; 64 << 10], None);
    while head.is_none_or(|head| got.len() < head + length) {
        match stream.read(&mut chunk) {
            Ok(read @ 1..) => got.extend_from_slice(&chunk[..read]),
            _ => break,
        }
        head = head.or_else(|| {
            got.windows(4)
                .position(|window| window == b"\r\n\r\n")
                .map(|at| at + 4)
        });
    }
    let head = head?;
    if !got.starts_with(b"HTTP/1.1 200") {
        return None;
    }
    case.log(format!(
        "client {number}: {} of {length} bytes",
        got.len() - head
    ));
    Some(got.len() - head)
}

fn play(case: &Case) -> Verdict {
    let Some(measured) = start(case, "measured") else {
        return Verdict::CouldNotRun("the first process is not ready".into());
    };
    let clients = ask(case, measured.door, &[VERY_LONG; MEASURED]);
    thread::sleep(REST - Duration::from_secs(1));
    measured.program.signal("KILL");
    let held: Vec<usize> = clients
        .into_iter()
        .filter_map(|client| client.join().unwrap())
        .collect();
    let Some(least) = held
        .iter()
        .min()
        .copied()
        .filter(|least| *least < VERY_LONG)
    else {
        return Verdict::CouldNotRun("how much the system holds could not be measured".into());
    };
    case.log(format!(
        "the system holds {held:?} bytes of an answer that nobody reads"
    ));
    let lengths: Vec<usize> = (0..ANSWERS)
        .map(|n| least - STEP * ANSWERS / 5 + STEP * n)
        .collect();
    let Some(proxy) = start(case, "n0") else {
        return Verdict::CouldNotRun("the second process is not ready".into());
    };
    let clients = ask(case, proxy.door, &lengths);
    thread::sleep(Duration::from_millis(500));
    if case.trouble {
        let drain = b"PUT /healthcheck/fail HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n";
        let answer = call(proxy.control, drain, Duration::from_secs(2));
        case.log(format!("PUT /healthcheck/fail: {}", answer.text()));
        if answer.status() != 200 {
            return Verdict::CouldNotRun("the drain was not taken".into());
        }
    }
    let got: Vec<Got> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    if proxy.program.has_ended() {
        return Verdict::CouldNotRun("the process has ended".into());
    }
    let served = got.iter().flatten().count();
    let cut = lengths
        .iter()
        .zip(&got)
        .filter(|(length, got)| got.is_some_and(|got| got < **length))
        .count();
    if served < ANSWERS / 2 {
        return Verdict::CouldNotRun(format!("only {served} of {ANSWERS} requests were served"));
    }
    if cut == 0 {
        Verdict::Held(format!("all of {served} answers came whole"))
    } else {
        Verdict::Broken(format!("{cut} of {served} answers were cut, though nobody was still for 8 s and the process goes on"))
    }
}
