//! The proxy as the platform runs it: a process with a configuration file.

use crate::{free_address, try_call, Message, Process, WAIT_TIMEOUT};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Returns a configuration with the classes `read` (repeatable), `keyed` and `once` and the tenants
/// `acme` and `zeta`. `known` is the initial endpoint list.
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

/// A running proxy that is killed when dropped.
pub struct Proxy {
    /// The listen address.
    pub address: SocketAddr,
    process: Process,
    config: PathBuf,
}

impl Proxy {
    /// Starts a proxy with the given configuration and waits until it is ready.
    pub fn start(program: &str, config: &str) -> Proxy {
        Proxy::start_by(program, "exec \"$0\"", config)
    }

    /// Starts a proxy from a line of shell, in which `$0` is the program.
    pub fn start_by(program: &str, line: &str, config: &str) -> Proxy {
        // Another process may bind the port after it was found free; another port is tried then.
        for _ in 0..10 {
            let address = free_address();
            let (command, config) = spawn(program, line, config, address);
            let mut proxy = Proxy {
                address,
                process: Process::start(command),
                config,
            };
            if proxy.wait_until_ready() {
                return proxy;
            }
        }
        panic!("the proxy does not become ready");
    }

    fn wait_until_ready(&mut self) -> bool {
        let end = Instant::now() + WAIT_TIMEOUT;
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

    /// Sends a request on a new connection and returns the response.
    pub fn call(&self, request: &str) -> Message {
        try_call(self.address, request).expect("a response")
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP, so that the proxy reloads it.
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

/// Returns a command that runs the proxy, and the path of the configuration file written for it.
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
