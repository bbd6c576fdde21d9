//! What the cases of the second review share: the record of a run, the programs of the project as
//! separate processes, and small HTTP/1.1 stand-ins for clients, servers and discovery.

pub mod cells;
pub mod discovery;
pub mod http;
pub mod server;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A case ends by itself after this time at the latest, with exit code 2.
const LONGEST: Duration = Duration::from_secs(115);

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// One run of a case: its record, its temporary folder and the processes that it has started.
#[derive(Clone)]
pub struct Case {
    started: Instant,
    record: Arc<Mutex<File>>,
    children: Arc<Mutex<Vec<Child>>>,
    folder: PathBuf,
    /// False if the case runs without its disruption.
    pub trouble: bool,
}

/// Runs a case: `record.txt` goes into the folder that the first argument names. All processes that
/// the case started are ended before this process exits.
pub fn run(play: impl FnOnce(&Case) -> Verdict) -> ! {
    let Some(to) = std::env::args().nth(1).map(PathBuf::from) else {
        eprintln!("the folder of the case is missing");
        std::process::exit(2);
    };
    let record = File::create(to.join("record.txt")).expect("record.txt can be written");
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let case = Case {
        started: Instant::now(),
        record: Arc::new(Mutex::new(record)),
        children: Arc::default(),
        folder,
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let watched = case.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST);
        watched.end(Verdict::CouldNotRun("it took too long".into()));
    });
    // A panic of a stand-in is a failure of the case and not of the program under test.
    let panicked = case.clone();
    std::panic::set_hook(Box::new(move |info| {
        panicked.end(Verdict::CouldNotRun(format!(
            "the case itself failed: {info}"
        )));
    }));
    case.log(if case.trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let verdict = play(&case);
    case.end(verdict)
}

impl Case {
    /// Writes a line to the record, with the seconds since the start of the case.
    pub fn log(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut record = self.record.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(record, "{at:9.3} {}", line.as_ref().trim_end());
    }

    fn end(&self, verdict: Verdict) -> ! {
        let mut children = self.children.lock().unwrap_or_else(|e| e.into_inner());
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        let (code, line) = match verdict {
            Verdict::Held(why) => (0, format!("held: {why}")),
            Verdict::Broken(why) => (1, format!("BROKEN: {why}")),
            Verdict::CouldNotRun(why) => (2, format!("could not run: {why}")),
        };
        self.log(&line);
        println!("{line}");
        std::process::exit(code)
    }

    /// The path of a file in the temporary folder of this run.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Replaces a file at once, by a rename.
    pub fn put(&self, name: &str, text: &str) -> PathBuf {
        let (path, new) = (self.path(name), self.path(&format!("{name}.new")));
        std::fs::write(&new, text).expect("a file can be written");
        std::fs::rename(&new, &path).expect("a file can be renamed");
        path
    }

    /// Starts the command `run` of the deploy file with these arguments and variables. Its log goes
    /// to the record.
    pub fn start(&self, name: &str, arguments: &str, variables: &[(&str, &str)]) -> Program {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .expect("`run` of the deploy file");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &format!("{run} {arguments}")])
            .envs(variables.iter().copied())
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let pid = child.id();
        let errors = child.stderr.take().expect("its log");
        let (case, label) = (self.clone(), name.to_string());
        thread::spawn(move || {
            use std::io::BufRead;
            for line in std::io::BufReader::new(errors)
                .lines()
                .map_while(Result::ok)
            {
                case.log(format!("{label}| {line}"));
            }
        });
        self.log(format!("started {name}: {run} {arguments}"));
        self.children.lock().unwrap().push(child);
        Program {
            case: self.clone(),
            name: name.into(),
            pid,
        }
    }

    /// Waits until the condition holds; false if it does not within `most`.
    pub fn until(&self, most: Duration, mut holds: impl FnMut() -> bool) -> bool {
        let end = Instant::now() + most;
        while Instant::now() < end {
            if holds() {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

/// A process of the project that the case has started.
pub struct Program {
    case: Case,
    name: String,
    pub pid: u32,
}

impl Program {
    /// Sends a signal, such as `HUP`.
    pub fn signal(&self, name: &str) {
        self.case.log(format!("signal {name} to {}", self.name));
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {}", self.pid)])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "the signal is sent"
        );
    }
}

/// A free address for TCP and UDP, below the ports that connections get.
pub fn free_address() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let port = 10_000 + (std::process::id().wrapping_mul(61) + next) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Whether something accepts connections at an address.
pub fn accepts(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_ok()
}

/// Runs `dewrun` beside the processes under test, as an operator does; returns its exit code and
/// what it printed.
pub fn operator(case: &Case, arguments: &str) -> (i32, String) {
    let output = Command::new("/bin/sh")
        .args(["-c", &format!("exec target/release/dewrun {arguments}")])
        .stdin(Stdio::null())
        .output()
        .expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    let code = output.status.code().unwrap_or(-1);
    case.log(format!("dewrun {arguments}: exit code {code}"));
    (code, text)
}

/// The configuration of a process of the platform, with the limits of a small deployment: the
/// classes `read` (safe to repeat), `keyed` (by cell) and `once`, and one tenant.
pub fn platform_config(discovery: SocketAddr, known: &str, mode: &str, seed: &str) -> String {
    let class = |name: &str, effect: &str, limit: u32| {
        format!(
            r#"{{"Name":"{name}","Aim":2000,"HardLimit":{limit},"Effect":"{effect}","KeyScope":"cell","Window":7500,"LateWorth":0.2,"Points":1.0,"Streaming":false}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{seed}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"Classes":[{},{},{}],"Tenants":[{{"Name":"acme","AllowancePerS":1000,"Fraction":1.0}}],
"Zones":["z"],"MachineTypes":["k"],"FleetSize":1,"Rank":0,"Az":0,"Stage":0,"Stages":["gateway"],"MembershipMode":"{mode}",
"Rules":{{"GraceToAnswer":20,"AskWithin":10000,"DrainGrace":250,"ColdFrom":0.31,"Cold":8500,"FallMultiple":3,"Fall":3000}},
"Allowed":{{"MaxAttempts":5,"Cancelling":true,"Probing":true,"ParallelTries":false,"ConnectTimeout":200,"IdleClose":30000,
"RetryAfter":true,"MaxRetryAfter":2000,"StreamsPerConn":1}}}}}}"#,
        class("read", "repeatable", 4000),
        class("keyed", "by_key", 5000),
        class("once", "once", 6000),
    )
}

/// One entry of a list of discovery.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// A list of discovery, whole (`snapshot`) or of changes.
pub fn list(index: u32, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}
