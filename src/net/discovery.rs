//! The backend list: its form on the wire, the ids and addresses behind it, and the calls to
//! discovery.

use super::io::{Io, Wire};
use bytes::Bytes;
use dewrun_agent::pool::HeldMembers;
use dewrun_balancer::{
    EndpointId as BackendId, EndpointInfo as BackendInfo, EndpointState as BackendState, Settings,
};
use dewrun_discovery::{Action, Event, Mode, ObjectStream, Piece, Watch};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{header::HOST, Request, StatusCode};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

/// Longest wait for a whole list that is asked for by itself.
const FETCH: Duration = Duration::from_millis(2_500);
/// The largest list that is taken.
const LIST_MOST: usize = 4 << 20;

/// A list, or a change of one.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    /// Its version.
    pub index: u64,
    /// Whether it names all backends.
    pub snapshot: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

/// One backend of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(rename = "type", default)]
    kind: String,
    #[serde(default)]
    group: u16,
    status: Status,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
}

impl Endpoint {
    /// An entry for a member that an operator names.
    pub fn member(
        name: &str,
        address: SocketAddr,
        draining: bool,
        weight: f64,
        group: u16,
        since_ms: f64,
    ) -> Endpoint {
        let status = if draining {
            Status::Draining
        } else {
            Status::Ready
        };
        let (name, zone, kind) = (name.to_string(), String::new(), String::new());
        Endpoint {
            name,
            address,
            zone,
            kind,
            group,
            status,
            weight,
            since_ms,
        }
    }

    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[cfg(test)]
    pub fn since_ms(&self) -> f64 {
        self.since_ms
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    Ready,
    Draining,
    Gone,
    /// A status of a later version: nothing new goes to what is not known to be ready.
    #[serde(other)]
    Unheard,
}

fn one() -> f64 {
    1.0
}

/// Where a backend listens, and what was last said of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Its address as this proxy sees it.
    pub address: SocketAddr,
    /// Its state.
    pub state: BackendState,
    started_at: Option<f64>,
}

/// The backends by name and id.
#[derive(Default)]
pub struct Directory {
    zones: Vec<String>,
    kinds: Vec<String>,
    ids: FxHashMap<String, BackendId>,
    names: FxHashMap<BackendId, String>,
    places: FxHashMap<BackendId, Place>,
    /// What the list itself says, where others may say otherwise; see [`Directory::hold`].
    own: Option<FxHashMap<BackendId, BackendInfo>>,
    held: HeldMembers,
}

/// A part of the ready members beyond which the word of others alone holds none out: they may be
/// the ones that are wrong.
const BY_WORD_MOST: f64 = 0.5;

/// FNV-1a. Fixed, so that a backend has the same id at every proxy and after every restart.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl Directory {
    /// An empty directory for a deployment.
    pub fn new(settings: &Settings) -> Directory {
        Directory {
            zones: settings.zones.clone(),
            kinds: settings.machine_kinds.clone(),
            ..Directory::default()
        }
    }

    /// The id of a name. A backend that comes back after it was forgotten has the same: the hash is
    /// fixed.
    fn id(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let wide = hash(name.as_bytes());
        let mut id = (wide ^ (wide >> 32)) as BackendId;
        // Two names with one hash: the later one takes the next free number.
        while self.names.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.to_string(), id);
        self.names.insert(id, name.to_string());
        id
    }

    /// Has it remember what the list itself says.
    pub fn keep_own(&mut self) {
        self.own = Some(FxHashMap::default());
    }

    /// Whether a member that is ready by its list is held out: by an order, or by the word of
    /// others that is of its present start or a later one.
    fn is_held(&self, id: BackendId, info: &BackendInfo) -> bool {
        let until = self.held.get(self.name(id)).copied();
        until.is_some_and(|until| info.started_at.unwrap_or_default() <= until)
    }

    /// Holds members out: those that are ordered, and those that others have heard of, unless that
    /// were most of them. Gives what has changed for the module, the backends whose idle
    /// connections are of no more use, and whether the others' word was passed over.
    pub fn hold(
        &mut self,
        ordered: HeldMembers,
        by_word: HeldMembers,
    ) -> (Vec<BackendInfo>, Vec<BackendId>, bool) {
        let Some(own) = self.own.take() else {
            return (Vec::new(), Vec::new(), false);
        };
        let ready = own
            .iter()
            .filter(|(_, info)| info.state == BackendState::Ready);
        let ready: Vec<BackendId> = ready.map(|(id, _)| *id).collect();
        self.held = by_word;
        let out = ready
            .iter()
            .filter(|id| self.is_held(**id, &own[id]))
            .count();
        let passed_over = out as f64 > BY_WORD_MOST * ready.len() as f64;
        if passed_over {
            self.held.clear();
        }
        self.held.extend(ordered);
        let (mut infos, mut stale) = (Vec::new(), Vec::new());
        for id in ready {
            let state = if self.is_held(id, &own[&id]) {
                BackendState::Draining
            } else {
                BackendState::Ready
            };
            let Some(place) = self
                .places
                .get_mut(&id)
                .filter(|place| place.state != state)
            else {
                continue;
            };
            place.state = state;
            infos.push(BackendInfo { state, ..own[&id] });
            stale.push(id);
        }
        self.own = Some(own);
        (infos, stale, passed_over)
    }

    /// What the list itself says of each member: its name, its state and its start.
    pub fn own(&self) -> impl Iterator<Item = (&str, BackendState, f64)> {
        let own = self.own.iter().flatten();
        own.map(|(id, info)| {
            (
                self.name(*id),
                info.state,
                info.started_at.unwrap_or_default(),
            )
        })
    }

    /// The groups of those that are ready and not held out.
    pub fn ready_cells(&self) -> impl Iterator<Item = u16> + '_ {
        let is_ready = |id| {
            self.place(id)
                .is_some_and(|place| place.state == BackendState::Ready)
        };
        self.own
            .iter()
            .flatten()
            .filter(move |(id, _)| is_ready(**id))
            .map(|(_, info)| info.cell)
    }

    /// How many backends the list holds.
    pub fn listed(&self) -> usize {
        self.places
            .values()
            .filter(|place| place.state != BackendState::Gone)
            .count()
    }

    /// The names of those that it holds.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let listed = self
            .places
            .iter()
            .filter(|(_, place)| place.state != BackendState::Gone);
        listed.map(|(id, _)| self.name(*id))
    }

    /// The name of a backend that was listed.
    pub fn name(&self, id: BackendId) -> &str {
        self.names.get(&id).map_or("", String::as_str)
    }

    /// Takes a list in. Gives it in the module's terms, and the backends whose idle connections are
    /// of no more use: they drain, are gone, have restarted or are elsewhere.
    pub fn apply(&mut self, list: &List) -> (Vec<BackendInfo>, Vec<BackendId>) {
        let mut stale = Vec::new();
        if list.snapshot {
            let named: FxHashSet<&str> = list.endpoints.iter().map(|e| e.name.as_str()).collect();
            for (id, place) in &mut self.places {
                if place.state != BackendState::Gone && !named.contains(self.names[id].as_str()) {
                    place.state = BackendState::Gone;
                    if let Some(own) = self.own.as_mut().and_then(|own| own.get_mut(id)) {
                        own.state = BackendState::Gone;
                    }
                    stale.push(*id);
                }
            }
        }
        let mut infos = Vec::with_capacity(list.endpoints.len());
        for endpoint in &list.endpoints {
            let id = self.id(&endpoint.name);
            let state = match endpoint.status {
                Status::Ready => BackendState::Ready,
                Status::Draining | Status::Unheard => BackendState::Draining,
                Status::Gone => BackendState::Gone,
            };
            let started_at = (endpoint.since_ms > 0.0).then_some(endpoint.since_ms);
            let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
            let mut info = BackendInfo {
                id,
                zone: place(&self.zones, &endpoint.zone).map_or(u16::MAX, |i| i as u16),
                kind: place(&self.kinds, &endpoint.kind).map_or(u8::MAX, |i| i as u8),
                cell: endpoint.group,
                state,
                weight: endpoint.weight,
                started_at,
            };
            if let Some(own) = &mut self.own {
                own.insert(id, info);
                if state == BackendState::Ready && self.is_held(id, &info) {
                    info.state = BackendState::Draining;
                }
            }
            let now = Place {
                address: endpoint.address,
                state: info.state,
                started_at,
            };
            if self
                .places
                .insert(id, now)
                .is_some_and(|before| before != now)
            {
                stale.push(id);
            }
            infos.push(info);
        }
        (infos, stale)
    }

    /// Forgets the backends that are gone, but for those still in use. Guards against growth: in a
    /// long life all backends are replaced, again and again.
    pub fn forget_gone(&mut self, in_use: impl Fn(BackendId) -> bool) {
        self.places
            .retain(|id, place| place.state != BackendState::Gone || in_use(*id));
        self.names.retain(|id, _| self.places.contains_key(id));
        self.ids.retain(|_, id| self.places.contains_key(id));
        if let Some(own) = &mut self.own {
            own.retain(|id, _| self.places.contains_key(id));
        }
    }

    /// Where a backend is, if any list has named it.
    pub fn place(&self, id: BackendId) -> Option<Place> {
        self.places.get(&id).copied()
    }
}

async fn get(
    address: SocketAddr,
    path: &str,
) -> Result<
    (
        hyper::body::Incoming,
        impl std::future::Future<Output = hyper::Result<()>>,
    ),
    String,
> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(Io(Wire::new(stream)))
        .await
        .map_err(|e| e.to_string())?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new());
    let request = request.map_err(|e| e.to_string())?;
    let mut connection = Box::pin(connection);
    let answer = sender.send_request(request);
    tokio::pin!(answer);
    let response = tokio::select! {
        biased;
        response = &mut answer => response,
        _ = &mut connection => answer.await,
    };
    let response = response.map_err(|e| e.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status()));
    }
    // The sender goes along: without one the connection would end.
    Ok((response.into_body(), async move {
        let _sender = sender;
        connection.await
    }))
}

impl List {
    /// Reads one, if it can be believed by who holds a version of the same discovery.
    fn read(text: &[u8], held: Option<u64>) -> Result<List, String> {
        let list: List = serde_json::from_slice(text).map_err(|e| format!("garbled list: {e}"))?;
        let mut names = FxHashSet::default();
        if let Some(twice) = list
            .endpoints
            .iter()
            .find(|endpoint| !names.insert(endpoint.name.as_str()))
        {
            return Err(format!("a list names {} twice", twice.name));
        }
        // Changes since a later version say nothing of what is held. A whole list does, as after a
        // restart.
        if let Some(held) = held.filter(|held| *held > list.index && !list.snapshot) {
            return Err(format!(
                "a list goes back from version {held} to {}",
                list.index
            ));
        }
        Ok(list)
    }
}

/// What a call to discovery brings.
enum Message {
    Connected,
    Heartbeat,
    List(List),
}

/// Calls discovery and watches from version `index` until the watch ends, and gives why. Where no
/// version is known, the whole list is asked for first: versions of one address mean nothing at
/// another.
async fn call(address: SocketAddr, index: &mut Option<u64>, mut on: impl FnMut(Message)) -> String {
    let from = match *index {
        Some(from) => from,
        None => {
            let Some(list) = whole_list(address).await else {
                return "no whole list".into();
            };
            let from = *index.insert(list.index);
            on(Message::List(list));
            from
        }
    };
    let (mut body, connection) =
        match get(address, &format!("/discovery/hosts?stream=1&index={from}")).await {
            Ok(opened) => opened,
            Err(why) => return why,
        };
    on(Message::Connected);
    tokio::pin!(connection);
    let mut connected = true;
    let mut objects = ObjectStream::new(LIST_MOST);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            _ = &mut connection, if connected => {
                connected = false;
                continue;
            }
        };
        let data = match frame {
            None => {
                return objects
                    .end()
                    .map_or_else(|e| e.to_string(), |()| "it ended".into())
            }
            Some(Err(e)) => return e.to_string(),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let mut fault = None;
        let fed = objects.feed(&data, |piece| match piece {
            Piece::EmptyLine => on(Message::Heartbeat),
            Piece::Object(_) if fault.is_some() => {}
            Piece::Object(text) => match List::read(&text, *index) {
                Ok(list) => {
                    *index = Some(list.index);
                    on(Message::List(list));
                }
                Err(why) => {
                    // Nothing more can be told from where this stood.
                    *index = None;
                    fault = Some(why);
                }
            },
        });
        if let Some(why) = fault {
            return why;
        }
        if let Err(e) = fed {
            return e.to_string();
        }
    }
}

/// Watches as the [`Watch`] has it. Where lists are pushed it goes on for ever, and a watch that
/// ends, falls silent or is garbled is opened again from where it stood; where they are asked for,
/// this returns with the end of the first.
pub async fn follow(
    address: SocketAddr,
    mode: Mode,
    mut index: Option<u64>,
    seed: u64,
    mut take: impl FnMut(List),
) {
    let begun = Instant::now();
    let watch = RefCell::new((
        Watch::new(mode, Duration::ZERO),
        Xoshiro256PlusPlus::seed_from_u64(seed),
    ));
    let happens = |event| {
        let (watch, random) = &mut *watch.borrow_mut();
        watch.handle(begun.elapsed(), event, random.random())
    };
    let wakes = || sleep_until(begun + watch.borrow().0.wakes_at());
    let mut failing = false;
    loop {
        wakes().await;
        if happens(Event::Elapsed) != Some(Action::Connect) {
            continue;
        }
        let mut got = false;
        let why = {
            let called = call(address, &mut index, |message| {
                got |= !matches!(message, Message::Connected);
                happens(match message {
                    Message::Connected => Event::Connected,
                    Message::Heartbeat => Event::Heartbeat,
                    Message::List(list) => {
                        take(list);
                        Event::List
                    }
                });
            });
            tokio::pin!(called);
            loop {
                tokio::select! {
                    biased;
                    why = &mut called => {
                        happens(Event::Ended);
                        break why;
                    }
                    () = wakes() => {
                        if happens(Event::Elapsed) == Some(Action::Disconnect) {
                            break "no word in time".into();
                        }
                    }
                }
            }
        };
        if mode == Mode::Asked {
            return;
        }
        failing &= !got;
        // One line for each spell of trouble, not for each try.
        if !std::mem::replace(&mut failing, true) {
            tracing::warn!("discovery watch: {why}; opening it again");
        }
    }
}

/// Asks for the whole list once.
async fn whole_list(address: SocketAddr) -> Option<List> {
    let (body, connection) = get(address, "/discovery/hosts").await.ok()?;
    tokio::pin!(connection);
    let whole = Limited::new(body, LIST_MOST).collect();
    tokio::pin!(whole);
    let whole = tokio::select! {
        biased;
        whole = &mut whole => whole,
        _ = &mut connection => whole.await,
    };
    let list = List::read(&whole.ok()?.to_bytes(), None).ok()?;
    Some(List {
        snapshot: true,
        ..list
    })
}

/// The same within a time.
pub async fn fetch(address: SocketAddr) -> Option<List> {
    timeout(FETCH, whole_list(address)).await.ok()?
}

#[cfg(test)]
mod tests;
