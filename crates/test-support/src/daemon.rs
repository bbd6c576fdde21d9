//! A program that runs as an operator would start it: by arguments, with its log kept.

use crate::{listen, until};
use rustix::param::clock_ticks_per_second;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// An address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    listen().1
}

/// Addresses that were free a moment ago for TCP and for UDP, each another. They lie below the
/// ports that the system gives out by itself, so that connections made meanwhile do not take them.
pub fn free_addresses(n: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let first = std::process::id() as usize * 97;
    let mut all = Vec::new();
    while all.len() < n {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 10_000 + (first + number) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            all.push(address);
        }
    }
    all
}

/// A folder of this test's own below the system's one for temporary files; removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Makes one.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Folder {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let path =
            std::env::temp_dir().join(format!("dewrun-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    /// The path of a file in it.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file whole and moves it into place, as an operator's tools should.
    pub fn put(&self, name: &str, text: &str) -> PathBuf {
        let (path, fresh) = (self.path(name), self.path(&format!("{name}.new")));
        std::fs::write(&fresh, text).expect("the file is written");
        std::fs::rename(&fresh, &path).expect("the file is moved into place");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running process; killed when dropped.
pub struct Process(Child);

impl Process {
    /// Starts a command.
    pub fn start(mut command: Command) -> Process {
        Process(command.spawn().expect("the program starts"))
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal, as `-HUP`.
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill")
            .args([name, &pid])
            .status()
            .expect("kill")
            .success());
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        self.0.try_wait().expect("its state").is_none()
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        until("the program ends", || !self.is_running());
        self.0.wait().expect("its status")
    }

    /// Its resident memory, in KiB.
    pub fn resident_kib(&self) -> usize {
        resident_kib_of(self.0.id())
    }

    /// Processor time that it has used, by itself and by the system for it.
    pub fn processor_time(&self) -> Duration {
        let text =
            std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).expect("its times");
        // The name in parentheses may hold spaces; the state follows it.
        let (_, fields) = text.rsplit_once(')').expect("a name");
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |field: usize| fields[field].parse::<u64>().expect("a number");
        let used = ticks(USER_TIME) + ticks(SYSTEM_TIME);
        Duration::from_millis(used * 1_000 / clock_ticks_per_second())
    }
}

/// Fields of /proc/PID/stat, counted from the state on.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Resident memory of a process, in KiB.
pub fn resident_kib_of(process: u32) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).expect("its status");
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("its memory");
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .expect("a number")
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A running program with its log.
pub struct Daemon {
    process: Process,
    log: Arc<Mutex<String>>,
}

impl Deref for Daemon {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Daemon {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl Daemon {
    /// Starts a program with arguments and variables, and without any `NODE_*` of this process's
    /// own.
    pub fn start(program: &str, arguments: &[&str], variables: &[(&str, &str)]) -> Daemon {
        let mut command = Command::new(program);
        for name in [
            "NODE_CONFIG",
            "NODE_LISTEN",
            "NODE_DISCOVERY",
            "NODE_NAME",
            "NODE_CONTROL",
            "NODE_INHERITED_FD",
        ] {
            command.env_remove(name);
        }
        command
            .args(arguments)
            .envs(variables.iter().copied())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut process = Process::start(command);
        let log: Arc<Mutex<String>> = Arc::default();
        let (kept, stderr) = (log.clone(), process.0.stderr.take().expect("its log"));
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let mut kept = kept.lock().unwrap();
                kept.push_str(&line);
                kept.push('\n');
            }
        });
        Daemon { process, log }
    }

    /// Waits until it accepts at an address.
    pub fn wait_until_listening(&mut self, address: SocketAddr) {
        until("the program accepts", || {
            assert!(self.is_running(), "it ended: {}", self.log());
            TcpStream::connect(address).is_ok()
        });
    }

    /// What it has written to standard error.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// How many lines of the log hold a text.
    pub fn logged(&self, text: &str) -> usize {
        self.log()
            .lines()
            .filter(|line| line.contains(text))
            .count()
    }

    /// Waits for a line with this text.
    pub fn wait_for_log(&self, text: &str) {
        until(&format!("the log says {text:?}"), || {
            self.log().contains(text)
        });
    }
}
