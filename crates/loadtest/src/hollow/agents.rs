//! Hollow processes: the control-plane agents of processes without listeners, pools or clients.
//! Many of them share a thread.

use super::harness_delay::{HarnessDelay, TIMER_DURATION};
use super::member_config::{to_toml, MemberConfig};
use super::network::{Network, SocketFilter};
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

/// Maximum number of threads that run agents.
pub const MAX_THREADS: usize = 4;
/// Rate at which hollow processes start. They start one after another, as in the rollout of a
/// fleet.
const STARTS_PER_S: f64 = 200.0;
/// How long a hollow process tries to catch up with a peer after its start, as a real one does.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// The identity of a hollow process.
#[derive(Clone, Debug)]
pub struct HollowProcess {
    /// The address at which other members reach it.
    pub fleet_address: SocketAddr,
    /// The name of the member.
    pub name: String,
    /// The site of the member.
    pub site: String,
}

/// The settings that all hollow processes have in common.
pub struct SharedSettings {
    /// The addresses of the members that vote.
    pub voters: Vec<SocketAddr>,
    /// The fleet addresses of the real processes.
    pub real_addresses: Arc<HashSet<SocketAddr>>,
    /// The simulated network between hollow processes and all others.
    pub network: Arc<Network>,
    /// The record of the scheduling delay of this program.
    pub harness_delay: Arc<HarnessDelay>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The interval of the periodic work of each agent.
    pub tick_interval: Duration,
}

enum Command {
    Start {
        processes: Vec<HollowProcess>,
        pause: Duration,
        response: oneshot::Sender<Result<(), String>>,
    },
    Kill {
        addresses: Vec<SocketAddr>,
        response: oneshot::Sender<()>,
    },
    Summarize {
        response: oneshot::Sender<Vec<Summary>>,
    },
}

/// The threads that run hollow processes. They end when this is dropped.
pub struct AgentThreads {
    threads: Vec<(mpsc::UnboundedSender<Command>, JoinHandle<()>)>,
}

impl AgentThreads {
    /// Starts the threads, 1 to [`MAX_THREADS`] of them, without any process.
    pub fn new(threads: usize, settings: &Arc<SharedSettings>) -> AgentThreads {
        let start = |_| {
            let (sender, commands) = mpsc::unbounded_channel();
            let settings = settings.clone();
            (
                sender,
                thread::spawn(move || run_thread(&settings, commands)),
            )
        };
        AgentThreads {
            threads: (0..threads.clamp(1, MAX_THREADS)).map(start).collect(),
        }
    }

    /// Starts processes and waits until all of them run. A process always runs on the same thread.
    pub fn start(&self, processes: &[HollowProcess]) -> Result<(), String> {
        let pause = Duration::from_secs_f64(self.threads.len() as f64 / STARTS_PER_S);
        let results = self.command_all(|thread| {
            let (response, result) = oneshot::channel();
            let processes = processes
                .iter()
                .filter(|process| self.thread_of(process.fleet_address) == thread)
                .cloned()
                .collect();
            let command = Command::Start {
                processes,
                pause,
                response,
            };
            (command, result)
        });
        results.into_iter().flatten().collect()
    }

    /// Kills processes. They do not notify the fleet that they leave.
    pub fn kill(&self, addresses: &[SocketAddr]) {
        self.command_all(|thread| {
            let (response, result) = oneshot::channel();
            let addresses = addresses
                .iter()
                .filter(|address| self.thread_of(**address) == thread)
                .copied()
                .collect();
            let command = Command::Kill {
                addresses,
                response,
            };
            (command, result)
        });
    }

    /// Returns the summary of each running process's view of the fleet.
    pub fn summaries(&self) -> Vec<Summary> {
        let summaries = self.command_all(|_| {
            let (response, result) = oneshot::channel();
            (Command::Summarize { response }, result)
        });
        summaries.into_iter().flatten().flatten().collect()
    }

    fn thread_of(&self, address: SocketAddr) -> usize {
        usize::from(address.port()) % self.threads.len()
    }

    /// Sends a command to every thread and waits for the results. The result of a thread that has
    /// ended is `None`.
    fn command_all<T>(
        &self,
        command: impl Fn(usize) -> (Command, oneshot::Receiver<T>),
    ) -> Vec<Option<T>> {
        let results: Vec<oneshot::Receiver<T>> = self
            .threads
            .iter()
            .enumerate()
            .map(|(index, (commands, _))| {
                let (command, result) = command(index);
                // The send fails if the thread has ended; its result is then `None`.
                let _ = commands.send(command);
                result
            })
            .collect();
        results
            .into_iter()
            .map(|result| result.blocking_recv().ok())
            .collect()
    }
}

impl Drop for AgentThreads {
    fn drop(&mut self) {
        for (commands, thread) in self.threads.drain(..) {
            drop(commands);
            let _ = thread.join();
        }
    }
}

/// The agent and the tasks of a running hollow process.
struct RunningAgent {
    agent: Rc<Agent>,
    tasks: [task::JoinHandle<()>; 2],
}

impl RunningAgent {
    async fn start(
        settings: &SharedSettings,
        process: &HollowProcess,
    ) -> Result<RunningAgent, String> {
        let HollowProcess {
            fleet_address,
            name,
            site,
        } = process;
        let text = to_toml(&MemberConfig {
            name,
            site,
            fleet_address: *fleet_address,
            voters: &settings.voters,
            // The file must have a listener and a backend, but the agent opens neither.
            listen_address: *fleet_address,
            backend: *fleet_address,
        });
        let config = Installation::parse(&text).map_err(|errors| {
            format!("{name}: {}", errors.first().map_or("", |error| &error.text))
        })?;
        let seed = settings.seed ^ u64::from(fleet_address.port());
        let filter = SocketFilter::new(
            settings.network.clone(),
            settings.real_addresses.clone(),
            *fleet_address,
            seed,
        );
        let options = Options {
            tick_interval: settings.tick_interval,
            filter: Some(Rc::new(filter)),
        };
        let agent = Agent::start(&config, Path::new(""), options)
            .await
            .map_err(|e| e.to_string())?;
        let agent = agent.ok_or_else(|| format!("{name}: its configuration has no fleet"))?;
        let catching_up = agent.clone();
        let tasks = [
            spawn_local(agent.clone().run()),
            spawn_local(async move {
                catching_up.wait_until_caught_up(CATCH_UP_TIMEOUT).await;
            }),
        ];
        Ok(RunningAgent { agent, tasks })
    }

    /// Aborts the agent's tasks, and waits until its socket is closed.
    async fn kill(self) {
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
    }
}

fn run_thread(settings: &Arc<SharedSettings>, commands: mpsc::UnboundedReceiver<Command>) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, execute_commands(settings, commands));
}

async fn execute_commands(
    settings: &Arc<SharedSettings>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    spawn_local(monitor_harness_delay(settings.harness_delay.clone()));
    let mut running: BTreeMap<SocketAddr, RunningAgent> = BTreeMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Start {
                processes,
                pause,
                response,
            } => {
                let result = start_processes(settings, &processes, pause, &mut running).await;
                let _ = response.send(result);
            }
            Command::Kill {
                addresses,
                response,
            } => {
                for address in addresses {
                    if let Some(agent) = running.remove(&address) {
                        agent.kill().await;
                    }
                }
                let _ = response.send(());
            }
            Command::Summarize { response } => {
                let summaries = running
                    .values()
                    .map(|running_agent| running_agent.agent.summary())
                    .collect();
                let _ = response.send(summaries);
            }
        }
    }
}

async fn start_processes(
    settings: &SharedSettings,
    processes: &[HollowProcess],
    pause: Duration,
    running: &mut BTreeMap<SocketAddr, RunningAgent>,
) -> Result<(), String> {
    for process in processes {
        let agent = RunningAgent::start(settings, process).await?;
        running.insert(process.fleet_address, agent);
        sleep(pause).await;
    }
    Ok(())
}

/// Records the delay of timers on this thread. Never returns.
async fn monitor_harness_delay(harness_delay: Arc<HarnessDelay>) {
    loop {
        let started_at = Instant::now();
        sleep(TIMER_DURATION).await;
        harness_delay.record(started_at.elapsed());
    }
}
