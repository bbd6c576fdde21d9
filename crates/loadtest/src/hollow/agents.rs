//! Hollow processes: the control-plane agents of processes without listeners, pools or clients,
//! many to a thread.

use super::lateness::{Lateness, TIMER};
use super::member::{file, MemberFile};
use super::network::{Network, Port};
use dewrun_agent::status::Summary;
use dewrun_agent::{Agent, Options};
use dewrun_config::Installation;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{self, spawn_local, LocalSet};
use tokio::time::sleep;

/// The most threads that run agents.
pub const THREADS_MOST: usize = 4;
/// How many start a second: a fleet is rolled out, it does not start in one moment.
const STARTS_PER_S: f64 = 200.0;
/// How long one asks the others when it starts, as a real process does.
const CATCH_UP: Duration = Duration::from_secs(2);

/// One hollow process.
#[derive(Clone, Debug)]
pub struct Hollow {
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    /// The site that it stands in.
    pub site: String,
}

/// What all hollow processes have in common.
pub struct Common {
    /// The members of the file, which vote.
    pub voters: Vec<SocketAddr>,
    /// Where real processes are.
    pub real: Arc<HashSet<SocketAddr>>,
    /// What lies between them.
    pub network: Arc<Network>,
    /// How late their threads are.
    pub lateness: Arc<Lateness>,
    /// For what is left to chance.
    pub seed: u64,
    /// How often each looks what is due.
    pub tick_interval: Duration,
}

enum Command {
    Start(Vec<Hollow>, Duration, oneshot::Sender<Result<(), String>>),
    Kill(Vec<SocketAddr>, oneshot::Sender<()>),
    Look(oneshot::Sender<Vec<Summary>>),
}

/// Threads of hollow processes. They end when this is dropped.
pub struct Agents {
    threads: Vec<(mpsc::UnboundedSender<Command>, JoinHandle<()>)>,
}

impl Agents {
    /// Starts the threads, without a process yet.
    pub fn new(threads: usize, common: &Arc<Common>) -> Agents {
        let start = |_| {
            let (commands, asked) = mpsc::unbounded_channel();
            let common = common.clone();
            (commands, thread::spawn(move || run(&common, asked)))
        };
        Agents {
            threads: (0..threads.clamp(1, THREADS_MOST)).map(start).collect(),
        }
    }

    /// Starts processes, each always on the same thread, and waits until all of them run.
    pub fn start(&self, all: &[Hollow]) -> Result<(), String> {
        let pause = Duration::from_secs_f64(self.threads.len() as f64 / STARTS_PER_S);
        let answers = self.each(|thread| {
            let (done, answer) = oneshot::channel();
            let own = all
                .iter()
                .filter(|one| self.thread_of(one.address) == thread);
            (Command::Start(own.cloned().collect(), pause, done), answer)
        });
        answers.into_iter().flatten().collect()
    }

    /// Kills processes: none of them says that it leaves.
    pub fn kill(&self, addresses: &[SocketAddr]) {
        self.each(|thread| {
            let (done, answer) = oneshot::channel();
            let own = addresses
                .iter()
                .filter(|address| self.thread_of(**address) == thread);
            (Command::Kill(own.copied().collect(), done), answer)
        });
    }

    /// What each that runs knows of the fleet.
    pub fn look(&self) -> Vec<Summary> {
        let answers = self.each(|_| {
            let (done, answer) = oneshot::channel();
            (Command::Look(done), answer)
        });
        answers.into_iter().flatten().flatten().collect()
    }

    fn thread_of(&self, address: SocketAddr) -> usize {
        usize::from(address.port()) % self.threads.len()
    }

    /// Commands all threads, and waits for what they answer.
    fn each<T>(
        &self,
        command: impl Fn(usize) -> (Command, oneshot::Receiver<T>),
    ) -> Vec<Option<T>> {
        let asked: Vec<oneshot::Receiver<T>> = self
            .threads
            .iter()
            .enumerate()
            .map(|(number, (commands, _))| {
                let (command, answer) = command(number);
                // A thread that has ended answers nothing.
                let _ = commands.send(command);
                answer
            })
            .collect();
        asked
            .into_iter()
            .map(|answer| answer.blocking_recv().ok())
            .collect()
    }
}

impl Drop for Agents {
    fn drop(&mut self) {
        for (commands, thread) in self.threads.drain(..) {
            drop(commands);
            let _ = thread.join();
        }
    }
}

/// A process that runs.
struct Running {
    agent: Rc<Agent>,
    tasks: [task::JoinHandle<()>; 2],
}

impl Running {
    async fn start(common: &Common, hollow: &Hollow) -> Result<Running, String> {
        let Hollow {
            address,
            name,
            site,
        } = hollow;
        let text = file(&MemberFile {
            name,
            site,
            fleet: *address,
            voters: &common.voters,
            // Neither is opened: these are the agent's alone.
            front: *address,
            backend: *address,
        });
        let config = Installation::parse(&text).map_err(|faults| {
            format!("{name}: {}", faults.first().map_or("", |fault| &fault.text))
        })?;
        let seed = common.seed ^ u64::from(address.port());
        let port = Port::new(common.network.clone(), common.real.clone(), *address, seed);
        let options = Options {
            tick_interval: common.tick_interval,
            filter: Some(Rc::new(port)),
        };
        let agent = Agent::start(&config, Path::new(""), options)
            .await
            .map_err(|e| e.to_string())?;
        let agent = agent.ok_or_else(|| format!("{name}: its file has no fleet"))?;
        let catches_up = agent.clone();
        let tasks = [
            spawn_local(agent.clone().run()),
            spawn_local(async move {
                catches_up.wait_until_caught_up(CATCH_UP).await;
            }),
        ];
        Ok(Running { agent, tasks })
    }

    /// Ends it, and waits until its socket is closed.
    async fn kill(self) {
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
    }
}

/// One thread.
fn run(common: &Arc<Common>, commands: mpsc::UnboundedReceiver<Command>) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, serve(common, commands));
}

async fn serve(common: &Arc<Common>, mut commands: mpsc::UnboundedReceiver<Command>) {
    spawn_local(watch(common.lateness.clone()));
    let mut running: BTreeMap<SocketAddr, Running> = BTreeMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Start(all, pause, done) => {
                let started = start(common, &all, pause, &mut running).await;
                let _ = done.send(started);
            }
            Command::Kill(addresses, done) => {
                for address in addresses {
                    if let Some(one) = running.remove(&address) {
                        one.kill().await;
                    }
                }
                let _ = done.send(());
            }
            Command::Look(done) => {
                let _ = done.send(running.values().map(|one| one.agent.summary()).collect());
            }
        }
    }
}

async fn start(
    common: &Common,
    all: &[Hollow],
    pause: Duration,
    running: &mut BTreeMap<SocketAddr, Running>,
) -> Result<(), String> {
    for hollow in all {
        let one = Running::start(common, hollow).await?;
        running.insert(hollow.address, one);
        sleep(pause).await;
    }
    Ok(())
}

async fn watch(lateness: Arc<Lateness>) {
    loop {
        let begun = Instant::now();
        sleep(TIMER).await;
        lateness.note(begun.elapsed());
    }
}
