//! The processes, and what is done to them.

use super::backends::{stand_in, Came};
use super::callers::{call, Entry, Shared, CONNECTIONS, PATIENCE};
use super::checks::{densest, held, lag};
use super::report::{Report, Second};
use super::schedule::{Kind, Plan, Says};
use crate::audit::{ClientRecord, EffectClass, ExecutionRecord, RequestLedger, Violation};
use dewrun_test_support::{free_addresses, Backend, Daemon, Folder, LinkFaults, Links};
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A fleet of real processes, and what stands round it.
pub struct Site {
    program: String,
    plan: Plan,
    folder: Folder,
    fleet: Vec<SocketAddr>,
    fronts: Vec<SocketAddr>,
    links: Links,
    backends: Vec<Backend>,
    came: Arc<Came>,
    daemons: Vec<Option<Daemon>>,
    /// What the list of each process says of each member.
    lists: Vec<Vec<Says>>,
    /// Drains that were ordered, or told by one list: of which member, from when to when.
    drains: Vec<(usize, f64, f64)>,
    /// Spans in which a process was not well, from when to when.
    unwell: Vec<(usize, f64, f64)>,
    shared: Arc<Shared>,
    logs: Vec<String>,
}

impl Site {
    /// Starts the processes and waits until they serve.
    pub fn start(program: &str, plan: &Plan, seed: u64) -> Site {
        let n = plan.processes + plan.more;
        let (fleet, fronts) = (free_addresses(n), free_addresses(n));
        let links = Links::among(&fleet, seed);
        let came: Arc<Came> = Arc::default();
        let backends = (0..plan.backends)
            .map(|number| stand_in(number, plan, &came))
            .collect();
        let shared = Arc::new(Shared {
            start: Instant::now(),
            ended: AtomicBool::new(false),
            rates: (0..n).map(|_| AtomicU64::new(0)).collect(),
            method: if plan.repeats.is_some() {
                "GET"
            } else {
                "POST"
            },
            again: if plan.groups > 0 {
                fronts.clone()
            } else {
                Vec::new()
            },
            entries: Mutex::default(),
            next: AtomicU64::new(0),
        });
        let mut site = Site {
            program: program.into(),
            plan: plan.clone(),
            folder: Folder::new(),
            fleet,
            fronts,
            links,
            backends,
            came,
            daemons: (0..n).map(|_| None).collect(),
            lists: vec![vec![Says::Ready; plan.backends]; n],
            drains: Vec::new(),
            unwell: Vec::new(),
            shared,
            logs: vec![String::new(); n],
        };
        for at in 0..plan.processes {
            site.launch(at);
        }
        for at in 0..plan.processes {
            let front = site.fronts[at];
            if let Some(daemon) = &mut site.daemons[at] {
                daemon.wait_until_listening(front);
            }
        }
        site
    }

    fn file(&self, at: usize) -> String {
        let Plan {
            rate,
            burst,
            floor,
            voters,
            by_rank,
            processes,
            ..
        } = &self.plan;
        let list = |all: &[SocketAddr]| {
            all.iter()
                .map(|a| format!("\"{a}\""))
                .collect::<Vec<_>>()
                .join(", ")
        };
        let via: String = (0..self.fleet.len())
            .filter(|to| *to != at)
            .map(|to| format!("\"{}\" = \"{}\"\n", self.fleet[to], self.links.way(at, to)))
            .collect();
        let (own, members) = (self.fleet[at], list(&self.fleet[..*voters]));
        let (rate, burst, floor, members) = match by_rank {
            // Each is a fleet of its own with its part.
            true => {
                let n = *processes as f64;
                (
                    rate / n,
                    (burst / n).max(1.0),
                    rate / n,
                    format!("\"{own}\""),
                )
            }
            false => (*rate, *burst, *floor, members),
        };
        let repeats = self.plan.repeats.map_or(String::new(), |repeats| {
            format!("[[budget]]\nname = \"again\"\nrepeats = {repeats:?}\nburst = {repeats:?}\n")
        });
        let each = self.plan.each_member.map_or(String::new(), |most| {
            format!(
                "[[budget]]\nname = \"each\"\npool = \"main\"\nopen = {most}\neach_member = true\n\
                 [[class]]\nname = \"default\"\ndeadline = \"2s\"\n"
            )
        });
        let keyed = if self.plan.groups > 0 {
            "[[class]]\nname = \"default\"\neffect = \"keyed\"\nscope = \"cell\"\nwindow = \"2s\"\ndeadline = \"2s\"\n"
        } else {
            ""
        };
        let state = if self.plan.state {
            format!("state = \"state{at}\"\n")
        } else {
            String::new()
        };
        let catch_up = self
            .plan
            .catch_up_ms
            .map_or(String::new(), |ms| format!("catch_up = \"{ms}ms\"\n"));
        format!(
            "[instance]\nname = \"i{at}\"\n[log]\nlines_per_s = 1000\ntrace = true\n[limits]\nstop_time = \"2s\"\n\
             [fleet]\naddress = \"{own}\"\nmembers = [{members}]\n{state}{catch_up}[fleet.via]\n{via}\
             [[listener]]\nname = \"main\"\naddress = \"{}\"\n\
             [[pool]]\nname = \"main\"\nwarm_up = \"0s\"\nfile = \"members{at}.toml\"\nrepeats = 1.0\n\
             [[tenant]]\nname = \"acme\"\n\
             [[budget]]\nname = \"acme\"\ntenant = \"acme\"\nrate = {rate:?}\nburst = {burst:?}\nfloor = {floor:?}\n\
             {repeats}{each}{keyed}\
             [[route]]\npool = \"main\"\ntenant = {{ fixed = \"acme\" }}\n",
            self.fronts[at],
        )
    }

    /// Writes the list of members of one process.
    fn list(&self, at: usize) {
        let entries =
            self.lists[at].iter().zip(&self.backends).enumerate().filter_map(|(n, (says, backend))| {
                let address = if *says == Says::Elsewhere { free_addresses(1)[0] } else { backend.address };
                let draining = *says == Says::Draining;
                (*says != Says::Gone)
                    .then(|| {
                    let cell = n % self.plan.groups.max(1);
                    format!("{{ name = \"m{n}\", address = \"{address}\", draining = {draining}, cell = {cell} }}")
                })
            });
        let entries: Vec<String> = entries.collect();
        self.folder.put(
            &format!("members{at}.toml"),
            &format!("members = [{}]\n", entries.join(", ")),
        );
    }

    fn launch(&mut self, at: usize) {
        self.list(at);
        let file = self.folder.put(&format!("i{at}.toml"), &self.file(at));
        let file = file.to_str().expect("a path");
        self.daemons[at] = Some(Daemon::start(
            &self.program,
            &["serve", "--config", file],
            &[],
        ));
    }

    /// The fleet address of a process.
    pub fn fleet_address(&self, at: usize) -> SocketAddr {
        self.fleet[at]
    }

    /// A running process.
    pub fn daemon(&self, at: usize) -> Option<&Daemon> {
        self.daemons[at].as_ref()
    }

    /// Sets what callers ask of a process a second.
    pub fn offer(&self, to: usize, rate: f64) {
        self.shared.rates[to].store((rate * 1e3) as u64, Ordering::SeqCst);
    }

    /// Plays one fault.
    pub fn fault(&mut self, kind: &Kind) {
        let now = self.shared.start.elapsed().as_secs_f64();
        match kind {
            Kind::Kill { process } => {
                self.ill(*process, now);
                self.end(*process);
            }
            Kind::Leave { process } => {
                self.ill(*process, now);
                if let Some(daemon) = &self.daemons[*process] {
                    daemon.signal("-TERM");
                }
            }
            Kind::Stop { process } => {
                self.ill(*process, now);
                if let Some(daemon) = &self.daemons[*process] {
                    daemon.signal("-STOP");
                }
            }
            Kind::Continue { process } => {
                if let Some(daemon) = &self.daemons[*process] {
                    daemon.signal("-CONT");
                }
                self.well(*process, now);
            }
            Kind::Start { process } => {
                self.end(*process);
                self.launch(*process);
                self.well(*process, now);
            }
            Kind::Cut { from, to, both } => {
                for a in from {
                    for b in to.iter().filter(|b| *b != a) {
                        self.links.cut(*a, *b, true);
                        if *both {
                            self.links.cut(*b, *a, true);
                        }
                    }
                }
            }
            Kind::Weather {
                loss,
                twice,
                delay_ms,
                late,
                late_ms,
            } => self.links.set_faults(LinkFaults {
                loss: *loss,
                twice: *twice,
                delay: Duration::from_millis(*delay_ms),
                late: (*late, Duration::from_millis(*late_ms)),
            }),
            Kind::Mend => self.links.repair(),
            Kind::Order {
                process,
                member,
                wish,
            } => {
                // A return is in force before the program that gives it has ended.
                if wish == "return" {
                    self.drained(*member, false);
                }
                let (target, at) = (format!("main/m{member}"), self.fleet[*process].to_string());
                let arguments = ["fleet", wish, &target, "--at", &at, "--by", "drill"];
                let mut command = Command::new(&self.program);
                let given = command
                    .args(arguments)
                    .stdout(Stdio::null())
                    .status()
                    .expect("the program starts");
                assert!(given.success(), "{wish} {target} at {at}");
                if wish == "drain" {
                    self.drained(*member, true);
                }
            }
            Kind::List {
                process,
                member,
                says,
            } => {
                self.lists[*process][*member] = *says;
                self.list(*process);
                match says {
                    Says::Draining | Says::Gone => self.drained(*member, true),
                    Says::Ready => self.drained(*member, false),
                    Says::Elsewhere => {}
                }
            }
            Kind::Sick { member, is } => {
                let mut sick = self.came.sick.lock().unwrap();
                if *is {
                    sick.insert(*member);
                } else {
                    sick.remove(member);
                }
            }
        }
    }

    fn drained(&mut self, member: usize, is: bool) {
        let now = self.shared.start.elapsed().as_secs_f64();
        self.drains
            .iter_mut()
            .filter(|d| d.0 == member && d.2.is_infinite())
            .for_each(|d| d.2 = now);
        if is {
            self.drains.push((member, now, f64::INFINITY));
        }
    }

    /// What a process says that it holds of what all hold alike.
    pub fn copy(&self, at: usize) -> Option<serde_json::Value> {
        let mut stream = TcpStream::connect(self.fleet[at]).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(b"dewrun fleet copy\n").ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        serde_json::from_str(&line).ok()
    }

    fn end(&mut self, at: usize) {
        if let Some(daemon) = self.daemons[at].take() {
            self.logs[at].push_str(&daemon.log());
        }
    }

    fn ill(&mut self, at: usize, now: f64) {
        self.unwell.push((at, now, f64::INFINITY));
    }

    fn well(&mut self, at: usize, now: f64) {
        for span in self
            .unwell
            .iter_mut()
            .filter(|span| span.0 == at && span.2.is_infinite())
        {
            // It needs a moment before it serves again.
            span.2 = now + 2.0;
        }
    }

    /// Plays the plan to its end.
    pub fn play(self) -> Report {
        self.play_to(|_| {})
    }

    /// Plays the plan to its end, and looks at the processes before they are ended.
    pub fn play_to(mut self, look: impl FnOnce(&Site)) -> Report {
        let mut callers = Vec::new();
        for (to, address) in self.fronts.clone().into_iter().enumerate() {
            for number in 0..CONNECTIONS {
                let shared = self.shared.clone();
                callers.push(thread::spawn(move || call(&shared, to, address, number)));
            }
        }
        enum Step {
            Offer(usize, f64),
            Fault(Kind),
        }
        let mut steps: Vec<(f64, Step)> = self
            .plan
            .callers
            .iter()
            .map(|offer| (offer.at, Step::Offer(offer.to, offer.rate)))
            .collect();
        steps.extend(
            self.plan
                .faults
                .iter()
                .map(|fault| (fault.at, Step::Fault(fault.kind.clone()))),
        );
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let begun = self.shared.start.elapsed().as_secs_f64();
        let mut late: f64 = 0.0;
        let mut steps = steps.into_iter().peekable();
        while self.shared.start.elapsed().as_secs_f64() - begun < self.plan.seconds {
            let now = self.shared.start.elapsed().as_secs_f64() - begun;
            while let Some((_, step)) = steps.next_if(|(at, _)| *at <= now) {
                match step {
                    Step::Offer(to, rate) => self.offer(to, rate),
                    Step::Fault(kind) => self.fault(&kind),
                }
            }
            let nap = Instant::now();
            thread::sleep(Duration::from_millis(10));
            late = late.max(nap.elapsed().as_secs_f64() - 0.010);
        }
        look(&self);
        self.shared.ended.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.join().expect("a caller ends");
        }
        for at in 0..self.daemons.len() {
            self.end(at);
        }
        self.report(begun, late)
    }

    fn report(&self, begun: f64, late: f64) -> Report {
        let start = self.shared.start;
        let arrivals = std::mem::take(&mut *self.came.all.lock().unwrap());
        let entries = std::mem::take(&mut *self.shared.entries.lock().unwrap());
        let mut seconds = vec![Second::default(); self.plan.seconds.ceil() as usize + 1];
        let last = seconds.len() - 1;
        let second = |at: f64| ((at - begun).max(0.0) as usize).min(last);
        for entry in &entries {
            seconds[second(entry.sent)].offered += 1;
            let done = &mut seconds[second(entry.done)];
            match entry.status {
                Some(200) => done.served += 1,
                Some(429) => done.over += 1,
                Some(503) => done.refused += 1,
                _ => done.failed += 1,
            }
        }
        let mut times: Vec<f64> = arrivals
            .iter()
            .map(|(at, ..)| (*at - start).as_secs_f64() - begun)
            .collect();
        times.sort_by(f64::total_cmp);
        times
            .iter()
            .for_each(|at| seconds[second(at + begun)].arrived += 1);
        let ill = |entry: &Entry| {
            self.unwell
                .iter()
                .any(|(at, from, to)| *at == entry.to && entry.sent < *to && entry.done > *from)
        };
        let asked = entries
            .iter()
            .filter(|entry| entry.status.is_some() || !ill(entry))
            .map(|entry| ClientRecord {
                id: entry.id.clone(),
                effect: match (self.shared.method, self.plan.groups) {
                    ("GET", _) => EffectClass::Idempotent,
                    (_, 0) => EffectClass::NonIdempotent,
                    _ => EffectClass::Keyed,
                },
                statuses: entry.status.into_iter().collect(),
            });
        let ran = arrivals.iter().map(|(at, backend, id)| ExecutionRecord {
            id: id.clone(),
            backend: *backend,
            at: *at,
        });
        let books = RequestLedger {
            requests: asked.collect(),
            executions: ran.collect(),
            ..RequestLedger::default()
        };
        let breaches: Vec<String> = books.audit().iter().map(Violation::to_string).collect();
        // Only the first attempts count to the whole; the others are repeats.
        let (mut firsts, mut repeats, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
        for ((_, _, id), at) in arrivals
            .iter()
            .zip(arrivals.iter().map(|(at, ..)| (*at - start).as_secs_f64()))
        {
            if seen.insert(id) {
                firsts.push(at);
            } else {
                repeats.push(at);
            }
        }
        let Plan { rate, burst, .. } = self.plan;
        let again = self.plan.repeats.unwrap_or(f64::INFINITY);
        Report {
            name: self.plan.name.clone(),
            densest: [1.0, 5.0].map(|window| densest(&mut firsts, window, (rate, burst, late))),
            repeated: densest(&mut repeats, 1.0, (again, again, late)),
            most_open: self.came.most_open.load(Ordering::SeqCst),
            held: held(
                &self.logs,
                "acme",
                rate * 1e3 - self.plan.floor * 1e3 * self.plan.voters as f64,
            ),
            late_ms: late * 1e3,
            drains: self
                .drains
                .iter()
                .map(|drain| lag(&arrivals, start, *drain))
                .collect(),
            outcomes: entries
                .iter()
                .map(|entry| (entry.to, entry.sent - begun, entry.status))
                .collect(),
            came: arrivals
                .iter()
                .map(|(at, n, _)| ((*at - start).as_secs_f64() - begun, *n))
                .collect(),
            breaches,
            seconds,
            arrivals: times,
            logs: self.logs.clone(),
        }
    }
}
