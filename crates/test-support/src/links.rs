//! Links between processes that speak UDP and TCP: each pair has a way of its own in each
//! direction, on which packets are lost, doubled, late and out of order, or don't pass at all. A
//! TCP connection goes by the way of the one that opens it; while that way or the one back is cut
//! nothing passes on it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How packets fare on all ways that are not cut.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkFaults {
    /// The part that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub twice: f64,
    /// The longest delay; each has one of its own, so that they overtake each other.
    pub delay: Duration,
    /// A part that is late by up to this much more.
    pub late: (f64, Duration),
}

/// Nothing goes wrong.
pub const NO_FAULTS: LinkFaults = LinkFaults {
    loss: 0.0,
    twice: 0.0,
    delay: Duration::ZERO,
    late: (0.0, Duration::ZERO),
};

/// Where TCP comes in for a pair, and where it goes on to.
type Door = (TcpListener, (usize, usize), SocketAddr);

struct Ways {
    weather: Mutex<LinkFaults>,
    cut: Mutex<HashMap<(usize, usize), bool>>,
    doors: Mutex<Vec<Door>>,
    late: Mutex<BinaryHeap<Reverse<(Instant, u64, Parcel)>>>,
    wake: Condvar,
    ended: AtomicBool,
    chance: AtomicU64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Parcel {
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl Ways {
    /// A number from 0 to 1 (SplitMix64).
    fn chance(&self) -> f64 {
        let mut z = self
            .chance
            .fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn is_cut(&self, pair: (usize, usize)) -> bool {
        self.cut
            .lock()
            .unwrap()
            .get(&pair)
            .copied()
            .unwrap_or(false)
    }

    fn carry(&self, socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
        let weather = *self.weather.lock().unwrap();
        if self.chance() < weather.loss {
            return;
        }
        let copies = 1 + usize::from(self.chance() < weather.twice);
        for _ in 0..copies {
            let mut delay = weather.delay.mul_f64(self.chance());
            if self.chance() < weather.late.0 {
                delay += weather.late.1.mul_f64(self.chance());
            }
            if delay.is_zero() {
                let _ = socket.send_to(bytes, to);
            } else {
                let parcel = Parcel {
                    to,
                    bytes: bytes.to_vec(),
                };
                let number = self.chance.fetch_add(1, Ordering::Relaxed);
                self.late
                    .lock()
                    .unwrap()
                    .push(Reverse((Instant::now() + delay, number, parcel)));
                self.wake.notify_one();
            }
        }
    }
}

/// Links among some processes; they end when this is dropped.
pub struct Links {
    ways: Arc<Ways>,
    at: HashMap<(usize, usize), SocketAddr>,
}

impl Links {
    /// Joins each pair of these addresses.
    pub fn among(addresses: &[SocketAddr], seed: u64) -> Links {
        let ways = Arc::new(Ways {
            weather: Mutex::new(NO_FAULTS),
            cut: Mutex::default(),
            doors: Mutex::default(),
            late: Mutex::default(),
            wake: Condvar::new(),
            ended: AtomicBool::new(false),
            chance: AtomicU64::new(seed),
        });
        let mut at = HashMap::new();
        for from in 0..addresses.len() {
            for to in (0..addresses.len()).filter(|to| *to != from) {
                let (socket, listener) = a_port();
                socket
                    .set_read_timeout(Some(Duration::from_millis(200)))
                    .expect("a time-out");
                at.insert((from, to), socket.local_addr().expect("its address"));
                let (ways, address) = (ways.clone(), addresses[to]);
                let way = thread::Builder::new().stack_size(256 << 10);
                let udp = ways.clone();
                way.spawn(move || link(&udp, &socket, (from, to), address))
                    .expect("a thread");
                listener
                    .set_nonblocking(true)
                    .expect("a listener that does not wait");
                ways.doors
                    .lock()
                    .unwrap()
                    .push((listener, (from, to), address));
            }
        }
        let post = ways.clone();
        thread::spawn(move || deliver(&post));
        let doors = ways.clone();
        thread::spawn(move || open_doors(&doors));
        Links { ways, at }
    }

    /// Where the first of a pair reaches the second.
    pub fn way(&self, from: usize, to: usize) -> SocketAddr {
        self.at[&(from, to)]
    }

    /// Sets how packets fare.
    pub fn set_faults(&self, weather: LinkFaults) {
        *self.ways.weather.lock().unwrap() = weather;
    }

    /// Cuts one direction, or mends it.
    pub fn cut(&self, from: usize, to: usize, is_cut: bool) {
        self.ways.cut.lock().unwrap().insert((from, to), is_cut);
    }

    /// Mends everything.
    pub fn repair(&self) {
        self.ways.cut.lock().unwrap().clear();
        self.set_faults(NO_FAULTS);
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.ways.ended.store(true, Ordering::SeqCst);
        self.ways.wake.notify_all();
    }
}

/// A port that is free for both.
fn a_port() -> (UdpSocket, TcpListener) {
    for _ in 0..1_000 {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("its address");
        if let Ok(listener) = TcpListener::bind(address) {
            return (socket, listener);
        }
    }
    panic!("no port is free for both");
}

/// Takes the connections in; one thread for all ways.
fn open_doors(ways: &Arc<Ways>) {
    while !ways.ended.load(Ordering::SeqCst) {
        for (listener, pair, address) in ways.doors.lock().unwrap().iter() {
            while let Ok((near, _)) = listener.accept() {
                let (ways, pair, address) = (ways.clone(), *pair, *address);
                thread::spawn(move || {
                    let Ok(far) = TcpStream::connect_timeout(&address, Duration::from_secs(1))
                    else {
                        return;
                    };
                    let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let (from, to) = pair;
                    let back = ways.clone();
                    thread::spawn(move || pass(&back, (to, from), far2, near2));
                    pass(&ways, (from, to), near, far);
                });
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// Passes bytes on until either end closes; what comes while the way is cut waits, as it would be
/// sent again.
fn pass(ways: &Ways, pair: (usize, usize), mut from: TcpStream, mut to: TcpStream) {
    let _ = from.set_nonblocking(false);
    let _ = from.set_read_timeout(Some(Duration::from_millis(200)));
    let mut bytes = vec![0; 16_384];
    while !ways.ended.load(Ordering::SeqCst) {
        let n = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        while ways.is_cut(pair) && !ways.ended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let delay = ways.weather.lock().unwrap().delay.mul_f64(ways.chance());
        thread::sleep(delay);
        if to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

fn link(ways: &Ways, socket: &UdpSocket, pair: (usize, usize), to: SocketAddr) {
    let mut bytes = vec![0; 65_536];
    while !ways.ended.load(Ordering::SeqCst) {
        // An error is a wait that ended, or says that nobody was there for the packet before.
        let Ok((n, _)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        if !ways.is_cut(pair) {
            ways.carry(socket, to, &bytes[..n]);
        }
    }
}

fn deliver(ways: &Ways) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut late = ways.late.lock().unwrap();
    while !ways.ended.load(Ordering::SeqCst) {
        let now = Instant::now();
        let wait = match late.peek() {
            Some(Reverse((at, ..))) if *at <= now => {
                if let Some(Reverse((_, _, parcel))) = late.pop() {
                    let _ = socket.send_to(&parcel.bytes, parcel.to);
                }
                continue;
            }
            Some(Reverse((at, ..))) => *at - now,
            None => Duration::from_millis(200),
        };
        late = ways.wake.wait_timeout(late, wait).unwrap().0;
    }
}
