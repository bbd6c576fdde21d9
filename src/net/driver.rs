//! The only owner of the decision module. What happens on the sockets becomes an [`Event`]; the [`Action`]s
//! that the module gives are carried out in order. Nothing is decided here: this keeps the table of open
//! requests and the promises of the interface, which are one final answer for each request, one attempt out
//! at a time, and one outcome for each send.

use super::discovery::{self, Directory, List, Place};
use super::io::Wire;
use super::server::single;
use super::trace::step;
use super::upstream::{Answer, AttemptTimes, Ended, Inbound, Upstream};
use crate::fleet::{Counts, Denied, Fleet, Held};
use dewrun_discovery::Mode;
use dewrun_replica::cells::Cells;
use hyper::StatusCode;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};
use tracing::{info, warn};
use umberridge::api::*;
use umberridge::Balancer;

/// Longest time that can be asked for or waited; keeps arithmetic on instants in range.
const SPAN_MOST: Millis = 3.6e6;

/// How often what was not served is summed up in the log.
const SUMS: Duration = Duration::from_secs(1);

/// The final answer to a caller.
pub enum Final {
    /// A backend's answer.
    Served(Answer),
    /// Trying again is harmless; not before so many milliseconds, if above 0.
    Refused(Millis),
    /// Promises nothing.
    Failed,
    /// A backend found fault with the request itself, and would again.
    Rejected(StatusCode),
    /// A backend's own word of a failure, after which nothing better came.
    LastWord(Answer),
}

impl Final {
    /// Its name in the trace.
    fn name(&self) -> &'static str {
        match self {
            Final::Served(_) => "served",
            Final::Refused(_) => "refused",
            Final::Failed => "failed",
            Final::Rejected(_) => "rejected",
            Final::LastWord(_) => "last word",
        }
    }
}

/// What a request is, in the module's terms.
pub struct Asked {
    /// Its class.
    pub class: u8,
    /// Its tenant.
    pub tenant: u16,
    /// What it is about.
    pub key: Option<u64>,
    /// Expected work.
    pub hint_ms: Option<Millis>,
    /// A client's repeat.
    pub repeat: bool,
    /// It writes.
    pub write: bool,
    /// When its client leaves.
    pub deadline: Instant,
    /// The budgets of the fleet that its attempts count to, if there are any.
    pub attempts: Option<Rc<Counts>>,
    /// The connection of its client: once that has left, no attempt begins.
    pub client: Rc<Wire>,
}

/// Until when a request that may have run can go out again. The module decides by the same rule when it sends; this holds
/// it up to the last byte, as a connection may come up late.
#[derive(Clone, Copy)]
enum RetryWindow {
    /// Whenever.
    Free,
    /// For so long after the first attempt that may have run was sent.
    Within(Duration),
    /// Not at all.
    Never,
}

impl RetryWindow {
    fn of(class: &Class) -> RetryWindow {
        match class.effect {
            Effect::Repeatable => RetryWindow::Free,
            Effect::Keyed => RetryWindow::Within(span(class.window_ms)),
            Effect::Once => RetryWindow::Never,
        }
    }

    /// By when the last byte of the next attempt has to be written.
    fn write_by(self, may_have_run_since: Instant) -> Option<Instant> {
        match self {
            RetryWindow::Free => None,
            RetryWindow::Within(window) => Some(may_have_run_since + window),
            RetryWindow::Never => Some(may_have_run_since),
        }
    }
}

/// Unix time in milliseconds that never goes back.
struct Clock {
    start: Instant,
    unix_ms: Millis,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    fn now(&self) -> Millis {
        self.unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }
}

struct Out {
    attempt: u8,
    backend: BackendId,
    cancel: Option<oneshot::Sender<()>>,
    /// What it holds of the fleet's budgets, until it ends.
    _held: Option<Held>,
}

struct Open {
    inbound: Rc<Inbound>,
    deadline: Instant,
    /// Taken by the final answer; empty from then on, and once the caller has left.
    answer: Option<oneshot::Sender<Final>>,
    client: Rc<Wire>,
    retry_window: RetryWindow,
    /// When the first attempt that may have run was sent, if any may have.
    may_have_run_since: Option<Instant>,
    attempts: u32,
    /// Whether any of them went out.
    went_out: bool,
    counts: Option<Rc<Counts>>,
    out: Option<Out>,
    /// What a backend said that another attempt may better.
    last_word: Option<Answer>,
}

impl Open {
    /// The id that its caller gave it, for the trace.
    fn id(&self) -> &str {
        single(&self.inbound.headers, "request-id").unwrap_or("-")
    }

    /// Gives the final answer, if none was given. All answers are given here.
    fn answer(&mut self, with: Final, why: &'static str) {
        let Some(answer) = self.answer.take() else { return };
        let after_ms = if let Final::Refused(after_ms) = with { Some(after_ms) } else { None };
        step!(event = "answer", id = self.id(), answer = with.name(), why, retry_after_ms = after_ms);
        let _ = answer.send(with);
    }

    /// The same, but that a backend's last word goes before what would be said here.
    fn finish(&mut self, with: Final, why: &'static str) {
        let with = self.last_word.take().map_or(with, Final::LastWord);
        self.answer(with, why);
    }
}

enum Happening {
    List(ListKind, u32, Vec<BackendInfo>),
    Event(Event<'static>),
}

struct State {
    balancer: Balancer,
    happened: VecDeque<Happening>,
    actions: Vec<Action>,
    directory: Directory,
    open: FxHashMap<RequestId, Open>,
    next_id: RequestId,
    /// The version held; `None` until the present discovery has told its own.
    index: Option<u64>,
    watch: Option<AbortHandle>,
    unserved: Unserved,
    /// The groups of members, by which keyed requests go to the same at all processes of a fleet.
    cells: Cells,
}

/// What was not served since it was last said, by reason.
#[derive(Default)]
struct Unserved {
    refused: [u64; Why::ALL.len()],
    failed: [u64; Why::ALL.len()],
    /// It will be said.
    noted: bool,
}

impl Unserved {
    /// `12: over a learned count 10, no backend may be sent to 2`
    fn text(counts: &[u64; Why::ALL.len()]) -> String {
        let by_why = Why::ALL.iter().zip(counts).filter(|(_, n)| **n > 0);
        let parts: Vec<String> = by_why.map(|(why, n)| format!("{} {n}", why.text())).collect();
        format!("{}: {}", counts.iter().sum::<u64>(), parts.join(", "))
    }
}

/// Where the backend list comes from.
#[derive(Clone, Copy, PartialEq)]
pub enum Membership {
    /// A discovery service.
    Discovery(SocketAddr),
    /// It is given, by [`Driver::told`].
    Given,
}

/// What a driver starts with.
pub struct Start {
    /// Of the module.
    pub settings: Settings,
    /// For the module's random numbers.
    pub seed: u64,
    /// The backends that are known.
    pub known: List,
    /// Where others come from.
    pub membership: Membership,
    /// The most requests held at once.
    pub max_open: usize,
    /// Those with whom budgets of attempts are shared.
    pub fleet: Option<Rc<Fleet>>,
}

/// See the module's text.
pub struct Driver {
    me: Weak<Driver>,
    clock: Clock,
    upstream: Rc<Upstream>,
    membership: Cell<Membership>,
    name: String,
    seed: u64,
    must_subscribe: bool,
    classes: Vec<String>,
    retry_windows: Vec<RetryWindow>,
    /// For each class whose repeats only a group drops, in a fleet: for how long.
    cell_windows: Vec<Option<Millis>>,
    max_attempts: u32,
    max_open: usize,
    probe_path: &'static str,
    listed: Cell<bool>,
    closed: Cell<bool>,
    fleet: Option<Rc<Fleet>>,
    state: RefCell<State>,
}

impl Driver {
    /// Starts the module on the list that is known, and the watch on discovery.
    pub fn start(start: Start, upstream: Rc<Upstream>) -> Rc<Driver> {
        let settings = start.settings;
        let in_group = |class: &Class| class.effect == Effect::Keyed && class.scope == Scope::Cell;
        let window =
            |class: &Class| start.fleet.as_ref().filter(|_| in_group(class)).map(|_| class.window_ms);
        let cell_windows: Vec<Option<Millis>> = settings.classes.iter().map(window).collect();
        let driver = Rc::new_cyclic(|me| Driver {
            me: me.clone(),
            clock: Clock::new(),
            upstream,
            membership: Cell::new(start.membership),
            name: settings.service.clone(),
            seed: start.seed,
            must_subscribe: settings.must_subscribe,
            classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
            retry_windows: settings.classes.iter().map(RetryWindow::of).collect(),
            cell_windows,
            max_attempts: settings.allowed.max_attempts.min(u32::from(u8::MAX)),
            max_open: start.max_open.min(settings.allowed.max_open as usize),
            probe_path: if settings.report_via == ReportVia::Probe { "/metrics/load" } else { "/alive" },
            listed: Cell::new(false),
            closed: Cell::new(false),
            fleet: start.fleet,
            state: RefCell::new(State {
                directory: Directory::new(&settings),
                balancer: Balancer::new(settings, start.seed),
                happened: VecDeque::new(),
                actions: Vec::new(),
                open: FxHashMap::default(),
                next_id: 1,
                index: Some(start.known.index),
                watch: None,
                unserved: Unserved::default(),
                cells: Cells::default(),
            }),
        });
        if let Some(fleet) = &driver.fleet {
            driver.state.borrow_mut().directory.keep_own();
            fleet.follow(&driver.name, driver.me.clone());
        }
        // A complete list, whatever it says of itself: it is all that this proxy held.
        driver.take_list(&List { snapshot: true, ..start.known }, Some(ListKind::Cached));
        if !driver.must_subscribe {
            driver.watch(&mut driver.state.borrow_mut());
        }
        driver
    }

    /// Follows the list at another address from now on. What is held stays in use until that one has told.
    pub fn follow(&self, discovery: SocketAddr) {
        let next = Membership::Discovery(discovery);
        if self.membership.replace(next) != next {
            let state = &mut *self.state.borrow_mut();
            state.index = None;
            self.watch(state);
        }
    }

    /// Takes a whole list in: what it does not name is gone.
    pub fn told(&self, list: List) {
        self.take_list(&List { snapshot: true, ..list }, None);
    }

    /// Whether discovery has been heard since the start.
    pub fn is_listed(&self) -> bool {
        self.listed.get()
    }

    /// How many backends are listed, and how many of them are avoided.
    pub fn members(&self) -> (usize, usize) {
        let state = &mut *self.state.borrow_mut();
        (state.directory.listed(), state.balancer.avoided(self.clock.now()))
    }

    /// What the module has learned; see [`Balancer::learned`].
    pub fn learned(&self) -> String {
        self.state.borrow().balancer.learned()
    }

    /// Has the module go on from what another has learned; see [`Balancer::resume`].
    pub fn resume(&self, learned: &str) -> bool {
        self.state.borrow_mut().balancer.resume(learned)
    }

    /// What is out, by the module's limits.
    pub fn in_flight(&self) -> Vec<f64> {
        self.state.borrow().balancer.in_flight()
    }

    /// Tells of processes that serve as this proxy too; see [`Balancer::beside`].
    pub fn beside(&self, others: usize, in_flight: &[f64]) {
        self.state.borrow_mut().balancer.beside(others, in_flight);
    }

    /// Holds members out, or no longer: those that are ordered, and those that other processes have heard to drain or to be
    /// gone.
    pub fn hold(&self, ordered: discovery::Held, by_word: discovery::Held) {
        let state = &mut *self.state.borrow_mut();
        let heard = by_word.len();
        let (infos, stale, passed_over) = state.directory.hold(ordered, by_word);
        if passed_over {
            warn!(
                pool = self.name,
                "other processes hold {heard} members for gone or draining, which are most here: passed over"
            );
        }
        stale.into_iter().for_each(|backend| self.upstream.close_idle(backend));
        self.follow_cells(state);
        if !infos.is_empty() {
            let version = state.index.unwrap_or_default() as u32;
            self.handle(state, Happening::List(ListKind::Delta, version, infos));
        }
    }

    /// Whether a member is listed.
    pub fn lists(&self, member: &str) -> bool {
        self.state.borrow().directory.names().any(|name| name == member)
    }

    /// Tells which of how many processes this is; see [`Balancer::among`].
    pub fn among(&self, rank: u32, processes: u32) {
        self.state.borrow_mut().balancer.among(rank, processes);
    }

    // ---- what happens ----

    fn take_list(&self, list: &List, kind: Option<ListKind>) {
        let state = &mut *self.state.borrow_mut();
        let (infos, stale) = state.directory.apply(list);
        stale.into_iter().for_each(|backend| self.upstream.close_idle(backend));
        if let Some(fleet) = &self.fleet {
            fleet.listed(&self.name, state.directory.names());
            let given = self.membership.get() == Membership::Given;
            fleet.told(&self.name, given, state.directory.own());
        }
        self.follow_cells(state);
        let used: FxHashSet<BackendId> =
            state.open.values().filter_map(|o| o.out.as_ref()).map(|o| o.backend).collect();
        state.directory.forget_gone(|backend| used.contains(&backend));
        state.index = Some(list.index);
        if kind.is_none() {
            self.listed.set(true);
        }
        let kind = kind.unwrap_or(if list.snapshot { ListKind::Full } else { ListKind::Delta });
        self.handle(state, Happening::List(kind, list.index as u32, infos));
    }

    /// Follows which groups have a ready member.
    fn follow_cells(&self, state: &mut State) {
        let longest = self.cell_windows.iter().flatten().copied().fold(0.0, f64::max);
        if longest > 0.0 {
            state.cells.list(self.clock.now(), state.directory.ready_cells(), longest);
        }
    }

    /// Takes a request in; `None` if this proxy holds as many as it can, or is about to end. The answer comes exactly
    /// once, if the guard is kept until then; dropping it earlier tells that the caller has left.
    pub fn request(&self, asked: Asked, inbound: Inbound) -> Option<(Guard, oneshot::Receiver<Final>)> {
        let state = &mut *self.state.borrow_mut();
        if self.closed.get() || state.open.len() >= self.max_open {
            return None;
        }
        let id = state.next_id;
        state.next_id += 1;
        let (answer, receiver) = oneshot::channel();
        let open = Open {
            inbound: Rc::new(inbound),
            deadline: asked.deadline,
            answer: Some(answer),
            client: asked.client,
            retry_window: self
                .retry_windows
                .get(usize::from(asked.class))
                .copied()
                .unwrap_or(RetryWindow::Never),
            may_have_run_since: None,
            attempts: 0,
            went_out: false,
            counts: asked.attempts,
            out: None,
            last_word: None,
        };
        let ttl = asked.deadline.saturating_duration_since(Instant::now());
        step!(
            event = "taken",
            id = open.id(),
            pool = self.name,
            class = self.classes.get(usize::from(asked.class)),
            tenant = asked.tenant,
            retry = asked.repeat,
            left_ms = ttl.as_millis() as u64
        );
        state.open.insert(id, open);
        let window = self.cell_windows.get(usize::from(asked.class)).copied().flatten();
        let of_key = |(key, window)| state.cells.of_key(self.clock.now(), key, window);
        let event = Event::Request {
            id,
            key: asked.key,
            cell: asked.key.zip(window).and_then(of_key),
            class: asked.class,
            tenant: asked.tenant,
            hint_ms: asked.hint_ms,
            repeat: asked.repeat,
            write: asked.write,
            ttl_ms: ttl.as_secs_f64() * 1000.0,
        };
        self.handle(state, Happening::Event(event));
        Some((Guard { driver: self.me.clone(), id }, receiver))
    }

    /// The caller has left, or can be kept waiting no longer: fails what is still owed.
    fn close(&self, id: RequestId) {
        let state = &mut *self.state.borrow_mut();
        let Some(open) = state.open.get_mut(&id) else { return };
        if open.answer.is_none() {
            return;
        }
        open.finish(Final::Failed, "its caller left, or its time is over");
        self.handle(state, Happening::Event(Event::ClientGone { request: id }));
        Driver::forget(state, id);
    }

    /// Fails all that is open: the process is about to end. What is asked from now on would be cut off, so none is taken.
    pub fn close_all(&self) {
        self.closed.set(true);
        let ids: Vec<RequestId> = self.state.borrow().open.keys().copied().collect();
        ids.into_iter().for_each(|id| self.close(id));
    }

    fn attempt_ended(&self, request: RequestId, backend: BackendId, sent: Instant, ended: Ended) {
        let state = &mut *self.state.borrow_mut();
        let Some(open) = state.open.get_mut(&request) else { return };
        let Some(out) = open.out.take() else { return };
        let took_ms = ended.at.saturating_duration_since(sent).as_secs_f64() * 1000.0;
        step!(
            event = "outcome",
            id = open.id(),
            attempt = out.attempt,
            member = state.directory.name(backend),
            outcome = ?ended.outcome,
            took_ms
        );
        let attempt = out.attempt;
        // What it held is free for the next.
        drop(out);
        if !ended.outcome.never_ran() {
            open.may_have_run_since = open.may_have_run_since.or(Some(sent));
        }
        open.last_word = ended.last_word.or(open.last_word.take());
        let last = match (ended.answer, ended.rejected) {
            (Some(answer), _) => Some(Final::Served(answer)),
            (None, Some(status)) => Some(Final::Rejected(status)),
            (None, None) => None,
        };
        if let Some(last) = last {
            open.answer(last, "a backend's answer");
        }
        let event = Event::Outcome {
            request,
            attempt,
            backend,
            outcome: ended.outcome,
            took_ms,
            ended: open.answer.is_none(),
            report: ended.report,
        };
        self.handle(state, Happening::Event(event));
        Driver::forget(state, request);
    }

    /// The head of an answer has come, and its body will be passed on: it is the caller's from here.
    fn answer_begun(&self, request: RequestId, backend: BackendId, sent: Instant, answer: Answer) {
        let state = &mut *self.state.borrow_mut();
        let Some(open) = state.open.get_mut(&request) else { return };
        let attempt = open.out.as_ref().map_or(0, |out| out.attempt);
        open.answer(Final::Served(answer), "a backend's answer, as it comes");
        let took_ms = sent.elapsed().as_secs_f64() * 1000.0;
        self.handle(state, Happening::Event(Event::FirstByte { request, attempt, backend, took_ms }));
    }

    fn event(&self, event: Event<'static>) {
        self.handle(&mut self.state.borrow_mut(), Happening::Event(event));
    }

    /// Gives one happening to the module and carries out what it wants, with all that follows at once.
    /// Carrying out only queues and spawns, so the module is never entered from within itself.
    fn handle(&self, state: &mut State, happening: Happening) {
        state.happened.push_back(happening);
        while let Some(happening) = state.happened.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            let event = match &happening {
                Happening::Event(event) => *event,
                Happening::List(kind, version, backends) => {
                    Event::BackendsChanged { kind: *kind, version: *version, backends }
                }
            };
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(state, action);
            }
            state.actions = actions;
        }
    }

    // ---- what is to be done ----

    fn carry_out(&self, state: &mut State, action: Action) {
        match action {
            Action::Send { request, backend, timeout_ms, connect_ms } => {
                self.send(state, request, backend, (timeout_ms, connect_ms));
            }
            Action::Refuse { request, retry_after_ms, why } => {
                self.count(state, why, |unserved| &mut unserved.refused);
                Driver::finish(state, request, Final::Refused(retry_after_ms), why.text());
            }
            Action::Fail { request, why } => {
                self.count(state, why, |unserved| &mut unserved.failed);
                Driver::finish(state, request, Final::Failed, why.text());
            }
            Action::Cancel { request, attempt } => {
                let out = state.open.get_mut(&request).and_then(|open| open.out.as_mut());
                if let Some(cancel) = out.filter(|o| o.attempt == attempt).and_then(|o| o.cancel.take()) {
                    let _ = cancel.send(());
                }
            }
            Action::SetTimer { after_ms, token } => self.later(after_ms, token),
            Action::Probe { backend } => self.probe(state, backend),
            Action::CloseIdle { backend } => self.upstream.close_idle(backend),
            // The protocol has no form for these, and the settings permit none.
            Action::Message { .. } => {}
            Action::Subscribe { on: true } => self.watch(state),
            Action::Subscribe { on: false } => {
                if let Some(watch) = state.watch.take() {
                    watch.abort();
                }
            }
            Action::Fetch => self.fetch(),
            // The module limits these itself.
            Action::Log(line) => info!(pool = self.name, "{line}"),
            Action::Standing { backend, standing, class, why } => {
                self.say_standing(state, backend, standing, (class, why));
            }
        }
    }

    /// Counts what was not served, and has it said within a second: no operator is left with a 503 and an empty log.
    fn count(&self, state: &mut State, why: Why, of: impl Fn(&mut Unserved) -> &mut [u64; Why::ALL.len()]) {
        of(&mut state.unserved)[why as usize] += 1;
        if std::mem::replace(&mut state.unserved.noted, true) {
            return;
        }
        let me = self.me.clone();
        spawn_local(async move {
            tokio::time::sleep(SUMS).await;
            let Some(driver) = me.upgrade() else { return };
            let Unserved { refused, failed, .. } = std::mem::take(&mut driver.state.borrow_mut().unserved);
            let (refused, failed) = (Unserved::text(&refused), Unserved::text(&failed));
            warn!(pool = driver.name, refused, failed, "requests not served in the last second");
        });
    }

    fn say_standing(
        &self,
        state: &State,
        backend: BackendId,
        standing: Standing,
        (class, why): (Option<u8>, Option<Outcome>),
    ) {
        let (pool, member) = (&self.name, state.directory.name(backend));
        let class = class.and_then(|class| self.classes.get(usize::from(class)));
        let class = class.map(|class| format!(" for class {class}")).unwrap_or_default();
        match (standing, why) {
            (Standing::Well, _) => info!(pool, member, standing = "well", "serves again{class}"),
            (Standing::Suspect, Some(why)) => {
                warn!(
                    pool,
                    member,
                    standing = "suspect",
                    ?why,
                    "out of the draw{class}: calls failed in a row"
                );
            }
            (Standing::Suspect, None) => {
                warn!(pool, member, standing = "suspect", "out of the draw: silent while others answer");
            }
            (Standing::Trial, _) => info!(pool, member, standing = "trial", "gets single calls{class}"),
            (Standing::Cold, _) => info!(pool, member, standing = "cold", "has just started"),
            (Standing::Draining, _) => info!(pool, member, standing = "draining", "gets nothing new"),
        }
    }

    fn finish(state: &mut State, request: RequestId, with: Final, why: &'static str) {
        if let Some(open) = state.open.get_mut(&request) {
            open.finish(with, why);
        }
        Driver::forget(state, request);
    }

    /// Drops a request that is over and has no attempt out.
    fn forget(state: &mut State, request: RequestId) {
        if state.open.get(&request).is_some_and(|open| open.answer.is_none() && open.out.is_none()) {
            state.open.remove(&request);
        }
    }

    fn send(
        &self,
        state: &mut State,
        request: RequestId,
        backend: BackendId,
        (timeout_ms, connect_ms): (Millis, Millis),
    ) {
        let place = state.directory.place(backend);
        if state.open.get(&request).is_some_and(|open| open.out.is_none() && open.inbound.body.is_spent()) {
            // A part of its body has gone out and is not here any more: it may have run, whatever its class allows.
            Driver::finish(state, request, Final::Failed, "a part of its body went out and is not kept");
        }
        let open = state.open.get_mut(&request);
        // Guards the rules whatever the module says: nothing for a request that is over, no second copy, no
        // attempt past the most.
        let fit = open.filter(|o| o.answer.is_some() && o.out.is_none() && o.attempts < self.max_attempts);
        let (Some(open), Some(place)) = (fit, place) else {
            return Driver::not_sent(state, request, backend, Outcome::Moot);
        };
        let held = match (&self.fleet, &open.counts) {
            (Some(fleet), Some(counts)) => {
                match fleet.attempt(counts, open.went_out, state.directory.name(backend)) {
                    Ok(held) => Some(held),
                    Err(Denied::Repeat) => {
                        return Driver::not_sent(state, request, backend, Outcome::Moot);
                    }
                    Err(Denied::Member) => {
                        return Driver::not_sent(state, request, backend, Outcome::NoRoom);
                    }
                }
            }
            _ => None,
        };
        let (cancel, cancelled) = oneshot::channel();
        open.out = Some(Out { attempt: open.attempts as u8, backend, cancel: Some(cancel), _held: held });
        open.attempts += 1;
        open.went_out = true;
        step!(
            event = "attempt",
            id = open.id(),
            attempt = open.attempts - 1,
            member = state.directory.name(backend),
            timeout_ms
        );
        let sent = Instant::now();
        let times = AttemptTimes {
            deadline: open.deadline,
            most: if timeout_ms == 0.0 { span(SPAN_MOST) } else { span(timeout_ms) },
            connect: if connect_ms == 0.0 { span(SPAN_MOST) } else { span(connect_ms) },
            write_by: open.may_have_run_since.and_then(|at| open.retry_window.write_by(at)),
        };
        let (me, inbound) = (self.me.clone(), open.inbound.clone());
        spawn_local(async move {
            let Some(driver) = me.upgrade() else { return };
            let still_there = || driver.is_ready(backend, place);
            let may_begin = || driver.may_begin(request, backend, place, times);
            let upstream = driver.upstream.clone();
            let attempt = async {
                let begin = |answer| driver.answer_begun(request, backend, sent, answer);
                upstream
                    .attempt((backend, place.address), &inbound, times, may_begin, still_there, begin)
                    .await
            };
            let ended = tokio::select! {
                biased;
                ended = attempt => ended,
                // The attempt was dropped, and its connection closed, before this is told.
                Ok(()) = cancelled => Ended::now(Outcome::Cancelled),
            };
            if ended.answer.is_none() && driver.client_left(request) {
                // Told before the outcome, or the module would decide on one more attempt. An answer that is there is
                // passed on: a client may have ended its own side alone.
                driver.close(request);
            }
            driver.attempt_ended(request, backend, sent, ended);
        });
    }

    /// Whether a backend takes requests where it stood when it was chosen, by the list as it is now: by the time when the
    /// first byte is about to leave, or when a connection would go back to the pool, it may drain, or another may stand
    /// at its address.
    fn is_ready(&self, backend: BackendId, place: Place) -> bool {
        let state = self.state.borrow();
        state.directory.place(backend) == Some(place) && place.state == BackendState::Ready
    }

    /// Whether the client of an open request has gone.
    fn client_left(&self, request: RequestId) -> bool {
        let state = self.state.borrow();
        state.open.get(&request).is_some_and(|open| open.answer.is_some() && open.client.has_left())
    }

    /// Whether an attempt may begin, asked directly before its first byte is written: nothing that was true when it was
    /// decided need hold any more. All that can have changed is looked at here and nowhere else.
    fn may_begin(
        &self,
        request: RequestId,
        backend: BackendId,
        place: Place,
        times: AttemptTimes,
    ) -> Result<(), Outcome> {
        let is_owed = self.state.borrow().open.get(&request).is_some_and(|open| open.answer.is_some());
        if !is_owed || self.client_left(request) || times.is_late_to_write() {
            return Err(Outcome::Moot);
        }
        // Guards a drain that was told while the connection came up: nothing new may start then.
        if self.is_ready(backend, place) {
            Ok(())
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// Tells of an attempt that did not go out.
    fn not_sent(state: &mut State, request: RequestId, backend: BackendId, outcome: Outcome) {
        let mut open = state.open.get_mut(&request);
        let event = Event::Outcome {
            request,
            attempt: open.as_ref().map_or(0, |open| open.attempts as u8),
            backend,
            outcome,
            took_ms: 0.0,
            ended: open.as_ref().is_none_or(|open| open.answer.is_none()),
            report: Report::default(),
        };
        if let Some(open) = open.as_mut().filter(|_| outcome == Outcome::NoRoom) {
            // It counts as one, so that a request does not go round all members.
            open.attempts += 1;
        }
        step!(
            event = "not sent",
            id = open.as_deref().map_or("-", Open::id),
            member = state.directory.name(backend),
            ?outcome
        );
        state.happened.push_back(Happening::Event(event));
    }

    fn later(&self, after_ms: Millis, token: u64) {
        let me = self.me.clone();
        spawn_local(async move {
            tokio::time::sleep(span(after_ms)).await;
            if let Some(driver) = me.upgrade() {
                driver.event(Event::Timer { token });
            }
        });
    }

    fn probe(&self, state: &State, backend: BackendId) {
        let (me, upstream, path) = (self.me.clone(), self.upstream.clone(), self.probe_path);
        let (place, sent) = (state.directory.place(backend), Instant::now());
        spawn_local(async move {
            let ended = match place {
                Some(place) => upstream.probe(place.address, path).await,
                None => Ended::now(Outcome::Moot),
            };
            let Some(driver) = me.upgrade() else { return };
            let took_ms = ended.at.saturating_duration_since(sent).as_secs_f64() * 1000.0;
            let (outcome, report) = (ended.outcome, ended.report);
            driver.event(Event::ProbeResult { backend, outcome, took_ms, report });
        });
    }

    /// Follows the list from the version held. Where lists are pushed this goes on for ever; where they are
    /// asked for, the module is told of the end and decides when to ask again.
    fn watch(&self, state: &mut State) {
        if let Some(watch) = state.watch.take() {
            watch.abort();
        }
        let Membership::Discovery(address) = self.membership.get() else { return };
        let (me, index, seed) = (self.me.clone(), state.index, self.seed);
        let mode = if self.must_subscribe { Mode::Asked } else { Mode::Pushed };
        let take = move |list: List| {
            if let Some(driver) = me.upgrade() {
                driver.take_list(&list, None);
            }
        };
        let me = self.me.clone();
        let watch = spawn_local(async move {
            // Returns only where the module decides when to ask again.
            discovery::follow(address, mode, index, seed, take).await;
            if let Some(driver) = me.upgrade() {
                driver.list_failed();
            }
        });
        state.watch = Some(watch.abort_handle());
    }

    fn fetch(&self) {
        let Membership::Discovery(address) = self.membership.get() else { return };
        let me = self.me.clone();
        spawn_local(async move {
            let list = discovery::fetch(address).await;
            let Some(driver) = me.upgrade() else { return };
            match list.filter(|_| driver.membership.get() == Membership::Discovery(address)) {
                Some(list) => driver.take_list(&list, None),
                None => driver.list_failed(),
            }
        });
    }

    fn list_failed(&self) {
        let state = &mut *self.state.borrow_mut();
        let version = state.index.unwrap_or_default() as u32;
        self.handle(state, Happening::List(ListKind::Failed, version, Vec::new()));
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        // A watch goes on for as long as its driver, no longer.
        if let Some(watch) = self.state.get_mut().watch.take() {
            watch.abort();
        }
    }
}

fn span(ms: Millis) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() { ms.clamp(0.0, SPAN_MOST) / 1000.0 } else { 0.0 })
}

/// Stands for a caller that waits.
pub struct Guard {
    driver: Weak<Driver>,
    id: RequestId,
}

impl Guard {
    /// Fails the request if it still has no answer.
    pub fn close(&self) {
        if let Some(driver) = self.driver.upgrade() {
            driver.close(self.id);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.close();
    }
}

#[cfg(test)]
mod tests;
