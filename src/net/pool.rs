//! A pool of an operator's installation: its own module instance and connections, and its members,
//! wherever they stand.

use super::discovery::{Endpoint, EndpointList};
use super::driver::{Driver, DriverOptions, Membership as MembershipSource};
use super::limits::Limits;
use super::upstream::{ResponseTimeouts, Upstream};
use crate::supervisor::{keep_running, KeptTask};
use dewrun_agent::Agent;
use dewrun_balancer::Settings;
use dewrun_config::{read_members, Member, Membership, Pool as Config};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// How often a file of members is looked at. A change is taken when two looks find the same, so
/// that a file which is being written is left alone: news is told 200 ms after it was written at
/// the latest.
const MEMBERS_FILE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// See the module's text.
pub struct Pool {
    config: Config,
    settings: Settings,
    /// Decides, and holds the requests.
    pub driver: Rc<Driver>,
    /// Its connections.
    pub upstream: Rc<Upstream>,
    /// When each member was first heard of, and where.
    known: RefCell<FxHashMap<String, (SocketAddr, f64)>>,
    members: RefCell<Vec<Member>>,
    version: Cell<u64>,
    /// Pools of this name that were replaced and still hold requests: what is told here is told
    /// there.
    superseded: RefCell<Vec<Weak<Pool>>>,
    watch: RefCell<Option<KeptTask>>,
}

/// What all pools of a process have in common.
pub struct PoolContext {
    /// What the process may hold.
    pub limits: Rc<Limits>,
    /// Waits of answers.
    pub times: ResponseTimeouts,
    /// For random numbers.
    pub seed: u64,
    /// The folder that file names are relative to.
    pub folder: PathBuf,
    /// Those with whom budgets are shared.
    pub fleet: Option<Rc<Agent>>,
}

fn now_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1000.0
}

impl Pool {
    /// Starts a pool. One that takes the place of another of its name goes on with what that one
    /// knows of its members.
    pub fn start(
        config: Config,
        settings: Settings,
        context: &PoolContext,
        previous: Option<&Rc<Pool>>,
    ) -> Rc<Pool> {
        let ms = |span: Duration| span.as_secs_f64() * 1000.0;
        let upstream = Upstream::new(
            context.limits.clone(),
            ms(config.connect_timeout),
            ms(config.idle_close),
            Vec::new(),
        );
        let upstream = Rc::new(upstream.with_http(context.times));
        let (membership, members) = match &config.membership {
            Membership::Static(members) => (MembershipSource::Given, members.clone()),
            Membership::Discovery(address) => (MembershipSource::Discovery(*address), Vec::new()),
            Membership::File(file) => (
                MembershipSource::Given,
                initial_members(&config.name, &context.folder.join(file), previous),
            ),
        };
        let known = previous.map(|previous| previous.known.borrow().clone());
        let is_new = known.is_none();
        let known = RefCell::new(known.unwrap_or_default());
        let known_list = member_list(&members, &known, 1, is_new || config.slow_start.is_zero());
        let options = DriverOptions {
            settings: settings.clone(),
            seed: context.seed ^ super::discovery::stable_hash(config.name.as_bytes()),
            known: EndpointList {
                index: u64::from(membership == MembershipSource::Given),
                ..known_list
            },
            membership,
            max_open: context.limits.clients.max(),
            fleet: context.fleet.clone(),
        };
        let superseded = previous.map(|previous| {
            let mut superseded = previous.superseded.borrow().clone();
            superseded.push(Rc::downgrade(previous));
            superseded.retain(|superseded_pool| superseded_pool.strong_count() > 0);
            superseded
        });
        let pool = Rc::new(Pool {
            driver: Driver::start(options, upstream.clone()),
            upstream,
            known,
            members: RefCell::new(members.clone()),
            version: Cell::new(1),
            superseded: RefCell::new(superseded.unwrap_or_default()),
            watch: RefCell::new(None),
            config,
            settings,
        });
        pool.update_superseded_pools(&members);
        if let Membership::File(file) = &pool.config.membership {
            let (me, file) = (Rc::downgrade(&pool), context.folder.join(file));
            let task = keep_running("members file", move || {
                follow_members_file(me.clone(), file.clone())
            });
            *pool.watch.borrow_mut() = Some(task);
        }
        pool
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.config.name
    }

    /// Whether a pool of another configuration can go on as this one, if its members are told
    /// again.
    pub fn can_serve_as(&self, config: &Config, settings: &Settings) -> bool {
        let same_source = match (&self.config.membership, &config.membership) {
            (Membership::Static(_), Membership::Static(_)) => true,
            (own, other) => own == other,
        };
        let rest = Config {
            membership: self.config.membership.clone(),
            ..config.clone()
        };
        same_source && rest == self.config && *settings == self.settings
    }

    /// Takes its members from an operator's file that was read again.
    pub fn update_members(&self, config: &Config) {
        if let Membership::Static(members) = &config.membership {
            if *members != *self.members.borrow() {
                self.apply_members(members.clone());
            }
        }
    }

    /// Takes a list of members in.
    fn apply_members(&self, members: Vec<Member>) {
        self.version.set(self.version.get() + 1);
        self.driver.apply_list(member_list(
            &members,
            &self.known,
            self.version.get(),
            self.config.slow_start.is_zero(),
        ));
        self.update_superseded_pools(&members);
        *self.members.borrow_mut() = members;
    }

    fn update_superseded_pools(&self, members: &[Member]) {
        if matches!(self.config.membership, Membership::Discovery(_)) {
            // Each of them follows discovery itself.
            return;
        }
        self.superseded
            .borrow_mut()
            .retain(|superseded_pool| superseded_pool.strong_count() > 0);
        for superseded_pool in self.superseded.borrow().iter().filter_map(Weak::upgrade) {
            superseded_pool
                .version
                .set(superseded_pool.version.get() + 1);
            superseded_pool.driver.apply_list(member_list(
                members,
                &superseded_pool.known,
                superseded_pool.version.get(),
                true,
            ));
        }
    }
}

/// The list in discovery's form. A member that was not known, or has moved, is taken for one that
/// just started, unless none is cold here.
fn member_list(
    members: &[Member],
    known: &RefCell<FxHashMap<String, (SocketAddr, f64)>>,
    index: u64,
    all_warm: bool,
) -> EndpointList {
    let mut known = known.borrow_mut();
    let first_seen_ms = if all_warm { 0.0 } else { now_ms() };
    let endpoints = members.iter().map(|member| {
        let entry = known
            .entry(member.name.clone())
            .or_insert((member.address, first_seen_ms));
        if entry.0 != member.address {
            *entry = (member.address, first_seen_ms);
        }
        let since_ms = entry.1.max(member.started_ms);
        Endpoint::member(
            &member.name,
            member.address,
            member.draining,
            member.weight,
            member.cell,
            since_ms,
        )
    });
    let endpoints = endpoints.collect();
    known.retain(|name, _| members.iter().any(|member| member.name == *name));
    EndpointList {
        index,
        snapshot: true,
        endpoints,
    }
}

/// What a file says at the start. One that can't be read leaves the pool as it was, or empty.
fn initial_members(pool: &str, file: &Path, previous: Option<&Rc<Pool>>) -> Vec<Member> {
    match read_file(file) {
        Ok(members) => members,
        Err(why) => {
            let current = previous.map_or(Vec::new(), |previous| previous.members.borrow().clone());
            tracing::warn!(
                "pool {pool}: {why}; going on with {} members",
                current.len()
            );
            current
        }
    }
}

fn read_file(file: &Path) -> Result<Vec<Member>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    read_members(&text).map_err(|faults| {
        let first = faults.first().map(ToString::to_string).unwrap_or_default();
        let more = if faults.len() > 1 {
            format!(" and {} more faults", faults.len() - 1)
        } else {
            String::new()
        };
        format!("{}:{first}{more}", file.display())
    })
}

/// What tells one state of a file from another.
type FileVersion = Option<(u64, u64, i64, i64, u64)>;

fn file_version(file: &Path) -> FileVersion {
    let data = std::fs::metadata(file).ok()?;
    Some((
        data.dev(),
        data.ino(),
        data.mtime(),
        data.mtime_nsec(),
        data.size(),
    ))
}

/// Follows a file of members for as long as its pool lives. The file is looked at from a thread of
/// its own: a file system that hangs must not hold up requests.
async fn follow_members_file(pool: Weak<Pool>, file: PathBuf) {
    let (sender, mut results) = mpsc::unbounded_channel();
    let watcher = std::thread::Builder::new()
        .name("members".into())
        .spawn(move || {
            let mut previous = None;
            let mut accepted = None;
            while !sender.is_closed() {
                let now = file_version(&file);
                if now == previous && now != accepted {
                    accepted = now;
                    if sender.send(read_file(&file)).is_err() {
                        return;
                    }
                }
                previous = now;
                std::thread::sleep(MEMBERS_FILE_POLL_INTERVAL);
            }
        });
    if let Err(e) = watcher {
        tracing::error!("no thread to watch members with: {e}");
        return;
    }
    let mut last_error = String::new();
    while let Some(result) = results.recv().await {
        let Some(pool) = pool.upgrade() else { return };
        match result {
            Ok(members) => {
                last_error.clear();
                if members != *pool.members.borrow() {
                    tracing::info!("pool {}: {} members", pool.name(), members.len());
                    pool.apply_members(members);
                }
            }
            // One line for each kind of trouble, not for each look.
            Err(why) if why != last_error => {
                let current = pool.members.borrow().len();
                tracing::warn!(
                    "pool {}: {why}; keeping the last good list of {current}",
                    pool.name()
                );
                last_error = why;
            }
            Err(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
