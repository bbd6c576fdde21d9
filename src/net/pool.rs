//! A pool of an operator's installation: its balancer, its connections and its members from any
//! source.

use super::discovery::{Endpoint, EndpointList};
use super::driver::{CarriedState, Driver, DriverOptions, Membership as MembershipSource};
use super::limits::Limits;
use super::upstream::{ResponseTimeouts, Upstream};
use crate::supervisor::{keep_running, SupervisedTask};
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

/// Interval at which a members file is checked. A change is accepted when two checks find the same
/// version, so that a file that is being written is not read: a change is applied within 200 ms of
/// the write.
const MEMBERS_FILE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A pool; see the module documentation.
pub struct Pool {
    config: Config,
    settings: Settings,
    /// Driver of the balancer, which has the open requests.
    pub driver: Rc<Driver>,
    /// Connections to the members.
    pub upstream: Rc<Upstream>,
    /// Address of each member, and the time in Unix milliseconds at which it was first seen there.
    known: RefCell<FxHashMap<String, (SocketAddr, f64)>>,
    members: RefCell<Vec<Member>>,
    version: Cell<u64>,
    /// Replaced pools of this name that still have open requests: they get the same members.
    superseded: RefCell<Vec<Weak<Pool>>>,
    watch: RefCell<Option<SupervisedTask>>,
}

/// Context that all pools of a process share.
pub struct PoolContext {
    /// Resource limits of the process.
    pub limits: Rc<Limits>,
    /// Timeouts of responses.
    pub times: ResponseTimeouts,
    /// Seed of random numbers.
    pub seed: u64,
    /// Folder that file names are relative to.
    pub folder: PathBuf,
    /// Control-plane agent that shares budgets with the fleet.
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
    /// Starts a pool. A pool that replaces another of its name takes over the known members of that
    /// one, and the state of its driver that [`CarriedState`] describes.
    pub fn start(
        config: Config,
        settings: Settings,
        context: &PoolContext,
        previous: Option<&Rc<Pool>>,
    ) -> Rc<Pool> {
        let ms = |duration: Duration| duration.as_secs_f64() * 1000.0;
        let upstream = Upstream::new(
            context.limits.clone(),
            ms(config.connect_timeout),
            ms(config.idle_close),
            Vec::new(),
        );
        let upstream = Rc::new(upstream.with_http(context.times));
        let (membership, members) = match &config.membership {
            Membership::Static(members) => (MembershipSource::Provided, members.clone()),
            Membership::Discovery(address) => (MembershipSource::Discovery(*address), Vec::new()),
            Membership::File(file) => (
                MembershipSource::Provided,
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
            initial_list: EndpointList {
                index: u64::from(membership == MembershipSource::Provided),
                ..known_list
            },
            membership,
            max_open_requests: context.limits.clients.max(),
            fleet: context.fleet.clone(),
            carried: previous.map_or_else(CarriedState::default, |previous| {
                previous.driver.carried_state()
            }),
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

    /// Returns the name of the pool.
    pub fn name(&self) -> &str {
        &self.config.name
    }

    /// Returns whether this pool can serve another configuration once its members are updated.
    pub fn can_serve_as(&self, config: &Config, settings: &Settings) -> bool {
        let has_same_source = match (&self.config.membership, &config.membership) {
            (Membership::Static(_), Membership::Static(_)) => true,
            (own, other) => own == other,
        };
        let rest = Config {
            membership: self.config.membership.clone(),
            ..config.clone()
        };
        has_same_source && rest == self.config && *settings == self.settings
    }

    /// Applies the members of an operator's file that was read again.
    pub fn update_members(&self, config: &Config) {
        if let Membership::Static(members) = &config.membership {
            if *members != *self.members.borrow() {
                self.apply_members(members.clone());
            }
        }
    }

    /// Applies a list of members.
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
            // Each of these pools subscribes to discovery itself.
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

/// Builds an endpoint list. A member that was not known or has moved counts as just started, unless
/// `all_warm` is set.
fn member_list(
    members: &[Member],
    known: &RefCell<FxHashMap<String, (SocketAddr, f64)>>,
    index: u64,
    all_warm: bool,
) -> EndpointList {
    let mut known = known.borrow_mut();
    let default_first_seen_ms = if all_warm { 0.0 } else { now_ms() };
    let endpoints = members.iter().map(|member| {
        let entry = known
            .entry(member.name.clone())
            .or_insert((member.address, default_first_seen_ms));
        if entry.0 != member.address {
            *entry = (member.address, default_first_seen_ms);
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

/// Reads the members file at the start. If it cannot be read, the pool has the members of the
/// previous pool, or none.
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

/// Attributes that differ between two versions of a file: device, inode, modification time in
/// seconds and nanoseconds, and size.
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

/// Applies changes of a members file while its pool exists. A separate thread reads the file, since
/// a file system that hangs must not delay requests.
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
        tracing::error!("cannot start the thread that watches the members file: {e}");
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
            // Each error is logged once and not at each check.
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
