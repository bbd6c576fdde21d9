//! The driver owns the balancer: it turns network activity into [`Event`]s and performs the
//! resulting [`Action`]s in order. It makes no load-balancing decisions. It keeps the table of open
//! requests and guarantees one final response per request, at most one attempt in flight per
//! request, and one outcome per send.

mod actions;
mod carry_over;
mod clock;
mod log;
mod open;
mod pool;
mod request_guard;

use carry_over::cell_windows;
pub use carry_over::CarriedState;
use clock::Clock;
use log::{IncompleteAttempt, Unserved};
pub use open::{FinalResponse, RequestAttributes};
use open::{InFlightAttempt, OpenRequest, RetryWindow};
pub use request_guard::RequestGuard;

use super::discovery::{self, Directory, EndpointList, EndpointRecord, ListFreshness};
use super::headers::single_header;
use super::io::TrackedSocket;
use super::trace::step;
use super::upstream::{AttemptOutcome, AttemptTimes, ClientRequest, EndpointResponse, Upstream};
use crate::supervisor::SupervisedTask;
use dewrun_admin::IncompleteResponse;
use dewrun_agent::{Agent, AttemptDenied, RequestBudgets, Reservation};
use dewrun_balancer::Balancer;
use dewrun_balancer::*;
use dewrun_discovery::Mode;
use dewrun_replication::cells::CellsByClass;
use hyper::StatusCode;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// Maximum duration that is accepted for a timeout or a timer; it keeps arithmetic on instants in
/// range.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(3_600);
const MAX_DURATION_MS: Millis = MAX_DURATION.as_millis() as Millis;

/// Interval at which the log summarizes rejected and failed requests.
const UNSERVED_SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Why a response that promises no execution is not relayed.
const EARLIER_ATTEMPT_MAY_HAVE_RUN: &str = "an earlier attempt may have run";

enum QueuedEvent {
    List(ListKind, u32, Vec<EndpointInfo>),
    Event(Event<'static>),
}

struct State {
    balancer: Balancer,
    event_queue: VecDeque<QueuedEvent>,
    actions: Vec<Action>,
    directory: Directory,
    open_requests: FxHashMap<RequestId, OpenRequest>,
    next_id: RequestId,
    /// Version of the endpoint list in use; `None` until the current discovery service has sent a
    /// list.
    list_version: Option<u64>,
    subscription_task: Option<SupervisedTask>,
    unserved: Unserved,
    /// Groups of pool members; all processes of a fleet send a keyed request to the same group.
    cells: CellsByClass,
}

/// Source of the endpoint list.
#[derive(Clone, Copy, PartialEq)]
pub enum Membership {
    /// A discovery service at this address.
    Discovery(SocketAddr),
    /// The list is set with [`Driver::apply_list`].
    Provided,
}

/// Options of a new driver.
pub struct DriverOptions {
    /// Settings of the balancer.
    pub settings: Settings,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
    /// Endpoints that are known at the start.
    pub initial_list: EndpointList,
    /// Source of further endpoint lists.
    pub membership: Membership,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Control-plane agent that shares attempt budgets with the fleet; `None` outside a fleet.
    pub fleet: Option<Rc<Agent>>,
    /// The state of the driver that this one replaces.
    pub carried: CarriedState,
}

/// Connects the balancer with the network; see the module documentation.
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
    /// Whether the retries of each class are deduplicated by a cell alone; only in a fleet.
    bound_to_cell: Vec<bool>,
    max_attempts: u32,
    max_open_requests: usize,
    probe_path: &'static str,
    has_list: Cell<bool>,
    list_freshness: Rc<ListFreshness>,
    is_closed: Cell<bool>,
    fleet: Option<Rc<Agent>>,
    state: RefCell<State>,
}

impl Driver {
    /// Starts the balancer with the known endpoints and subscribes to discovery.
    pub fn start(options: DriverOptions, upstream: Rc<Upstream>) -> Rc<Driver> {
        let settings = options.settings;
        let is_in_fleet = options.fleet.is_some();
        let bound_to_cell = settings
            .classes
            .iter()
            .map(|class| is_in_fleet && cell_window(class).is_some())
            .collect();
        let CarriedState { clock, mut cells } = options.carried;
        if is_in_fleet {
            cells.set_windows(clock.now(), &cell_windows(&settings));
        }
        let driver = Rc::new_cyclic(|me| Driver {
            me: me.clone(),
            clock,
            upstream,
            membership: Cell::new(options.membership),
            name: settings.service.clone(),
            seed: options.seed,
            must_subscribe: settings.must_subscribe,
            classes: settings
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
            retry_windows: settings.classes.iter().map(RetryWindow::of).collect(),
            bound_to_cell,
            max_attempts: settings.permissions.max_attempts.min(u32::from(u8::MAX)),
            max_open_requests: options
                .max_open_requests
                .min(settings.permissions.max_pending_requests as usize),
            probe_path: if settings.report_via == ReportVia::Probe {
                "/metrics/load"
            } else {
                "/alive"
            },
            has_list: Cell::new(false),
            list_freshness: ListFreshness::now(),
            is_closed: Cell::new(false),
            fleet: options.fleet,
            state: RefCell::new(State {
                directory: Directory::new(&settings),
                balancer: Balancer::new(settings, options.seed),
                event_queue: VecDeque::new(),
                actions: Vec::new(),
                open_requests: FxHashMap::default(),
                next_id: 1,
                list_version: Some(options.initial_list.index),
                subscription_task: None,
                unserved: Unserved::default(),
                cells,
            }),
        });
        if let Some(fleet) = &driver.fleet {
            driver.state.borrow_mut().directory.enable_drains();
            fleet.register_pool(&driver.name, driver.me.clone());
        }
        // The known endpoints are all that this proxy has, so they count as a complete list.
        driver.handle_list(
            &EndpointList {
                snapshot: true,
                ..options.initial_list
            },
            Some(ListKind::Cached),
        );
        if !driver.must_subscribe {
            driver.subscribe(&mut driver.state.borrow_mut());
        }
        driver
    }

    /// Switches to the discovery service at another address. The current list stays in use until
    /// that service has sent one.
    pub fn follow_discovery(&self, discovery: SocketAddr) {
        let next = Membership::Discovery(discovery);
        if self.membership.replace(next) != next {
            let state = &mut *self.state.borrow_mut();
            state.list_version = None;
            self.subscribe(state);
        }
    }

    /// Applies a complete endpoint list: endpoints that it does not name are removed.
    pub fn apply_list(&self, list: EndpointList) {
        self.handle_list(
            &EndpointList {
                snapshot: true,
                ..list
            },
            None,
        );
    }

    /// Returns whether a list from discovery or from [`Driver::apply_list`] has been applied since
    /// the start.
    pub fn is_listed(&self) -> bool {
        self.has_list.get()
    }

    /// Returns the age of the endpoint list in use: the time since it was last known to be current.
    pub fn list_age(&self) -> Duration {
        self.list_freshness.list_age()
    }

    /// Returns the number of listed endpoints and the number of those that are unavailable.
    pub fn members(&self) -> (usize, usize) {
        let state = &mut *self.state.borrow_mut();
        (
            state.directory.endpoint_count(),
            state.balancer.unavailable_endpoint_count(self.clock.now()),
        )
    }

    /// Returns the learned state of the balancer; see [`Balancer::snapshot`].
    pub fn learned(&self) -> String {
        self.state.borrow().balancer.snapshot()
    }

    /// Restores the learned state of another balancer; see [`Balancer::restore`].
    pub fn restore_learned(&self, learned: &str) -> bool {
        self.state.borrow_mut().balancer.restore(learned)
    }

    /// Returns the requests in flight per limit of the balancer.
    pub fn in_flight(&self) -> Vec<f64> {
        self.state.borrow().balancer.in_flight()
    }

    /// Sets the number and the load of other processes that serve as this proxy; see
    /// [`Balancer::set_overlapping_processes`].
    pub fn set_overlapping_processes(&self, others: usize, in_flight: &[f64]) {
        self.state
            .borrow_mut()
            .balancer
            .set_overlapping_processes(others, in_flight);
    }

    /// Sets the rank of this process in a fleet of a given size; see
    /// [`Balancer::set_fleet_position`].
    pub fn set_fleet_position(&self, rank: u32, processes: u32) {
        self.state
            .borrow_mut()
            .balancer
            .set_fleet_position(rank, processes);
    }

    // ---- events ----

    fn handle_list(&self, list: &EndpointList, kind: Option<ListKind>) {
        let state = &mut *self.state.borrow_mut();
        let discovery::DirectoryChange {
            endpoints: changed_endpoints,
            stale,
        } = state.directory.apply(list);
        for endpoint in stale {
            self.upstream.close_idle(endpoint);
            self.upstream.confirm_process(endpoint);
        }
        if let Some(fleet) = &self.fleet {
            fleet.set_pool_members(&self.name, state.directory.names());
            let is_given = self.membership.get() == Membership::Provided;
            fleet.report_members(&self.name, is_given, pool::listed_members(&state.directory));
        }
        self.update_cells(state);
        let endpoints_in_use: FxHashSet<EndpointId> = state
            .open_requests
            .values()
            .filter_map(|o| o.in_flight.as_ref())
            .map(|o| o.endpoint)
            .collect();
        state
            .directory
            .forget_gone(|endpoint| endpoints_in_use.contains(&endpoint));
        state.list_version = Some(list.index);
        if kind.is_none() {
            self.has_list.set(true);
        }
        let kind = kind.unwrap_or(if list.snapshot {
            ListKind::Full
        } else {
            ListKind::Delta
        });
        self.handle(
            state,
            QueuedEvent::List(kind, list.index as u32, changed_endpoints),
        );
    }

    /// Updates the set of cells that have a ready member.
    fn update_cells(&self, state: &mut State) {
        let ready: Vec<u16> = state.directory.ready_cells().collect();
        state.cells.update(self.clock.now(), ready.iter().copied());
    }

    fn is_bound_to_cell(&self, class: u8) -> bool {
        self.bound_to_cell.get(usize::from(class)) == Some(&true)
    }

    fn cell_of_key(&self, state: &State, class: u8, key: u64) -> Option<u16> {
        let name = self.classes.get(usize::from(class))?;
        state.cells.cell_of_key(self.clock.now(), name, key)
    }

    /// Accepts a request. Returns `None` if this proxy has as many open requests as it can, or is
    /// about to exit. The receiver gets exactly one final response while the guard is alive;
    /// dropping the guard earlier means that the client has disconnected.
    pub fn request(
        &self,
        attributes: RequestAttributes,
        client_request: ClientRequest,
    ) -> Option<(RequestGuard, oneshot::Receiver<FinalResponse>)> {
        let state = &mut *self.state.borrow_mut();
        if self.is_closed.get() || state.open_requests.len() >= self.max_open_requests {
            return None;
        }
        let id = state.next_id;
        state.next_id += 1;
        let (sender, receiver) = oneshot::channel();
        let open_request = OpenRequest {
            client_request: Rc::new(client_request),
            taken_at: Instant::now(),
            deadline: attributes.deadline,
            response_sender: Some(sender),
            client: attributes.client,
            retry_window: self
                .retry_windows
                .get(usize::from(attributes.class))
                .copied()
                .unwrap_or(RetryWindow::Never),
            possibly_executed_since: None,
            attempts: 0,
            was_sent: false,
            budgets: attributes.attempt_budgets,
            in_flight: None,
            last_error_response: None,
        };
        let ttl = attributes
            .deadline
            .saturating_duration_since(Instant::now());
        step!(
            event = "taken",
            id = open_request.id(),
            pool = self.name,
            class = self.classes.get(usize::from(attributes.class)),
            tenant = attributes.tenant,
            retry = attributes.is_client_retry,
            left_ms = ttl.as_millis() as u64
        );
        state.open_requests.insert(id, open_request);
        let cell = attributes
            .key
            .filter(|_| self.is_bound_to_cell(attributes.class))
            .and_then(|key| self.cell_of_key(state, attributes.class, key));
        let event = Event::Request {
            id,
            key: attributes.key,
            cell,
            class: attributes.class,
            tenant: attributes.tenant,
            hint_ms: attributes.hint_ms,
            is_client_retry: attributes.is_client_retry,
            write: attributes.is_write,
            ttl_ms: ttl.as_secs_f64() * 1000.0,
        };
        self.handle(state, QueuedEvent::Event(event));
        Some((RequestGuard::new(self.me.clone(), id), receiver))
    }

    /// Fails a request that has no final response yet, because its client has disconnected or its
    /// wait is over.
    fn close(&self, id: RequestId) {
        let state = &mut *self.state.borrow_mut();
        let Some(open_request) = state.open_requests.get_mut(&id) else {
            return;
        };
        if open_request.response_sender.is_none() {
            return;
        }
        open_request.finish(
            FinalResponse::Failed,
            "its caller left, or its time is over",
        );
        self.handle(
            state,
            QueuedEvent::Event(Event::ClientDisconnected { request: id }),
        );
        Driver::forget(state, id);
    }

    /// Fails all open requests because the process is about to exit. Later requests are not
    /// accepted, since they would be cut off.
    pub fn close_all(&self) {
        self.is_closed.set(true);
        let ids: Vec<RequestId> = self.state.borrow().open_requests.keys().copied().collect();
        ids.into_iter().for_each(|id| self.close(id));
    }

    fn attempt_ended(
        &self,
        request: RequestId,
        endpoint: EndpointId,
        sent: Instant,
        result: AttemptOutcome,
    ) {
        let state = &mut *self.state.borrow_mut();
        let Some(open_request) = state.open_requests.get_mut(&request) else {
            return;
        };
        let Some(in_flight) = open_request.in_flight.take() else {
            return;
        };
        let took_ms = result.at.saturating_duration_since(sent).as_secs_f64() * 1000.0;
        step!(
            event = "outcome",
            id = open_request.id(),
            attempt = in_flight.attempt,
            member = state.directory.name(endpoint),
            outcome = ?result.outcome,
            incomplete = result.incomplete.map(IncompleteResponse::text),
            took_ms
        );
        let attempt = in_flight.attempt;
        let incomplete = result.incomplete.map(|cause| IncompleteAttempt {
            cause,
            request_id: open_request.id().to_string(),
            member: state.directory.name(endpoint).to_string(),
        });
        // This releases the reservation of the attempt, so that the next attempt can use it.
        drop(in_flight);
        open_request.record_end(sent, result.outcome, result.last_error_response);
        let final_response = match (result.response, result.client_error) {
            (Some(response), _) => Some(FinalResponse::Served(response)),
            (None, Some(status)) => Some(FinalResponse::FaultyRequest(status)),
            (None, None) => None,
        };
        if let Some(final_response) = final_response {
            open_request.respond(final_response, "a backend's answer");
        }
        let event = Event::Outcome {
            request,
            attempt,
            endpoint,
            outcome: result.outcome,
            latency_ms: took_ms,
            ended: open_request.response_sender.is_none(),
            report: result.report,
        };
        self.handle(state, QueuedEvent::Event(event));
        Driver::forget(state, request);
        if let Some(incomplete) = incomplete {
            self.count_incomplete(state, incomplete);
        }
    }

    /// Gives the client a response whose head has arrived and whose body is streamed.
    fn begin_response(
        &self,
        request: RequestId,
        endpoint: EndpointId,
        sent: Instant,
        response: EndpointResponse,
    ) {
        let state = &mut *self.state.borrow_mut();
        let Some(open_request) = state.open_requests.get_mut(&request) else {
            return;
        };
        let attempt = open_request
            .in_flight
            .as_ref()
            .map_or(0, |in_flight| in_flight.attempt);
        if response.is_not_started() && open_request.possibly_executed_since.is_some() {
            open_request.respond(FinalResponse::Failed, EARLIER_ATTEMPT_MAY_HAVE_RUN);
        } else {
            open_request.respond(
                FinalResponse::Served(response),
                "a backend's answer, as it comes",
            );
        }
        let took_ms = sent.elapsed().as_secs_f64() * 1000.0;
        self.handle(
            state,
            QueuedEvent::Event(Event::FirstByte {
                request,
                attempt,
                endpoint,
                latency_ms: took_ms,
            }),
        );
    }

    fn handle_event(&self, event: Event<'static>) {
        self.handle(&mut self.state.borrow_mut(), QueuedEvent::Event(event));
    }

    /// Passes an event to the balancer and performs the resulting actions, including those of
    /// events that are queued meanwhile. Actions only queue events and spawn tasks, so the balancer
    /// is never re-entered.
    fn handle(&self, state: &mut State, queued: QueuedEvent) {
        state.event_queue.push_back(queued);
        while let Some(queued) = state.event_queue.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            let event = match &queued {
                QueuedEvent::Event(event) => *event,
                QueuedEvent::List(kind, version, endpoints) => Event::EndpointsChanged {
                    kind: *kind,
                    version: *version,
                    endpoints,
                },
            };
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(state, action);
            }
            state.actions = actions;
        }
    }
}

/// Returns the deduplication window of a keyed class whose retries are deduplicated by one cell
/// alone.
fn cell_window(class: &Class) -> Option<Millis> {
    let is_kept_by_cell =
        class.effect == EffectClass::Keyed && class.scope == DeduplicationScope::Cell;
    is_kept_by_cell.then_some(class.window_ms)
}

fn bounded_duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() {
        ms.clamp(0.0, MAX_DURATION_MS) / 1000.0
    } else {
        0.0
    })
}

#[cfg(test)]
mod tests;
