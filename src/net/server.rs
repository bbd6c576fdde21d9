//! The callers' side: connections and their limits, and the orderly end. What a request means is
//! for its [`Front`].

use super::driver::{Final, Guard};
use super::io::{out_of_descriptors, Wire};
use super::limits::{self, Limits, Taken, READ_AHEAD};
use super::stream::ReplyBody;
use super::trace::step;
use bytes::Bytes;
use dewrun_admin::{ConnectionsToClose, ShutdownPlan};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, timeout_at};

/// How often connections are looked after.
const TIDY: Duration = Duration::from_millis(250);
/// For how many turns of the runtime a new connection waits for one that gives way.
const TURNS: usize = 32;
/// A caller that means to ask has said something by then.
const SPEAKS: Duration = Duration::from_millis(100);
/// One that asked once and has rested for so long may never ask again.
const STAYED: Duration = Duration::from_secs(2);
/// When a caller that there is no room for may come back.
pub const NO_ROOM_MS: f64 = 500.0;
/// What is said to a request that there is no room for, before it is read: nothing of it has run.
const NO_ROOM: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n\
    Content-Length: 7\r\n\r\nrefused";
/// How long a connection is kept for that: for its request to come, and for its caller to read the
/// answer.
const TURN_AWAY: Duration = Duration::from_millis(300);
/// How long a connection that is to close may take over what it has begun.
const CLOSE_GRACE: Duration = Duration::from_secs(2);
/// The module answers at the deadline. If it has not so long after, the driver does.
const OVERDUE: Duration = Duration::from_millis(10);
/// After SIGTERM connections still come for a while, so it ends no sooner.
const STOP_LEAST: Duration = Duration::from_millis(550);
const STOP_LAST: Duration = Duration::from_millis(130);
/// How long the listeners may take to close.
const SHUT_MOST: Duration = Duration::from_millis(20);

/// A reply to a caller.
pub type Reply = Response<ReplyBody>;

/// What is wrong with a request, as its caller is told. The connection ends with it.
pub type Bad = (StatusCode, &'static str);

/// What requests mean and where they go: the platform's protocol, or ordinary HTTP.
pub trait Front: 'static {
    /// How a caller's bytes are read.
    type Io: Read + Write + Unpin + 'static;

    /// Reads a caller's bytes.
    fn io(&self, wire: Rc<Wire>) -> Self::Io;

    /// Answers one request, exactly once. What is dropped before has lost its caller.
    fn answer(
        self: &Rc<Self>,
        caller: &Rc<Caller>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, Bad>>;

    /// Words an answer to what is wrong with a request.
    fn fault(&self, bad: Bad) -> Reply {
        plain(bad.0, bad.1)
    }

    /// Drops the connection to a backend that has been idle longest; false if there is none.
    fn shed(&self) -> bool;

    /// Looks after the connections to backends.
    fn reap(&self);

    /// Fails all that is open, and refuses all that is asked from now on: the process is about to
    /// end.
    fn close_all(&self);
}

/// How long callers may take.
#[derive(Clone, Copy)]
pub struct Times {
    /// Longest wait for a whole request, or for the head of one whose body has a wait of its own.
    pub request: Duration,
    /// A connection that has carried nothing for this long is closed.
    pub idle: Duration,
    /// From SIGTERM until what is open is failed.
    pub stop: Duration,
    /// How long a connection that ends with bytes unread is still read from, so that its caller
    /// gets to see the answer and not a reset.
    pub linger: Duration,
}

/// Whether and how this proxy leaves service.
#[derive(Default)]
pub struct Leave {
    told: Cell<Option<(ShutdownPlan, Instant)>>,
    /// The process is to end: there is no coming back.
    ends: Cell<bool>,
}

impl Leave {
    /// Tells it to; false if it leaves already.
    pub fn tell(&self, plan: ShutdownPlan) -> bool {
        let fresh = !self.is_told();
        if fresh {
            self.told.set(Some((plan, Instant::now())));
        }
        fresh
    }

    /// Tells it to come back; false if it has not left, or can't.
    pub fn stay(&self) -> bool {
        !self.ends.get() && self.told.take().is_some()
    }

    /// Whether it was told to.
    pub fn is_told(&self) -> bool {
        self.told.get().is_some()
    }

    /// Tells that the process is to end.
    fn end(&self, plan: ShutdownPlan) {
        self.ends.set(true);
        self.told.set(Some((plan, Instant::now())));
    }

    fn due(&self) -> ConnectionsToClose {
        self.told
            .get()
            .map(|(plan, at)| plan.connections_to_close(at.elapsed()))
            .unwrap_or_default()
    }
}

/// How far the end of a caller's connection has come.
#[derive(Clone, Copy, PartialEq)]
enum Closing {
    No,
    /// Once what it has begun is done.
    InOrder,
    /// At once: nothing was taken from it that is still open.
    Now,
}

/// A caller's connection.
pub struct Caller {
    number: u64,
    /// The number of the listener that it came by.
    pub door: usize,
    /// Its wire.
    pub wire: Rc<Wire>,
    /// A whole request of its was taken and has no answer yet.
    taken: Cell<bool>,
    /// A good head of its has come, and its body is being read: that has waits of its own.
    reading: Cell<bool>,
    /// How many good requests it has brought, up to the most that can be counted.
    asked: Cell<u8>,
    /// When it connected, or had its last answer.
    used: Cell<Instant>,
    /// Its last answer, which may still wait to be written; let go once it is seen to be out.
    last: RefCell<Option<limits::Body>>,
    closing: Cell<Closing>,
    close: Notify,
    _counted: Taken,
}

impl Caller {
    /// Whether its connection can be closed without harm: nothing of a request was read or waits to
    /// be.
    fn is_idle(&self) -> bool {
        let between = !self.taken.get() && self.wire.begun().is_none();
        between && self.closing.get() == Closing::No && self.wire.is_quiet()
    }

    /// Whether it has kept the proxy waiting for a whole request for too long: it says nothing, its
    /// head does not end, or its body trickles. Between two requests a used connection may
    /// rest.
    fn is_overdue(&self, limit: Duration) -> bool {
        let from = if self.asked.get() > 0 {
            self.wire.begun()
        } else {
            Some(self.used.get())
        };
        !self.taken.get() && !self.reading.get() && from.is_some_and(|from| from.elapsed() >= limit)
    }

    /// The good head of a request has come, and its body follows. It may still give way.
    pub fn reads_body(&self) {
        self.reading.set(true);
    }

    /// A whole request of its was taken, or the good head of one: it is served whatever else gives
    /// way.
    pub fn take(&self) {
        self.taken.set(true);
        self.asked.set(self.asked.get().saturating_add(1));
    }

    /// When its request had come whole: with its last byte, or with the answer before it, where it
    /// was sent ahead of that.
    pub fn asked_at(&self) -> Instant {
        self.wire.last_read().max(self.used.get())
    }

    /// Keeps the room of its last answer until that has gone out.
    pub fn keep(&self, body: limits::Body) {
        self.last.replace(Some(body));
    }

    /// Its request is done with.
    fn rest(&self) {
        self.taken.set(false);
        self.reading.set(false);
        self.used.set(Instant::now());
        self.wire.message_over();
    }

    /// Since when nothing has passed on its connection.
    fn idle_since(&self) -> Instant {
        self.used.get().max(self.wire.last_written())
    }

    fn close(&self, how: Closing) {
        self.closing.set(how);
        self.close.notify_one();
    }
}

/// Held while the reply to a request is on its way.
pub struct Busy(Rc<Caller>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.rest();
    }
}

/// Serves callers.
pub struct Server<F> {
    front: Rc<F>,
    callers: RefCell<FxHashMap<u64, Rc<Caller>>>,
    limits: Rc<Limits>,
    times: Times,
    next: Cell<u64>,
    leave: Rc<Leave>,
    /// Set once nobody is listened to any more.
    shut: watch::Sender<bool>,
}

impl<F: Front> Server<F> {
    /// A server for callers.
    pub fn new(front: Rc<F>, limits: Rc<Limits>, times: Times, leave: Rc<Leave>) -> Rc<Server<F>> {
        let (next, shut) = (Cell::new(0), watch::Sender::new(false));
        Rc::new(Server {
            front,
            callers: RefCell::default(),
            limits,
            times,
            next,
            leave,
            shut,
        })
    }

    /// Accepts until the last moments of the process: what the kernel has taken in counts as taken,
    /// so the listener closes only when none waits there. Beyond the callers' share a
    /// connection is taken only in place of another, so that a flood leaves the sockets that
    /// attempts need alone.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, door: usize) {
        let mut shut = self.shut.subscribe();
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = shut.wait_for(|shut| *shut) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let mut counted = self.limits.callers.take(1);
                    let mut turns = 0;
                    while counted.is_none() && turns < TURNS && self.shed() {
                        // The one that gives way is closed in its own task, which may have others
                        // before it.
                        yield_now().await;
                        counted = self.limits.callers.take(1);
                        turns += 1;
                    }
                    if let Some(counted) = counted {
                        // Known before its task first runs: of many that come at once, `shed` must
                        // see all, or a usual caller gives way to ones that
                        // have brought nothing yet.
                        let caller = self.register(stream, counted, door);
                        spawn_local(self.clone().connection(caller));
                    } else if let Some(counted) = self.limits.turned_away.take(1) {
                        spawn_local(turn_away(Wire::new(stream), counted));
                    } else {
                        step!(event = "dropped", why = "no room to turn it away");
                    }
                }
                // Guards against an end of the loop: out of descriptors, idle connections give way.
                Err(e) if out_of_descriptors(&e) => {
                    let _ = self.shed() || self.front.shed();
                    sleep(Duration::from_millis(5)).await;
                }
                // The caller left before it was accepted.
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    /// Closes a connection for another, in this order: the oldest that has said nothing, though
    /// there was time to; the longest idle of those that asked once and stayed; of those that
    /// never asked, the one that has been still longest, as who writes slowly goes on writing;
    /// the longest idle. False if all are busy.
    fn shed(&self) -> bool {
        let callers = self.callers.borrow();
        if callers
            .values()
            .any(|c| c.closing.get() == Closing::Now && !c.taken.get())
        {
            // Room is being made: no other need give way for it.
            return true;
        }
        let waiting = || {
            callers
                .values()
                .filter(|c| !c.taken.get() && c.closing.get() == Closing::No)
        };
        let new = || waiting().filter(|c| c.asked.get() == 0);
        let silent = |c: &&Rc<Caller>| c.wire.begun().is_none() && c.used.get().elapsed() >= SPEAKS;
        if let Some(silent) = new().filter(silent).min_by_key(|c| c.used.get()) {
            silent.close(Closing::Now);
            return true;
        }
        let idle = |c: &&Rc<Caller>| c.asked.get() > 0 && c.is_idle();
        let stayed = |c: &&Rc<Caller>| c.asked.get() == 1 && c.used.get().elapsed() >= STAYED;
        if let Some(once) = waiting()
            .filter(stayed)
            .filter(idle)
            .min_by_key(|c| c.used.get())
        {
            once.close(Closing::InOrder);
            return true;
        }
        if let Some(still) = new().min_by_key(|c| c.wire.last_read()) {
            still.close(Closing::Now);
            return true;
        }
        let oldest = waiting().filter(idle).min_by_key(|c| c.used.get());
        oldest
            .inspect(|caller| caller.close(Closing::InOrder))
            .is_some()
    }

    /// Closes connections idle since before `limit`, but for those with a request still to be read.
    fn close_idle(&self, limit: Duration) {
        for caller in self.callers.borrow().values() {
            if caller.idle_since().elapsed() >= limit && caller.is_idle() {
                caller.close(Closing::InOrder);
            }
        }
    }

    fn close_overdue(&self) {
        for caller in self
            .callers
            .borrow()
            .values()
            .filter(|c| c.is_overdue(self.times.request))
        {
            caller.close(Closing::Now);
        }
    }

    /// Looks after connections on both sides.
    pub async fn tidy(self: Rc<Self>) {
        loop {
            sleep(TIDY).await;
            self.close_overdue();
            self.close_idle(self.times.idle);
            self.close_due();
            for caller in self
                .callers
                .borrow()
                .values()
                .filter(|c| !c.wire.is_stuck())
            {
                caller.last.take();
            }
            self.front.reap();
        }
    }

    /// Closes what the way in which this proxy leaves service has come to.
    fn close_due(&self) {
        let due = self.leave.due();
        if let Some(rest) = due.idle_for {
            self.close_idle(rest);
        }
        if due.incomplete {
            self.close_waiting();
        }
    }

    /// Closes all connections of which no request is taken.
    fn close_waiting(&self) {
        for caller in self.callers.borrow().values().filter(|c| !c.taken.get()) {
            caller.close(Closing::Now);
        }
    }

    /// The orderly end: returns when all that was taken is answered.
    pub async fn stop(&self, plan: ShutdownPlan) {
        let told = Instant::now();
        let most = self.times.stop;
        self.leave.end(plan);
        sleep(STOP_LEAST).await;
        while !self.callers.borrow().is_empty() && told.elapsed() < most {
            self.close_due();
            sleep(Duration::from_millis(20)).await;
        }
        // From here on connections are refused by the kernel, and what is asked on those that there
        // are by the front. In this order, as whoever is failed may ask again at once.
        self.shut.send_replace(true);
        // A flood may keep them from it: then it goes on as before, and what comes is refused.
        let _ = timeout(SHUT_MOST, self.shut.closed()).await;
        self.front.close_all();
        let last = Instant::now();
        while !self.callers.borrow().is_empty() && last.elapsed() < STOP_LAST {
            self.close_waiting();
            sleep(Duration::from_millis(5)).await;
        }
        // Time for the last answers to be written.
        sleep(Duration::from_millis(20)).await;
    }

    fn register(&self, stream: TcpStream, counted: Taken, door: usize) -> Rc<Caller> {
        let number = self.next.replace(self.next.get() + 1);
        let caller = Rc::new(Caller {
            number,
            door,
            wire: Wire::new(stream),
            taken: Cell::new(false),
            reading: Cell::new(false),
            asked: Cell::new(0),
            used: Cell::new(Instant::now()),
            last: RefCell::default(),
            closing: Cell::new(Closing::No),
            close: Notify::new(),
            _counted: counted,
        });
        self.callers.borrow_mut().insert(number, caller.clone());
        step!(event = "connected", connection = number, door);
        caller
    }

    async fn connection(self: Rc<Self>, caller: Rc<Caller>) {
        let service = service_fn(|request| {
            let (server, caller) = (self.clone(), caller.clone());
            async move { Ok::<_, Infallible>(server.serve(&caller, request).await) }
        });
        let serving = http1::Builder::new()
            .max_buf_size(READ_AHEAD)
            .serve_connection(self.front.io(caller.wire.clone()), service);
        tokio::pin!(serving);
        // Why it ends before its protocol has.
        let forced = loop {
            tokio::select! {
                biased;
                // An error here is the caller's leaving or nonsense instead of HTTP; both end with
                // the connection, and a request that was open with its guard.
                _ = &mut serving => {
                    if !self.times.linger.is_zero() {
                        tokio::select! {
                            _ = timeout(self.times.linger, caller.wire.drain()) => {}
                            // It gives way like any other.
                            () = caller.close.notified() => {}
                        }
                    }
                    break None;
                }
                () = caller.close.notified() => match caller.closing.get() {
                    Closing::Now if !caller.taken.get() => break Some("gives way"),
                    _ => serving.as_mut().graceful_shutdown(),
                },
                // Guards against a head that never ends, which a graceful end would await for ever.
                // One that did end meanwhile is a request taken: it is served.
                () = sleep(CLOSE_GRACE), if caller.closing.get() != Closing::No => {
                    if !caller.taken.get() {
                        break Some("does not end");
                    }
                }
            }
        };
        // Guards a request that came whole, or comes, while its connection is told to give way: it
        // is answered.
        let coming = caller.reading.get() || caller.wire.has_unread();
        let unread = forced.is_some() && !caller.wire.is_stuck() && coming;
        if unread {
            let _ = timeout(TURN_AWAY, caller.wire.say_last(NO_ROOM)).await;
        }
        step!(
            event = "disconnected",
            connection = caller.number,
            why = forced.unwrap_or("over"),
            asked = caller.asked.get(),
            unread
        );
        self.callers.borrow_mut().remove(&caller.number);
    }

    async fn serve(&self, caller: &Rc<Caller>, request: Request<Incoming>) -> Reply {
        caller.last.take();
        let answered = self.front.answer(caller, request).await;
        // What follows a bad request on its connection may be part of it, so nothing is read from
        // there.
        let close = answered.is_err() || self.leave.due().with_response;
        let mut reply = answered.unwrap_or_else(|bad| self.front.fault(bad));
        match reply.body_mut() {
            ReplyBody::Whole(_) => caller.rest(),
            // The caller is busy until the body has ended.
            ReplyBody::Passing(_, held) => {
                let inside = std::mem::replace(held, Box::new(()));
                *held = Box::new((inside, Busy(caller.clone())));
            }
        }
        if close {
            reply
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if reply.status() != StatusCode::OK {
            // Guards the others against one that asks again as soon as it is turned away.
            yield_now().await;
        }
        step!(
            event = "answered",
            connection = caller.number,
            status = reply.status().as_u16()
        );
        reply
    }
}

/// Refuses what comes on a connection that there is no room for, once it has come.
async fn turn_away(wire: Rc<Wire>, _counted: Taken) {
    if timeout(TURN_AWAY, wire.readable()).await.is_ok() {
        step!(event = "turned away", why = "no room for its connection");
        let _ = timeout(TURN_AWAY, wire.say_last(NO_ROOM)).await;
    }
}

/// The value of a header that stands there once.
pub fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values
        .next()
        .is_none()
        .then(|| value.to_str().ok())
        .flatten()
}

/// A short answer of this proxy's own.
pub fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ReplyBody::from(Full::new(Bytes::from_static(
        text.as_bytes(),
    ))));
    *reply.status_mut() = status;
    reply
}

/// Trying again is harmless; not before so many milliseconds, if above 0.
pub fn refusal(after_ms: f64) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if after_ms > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after_ms / 1000.0)) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}

/// Waits for a final answer, which the module gives at the deadline. If it has not soon after, the
/// driver does.
pub async fn awaited(
    guard: &Guard,
    mut answer: oneshot::Receiver<Final>,
    deadline: Instant,
) -> Final {
    let answered = match timeout_at((deadline + OVERDUE).into(), &mut answer).await {
        Ok(answered) => answered,
        Err(_) => {
            guard.close();
            answer.await
        }
    };
    answered.unwrap_or(Final::Failed)
}
