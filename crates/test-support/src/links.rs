//! Links between processes that use UDP and TCP. Each pair of processes has one link per direction,
//! on which packets can be lost, duplicated, delayed, reordered or blocked. A TCP connection uses
//! the link of the process that opens it for one direction and the reverse link for the other;
//! nothing passes in a direction that is cut.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Faults of all links that are not cut.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkFaults {
    /// Fraction of packets that are lost.
    pub loss: f64,
    /// Fraction of packets that are delivered twice.
    pub twice: f64,
    /// Maximum delay; each packet is delayed by a random part of it, so packets are reordered.
    pub delay: Duration,
    /// Fraction of packets with an additional delay, and the maximum of that delay.
    pub late: (f64, Duration),
}

/// Links without loss, duplicates or delay.
pub const NO_FAULTS: LinkFaults = LinkFaults {
    loss: 0.0,
    twice: 0.0,
    delay: Duration::ZERO,
    late: (0.0, Duration::ZERO),
};

/// The TCP listener of a link, its pair of processes, and the address it forwards to.
type LinkListener = (TcpListener, (usize, usize), SocketAddr);

struct LinkState {
    faults: Mutex<LinkFaults>,
    cut: Mutex<HashMap<(usize, usize), bool>>,
    listeners: Mutex<Vec<LinkListener>>,
    delayed: Mutex<BinaryHeap<Reverse<(Instant, u64, Packet)>>>,
    wake: Condvar,
    ended: AtomicBool,
    random_state: AtomicU64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Packet {
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl LinkState {
    /// Returns a random number from 0 to 1 (SplitMix64).
    fn random(&self) -> f64 {
        let mut z = self
            .random_state
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

    fn forward(&self, socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
        let faults = *self.faults.lock().unwrap();
        if self.random() < faults.loss {
            return;
        }
        let copies = 1 + usize::from(self.random() < faults.twice);
        for _ in 0..copies {
            let mut delay = faults.delay.mul_f64(self.random());
            if self.random() < faults.late.0 {
                delay += faults.late.1.mul_f64(self.random());
            }
            if delay.is_zero() {
                let _ = socket.send_to(bytes, to);
            } else {
                let packet = Packet {
                    to,
                    bytes: bytes.to_vec(),
                };
                let number = self.random_state.fetch_add(1, Ordering::Relaxed);
                self.delayed.lock().unwrap().push(Reverse((
                    Instant::now() + delay,
                    number,
                    packet,
                )));
                self.wake.notify_one();
            }
        }
    }
}

/// Links among some processes; all links are closed when this is dropped.
pub struct Links {
    state: Arc<LinkState>,
    at: HashMap<(usize, usize), SocketAddr>,
}

impl Links {
    /// Links each pair of these addresses.
    pub fn among(addresses: &[SocketAddr], seed: u64) -> Links {
        let state = Arc::new(LinkState {
            faults: Mutex::new(NO_FAULTS),
            cut: Mutex::default(),
            listeners: Mutex::default(),
            delayed: Mutex::default(),
            wake: Condvar::new(),
            ended: AtomicBool::new(false),
            random_state: AtomicU64::new(seed),
        });
        let mut at = HashMap::new();
        for from in 0..addresses.len() {
            for to in (0..addresses.len()).filter(|to| *to != from) {
                let (socket, listener) = bind_both();
                socket
                    .set_read_timeout(Some(Duration::from_millis(200)))
                    .expect("setting the read timeout");
                at.insert((from, to), socket.local_addr().expect("its address"));
                let (state, address) = (state.clone(), addresses[to]);
                let builder = thread::Builder::new().stack_size(256 << 10);
                let udp = state.clone();
                builder
                    .spawn(move || forward_packets(&udp, &socket, (from, to), address))
                    .expect("a thread");
                listener
                    .set_nonblocking(true)
                    .expect("a non-blocking listener");
                state
                    .listeners
                    .lock()
                    .unwrap()
                    .push((listener, (from, to), address));
            }
        }
        let delivery = state.clone();
        thread::spawn(move || deliver_delayed(&delivery));
        let accepting = state.clone();
        thread::spawn(move || accept_connections(&accepting));
        Links { state, at }
    }

    /// Returns the address at which `from` reaches `to`.
    pub fn way(&self, from: usize, to: usize) -> SocketAddr {
        self.at[&(from, to)]
    }

    /// Sets the faults of all links that are not cut.
    pub fn set_faults(&self, faults: LinkFaults) {
        *self.state.faults.lock().unwrap() = faults;
    }

    /// Cuts or restores one direction.
    pub fn cut(&self, from: usize, to: usize, is_cut: bool) {
        self.state.cut.lock().unwrap().insert((from, to), is_cut);
    }

    /// Restores all links and removes all faults.
    pub fn repair(&self) {
        self.state.cut.lock().unwrap().clear();
        self.set_faults(NO_FAULTS);
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.state.ended.store(true, Ordering::SeqCst);
        self.state.wake.notify_all();
    }
}

/// Binds UDP and TCP to the same free port.
fn bind_both() -> (UdpSocket, TcpListener) {
    for _ in 0..1_000 {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("its address");
        if let Ok(listener) = TcpListener::bind(address) {
            return (socket, listener);
        }
    }
    panic!("no port is free for both UDP and TCP");
}

/// Accepts the TCP connections of all links in one thread.
fn accept_connections(state: &Arc<LinkState>) {
    while !state.ended.load(Ordering::SeqCst) {
        for (listener, pair, address) in state.listeners.lock().unwrap().iter() {
            while let Ok((near, _)) = listener.accept() {
                let (state, pair, address) = (state.clone(), *pair, *address);
                thread::spawn(move || {
                    let Ok(far) = TcpStream::connect_timeout(&address, Duration::from_secs(1))
                    else {
                        return;
                    };
                    let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let (from, to) = pair;
                    let back = state.clone();
                    thread::spawn(move || forward_bytes(&back, (to, from), far2, near2));
                    forward_bytes(&state, (from, to), near, far);
                });
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// Forwards bytes until either end closes. Bytes that arrive while the link is cut wait, as TCP
/// retransmits them.
fn forward_bytes(state: &LinkState, pair: (usize, usize), mut from: TcpStream, mut to: TcpStream) {
    let _ = from.set_nonblocking(false);
    let _ = from.set_read_timeout(Some(Duration::from_millis(200)));
    let mut bytes = vec![0; 16_384];
    while !state.ended.load(Ordering::SeqCst) {
        let n = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        while state.is_cut(pair) && !state.ended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let delay = state.faults.lock().unwrap().delay.mul_f64(state.random());
        thread::sleep(delay);
        if to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Forwards the packets of one link until the links are closed.
fn forward_packets(state: &LinkState, socket: &UdpSocket, pair: (usize, usize), to: SocketAddr) {
    let mut bytes = vec![0; 65_536];
    while !state.ended.load(Ordering::SeqCst) {
        // An error is a read timeout, or reports that nobody received an earlier packet.
        let Ok((n, _)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        if !state.is_cut(pair) {
            state.forward(socket, to, &bytes[..n]);
        }
    }
}

/// Sends each delayed packet when its delay is over.
fn deliver_delayed(state: &LinkState) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut delayed = state.delayed.lock().unwrap();
    while !state.ended.load(Ordering::SeqCst) {
        let now = Instant::now();
        let wait = match delayed.peek() {
            Some(Reverse((at, ..))) if *at <= now => {
                if let Some(Reverse((_, _, packet))) = delayed.pop() {
                    let _ = socket.send_to(&packet.bytes, packet.to);
                }
                continue;
            }
            Some(Reverse((at, ..))) => *at - now,
            None => Duration::from_millis(200),
        };
        delayed = state.wake.wait_timeout(delayed, wait).unwrap().0;
    }
}
