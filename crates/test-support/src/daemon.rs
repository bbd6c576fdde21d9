//! A program that is started as an operator starts it, with arguments, and whose log is recorded.

use crate::{listen, stop_listening, until};
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

/// Returns a loopback TCP address that was free at the time of the call.
pub fn free_address() -> SocketAddr {
    let (listener, address) = listen();
    stop_listening(listener);
    address
}

/// Returns distinct addresses that were free for TCP and UDP at the time of the call. Their ports
/// lie below the ephemeral range, so that connections made meanwhile do not occupy them.
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

/// A temporary folder that belongs to one test; removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates the folder below the system's folder for temporary files.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Folder {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let path =
            std::env::temp_dir().join(format!("dewrun-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    /// Returns the path of a file in the folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Replaces a file atomically: writes a new file and renames it, as an operator's tools should.
    pub fn put(&self, name: &str, text: &str) -> PathBuf {
        let (path, new_path) = (self.path(name), self.path(&format!("{name}.new")));
        std::fs::write(&new_path, text).expect("the file is written");
        std::fs::rename(&new_path, &path).expect("the file is moved into place");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running process that is killed when dropped.
pub struct Process(Child);

impl Process {
    /// Spawns a command.
    pub fn start(mut command: Command) -> Process {
        Process(command.spawn().expect("the program starts"))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal, given as an option of `kill`, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill")
            .args([name, &pid])
            .status()
            .expect("kill")
            .success());
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.0.try_wait().expect("its state").is_none()
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        until("the program exits", || !self.is_running());
        self.0.wait().expect("its status")
    }

    /// Returns the resident memory in KiB.
    pub fn resident_kib(&self) -> usize {
        resident_kib_of(self.0.id())
    }

    /// Returns the largest resident memory so far in KiB.
    pub fn peak_resident_kib(&self) -> usize {
        memory_kib_of(self.0.id(), "VmHWM:")
    }

    /// Returns the processor time used so far, in user and in system mode.
    pub fn processor_time(&self) -> Duration {
        let text =
            std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).expect("its times");
        // The process name in parentheses may contain spaces; the state follows the last one.
        let (_, fields) = text.rsplit_once(')').expect("a name");
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |field: usize| fields[field].parse::<u64>().expect("a number");
        let used = ticks(USER_TIME) + ticks(SYSTEM_TIME);
        Duration::from_millis(used * 1_000 / clock_ticks_per_second())
    }
}

/// Index of the user time in /proc/PID/stat, counted from the process state.
const USER_TIME: usize = 11;
/// Index of the system time, counted in the same way.
const SYSTEM_TIME: usize = 12;

/// Returns the resident memory of a process in KiB.
pub fn resident_kib_of(pid: u32) -> usize {
    memory_kib_of(pid, "VmRSS:")
}

/// Returns a line of /proc/PID/status that is in KiB.
fn memory_kib_of(pid: u32, name: &str) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let line = text
        .lines()
        .find(|line| line.starts_with(name))
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

/// A running program whose standard error is recorded.
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
    /// Starts a program with arguments and environment variables. The `NODE_*` variables of this
    /// process are not inherited.
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
        let (recorded, stderr) = (
            log.clone(),
            process.0.stderr.take().expect("standard error"),
        );
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let mut recorded = recorded.lock().unwrap();
                recorded.push_str(&line);
                recorded.push('\n');
            }
        });
        Daemon { process, log }
    }

    /// Waits until the program accepts connections at an address.
    pub fn wait_until_listening(&mut self, address: SocketAddr) {
        until("the program accepts connections", || {
            assert!(self.is_running(), "the program exited: {}", self.log());
            TcpStream::connect(address).is_ok()
        });
    }

    /// Returns what the program has written to standard error.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Returns the number of log lines that contain a text.
    pub fn logged(&self, text: &str) -> usize {
        self.log()
            .lines()
            .filter(|line| line.contains(text))
            .count()
    }

    /// Waits until the log contains a text.
    pub fn wait_for_log(&self, text: &str) {
        until(&format!("the log contains {text:?}"), || {
            self.log().contains(text)
        });
    }
}
