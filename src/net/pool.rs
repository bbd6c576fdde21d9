//! A pool of an operator's installation: its own module instance and connections, and its members,
//! wherever they stand.

use super::discovery::{Endpoint, EndpointList};
use super::driver::{Driver, DriverOptions, Membership as Told};
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
const LOOK: Duration = Duration::from_millis(100);

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
pub struct Common {
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
        common: &Common,
        before: Option<&Rc<Pool>>,
    ) -> Rc<Pool> {
        let ms = |span: Duration| span.as_secs_f64() * 1000.0;
        let upstream = Upstream::new(
            common.limits.clone(),
            ms(config.connect_timeout),
            ms(config.idle_close),
            Vec::new(),
        );
        let upstream = Rc::new(upstream.with_http(common.times));
        let (membership, members) = match &config.membership {
            Membership::Static(members) => (Told::Given, members.clone()),
            Membership::Discovery(address) => (Told::Discovery(*address), Vec::new()),
            Membership::File(file) => (
                Told::Given,
                first_members(&config.name, &common.folder.join(file), before),
            ),
        };
        let known = before.map(|before| before.known.borrow().clone());
        let fresh = known.is_none();
        let known = RefCell::new(known.unwrap_or_default());
        let known_list = list(&members, &known, 1, fresh || config.slow_start.is_zero());
        let options = DriverOptions {
            settings: settings.clone(),
            seed: common.seed ^ super::discovery::stable_hash(config.name.as_bytes()),
            known: EndpointList {
                index: u64::from(membership == Told::Given),
                ..known_list
            },
            membership,
            max_open: common.limits.clients.max(),
            fleet: common.fleet.clone(),
        };
        let superseded = before.map(|before| {
            let mut superseded = before.superseded.borrow().clone();
            superseded.push(Rc::downgrade(before));
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
        pool.tell_superseded_pools(&members);
        if let Membership::File(file) = &pool.config.membership {
            let (me, file) = (Rc::downgrade(&pool), common.folder.join(file));
            let following = keep_running("members file", move || follow(me.clone(), file.clone()));
            *pool.watch.borrow_mut() = Some(following);
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
                self.tell(members.clone());
            }
        }
    }

    /// Takes a list of members in.
    fn tell(&self, members: Vec<Member>) {
        self.version.set(self.version.get() + 1);
        self.driver.apply_list(list(
            &members,
            &self.known,
            self.version.get(),
            self.config.slow_start.is_zero(),
        ));
        self.tell_superseded_pools(&members);
        *self.members.borrow_mut() = members;
    }

    fn tell_superseded_pools(&self, members: &[Member]) {
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
            superseded_pool.driver.apply_list(list(
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
fn list(
    members: &[Member],
    known: &RefCell<FxHashMap<String, (SocketAddr, f64)>>,
    index: u64,
    all_warm: bool,
) -> EndpointList {
    let mut known = known.borrow_mut();
    let fresh = if all_warm { 0.0 } else { now_ms() };
    let endpoints = members.iter().map(|member| {
        let place = known
            .entry(member.name.clone())
            .or_insert((member.address, fresh));
        if place.0 != member.address {
            *place = (member.address, fresh);
        }
        let since_ms = place.1.max(member.started_ms);
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
fn first_members(pool: &str, file: &Path, before: Option<&Rc<Pool>>) -> Vec<Member> {
    match read_file(file) {
        Ok(members) => members,
        Err(why) => {
            let kept = before.map_or(Vec::new(), |before| before.members.borrow().clone());
            tracing::warn!("pool {pool}: {why}; going on with {} members", kept.len());
            kept
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
type Stamp = Option<(u64, u64, i64, i64, u64)>;

fn stamp(file: &Path) -> Stamp {
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
async fn follow(pool: Weak<Pool>, file: PathBuf) {
    let (found, mut finds) = mpsc::unbounded_channel();
    let looked = std::thread::Builder::new()
        .name("members".into())
        .spawn(move || {
            let mut before = None;
            let mut taken = None;
            while !found.is_closed() {
                let now = stamp(&file);
                if now == before && now != taken {
                    taken = now;
                    if found.send(read_file(&file)).is_err() {
                        return;
                    }
                }
                before = now;
                std::thread::sleep(LOOK);
            }
        });
    if let Err(e) = looked {
        tracing::error!("no thread to watch members with: {e}");
        return;
    }
    let mut complaint = String::new();
    while let Some(find) = finds.recv().await {
        let Some(pool) = pool.upgrade() else { return };
        match find {
            Ok(members) => {
                complaint.clear();
                if members != *pool.members.borrow() {
                    tracing::info!("pool {}: {} members", pool.name(), members.len());
                    pool.tell(members);
                }
            }
            // One line for each kind of trouble, not for each look.
            Err(why) if why != complaint => {
                let kept = pool.members.borrow().len();
                tracing::warn!(
                    "pool {}: {why}; keeping the last good list of {kept}",
                    pool.name()
                );
                complaint = why;
            }
            Err(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
