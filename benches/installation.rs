//! Overhead of `dewrun serve` compared with direct requests: `cargo bench --bench installation`.
//!
//! Closed-loop clients send GETs on persistent connections to two endpoints that return 100 bytes at
//! once, alternately directly and through dewrun, with 10, 1,000 and 100,000 routes. Then resident
//! memory is measured with 1,000 idle connections and with 100 concurrent responses of 1 GiB. Clients,
//! endpoints and dewrun share one machine, so only figures of the same run can be compared.

use dewrun_test_support::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
const RUN_PAIRS: usize = 5;
const RUN_DURATION: Duration = Duration::from_secs(2);

/// Results of one closed-loop run.
struct RunResult {
    per_s: f64,
    p50_us: f64,
    p99_us: f64,
    rejected: usize,
}

/// Runs `clients` closed-loop clients for `RUN_DURATION` and returns their throughput and latencies.
fn run_load(
    address: SocketAddr,
    clients: usize,
    path: &(dyn Fn(usize) -> String + Sync),
) -> RunResult {
    let over = AtomicBool::new(false);
    let begun = Instant::now();
    let (mut times, rejected) = thread::scope(|scope| {
        let all: Vec<_> = (0..clients)
            .map(|client| {
                let over = &over;
                scope.spawn(move || {
                    let mut stream = TcpStream::connect(address).expect("a connection");
                    let _ = stream.set_nodelay(true);
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    let (mut times, mut rejected) = (Vec::new(), 0);
                    while !over.load(Ordering::Relaxed) {
                        let request = format!(
                            "GET {} HTTP/1.1\r\nHost: a\r\n\r\n",
                            path(times.len() * clients + client)
                        );
                        let sent_at = Instant::now();
                        stream.write_all(request.as_bytes()).expect("it is written");
                        let response = Message::read(&mut reader).expect("a response");
                        times.push(sent_at.elapsed().as_secs_f64() * 1e6);
                        rejected += usize::from(response.status() != 200);
                    }
                    (times, rejected)
                })
            })
            .collect();
        thread::sleep(RUN_DURATION);
        over.store(true, Ordering::Relaxed);
        all.into_iter()
            .map(|one| one.join().expect("it ends"))
            .fold((Vec::new(), 0), |(mut all, n), (more, m)| {
                all.extend(more);
                (all, n + m)
            })
    });
    let took = begun.elapsed().as_secs_f64();
    times.sort_by(f64::total_cmp);
    let quantile = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
    RunResult {
        per_s: times.len() as f64 / took,
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        rejected,
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Starts dewrun with the given `[limits]` settings, one pool of endpoints and `routes` routes.
fn serve(
    folder: &Folder,
    limits: &str,
    endpoints: &[SocketAddr],
    routes: usize,
) -> (Daemon, SocketAddr) {
    let address = free_address();
    let members: Vec<String> = endpoints.iter().map(|b| format!("\"{b}\"")).collect();
    let mut text = format!(
        "[limits]\n{limits}\n[[listener]]\nname = \"l\"\naddress = \"{address}\"\n[[pool]]\nname = \"p\"\nmembers = [{}]\n",
        members.join(", ")
    );
    for n in 0..routes {
        text += &format!("[[route]]\npath = \"/r{n}/*\"\npool = \"p\"\n");
    }
    let file = folder.put("dewrun.toml", &text);
    let mut daemon = Daemon::start(
        DEWRUN,
        &["serve", "--config", file.to_str().expect("a path")],
        &[],
    );
    daemon.wait_until_listening(address);
    (daemon, address)
}

fn main() {
    let folder = Folder::new();
    let cores = thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores; {RUN_PAIRS} pairs of runs of {RUN_DURATION:?} each; medians");
    let endpoints = [quick(ok(&"x".repeat(100))), quick(ok(&"x".repeat(100)))];
    for (routes, clients) in [(10, 1), (10, 8), (10, 32), (1_000, 8), (100_000, 8)] {
        let (daemon, address) = serve(&folder, "", &endpoints, routes);
        let path = |n: usize| format!("/r{}/x", n.wrapping_mul(2_654_435_761) % routes);
        run_load(address, clients, &path);
        let (mut direct, mut proxied) = (Vec::new(), Vec::new());
        for _ in 0..RUN_PAIRS {
            direct.push(run_load(endpoints[0], clients, &path));
            proxied.push(run_load(address, clients, &path));
        }
        let of = |runs: &[RunResult], figure: fn(&RunResult) -> f64| {
            median(runs.iter().map(figure).collect())
        };
        let added = |figure: fn(&RunResult) -> f64| of(&proxied, figure) - of(&direct, figure);
        let total: f64 = proxied
            .iter()
            .map(|run| run.per_s * RUN_DURATION.as_secs_f64())
            .sum();
        println!(
            "{routes:>6} routes, {clients:>2} callers: {:>6.0} a second straight, {:>6.0} through; added p50 {:.0} us, p99 {:.0} us; \
             {} of {total:.0} not served; {} KiB resident",
            of(&direct, |run| run.per_s),
            of(&proxied, |run| run.per_s),
            added(|run| run.p50_us),
            added(|run| run.p99_us),
            proxied.iter().map(|run| run.rejected).sum::<usize>(),
            daemon.resident_kib(),
        );
    }
    measure_memory(&folder, endpoints[0]);
}

/// Prints the resident memory with idle connections and with concurrent large responses.
fn measure_memory(folder: &Folder, endpoint: SocketAddr) {
    let (daemon, address) = serve(folder, "sockets = 4096", &[endpoint], 1);
    let before = daemon.resident_kib();
    let idle: Vec<TcpStream> = (0..1_000)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("a connection");
            stream
                .write_all(b"GET /r0/x HTTP/1.1\r\nHost: a\r\n\r\n")
                .expect("it is written");
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            assert!(Message::read(&mut reader).is_some());
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let after = daemon.resident_kib();
    println!(
        "{} idle connections that carried a request: {before} KiB -> {after} KiB resident",
        idle.len()
    );
    drop(idle);

    let large = Large::start(1 << 30);
    let (daemon, address) = serve(folder, "sockets = 4096", &[large.address], 1);
    let begun = Instant::now();
    let read = AtomicU64::new(0);
    let peak = thread::scope(|scope| {
        for _ in 0..100 {
            let read = &read;
            scope.spawn(move || {
                let mut stream = TcpStream::connect(address).expect("a connection");
                stream
                    .write_all(b"GET /r0/large HTTP/1.1\r\nHost: a\r\n\r\n")
                    .expect("it is written");
                let mut part = vec![0; 64 << 10];
                while begun.elapsed() < Duration::from_secs(15) {
                    match stream.read(&mut part) {
                        Ok(n) if n > 0 => read.fetch_add(n as u64, Ordering::Relaxed),
                        _ => break,
                    };
                }
            });
        }
        let mut peak = 0;
        while begun.elapsed() < Duration::from_secs(15) {
            peak = peak.max(daemon.resident_kib());
            thread::sleep(Duration::from_millis(100));
        }
        peak
    });
    let passed = read.load(Ordering::Relaxed) as f64 / (1 << 30) as f64;
    println!("100 answers of 1 GiB at once, read for 15 s: {passed:.1} GiB passed, {peak} KiB resident at the most");
}
