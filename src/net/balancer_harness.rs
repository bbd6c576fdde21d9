//! Test harness that sends requests to a balancer without sockets, in simulated time, to check the
//! state that the balancer was given.

use crate::net::discovery::{Directory, EndpointList};
use dewrun_balancer::{Action, Balancer, EndpointId, Event, ListKind, Millis, Outcome, Report};

/// Simulated time at the start, in Unix milliseconds.
const START_MS: Millis = 1_700_000_001_000.0;
/// Simulated time between two events.
const STEP_MS: Millis = 7.0;
const REQUESTS: u64 = 12;
/// Maximum number of events that follow from a request, as a timer can set another timer.
const MAX_FOLLOWING_EVENTS: usize = 40;
const OUTCOMES: [Outcome; 6] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Reset,
    Outcome::Timeout,
    Outcome::ConnectFailed,
];

/// A balancer, its endpoints and the simulated time.
pub struct BalancerHarness {
    balancer: Balancer,
    directory: Directory,
    now_ms: Millis,
    classes: u8,
    sent: usize,
}

impl BalancerHarness {
    /// Creates a harness for a balancer with this number of classes.
    pub fn new(balancer: Balancer, directory: Directory, classes: usize) -> BalancerHarness {
        BalancerHarness {
            balancer,
            directory,
            now_ms: START_MS,
            classes: u8::try_from(classes).unwrap_or(u8::MAX),
            sent: 0,
        }
    }

    /// Returns the balancer.
    pub fn balancer(&mut self) -> &mut Balancer {
        &mut self.balancer
    }

    /// Applies an endpoint list, as the driver does.
    pub fn apply_list(&mut self, list: &EndpointList) {
        let change = self.directory.apply(list);
        self.directory.forget_gone(|_| false);
        let kind = if list.snapshot {
            ListKind::Full
        } else {
            ListKind::Delta
        };
        let mut actions = Vec::new();
        let event = Event::EndpointsChanged {
            kind,
            version: list.index as u32,
            endpoints: &change.endpoints,
        };
        self.balancer.handle(self.now_ms, event, &mut actions);
    }

    /// Sends some requests of each class, whose attempts end with all outcomes.
    pub fn run_requests(&mut self) {
        for id in 0..REQUESTS {
            let request = Event::Request {
                id,
                key: Some(id),
                cell: None,
                class: (id % u64::from(self.classes.max(1))) as u8,
                tenant: 0,
                hint_ms: None,
                is_client_retry: false,
                write: false,
                ttl_ms: 2_000.0,
            };
            self.handle_event_chain(request);
        }
        assert!(!self.balancer.snapshot().is_empty());
    }

    /// Handles an event and the events that follow from it.
    fn handle_event_chain(&mut self, event: Event<'static>) {
        let mut attempts = 0;
        let mut events = vec![event];
        for _ in 0..MAX_FOLLOWING_EVENTS {
            let Some(event) = events.pop() else { return };
            let mut actions = Vec::new();
            self.now_ms += STEP_MS;
            self.balancer.handle(self.now_ms, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send {
                        request, endpoint, ..
                    } => {
                        events.push(self.outcome(request, attempts, endpoint));
                        attempts += 1;
                    }
                    Action::SetTimer { after_ms, token } => {
                        assert!(!after_ms.is_nan(), "a timer without a time");
                        events.insert(0, Event::Timer { token });
                    }
                    Action::Reject { retry_after_ms, .. } => {
                        assert!(retry_after_ms.is_finite(), "{retry_after_ms}");
                    }
                    _ => {}
                }
            }
        }
    }

    fn outcome(&mut self, request: u64, attempt: u8, endpoint: EndpointId) -> Event<'static> {
        let outcome = OUTCOMES[self.sent % OUTCOMES.len()];
        self.sent += 1;
        Event::Outcome {
            request,
            attempt,
            endpoint,
            outcome,
            latency_ms: STEP_MS,
            ended: outcome == Outcome::Ok,
            report: Report::default(),
        }
    }
}
