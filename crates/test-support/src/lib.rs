//! What a proxy stands between in tests: callers, backends and discovery, on loopback sockets with
//! ports of the system's choice, and what can go wrong with each. Plain threads and blocking
//! sockets, so that it shares no code with what it tests. A failed wait panics, as a test's
//! assertion does.

mod daemon;
mod faults;
mod golden;
mod large;
mod links;

pub use daemon::{free_address, free_addresses, resident_kib_of, Daemon, Folder, Process};
pub use faults::{Cold, Fault, Full};
pub use golden::{assert_golden, hex, unhex};
pub use large::{quick, Large};
pub use links::{Links, Weather, FAIR};

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far above anything these tests wait for on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// One message as it was read.
#[derive(Clone, Debug)]
pub struct Message {
    /// From its first line to the empty one.
    pub head: String,
    /// What follows, by its length.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a head alone; `None` at the end of the connection.
    pub fn read_head(from: &mut impl BufRead) -> Option<Message> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if from.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        Some(Message {
            head,
            body: Vec::new(),
        })
    }

    /// Reads a message; `None` at the end of the connection, also in the middle of one. With
    /// neither a length nor chunks it has no body.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(from)?;
        if message.header("transfer-encoding") == Some("chunked") {
            loop {
                let mut line = String::new();
                from.read_line(&mut line).ok().filter(|n| *n > 0)?;
                let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
                let begun = message.body.len();
                message.body.resize(begun + size, 0);
                from.read_exact(&mut message.body[begun..]).ok()?;
                from.read_exact(&mut [0; 2]).ok()?;
                if size == 0 {
                    return Some(message);
                }
            }
        }
        let length = message
            .header("content-length")
            .map_or(0, |text| text.parse().expect("a length"));
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// The value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find_map(|(key, value)| key.eq_ignore_ascii_case(name).then_some(value))
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("a status")
    }
}

/// A good answer.
pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A listener on a port of the system's choice.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// A backend that hands each request, with its number from 0, to a script; the connection ends when
/// that gives false.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// The whole requests that it has read.
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// Connections accepted so far.
    pub connections: Arc<AtomicUsize>,
    /// Connections that the peer closed.
    pub closed: Arc<AtomicUsize>,
}

impl Backend {
    /// Starts one.
    pub fn start(
        script: impl Fn(usize, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Backend {
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let kept = seen.clone();
        let backend = Backend::each(move |message, stream| {
            let number = {
                let mut seen = kept.lock().unwrap();
                seen.push(message);
                seen.len() - 1
            };
            script(number, stream)
        });
        Backend { seen, ..backend }
    }

    /// Starts one that keeps nothing: each request goes to what answers it.
    pub fn each(
        answer: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Backend {
        let (listener, address) = listen();
        let backend = Backend {
            address,
            seen: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (connections, closed) = (backend.connections.clone(), backend.closed.clone());
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                connections.fetch_add(1, Ordering::SeqCst);
                let (answer, closed) = (answer.clone(), closed.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    while let Some(message) = Message::read(&mut reader) {
                        if !answer(message, &mut stream) {
                            return;
                        }
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    /// Answers every request with the same text.
    pub fn saying(text: &'static str) -> Backend {
        Backend::start(move |_, stream| stream.write_all(text.as_bytes()).is_ok())
    }

    /// How many requests it has read.
    pub fn seen(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

/// One entry of a list.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// A list, or a change of one.
pub fn list(index: u32, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

/// Discovery that answers each watch with the present list, if it speaks at all, and then with what
/// is said.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// The first lines of what it was asked.
    pub asked: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    present: Arc<Mutex<Option<String>>>,
    beating: Arc<Mutex<bool>>,
}

impl Discovery {
    /// Starts one that knows this list.
    pub fn start(present: Option<String>) -> Discovery {
        let (listener, address) = listen();
        let discovery = Discovery {
            address,
            asked: Arc::default(),
            watches: Arc::default(),
            present: Arc::new(Mutex::new(present)),
            beating: Arc::new(Mutex::new(true)),
        };
        let (asked, watches) = (discovery.asked.clone(), discovery.watches.clone());
        let present = discovery.present.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                let Some(request) = Message::read(&mut reader) else {
                    continue;
                };
                asked
                    .lock()
                    .unwrap()
                    .push(request.head.lines().next().unwrap().to_string());
                let mut watches = watches.lock().unwrap();
                if let Some(list) = present.lock().unwrap().as_ref() {
                    if !request.head.contains("stream=1") {
                        let _ = stream.write_all(ok(list).as_bytes());
                        continue;
                    }
                    let _ =
                        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let _ = stream.write_all(chunk(list).as_bytes());
                }
                watches.push(stream);
            }
        });
        let (watches, beating) = (discovery.watches.clone(), discovery.beating.clone());
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(500));
            if *beating.lock().unwrap() {
                watches
                    .lock()
                    .unwrap()
                    .retain_mut(|w| w.write_all(chunk("").as_bytes()).is_ok());
            }
        });
        discovery
    }

    /// Sets what later watches are told first.
    pub fn set(&self, list: String) {
        *self.present.lock().unwrap() = Some(list);
    }

    /// Tells all watches a line, whatever it is.
    pub fn say(&self, line: &str) {
        for watch in self.watches.lock().unwrap().iter_mut() {
            let _ = watch.write_all(chunk(line).as_bytes());
        }
    }

    /// Writes bytes to all watches as they are; false if there is none that takes them.
    pub fn write(&self, bytes: &str) -> bool {
        let part = format!("{:x}\r\n{bytes}\r\n", bytes.len());
        let mut watches = self.watches.lock().unwrap();
        watches
            .iter_mut()
            .filter_map(|watch| watch.write_all(part.as_bytes()).ok())
            .count()
            > 0
    }

    /// Ends all watches.
    pub fn hang_up(&self) {
        self.watches.lock().unwrap().clear();
    }

    /// Keeps watches open and says nothing more on them.
    pub fn fall_silent(&self) {
        *self.beating.lock().unwrap() = false;
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Classes `read` (repeatable), `keyed` and `once`; tenants `acme` and `zeta`.
pub fn config(discovery: SocketAddr, known: &str) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","Aim":2000,"HardLimit":20000,"Effect":"{effect}","KeyScope":"cell","Window":9000}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
        "settings":{{"Classes":[{},{},{}],"Tenants":[{{"Name":"acme"}},{{"Name":"zeta"}}],
        "Zones":["z"],"MachineTypes":["k"],"FleetSize":1,"MembershipMode":"automatic",
        "Rules":{{"GraceToAnswer":20,"DrainGrace":250,"ColdFrom":0.3,"Cold":8000,"FallMultiple":3,"Fall":3000}},
        "Allowed":{{"MaxAttempts":5,"Cancelling":true,"ConnectTimeout":5000,"IdleClose":120000,
        "RetryAfter":true,"MaxRetryAfter":2000}}}}}}"#,
        class("read", "repeatable"),
        class("keyed", "by_key"),
        class("once", "once"),
    )
}

/// A running proxy; killed when dropped.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    process: Process,
    config: PathBuf,
}

impl Proxy {
    /// Starts one with the given configuration, and waits until it is up.
    pub fn start(program: &str, config: &str) -> Proxy {
        Proxy::start_by(program, "exec \"$0\"", config)
    }

    /// The same from within a line of shell, where `$0` is the program.
    pub fn start_by(program: &str, line: &str, config: &str) -> Proxy {
        // The port is free a moment before; a test whose port is taken meanwhile tries another.
        for _ in 0..10 {
            let (listener, address) = listen();
            drop(listener);
            let (command, config) = spawn(program, line, config, address);
            let mut proxy = Proxy {
                address,
                process: Process::start(command),
                config,
            };
            if proxy.comes_up() {
                return proxy;
            }
        }
        panic!("the proxy does not come up");
    }

    fn comes_up(&mut self) -> bool {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end && self.is_running() {
            if try_call(self.address, "GET /up HTTP/1.1\r\nHost: p\r\n\r\n")
                .is_some_and(|m| m.status() == 200)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Asks once, on a connection of its own.
    pub fn call(&self, request: &str) -> Message {
        try_call(self.address, request).expect("an answer")
    }

    /// Sends it SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the file of the configuration and has it read again.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("the configuration is written");
        self.signal("-HUP");
    }
}

impl Deref for Proxy {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Proxy {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

/// A command that runs the proxy on a configuration, which lies in a file of its own.
pub fn spawn(program: &str, line: &str, config: &str, listen: SocketAddr) -> (Command, PathBuf) {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let path =
        std::env::temp_dir().join(format!("dewrun-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).expect("the configuration is written");
    let mut command = Command::new("sh");
    command.args(["-c", line, program]);
    command
        .env("NODE_CONFIG", &path)
        .env("NODE_LISTEN", listen.to_string())
        .stderr(Stdio::piped());
    (command, path)
}

/// A request of a class, on its own connection, with what else is wanted in its head.
pub fn ask(class: &str, id: &str, timeout_ms: u32, body: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    let key = if class == "keyed" {
        "Idempotency-Key: k1\r\n"
    } else {
        ""
    };
    let length = if class == "read" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} /api/7f3a?q=1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Tenant: acme\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{key}{length}\r\n{body}"
    )
}

/// A connection of a caller's with a request written to it.
pub fn open(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream
        .write_all(request.as_bytes())
        .expect("the request is written");
    stream
}

/// The next answer on a connection; `None` at its end.
pub fn answer(stream: &TcpStream) -> Option<Message> {
    Message::read(&mut BufReader::new(
        stream.try_clone().expect("a second handle"),
    ))
}

/// Asks once, on a connection of its own; `None` if that fails.
pub fn try_call(address: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    answer(&stream)
}

/// Waits for something to become true.
pub fn until(what: &str, mut is: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
